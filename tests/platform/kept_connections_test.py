"""Tests that a whole request on a connection that was announced as kept gets a response (LOST).

RATTANRILL_SEEDS and RATTANRILL_FIRST_SEED select the seeds of the randomized case."""

import http.client
import json
import os
import random
import re
import signal
import socket
import threading
import time
import unittest

from platformdeployment import (CALLER_PORT, HOST, KEY, OPERATOR_PORT, InstanceList,
                                PlatformDeployment, Upstream, configuration, wait_until)

SHUTDOWN_SECONDS = 8
TIMEOUT_MS = 5000
# Longer than the processes live after a stop signal.
LONG_TIMEOUT_MS = 20000
# Share of the announced time for which clients reuse an idle connection.
REUSED_SHARE = 0.8
STREAM_END = b"id: 20\ndata: d20\n\n"
# Of a request and the end of the process: a request that is sent in this time before the end may
# cross it.
CROSSING_SECONDS = 0.2
SEEDS = int(os.environ.get("RATTANRILL_SEEDS", "1"))
FIRST_SEED = int(os.environ.get("RATTANRILL_FIRST_SEED", "1"))
RANDOM_SECONDS = 20
IDLE_TIMEOUTS_MS = (500, 900, 1000, 1500, 2000, 5000, 20000)
# Time after which a client sends the next request after a refusal.
RETRY_SECONDS = 0.1
# Longest time for which a client of the randomized case leaves its connection idle.
MAX_IDLE_SECONDS = 3


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


def was_received(request_id):
    return any(headers.get("Request-Id") == request_id for _, headers, _ in Upstream.received)


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

    def stop(self, name):
        """Sends the stop signal and returns its time."""
        self.processes[name].send_signal(signal.SIGTERM)
        return time.monotonic()

    def await_end(self, name, signal_at):
        """Waits for the end of a process and returns the time from the stop signal to it."""
        self.assertEqual(self.processes[name].wait(10), 0)
        return time.monotonic() - signal_at

    def restart(self, name):
        process = self.processes[name]
        if process.poll() is None:
            process.kill()
            process.wait()
        role, number = name.split("-")
        self.start(role, int(number))


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

    def test_request_after_the_last_chunk_gets_a_response(self):
        """Guards against a request that an entry drops after its stop signal, because the stream
        before it has ended: the stream's head, written before the signal, announced keep-alive."""
        self.configure(20000)
        # One half ends in the first 2.5 s after the signal, in which the entry serves all requests,
        # the other half later.
        periods = [60 + 5 * n for n in range(6)] + [150 + 10 * n for n in range(6)]
        connections = [self.connect() for _ in periods]
        for period, connection in zip(periods, connections):
            connection.begin(caller_request(f"last-{period}", f"/slow/{period}"))

        def end(connection, period):
            body = connection.end()
            streams.append(body is not None and body.endswith(STREAM_END))
            connection.call(caller_request(f"next-{period}", "/long/1", LONG_TIMEOUT_MS))

        streams = []
        clients = [threading.Thread(target=end, args=pair) for pair in zip(connections, periods)]
        try:
            signal_at = self.stop("entry-2")
            for client in clients:
                client.start()
            elapsed = self.await_end("entry-2", signal_at)
        finally:
            for client in clients:
                client.join()
            self.restart("entry-2")
        self.assertEqual(streams, [True] * 12)
        statuses = [connection.status for connection in connections]
        self.assertEqual(statuses, [200] * 6 + [503] * 6)
        self.assertEqual([connection.kept_seconds for connection in connections], [0] * 12)
        for period in periods[6:]:
            self.assertFalse(was_received(f"next-{period}"))
        self.assertLess(elapsed, SHUTDOWN_SECONDS)

    def test_idle_connection_is_served_until_the_process_ends(self):
        """Guards against an entry that closes connections, which it announced as kept, while it
        still runs requests, and against idle connections that delay its end."""
        self.configure(20000)
        idle = [self.connect() for _ in range(6)]
        for number, connection in enumerate(idle):
            connection.call(caller_request(f"idle-{number}", "/slow/1"))
        stream = self.connect()
        # Ends about 4 s after the signal.
        stream.begin(caller_request("idle-stream", "/slow/200"))
        try:
            signal_at = self.stop("entry-2")
            for number, connection in enumerate(idle[:5]):
                time.sleep(0.7)
                connection.call(caller_request(f"idle-next-{number}", "/slow/1", 1000))
            stream.end()
            elapsed = self.await_end("entry-2", signal_at)
        finally:
            self.restart("entry-2")
        self.assertEqual([connection.status for connection in idle], [200] * 6)
        self.assertEqual([connection.kept_seconds for connection in idle], [0] * 5 + [20])
        self.assertLess(elapsed, SHUTDOWN_SECONDS * 0.75)

    def test_idle_connections_do_not_delay_the_end(self):
        """Guards against a process that kept connections hold until it is killed."""
        self.configure(20000)
        idle = [self.connect() for _ in range(6)]
        for number, connection in enumerate(idle):
            connection.call(caller_request(f"free-{number}", "/slow/1"))
        try:
            elapsed = self.await_end("entry-2", self.stop("entry-2"))
        finally:
            self.restart("entry-2")
        self.assertLess(elapsed, SHUTDOWN_SECONDS / 2)


