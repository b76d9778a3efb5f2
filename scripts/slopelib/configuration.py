"""Time until a configuration change is in force at all processes, and its writes, against the number of agents."""

import json
import time

from .deployment import Deployment, TOKEN, ZONES, http_call
from .fit import print_table, spread

AGENTS = (10, 50, 200, 800)
PLANNED_WORKERS = 1500
CHANGES = 6
POLL_S = 0.1
LIMIT_S = 30


def configuration(runs):
    """Time to the response and to each entry and agent, for changes of a document of full size."""
    samples = []
    for count in AGENTS:
        with Deployment() as deployment:
            for _ in range(2):
                deployment.add_entry()
            deployment.apply(PLANNED_WORKERS)
            backend = deployment.add_backend()
            deployment.add_agents(count, backend.listen)
            deployment.await_agents(count)
            for number in range(CHANGES * runs):
                samples.append(change(deployment, count, number))
    report(samples)
    return samples


def change(deployment, count, number):
    """Evacuates or reopens a zone, through the entries in turn."""
    entry = deployment.entries[number % 2]
    path = f"/v1/zones/{ZONES[-1]}/{('out', 'in')[number % 2]}"
    before = deployment.calls()
    started_at = time.monotonic()
    status, _, text = http_call(
        entry.client, "POST", path, "", {"authorization": f"Bearer {TOKEN}"}
    )
    answered_s = time.monotonic() - started_at
    assert status == 200, text
    version = json.loads(text)["version"]
    until = started_at + LIMIT_S
    while not all(told(entry, count, version) for entry in deployment.entries):
        assert time.monotonic() < until, f"not within {LIMIT_S} s"
        time.sleep(POLL_S)
    everywhere_s = time.monotonic() - started_at
    after = deployment.calls()
    return {
        "agents": count,
        "answered_ms": 1000 * answered_s,
        "everywhere_ms": 1000 * everywhere_s,
        "writes": after["writes"] - before["writes"],
    }


def told(entry, count, version):
    """Whether all agents have reported this version, or a newer one, to the entry."""
    workers = json.loads(http_call(entry.client, "GET", "/v1/workers")[2])
    return sum(worker["config_version"] >= version for worker in workers) == count


def report(samples):
    """Prints means with their spread for each number of agents."""
    names = [key for key in samples[0] if key != "agents"]
    rows = [
        [name] + [spread([s[name] for s in samples if s["agents"] == count]) for count in AGENTS]
        for name in names
    ]
    header = [f"a change of a document with {PLANNED_WORKERS} workers"]
    print_table(
        f"A change of the configuration (--only configuration); seen every {1000 * POLL_S:.0f} ms",
        header + [f"{count} agents" for count in AGENTS],
        rows,
    )
