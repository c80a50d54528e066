"""Starts the programs of deploy/system.toml as processes on loopback, with settings like those of a
small deployment, and stand-ins for the platform and the workers. Used by the scripts of the cases.

Exit statuses of a case: 0 the rule held, 1 it was broken, 2 the case couldn't run.
"""
import http.client
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import traceback
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
HOST = "ficu95.example"
ROLES = {"control": 1, "store": 2, "entry": 3}
GRACE_SECONDS = 8


class CannotRun(Exception):
    """The case couldn't run; says nothing about the rule."""


def call(address, method, path, body=None, headers=None, timeout=6):
    """Returns status, body and headers; the status is 0 for a channel without a whole answer."""
    host, port = address.rsplit(":", 1)
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        connection.request(method, path, body, {"Host": HOST, **(headers or {})})
        response = connection.getresponse()
        return response.status, response.read(), dict(response.getheaders())
    except (OSError, http.client.HTTPException):
        return 0, b"", {}
    finally:
        connection.close()


def wait_until(condition, seconds):
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        if condition():
            return True
        time.sleep(0.05)
    return False


def free_net():
    """Returns the first two numbers of loopback addresses on which nothing listens."""
    for _ in range(50):
        net = f"127.{random.randrange(20, 250)}"
        try:
            for host in (f"{net}.1.1", f"{net}.2.1", f"{net}.3.1"):
                for port in (7660, 8405, 8406, 8407, 9464):
                    with socket.socket() as probe:
                        probe.bind((host, port))
            for address in ((f"{net}.8.1", 8080), (f"{net}.9.1", 8408)):
                with socket.socket() as probe:
                    probe.bind(address)
            return net
        except OSError:
            continue
    raise CannotRun("no free loopback addresses")


