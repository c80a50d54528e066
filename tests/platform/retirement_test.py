"""Tests that an operator's order to retire a store never costs accepted jobs."""

import base64
import http.client
import json
import threading
import time
import unittest

from platformdeployment import (CALLER_PORT, KEY, OPERATOR_PORT, PlatformDeployment, call,
                                wait_until)

ITEMS = 4
# Longer than an election and the time after which a new fleet leader takes its list of members for
# complete.
NEW_LEADER_SECONDS = 6
# Time within which service resumes after a fault.
RECOVERY_SECONDS = 12


class RetirementDeployment(PlatformDeployment):
    """Base of test cases. Four stores, of which three hold a copy; one may be lost."""

    stores = 4

    def operate(self, method, path, control):
        """Returns status and document; None and an empty document without a response."""
        try:
            status, body, _ = call(self.address("control", control), OPERATOR_PORT, method, path,
                                   json.dumps({"duration-s": 10}) if method == "POST" else None,
                                   timeout=1)
        except (OSError, http.client.HTTPException):
            return None, {}
        return status, json.loads(body) if status == 200 else {}

    def order(self, store, control=1):
        """Sends an order to retire a store until it gets a clear response, as the operator does, and
        returns the status."""
        statuses = []
        path = f"/Retire.Start/store-{store}"
        wait_until(lambda: statuses.append(self.operate("POST", path, control)[0])
                   or statuses[-1] in (200, 404, 409))
        return statuses[-1]

    def states(self, store):
        """Returns what each control process answers for the retirement of a store."""
        answers = [self.operate("GET", f"/Retire.Get/store-{store}", number)
                   for number in (1, 2, 3)]
        return [document.get("state", status) for status, document in answers]

    def submit(self, job):
        items = [{"id": f"{job}-{n}", "path": f"/list/{n}", "headers": {}, "tokens": 10,
                  "body": base64.b64encode(b"item").decode()} for n in range(ITEMS)]
        return call(self.address("entry", 1), CALLER_PORT, "POST", f"/list/{job}",
                    json.dumps({"requests": items}),
                    {"Request-Id": job, "Authorization": f"Bearer {KEY}"})[0]

    def results(self, job):
        """Returns the number of results that can be read."""
        status, body, _ = call(self.address("entry", 1), CALLER_PORT, "GET", f"/lots/{job}?after=0",
                               headers={"Authorization": f"Bearer {KEY}"})
        return len(json.loads(body)["results"]) if status == 200 else 0


class StoresWithoutLeaderTest(RetirementDeployment):
    """Two of the three stores that hold a copy are without power."""

    def test_retirement_runs_while_the_stores_have_no_leader(self):
        """Guards against a retirement that a new fleet leader calls completed because it has not
        heard yet which stores hold a copy, so that the last copy of a job is removed (LOST)."""
        # Before the control processes know which stores there are, they accept no order.
        self.assertEqual(self.order(9), 404)
        self.assertEqual(self.submit("job"), 202)
        self.assertTrue(wait_until(lambda: self.results("job") == ITEMS))
        for store in (2, 3):
            self.kill("store", store)
        self.assertEqual(self.order(1), 200)
        leader = self.fleet_leader()
        self.kill("control", leader)
        time.sleep(0.5)
        self.start("control", leader)
        seen = []
        end = time.monotonic() + NEW_LEADER_SECONDS
        while time.monotonic() < end:
            seen += self.states(1)
            time.sleep(0.2)
        self.assertNotIn("completed", seen)
        self.assertTrue(wait_until(lambda: self.states(1) == ["running"] * 3))

        self.remove_disk("store", 2)
        for store in (2, 3):
            self.start("store", store)
        self.assertTrue(wait_until(lambda: "completed" in self.states(1), 2 * RECOVERY_SECONDS))
        self.kill("store", 1)
        self.remove_disk("store", 1)
        self.assertTrue(wait_until(lambda: self.results("job") == ITEMS, RECOVERY_SECONDS))


class OrderTest(RetirementDeployment):
    """All processes run."""

    def test_only_one_of_two_orders_at_once_is_accepted(self):
        """Guards against two orders at two control processes that are both accepted although the
        deployment can spare one store (LOST), and against the repeat of an accepted order that is
        refused."""
        statuses = {}

        def send(store, control):
            statuses[store] = self.order(store, control)

        self.assertEqual(self.order(9), 404)
        senders = [threading.Thread(target=send, args=(store, control))
                   for store, control in ((2, 1), (3, 2))]
        for sender in senders:
            sender.start()
        for sender in senders:
            sender.join()
        self.assertEqual(sorted(statuses.values()), [200, 409])
        accepted = min(statuses, key=statuses.get)
        self.assertTrue(wait_until(lambda: "completed" in self.states(accepted)))
        self.assertTrue(wait_until(lambda: self.states(5 - accepted) == [404] * 3))
        self.assertEqual(self.order(accepted, 3), 200)

    def test_order_is_not_refused_by_a_leader_that_knows_no_store(self):
        """Guards against an order for a store that runs and that a new fleet leader refuses for good,
        because it has not heard of the store yet."""
        self.restart_all("control", (1, 2, 3))
        statuses = []
        self.assertTrue(wait_until(lambda: statuses.append(
            self.operate("POST", "/Retire.Start/store-1", 1)[0]) or statuses[-1] in (200, 404, 409)))
        self.assertNotEqual(statuses[-1], 404, statuses)

    def test_store_without_an_order_is_not_completed(self):
        """Guards against a store that counts as retired because no control process has heard of
        it."""
        for store in (4, 9):
            self.assertTrue(wait_until(lambda: self.states(store) == [404] * 3))


if __name__ == "__main__":
    unittest.main()