class Client(threading.Thread):
    """Sends requests to a process and uses its connection for as long as the last response allows,
    whatever the process does. Records the requests that get no whole response, and the ids of those
    that were refused as not run."""

    def __init__(self, name, address, seed, make_request, stopped):
        super().__init__()
        self.process = name
        self.address = address
        self.random = random.Random(seed)
        self.make_request = make_request
        self.stopped = stopped
        self.statuses = {}
        self.refused = []
        self.reuses = 0
        # Connection and description of each.
        self.lost = []
        self.failure = None
        self.start()

    def run(self):
        try:
            while not self.stopped.is_set():
                self.use_connection()
        except Exception as error:  # pylint: disable=broad-except
            self.failure = repr(error)

    def use_connection(self):
        try:
            connection = KeptConnection(*self.address)
        except ConnectionError:
            time.sleep(0.05)
            return
        try:
            while self.send(connection) and not self.stopped.is_set():
                longest = min(REUSED_SHARE * connection.kept_seconds, MAX_IDLE_SECONDS)
                # Many requests follow at once.
                time.sleep(longest * max(0, self.random.uniform(-0.5, 1)))
                self.reuses += 1
        finally:
            connection.close()

    def send(self, connection):
        """Returns whether the connection may be used again."""
        request_id, request = self.make_request(self.random)
        before = connection.kept_seconds
        body = connection.call(request, self.random.choice((0, 0, 0.01, 0.05)))
        self.statuses[connection.status] = self.statuses.get(connection.status, 0) + 1
        if body is None:
            self.lost.append((connection, f"{self.process} {request_id}: status "
                              f"{connection.status}, announced {before}"))
            return False
        if connection.status == 503:
            self.refused.append(request_id)
            time.sleep(RETRY_SECONDS)
        return connection.kept_seconds > 0


class Stops:
    """Stops processes and starts them again."""

    def __init__(self, deployment):
        self.deployment = deployment
        self.ends = {}
        self.codes = []
        self.threads = {}

    def stop(self, name):
        thread = self.threads.get(name)
        if thread is None or not thread.is_alive():
            self.threads[name] = threading.Thread(target=self.run, args=(name,))
            self.threads[name].start()

    def run(self, name):
        process = self.deployment.processes[name]
        process.send_signal(signal.SIGTERM)
        code = process.wait(12)
        self.ends.setdefault(name, []).append(time.monotonic())
        self.codes.append(code)
        time.sleep(0.1)
        self.deployment.restart(name)
        # A stop signal that arrives before the process handles signals, which it does before it
        # listens, ends it without its shutdown.
        wait_until(lambda: self.listens(name))

    def listens(self, name):
        role, number = name.split("-")
        port = CALLER_PORT if role == "entry" else OPERATOR_PORT
        socket.create_connection((self.deployment.address(role, number), port), 1).close()
        return True

    def join(self):
        for thread in self.threads.values():
            thread.join()

    def ended_before(self, name, connection, crossing=0):
        """Whether the process of the connection ended before its last request, or the given time
        after it."""
        return any(connection.opened_at <= end <= connection.sent_at + crossing
                   for end in self.ends.get(name, []))


