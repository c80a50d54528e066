"""Tests that a process which is told to stop leaves no request without a complete response (LOST)."""

import base64
import http.client
import json
import signal
import socket
import threading
import time
import unittest
from pathlib import Path

from platformdeployment import (CALLER_PORT, HOST, KEY, OPERATOR_PORT, READY_PORT,
                                PlatformDeployment, Upstream, call, configuration, wait_until)

SHUTDOWN_SECONDS = 8
CROSSING_SECONDS = 0.2
STREAM_END = b"id: 20\ndata: d20\n\n"
# Longer than the processes live after a stop signal.
LONG_TIMEOUT_MS = 20000


def shutdown_configuration(version):
    """Returns a configuration with routes whose requests may outlast a process."""
    document = configuration(version)
    for name, kind in (("slow", "streaming"), ("once", "unsafe")):
        document["routes"].append(
            {"name": name, "hostname": HOST, "path-prefix": f"/{name}/", "type": kind,
             "timeout-ms": LONG_TIMEOUT_MS, "target-latency-ms": 1000, "service": "lm",
             "max-attempts": 1, "resumable": False, "gap-aim-ms": 1000})
    return document


def send_on(connection, request_id):
    """Sends a request on a socket and returns the status of its response, or the error."""
    request = (f"POST /ask/1 HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {request_id}\r\n"
               f"Deadline-Ms: {LONG_TIMEOUT_MS}\r\nAuthorization: Bearer {KEY}\r\n"
               "Content-Length: 0\r\n\r\n")
    try:
        connection.sendall(request.encode())
        response = http.client.HTTPResponse(connection)
        response.begin()
        response.read()
        return response.status
    except (OSError, http.client.HTTPException) as error:
        return repr(error)


class Caller(threading.Thread):
    """Sends one request on a connection, and further ones on the same connection as long as it
    stays open. Each outcome is a status and a body, or None when the connection was closed without
    a byte of a response."""

    def __init__(self, host, prefix, paths):
        super().__init__()
        self.prefix = prefix
        self.paths = paths
        self.outcomes = {}
        self.failures = []
        self.began = threading.Event()
        self.connection = http.client.HTTPConnection(host, CALLER_PORT, timeout=15)
        self.connection.connect()
        self.connection.auto_open = 0
        self.start()

    def run(self):
        for number, path in enumerate(self.paths):
            request_id = f"{self.prefix}-{number}"
            try:
                response = self.send(request_id, path)
            except (ConnectionError, http.client.NotConnected):
                self.outcomes[request_id] = None
                break
            finally:
                self.began.set()
            try:
                self.outcomes[request_id] = (response.status, response.read())
            except (OSError, http.client.HTTPException) as error:
                self.failures.append((request_id, repr(error)))
                break
        self.connection.close()

    def send(self, request_id, path):
        self.connection.request("POST", path, b"question", {
            "Host": HOST, "Request-Id": request_id, "Deadline-Ms": str(LONG_TIMEOUT_MS),
            "Authorization": f"Bearer {KEY}"})
        return self.connection.getresponse()


