"""Tests how late a request reaches an upstream that stood still while the platform's list began to
show it as draining (DRAIN)."""

import base64
import http.client
import json
import signal
import socket
import subprocess
import sys
import threading
import time
import unittest
from pathlib import Path

from platformdeployment import (CALLER_PORT, HOST, KEY, UPSTREAM_PORT, InstanceList,
                                PlatformDeployment, call, configuration, wait_until)

STOPPED = 1
STOPPED_ADDRESS = f"127.0.8.{STOPPED}"
UPSTREAMS = (1, 2, 3)
TIMEOUT_MS = 9000
# Time after the platform's response within which requests may still reach the upstream.
DRAIN_SECONDS = 4
# Time from the stop of the upstream until the list shows it as draining.
LEAD_SECONDS = 1
# Time from then until the upstream goes on.
SILENCE_SECONDS = DRAIN_SECONDS + 1
OBSERVATION_SECONDS = 1.5


class RequestsAtAStoppedUpstream(PlatformDeployment):
    """The upstreams are processes. Four callers at each entry send requests without a pause, another
    one sends jobs."""

    queue = 128

    @classmethod
    def setUpClass(cls):
        InstanceList.numbers = UPSTREAMS
        InstanceList.draining = set()
        cls.upstreams = {}
        super().setUpClass()

    @classmethod
    def start_upstreams(cls):
        program = Path(__file__).parent / "recordingupstream.py"
        for number in UPSTREAMS:
            host = f"127.0.8.{number}"
            with open(Path(cls.directory.name) / f"upstream-{number}.jsonl", "wb") as output:
                process = subprocess.Popen(
                    [sys.executable, program, host, str(UPSTREAM_PORT), str(cls.queue)],
                    stdout=output)
            cls.upstreams[number] = process
            cls.addClassCleanup(process.wait)
            cls.addClassCleanup(process.kill)
            wait_until(lambda: not socket.create_connection((host, UPSTREAM_PORT), 1).close())

    def setUp(self):
        super().setUp()
        document = configuration(self.configuration_version() + 1, rate=1000)
        for route in document["routes"]:
            route["timeout-ms"] = TIMEOUT_MS
        self.assertTrue(wait_until(lambda: self.put_configuration(document) == 200))
        self.ends = threading.Event()
        self.sent_at = {}
        self.statuses = []
        self.callers = [threading.Thread(target=self.send_requests, args=(n,)) for n in range(8)]
        self.callers.append(threading.Thread(target=self.send_jobs))
        for caller in self.callers:
            caller.start()

    def tearDown(self):
        self.upstreams[STOPPED].send_signal(signal.SIGCONT)
        InstanceList.draining = set()
        self.ends.set()
        for caller in self.callers:
            caller.join()

    def name(self):
        return self.id().rsplit(".", 1)[-1].replace("_", "-")

    def send_requests(self, caller):
        number = 0
        while not self.ends.is_set():
            number += 1
            request_id = f"{self.name()}-{caller}-{number}"
            self.sent_at[request_id] = time.monotonic()
            try:
                status = call(self.address("entry", 1 + caller % 2), CALLER_PORT, "POST", "/ask/1",
                              b"question", {"Request-Id": request_id, "Host": HOST,
                                            "Deadline-Ms": str(TIMEOUT_MS),
                                            "Authorization": f"Bearer {KEY}"}, TIMEOUT_MS / 1000)[0]
            except (OSError, http.client.HTTPException):
                status = 0
            self.statuses.append(status)
            time.sleep(0.02)

    def send_jobs(self):
        number = 0
        while not self.ends.is_set():
            number += 1
            job = f"{self.name()}-{number}"
            requests = [{"id": f"{job}-{n}", "path": "/list/x", "headers": {}, "tokens": 1,
                         "body": base64.b64encode(b"body").decode()} for n in range(2)]
            try:
                call(self.address("entry", 1 + number % 2), CALLER_PORT, "POST", "/list/" + job,
                     json.dumps({"requests": requests}),
                     {"Request-Id": job, "Authorization": f"Bearer {KEY}"})
            except (OSError, http.client.HTTPException):
                pass
            time.sleep(0.2)

    def arrivals(self, since):
        output = Path(self.directory.name) / f"upstream-{STOPPED}.jsonl"
        lines = [json.loads(line) for line in output.read_text().splitlines()]
        return [line for line in lines if line["at"] >= since]

    def written_at(self, arrival):
        """Returns when an entry wrote a request, by the time that was left then."""
        return self.sent_at[arrival["id"]] + (TIMEOUT_MS - arrival["remainingMs"]) / 1000

    def stop_and_drain(self):
        """Stops the upstream, lets the list show it as draining and continues the upstream. Returns
        the times of the stop, of the first response with the list and of the end of the stop."""
        shown = threading.Event()
        times = []

        def on_read():
            InstanceList.on_read = None
            times.append(time.monotonic())
            shown.set()

        self.assertTrue(wait_until(lambda: self.arrivals(time.monotonic() - 1)))
        stopped_at = time.monotonic()
        self.upstreams[STOPPED].send_signal(signal.SIGSTOP)
        time.sleep(LEAD_SECONDS)
        InstanceList.on_read = on_read
        InstanceList.draining = {STOPPED_ADDRESS}
        self.assertTrue(shown.wait(10))
        time.sleep(SILENCE_SECONDS)
        continued_at = time.monotonic()
        self.upstreams[STOPPED].send_signal(signal.SIGCONT)
        time.sleep(OBSERVATION_SECONDS)
        return stopped_at, times[0], continued_at

    def check(self):
        """Stops the upstream while it drains. No request and no item may reach it late."""
        stopped_at, shown_at, continued_at = self.stop_and_drain()
        late = [line for line in self.arrivals(continued_at)
                if line["at"] - shown_at > DRAIN_SECONDS]
        written = sorted(self.written_at(line) - stopped_at for line in late
                         if line["path"].startswith("/ask/"))
        items = [line["id"] for line in late if line["path"].startswith("/list/")]
        print(f"{self.id()}: listed as draining {shown_at - stopped_at:.1f} s and continued "
              f"{continued_at - stopped_at:.1f} s after the stop; requests that arrived late were "
              f"written {[round(at, 2) for at in written]} s after the stop; "
              f"{len(items)} items arrived late", flush=True)
        self.assertEqual((len(written), len(items)), (0, 0))


class LateRequestTest(RequestsAtAStoppedUpstream):
    def test_request_does_not_arrive_late(self):
        """Guards against a request or an item that is written to an upstream that stands still,
        and that the upstream reads when it goes on."""
        self.check()


class FullQueueTest(RequestsAtAStoppedUpstream):
    queue = 2

    def test_request_does_not_arrive_late(self):
        """Guards against the same at an upstream whose queue of new connections is full, so that
        connections to it are established late."""
        self.check()


if __name__ == "__main__":
    unittest.main()
