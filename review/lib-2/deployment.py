"""A small deployment on loopback: the project's entries and agents, with stand-ins of the store, of workers and of clients.

The stand-ins follow the users' pages; where a page is silent they behave like a sound store, worker or client. Each
process has an address of the store of its own, so that the store can turn single machines away.
"""
import base64, collections, http.client, http.server, json, os, pathlib, random, shutil, signal, socket, subprocess, tempfile
import threading, time

TOP = pathlib.Path(__file__).resolve().parents[2]
BIN = TOP / "target" / "release"
HEARTBEAT_S = 1.5
BOUNDS = dict(resend_ms=1300, stop_ms=50, stop_grace_s=6, hold_max_ms=1000, drain_ms=2000, evacuate_ms=5000, max_stretch_ms=5000,
              cancel_ms=3000, contact_ms=3000, config_apply_ms=2000)
EPOCH = time.monotonic()


def now_s():
    return time.monotonic() - EPOCH


class Record:
    """What was sent, answered and run, with times in seconds since the start."""

    def __init__(self, path):
        self.lines, self.lock, self.path = [], threading.Lock(), path

    def add(self, what, **fields):
        at_s = now_s()
        with self.lock:
            self.lines.append(dict(at_s=round(at_s, 4), what=what, **fields))
        return at_s

    def of(self, what):
        with self.lock:
            return [line for line in self.lines if line["what"] == what]

    def write(self):
        with self.lock:
            lines = sorted(self.lines, key=lambda line: line["at_s"])
        self.path.write_text("".join(json.dumps(line) + "\n" for line in lines))


_taken = set()


def free_port():
    while True:
        port = random.SystemRandom().randrange(12000, 31000)
        if port in _taken:
            continue
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        _taken.add(port)
        return port


class Server(http.server.ThreadingHTTPServer):
    daemon_threads, allow_reuse_address, request_queue_size = True, True, 256

    def handle_error(self, request, client_address):
        pass  # the peer has closed its connection


