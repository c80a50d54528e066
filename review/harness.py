"""Starts the programs of the deploy file on loopback, before stand-ins for the platform's list, for
workers and for clients. Used by the scripts in the folders beside it.

All times are in seconds of the steady clock since the start of the script, all addresses are
loopback addresses. Methods that call the system return a status of 0 when no response came.
"""

import asyncio
import base64
import hashlib
import http.client
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
HOST = "booth.example"
TENANT, KEY = "vendors", "first-key"
ZONES = ("a", "b", "c", "d")
STARTED = time.monotonic()

HELD, BROKEN, NOT_RUN = 0, 1, 2


def now():
    return time.monotonic() - STARTED


class Record:
    """Writes what was sent, answered and run to record.txt in the folder of the case."""

    def __init__(self, folder):
        self._file = open(Path(folder) / "record.txt", "w")
        self._lock = threading.Lock()

    def write(self, text):
        with self._lock:
            self._file.write(f"{now():8.3f}  {text}\n")
            self._file.flush()


def free_ports(count, hosts):
    """Returns ports that are free on all hosts."""
    found = []
    while len(found) < count:
        port = random.randrange(21000, 31000)
        try:
            for host in hosts:
                with socket.socket() as probe:
                    probe.bind((host, port))
        except OSError:
            continue
        if port not in found:
            found.append(port)
    return found


class Loop:
    """An asyncio loop in a thread of its own, for the stand-ins that serve."""

    def __init__(self):
        self.loop = asyncio.new_event_loop()
        threading.Thread(target=self.loop.run_forever, daemon=True).start()

    def run(self, coroutine, timeout=10):
        return asyncio.run_coroutine_threadsafe(coroutine, self.loop).result(timeout)


async def read_request(reader):
    """Returns method, target, headers (lower case) and body; None when the channel ends."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ", 2)
    headers = {}
    for line in lines[1:]:
        if line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = b""
    if "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return method, target, headers, body


def response(status, body=b"", headers=()):
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class InstanceList:
    """The platform's list of workers. Entries are shown with the lag of the sheet."""

    LAG = 0.8

    def __init__(self, loop, address):
        self.address = address
        self._history = [(float("-inf"), [])]
        loop.run(asyncio.start_server(self._serve, *address))

    def set(self, entries):
        self._history.append((time.monotonic(), [dict(entry) for entry in entries]))

    def shown(self):
        limit = time.monotonic() - self.LAG
        return [entries for at, entries in self._history if at <= limit][-1]

    async def _serve(self, reader, writer):
        while await read_request(reader) is not None:
            body = json.dumps({"instances": self.shown(), "next": None}).encode()
            writer.write(response(200, body, [("Content-Type", "application/json")]))
        writer.close()


