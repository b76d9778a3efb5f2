"""Cost of a job at its entry against the number of candidate runners."""

import time

from .deployment import Deployment, Usage
from .fit import line, number, print_table, spread

# Each home has a session to each candidate, and one process contains all agents: more runners would
# exceed the limit of open files.
RUNNERS = (10, 90, 400)
FULL_LIST = 90
PLANNED_RUNNERS = 1500
TASKS = 10
JOBS_PER_S = 60
LOAD_MS = 2500
KEYS = {"entry_us": "entry us/job", "entry_bytes": "entry bytes sent/job", "entry_writes": "entry writes/job"}


def candidates(runs):
    """Processor time, bytes and writes of the entry per job, without those of the idle entry."""
    samples = []
    for count in RUNNERS:
        with Deployment() as deployment:
            entry = deployment.add_entry()
            deployment.apply(count)
            backend = deployment.add_backend()
            deployment.add_agents(count, backend.listen)
            deployment.await_agents(count)
            time.sleep(1.5)
            at_rest = usage_over(entry, 2.0)
            deployment.load(TASKS, JOBS_PER_S, 1500)
            for run in range(runs):
                samples.append({"runners": count, "run": run} | one_load(deployment, entry, at_rest))
    report(samples)
    return samples


def usage_over(entry, seconds):
    """Rates of the entry, averaged over `seconds`."""
    before = Usage(entry, entry.client)
    time.sleep(seconds)
    return Usage(entry, entry.client).since(before)


def one_load(deployment, entry, at_rest):
    """Cost of one job, averaged over one load."""
    before = Usage(entry, entry.client)
    found = deployment.load(TASKS, JOBS_PER_S, LOAD_MS)
    after = Usage(entry, entry.client)
    rates, elapsed = after.since(before), after.at - before.at
    jobs = found["verdicts"].get("done", 0)
    each = lambda key: (rates[key] - at_rest[key]) * elapsed / max(jobs, 1)
    return {
        "entry_us": each("cores") * 1e6,
        "entry_bytes": each("sent"),
        "entry_writes": each("writes"),
        "verdicts": found["verdicts"],
        "p50_ms": found["response_p50_us"] / 1000,
    }


def report(samples):
    """Prints means with their spread and the fitted lines."""
    rows = []
    for key, title in KEYS.items():
        cells = [spread([s[key] for s in samples if s["runners"] == count]) for count in RUNNERS]
        # From 96 runners on the list of runners is full, so the line is fitted to larger deployments only.
        points = [(s["runners"], s[key]) for s in samples if s["runners"] >= FULL_LIST]
        slope, at_zero, residual = line(points)
        at_size = at_zero + slope * PLANNED_RUNNERS
        rows.append([title, *cells, *map(number, (slope, at_zero, residual, at_size))])
    others = {v: n for s in samples for v, n in s["verdicts"].items() if v != "done"}
    header = [f"jobs of {TASKS}, other verdicts: {others or 'none'}"]
    header += [f"{count} runners" for count in RUNNERS]
    header += ["slope from 90 on", "at zero", "residual", f"at {PLANNED_RUNNERS}"]
    print_table("A job against the runners that could take it (--only candidates)", header, rows)