class RandomizedTest(KeptConnectionsDeployment):
    """Clients use open connections until the processes are gone, while the configuration changes
    and processes are reloaded and stopped, one after another and at once."""

    def test_every_request_on_a_kept_connection_gets_a_response(self):
        for seed in range(FIRST_SEED, FIRST_SEED + SEEDS):
            with self.subTest(seed=seed):
                self.play(seed)

    def play(self, seed):
        self.assertTrue(wait_until(lambda: all(self.is_ready(n) for n in (1, 2))))
        self.configure(20000)
        Upstream.received.clear()
        choices = random.Random(seed)
        stopped = threading.Event()
        clients = self.start_clients(seed, stopped)
        stops = Stops(self)
        end = time.monotonic() + RANDOM_SECONDS
        try:
            while time.monotonic() < end:
                time.sleep(choices.uniform(0.1, 1.2))
                choices.choice((self.change, self.change, self.reload, self.stop_entry,
                                self.stop_entry, self.stop_entries, self.stop_control))(
                                    choices, stops)
        finally:
            stops.join()
            stopped.set()
            for client in clients:
                client.join()
        self.check(seed, clients, stops)

    def start_clients(self, seed, stopped):
        def caller_requests(number):
            count = iter(range(1000000))

            def make(choices):
                request_id = f"s{seed}-{number}-{next(count)}"
                path = choices.choice(("/slow/1", "/slow/20", "/slow/80", "/once/1", "/once/30",
                                       "/none"))
                return request_id, caller_request(request_id, path)
            return make

        def operator_request(_):
            return "read", f"GET /Config.Get HTTP/1.1\r\nHost: {HOST}\r\n\r\n".encode()

        clients = [Client(f"entry-{1 + n % 2}", (self.address("entry", 1 + n % 2), CALLER_PORT),
                          f"{seed}-{n}", caller_requests(n), stopped) for n in range(24)]
        clients += [Client(f"control-{1 + n % 3}",
                           (self.address("control", 1 + n % 3), OPERATOR_PORT),
                           f"{seed}-control-{n}", operator_request, stopped) for n in range(6)]
        return clients

    def change(self, choices, _):
        try:
            version = self.configuration_version(choices.randint(1, 3)) + 1
            self.put_configuration(kept_configuration(version, choices.choice(IDLE_TIMEOUTS_MS)),
                                   choices.randint(1, 3))
        except (OSError, http.client.HTTPException, json.JSONDecodeError):
            pass

    def reload(self, _choices, _stops):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGHUP)

    def stop_entry(self, choices, stops):
        stops.stop(f"entry-{choices.randint(1, 2)}")

    def stop_entries(self, _, stops):
        stops.stop("entry-1")
        stops.stop("entry-2")

    def stop_control(self, choices, stops):
        if not any(thread.is_alive() for name, thread in stops.threads.items()
                   if name.startswith("control")):
            stops.stop(f"control-{choices.randint(1, 3)}")

    def check(self, seed, clients, stops):
        statuses = {}
        for client in clients:
            for status, count in client.statuses.items():
                statuses[status] = statuses.get(status, 0) + count
        lost = [(client.process, *entry) for client in clients for entry in client.lost]
        late = [text for name, connection, text in lost
                if stops.ended_before(name, connection, CROSSING_SECONDS)]
        gone = [text for name, connection, text in lost if stops.ended_before(name, connection)]
        print(f"seed {seed}: statuses {statuses}, reuses {sum(c.reuses for c in clients)}, "
              f"ends {sum(map(len, stops.ends.values()))}, without a response {len(lost)}: "
              f"{len(gone)} after the end of the process, {len(late) - len(gone)} crossing it",
              flush=True)
        self.assertEqual([client.failure for client in clients if client.failure], [])
        self.assertEqual([text for _, _, text in lost if text not in late], [])
        self.assertEqual(set(stops.codes) - {0}, set())
        received = [headers["Request-Id"] for _, headers, _ in Upstream.received]
        self.assertEqual(sorted(received), sorted(set(received)))
        refused = {request_id for client in clients for request_id in client.refused}
        self.assertEqual(refused & set(received), set())
        self.assertGreater(sum(client.reuses for client in clients), 100)


if __name__ == "__main__":
    unittest.main()
