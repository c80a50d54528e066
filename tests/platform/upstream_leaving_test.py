"""Tests that an upstream which announces in its responses that it leaves gets no more requests."""

import base64
import http.client
import json
import threading
import time
import unittest

from platformdeployment import CALLER_PORT, KEY, PlatformDeployment, Upstream, call

LEAVING_ADDRESS = "127.0.8.1"
# Time after the first announcement from which the upstream may get no request.
DRAIN_SECONDS = 3
RUN_SECONDS = 5


class UpstreamLeavingTest(PlatformDeployment):
    """Two callers send requests without a pause, one to each entry, and a third one sends jobs. The
    platform's list shows both upstreams as ready all the time."""

    def setUp(self):
        super().setUp()
        self.statuses = []
        self.ends = threading.Event()
        self.callers = [threading.Thread(target=self.send_requests, args=(n,)) for n in (1, 2)]
        self.callers.append(threading.Thread(target=self.send_jobs))
        for caller in self.callers:
            caller.start()

    def tearDown(self):
        self.ends.set()
        for caller in self.callers:
            caller.join()

    def send_requests(self, entry):
        number = 0
        while not self.ends.is_set():
            number += 1
            try:
                self.statuses.append(self.send_request(f"{self.id()}-{entry}-{number}", entry)[0])
            except (OSError, http.client.HTTPException):
                self.statuses.append(0)
                time.sleep(0.05)

    def send_jobs(self):
        number = 0
        while not self.ends.is_set():
            number += 1
            job = f"job-{number}"
            requests = [{"id": f"{job}-{n}", "path": "/list/x", "headers": {}, "tokens": 1,
                         "body": base64.b64encode(b"body").decode()} for n in range(2)]
            call(self.address("entry", 1 + number % 2), CALLER_PORT, "POST", "/list/" + job,
                 json.dumps({"requests": requests}),
                 {"Request-Id": job, "Authorization": f"Bearer {KEY}"})
            time.sleep(0.3)

    @staticmethod
    def arrivals(begin, path):
        """Returns the addresses of the upstreams that got a request after begin."""
        return [address for (address, at), (received_path, _, _)
                in zip(list(Upstream.arrivals), list(Upstream.received))
                if at >= begin and received_path.startswith(path)]

    def test_upstream_that_announced_to_leave_gets_no_requests(self):
        """Guards against requests and items at an upstream that leaves (DRAIN) while the list shows
        it as ready, and against requests that are refused although another upstream is free."""
        time.sleep(2)
        for path in ("/ask/", "/list/"):
            self.assertIn(LEAVING_ADDRESS, self.arrivals(0, path))
        Upstream.leaving = {LEAVING_ADDRESS}
        time.sleep(DRAIN_SECONDS)
        begin = time.monotonic()
        self.statuses.clear()
        time.sleep(RUN_SECONDS)
        for path in ("/ask/", "/list/"):
            arrivals = self.arrivals(begin, path)
            self.assertGreater(len(arrivals), 0)
            self.assertEqual(arrivals.count(LEAVING_ADDRESS), 0)
        self.assertEqual(set(self.statuses), {200})


if __name__ == "__main__":
    unittest.main()
