"""Tests that upstreams which accept connections slowly end no request (LOST)."""

import unittest

from silent_upstreams_test import EVENT_MS, STREAMS_PER_ENTRY, SilentUpstreamsDeployment

ACCEPT_QUEUE = 5
ACCEPT_MS = 50
# Together with those of the other entry, more than the accept queues hold, fewer than there are
# slots.
BURST_PER_ENTRY = 32


class SlowAcceptTest(SilentUpstreamsDeployment):
    """Each upstream needs some time to accept a connection and has a short accept queue. None is
    silent: established connections are served at once."""

    accept_queue = ACCEPT_QUEUE
    upstream_options = ("--accept-ms", str(ACCEPT_MS))

    def test_burst_of_requests(self):
        """Guards against streams that are given up, and requests that are refused, because an entry
        takes connections that wait to be accepted for lost links."""
        self.streams = [self.send(entry, f"/slow/{EVENT_MS + number}", False)
                        for number in range(STREAMS_PER_ENTRY) for entry in (1, 2)]
        for stream in self.streams:
            self.assertTrue(stream.began.wait(10))
        self.requests = [self.send(entry, "/ask/1", False) for _ in range(BURST_PER_ENTRY)
                         for entry in (1, 2)]
        for request in self.streams + self.requests:
            request.join()
        self.check_responses()


if __name__ == "__main__":
    unittest.main()
