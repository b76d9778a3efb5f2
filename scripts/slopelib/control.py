"""Traffic, processor time and memory of the control plane against the number of agents."""

import time

from .deployment import Deployment, HTTP_PORT, Usage, metrics
from .fit import line, number, print_table, spread

AGENTS = (10, 50, 200, 800)
PLANNED_AGENTS = 1500
SETTLE_S = 2.5
AGENTS_FOR_EACH_HOME = 6
WINDOW_S = 2.5
BUDGET = {"cores": 0.032, "bytes": 21_000, "rss_kb": 262_144}


def control(runs):
    """Bytes, processor time and memory of entries and agents for each number of agents."""
    samples = []
    for count in AGENTS:
        with Deployment() as deployment:
            entries = [deployment.add_entry() for _ in range(2)]
            deployment.apply(count)
            backend = deployment.add_backend()
            empty_kb = [entry.rss_kb() for entry in entries]
            agents = deployment.add_agents(count, backend.listen)
            deployment.await_agents(count)
            time.sleep(SETTLE_S)
            for run in range(runs):
                samples.append(window(count, run, entries, agents, empty_kb))
    report(samples)
    return samples


def window(count, run, entries, agents, empty_kb):
    """Measures one window of a running deployment."""
    agent_http = f"{agents.first_ip}:{HTTP_PORT}"
    before = [Usage(entry, entry.client) for entry in entries]
    agents_before = Usage(agents, agent_http)
    time.sleep(WINDOW_S)
    rates = [Usage(entry, entry.client).since(then) for entry, then in zip(entries, before)]
    agent = Usage(agents, agent_http).since(agents_before)
    mean = lambda key: sum(rate[key] for rate in rates) / len(rates)
    return {
        "agents": count,
        "run": run,
        "entry_cores": mean("cores"),
        "entry_sent": mean("sent"),
        "entry_received": mean("received"),
        "entry_writes": mean("writes"),
        "entry_rss_kb": sum(entry.rss_kb() for entry in entries) / len(entries),
        "entry_empty_kb": sum(empty_kb) / len(empty_kb),
        "agent_cores": agent["cores"] / count,
        "agent_sent": agent["sent"],
        "agent_received": agent["received"],
        "agent_writes": agent["writes"],
        "agent_rss_kb": agents.rss_kb() / count,
    }


def report(samples):
    """Prints means with their spread and the fitted lines."""
    names = [key for key in samples[0] if key not in ("agents", "run")]
    rows = [
        [name] + [spread([s[name] for s in samples if s["agents"] == count]) for count in AGENTS]
        for name in names
    ]
    header = ["two entries; each a second, cores or KB"] + [f"{count} agents" for count in AGENTS]
    print_table("Control against the number of agents (--only control)", header, rows)
    print_table(
        f"Fitted lines (--only control), and the value at {PLANNED_AGENTS} agents",
        ["what", "slope for each agent", "at zero", "residual", "at size", "budget", "share of it"],
        [fitted(name, samples) for name in ("entry_bytes", "entry_cores", "entry_rss_kb", "agent_bytes")],
    )


def fitted(name, samples):
    """Table row of one fitted line."""
    value = {
        "entry_bytes": lambda s: s["entry_sent"] + s["entry_received"],
        "agent_bytes": lambda s: s["agent_sent"] + s["agent_received"],
        "entry_cores": lambda s: s["entry_cores"],
        "entry_rss_kb": lambda s: s["entry_rss_kb"],
    }[name]
    slope, at_zero, residual = line([(s["agents"], value(s)) for s in samples])
    at_size = at_zero + slope * PLANNED_AGENTS
    budget = BUDGET[name.split("_", 1)[1]]
    return [name, *map(number, (slope, at_zero, residual, at_size, budget)), f"{at_size / budget:.2f} x"]


def idle_agent(runs):
    """Resource usage of one idle agent program with a backend server and two entries."""
    samples = []
    with Deployment() as deployment:
        for _ in range(2):
            deployment.add_entry()
        deployment.apply(1)
        agent = deployment.add_agent(0)
        deployment.await_agents(1)
        time.sleep(SETTLE_S)
        for _ in range(runs):
            before = Usage(agent, agent.http)
            time.sleep(WINDOW_S)
            samples.append(Usage(agent, agent.http).since(before) | {"rss_kb": agent.rss_kb()})
    rows = [[key, spread([s[key] for s in samples])] for key in samples[0]]
    print_table("One idle agent (--only idle-agent)", ["a second, cores or KB", "mean (spread)"], rows)
    return samples


def sessions(runs, count=24):
    """Cost of an idle session between a home and a runner."""
    samples = []
    with Deployment() as deployment:
        entry = deployment.add_entry()
        deployment.apply(count)
        backend = deployment.add_backend()
        agents = deployment.add_agents(count, backend.listen)
        deployment.await_agents(count)
        time.sleep(SETTLE_S)
        # One agent in six is home of new jobs, and each home has a session to each runner.
        pairs = -(-count // AGENTS_FOR_EACH_HOME) * count
        quiet = all_agents(agents)
        time.sleep(WINDOW_S)
        quiet = rate(quiet, all_agents(agents))
        found = deployment.load(tasks=200, jobs_per_s=40, duration_ms=3000)
        assert found["verdicts"].keys() == {"done"}, found
        for after_s in (1.0, *(WINDOW_S for _ in range(runs - 1)), 12.0):
            time.sleep(after_s if after_s != WINDOW_S else 0.0)
            before = all_agents(agents)
            time.sleep(WINDOW_S)
            samples.append(rate(before, all_agents(agents)))
        assert metrics(entry.client)["rattanslip_agents_alive"] == count
    rows = [
        [label, number(s["cores"]), number(s["sent"]), number(s["writes"]),
         *(number((s[key] - quiet[key]) / pairs) for key in ("cores", "sent", "rss_kb"))]
        for label, s in [("before any job", quiet)]
        + [(f"window {index + 1} after jobs", s) for index, s in enumerate(samples[:-1])]
        + [("12 s later", samples[-1])]
    ]  # fmt: skip
    print_table(
        f"Idle sessions of {count} agents, {pairs} pairs of home and runner (--only sessions)",
        ["when", "cores", "sent bytes/s", "writes/s", "cores for each pair", "sent bytes/s for each pair", "KB for each pair, both ends"],
        rows,
    )
    return {"quiet": quiet, "after": samples, "pairs": pairs}


def all_agents(agents):
    """Processor time and memory of the process, and the traffic of all agents in it."""
    total = {"at": time.monotonic(), "cores": agents.cpu_s(), "rss_kb": agents.rss_kb(), "sent": 0.0, "writes": 0.0}
    first = agents.first_ip.split(".")
    for index in range(agents.count):
        position = int(first[2]) * 256 + int(first[3]) + index
        ip = f"{first[0]}.{first[1]}.{position // 256}.{position % 256}"
        series = metrics(f"{ip}:{HTTP_PORT}")
        total["sent"] += series.get('rattanslip_peer_bytes_total{reason="sent"}', 0)
        total["writes"] += series.get('rattanslip_peer_writes_total{reason="sent"}', 0)
    return total


def rate(before, after):
    """Rates between two samples."""
    elapsed = after["at"] - before["at"]
    rates = {key: (after[key] - before[key]) / elapsed for key in ("cores", "sent", "writes")}
    return rates | {"rss_kb": after["rss_kb"]}
