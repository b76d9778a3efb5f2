"""The entries' open connections to the store go silent two seconds after the entries were started; a route is added then."""
import pathlib, sys, threading, time
sys.dont_write_bytecode = True
sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))
import deployment as site

CONTACT_S, CONFIG_APPLY_S = 3.0, 2.0   # contact_ms, config_apply_ms
STARTED_BEFORE_S = 2.5                 # all entries are killed this long before
ADDED = "/added/"


def case(folder, trouble):
    deployment = site.Site(folder, workers=5)
    record, probes, probing = deployment.record, [], True

    def probe(entry):
        while probing:
            at = site.now()
            try:
                status, _ = site.call(entry, "GET", ADDED, None, {"Host": site.HOST, "Rattanslip-Deadline-Ms": "1000"}, 1)
            except OSError:
                status = None
            probes.append((at, entry[0], status))
            record("probe", to=entry[0], status=status)
            time.sleep(max(0, at + 0.1 - site.now()))

    try:
        time.sleep(4)
        finish = deployment.load(8, lambda chance: site.job(2, chance.choice([60, 200, 900])), 1500, 14)
        time.sleep(1)
        for entry in deployment.entries:
            entry.kill()
        for entry in deployment.entries:
            entry.start()
        record("entries_restarted")
        time.sleep(STARTED_BEFORE_S)
        silent_at = site.now()
        if trouble:
            deployment.store_link.silence()
            record("connections_silent")
        route = {"name": "added", "host": site.HOST, "path_prefix": ADDED, "kind": "unsafe", "timeout_ms": 1500,
                 "target_duration_ms": 60, "priority": 0, "service": site.SERVICE, "max_attempts": 3, "stretch": 1.6}
        if deployment.put_config([route]) != 200:
            return 2
        acknowledged_at = site.now()
        threads = [threading.Thread(target=probe, args=(entry,), daemon=True) for entry in deployment.clients]
        for thread in threads:
            thread.start()
        time.sleep(8)
        probing = False
        for thread in threads:
            thread.join()
        finish()
    finally:
        deployment.close()
    due_at = max(acknowledged_at + CONFIG_APPLY_S, silent_at + CONTACT_S)
    found = [probe for probe in probes if probe[0] > due_at and probe[2] == 404]
    for entry, _ in deployment.clients:
        old = [at for at, to, status in probes if to == entry and status == 404]
        last = max(old) - acknowledged_at if old else 0
        print(f"{entry}: refused the added route with 404 until {last:.2f} s after the acknowledgement; due "
              f"{due_at - acknowledged_at:.2f} s after it")
    print(f"answers: {deployment.answers}; requests refused with 404 too late: {len(found)}")
    if not any(status == 200 for _, _, status in probes):
        return 2
    return 1 if found else 0


site.main(case)
