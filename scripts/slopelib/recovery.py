"""Recovery time after the failure of a rack, an entry or a zone, and after a restart of all processes."""

import collections
import http.client
import threading
import time

from .deployment import Deployment, ZONES, eventually, metrics
from .fit import print_table, spread

RACK = 3
WORKERS_OF_ZONE = 6
ZONES_USED = 4
PROBE_PAUSE_S = 0.01
PROBERS = 4
WATCH_S = 6.0


class Probe:
    """Submits jobs of one 20 ms task continuously and records time and verdict of each."""

    def __init__(self, deployment, entry):
        self.verdicts = []
        self.deployment = deployment
        self.entry = entry
        self.running = True
        self.threads = [threading.Thread(target=self.run) for _ in range(PROBERS)]
        for thread in self.threads:
            thread.start()

    def run(self):
        while self.running:
            sent_at = time.monotonic()
            try:
                verdict = self.deployment.submit(1, 20, entry=self.entry, deadline_ms=3000)
            except (OSError, http.client.HTTPException):
                verdict = "unreachable"
            self.verdicts.append((sent_at, time.monotonic(), verdict))
            time.sleep(PROBE_PAUSE_S)

    def stop(self, since):
        """Stops the probes. Returns the seconds until the last probe that failed or took over 500 ms was
        sent, the longest response time, the verdicts of these probes and the number of all probes."""
        self.running = False
        for thread in self.threads:
            thread.join()
        late = [(sent, verdict) for sent, ended, verdict in self.verdicts
                if ended > since and (verdict != "done" or ended - sent > 0.5)]  # fmt: skip
        last = max((sent for sent, _ in late), default=since)
        found = collections.Counter("done late" if v == "done" else v for _, v in late)
        slowest = max((ended - sent for sent, ended, _ in self.verdicts if ended > since), default=0.0)
        probes = sum(1 for sent, _, _ in self.verdicts if sent > since)
        return max(last - since, 0.0), slowest, dict(found), probes


def recovery(runs):
    """Measures each failure `runs` times, each time on a new deployment."""
    samples = []
    for run in range(runs):
        samples += [failure(name, act, run) for name, act in FAILURES.items()]
        samples.append(restart_all(run))
    rows = []
    for name in dict.fromkeys(s["failure"] for s in samples):
        mine = [s for s in samples if s["failure"] == name]
        verdicts = collections.Counter()
        for s in mine:
            verdicts.update(s["verdicts"])
        rows.append([name, spread([s["seconds"] for s in mine]), spread([s["slowest"] for s in mine]), dict(verdicts) or "none", sum(s["probes"] for s in mine)])
    header = ["killed at once", "s until the last probe that failed or took over 500 ms was sent",
              "longest to an answer, s", "those probes", "of"]
    print_table("Recovery (--only recovery)", header, rows)
    return samples


def start(deployment):
    """Starts two entries and 24 workers in 4 zones; the first rack of the first zone is a separate process."""
    for _ in range(2):
        deployment.add_entry()
    workers = ZONES_USED * WORKERS_OF_ZONE
    deployment.apply(workers)
    backend = deployment.add_backend()
    groups = [deployment.add_agents(RACK, backend.listen, zones=[ZONES[0]])]
    groups.append(deployment.add_agents(WORKERS_OF_ZONE - RACK, backend.listen, first=RACK, zones=[ZONES[0]]))
    for zone in range(1, ZONES_USED):
        first = zone * WORKERS_OF_ZONE
        groups.append(deployment.add_agents(WORKERS_OF_ZONE, backend.listen, first=first, zones=[ZONES[zone]]))
    deployment.await_agents(workers)
    eventually("first job", lambda: deployment.submit(1, 0) == "done")
    return groups


def failure(name, act, run):
    """Measures one failure with probes through the entry that keeps running."""
    with Deployment() as deployment:
        groups = start(deployment)
        probe = Probe(deployment, entry=1)
        time.sleep(1.0)
        since = time.monotonic()
        act(deployment, groups)
        time.sleep(WATCH_S)
        seconds, slowest, verdicts, probes = probe.stop(since)
    return {"failure": name, "run": run, "seconds": seconds, "slowest": slowest, "verdicts": verdicts, "probes": probes}


def kill_rack(_, groups):
    groups[0].kill()


def kill_entry(deployment, _):
    deployment.entries[0].kill()


def kill_zone(_, groups):
    for group in groups[:2]:
        group.kill()


FAILURES = {
    f"a rack of {RACK} of 24 workers": kill_rack,
    "one of two entries, probed through the other": kill_entry,
    f"a zone of {WORKERS_OF_ZONE} of 24 workers": kill_zone,
}


def restart_all(run):
    """Kills entries and agents, restarts all of them and waits until ten consecutive jobs are done."""
    with Deployment() as deployment:
        groups = start(deployment)
        old = list(deployment.entries)
        since = time.monotonic()
        for process in [*groups, *old]:
            process.kill()
        deployment.entries.clear()
        backend = deployment.add_backend()
        for entry in old:
            deployment.add_entry((entry.client, entry.peer))
        for zone in range(ZONES_USED):
            first = zone * WORKERS_OF_ZONE
            deployment.add_agents(WORKERS_OF_ZONE, backend.listen, first=first, zones=[ZONES[zone]])
        verdicts, done = collections.Counter(), 0
        while done < 10:
            verdict = deployment.submit(1, 0, entry=1)
            done = done + 1 if verdict == "done" else 0
            verdicts[verdict] += verdict != "done"
            time.sleep(0.01)
        seconds = time.monotonic() - since
        deployment.await_agents(ZONES_USED * WORKERS_OF_ZONE)
        assert metrics(deployment.entries[0].client)["rattanslip_config_version"] >= 1
    return {"failure": "everything but the platform, started again", "run": run, "seconds": seconds, "slowest": seconds,
            "verdicts": {v: n for v, n in verdicts.items() if n}, "probes": 10 + sum(verdicts.values())}  # fmt: skip
