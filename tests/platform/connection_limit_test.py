"""Tests that upstreams which reset connections beyond their limit end no request (LOST)."""

import unittest

from silent_upstreams_test import SilentUpstreamsDeployment

SLOTS = 8
# The probes and hedges of two entries exceed it while all upstreams are silent.
MAX_CONNECTIONS = 9


class ConnectionLimitTest(SilentUpstreamsDeployment):
    """Each upstream resets the connections beyond max-connections, which the configuration states
    for all callers together."""

    slots = SLOTS
    upstream_options = ("--max-connections", str(MAX_CONNECTIONS))

    def configuration(self, version):
        document = super().configuration(version)
        document["services"][0]["max-connections"] = MAX_CONNECTIONS
        return document

    def test_connections_beyond_the_limit_are_reset(self):
        """Guards against entries that take reset connections for lost links, and against requests
        that end with these connections."""
        self.play()
        print("connections reset:", self.logged("reset"))
        self.check()


if __name__ == "__main__":
    unittest.main()