class Worker:
    """A sound worker for requests for tokens. Each stream has a fixed text, which follows from the
    request's id, so that any worker may resume it."""

    def __init__(self, loop, record, identity, service, address, zone, slots=8, events=40,
                 period=0.05):
        self.identity, self.service, self.address, self.zone = identity, service, address, zone
        self.slots, self.events, self.period = slots, events, period
        self.state = "ready"
        self.running = 0
        self.ran = []
        self.unlisted = set()
        self._record = record
        self._loop = loop
        self._writers = set()
        self._server = loop.run(asyncio.start_server(self._serve, *address))

    def entry(self):
        return {"id": self.identity, "service": self.service,
                "address": "%s:%d" % self.address, "zone": self.zone, "version": "v1",
                "slots": self.slots, "state": self.state, "cold-remaining-ms": 0,
                "stage": "both", "models": [{"name": "m", "version": 1, "adapters": []}]}

    def stop(self):
        async def close():
            self._server.close()
            for writer in list(self._writers):
                writer.transport.abort()
        self._loop.run(close())

    def text(self, request_id):
        return text_of(request_id, self.events)

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                request = await read_request(reader)
                if request is None:
                    break
                await self._answer(request, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, request, writer):
        method, target, headers, _ = request
        request_id = headers.get("request-id", "")
        common = [("Request-Id", request_id), ("Server-Load", f"{self.running},0,{self.slots}")]
        if method == "GET":
            status = 200 if self.state == "ready" else 503
            writer.write(response(status, b"", [("Instance-Id", self.identity)]))
            return
        if headers.get("expect-instance", self.identity) != self.identity:
            writer.write(response(421, b"", common + [("Not-Executed", "1")]))
            return
        if self.running >= self.slots:
            writer.write(response(503, b"", common + [("Not-Executed", "1")]))
            return
        self.running += 1
        after = headers.get("last-event-id")
        self.ran.append((now(), request_id, headers.get("tenant-id", "")))
        self._record.write(f"worker {self.identity} ({self.service}) runs {request_id}"
                           f" after={after} tenant={headers.get('tenant-id')}")
        try:
            await self._stream(request_id, int(after or 0), common, writer)
        finally:
            self.running -= 1

    async def _stream(self, request_id, after, common, writer):
        await self._begin(request_id, common, writer)
        for number in range(after + 1, self.events + 1):
            await self._event(request_id, number, writer)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        self._record.write(f"worker {self.identity} ({self.service}) finished {request_id}")

    async def _begin(self, request_id, common, writer):
        head = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream",
                "Transfer-Encoding: chunked", f"Response-Signature: s.{request_id}"]
        head += [f"{name}: {value}" for name, value in common]
        writer.write("\r\n".join(head).encode() + b"\r\n\r\n")

    async def _event(self, request_id, number, writer, data=None, period=None):
        """Sends one event after the time between two events."""
        await asyncio.sleep(self.period if period is None else period)
        if writer.transport.is_closing():
            raise ConnectionError
        event = f"id: {number}\ndata: {data or event_data(request_id, number)}\n\n".encode()
        writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
        await writer.drain()


def event_data(request_id, number):
    return hashlib.sha256(f"{request_id}/{number}".encode()).hexdigest()[:32]


def text_of(request_id, events):
    return "\n".join(event_data(request_id, number) for number in range(1, events + 1))


def call(address, method, path, body=None, headers=None, timeout=5.0):
    """Returns status and body of one call on a new channel; the status is 0 without a response."""
    connection = http.client.HTTPConnection(*address, timeout=timeout)
    try:
        connection.request(method, path, body, {"Host": HOST, **(headers or {})})
        answer = connection.getresponse()
        return answer.status, answer.read()
    except (OSError, http.client.HTTPException):
        return 0, b""
    finally:
        connection.close()


def wait_until(condition, seconds):
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        if condition():
            return True
        time.sleep(0.05)
    return False


