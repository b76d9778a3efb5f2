"""A deployment of release programs on loopback, for scripts/slopes. Kills only its own child processes."""

import http.client
import itertools
import json
import os
import random
import re
import shutil
import socket
import subprocess
import tempfile
import time

BIN = "target/release"
SERVICE = "probe"
TOKEN = "slopes-token"
ZONES = [f"zone-{number}" for number in range(8)]
PEER_PORT = 7400
HTTP_PORT = 7401


def free_address():
    """Returns a loopback address with an unused port."""
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{listener.getsockname()[1]}"


def http_call(address, method, path, body=None, headers=None, timeout=30):
    """Sends a request; returns status, headers and body of the response."""
    host, port = address.split(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        connection.request(method, path, body, headers or {})
        response = connection.getresponse()
        return response.status, dict(response.getheaders()), response.read().decode()
    finally:
        connection.close()


def eventually(what, check, limit_s=60):
    """Polls `check` until it holds."""
    until = time.monotonic() + limit_s
    while time.monotonic() < until:
        try:
            if check():
                return
        except (OSError, http.client.HTTPException):
            pass
        time.sleep(0.02)
    raise TimeoutError(f"not within {limit_s} s: {what}")


class Usage:
    """Sample of the processor time and peer traffic of a process."""

    def __init__(self, process, metrics_address):
        self.at = time.monotonic()
        self.cpu_s = process.cpu_s()
        self.metrics = metrics(metrics_address) if metrics_address else {}

    def since(self, earlier):
        """Rates since an earlier sample: cores, payload bytes and writes per second."""
        elapsed = self.at - earlier.at
        rate = {"cores": (self.cpu_s - earlier.cpu_s) / elapsed}
        for name, key in [
            ("sent", 'rattanslip_peer_bytes_total{reason="sent"}'),
            ("received", 'rattanslip_peer_bytes_total{reason="received"}'),
            ("writes", 'rattanslip_peer_writes_total{reason="sent"}'),
        ]:
            rate[name] = (self.metrics.get(key, 0) - earlier.metrics.get(key, 0)) / elapsed
        return rate


def metrics(address):
    """Reads all metrics of a process, by name and labels."""
    _, _, text = http_call(address, "GET", "/metrics")
    lines = [line.rsplit(" ", 1) for line in text.splitlines() if not line.startswith("#")]
    return {name: float(value) for name, value in lines}


class Process:
    """A child process."""

    def __init__(self, name, arguments, log):
        self.name = name
        with open(log, "wb") as output:
            self.child = subprocess.Popen(
                [f"{BIN}/{arguments[0]}", *arguments[1:]], stdout=output, stderr=output
            )

    def cpu_s(self):
        """Processor time of all threads in seconds, as counted by the scheduler."""
        folder = f"/proc/{self.child.pid}/task"
        total = 0
        for thread in os.listdir(folder):
            try:
                with open(f"{folder}/{thread}/schedstat", encoding="ascii") as file:
                    total += int(file.read().split()[0])
            except FileNotFoundError:
                pass
        return total / 1e9

    def rss_kb(self):
        """Resident memory (VmRSS) in KB."""
        with open(f"/proc/{self.child.pid}/status", encoding="ascii") as file:
            return int(re.search(r"VmRSS:\s+(\d+)", file.read()).group(1))

    def kill(self):
        """Kills the process and reaps it."""
        self.child.kill()
        self.child.wait()


class Deployment:
    """Platform, entries and agents."""

    def __init__(self):
        self.work = tempfile.mkdtemp(prefix="rattanslip-slopes-")
        self.processes = []
        self.entries = []
        self.numbers = itertools.count()
        self.net = f"127.{random.randint(64, 250)}.{random.randint(0, 200)}"
        self.next_ip = 1
        self.platform = free_address()
        self.start("rattanslip-standin", "platform", "--listen", self.platform)
        eventually("platform", lambda: self.calls() is not None)
        digest = subprocess.run(
            [f"{BIN}/rattanslip", "hash-token"], input=TOKEN, text=True, capture_output=True, check=True
        )
        self.token_digest = digest.stdout.strip()

    def __enter__(self):
        return self

    def __exit__(self, *_):
        for process in self.processes:
            process.kill()
        shutil.rmtree(self.work)

    def start(self, *arguments):
        """Starts a program that is killed with the deployment."""
        name = f"{arguments[0]}-{next(self.numbers)}"
        process = Process(name, arguments, f"{self.work}/{name}.log")
        self.processes.append(process)
        return process

    def calls(self):
        """Number of reads and writes that the platform has received."""
        return json.loads(http_call(self.platform, "GET", "/calls")[2])

    def add_entry(self, addresses=None):
        """Starts an entry; `addresses` are those of an entry that it replaces."""
        client, peer = addresses or (free_address(), free_address())
        settings = f"{self.work}/entry-{next(self.numbers)}.toml"
        with open(settings, "w", encoding="utf-8") as file:
            file.write(
                f'name = "entry-{peer.replace(":", "-").replace(".", "-")}"\n'
                f'availability_zone = "{ZONES[0]}"\nclient_listen = "{client}"\n'
                f'peer_listen = "{peer}"\nplatform = "{self.platform}"\n'
                f'[operators.slopes]\ntoken_blake3 = "{self.token_digest}"\n'
                'sections = ["capacity", "services", "zones", "quotas"]\n'
            )
        process = self.start("rattanslip-entry", "--settings", settings)
        process.client, process.peer = client, peer
        self.entries.append(process)
        eventually("entry", lambda: http_call(client, "GET", "/health")[0] == 200)
        return process

    def operator(self, *arguments, entry=0):
        """Runs the operator's command line."""
        environment = os.environ | {
            "RATTANSLIP_ENTRY": self.entries[entry].client,
            "RATTANSLIP_TOKEN": TOKEN,
        }
        command = [f"{BIN}/rattanslip", *arguments]
        return subprocess.run(command, env=environment, text=True, capture_output=True, check=True)

    def apply(self, workers, slots=8, note=0):
        """Applies a document with that many workers; a different `note` changes the document."""
        lines = []
        for number, zone in enumerate(ZONES):
            lines.append(f'[zones.{zone}]\nregion = "region-{number // 4}"\nstate = "open"')
        for number in range(workers):
            lines.append(
                f'[capacity.workers.w{number:04}]\navailability_zone = "{ZONES[number % 8]}"\n'
                f'rack = "r{number // 3}"\nslots = {slots}\nmemory_mb = 262144'
            )
        zones = ", ".join(f'"{zone}"' for zone in ZONES)
        lines.append(
            f"[services.{SERVICE}]\navailability_zones = [{zones}]\ndefault_deadline_ms = 10000\n"
            f"repeatable = false\nmemory_mb = {16 + note}\nmax_tasks = 200\n"
        )
        path = f"{self.work}/document.toml"
        with open(path, "w", encoding="utf-8") as file:
            file.write("\n".join(lines))
        held = json.loads(http_call(self.entries[0].client, "GET", "/v1/config")[2])["version"]
        self.operator("apply", "--based-on", str(held), path)
        for entry in self.entries:
            eventually("configuration", lambda: metrics(entry.client).get("rattanslip_config_version", 0) > note)

    def add_backend(self, agent_http="127.0.0.1:1", slots=8):
        """Starts a backend server that announces itself to an agent (to none by default)."""
        listen = free_address()
        process = self.start(
            "rattanslip-standin", "backend", "--listen", listen, "--agent", agent_http,
            "--service", SERVICE, "--slots", str(slots),
        )  # fmt: skip
        process.listen = listen
        return process

    def add_agents(self, count, backend=None, slots=8, first=0, zones=None, first_ip=None):
        """Starts one process with `count` agents."""
        first_ip = first_ip or self.take_ips(count)
        arguments = ["agents", "--count", str(count), "--first-ip", first_ip]
        arguments += ["--service", SERVICE, "--slots", str(slots), "--first-number", str(first)]
        for zone in zones or ZONES:
            arguments += ["--zone", zone]
        for entry in self.entries:
            arguments += ["--entry", entry.peer]
        if backend:
            arguments += ["--backend", backend]
        process = self.start("rattanslip-standin", *arguments)
        process.first_ip = first_ip
        process.count = count
        return process

    def take_ips(self, count):
        """Reserves `count` consecutive loopback addresses and returns the first one."""
        first = self.next_ip
        self.next_ip += count
        net, third = self.net.rsplit(".", 1)
        return f"{net}.{int(third) + first // 256}.{first % 256}"

    def add_agent(self, number, backend_slots=8):
        """Starts a single agent and, with `backend_slots`, its backend server."""
        peer, http = free_address(), free_address()
        settings = f"{self.work}/agent-{next(self.numbers)}.toml"
        entries = ", ".join(f'"{entry.peer}"' for entry in self.entries)
        with open(settings, "w", encoding="utf-8") as file:
            file.write(
                f'worker = "w{number:04}"\navailability_zone = "{ZONES[number % 8]}"\n'
                f'peer_listen = "{peer}"\nhttp_listen = "{http}"\nentries = [{entries}]\n'
                f"slots = {max(backend_slots, 1)}\n"
            )
        process = self.start("rattanslip-agent", "--settings", settings)
        process.http = http
        eventually("agent", lambda: http_call(http, "GET", "/health")[0] == 200)
        if backend_slots:
            self.add_backend(http, backend_slots)
            eventually("backend", lambda: http_call(http, "GET", "/ready")[0] == 200)
        return process

    def await_agents(self, count):
        """Waits until each entry counts that many agents as alive."""
        for entry in self.entries:
            eventually(
                f"{count} agents", lambda: metrics(entry.client).get("rattanslip_agents_alive") == count
            )

    def submit(self, tasks, work_ms, entry=0, deadline_ms=10_000, wait_ms=None, headers=None):
        """Submits one job and returns its verdict."""
        address = self.entries[entry].client
        if headers is None:
            _, _, text = http_call(address, "POST", "/v1/tickets")
            tickets = json.loads(text).get("tickets")
            if not tickets:
                return "no-tickets"
            headers = {"rattanslip-ticket": tickets[0]}
        body = json.dumps({
            "service": SERVICE,
            "deadline_ms": deadline_ms,
            "tasks": [{"input": f"{work_ms} probe {index}"} for index in range(tasks)],
        })
        wait = "" if wait_ms is None else f"?wait_ms={wait_ms}"
        _, reply, _ = http_call(address, "POST", f"/v1/jobs{wait}", body, headers)
        return reply.get("rattanslip-verdict", "none")

    def load(self, tasks, jobs_per_s, duration_ms, work_ms=0, entry=0):
        """Runs a steady load of jobs and returns its report."""
        command = [
            f"{BIN}/rattanslip-standin", "jobs", "--entry", self.entries[entry].client, "--service", SERVICE,
            "--tasks", str(tasks), "--jobs-per-s", str(jobs_per_s), "--duration-ms", str(duration_ms),
            "--work-ms", str(work_ms),
        ]  # fmt: skip
        found = subprocess.run(command, text=True, capture_output=True, check=True)
        return json.loads(found.stdout.splitlines()[-1])
