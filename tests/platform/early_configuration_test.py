"""Tests that a change of the configuration shortly after the start takes effect (R13)."""

import unittest

from platformdeployment import HOST, PlatformDeployment, configuration, wait_until


class EarlyConfigurationTest(PlatformDeployment):
    """Without stores, entries can't grant slots before they know the number of entries."""

    stores = 0

    def versions_in_force(self):
        return [(number, line["configurationVersion"])
                for number, line in self.log_lines("entry", "configuration-in-force")]

    def test_change_takes_effect_before_slots_can_be_granted(self):
        """Guards against an entry that answers by the first configuration, which it serves because
        nothing else is known yet, after it has received a newer one: callers take 404 for final."""
        document = configuration(2)
        document["routes"].append(
            {"name": "early", "hostname": HOST, "path-prefix": "/early/", "type": "safe",
             "timeout-ms": 5000, "target-latency-ms": 1000, "service": "lm", "max-attempts": 2})
        self.assertEqual(self.put_configuration(document), 200)
        self.assertTrue(wait_until(
            lambda: {(1, 2), (2, 2)} <= set(self.versions_in_force())))
        for number in (1, 2):
            self.assertNotEqual(self.send_request(f"early-{number}", number, path="/early/1")[0],
                                404)


if __name__ == "__main__":
    unittest.main()
