"""Runs the platform's programs as real processes on loopback, before scripted upstreams."""

import http.client
import http.server
import json
import os
import shutil
import signal
import socket
import subprocess
import tempfile
import threading
import time
import unittest
from pathlib import Path

BUILD = Path(os.environ.get("RATTANRILL_BUILD", "build"))
# Deployments with different first ports can run beside each other.
PEER_PORT = int(os.environ.get("RATTANRILL_TEST_PORT", "29760"))
CALLER_PORT = PEER_PORT + 1
READY_PORT = PEER_PORT + 2
OPERATOR_PORT = PEER_PORT + 3
LIST_ADDRESS = ("127.0.9.1", PEER_PORT + 4)
UPSTREAM_PORT = PEER_PORT + 5
HOST = "booth.example"
KEY = "first-key"
CRASHING_PART = "bad"
# A request whose body begins with this crashes its upstream.
CRASHING_BODY = b"crash"


class Upstream(http.server.BaseHTTPRequestHandler):
    """Streams 20 events and records the requests it receives. A request whose prompt has the part
    CRASHING_PART, or whose body begins with CRASHING_BODY, breaks all connections of its upstream
    before the first event. The responses of an upstream in limits name its limit, and those of one
    in leaving announce that it leaves. The connection of a stream with a path below /ask/cut/ that is
    not resumed is closed after three events. A response to a path that ends with /late begins after
    300 ms. The last part of a path below /slow/ or /once/ is the time between two events in
    milliseconds; elsewhere it is 20 ms. Requests below /list/fail/ get status 500, except for those
    whose number, counted from 1, is in unanswered: their connection is closed after two seconds."""

    protocol_version = "HTTP/1.1"
    received = []
    arrivals = []
    limits = {}
    leaving = set()
    connections = {}
    crashes = []
    fails = 0
    unanswered = set()
    lock = threading.Lock()

    def log_message(self, *_):
        pass

    def setup(self):
        super().setup()
        with self.lock:
            self.connections.setdefault(self.server.server_address, set()).add(self.connection)

    def finish(self):
        with self.lock:
            self.connections[self.server.server_address].discard(self.connection)
        super().finish()

    def crash(self):
        self.break_connections(self.server.server_address)

    @classmethod
    def break_connections(cls, address):
        """Breaks all connections of the upstream with the given host and port, as its crash does."""
        with cls.lock:
            cls.crashes.append(time.monotonic())
            for connection in cls.connections.get(address, ()):
                try:
                    connection.shutdown(socket.SHUT_RDWR)
                except OSError:
                    pass

    def event_period(self):
        """Returns the seconds between two events."""
        _, prefix, period = self.path.split("/", 2)
        return int(period) / 1000 if prefix in ("slow", "once") else 0.02

    def fail(self):
        with self.lock:
            type(self).fails += 1
            is_answered = self.fails not in self.unanswered
        if not is_answered:
            time.sleep(2)
            self.close_connection = True
            return
        self.send_response(500)
        self.send_header("Request-Id", self.headers["Request-Id"])
        self.send_header("Response-Signature", "signed")
        self.send_header("Server-Load", "1,0,8")
        self.send_header("Content-Length", "0")
        self.end_headers()

    def do_POST(self):
        body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
        with self.lock:
            self.received.append((self.path, dict(self.headers), body))
            self.arrivals.append((self.server.server_address[0], time.monotonic()))
            limit = self.limits.get(self.server.server_address[0])
        if self.path.startswith("/list/fail/"):
            return self.fail()
        if self.path.endswith("/late"):
            time.sleep(0.3)
        begin = int(self.headers.get("Last-Event-Id", 0)) + 1
        self.send_response(200)
        self.send_header("Request-Id", self.headers["Request-Id"])
        self.send_header("Response-Signature", "signed")
        self.send_header("Server-Load", "1,0,8")
        if limit is not None:
            self.send_header("Server-Limit", str(limit))
        if self.server.server_address[0] in self.leaving:
            self.send_header("Server-Leaving", "1")
        self.send_header("Content-Type", "text/event-stream")
        self.send_header("Transfer-Encoding", "chunked")
        try:
            self.end_headers()
            if CRASHING_PART in self.headers.get("Prompt-Prefix", "") \
                    or body.startswith(CRASHING_BODY):
                time.sleep(0.05)
                return self.crash()
            for number in range(begin, 21):
                if self.path.startswith("/ask/cut/") and begin == 1 and number == 4:
                    return self.connection.shutdown(socket.SHUT_RDWR)
                event = f"id: {number}\ndata: d{number}\n\n".encode()
                self.wfile.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
                self.wfile.flush()
                time.sleep(self.event_period())
            self.wfile.write(b"0\r\n\r\n")
        except OSError:
            pass