class Deployment:
    """Processes by name ("store-1"). All times are in seconds."""

    def __init__(self, folder, counts=None, workers=3, slots=8, events=20, event_ms=10,
                 tenants=None):
        self.counts = counts or {"control": 5, "store": 3, "entry": 6}
        self.net = free_net()
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.record_path = Path(folder) / "record.txt"
        self.record_path.write_text("")
        self.record_file = self.record_path.open("a", buffering=1, encoding="utf-8")
        self.processes = {}
        self.standins = None
        self.worker_log = self.folder / "workers.jsonl"
        self.workers = [{"id": f"i-{n}", "service": "lm", "address": f"{self.net}.8.{n}:8080",
                         "zone": "zone-" + "abc"[n % 3], "slots": slots, "version": "v1"}
                        for n in range(1, workers + 1)]
        self.events = events
        self.event_ms = event_ms
        self.tenants = tenants or [{"name": "vendors", "api-keys": ["key-of-vendors"],
                                    "priority": 1, "rate-per-s": 0, "burst": 0}]

    def record(self, text):
        self.record_file.write(f"{time.monotonic():.4f} {text}\n")

    def ip(self, name):
        role, number = name.split("-")
        return f"{self.net}.{ROLES[role]}.{number}"

    def names(self, role):
        return [f"{role}-{n}" for n in range(1, self.counts[role] + 1)]

    def entry(self, number):
        return f"{self.net}.3.{number}:8405"

    def control(self, number=1):
        return f"{self.net}.1.{number}:8407"

    def settings(self, name, founding):
        """What deploy/settings.json.tmpl becomes on a machine."""
        role, number = name.split("-")
        ip = self.ip(name)
        zone = "zone-" + "abc"[int(number) % 3]
        return {
            "instance": name, "failureDomain": zone,
            "callerAddress": f"{ip}:8405" if role == "entry" else "",
            "readinessAddress": f"{ip}:8406" if role == "entry" else "",
            "operatorAddress": f"{ip}:8407" if role == "control" else "",
            "metricsAddress": f"{ip}:9464", "peerHost": ip, "peerPort": 7660,
            "seeds": [f"{self.net}.1.{n}:8407" for n in (1, 2, 3)], "founding": founding,
            "dataFolder": "" if role == "entry" else str(self.folder / name),
            "clusterSecret": "region", "listAddress": f"{self.net}.9.1:8408",
            "graceSeconds": GRACE_SECONDS, "rateWindowSeconds": 5, "rateOver": 0.1,
            "rateSlack": 20, "lossTolerance": 1,
            "memoryMegabytes": {"entry": 260, "store": 300, "control": 256}[role],
            "log": {"level": "info"}}

    def start(self, name, founding=False):
        role = name.split("-")[0]
        program = ROOT / "target" / "bin" / f"rattanrill-platform-{role}"
        if not program.exists():
            raise CannotRun(f"{program.name} is not built")
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(self.settings(name, founding)))
        log = (self.folder / f"{name}.log").open("ab")
        self.processes[name] = subprocess.Popen(
            [str(program)], stdout=log, stderr=log, cwd=ROOT, stdin=subprocess.DEVNULL,
            env={"PATH": os.environ.get("PATH", ""), "RATTANRILL_NODE_FILE": str(path)})
        log.close()

    def configuration(self, version, routes=None):
        return {
            "version": version, "routes": routes or self.routes(),
            "services": [{"name": "lm", "health-check": "/health", "max-connections": 360,
                          "protocol": "h1", "tls": False}],
            "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304,
                       "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
            "tenants": self.tenants}

    @staticmethod
    def routes():
        common = {"hostname": HOST, "service": "lm", "priority": 0, "allow-anonymous": False}
        return [
            {**common, "name": "r-safe", "path-prefix": "/puxa403/", "type": "safe",
             "timeout-ms": 3000, "target-latency-ms": 300, "max-attempts": 2},
            {**common, "name": "r-lots", "path-prefix": "/pule252/", "type": "batch",
             "timeout-ms": 15000, "target-latency-ms": 400, "max-attempts": 3,
             "completion-target-ms": 18000, "max-queue-s": 60, "max-count": 0, "priority": 2}]

    def __enter__(self):
        try:
            self.launch()
        except BaseException:
            self.close()
            raise
        return self

    def launch(self):
        config = self.folder / "standins.json"
        config.write_text(json.dumps({"list": f"{self.net}.9.1:8408", "workers": self.workers,
                                      "events": self.events, "event_ms": self.event_ms}))
        self.worker_log.touch()
        self.standins = subprocess.Popen([sys.executable,
                                          str(Path(__file__).with_name("standins.py")),
                                          str(config), str(self.worker_log)],
                                         stdin=subprocess.PIPE, text=True,
                                         stderr=(self.folder / "standins.log").open("ab"))
        for role in ROLES:
            for name in self.names(role):
                self.start(name, founding=True)
        accepted = wait_until(lambda: call(self.control(), "POST", "/Config.Replace", json.dumps(
            self.configuration(1)), {"Content-Type": "application/json"})[0] == 200, 20)
        ready = accepted and wait_until(lambda: all(
            call(f"{self.ip(n)}:8406", "GET", "/readiness")[0] == 200
            for n in self.names("entry")), 20)
        if not ready or not wait_until(lambda: self.store_leader() is not None, 10):
            raise CannotRun("the deployment did not become ready")
        time.sleep(1)

    def __exit__(self, *_):
        self.close()

    def close(self):
        # The end of the time must not interrupt the clean-up.
        signal.signal(signal.SIGTERM, signal.SIG_IGN)
        for process in [*self.processes.values(), self.standins]:
            if process is not None:
                try:
                    process.send_signal(signal.SIGCONT)
                except ProcessLookupError:
                    pass
                process.kill()
                process.wait()
        self.record_file.close()
        if os.environ.get("KEEP"):
            print(f"kept {self.folder}", file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    def signal(self, name, number):
        self.processes[name].send_signal(number)

    def stop(self, name):
        """SIGTERM, then SIGKILL after the grace period, as the platform does."""
        process = self.processes[name]
        process.send_signal(signal.SIGTERM)
        try:
            process.wait(GRACE_SECONDS)
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()

    def kill(self, name):
        self.processes[name].kill()
        self.processes[name].wait()

    def crash_worker(self, worker, seconds):
        """Lets a worker crash, which is back after the time."""
        self.standins.stdin.write(f"crash {worker} {seconds}\n")
        self.standins.stdin.flush()

    def leader(self, role):
        """Name of the process of the role that gained its group's leadership last, by the logs."""
        best = None
        for name in self.names(role):
            if self.processes[name].poll() is not None:
                continue
            for line in (self.folder / f"{name}.log").read_text(errors="replace").splitlines():
                if '"leadership-gained"' in line:
                    best = max(best or ("", ""), (json.loads(line)["time"], name))
        return best[1] if best else None

    def store_leader(self):
        return self.leader("store")

    def worker_steps(self):
        return [json.loads(line) for line in self.worker_log.read_text().splitlines()
                if line.endswith("}")]


def stop_case(*_):
    raise CannotRun("the time for the script was over")


def run(case):
    """Runs case() and exits with its result, as the head of this module says. An error of the script
    says nothing about the rule, so it ends with 2."""
    signal.signal(signal.SIGTERM, stop_case)
    status = 2
    try:
        broken = case()
        print("rule broken" if broken else "rule held")
        status = 1 if broken else 0
    except CannotRun as error:
        print(f"could not run: {error}")
    except Exception:
        print("could not run: an error of the script")
        traceback.print_exc()
    sys.stdout.flush()
    sys.stderr.flush()
    # Threads that still wait for an answer must not delay the end.
    os._exit(status)