class Deployment:
    """The system's processes. Each has an address of its own: 127.x.ROLE.NUMBER."""

    ROLES = {"control": "core", "store": "store", "entry": "front"}

    def __init__(self, record, control=3, store=3, entry=2, memory=None):
        self.record = record
        self.counts = {"control": control, "store": store, "entry": entry}
        self.memory = {"control": 256, "store": 300, "entry": 260, **(memory or {})}
        self.net = random.randrange(20, 120)
        hosts = [self.host(role, n) for role, count in self.counts.items()
                 for n in range(1, count + 1)] + [f"127.{self.net}.9.1"]
        (self.peer_port, self.front_port, self.ready_port, self.control_port, self.metrics_port,
         self.list_port, self.worker_port) = free_ports(7, hosts)
        self.folder = tempfile.mkdtemp(prefix="rattanrill-review-")
        self.loop = Loop()
        self.list = InstanceList(self.loop, (f"127.{self.net}.9.1", self.list_port))
        self.processes = {}
        self._logs = []
        with open(ROOT / "deploy/system.toml", "rb") as deploy:
            self._commands = {name: role["run"].split()
                              for name, role in tomllib.load(deploy)["roles"].items()}

    def host(self, role, number):
        return f"127.{self.net}.{ {'control': 1, 'store': 2, 'entry': 3}[role] }.{number}"

    def front(self, number):
        return self.host("entry", number), self.front_port

    def control(self, number):
        return self.host("control", number), self.control_port

    def start(self, role, number, bootstrap=False):
        name = f"{self.ROLES[role]}-{number}"
        host = self.host(role, number)
        settings = {
            "instance": name, "failureDomain": ZONES[(number - 1) % len(ZONES)],
            "callerAddress": f"{host}:{self.front_port}" if role == "entry" else "",
            "readinessAddress": f"{host}:{self.ready_port}" if role == "entry" else "",
            "operatorAddress": f"{host}:{self.control_port}" if role == "control" else "",
            "metricsAddress": f"{host}:{self.metrics_port}",
            "peerHost": host, "peerPort": self.peer_port,
            "seeds": ["%s:%d" % self.control(n) for n in (1, 2, 3)],
            "founding": bootstrap,
            "dataFolder": "" if role == "entry" else f"{self.folder}/{name}",
            "clusterSecret": "region", "listAddress": "%s:%d" % self.list.address,
            "graceSeconds": 8, "rateWindowSeconds": 5, "rateOver": 0.1, "rateSlack": 20,
            "lossTolerance": 1, "memoryMegabytes": self.memory[role], "log": {"level": "info"}}
        path = Path(self.folder) / f"{name}.json"
        path.write_text(json.dumps(settings))
        log = open(Path(self.folder) / f"{name}.log", "ab")
        self._logs.append(log)
        self.processes[name] = subprocess.Popen(
            self._commands[role], cwd=ROOT, stdout=log, stderr=log,
            env={"PATH": os.environ["PATH"], "HOME": self.folder, "MALLOC_ARENA_MAX": "1",
                 "RATTANRILL_NODE_FILE": str(path)})
        self.record.write(f"start {name} bootstrap={bootstrap}")

    def start_all(self):
        for role, count in self.counts.items():
            for number in range(1, count + 1):
                self.start(role, number, bootstrap=True)

    def kill(self, name):
        self.record.write(f"kill {name}")
        self.processes[name].kill()
        self.processes[name].wait()

    def signal(self, name, number):
        self.record.write(f"signal {number} to {name}")
        self.processes[name].send_signal(number)

    def peak_mb(self, name):
        """Returns the most memory that the process has had since its start, in MB of 2^20 bytes;
        0 for a process that has ended."""
        try:
            status = Path(f"/proc/{self.processes[name].pid}/status").read_text()
        except OSError:
            return 0
        found = re.search(r"VmHWM:\s+(\d+) kB", status)
        return int(found.group(1)) / 1024 if found else 0

    def restart_ended(self, ends, pending, delay=0.5):
        """Kills processes with more memory than their settings allow and starts processes again
        that have ended, as the platform does. Adds the time of each end to ends[name]; pending
        holds the times of the starts to come."""
        for name, process in self.processes.items():
            role = {v: k for k, v in self.ROLES.items()}[name.rsplit("-", 1)[0]]
            if name in pending:
                continue
            peak = self.peak_mb(name)
            if process.poll() is None and peak > self.memory[role]:
                self.record.write(f"{name} uses {peak:.0f} MB of {self.memory[role]}")
                self.kill(name)
            if process.poll() is not None:
                self.record.write(f"{name} ended by itself, status {process.returncode}: "
                                  + self.log_text(name).strip().splitlines()[-1][:200])
                ends.setdefault(name, []).append(now())
                pending[name] = now() + delay
        for name, at in list(pending.items()):
            if now() >= at:
                del pending[name]
                role = {v: k for k, v in self.ROLES.items()}[name.rsplit("-", 1)[0]]
                self.start(role, int(name.rsplit("-", 1)[1]))

    def log_text(self, name):
        return (Path(self.folder) / f"{name}.log").read_text(errors="replace")

    def wipe(self, name):
        self.record.write(f"disk of {name} is lost")
        shutil.rmtree(Path(self.folder) / name, ignore_errors=True)

    def is_ready(self, number):
        return call((self.host("entry", number), self.ready_port), "GET", "/readiness",
                    timeout=1)[0] == 200

    def ready(self):
        return all(self.is_ready(n) for n in range(1, self.counts["entry"] + 1))

    def operate(self, method, path, document=None, first=1, seconds=4.0):
        """Sends a call of the operator to one control process after the other until it gets a
        clear response."""
        body = json.dumps(document) if document is not None else None
        end = time.monotonic() + seconds
        number = first - 1
        while True:
            number = number % self.counts["control"] + 1
            status, answer = call(self.control(number), method, path, body,
                                  {"Content-Type": "application/json"}, timeout=1)
            if status not in (0, 408, 429) and status < 500:
                break
            if time.monotonic() >= end:
                break
            time.sleep(0.1)
        self.record.write(f"operator {method} {path} -> {status} (core-{number})"
                          f" {answer[:200].decode(errors='replace')}")
        return status, answer

    def stop(self, keep=False):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()
        for log in self._logs:
            log.close()
        if keep:
            print("logs in", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


class Client:
    """A client of batch jobs. Repeats calls at the other front machines as the pages say."""

    def __init__(self, deployment):
        self.deployment = deployment
        self.record = deployment.record
        self.accepted = {}

    def fronts(self):
        return range(1, self.deployment.counts["entry"] + 1)

    def submit(self, job, count, prefix="/list/", tokens=600, body=b"x" * 15000, seconds=8.0):
        items = [{"id": f"{job}-{n}", "path": f"{prefix}item/{n}",
                  "headers": {"Model-Name": "m", "Token-Usage": "350,250",
                              "Prompt-Prefix": f"aa:100,{job}{n}:250"},
                  "body": base64.b64encode(body).decode(), "tokens": tokens}
                 for n in range(count)]
        document = json.dumps({"requests": items})
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            for front in self.fronts():
                status, _ = call(self.deployment.front(front), "POST", prefix + job, document,
                                 {"Request-Id": job, "Authorization": f"Bearer {KEY}",
                                  "Deadline-Ms": "4000", "Content-Type": "application/json"},
                                 timeout=5)
                self.record.write(f"client POST {prefix}{job} ({count} items) at front-{front}"
                                  f" -> {status}")
                if status == 202:
                    self.accepted[job] = [item["id"] for item in items]
                    return True
            time.sleep(0.3)
        return False

    def read(self, job, after=0, front=None, timeout=5.0):
        front = front or random.choice(list(self.fronts()))
        status, body = call(self.deployment.front(front), "GET", f"/lots/{job}?after={after}",
                            None, {"Authorization": f"Bearer {KEY}"}, timeout)
        return status, json.loads(body) if status == 200 else None

    def results(self, job, seconds=5.0):
        """Returns the results of a job from its start, or the last status if it can't be read."""
        end = time.monotonic() + seconds
        status, listed = 0, []
        while True:
            status, page = self.read(job, len(listed))
            if status == 200:
                listed += page["results"]
                if not page["results"]:
                    return listed
            elif time.monotonic() >= end:
                return status
            else:
                time.sleep(0.2)


LIMITS = {"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000,
          "idle-timeout-ms": 15000}


def batch_route(service, **changes):
    route = {"name": "lists", "hostname": HOST, "path-prefix": "/list/", "type": "batch",
             "timeout-ms": 15000, "target-latency-ms": 400, "priority": 2, "service": service,
             "max-attempts": 3, "completion-target-ms": 18000, "max-queue-s": 60,
             "max-count": 740000, "allow-anonymous": False, "session-affinity": True,
             "resumable": True}
    route.update(changes)
    return route


def service(name):
    return {"name": name, "health-check": "/health", "max-connections": 360, "protocol": "h1",
            "tls": False, "engine": {"slots": 8, "kv-capacity-tokens": 72000,
                                     "models": [{"name": "m"}]}}


def configuration(version, routes, services):
    return {"version": version, "routes": routes, "services": services, "limits": LIMITS,
            "tenants": [{"name": TENANT, "api-keys": [KEY], "priority": 1, "rate-per-s": 0,
                         "burst": 0}]}


def main(case):
    """Runs case(record) and exits with its verdict; with NOT_RUN when it raises."""
    def end(*_):
        raise TimeoutError("the script took too long")

    # The time limit of run.sh sends SIGTERM; the processes that were started are ended all the same.
    signal.signal(signal.SIGTERM, end)
    folder = Path(sys.argv[0]).resolve().parent
    record = Record(folder)
    try:
        verdict = case(record, os.environ.get("TROUBLE", "1") != "0")
    except Exception as error:  # The case could not run.
        record.write(f"could not run: {error!r}")
        verdict = NOT_RUN
    record.write(f"exit {verdict}")
    sys.stdout.flush()
    os._exit(verdict)  # Doesn't wait for calls of clients that are still open.
