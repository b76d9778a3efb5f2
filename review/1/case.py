"""A worker that is taken away announces it, while its agent's answers to its reports no longer arrive."""
import pathlib, sys, time
sys.dont_write_bytecode = True
sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))
import deployment as site

WORKERS, LEAVING = 13, 1         # one of thirteen: below the largest share of scale_in on the site, 0.0772
DRAIN_S, LONGER_S = 2.0, 0.2     # drain_ms, "and a little longer"
CUT_S = 3.0                      # for_s of srv_cut: 5
NO_ACK_S = 2.0                   # "some seconds" without an acknowledgement
LONG_MS, LONG_DEADLINE_MS = 3600, 8000


def take_away(deployment, worker):
    """Drains the worker and ends it; its agent's answers don't reach it from shortly before its Leave on."""
    record = deployment.record
    worker.state = "draining"
    while worker.heartbeat() != 200:
        pass
    time.sleep(DRAIN_S + LONGER_S - 0.1)
    cut_at = site.now()
    deployment.cut(LEAVING, to_worker=(), to_agent=("from",))
    time.sleep(0.1)
    record("leave_sent", worker=worker.id)
    status = worker.report(f"/v1/Instances.Leave/{worker.id}", {"born": worker.born}, NO_ACK_S)
    record("leave_answered", worker=worker.id, answer=status)
    worker.end()
    time.sleep(max(0, cut_at + CUT_S - site.now()))
    deployment.heal(LEAVING)


def case(folder, trouble):
    deployment = site.Site(folder, workers=WORKERS, proxied=(LEAVING,), timeout_ms=LONG_DEADLINE_MS)
    record, worker = deployment.record, deployment.workers[LEAVING]
    try:
        time.sleep(3)
        finish = deployment.load(8, lambda chance: site.job(2, chance.choice([60, 200, 900])), 1500, 14)
        time.sleep(1)
        finish_long = deployment.load(30, lambda chance: site.job(2, LONG_MS), LONG_DEADLINE_MS, 1, seed=2)
        time.sleep(1.1)
        if trouble:
            take_away(deployment, worker)
        finish()
        finish_long()
    finally:
        deployment.close()
    found = site.overlaps(record.lines)
    for first, second in found:
        print(f"TWICE: task {second['task']} began on {second['worker']} at {second['at_s']} s while it ran on {first['worker']} "
              f"({first['at_s']} to {first['ended_at_s']} s, {first['how']})")
    starts = sum(line["event"] == "begin" for line in record.lines)
    print(f"answers: {deployment.answers}; starts: {starts}; tasks that ran twice at the same time: {len(found)}")
    if deployment.answers.get("200", 0) < 100:
        return 2
    return 1 if found else 0


site.main(case)
