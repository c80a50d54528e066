"""Tests that an upstream whose connection is established late is told the time that is left
(BUDGET)."""

import http.client
import signal
import socket
import threading
import time
import unittest

from platformdeployment import (CALLER_PORT, HOST, KEY, UPSTREAM_PORT, InstanceList,
                                PlatformDeployment, call, configuration, wait_until)

UPSTREAM = ("127.0.8.1", UPSTREAM_PORT)
TIMEOUT_MS = 8000
# Most that an upstream may be told above the time that is left.
MAX_EXCESS_MS = 500
# Time from the request to the pause of its entry. An entry gives up connecting after 1 s.
PAUSE_DELAY_SECONDS = 0.7
# An attempt to establish a connection late fails if the entry is paused too late.
ATTEMPTS = 5


class LateUpstream:
    """Responds to each request and closes its connection. While it is full, the operating system
    does not answer further connections."""

    def __init__(self):
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(UPSTREAM)
        self.listener.listen()
        self.fillers = []
        self.filler_addresses = set()
        self.accepts = threading.Event()
        self.accepts.set()
        # Set when a connection was accepted that is none of the fillers.
        self.accepted = threading.Event()
        # Remaining time in milliseconds and time of arrival of each request, by its id.
        self.requests = {}
        threading.Thread(target=self.accept, daemon=True).start()

    def close(self):
        self.listener.close()

    def accept(self):
        while True:
            self.accepts.wait()
            try:
                connection, peer = self.listener.accept()
            except OSError:
                return
            if peer not in self.filler_addresses:
                self.accepted.set()
            threading.Thread(target=self.respond, args=(connection,), daemon=True).start()

    def respond(self, connection):
        with connection, connection.makefile("rb") as stream:
            try:
                if not stream.readline():
                    return
                arrival = time.monotonic()
                headers = http.client.parse_headers(stream)
                request_id = headers["Request-Id"]
                if "Deadline-Ms" in headers:
                    self.requests[request_id] = (int(headers["Deadline-Ms"]), arrival)
                stream.read(int(headers.get("Content-Length", 0)))
                connection.sendall((f"HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\n"
                                    "Response-Signature: signed\r\nServer-Load: 0,0,8\r\n"
                                    "Content-Length: 4\r\nConnection: close\r\n\r\ndone").encode())
            except OSError:
                pass

    def fill(self):
        self.accepts.clear()
        self.listener.listen(0)
        hanging = 0
        # The accept call that waits takes one more connection, perhaps after one already hangs.
        while hanging < 2:
            filler = socket.socket()
            filler.settimeout(0.05)
            self.fillers.append(filler)
            hanging = 0 if self.connects(filler) else hanging + 1
            self.filler_addresses.add(filler.getsockname())
        self.accepted.clear()

    @staticmethod
    def connects(connection):
        try:
            connection.connect(UPSTREAM)
        except TimeoutError:
            return False
        return True

    def drain(self):
        # Leaves room for the fillers that still wait.
        self.listener.listen()
        self.accepts.set()

    def end_fillers(self):
        for filler in self.fillers:
            filler.close()
        self.fillers = []


class LateConnectionTest(PlatformDeployment):
    """One upstream, which has no idle connections. The operating system repeats an attempt to
    connect after a second, when an entry has given it up; therefore the entry is paused until the
    connection is established, and finds it at the same time as the end of its own wait."""

    @classmethod
    def setUpClass(cls):
        InstanceList.numbers = (1,)
        super().setUpClass()

    @classmethod
    def start_upstreams(cls):
        cls.upstream = LateUpstream()

    @classmethod
    def tearDownClass(cls):
        super().tearDownClass()
        cls.upstream.close()

    def setUp(self):
        super().setUp()
        self.assertTrue(wait_until(lambda: self.put_route() == 200))
        self.assertTrue(wait_until(lambda: self.send("probe")[0] == 200))

    def put_route(self):
        document = configuration(self.configuration_version() + 1)
        document["routes"].append(
            {"name": "once", "hostname": HOST, "path-prefix": "/once/", "type": "unsafe",
             "timeout-ms": TIMEOUT_MS, "target-latency-ms": TIMEOUT_MS, "service": "lm",
             "max-attempts": 1})
        return self.put_configuration(document)

    def send(self, request_id):
        return call(self.address("entry", 1), CALLER_PORT, "POST", "/once/1", b"question",
                    {"Request-Id": request_id, "Deadline-Ms": str(TIMEOUT_MS),
                     "Authorization": f"Bearer {KEY}"}, timeout=TIMEOUT_MS / 1000)

    def send_late(self, request_id):
        """Sends a request whose connection is established late. Returns the time at which it was
        sent and the status of its response."""
        responses = []
        sender = threading.Thread(target=lambda: responses.append(self.send(request_id)))
        entry = self.processes["entry-1"]
        self.upstream.fill()
        begin = time.monotonic()
        try:
            sender.start()
            time.sleep(PAUSE_DELAY_SECONDS)
            entry.send_signal(signal.SIGSTOP)
            self.upstream.drain()
            self.upstream.accepted.wait(2)
        finally:
            entry.send_signal(signal.SIGCONT)
            self.upstream.drain()
            sender.join()
            self.upstream.end_fillers()
        return begin, responses[0][0]

    def test_upstream_is_told_the_time_that_is_left(self):
        """Guards against an upstream that works on a request after its caller has left, because the
        remaining time was stated before the connection was established."""
        for number in range(ATTEMPTS):
            # Also uses the idle connections of an attempt before.
            self.assertTrue(wait_until(lambda: self.send(f"between-{number}")[0] == 200))
            begin, status = self.send_late(f"late-{number}")
            stated, arrival = self.upstream.requests.get(f"late-{number}", (0, begin))
            if arrival - begin > PAUSE_DELAY_SECONDS:
                break
        self.assertGreater(arrival - begin, PAUSE_DELAY_SECONDS, "no connection was late")
        self.assertEqual(status, 200)
        self.assertLessEqual(stated, TIMEOUT_MS - 1000 * (arrival - begin) + MAX_EXCESS_MS)


if __name__ == "__main__":
    unittest.main()
