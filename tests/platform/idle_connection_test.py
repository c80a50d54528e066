"""Tests that upstreams which close idle connections after a silence end no request (LOST)."""

import signal
import time
import unittest

from silent_upstreams_test import SILENCE_SECONDS, UPSTREAMS, SilentUpstreamsDeployment

# Shorter than the silence, and stated in each response.
IDLE_SECONDS = 1
# Time from the end of the responses to the silence; then the connections may still be used.
IDLE_BEFORE_SILENCE_SECONDS = 0.25
PATHS = ("/ask/1", "/lookup/1")
REQUESTS_PER_PATH = 12


class IdleConnectionTest(SilentUpstreamsDeployment):
    """Each upstream closes connections that were idle for a second, also those on which a request
    has arrived while the upstream was silent."""

    upstream_options = ("--idle-seconds", str(IDLE_SECONDS))

    def send_burst(self):
        return [self.send(entry, path, False) for _ in range(REQUESTS_PER_PATH)
                for path in PATHS for entry in (1, 2)]

    def test_requests_on_idle_connections_are_dropped(self):
        """Guards against entries that take closed idle connections for lost links, and against
        requests that have no attempt left when their connection is closed."""
        for request in self.send_burst():
            request.join()
        time.sleep(IDLE_BEFORE_SILENCE_SECONDS)
        self.signal_upstreams(UPSTREAMS, signal.SIGSTOP)
        try:
            self.requests = self.send_burst()
            time.sleep(SILENCE_SECONDS)
        finally:
            self.signal_upstreams(UPSTREAMS, signal.SIGCONT)
        for request in self.requests:
            request.join()
        self.assertGreater(self.logged("dropped"), 0)
        self.check_responses()


if __name__ == "__main__":
    unittest.main()
