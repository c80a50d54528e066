"""Tests that a workspace gets no second burst when the slot broker is lost."""

import threading
import time
import unittest

from platformdeployment import InstanceList, PlatformDeployment, Upstream, configuration

RATE = 60
BURST = 60
WINDOW_SECONDS = 5
RATE_OVER = 0.1
RATE_SLACK = 20
# Requests that may be run in a window.
LIMIT = (RATE * WINDOW_SECONDS + BURST) * (1 + RATE_OVER) + RATE_SLACK
CALLERS = 24
FLOOD_SECONDS = 7


class RateHandoverTest(PlatformDeployment):
    entries = 4
    role_settings = {role: {"rateWindowSeconds": WINDOW_SECONDS, "rateOver": RATE_OVER,
                            "rateSlack": RATE_SLACK} for role in ("control", "store", "entry")}

    @classmethod
    def setUpClass(cls):
        InstanceList.slots = 32
        super().setUpClass()

    def setUp(self):
        super().setUp()
        document = configuration(2)
        document["tenants"][0].update({"rate-per-s": RATE, "burst": BURST})
        # A response takes no time there.
        document["routes"][1].update({"path-prefix": "/once/", "target-latency-ms": 300})
        self.assertEqual(self.put_configuration(document), 200)
        # The buckets fill.
        time.sleep(4)

    def flood(self, caller, end):
        """Sends requests one after another, each at another entry."""
        turn = caller
        while time.monotonic() < end:
            turn += 1
            try:
                self.send_request(f"r-{caller}-{turn}", turn % self.entries + 1,
                                  path="/once/0")
            except OSError:
                pass
            time.sleep(0.05)

    def store_leader(self):
        return self.log_lines("store", "leadership-gained")[-1][0]

    def most_in_a_window(self, since):
        with Upstream.lock:
            arrivals = sorted(at for _, at in Upstream.arrivals if at >= since)
        return max(sum(1 for at in arrivals if begin <= at <= begin + WINDOW_SECONDS)
                   for begin in arrivals)

    def test_loss_of_the_store_leader_grants_no_second_burst(self):
        """Guards against a workspace that gets its burst from the slot broker and once more from the
        local shares of the entries, which had filled meanwhile (QUOTA)."""
        begin = time.monotonic()
        callers = [threading.Thread(target=self.flood, args=(number, begin + FLOOD_SECONDS))
                   for number in range(CALLERS)]
        for caller in callers:
            caller.start()
        time.sleep(0.7)
        self.kill("store", self.store_leader())
        for caller in callers:
            caller.join()
        most = self.most_in_a_window(begin)
        print(f"{most} requests in {WINDOW_SECONDS} s, {LIMIT:.0f} allowed", flush=True)
        self.assertLessEqual(most, LIMIT)
        self.assertGreaterEqual(most, RATE * WINDOW_SECONDS)


if __name__ == "__main__":
    unittest.main()
