"""The store turns all entries away and serves the agents; meanwhile a zone is evacuated."""
import pathlib, sys, threading, time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib-2"))
from deployment import BOUNDS, Site, main, now_s

ZONE = "south"
REJECTION_S = 9.0       # the longest `platform_down (nodes)` of the site file
STEPS = [dict(count=2, cpu=1000, mem_mb=64, estimate_ms=60)]


def case(record, trouble):
    site = Site(record, ["north", "south"], [(zone, "shares") for zone in ("north", "south", "north", "south")])
    try:
        site.wait_ready()
        time.sleep(BOUNDS["contact_ms"] / 1000)
        stopped = threading.Event()

        def client(entry):
            while not stopped.is_set():
                site.submit(entry, site.routes[0], STEPS, "60")
                time.sleep(0.05)

        clients = [threading.Thread(target=client, args=(entry,)) for entry in site.entries]
        for one in clients:
            one.start()
        if trouble:
            site.store.reject(site.entries)
        time.sleep(1.0)
        evacuated_s = site.store.put(f"evacuate/{ZONE}", {})
        time.sleep(REJECTION_S - 1.0)
        end_s = now_s()
        site.store.reject([])
        stopped.set()
        for one in clients:
            one.join()
    finally:
        site.close()
    bound_s = evacuated_s + BOUNDS["evacuate_ms"] / 1000
    late = [line for line in record.of("start") if line["zone"] == ZONE and bound_s < line["at_s"] < end_s]
    return [f"{len(late)} starts in {ZONE}, {late[0]['at_s'] - evacuated_s:.2f} to {late[-1]['at_s'] - evacuated_s:.2f} s after its "
            f"evacuation was acknowledged"] if late else []


sys.exit(main(case, HERE))
