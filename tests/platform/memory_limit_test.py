"""Tests that clients which nobody controls do not exhaust the memory of a process.

A larger crowd or another machine is set by

    RATTANRILL_CLIENTS             clients of most crowds (60)
    RATTANRILL_MEMORY_MEBIBYTES    memory of a process (96)
"""

import base64
import json
import os
import socket
import threading
import time
import unittest

from platformdeployment import CALLER_PORT, HOST, KEY, OPERATOR_PORT, READY_PORT, UPSTREAM_PORT, \
    InstanceList, PlatformDeployment, Upstream, configuration, wait_until

MEBIBYTE = 1 << 20
MEMORY_MEBIBYTES = int(os.environ.get("RATTANRILL_MEMORY_MEBIBYTES", "96"))
MAX_BODY_BYTES = 4 * MEBIBYTE
OVERSIZED_BODY_BYTES = 64 * MEBIBYTE
# Bytes of an oversized body after which a client gives up if it is not refused.
MAX_SENT_BYTES = 16 * MEBIBYTE
MAX_HEADER_BYTES = 16384
CLIENTS = int(os.environ.get("RATTANRILL_CLIENTS", "60"))
# With fewer streams, what the operating system buffers hides the fault.
STREAM_CLIENTS = 150
# Header fields of one client: "a:" and a line break each, within the limit of the header.
HEADER_FIELDS = 4000
HEADER_CLIENTS = 300
READINESS_CLIENTS = 250
# One submission shows the fault; the others follow it.
MANY_VALUES_CLIENTS = 6
# Connections to an address at which only the platform connects, with a margin.
MAX_READINESS_DESCRIPTORS = 128
# Connections of one client: its own, that of its request's upstream and that of a hedge.
DESCRIPTORS_PER_CLIENT = 3
# Connections to other processes and log files that a process may open meanwhile.
DESCRIPTOR_MARGIN = 32
# Time for which clients that stop halfway stay connected.
HOLD_SECONDS = 3
# Time after the end of a crowd after which its connections have been noticed as closed.
RELEASE_SECONDS = 0.5
STREAM_EVENTS = 20
STREAM_EVENT_BYTES = 200_000
WHOLE_RESPONSE_BYTES = 6 * MEBIBYTE
CHUNK_BYTES = 65536


class LargeUpstream(Upstream):
    """Serves long streams below /ask/long, long whole responses below /lookup/long, and elsewhere
    short ones. Keeps no bodies. Reads slowly enough that many requests run at the same time."""

    def handle(self):
        try:
            super().handle()
        except OSError:
            pass

    def do_POST(self):
        remaining = int(self.headers.get("Content-Length", 0))
        is_large = remaining > CHUNK_BYTES
        while remaining > 0:
            remaining -= len(self.rfile.read(min(remaining, CHUNK_BYTES)))
        if is_large:
            time.sleep(0.5)
        try:
            self.respond()
        except OSError:
            self.close_connection = True

    def respond(self):
        self.send_response(200)
        self.send_header("Request-Id", self.headers["Request-Id"])
        self.send_header("Response-Signature", "signed")
        self.send_header("Server-Load", "1,0,8")
        if self.path.startswith("/ask/"):
            return self.send_stream()
        size = WHOLE_RESPONSE_BYTES if self.path.startswith("/lookup/long") else 16
        self.send_header("Content-Length", str(size))
        self.end_headers()
        self.wfile.write(b"r" * size)

    def send_stream(self):
        self.send_header("Content-Type", "text/event-stream")
        self.send_header("Transfer-Encoding", "chunked")
        self.end_headers()
        size = STREAM_EVENT_BYTES if self.path.startswith("/ask/long") else 16
        for number in range(int(self.headers.get("Last-Event-Id", 0)) + 1, STREAM_EVENTS + 1):
            event = f"id: {number}\ndata: {'d' * size}\n\n".encode()
            self.wfile.write(b"%x\r\n%s\r\n" % (len(event), event))
        self.wfile.write(b"0\r\n\r\n")