def serve(port, handle):
    """Serves HTTP/1.1 on a port; `handle(method, path, headers, body)` returns status and a JSON value, or None to stay silent."""

    class Handler(http.server.BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"
        disable_nagle_algorithm = True
        wbufsize = 65536

        def answer(self):
            body = self.rfile.read(int(self.headers.get("Content-Length") or 0))
            result = handle(self.command, self.path, self.headers, body)
            if result is None:
                time.sleep(60)
                self.close_connection = True
                return
            status, value = result
            text = b"" if value is None else json.dumps(value).encode()
            self.send_response(status)
            self.send_header("Content-Type", "application/json")
            self.send_header("Content-Length", str(len(text)))
            self.end_headers()
            self.wfile.write(text)

        do_GET = do_POST = do_DELETE = do_PUT = answer

        def log_message(self, *_):
            pass

    server = Server(("127.0.0.1", port), Handler)
    threading.Thread(target=server.serve_forever, kwargs=dict(poll_interval=0.05), daemon=True).start()
    return server


class Store:
    """The platform's table store. It can turn the machines at some of its addresses away with 503."""

    def __init__(self, record):
        self.record, self.rows, self.history, self.version = record, {}, [], 0
        self.changed, self.rejected_ports = threading.Condition(), set()

    def address(self):
        port = free_port()
        serve(port, lambda *call: self.handle(port, *call))
        return port

    def handle(self, port, method, path, _headers, body):
        if port in self.rejected_ports:
            return 503, None
        path, _, query = path.partition("?")
        query = dict(pair.split("=", 1) for pair in query.split("&") if "=" in pair)
        if path == "/v1/rows-tx":
            return self.transact(json.loads(body))
        if path == "/v1/rows-get":
            with self.changed:
                rows = [dict(table=t, part=p, key=k, value=value, ver=ver) for (t, p, k), (value, ver) in sorted(self.rows.items())
                        if t == query["table"] and p == query.get("part", "")]
                return 200, dict(rows=rows, truncated=False, ver=self.version, now_ms=int(now_s() * 1000))
        if path == "/v1/rows-feed":
            return self.feed(port, query["table"], int(query["after"]), int(query.get("wait_ms", 0)) / 1000)
        return 404, None

    def transact(self, body):
        with self.changed:
            name = lambda row: (row["table"], row.get("part", ""), row["key"])
            for row in body.get("expect_rev", []):
                if self.rows.get(name(row), (None, 0))[1] != row["ver"]:
                    return 412, dict(rows=[], ver=self.version, now_ms=int(now_s() * 1000))
            self.version += 1
            for row in body.get("puts", []):
                self.rows[name(row)] = (row["value"], self.version)
                self.history.append((self.version, name(row)))
            for row in body.get("remove", []):
                if self.rows.pop(name(row), None):
                    self.history.append((self.version, name(row)))
            self.changed.notify_all()
            return 200, dict(ver=self.version, now_ms=int(now_s() * 1000))

    def feed(self, port, table, after, wait_s):
        until = time.monotonic() + wait_s
        with self.changed:
            while True:
                if port in self.rejected_ports:
                    return 503, None
                changed = []
                for version, name in self.history:
                    if version > after and name[0] == table:
                        t, p, k = name
                        value, ver = self.rows.get(name, (None, version))
                        row = dict(table=t, part=p, key=k, ver=ver)
                        row.update(dict(deleted=True) if value is None else dict(value=value))
                        changed.append(row)
                left_s = until - time.monotonic()
                if changed or left_s <= 0:
                    return 200, dict(rows=changed, ver=self.version, now_ms=int(now_s() * 1000))
                self.changed.wait(left_s)

    def put(self, key, value):
        """An operator's write; its return is the acknowledgement."""
        row = dict(table="op", part="", key=key)
        if value is None:
            self.transact(dict(remove=[row]))
        else:
            self.transact(dict(puts=[dict(row, value=base64.b64encode(json.dumps(value).encode()).decode())]))
        return self.record.add("acknowledged", row="op/" + key, value=value)

    def reject(self, machines):
        """Turns these machines away from now on, and serves the others."""
        with self.changed:
            self.rejected_ports = {machine["store"] for machine in machines}
            self.changed.notify_all()
        self.record.add("store turns away", machines=[machine["name"] for machine in machines])


class Worker:
    """A worker as the pages describe it. A task's spec is its run time in milliseconds."""

    def __init__(self, record, worker_id, service, zone, agent_port, port, cpu=8000, labels=("a", "r1-1"),):
        self.record, self.id, self.service, self.zone, self.cpu, self.labels = record, worker_id, service, zone, cpu, list(labels)
        self.agent_port, self.port, self.state, self.seq = agent_port, port, "ready", 0
        self.born, self.started = int(time.time() * 1000), time.monotonic()
        self.lock = threading.Condition()
        self.token, self.lease_ms, self.runs, self.used, self.ends, self.last_end = 0, 0, {}, {}, [], 0
        self.stopped = False
        self.server = serve(port, self.handle)
        for loop in (self.heartbeats, self.clockwork):
            threading.Thread(target=loop, daemon=True).start()

    def clock_ms(self):
        return int((time.monotonic() - self.started) * 1000)

    # Reports.

    def report(self):
        return {"service": self.service, "address": f"127.0.0.1:{self.port}", "zone": self.zone, "version": "v1", "slots": 8,
                "state": self.state, "cold_remaining_ms": 0, "capacity": {"cpu": self.cpu, "mem_mb": 262144, "gpu": 0},
                "labels": self.labels, "clock_ms": self.clock_ms(), "seq": self.seq, "born": self.born}

    def beat(self):
        """Sends a heartbeat; returns whether it was acknowledged within a second."""
        self.seq += 1
        body = self.report()
        status = post(self.agent_port, f"/v1/Instances.Heartbeat/{self.id}", body, timeout=1.0)
        if status == 200:
            self.record.add("heartbeat acknowledged", worker=self.id, state=body["state"], seq=body["seq"])
        return status == 200

    def heartbeats(self):
        while not self.stopped:
            self.beat()
            time.sleep(HEARTBEAT_S)

    # Runs.

    def end(self, task, how):
        number, _ = self.runs.pop(task)
        self.used[task] = max(self.used.get(task, 0), number)
        self.last_end += 1
        self.ends.append([self.last_end, task, number, how, ""])
        self.record.add("end", worker=self.id, task=task, run=number, how=how)
        self.lock.notify_all()

    def clockwork(self):
        while not self.stopped:
            with self.lock:
                lapsed = self.clock_ms() >= self.lease_ms
                for task, (_, done_at) in list(self.runs.items()):
                    if lapsed:
                        self.end(task, "lapsed")
                    elif time.monotonic() >= done_at:
                        self.end(task, "done")
            time.sleep(0.002)

    def grant(self, until_ms):
        if until_ms is not None:
            self.lease_ms = max(self.lease_ms, min(until_ms, self.clock_ms() + BOUNDS["hold_max_ms"]))

    def handle(self, _method, path, headers, body):
        expected = headers.get("Rattanslip-Expected-Instance")
        if expected not in (None, self.id):
            return 421, dict(clock_ms=self.clock_ms())
        body = json.loads(body)
        with self.lock:
            if body.get("fencing_token", 0) < self.token:
                return 409, dict(clock_ms=self.clock_ms(), reason="fence")
            self.token = body.get("fencing_token", 0)
            if path == "/v1/run-start":
                return self.start(body)
            if path == "/v1/run-stop":
                return self.stop(body["task"], body["run"])
            if path == "/v1/hold":
                return self.hold(body)
        return 404, None

    def start(self, body):
        task, number = body["task"], body["run"]
        reject = lambda reason: (409, dict(clock_ms=self.clock_ms(), reason=reason))
        if self.runs.get(task, (0,))[0] == number:
            return 200, dict(clock_ms=self.clock_ms())
        if max(body["deadline_ms"], self.lease_ms) <= self.clock_ms():
            return reject("late")
        self.grant(body["deadline_ms"])
        if task in self.runs or number <= self.used.get(task, 0):
            return reject("old")
        if len(self.runs) >= 8:
            return reject("room")
        self.runs[task] = (number, time.monotonic() + int(body["spec"].split()[0]) / 1000)
        self.record.add("start", worker=self.id, zone=self.zone, state=self.state, task=task, run=number, spec=body["spec"])
        return 200, dict(clock_ms=self.clock_ms())

    def stop(self, task, number):
        self.record.add("stop", worker=self.id, task=task, run=number)
        if self.runs.get(task, (0,))[0] == number:
            self.end(task, "stopped")
        self.used[task] = max(self.used.get(task, 0), number)
        return 200, dict(clock_ms=self.clock_ms())

    def hold(self, body):
        self.grant(body.get("deadline_ms"))
        self.ends = [end for end in self.ends if end[0] > body.get("last_seen", 0)]
        if not self.ends and body.get("wait_ms"):
            self.lock.wait_for(lambda: self.ends, min(body["wait_ms"], 2000) / 1000)
        running = [[task, number, "", 100, 1000] for task, (number, _) in self.runs.items()]
        return 200, dict(clock_ms=self.clock_ms(), born=self.born, running=running, finished=self.ends[:500])


def post(port, path, body, headers=None, timeout=3.0, method="POST"):
    """Sends one request; returns the status, or None without an answer."""
    return call(port, path, body, headers, timeout, method)[0]


def call(port, path, body=None, headers=None, timeout=3.0, method="POST"):
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout)
    try:
        text = None if body is None else json.dumps(body)
        connection.request(method, path, text, {"Content-Type": "application/json", **(headers or {})})
        response = connection.getresponse()
        return response.status, response.read().decode()
    except (OSError, http.client.HTTPException) as error:
        return None, repr(error)
    finally:
        connection.close()


