"""Processor time per task, memory per job, and calls to the platform."""

import time
import uuid

from .deployment import Deployment
from .fit import line, number, print_table, spread

JOB_SIZES = (1, 10, 50, 200)
TASKS_PER_S = {1: 400, 10: 1500, 50: 2500, 200: 3000}
LOAD_MS = 2500
SLOTS = 64
WINDOW_S = 3.0


def tasks(runs):
    """Processor time per task of entry, home and runner for each job size.

    One of the two agents has no backend server: it is the home of half the jobs and runs no
    tasks. Its time is half of the homes' time; the other agent's time also includes the runner's.
    """
    samples = []
    with Deployment() as deployment:
        entry = deployment.add_entry()
        deployment.apply(2, slots=SLOTS)
        home = deployment.add_agent(0, backend_slots=0)
        both = deployment.add_agent(1, backend_slots=SLOTS)
        deployment.await_agents(2)
        time.sleep(1.0)
        deployment.load(10, 50, 500)
        for size in JOB_SIZES:
            for run in range(runs):
                samples.append(one_load(deployment, (entry, home, both), size, run))
    report_tasks(samples)
    return samples


def one_load(deployment, processes, size, run):
    """Measures one load with one job size."""
    before = [process.cpu_s() for process in processes]
    started_at = time.monotonic()
    found = deployment.load(size, TASKS_PER_S[size] / size, LOAD_MS)
    elapsed = time.monotonic() - started_at
    entry, home, both = (p.cpu_s() - b for p, b in zip(processes, before))
    done = found["verdicts"].get("done", 0) * size
    micros = lambda cpu_s: cpu_s * 1e6 / max(done, 1)
    return {
        "tasks_per_job": size,
        "run": run,
        "entry_us": micros(entry),
        "home_us": micros(2 * home),
        "runner_us": micros(both - home),
        "done": done,
        "jobs": found["verdicts"],
        "p50_ms": found["response_p50_us"] / 1000,
        "p99_ms": found["response_p99_us"] / 1000,
        "seconds": elapsed,
    }


def report_tasks(samples):
    """Prints means with their spread."""
    rows = []
    for size in JOB_SIZES:
        mine = [s for s in samples if s["tasks_per_job"] == size]
        others = {v: n for s in mine for v, n in s["jobs"].items() if v != "done"}
        rows.append(
            [size]
            + [spread([s[key] for s in mine]) for key in ("entry_us", "home_us", "runner_us", "p50_ms", "p99_ms")]
            + [sum(s["done"] for s in mine), others or "none"]
        )
    header = ["tasks of a job", "entry us/task", "home us/task", "runner us/task", "p50 ms", "p99 ms",
              "tasks done", "other verdicts"]  # fmt: skip
    print_table("Processor time a task, tasks of 0 ms (--only tasks)", header, rows)


def memory(runs):
    """Memory of a home and an entry per finished job, finished task and queued task."""
    samples = []
    for run in range(runs):
        with Deployment() as deployment:
            entry = deployment.add_entry()
            deployment.apply(1, slots=SLOTS)
            agent = deployment.add_agent(0, backend_slots=SLOTS)
            deployment.await_agents(1)
            time.sleep(1.0)
            deployment.load(10, 50, 1000)
            samples.append({"run": run} | growth(deployment, entry, agent))
    keys = [key for key in samples[0] if key != "run"]
    rows = [[key, spread([s[key] for s in samples])] for key in keys]
    print_table("Memory, KB, and the cost of what is kept (--only memory)", ["what", "mean (spread)"], rows)
    return samples


def growth(deployment, entry, agent):
    """Growth of VmRSS with the number of jobs, and the processor time of an idle home."""
    grown = {}

    def measure(name, count, action):
        before = agent.rss_kb(), entry.rss_kb()
        action()
        grown[f"home, {name}"] = (agent.rss_kb() - before[0]) / count
        grown[f"entry, {name}"] = (entry.rss_kb() - before[1]) / count

    def idle_cores():
        time.sleep(0.5)
        before, at = agent.cpu_s(), time.monotonic()
        time.sleep(1.5)
        return (agent.cpu_s() - before) / (time.monotonic() - at)

    small = deployment.load
    idle_before = idle_cores()
    measure("each ended job of 1 task", 6000, lambda: small(1, 3000, 2000))
    grown["home, idle cores for each 1,000 kept jobs"] = (idle_cores() - idle_before) / 6
    measure("each ended task of jobs of 200", 24_000, lambda: small(200, 80, 1500))
    queued = 200

    def queue_jobs():
        for _ in range(queued):
            deployment.submit(200, 20_000, deadline_ms=60_000, wait_ms=0)

    measure("each queued task of jobs of 200", queued * 200, queue_jobs)
    return grown


def store(runs):
    """Calls to the platform against the number of entries, changes and keyed submissions."""
    samples, idle = [], []
    for entries in (1, 2, 4):
        with Deployment() as deployment:
            for _ in range(entries):
                deployment.add_entry()
            deployment.apply(1)
            deployment.add_agent(0)
            deployment.await_agents(1)
            time.sleep(1.0)
            for run in range(runs):
                before, at = deployment.calls(), time.monotonic()
                time.sleep(WINDOW_S)
                after, elapsed = deployment.calls(), time.monotonic() - at
                idle.append({"entries": entries, "run": run}
                            | {k: (after[k] - before[k]) / elapsed for k in ("reads", "writes")})  # fmt: skip
            if entries == 4:
                samples = [one_store_run(deployment, run, idle) for run in range(runs)]
    report_store(idle, samples)
    return {"idle": idle, "each": samples}


def one_store_run(deployment, run, idle):
    """Calls per change and per keyed submission, without those of idle entries."""
    at_rest = [s for s in idle if s["entries"] == 4]
    base = {k: sum(s[k] for s in at_rest) / len(at_rest) for k in ("reads", "writes")}
    found = {"run": run}
    for name, count, action in [
        ("change", 5, lambda number: deployment.apply(1, note=1 + run * 5 + number)),
        ("keyed", 40, lambda _: deployment.submit(1, 0, headers={"idempotency-key": str(uuid.uuid4())})),
    ]:
        before, at = deployment.calls(), time.monotonic()
        for index in range(count):
            action(index)
        time.sleep(0.7)
        after, elapsed = deployment.calls(), time.monotonic() - at
        for k in ("reads", "writes"):
            found[f"{name}_{k}"] = (after[k] - before[k] - base[k] * elapsed) / count
    return found


def report_store(idle, samples):
    """Prints the lines fitted to the entries, and the calls per change and submission."""
    rows = []
    for kind in ("reads", "writes"):
        slope, at_zero, residual = line([(s["entries"], s[kind]) for s in idle])
        rows.append([f"idle {kind}/s for each entry", number(slope), f"at zero {number(at_zero)}, residual {number(residual)}"])
    for key in (k for k in samples[0] if k != "run"):
        rows.append([key.replace("_", ": ") + " for each, 4 entries", spread([s[key] for s in samples]), ""])
    print_table("Calls to the platform (--only store)", ["what", "slope or mean (spread)", "fit"], rows)
