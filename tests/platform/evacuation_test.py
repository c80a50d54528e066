"""Tests that an acknowledged evacuation of a failure domain holds through failures."""

import http.client
import itertools
import threading
import time
import unittest

from platformdeployment import (CALLER_PORT, InstanceList, KEY, OPERATOR_PORT, PlatformDeployment,
                                Upstream, call, wait_until)

# Time after the acknowledgement by which no request may reach the domain any more.
IN_FORCE_SECONDS = 5
# Time within which service resumes after a fault.
RECOVERY_SECONDS = 12


class EvacuationDeployment(PlatformDeployment):
    """Base of test cases. Upstream 1 is in failure domain a, upstream 2 in failure domain b."""

    @classmethod
    def setUpClass(cls):
        InstanceList.zones = {1: "a", 2: "b"}
        super().setUpClass()

    @classmethod
    def tearDownClass(cls):
        super().tearDownClass()
        InstanceList.zones = {}

    def order(self, verb, domain, control=1, body=None):
        """Returns the status of one call; None without a response."""
        try:
            return call(self.address("control", control), OPERATOR_PORT, "POST",
                        f"/Evacuations.{verb}/{domain}", body, timeout=1)[0]
        except (OSError, http.client.HTTPException):
            return None

    def acknowledged(self, verb, domain):
        """Repeats a call at all control processes in turn until it is acknowledged."""
        controls = itertools.cycle([1, 2, 3])
        return wait_until(lambda: self.order(verb, domain, next(controls)) == 200)

    def ask(self, entry=1, path="/ask/once/5"):
        try:
            return call(self.address("entry", entry), CALLER_PORT, "POST", path, b"prompt",
                        {"Authorization": f"Bearer {KEY}", "Request-Id": f"r{time.monotonic()}"})[0]
        except (OSError, http.client.HTTPException):
            return None

    def upstreams_of(self, requests):
        """Sends requests to both entries in turn. Returns their statuses and the hosts of the
        upstreams that served them."""
        begin = time.monotonic()
        statuses = [self.ask(1 + number % 2) for number in range(requests)]
        with Upstream.lock:
            hosts = {host for host, at in Upstream.arrivals if at >= begin}
        return statuses, hosts


class OrderTest(EvacuationDeployment):
    """All processes run."""

    def test_domain_gets_nothing_until_the_evacuation_is_finished(self):
        """Guards against requests that reach an evacuated domain, and against one that stays
        without requests afterwards."""
        self.assertTrue(wait_until(lambda: self.upstreams_of(8)[1] == {"127.0.8.1", "127.0.8.2"}))
        self.assertEqual(self.order("Start", "a", body="{}"), 400)
        self.assertTrue(wait_until(lambda: self.order("Start", "nowhere") == 404))
        self.assertTrue(self.acknowledged("Start", "a"))
        self.assertEqual(self.order("Start", "a", 2), 200)
        time.sleep(IN_FORCE_SECONDS)
        self.assertEqual(self.upstreams_of(8), ([200] * 8, {"127.0.8.2"}))
        self.assertTrue(self.acknowledged("Start", "b"))
        time.sleep(IN_FORCE_SECONDS)
        # No upstream of the service is left.
        self.assertEqual(self.upstreams_of(2), ([503] * 2, set()))
        for domain in "ab":
            self.assertTrue(self.acknowledged("Finish", domain))
        self.assertTrue(wait_until(lambda: self.upstreams_of(8)[1] == {"127.0.8.1", "127.0.8.2"}))

    def test_running_request_is_completed(self):
        """Guards against an evacuation that ends what runs."""
        statuses = []
        streams = [threading.Thread(target=lambda: statuses.append(self.ask(path="/ask/once/100")))
                   for _ in range(6)]
        for stream in streams:
            stream.start()
        time.sleep(0.5)
        self.assertTrue(self.acknowledged("Start", "a"))
        for stream in streams:
            stream.join()
        self.assertEqual(statuses, [200] * 6)
        self.assertTrue(self.acknowledged("Finish", "a"))


class LossTest(EvacuationDeployment):
    """Processes are lost around the acknowledgement."""

    def test_order_is_acknowledged_through_the_loss_of_the_leader(self):
        """Guards against an order that is lost, or refused when repeated, because the leader is
        killed before or after it has acknowledged it."""
        leader = self.fleet_leader()
        first = threading.Thread(target=self.order, args=("Start", "a", leader))
        first.start()
        self.kill("control", leader)
        first.join()
        self.assertTrue(self.acknowledged("Start", "a"))
        self.start("control", leader)
        time.sleep(IN_FORCE_SECONDS)
        self.assertEqual(self.upstreams_of(6)[1], {"127.0.8.2"})
        self.assertTrue(self.acknowledged("Finish", "a"))

    def test_order_survives_the_loss_of_all_power(self):
        """Guards against processes that send requests to an evacuated domain after their start."""
        self.assertTrue(self.acknowledged("Start", "b"))
        self.kill_all()
        begin = time.monotonic()
        self.start_all()
        self.assertTrue(wait_until(lambda: self.ask() == 200, RECOVERY_SECONDS))
        self.assertTrue(wait_until(lambda: self.ask(2) == 200, RECOVERY_SECONDS))
        self.upstreams_of(8)
        with Upstream.lock:
            hosts = {host for host, at in Upstream.arrivals if at >= begin}
        self.assertEqual(hosts, {"127.0.8.1"})
        self.assertTrue(self.acknowledged("Finish", "b"))


if __name__ == "__main__":
    unittest.main()
