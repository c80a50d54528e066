"""Tests that the silence of sound upstreams ends no request (LOST)."""

import http.client
import signal
import socket
import subprocess
import sys
import threading
import time
import unittest
from pathlib import Path

from platformdeployment import (CALLER_PORT, HOST, KEY, UPSTREAM_PORT, InstanceList,
                                PlatformDeployment, configuration, wait_until)

UPSTREAMS = (1, 2, 3, 4, 5, 6)
# 0.6 of the upstreams, rounded up.
PART = (1, 2, 3, 4)
SILENCE_SECONDS = 1.2
# Time from the change of the configuration to the silence.
CHANGE_LEAD_SECONDS = 0.5
STREAMS_PER_ENTRY = 8
# Shortest time between two events; a stream lasts 2.4 s or longer.
EVENT_MS = 120
REQUEST_PERIOD_SECONDS = 0.1
TIMEOUT_MS = 12000
# Shorter than a gap that an entry takes for silence (0.6 of the route's gap aim of 300 ms), longer
# than one between two events of an upstream that is not silent.
SHORT_GAP_SECONDS = 0.15
WHOLE_STREAM = b"".join(b"id: %d\ndata: d%d\n\n" % (n, n) for n in range(1, 21))


def chunks(body):
    """Returns the parts of a body that is sent in chunks, which arrive apart."""
    yield body[:4]
    time.sleep(0.05)
    yield body[4:]


class Request(threading.Thread):
    """Sends a request to an entry and reads its response. The outcome is the status and the body or
    the error."""

    def __init__(self, host, request_id, path, is_chunked, headers=None):
        super().__init__()
        self.headers = headers or {}
        self.host = host
        self.request_id = request_id
        self.path = path
        self.is_chunked = is_chunked
        self.began = threading.Event()
        self.arrivals = []
        self.outcome = None
        self.start()

    def run(self):
        connection = http.client.HTTPConnection(self.host, CALLER_PORT,
                                                timeout=TIMEOUT_MS / 1000 + 2)
        question = f"question {self.request_id}".encode()
        body = b""
        try:
            connection.request(
                "POST", self.path, chunks(question) if self.is_chunked else question,
                {"Host": HOST, "Request-Id": self.request_id, "Deadline-Ms": str(TIMEOUT_MS),
                 "Authorization": f"Bearer {KEY}", **self.headers})
            response = connection.getresponse()
            while part := response.read1():
                body += part
                self.arrivals.append(time.monotonic())
                self.began.set()
            self.outcome = (response.status, body)
        except (OSError, http.client.HTTPException) as error:
            self.outcome = (repr(error), body)
        finally:
            connection.close()

    def longest_gap(self):
        return max((after - before for before, after in zip(self.arrivals, self.arrivals[1:])),
                   default=0)


