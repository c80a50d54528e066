"""Tests that an upstream which hangs, so that its system still accepts connections, ends no request
(LOST)."""

import unittest

from full_accept_queue_test import ACCEPT_QUEUE
from silent_upstreams_test import PART, SilentUpstreamsDeployment

# Longest time between two events of a stream whose upstream hangs.
MAX_GAP_SECONDS = 1.2


class HungUpstreamTest(SilentUpstreamsDeployment):
    def test_upstream_stays_silent(self):
        """Guards against streams that wait for an upstream that has hung, or end with it."""
        self.play(silent=PART[:1], stays_silent=True)
        self.check()
        gaps = {stream.request_id: stream.longest_gap() for stream in self.streams}
        self.assertLessEqual(max(gaps.values()), MAX_GAP_SECONDS, gaps)


class HungUpstreamFullQueueTest(HungUpstreamTest):
    accept_queue = ACCEPT_QUEUE


if __name__ == "__main__":
    unittest.main()