class Client:
    """A connection of a client that sends and reads as its crowd does. Errors end it: the process
    may refuse it or close its connection."""

    def __init__(self, number, address, path, receive_buffer=None):
        self.number = number
        self.path = path
        self.socket = socket.socket()
        if receive_buffer:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        self.socket.settimeout(10)
        self.socket.connect(address)

    def send_head(self, framing):
        self.socket.sendall((f"POST {self.path} HTTP/1.1\r\nHost: {HOST}\r\n"
                             f"Request-Id: crowd-{time.monotonic_ns()}-{self.number}\r\n"
                             f"Deadline-Ms: 5000\r\nAuthorization: Bearer {KEY}\r\n"
                             f"{framing}\r\n\r\n").encode())

    def send_body(self, size):
        block = b"b" * CHUNK_BYTES
        for sent in range(0, size, CHUNK_BYTES):
            self.socket.sendall(block[:min(CHUNK_BYTES, size - sent)])

    def send_chunks(self, size):
        for sent in range(0, size, CHUNK_BYTES):
            length = min(CHUNK_BYTES, size - sent)
            self.socket.sendall(b"%x\r\n%s\r\n" % (length, b"b" * length))

    def read_response(self):
        while self.socket.recv(CHUNK_BYTES):
            pass

    def read_slowly(self):
        end = time.monotonic() + HOLD_SECONDS
        while time.monotonic() < end and self.socket.recv(1024):
            time.sleep(0.02)


def oversized_announced(client, _):
    client.send_head(f"Content-Length: {OVERSIZED_BODY_BYTES}")
    client.send_body(MAX_SENT_BYTES)
    client.read_response()


def oversized_chunked(client, _):
    client.send_head("Transfer-Encoding: chunked")
    client.send_chunks(MAX_SENT_BYTES)
    client.read_response()


def whole(client, _):
    client.send_head(f"Content-Length: {MAX_BODY_BYTES}\r\nConnection: close")
    client.send_body(MAX_BODY_BYTES)
    client.read_response()


def stopped_announced(client, hold):
    client.send_head(f"Content-Length: {MAX_BODY_BYTES}")
    client.send_body(MAX_BODY_BYTES - 1)
    hold()


def stopped_chunked(client, hold):
    client.send_head("Transfer-Encoding: chunked")
    client.send_chunks(MAX_BODY_BYTES - 1)
    hold()


def response_not_read(client, hold):
    client.send_head("Content-Length: 0")
    hold()


def response_read_slowly(client, _):
    client.send_head("Content-Length: 0")
    client.read_slowly()


def trickled_header(client, _):
    client.socket.sendall(f"POST {client.path} HTTP/1.1\r\nHost: {HOST}\r\nFill: ".encode()
                          + b"h" * (MAX_HEADER_BYTES - 1024))
    end = time.monotonic() + HOLD_SECONDS
    while time.monotonic() < end:
        client.socket.sendall(b"h")
        time.sleep(0.05)


def many_fields(client, hold):
    client.send_head("\r\n".join(["Content-Length: 2"] + ["a:"] * HEADER_FIELDS))
    client.socket.sendall(b"b")
    hold()