class InstanceList(http.server.BaseHTTPRequestHandler):
    """Lists the upstreams in numbers and one invalid entry. on_read is called before each response
    that shows an upstream as draining, so that a test can freeze the reader until it has been
    sent."""

    protocol_version = "HTTP/1.1"
    numbers = (1, 2)
    slots = 4
    draining = set()
    versions = {}
    zones = {}
    reads = []
    on_read = None

    def log_message(self, *_):
        pass

    def do_GET(self):
        instances = [{"id": f"i-{n}", "service": "lm", "address": f"127.0.8.{n}:{UPSTREAM_PORT}",
                      "zone": self.zones.get(n, "a"), "slots": self.slots,
                      "version": self.versions.get(f"127.0.8.{n}", "v1"),
                      "state": "draining" if f"127.0.8.{n}" in self.draining else "ready"}
                     for n in self.numbers]
        shows_draining = bool(self.draining)
        instances.append({"id": 7, "state": "resting"})
        body = json.dumps({"instances": instances, "next": None}).encode()
        self.reads.append(time.monotonic())
        if shows_draining and InstanceList.on_read is not None:
            InstanceList.on_read()
        self.send_response(200)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)


def configuration(version, keys=(KEY,), rate=100):
    return {
        "version": version,
        "routes": [
            {"name": "stream", "hostname": HOST, "path-prefix": "/ask/", "type": "streaming",
             "timeout-ms": 5000, "target-latency-ms": 300, "service": "lm", "max-attempts": 2,
             "resumable": True, "gap-aim-ms": 300},
            {"name": "lookup", "hostname": HOST, "path-prefix": "/lookup/", "type": "safe",
             "timeout-ms": 5000, "target-latency-ms": 1000, "service": "lm", "max-attempts": 2},
            {"name": "lists", "hostname": HOST, "path-prefix": "/list/", "type": "batch",
             "timeout-ms": 4000, "target-latency-ms": 400, "service": "lm", "max-attempts": 3,
             "completion-target-ms": 18000, "max-queue-s": 60, "max-count": 1000}],
        "services": [{"name": "lm", "health-check": "/health", "max-connections": 100}],
        "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304,
                   "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
        "tenants": [{"name": "vendors", "api-keys": list(keys), "rate-per-s": rate,
                     "burst": rate}]}


def call(host, port, method, path, body=None, headers=None, timeout=5):
    connection = http.client.HTTPConnection(host, port, timeout=timeout)
    try:
        connection.request(method, path, body, {"Host": HOST, **(headers or {})})
        response = connection.getresponse()
        return response.status, response.read(), dict(response.getheaders())
    finally:
        connection.close()


def wait_until(condition, seconds=20):
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        try:
            if condition():
                return True
        except (OSError, http.client.HTTPException):
            pass
        time.sleep(0.05)
    return False


