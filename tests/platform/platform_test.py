"""Tests the platform's programs as real processes on loopback, in the published message format."""

import base64
import http.client
import http.server
import json
import os
import signal
import socket
import subprocess
import tempfile
import threading
import time
import unittest
from pathlib import Path

BUILD = Path(os.environ.get("RATTANRILL_BUILD", "build"))
PEER_PORT = 29760
CALLER_PORT = 29761
READY_PORT = 29762
OPERATOR_PORT = 29763
LIST_ADDRESS = ("127.0.9.1", 29764)
UPSTREAM_PORT = 29765
HOST = "booth.example"
KEY = "first-key"


class Upstream(http.server.BaseHTTPRequestHandler):
    """Streams 20 events and records the requests it receives."""

    protocol_version = "HTTP/1.1"
    received = []
    lock = threading.Lock()

    def log_message(self, *_):
        pass

    def do_POST(self):
        body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
        with self.lock:
            self.received.append((self.path, dict(self.headers), body))
        begin = int(self.headers.get("Last-Event-Id", 0)) + 1
        self.send_response(200)
        self.send_header("Request-Id", self.headers["Request-Id"])
        self.send_header("Response-Signature", "signed")
        self.send_header("Server-Load", "1,0,8")
        self.send_header("Content-Type", "text/event-stream")
        self.send_header("Transfer-Encoding", "chunked")
        self.end_headers()
        try:
            for number in range(begin, 21):
                event = f"id: {number}\ndata: d{number}\n\n".encode()
                self.wfile.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
                self.wfile.flush()
                time.sleep(0.02)
            self.wfile.write(b"0\r\n\r\n")
        except OSError:
            pass


class InstanceList(http.server.BaseHTTPRequestHandler):
    """Lists two ready upstreams and one invalid entry."""

    protocol_version = "HTTP/1.1"

    def log_message(self, *_):
        pass

    def do_GET(self):
        instances = [{"id": f"i-{n}", "service": "lm", "address": f"127.0.8.{n}:{UPSTREAM_PORT}",
                      "zone": "a", "slots": 4, "state": "ready"} for n in (1, 2)]
        instances.append({"id": 7, "state": "resting"})
        body = json.dumps({"instances": instances, "next": None}).encode()
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