class SilentUpstreamsDeployment(PlatformDeployment):
    """Base of test cases. The upstreams are processes, which a stop signal makes silent: their
    operating system still accepts connections until their accept queues are full. Both entries have
    streams at all of them and get further requests."""

    # Larger than the number of connections that both entries open during a silence.
    accept_queue = 128
    # Enough for all requests, so that none is refused for want of a slot.
    slots = 16
    # Further options of upstreamprocess.py.
    upstream_options = ()

    @classmethod
    def setUpClass(cls):
        InstanceList.numbers = UPSTREAMS
        InstanceList.slots = cls.slots
        cls.upstreams = {}
        super().setUpClass()

    @classmethod
    def start_upstreams(cls):
        program = Path(__file__).parent / "upstreamprocess.py"
        for number in UPSTREAMS:
            host = f"127.0.8.{number}"
            log = Path(cls.directory.name) / f"accepted-{number}.txt"
            process = subprocess.Popen([sys.executable, program, *cls.upstream_options,
                                        str(UPSTREAM_PORT), str(cls.accept_queue), log, host])
            cls.upstreams[number] = process
            cls.addClassCleanup(process.wait)
            cls.addClassCleanup(process.kill)
            wait_until(lambda: not socket.create_connection((host, UPSTREAM_PORT), 1).close())

    def setUp(self):
        super().setUp()
        self.count = 0
        self.requests = []
        self.streams = []
        self.ends = threading.Event()
        self.change_configuration()
        self.assertTrue(self.is_changed)
        self.assertTrue(wait_until(lambda: self.send_request(f"{self.id()}-probe")[0] == 200))

    def change_configuration(self):
        """Changes the configuration. A call whose outcome is unknown is repeated, as an operator
        does."""
        self.is_changed = wait_until(lambda: self.send_configuration() == 200)

    def configuration(self, version):
        document = configuration(version, rate=1000)
        document["routes"].append({**document["routes"][0], "name": "slow",
                                   "path-prefix": "/slow/"})
        for route in document["routes"]:
            route["timeout-ms"] = TIMEOUT_MS
        document["limits"]["idle-timeout-ms"] += version
        return document

    def send_configuration(self):
        return self.put_configuration(self.configuration(self.configuration_version() + 1))

    def signal_upstreams(self, numbers, number):
        for upstream in numbers:
            self.upstreams[upstream].send_signal(number)

    def send(self, entry, path, is_chunked, headers=None):
        self.count += 1
        return Request(self.address("entry", entry), f"{self.id()}-{self.count}", path, is_chunked,
                       headers)

    def send_requests(self, entries, is_chunked):
        """Sends short requests until the end of the play."""
        while not self.ends.wait(REQUEST_PERIOD_SECONDS):
            self.requests += [self.send(entry, "/ask/1", is_chunked) for entry in entries]

    def play(self, silent=UPSTREAMS, is_chunked=False, stays_silent=False, entries=(1, 2),
             while_silent=lambda: None, headers=None):
        """Makes upstreams silent beside a change of the configuration. Short requests go to the
        given entries, streams to both, with the given headers."""
        for number in range(STREAMS_PER_ENTRY):
            path = f"/slow/{EVENT_MS + number}"
            self.streams += [self.send(entry, path, is_chunked, headers) for entry in (1, 2)]
        sender = threading.Thread(target=self.send_requests, args=(entries, is_chunked))
        self.is_changed = False
        operator = threading.Thread(target=self.change_configuration)
        try:
            self.assertTrue(all(stream.began.wait(5) for stream in self.streams))
            sender.start()
            operator.start()
            time.sleep(CHANGE_LEAD_SECONDS)
            self.signal_upstreams(silent, signal.SIGSTOP)
            end = time.monotonic() + SILENCE_SECONDS
            time.sleep(SILENCE_SECONDS / 2)
            while_silent()
            time.sleep(max(end - time.monotonic(), 0))
            if not stays_silent:
                self.signal_upstreams(silent, signal.SIGCONT)
            for stream in self.streams:
                stream.join()
        finally:
            self.ends.set()
            for thread in (sender, operator):
                if thread.ident:
                    thread.join()
            for request in self.streams + self.requests:
                request.join()
            self.signal_upstreams(silent, signal.SIGCONT)
        self.assertTrue(self.is_changed)

    def logged(self, event):
        """Returns the number of connections for which the upstreams logged an event."""
        return sum(path.read_text(encoding="ascii").count(f" {event}\n")
                   for path in Path(self.directory.name).glob("accepted-*.txt"))

    def check_responses(self):
        """Each request has a whole response, with each event once and in order."""
        failures = [(request.path, request.outcome[0], request.outcome[1][-100:])
                    for request in self.streams + self.requests
                    if request.outcome != (200, WHOLE_STREAM)]
        self.assertEqual(len(failures), 0, failures)
        self.assertGreater(len(self.requests), 0)

    def check(self):
        """Each request has a whole response, and streams met the silence."""
        self.check_responses()
        self.assertGreater(max(stream.longest_gap() for stream in self.streams), SHORT_GAP_SECONDS)


class SilentUpstreamsTest(SilentUpstreamsDeployment):
    """The upstreams only pause."""

    def test_all_upstreams_are_silent(self):
        """Guards against streams that are given up, and requests that are refused, because an entry
        takes the silence of sound upstreams for its own lost links."""
        self.play()
        self.check()

    def test_part_of_the_upstreams_is_silent(self):
        """Guards against streams whose attempt is cancelled for one at another silent upstream."""
        self.play(silent=PART)
        self.check()

    def test_other_upstreams_refuse_the_streams(self):
        """Guards against a stream that is cancelled at a silent upstream before another one has
        accepted it."""
        self.play(silent=PART, headers={"Begins-Only": "1"})
        self.check()

    def test_bodies_are_sent_in_chunks(self):
        """Guards against requests that are lost because a change of the configuration meets a body
        of which a part has arrived."""
        self.play(is_chunked=True)
        self.check()

    def test_entry_gets_hangup_signal(self):
        """Guards against an entry that ends, or drops its streams, when it gets SIGHUP."""
        self.play(while_silent=lambda: self.processes["entry-1"].send_signal(signal.SIGHUP))
        self.check()
        self.assertIsNone(self.processes["entry-1"].poll())

    def test_entry_is_stopped(self):
        """Guards against a stopping entry that ends streams of silent upstreams although they end
        within its grace."""
        entry = self.processes["entry-1"]
        try:
            self.play(while_silent=entry.terminate, entries=(2,))
            self.check()
            self.assertEqual(entry.wait(10), 0)
        finally:
            entry.kill()
            entry.wait()
            self.start("entry", 1)
            is_restored = wait_until(lambda: self.is_ready(1))
        self.assertTrue(is_restored)


if __name__ == "__main__":
    unittest.main()