class PlatformDeployment(unittest.TestCase):
    """Base of test cases. Runs three control and, unless a subclass sets other numbers, three store
    and two entry processes, each on its own address."""

    stores = 3
    entries = 2
    # Settings of the processes of a role in addition to those that all tests use.
    role_settings = {}

    @classmethod
    def setUpClass(cls):
        cls.directory = tempfile.TemporaryDirectory()
        cls.servers = []
        cls.serve(LIST_ADDRESS, InstanceList)
        cls.start_upstreams()
        cls.processes = {}
        for role, count in (("control", 3), ("store", cls.stores), ("entry", cls.entries)):
            for number in range(1, count + 1):
                cls.start(role, number, founding=True)
        cls.ready = wait_until(lambda: cls.put_configuration(configuration(1)) == 200) and \
            wait_until(lambda: all(cls.is_ready(n) for n in range(1, cls.entries + 1)))

    @classmethod
    def serve(cls, address, handler):
        server = http.server.ThreadingHTTPServer(address, handler)
        server.daemon_threads = True
        threading.Thread(target=server.serve_forever, daemon=True).start()
        cls.servers.append(server)

    @classmethod
    def start_upstreams(cls):
        """Starts the listed upstreams; here as threads of this process."""
        for number in InstanceList.numbers:
            cls.serve((f"127.0.8.{number}", UPSTREAM_PORT), Upstream)

    @classmethod
    def tearDownClass(cls):
        for process in cls.processes.values():
            process.kill()
            process.wait()
        for server in cls.servers:
            server.shutdown()
            server.server_close()
        cls.directory.cleanup()

    @staticmethod
    def address(role, number):
        return f"127.0.{ {'control': 1, 'store': 2, 'entry': 3}[role] }.{number}"

    @classmethod
    def start(cls, role, number, founding=False):
        host = cls.address(role, number)
        name = f"{role}-{number}"
        settings = {
            "instance": name, "failureDomain": "abcd"[(number - 1) % 4], "peerHost": host,
            "peerPort": PEER_PORT, "founding": founding, "clusterSecret": "secret",
            "seeds": [f"{cls.address('control', n)}:{OPERATOR_PORT}" for n in (1, 2, 3)],
            "listAddress": "%s:%d" % LIST_ADDRESS, "graceSeconds": 8}
        if role == "entry":
            settings["callerAddress"] = f"{host}:{CALLER_PORT}"
            settings["readinessAddress"] = f"{host}:{READY_PORT}"
        else:
            settings["dataFolder"] = f"{cls.directory.name}/{name}"
        if role == "control":
            settings["operatorAddress"] = f"{host}:{OPERATOR_PORT}"
        settings.update(cls.role_settings.get(role, {}))
        path = Path(cls.directory.name) / f"{name}.json"
        path.write_text(json.dumps(settings))
        with open(Path(cls.directory.name) / f"{name}.log", "ab") as log:
            cls.processes[name] = subprocess.Popen(
                [BUILD / "bin" / f"rattanrill-platform-{role}"], stdout=log, stderr=log,
                env={**os.environ, "RATTANRILL_NODE_FILE": str(path)})

    def setUp(self):
        self.assertTrue(self.ready, "the deployment did not become ready")

    @classmethod
    def is_ready(cls, entry):
        return call(cls.address("entry", entry), READY_PORT, "GET", "/readiness")[0] == 200

    @classmethod
    def put_configuration(cls, document, control=1):
        body = document if isinstance(document, str) else json.dumps(document)
        return call(cls.address("control", control), OPERATOR_PORT, "POST", "/Config.Replace",
                    body)[0]

    @classmethod
    def configuration_version(cls, control=1):
        status, body, _ = call(cls.address("control", control), OPERATOR_PORT, "GET",
                               "/Config.Get")
        return json.loads(body)["version"] if status == 200 else status

    @classmethod
    def restart_all(cls, role, numbers):
        for number in numbers:
            cls.kill(role, number)
            cls.start(role, number)

    @classmethod
    def kill(cls, role, number):
        process = cls.processes[f"{role}-{number}"]
        process.send_signal(signal.SIGKILL)
        process.wait()

    @classmethod
    def kill_all(cls):
        """Kills all processes at once, as a loss of all power does."""
        for process in cls.processes.values():
            process.send_signal(signal.SIGKILL)
        for process in cls.processes.values():
            process.wait()

    @classmethod
    def start_all(cls):
        for name in list(cls.processes):
            role, number = name.split("-")
            cls.start(role, int(number))

    @classmethod
    def remove_disk(cls, role, number):
        """Removes the data of a process that does not run."""
        shutil.rmtree(Path(cls.directory.name) / f"{role}-{number}")

    @classmethod
    def log_lines(cls, role, event):
        """Returns the lines with the given event of all processes of a role, as pairs of the number
        of the process and the line, sorted by time."""
        lines = []
        for path in Path(cls.directory.name).glob(f"{role}-*.log"):
            number = int(path.stem.split("-")[1])
            lines += [(number, json.loads(line)) for line in path.read_text().splitlines()
                      if f'"{event}"' in line]
        return sorted(lines, key=lambda entry: entry[1]["time"])

    @classmethod
    def fleet_leader(cls):
        """Returns the number of the control process that gained the leadership last."""
        def gained(number):
            log = (Path(cls.directory.name) / f"control-{number}.log").read_text()
            return max((json.loads(line)["time"] for line in log.splitlines()
                        if '"leadership-gained"' in line), default="")
        return max((1, 2, 3), key=gained)

    def send_request(self, request_id, entry=1, key=KEY, path="/ask/1", prompt="",
                     body=b"question"):
        headers = {"Request-Id": request_id, "Deadline-Ms": "5000",
                   "Authorization": f"Bearer {key}"}
        if prompt:
            headers["Prompt-Prefix"] = prompt
        return call(self.address("entry", entry), CALLER_PORT, "POST", path, body, headers)
