"""Tests that an upstream gets no more requests than the limit that its responses name."""

import http.client
import threading
import time
import unittest

from platformdeployment import PlatformDeployment, Upstream

LIMITED_ADDRESS = "127.0.8.1"
REQUESTS_PER_SECOND = 1
WINDOW_SECONDS = 4
CONTACT_SECONDS = 3
# Number of requests that the limited upstream may get in a window.
MAX_REQUESTS = 1.5 * REQUESTS_PER_SECOND * WINDOW_SECONDS + 5


class UpstreamLimitTest(PlatformDeployment):
    """Four callers send requests without a pause, to both entries. The other upstream has slots
    for all of them."""

    def setUp(self):
        super().setUp()
        self.statuses = []
        self.ends = threading.Event()
        self.callers = [threading.Thread(target=self.send_requests, args=(n,)) for n in range(4)]
        for caller in self.callers:
            caller.start()

    def tearDown(self):
        self.ends.set()
        for caller in self.callers:
            caller.join()

    def send_requests(self, caller):
        number = 0
        while not self.ends.is_set():
            number += 1
            try:
                request_id = f"{self.id()}-{caller}-{number}"
                self.statuses.append(self.send_request(request_id, 1 + caller % 2)[0])
            except (OSError, http.client.HTTPException):
                self.statuses.append(0)
                time.sleep(0.05)

    @staticmethod
    def most_requests(begin):
        """Returns the most requests that the limited upstream got in one window since begin."""
        times = [at for address, at in Upstream.arrivals
                 if address == LIMITED_ADDRESS and at >= begin]
        return max((sum(1 for at in times if first <= at < first + WINDOW_SECONDS)
                    for first in times), default=0)

    def test_upstream_gets_no_more_requests_than_its_limit(self):
        """Guards against requests beyond the limit of an upstream (LIMIT), against requests that
        are refused although another upstream has free slots, and against a limit that stays
        although responses no longer name it."""
        time.sleep(1)
        Upstream.limits = {LIMITED_ADDRESS: REQUESTS_PER_SECOND}
        time.sleep(CONTACT_SECONDS)
        begin = time.monotonic()
        self.statuses.clear()
        time.sleep(2 * WINDOW_SECONDS)
        limited = self.most_requests(begin)
        self.assertLessEqual(limited, MAX_REQUESTS)
        self.assertGreaterEqual(limited, REQUESTS_PER_SECOND * WINDOW_SECONDS / 2)
        self.assertEqual(set(self.statuses), {200})

        Upstream.limits = {}
        time.sleep(CONTACT_SECONDS)
        begin = time.monotonic()
        time.sleep(WINDOW_SECONDS)
        self.assertGreater(self.most_requests(begin), MAX_REQUESTS)


if __name__ == "__main__":
    unittest.main()