def wait_until(condition, limit_s, step_s=0.02):
    until = time.monotonic() + limit_s
    while time.monotonic() < until:
        if condition():
            return True
        time.sleep(step_s)
    return False


class CannotRun(Exception):
    """The deployment does not come up."""


Route = collections.namedtuple("Route", "name host prefix service")


class LogReader:
    """Reads what one program writes to its standard output and standard error, through one pipe each; it can stall."""

    def __init__(self, folder, name):
        self.reading, self.ends = threading.Event(), []
        self.reading.set()
        for stream in ("stdout", "stderr"):
            source, sink = os.pipe()
            self.ends.append(sink)
            threading.Thread(target=self.read, args=(source, folder / f"{name}.{stream}"), daemon=True).start()

    def read(self, source, path):
        with open(path, "wb") as log:
            while True:
                self.reading.wait()
                data = os.read(source, 65536)
                if not data:
                    return
                log.write(data)


class Site:
    """Entries, agents and workers, started with the commands and the templates of the deploy file."""

    def __init__(self, record, entries, agents, services=("shares",), timeout_ms=1500, piped_logs=False, limits=None):
        """`entries` are zones; `agents` are pairs of a zone and a service."""
        self.log_readers, self.piped_logs = [], piped_logs
        self.record, self.folder = record, pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.programs, self.entries, self.agents, self.workers = [], [], [], []
        self.store, self.timeout_ms = Store(record), timeout_ms
        self.routes = [Route(f"r-{service}", f"{service}.example", f"/{service}/", service) for service in services]
        self.version = 0
        self.put_config(**(limits or {}))
        links = [free_port() for _ in entries]
        for number, zone in enumerate(entries):
            entry = dict(name=f"front-{zone}-{number}", client=free_port(), ready=free_port(), store=self.store.address())
            text = self.common(entry["name"], zone, entry["store"])
            text += f'client_listen = "127.0.0.1:{entry["client"]}"\nready_listen = "127.0.0.1:{entry["ready"]}"\n'
            text += f'link_listen = "127.0.0.1:{links[number]}"\nremote_penalty = 1.5\n[log]\nformat = "json"\nlevel = "info"\n'
            entry["process"] = self.run("rattanslip-entry", entry["name"], text)
            self.entries.append(entry)
        seeds = ", ".join(f'"127.0.0.1:{port}"' for port in links[:3])
        for number, (zone, service) in enumerate(agents):
            agent = dict(name=f"side-{zone}-{number}", worker=free_port(), control=free_port(), store=self.store.address())
            text = self.common(agent["name"], zone, agent["store"])
            text += f'service = "{service}"\nworker = "127.0.0.1:{agent["worker"]}"\nworker_listen = "127.0.0.1:{agent["control"]}"\n'
            text += f'seeds = [{seeds}]\n[log]\nformat = "json"\nlevel = "info"\n'
            agent["process"] = self.run("rattanslip-agent", agent["name"], text)
            self.agents.append(agent)
        for number, (zone, service) in enumerate(agents):
            agent = self.agents[number]
            self.workers.append(Worker(record, f"i-{number:08x}", service, zone, agent["control"], agent["worker"]))

    def common(self, name, zone, store):
        return (f'deployment = "site"\nname = "{name}"\navailability_zone = "{zone}"\nmetrics_listen = "127.0.0.1:{free_port()}"\n'
                f'store = "127.0.0.1:{store}"\nresend_ms = {BOUNDS["resend_ms"]}\nstop_ms = {BOUNDS["stop_ms"]}\n'
                f'stop_grace_s = {BOUNDS["stop_grace_s"]}\n')

    def run(self, program, name, text):
        path = self.folder / f"{name}.toml"
        path.write_text(text)
        if self.piped_logs:
            reader = LogReader(self.folder, name)
            output, errors = reader.ends
            self.log_readers.append(reader)
        else:
            output = errors = os.open(self.folder / f"{name}.log", os.O_WRONLY | os.O_CREAT)
        process = subprocess.Popen([BIN / program, "--settings", path], stdout=output, stderr=errors, cwd=TOP)
        for descriptor in {output, errors}:
            os.close(descriptor)
        self.programs.append(process)
        return process

    def put_config(self, **limits):
        """Writes the next version of the configuration; returns when it was acknowledged."""
        self.version += 1
        routes = [dict(name=route.name, host=route.host, path_prefix=route.prefix, kind="unsafe", timeout_ms=self.timeout_ms,
                       target_duration_ms=60, priority=1, service=route.service, max_attempts=3, stretch=1.6) for route in self.routes]
        services = [dict(name=service, health_path="/health", max_conns=64, protocol="h1", tls=False, cold_start_s=0.0, cold_per_s=0.0,
                         rejects_overload=True, standby=False) for service in {route.service for route in self.routes}]
        limits = {**dict(max_header_bytes=16384, max_body_bytes=262144, header_timeout_ms=3000, idle_timeout_ms=15000), **limits}
        return self.store.put("config", dict(version=self.version, routes=routes, services=services, limits=limits))

    def wait_ready(self):
        """Waits until each entry is ready and each worker has run a task."""
        up = lambda: all(call(entry["ready"], "/v1/ready", method="GET")[0] == 200 for entry in self.entries)
        if not wait_until(up, 15, 0.1):
            raise CannotRun("an entry is not ready")

        def all_used():
            for route in self.routes:
                for entry in self.entries:
                    self.submit(entry, route, steps=[dict(count=8, cpu=1000, mem_mb=64, estimate_ms=40)], spec="40")
            return {line["worker"] for line in self.record.of("start")} == {worker.id for worker in self.workers}
        if not wait_until(all_used, 15, 0.1):
            raise CannotRun("a worker gets no tasks")

    def submit(self, entry, route, steps, spec, job=None, deadline_ms=None, timeout=None):
        """Submits a job that needn't be stored and waits for its end; returns the status and the body."""
        job = job or f"{random.SystemRandom().getrandbits(64):016x}"
        deadline_ms = deadline_ms or self.timeout_ms
        self.record.add("submitted", job=job, queue=route.name, entry=entry["name"], spec=spec, steps=steps)
        headers = {"Host": route.host, "Rattanslip-Deadline-Ms": str(deadline_ms)}
        status, text = call(entry["client"], route.prefix + job, dict(spec=spec, steps=steps, best_effort=True), headers,
                            timeout or deadline_ms / 1000 + 1)
        self.record.add("answered", job=job, queue=route.name, entry=entry["name"], status=status, body=text)
        return status, text

    def crashed(self):
        return [process.args[0].name for process in self.programs if process.poll() is not None]

    def close(self):
        for reader in self.log_readers:
            reader.reading.set()
        for worker in self.workers:
            worker.stopped = True
        for process in self.programs:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


def main(case, folder):
    """Plays a case: `case(record, trouble)` returns a list of broken promises. Returns the exit code."""
    record = Record(pathlib.Path(folder) / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"

    def stop(*_):
        raise CannotRun("stopped by a signal")
    signal.signal(signal.SIGTERM, stop)
    try:
        broken = case(record, trouble)
    except Exception as error:
        print(f"cannot run: {error!r}", flush=True)
        record.write()
        os._exit(2)  # clients of the case may still wait for answers
    record.write()
    for line in broken[:10]:
        print(line)
    print(f"{'broken' if broken else 'held'} ({'with' if trouble else 'without'} the disruption)")
    return 1 if broken else 0
