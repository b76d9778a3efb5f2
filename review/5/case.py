"""A client cancels a job that needn't be stored while its first step runs."""
import pathlib, sys, threading, time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib-2"))
from deployment import BOUNDS, Site, call, main

RUN_MS = 3800
STEPS = [dict(count=2, cpu=1000, mem_mb=64, estimate_ms=RUN_MS), dict(count=2, cpu=1000, mem_mb=64, estimate_ms=RUN_MS, after=[0])]
JOBS = 4


def case(record, trouble):
    site = Site(record, ["north", "south"], [(zone, "shares") for zone in ("north", "south", "north", "south")], timeout_ms=12000)
    route, cancelled, broken = site.routes[0], {}, []
    try:
        site.wait_ready()
        time.sleep(BOUNDS["contact_ms"] / 1000)
        clients = []
        for number in range(JOBS):
            job, entry = f"{0xca5e5 + number:016x}", site.entries[number % 2]
            clients.append(threading.Thread(target=site.submit, args=(entry, route, STEPS, str(RUN_MS), job)))
            clients[-1].start()
            time.sleep(0.5)
            if trouble:
                status, text = call(entry["client"], route.prefix + job, headers={"Host": route.host}, method="DELETE")
                at_s = record.add("cancelled", job=job, entry=entry["name"], status=status, body=text)
                if status is not None and (status < 300 or status == 410):
                    cancelled[job] = at_s
        for one in clients:
            one.join()
    finally:
        site.close()
    for job, at_s in cancelled.items():
        bound_s = at_s + BOUNDS["cancel_ms"] / 1000
        starts = [line for line in record.of("start") if line["task"].startswith(job) and line["at_s"] > bound_s]
        ends = [line for line in record.of("end") if line["task"].startswith(job)
                and line["at_s"] > bound_s + BOUNDS["stop_ms"] / 1000]
        if starts:
            broken.append(f"{job}: {starts[0]['task']} starts {starts[0]['at_s'] - at_s:.2f} s after the cancelling was acknowledged "
                          f"({len(starts)} such starts, {len(ends)} runs that go on past the bound)")
    return broken


sys.exit(main(case, HERE))
