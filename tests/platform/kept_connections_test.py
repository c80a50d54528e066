"""Tests that a whole request on a connection that was announced as kept gets a response (LOST)."""

import http.client
import re
import socket
import time
import unittest

from platformdeployment import (CALLER_PORT, HOST, KEY, InstanceList, PlatformDeployment,
                                configuration, wait_until)

TIMEOUT_MS = 5000
# Longer than the processes live after a stop signal.
LONG_TIMEOUT_MS = 20000
STREAM_END = b"id: 20\ndata: d20\n\n"


def kept_configuration(version, idle_timeout_ms):
    document = configuration(version, rate=10000)
    document["limits"]["idle-timeout-ms"] = idle_timeout_ms
    for name, kind, timeout in (("slow", "streaming", TIMEOUT_MS), ("once", "unsafe", TIMEOUT_MS),
                                ("long", "unsafe", LONG_TIMEOUT_MS)):
        document["routes"].append(
            {"name": name, "hostname": HOST, "path-prefix": f"/{name}/", "type": kind,
             "timeout-ms": timeout, "target-latency-ms": 1000, "service": "lm",
             "max-attempts": 1, "resumable": False, "gap-aim-ms": 2000})
    return document


def caller_request(request_id, path, timeout_ms=TIMEOUT_MS):
    return (f"POST {path} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {request_id}\r\n"
            f"Deadline-Ms: {timeout_ms}\r\nAuthorization: Bearer {KEY}\r\n"
            "Content-Length: 8\r\n\r\nquestion").encode()


def announced_seconds(response):
    """Returns the time for which the response announces that its connection is kept."""
    if response.headers.get("Connection", "").lower() == "close":
        return 0
    return int(re.fullmatch(r"timeout=(\d+)", response.headers.get("Keep-Alive", ""))[1])


class KeptConnection:
    """A connection of a client. Of each request, status is that of the response, and None when the
    connection ended without a byte of one."""

    def __init__(self, host, port):
        self.socket = socket.create_connection((host, port), timeout=LONG_TIMEOUT_MS / 1000)
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.opened_at = time.monotonic()
        self.kept_seconds = None

    def close(self):
        self.socket.close()

    def begin(self, request, gap=0):
        """Sends a request, in two parts if there is a gap, and reads the head of the response."""
        self.status = None
        self.response = None
        half = len(request) // 2
        try:
            for part in ((request[:half], request[half:]) if gap else (request,)):
                self.sent_at = time.monotonic()
                self.socket.sendall(part)
                time.sleep(gap)
            response = http.client.HTTPResponse(self.socket)
            response.begin()
        except (ConnectionError, http.client.BadStatusLine):
            return
        self.status = response.status
        self.kept_seconds = announced_seconds(response)
        self.response = response

    def end(self):
        """Reads the body of the response. Returns None if it is cut."""
        try:
            return self.response.read()
        except (ConnectionError, http.client.IncompleteRead):
            return None

    def call(self, request, gap=0):
        self.begin(request, gap)
        return self.end() if self.response else None


class KeptConnectionsDeployment(PlatformDeployment):
    @classmethod
    def setUpClass(cls):
        InstanceList.slots = 64
        super().setUpClass()

    def configure(self, idle_timeout_ms):
        """Sets the idle timeout and waits until the entries serve with it."""
        self.assertTrue(wait_until(lambda: self.put_configuration(kept_configuration(
            self.configuration_version() + 1, idle_timeout_ms)) == 200))
        for number in (1, 2):
            self.assertTrue(wait_until(
                lambda n=number: self.probe(n) == (200, idle_timeout_ms // 1000)))

    def probe(self, number):
        """Returns the status of a response and the time that it announces."""
        connection = KeptConnection(self.address("entry", number), CALLER_PORT)
        try:
            connection.call(caller_request(f"{self.id()}-probe", "/slow/1"))
            return connection.status, connection.kept_seconds
        finally:
            connection.close()

    def connect(self, number=2):
        connection = KeptConnection(self.address("entry", number), CALLER_PORT)
        self.addCleanup(connection.close)
        return connection


class KeptConnectionsTest(KeptConnectionsDeployment):
    def test_connection_is_kept_for_the_announced_time(self):
        """Guards against a connection that is closed earlier than announced, because the idle
        timeout was lowered while its stream ran."""
        self.configure(20000)
        connections = [self.connect() for _ in range(4)]
        for number, connection in enumerate(connections):
            connection.begin(caller_request(f"lowered-{number}", "/slow/100"))
            self.assertEqual((connection.status, connection.kept_seconds), (200, 20))
        self.configure(1000)
        for connection in connections:
            self.assertTrue(connection.end().endswith(STREAM_END))
        time.sleep(1.6)
        for number, connection in enumerate(connections):
            connection.call(caller_request(f"lowered-next-{number}", "/slow/1"))
        self.assertEqual([connection.status for connection in connections], [200] * 4)
        self.assertEqual([connection.kept_seconds for connection in connections], [1] * 4)

    def test_short_idle_timeout_is_not_announced_as_longer(self):
        """Guards against an announced timeout of 0 s."""
        self.configure(900)
        connection = self.connect()
        connection.call(caller_request("short", "/slow/1"))
        self.assertEqual(connection.status, 200)
        self.assertEqual(connection.response.headers["Connection"], "close")
        self.assertNotIn("Keep-Alive", connection.response.headers)


if __name__ == "__main__":
    unittest.main()
