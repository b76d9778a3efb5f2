"""Two clients of different queues choose the same ID; one gets the other's answer."""
import pathlib, sys, threading, time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib-2"))
from deployment import BOUNDS, Site, main

JOBS = 8


def case(record, trouble):
    pools = [(zone, service) for service in ("shares", "rents") for zone in ("north", "south")]
    site = Site(record, ["north"], pools, services=("shares", "rents"))
    shares, rents = site.routes
    entry, broken = site.entries[0], []
    try:
        site.wait_ready()
        time.sleep(BOUNDS["contact_ms"] / 1000)
        clients = []
        for number in range(1, JOBS + 1):
            # Each client numbers its jobs from 1.
            job = f"{number:016x}"
            other = job if trouble else f"{number + 1000:016x}"
            first = [dict(count=2, cpu=1000, mem_mb=64, estimate_ms=400)]
            second = [dict(count=3, cpu=1000, mem_mb=64, estimate_ms=100)]
            clients.append(threading.Thread(target=site.submit, args=(entry, shares, first, "400", job)))
            clients[-1].start()
            time.sleep(0.1)
            status, text = site.submit(entry, rents, second, "100", other)
            if status == 200 and "completed" in text:
                done = {line["task"] for line in record.of("end") if line["how"] == "done" and line["task"].startswith(other)
                        and line["worker"] in {worker.id for worker in site.workers if worker.service == "rents"}}
                if len(done) < 3:
                    broken.append(f"{rents.name} {other}: shown as completed, and {len(done)} of its 3 tasks have ended done")
        for one in clients:
            one.join()
    finally:
        site.close()
    return broken


sys.exit(main(case, HERE))
