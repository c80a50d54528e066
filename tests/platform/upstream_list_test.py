"""Tests that an upstream which the platform's list shows as draining soon gets no more requests."""

import base64
import http.client
import json
import signal
import threading
import time
import unittest
from pathlib import Path

from platformdeployment import (CALLER_PORT, KEY, InstanceList, PlatformDeployment, Upstream, call,
                                wait_until)

LEAVING_ADDRESS = "127.0.8.1"
# Time after the platform's response within which requests may still reach the upstream.
DRAIN_SECONDS = 3


class LeavingUpstreamTest(PlatformDeployment):
    """Callers send requests and jobs without a pause."""

    def setUp(self):
        super().setUp()
        self.ends = threading.Event()
        self.callers = [threading.Thread(target=self.send_requests, args=(n,)) for n in range(3)]
        self.callers.append(threading.Thread(target=self.send_jobs))
        for caller in self.callers:
            caller.start()

    def tearDown(self):
        InstanceList.on_read = None
        InstanceList.draining = set()
        self.ends.set()
        for caller in self.callers:
            caller.join()

    def repeat(self, send):
        number = 0
        while not self.ends.is_set():
            number += 1
            try:
                send(number)
            except (OSError, http.client.HTTPException):
                time.sleep(0.05)

    def send_requests(self, caller):
        self.repeat(lambda n: self.send_request(f"{self.id()}-{caller}-{n}", 1 + caller % 2))

    def send_jobs(self):
        def send(number):
            job = f"{self.id().rsplit('.', 1)[-1].replace('_', '-')}-{number}"
            requests = [{"id": f"{job}-{n}", "path": "/list/x", "headers": {}, "tokens": 100,
                         "body": base64.b64encode(b"body").decode()} for n in range(2)]
            call(self.address("entry", 1), CALLER_PORT, "POST", "/list/" + job,
                 json.dumps({"requests": requests}),
                 {"Request-Id": job, "Authorization": f"Bearer {KEY}"})
            time.sleep(0.3)
        self.repeat(send)

    def fleet_leader(self):
        """Returns the name of the control process that was the last one to become the leader."""
        gained = []
        for number in (1, 2, 3):
            log = Path(self.directory.name) / f"control-{number}.log"
            for line in log.read_text(errors="replace").splitlines():
                if '"leadership-gained"' in line and '"fleet"' in line:
                    gained.append((json.loads(line)["term"], f"control-{number}"))
        return max(gained)[1]

    def last_arrival(self):
        return max((at for address, at in Upstream.arrivals if address == LEAVING_ADDRESS),
                   default=0)

    def leave(self, freeze):
        """Lets the upstream leave; freeze is called right before the platform's first response
        that shows it, so that no process learns it from that response. Returns the time of that
        response."""
        shown = threading.Event()
        times = []

        def on_read():
            InstanceList.on_read = None
            times.append(time.monotonic())
            freeze()
            shown.set()

        self.assertTrue(wait_until(lambda: self.last_arrival() > time.monotonic() - 1))
        InstanceList.on_read = on_read
        InstanceList.draining = {LEAVING_ADDRESS}
        self.assertTrue(shown.wait(10))
        return times[0]

    def check(self, shown_at):
        time.sleep(DRAIN_SECONDS + 4)
        self.assertLessEqual(self.last_arrival() - shown_at, DRAIN_SECONDS)
        others = max(at for address, at in Upstream.arrivals if address != LEAVING_ADDRESS)
        self.assertGreater(others, time.monotonic() - 1)

    def test_upstream_gets_no_requests_although_its_reader_is_frozen(self):
        """Guards against requests to a leaving upstream (DRAIN) whose state only a fleet leader
        has read that was frozen right after."""
        leader = self.processes[self.fleet_leader()]
        try:
            self.check(self.leave(lambda: leader.send_signal(signal.SIGSTOP)))
        finally:
            leader.send_signal(signal.SIGCONT)

    def test_upstream_gets_no_requests_while_no_fleet_leader_exists(self):
        """Guards against requests to a leaving upstream (DRAIN) while the fleet group has no
        leader: the store that grants slots has to read the list itself."""
        stopped = [self.processes[f"control-{n}"] for n in (1, 2, 3)]

        def freeze():
            for process in stopped:
                process.send_signal(signal.SIGSTOP)
        try:
            self.check(self.leave(freeze))
        finally:
            for process in stopped:
                process.send_signal(signal.SIGCONT)

    def test_normal_operation_reads_the_list_once_a_second(self):
        """Guards against stores or entries that read the list although the fleet leader does."""
        time.sleep(3)
        begin = time.monotonic()
        time.sleep(5)
        reads = sum(1 for at in InstanceList.reads if at >= begin)
        self.assertLessEqual(reads, 6)
        self.assertGreaterEqual(reads, 4)


if __name__ == "__main__":
    unittest.main()