class ShutdownTest(PlatformDeployment):
    def setUp(self):
        super().setUp()
        base = self.configuration_version()
        self.assertEqual(self.put_configuration(shutdown_configuration(base + 1)), 200)
        self.assertTrue(wait_until(lambda: self.send_request(f"{self.id()}-probe", 2,
                                                             path="/slow/1")[0] == 200))

    def stop(self, name):
        """Sends the stop signal and returns its time."""
        self.processes[name].send_signal(signal.SIGTERM)
        return time.monotonic()

    def restart(self, role, number):
        process = self.processes[f"{role}-{number}"]
        if process.poll() is None:
            process.kill()
            process.wait()
        self.start(role, number)

    def leads(self, role, number):
        """Whether the process leads the group of its role, by its log."""
        log = (Path(self.directory.name) / f"{role}-{number}.log").read_text()
        changes = [line for line in log.splitlines() if '"leadership-' in line]
        return bool(changes) and '"leadership-gained"' in changes[-1]

    @staticmethod
    def was_received(request_id):
        return any(headers.get("Request-Id") == request_id for _, headers, _ in Upstream.received)

    def check_outcome(self, request_id, outcome):
        """A request gets a complete response or is not passed on at all; one that is rejected as
        not run is not passed on either."""
        with self.subTest(request_id):
            if outcome is None or outcome[0] == 503:
                self.assertFalse(self.was_received(request_id))
            else:
                self.assertEqual(outcome[0], 200)
                self.assertTrue(outcome[1].endswith(STREAM_END))

    def test_requests_on_kept_connections_are_not_lost(self):
        """Guards against an entry that takes requests long after its stop signal and abandons
        them: on connections whose stream began before the signal, and on new connections."""
        host = self.address("entry", 2)
        # Their streams end 4 to 6 s after the signal; the second requests would outlast the entry.
        callers = [Caller(host, f"kept-{period}", [f"/slow/{period}", "/slow/200"])
                   for period in (220, 260, 300)]
        try:
            self.assertTrue(all(caller.began.wait(2) for caller in callers))
            signal_at = self.stop("entry-2")
            time.sleep(4.5)
            late = Caller(host, "late", ["/slow/200"])
            self.assertEqual(call(host, READY_PORT, "GET", "/readiness")[0], 503)
            self.assertEqual(self.processes["entry-2"].wait(10), 0)
            self.assertLess(time.monotonic() - signal_at, SHUTDOWN_SECONDS)
        finally:
            self.restart("entry", 2)
            for caller in callers:
                caller.join()
        late.join()
        for caller in callers + [late]:
            self.assertEqual(caller.failures, [])
            for request_id, outcome in caller.outcomes.items():
                self.check_outcome(request_id, outcome)
            self.assertEqual(caller.outcomes[f"{caller.prefix}-0"][0],
                             503 if caller is late else 200)
        # The entry lives for longer than their first streams, which announced keep-alive.
        self.assertEqual([caller.outcomes[f"{caller.prefix}-1"][0] for caller in callers],
                         [503, 503, 503])

    def test_new_connections_are_answered_until_the_process_ends(self):
        """Guards against an entry that closes a new connection while its request is on its way, or
        ends with a request on a connection that it has not accepted."""
        host = self.address("entry", 2)
        # Keeps the process running for 5 s.
        stream = Caller(host, "held", ["/slow/250"])
        outcomes = {}
        callers = []

        def send(number):
            try:
                with socket.create_connection((host, CALLER_PORT), timeout=10) as connection:
                    # The request arrives at any time between two checks of the drain.
                    time.sleep(0.005 * (number % 10))
                    outcomes[number] = (time.monotonic(), send_on(connection, f"new-{number}"))
            except ConnectionRefusedError:
                pass

        try:
            self.assertTrue(stream.began.wait(2))
            self.stop("entry-2")
            while self.processes["entry-2"].poll() is None:
                callers.append(threading.Thread(target=send, args=(len(callers),)))
                callers[-1].start()
                time.sleep(0.02)
            ended_at = time.monotonic()
        finally:
            self.restart("entry", 2)
            for caller in callers + [stream]:
                caller.join()
        self.assertEqual(stream.outcomes["held-0"][0], 200)
        self.assertGreater(len(outcomes), 100)
        # A request that crosses the end of the process may stay without a response.
        lost = [outcome for sent_at, outcome in outcomes.values()
                if outcome not in (200, 429, 503) and sent_at < ended_at - CROSSING_SECONDS]
        self.assertEqual(lost, [])

    def test_request_that_outlasts_the_process_gets_a_response(self):
        """Guards against an entry that ends without a response to a request that an upstream still
        runs, and against a stream that looks complete."""
        host = self.address("entry", 2)
        request = Caller(host, "once", ["/once/1000"])
        stream = Caller(host, "stream", ["/slow/1000"])
        try:
            self.assertTrue(stream.began.wait(2))
            self.assertTrue(wait_until(lambda: self.was_received("once-0"), 2))
            signal_at = self.stop("entry-2")
            self.assertEqual(self.processes["entry-2"].wait(10), 0)
            self.assertLess(time.monotonic() - signal_at, SHUTDOWN_SECONDS)
        finally:
            self.restart("entry", 2)
            request.join()
            stream.join()
        self.assertEqual(request.outcomes["once-0"][0], 502)
        self.assertEqual(stream.outcomes, {})
        self.assertIn("IncompleteRead", stream.failures[0][1])
        log = (Path(self.directory.name) / "entry-2.log").read_text()
        drained = [json.loads(line) for line in log.splitlines() if '"drained"' in line][-1]
        self.assertEqual(drained["openRequests"], 2)
        self.assertEqual(set(drained["requestIds"].split(",")), {"once-0", "stream-0"})

    def test_operator_call_gets_a_response(self):
        """Guards against a control process that ends without a response to an operator's call
        which waits for the leader of the control processes."""
        version = self.configuration_version()
        number = next(n for n in (1, 2, 3) if not self.leads("control", n))
        others = [self.processes[f"control-{n}"] for n in (1, 2, 3) if n != number]
        statuses = []

        def put():
            statuses.append(call(self.address("control", number), OPERATOR_PORT, "POST",
                                 "/Config.Replace", json.dumps(shutdown_configuration(version + 1)),
                                 timeout=10)[0])

        for process in others:
            process.send_signal(signal.SIGSTOP)
        operator = threading.Thread(target=put)
        try:
            operator.start()
            time.sleep(0.1)
            signal_at = self.stop(f"control-{number}")
            operator.join()
            self.assertEqual(self.processes[f"control-{number}"].wait(10), 0)
            self.assertLess(time.monotonic() - signal_at, SHUTDOWN_SECONDS)
        finally:
            for process in others:
                process.send_signal(signal.SIGCONT)
            self.restart("control", number)
            is_restored = wait_until(lambda: self.put_configuration(
                shutdown_configuration(version + 2)) == 200)
        self.assertIn(statuses, ([200], [502], [503], [504]))
        self.assertTrue(is_restored)

    def submit(self, job):
        requests = [{"id": f"{job}-1", "path": "/list/x", "headers": {}, "tokens": 10,
                     "body": base64.b64encode(b"body").decode()}]
        return call(self.address("entry", 1), CALLER_PORT, "POST", "/list/" + job,
                    json.dumps({"requests": requests}),
                    {"Request-Id": job, "Authorization": f"Bearer {KEY}"})[0]

    def read(self, job, after, wait_ms):
        status, body, _ = call(self.address("entry", 1), CALLER_PORT, "GET",
                               f"/lots/{job}?after={after}", None,
                               {"Authorization": f"Bearer {KEY}", "Wait-Ms": str(wait_ms)}, 10)
        return status, json.loads(body) if status == 200 else None

    def test_calls_survive_the_stop_of_the_store_leader(self):
        """Guards against jobs that are submitted, and results that are read, without a response
        while the leader of the stores stops."""
        self.assertEqual(self.submit("calls-0"), 202)
        self.assertTrue(wait_until(lambda: len(self.read("calls-0", 0, 500)[1]["results"]) == 1))
        leader = next(n for n in (1, 2, 3) if self.leads("store", n))
        reads = []
        readers = [threading.Thread(target=lambda: reads.append(self.read("calls-0", 1, 1500)[0]))
                   for _ in range(3)]
        statuses = {}
        try:
            for reader in readers:
                reader.start()
            signal_at = self.stop(f"store-{leader}")
            while time.monotonic() - signal_at < 1.5:
                job = f"calls-{len(statuses) + 1}"
                statuses[job] = self.submit(job)
                time.sleep(0.05)
            self.assertEqual(self.processes[f"store-{leader}"].wait(10), 0)
        finally:
            for reader in readers:
                reader.join()
            self.restart("store", leader)
        self.assertEqual(reads, [200, 200, 200])
        self.assertEqual(set(statuses.values()), {202})
        for job in statuses:
            self.assertTrue(wait_until(lambda: len(self.read(job, 0, 500)[1]["results"]) == 1))


if __name__ == "__main__":
    unittest.main()