class PlatformTest(unittest.TestCase):
    """Runs three control, three store and two entry processes, each on its own address."""

    @classmethod
    def setUpClass(cls):
        cls.directory = tempfile.TemporaryDirectory()
        cls.servers = []
        for address in ((("127.0.8.1", UPSTREAM_PORT), Upstream),
                        (("127.0.8.2", UPSTREAM_PORT), Upstream), (LIST_ADDRESS, InstanceList)):
            server = http.server.ThreadingHTTPServer(*address)
            server.daemon_threads = True
            threading.Thread(target=server.serve_forever, daemon=True).start()
            cls.servers.append(server)
        cls.processes = {}
        for role, count in (("control", 3), ("store", 3), ("entry", 2)):
            for number in range(1, count + 1):
                cls.start(role, number, founding=True)
        cls.ready = wait_until(lambda: cls.put_configuration(configuration(1)) == 200) and \
            wait_until(lambda: all(cls.is_ready(n) for n in (1, 2)))

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
            "instance": name, "failureDomain": "abc"[number - 1], "peerHost": host,
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

    def send_request(self, request_id, entry=1, key=KEY, path="/ask/1"):
        return call(self.address("entry", entry), CALLER_PORT, "POST", path, b"question",
                    {"Request-Id": request_id, "Deadline-Ms": "5000",
                     "Authorization": f"Bearer {key}"})

    def test_stream_is_complete_and_the_key_is_not_forwarded(self):
        """Guards against a changed request or answer and against a key that is forwarded."""
        status, body, headers = self.send_request("r-1")
        self.assertEqual(status, 200)
        self.assertEqual(body.decode(),
                         "".join(f"id: {n}\ndata: d{n}\n\n" for n in range(1, 21)))
        self.assertEqual(headers["Response-Signature"], "signed")
        path, headers_received, body_received = next(
            r for r in Upstream.received if r[1]["Request-Id"] == "r-1")
        self.assertEqual((path, body_received), ("/ask/1", b"question"))
        self.assertNotIn("Authorization", headers_received)
        self.assertEqual(headers_received["Tenant-Id"], "vendors")
        self.assertLessEqual(int(headers_received["Deadline-Ms"]), 5000)

    def test_wrong_keys_and_routes_are_refused(self):
        """Guards against requests that run although their key or route is unknown."""
        self.assertEqual(self.send_request("r-2", key="nobody's")[0], 401)
        self.assertEqual(self.send_request("r-3", path="/nowhere/1")[0], 404)
        self.assertFalse([r for r in Upstream.received if r[1]["Request-Id"] in ("r-2", "r-3")])

    def test_configuration_is_replaced_only_by_a_newer_valid_one(self):
        """Guards against a configuration that is replaced by an older or an invalid one."""
        base = self.configuration_version()
        self.assertEqual(
            self.put_configuration(configuration(base + 5, (KEY, "second-key")), 2), 200)
        self.assertTrue(wait_until(lambda: self.send_request("r-4", 2, "second-key")[0] == 200, 4))
        self.assertEqual(self.put_configuration(configuration(base + 2, ("third-key",)), 3), 200)
        invalid = configuration(base + 9)
        invalid["routes"][0]["service"] = "nobody"
        self.assertEqual(self.put_configuration(invalid), 400)
        self.assertEqual(self.put_configuration(json.dumps(configuration(base + 9))[:-9]), 400)
        for control in (1, 2, 3):
            self.assertEqual(self.configuration_version(control), base + 5)
        self.assertEqual(self.send_request("r-5", key="third-key")[0], 401)

    def submit(self, job, entry=1, items=3, tokens=100):
        requests = [{"id": f"{job}-{n}", "path": "/list/x", "headers": {}, "tokens": tokens,
                     "body": base64.b64encode(f"body {n}".encode()).decode()}
                    for n in range(items)]
        return call(self.address("entry", entry), CALLER_PORT, "POST", "/list/" + job,
                    json.dumps({"requests": requests}),
                    {"Request-Id": job, "Authorization": f"Bearer {KEY}"})[0]

    def read_results(self, job, entry=1, after=0):
        status, body, _ = call(self.address("entry", entry), CALLER_PORT, "GET",
                               f"/lots/{job}?after={after}", None,
                               {"Authorization": f"Bearer {KEY}", "Wait-Ms": "500"})
        return json.loads(body) if status == 200 else status

    def finished_results(self, job, entry=1):
        """Returns the results of the job; None until all of them are available."""
        answer = self.read_results(job, entry)
        if isinstance(answer, dict) and len(answer["results"]) == answer["total"]:
            return answer
        return None

    def test_batch_job_runs_once_and_stays_readable(self):
        """Guards against lost, repeated or changed results and jobs above the token limit."""
        self.assertEqual(self.submit("job-1"), 202)
        self.assertEqual(self.submit("job-1", 2), 202)
        self.assertEqual(self.submit("job-big", 1, 20, 100), 429)
        self.assertTrue(wait_until(lambda: self.finished_results("job-1"), 20))
        first = self.finished_results("job-1")
        self.assertEqual({r["state"] for r in first["results"]}, {"completed"})
        self.assertEqual(first["results"][0]["output"],
                         "\n".join(f"d{n}" for n in range(1, 21)))
        self.assertEqual(self.finished_results("job-1", 2), first)
        self.assertEqual(self.read_results("job-1", 2, 2)["results"], first["results"][2:])
        self.assertEqual(self.read_results("job-unknown"), 404)

    def test_job_survives_the_loss_of_the_store_leader(self):
        """Guards against an accepted job that is lost when the leader of the stores is killed."""
        self.assertEqual(self.submit("job-2", 1, 8, 50), 202)
        victim = next(n for n in (1, 2, 3) if '"leadership-gained"' in
                      (Path(self.directory.name) / f"store-{n}.log").read_text())
        self.processes[f"store-{victim}"].kill()
        self.processes[f"store-{victim}"].wait()
        try:
            self.assertTrue(wait_until(lambda: self.finished_results("job-2", 2), 30))
            results = self.finished_results("job-2", 2)["results"]
            self.assertEqual(len({r["id"] for r in results}), 8)
        finally:
            self.start("store", victim)

    def test_draining_entry_completes_its_streams(self):
        """Guards against an entry that cuts off a stream or stays ready while it drains."""
        answer = []
        reader = threading.Thread(target=lambda: answer.append(self.send_request("r-6", 2)))
        reader.start()
        time.sleep(0.2)
        process = self.processes["entry-2"]
        process.send_signal(signal.SIGTERM)
        try:
            self.assertTrue(wait_until(lambda: not self.is_ready(2), 2))
            reader.join(5)
            self.assertEqual(answer[0][0], 200)
            self.assertTrue(answer[0][1].endswith(b"id: 20\ndata: d20\n\n"))
            self.assertEqual(process.wait(8), 0)
        finally:
            if process.poll() is None:
                process.kill()
            self.start("entry", 2)
            wait_until(lambda: self.is_ready(2))

    def test_request_with_ambiguous_length_is_refused(self):
        """Guards against a request with two body lengths that blocks the entry or is forwarded."""
        with socket.create_connection((self.address("entry", 1), CALLER_PORT), 5) as raw:
            raw.sendall(b"POST /ask/1 HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n"
                        b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n")
            self.assertIn(b" 400 ", raw.recv(200))


if __name__ == "__main__":
    unittest.main()