def batch_submission(client, _):
    part = base64.b64encode(b"i" * (MAX_BODY_BYTES // 6)).decode()
    items = [{"id": f"{client.number}-{n}", "path": "/list/x", "headers": {}, "tokens": 1,
              "body": part} for n in range(4)]
    body = json.dumps({"requests": items}).encode()
    assert len(body) <= MAX_BODY_BYTES
    client.send_head(f"Content-Length: {len(body)}\r\nConnection: close")
    client.socket.sendall(body)
    client.read_response()


def submission_of_many_values(client, _):
    body = b'{"requests":[' + b"[]," * (MAX_BODY_BYTES // 3 - 10) + b"[]]}"
    assert len(body) <= MAX_BODY_BYTES
    client.send_head(f"Content-Length: {len(body)}\r\nConnection: close")
    client.socket.sendall(body)
    client.read_response()


class Observer:
    """Observes the memory and the descriptors of a process while a crowd is connected."""

    def __init__(self, process):
        self.process = process
        self.folder = f"/proc/{process.pid}"
        # 5 resets VmHWM, the peak of the resident memory.
        with open(f"{self.folder}/clear_refs", "w") as refs:
            refs.write("5")
        self.descriptors_before = self.descriptors = self.count_descriptors()
        self.ends = threading.Event()
        self.thread = threading.Thread(target=self.observe)
        self.thread.start()

    def count_descriptors(self):
        return len(os.listdir(f"{self.folder}/fd"))

    def observe(self):
        while not self.ends.wait(0.01) and self.process.poll() is None:
            try:
                self.descriptors = max(self.descriptors, self.count_descriptors())
            except OSError:
                return

    def end(self):
        self.ends.set()
        self.thread.join()

    def memory(self, key):
        with open(f"{self.folder}/status") as status:
            line = next(line for line in status if line.startswith(key))
        return int(line.split()[1]) * 1024


class MemoryLimitTest(PlatformDeployment):
    """Each test starts a crowd of clients against a process whose settings limit its memory."""

    entries = 1
    role_settings = {"entry": {"memoryMegabytes": MEMORY_MEBIBYTES},
                     "control": {"memoryMegabytes": MEMORY_MEBIBYTES}}

    @classmethod
    def setUpClass(cls):
        InstanceList.slots = STREAM_CLIENTS
        super().setUpClass()
        # No request of a crowd is to be refused because of the rate of its workspace.
        cls.ready = cls.ready and cls.put_configuration(configuration(2, rate=1000)) == 200

    @classmethod
    def start_upstreams(cls):
        for number in InstanceList.numbers:
            cls.serve((f"127.0.8.{number}", UPSTREAM_PORT), LargeUpstream)

    def setUp(self):
        super().setUp()
        self.restart_all("entry", [1])
        self.assertTrue(wait_until(lambda: self.is_ready(1)))

    def run_client(self, act, number, address, path, receive_buffer):
        try:
            client = Client(number, address, path, receive_buffer)
        except OSError:
            return
        try:
            act(client, lambda: time.sleep(HOLD_SECONDS))
        except OSError:
            pass
        finally:
            client.socket.close()

    def run_crowd(self, members, role="entry", port=CALLER_PORT, receive_buffer=None):
        """Runs one client for each pair of a behavior and a path, all at once, and checks the
        process that they connect to."""
        process = self.processes[f"{role}-1"]
        address = (self.address(role, 1), port)
        observer = Observer(process)
        clients = [threading.Thread(target=self.run_client,
                                    args=(act, number, address, path, receive_buffer))
                   for number, (act, path) in enumerate(members)]
        for client in clients:
            client.start()
        for client in clients:
            client.join()
        time.sleep(RELEASE_SECONDS)
        observer.end()
        self.assertIsNone(process.poll(), "the process has ended")
        peak = observer.memory("VmHWM")
        print(f"\n{self._testMethodName}: peak {peak / MEBIBYTE:.1f} MiB, after "
              f"{observer.memory('VmRSS') / MEBIBYTE:.1f} MiB, descriptors "
              f"{observer.descriptors_before} to {observer.descriptors}", flush=True)
        with self.subTest("memory"):
            self.assertLessEqual(peak, MEMORY_MEBIBYTES * MEBIBYTE)
        with self.subTest("descriptors"):
            self.assertLessEqual(observer.descriptors, observer.descriptors_before
                                 + DESCRIPTORS_PER_CLIENT * len(members) + DESCRIPTOR_MARGIN)
        with self.subTest("ordinary request"):
            self.assertEqual(self.send_request(f"{self._testMethodName}-after")[0], 200)

    def test_one_legal_body_is_served(self):
        """Guards against a budget that refuses a request within the limits without other load."""
        status = self.send_request("single", path="/lookup/1", body=b"b" * MAX_BODY_BYTES)[0]
        self.assertEqual(status, 200)

    def announce(self, size):
        """Announces a body and returns the status of the response, 100 if it may be sent."""
        client = Client(0, (self.address("entry", 1), CALLER_PORT), "/ask/1")
        try:
            client.send_head(f"Content-Length: {size}\r\nExpect: 100-continue")
            return int(client.socket.recv(CHUNK_BYTES).split()[1])
        finally:
            client.socket.close()

    def put_body_limit(self, version, size):
        document = configuration(version, rate=1000)
        document["limits"]["max-body-bytes"] = size
        self.assertEqual(self.put_configuration(document), 200)

    def test_body_that_never_fits(self):
        """Guards against a legal body that is refused with 503 for ever, as it exceeds the budget
        alone, and against a limit of bodies that is no size."""
        self.put_body_limit(3, OVERSIZED_BODY_BYTES)
        self.addCleanup(self.put_body_limit, 4, MAX_BODY_BYTES)
        self.assertTrue(wait_until(lambda: self.announce(MAX_BODY_BYTES + 1) == 100))
        self.assertEqual(self.announce(OVERSIZED_BODY_BYTES), 413)
        document = configuration(4)
        document["limits"]["max-body-bytes"] = -1
        self.assertEqual(self.put_configuration(document), 400)
        self.assertEqual(self.announce(4 * 10 ** 18), 413)
        self.assertEqual(self.send_request("never-fits-after")[0], 200)

    def test_oversized_announced_bodies(self):
        """Guards against a process that reads bodies beyond the limit that were announced."""
        self.run_crowd([(oversized_announced, "/ask/1")] * CLIENTS)

    def test_oversized_chunked_bodies(self):
        """Guards against a process that keeps bodies beyond the limit."""
        self.run_crowd([(oversized_chunked, "/ask/1")] * CLIENTS)

    def test_whole_legal_bodies(self):
        """Guards against large bodies that together exceed the memory while they run."""
        self.run_crowd([(whole, "/lookup/1"), (whole, "/ask/1")] * (CLIENTS // 2))

    def test_stopped_announced_bodies(self):
        """Guards against bodies that lack their last byte and are kept."""
        self.run_crowd([(stopped_announced, "/ask/1")] * CLIENTS)

    def test_stopped_chunked_bodies(self):
        """Guards against chunked bodies that do not end and are kept."""
        self.run_crowd([(stopped_chunked, "/ask/1")] * CLIENTS)

    def test_streams_not_read(self):
        """Guards against streams that are kept for callers that read nothing."""
        self.run_crowd([(response_not_read, "/ask/long")] * STREAM_CLIENTS, receive_buffer=4096)

    def test_streams_read_slowly(self):
        """Guards against streams that are kept for callers that read little."""
        self.run_crowd([(response_read_slowly, "/ask/long")] * CLIENTS, receive_buffer=4096)

    def test_whole_responses_not_read(self):
        """Guards against complete responses that are kept for callers that read slowly."""
        self.run_crowd([(response_not_read, "/lookup/long"), (response_read_slowly, "/lookup/long")]
                       * (CLIENTS // 2), receive_buffer=4096)

    def test_trickled_headers(self):
        """Guards against headers without end that are kept."""
        self.run_crowd([(trickled_header, "/ask/1")] * CLIENTS)

    def test_headers_of_many_fields(self):
        """Guards against header fields that are kept but not counted."""
        self.run_crowd([(many_fields, "/ask/1")] * HEADER_CLIENTS)

    def test_mixed_crowd(self):
        """Guards against parts of the budget that are each within bounds but not together."""
        kinds = [(oversized_announced, "/ask/1"), (oversized_chunked, "/ask/1"),
                 (whole, "/lookup/1"), (stopped_announced, "/ask/1"), (stopped_chunked, "/ask/1"),
                 (response_not_read, "/ask/long"), (response_not_read, "/lookup/long"),
                 (response_read_slowly, "/ask/long"), (trickled_header, "/ask/1"),
                 (batch_submission, "/list/job")]
        self.run_crowd(kinds * (CLIENTS // len(kinds)), receive_buffer=4096)

    def test_batch_submissions(self):
        """Guards against large submissions that are parsed and forwarded at the same time."""
        self.run_crowd([(batch_submission, f"/list/large-{n}") for n in range(CLIENTS)])

    def test_submissions_of_many_values(self):
        """Guards against a submission whose JSON values need many times the memory of its text."""
        self.run_crowd([(submission_of_many_values, "/list/many")] * MANY_VALUES_CLIENTS)

    def test_stopped_bodies_at_the_operator_address(self):
        """Guards against a control process that keeps incomplete bodies of operators' calls."""
        self.run_crowd([(stopped_announced, "/Config.Replace"),
                        (stopped_chunked, "/Config.Replace")] * (CLIENTS // 2),
                       role="control", port=OPERATOR_PORT)

    def test_stopped_bodies_at_the_readiness_address(self):
        """Guards against an entry that keeps incomplete bodies of readiness probes."""
        self.run_crowd([(stopped_announced, "/readiness"), (stopped_chunked, "/readiness")]
                       * (CLIENTS // 2), port=READY_PORT)

    def test_connections_at_the_readiness_address(self):
        """Guards against an entry whose descriptors are used up by connections to its readiness
        address, and against probes that are kept out by them."""
        observer = Observer(self.processes["entry-1"])
        clients = []
        for _ in range(READINESS_CLIENTS):
            clients.append(socket.create_connection((self.address("entry", 1), READY_PORT)))
            self.addCleanup(clients[-1].close)
            clients[-1].sendall(b"GET /readiness HTTP/1.1\r\n")
        self.assertTrue(wait_until(lambda: self.is_ready(1)))
        observer.end()
        self.assertIsNone(self.processes["entry-1"].poll(), "the process has ended")
        self.assertLessEqual(observer.descriptors,
                             observer.descriptors_before + MAX_READINESS_DESCRIPTORS)


if __name__ == "__main__":
    unittest.main()
