"""Control plane without load at the planned number of agents."""

import json
import time

from .control import BUDGET, SETTLE_S, WINDOW_S
from .deployment import Deployment, HTTP_PORT, Usage, ZONES, eventually, http_call
from .fit import number, print_table, spread

ENTRIES = len(ZONES)
PROCESSES = 3
AGENTS_OF_PROCESS = 500
FIGURES = ("bytes", "sent", "received", "writes", "cores", "rss_kb")


def planned(runs):
    """One entry per availability zone and 1,500 agents: idle windows, then configuration changes."""
    count = PROCESSES * AGENTS_OF_PROCESS
    samples, changes = [], []
    with Deployment() as deployment:
        entries = [deployment.add_entry() for _ in range(ENTRIES)]
        deployment.apply(count)
        backend = deployment.add_backend()
        groups = [
            deployment.add_agents(AGENTS_OF_PROCESS, backend.listen, first=number * AGENTS_OF_PROCESS)
            for number in range(PROCESSES)
        ]
        deployment.await_agents(count)
        time.sleep(2 * SETTLE_S)
        for run in range(runs):
            samples += window(run, entries, groups)
        for run in range(runs):
            changes.append(seconds_in_force(deployment, count, run))
    report(samples, changes, count)
    return {"control": samples, "change_in_force_s": changes}


def window(run, entries, groups):
    """Measures one window at each entry and at one agent of each process."""
    agents = [f"{group.first_ip}:{HTTP_PORT}" for group in groups]
    watched = [("entry", e, e.client) for e in entries]
    watched += [("agent", group, http) for group, http in zip(groups, agents)]
    before = [Usage(process, address) for _, process, address in watched]
    time.sleep(2 * WINDOW_S)
    samples = []
    for (role, process, address), then in zip(watched, before):
        rates = Usage(process, address).since(then)
        share = process.count if role == "agent" else 1
        samples.append({
            "role": role,
            "run": run,
            "bytes": rates["sent"] + rates["received"],
            **{key: rates[key] for key in ("sent", "received", "writes")},
            "cores": rates["cores"] / share,
            "rss_kb": process.rss_kb() / share,
        })
    return samples


def seconds_in_force(deployment, count, run):
    """Seconds from the operator's command until each entry, and each agent, uses the new version."""
    version = run + 2
    since = time.monotonic()
    deployment.apply(count, note=run + 1)
    at_entries = time.monotonic() - since

    def every_agent_has_it():
        held = {}
        for entry in deployment.entries:
            _, _, text = http_call(entry.client, "GET", "/v1/workers")
            for worker in json.loads(text):
                name = worker["worker"]
                held[name] = max(held.get(name, 0), worker["config_version"])
        return len(held) == count and min(held.values()) >= version

    eventually("version at every agent", every_agent_has_it)
    return {"run": run, "entries_s": at_entries, "agents_s": time.monotonic() - since}


def report(samples, changes, count):
    """Prints mean, minimum and maximum over processes and windows, and the share of the budget."""
    rows = []
    for role in ("entry", "agent"):
        for key in FIGURES:
            values = [s[key] for s in samples if s["role"] == role]
            limit = BUDGET.get(key)
            share = f"{max(values) / limit:.2f} x" if limit else ""
            rows.append([f"{role}: {key}", spread(values), number(limit) if limit else "", share])
    for key, who in (("entries_s", "every entry"), ("agents_s", "every agent, as entries hear it")):
        values = [change[key] for change in changes]
        rows.append([f"a change in force at {who}, s", spread(values), "6", f"{max(values) / 6:.2f} x"])
    header = ["a second, cores or KB", "mean (spread)", "budget", "highest over budget"]
    print_table(f"{ENTRIES} entries, {count} agents, no work (--only planned)", header, rows)
