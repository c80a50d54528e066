"""Tests that late items of batch jobs do not wait for an upstream of another version."""

import base64
import json
import time
import unittest

from platformdeployment import (CALLER_PORT, KEY, UPSTREAM_PORT, InstanceList, PlatformDeployment,
                                Upstream, call, configuration, wait_until)

OLD, NEW = "127.0.8.1", "127.0.8.2"
# Time after the fault within which each accepted item must be listed: the target of the route.
COMPLETION_SECONDS = 18
# Time for which a failed case goes on, so that it prints when the items were completed.
OBSERVATION_SECONDS = 40
SLOTS = 4
LATE_ITEMS = 28
# Progress of items is stored twice a second.
PROGRESS_SECONDS = 1


class LateItemTest(PlatformDeployment):
    """Two upstreams of different versions. All items are late from the start, as all earlier ones
    are after a loss of power."""

    @classmethod
    def setUpClass(cls):
        InstanceList.versions = {OLD: "v1", NEW: "v2"}
        super().setUpClass()
        document = configuration(2)
        route = next(route for route in document["routes"] if route["type"] == "batch")
        document["routes"].append({**route, "name": "slow-lists", "path-prefix": "/slow/",
                                   "completion-target-ms": 500})
        cls.ready = cls.ready and wait_until(lambda: cls.put_configuration(document) == 200)

    def submit(self, job, count, period_ms):
        items = [{"id": f"{job}-{n}", "path": f"/slow/{period_ms}", "headers": {}, "tokens": 10,
                  "body": base64.b64encode(b"%d" % n).decode()} for n in range(count)]
        status = []
        # The first rate bucket starts empty, and the entries learn the route with a delay.
        self.assertTrue(wait_until(lambda: status.append(
            call(self.address("entry", 1), CALLER_PORT, "POST", f"/slow/{job}",
                 json.dumps({"requests": items}),
                 {"Request-Id": job, "Authorization": f"Bearer {KEY}"})[0]) or status[-1] == 202),
                        status)

    def results(self, job):
        """Returns the number of items that are listed as completed."""
        status, body, _ = call(self.address("entry", 1), CALLER_PORT, "GET", f"/lots/{job}?after=0",
                               headers={"Authorization": f"Bearer {KEY}"})
        results = json.loads(body)["results"] if status == 200 else []
        return sum(1 for result in results if result["state"] == "completed")

    @staticmethod
    def requests_at(address):
        with Upstream.lock:
            return sum(1 for arrival in Upstream.arrivals if arrival[0] == address)

    def end_upstream(self, address):
        """Ends an upstream, which the list still shows as ready."""
        server = next(server for server in self.servers
                      if server.server_address == (address, UPSTREAM_PORT))
        server.shutdown()
        server.server_close()
        Upstream.break_connections(server.server_address)

    def test_late_items_run_while_another_version_has_no_slot(self):
        """Guards against late items that wait, although an upstream has free slots, behind one that
        can continue only at a version whose upstream is lost (LOST)."""
        self.submit("begun", 2 * SLOTS, 100)
        self.assertTrue(wait_until(lambda: self.requests_at(OLD) >= SLOTS))
        self.submit("late", LATE_ITEMS, 50)
        time.sleep(PROGRESS_SECONDS)
        lost = time.monotonic()
        self.end_upstream(OLD)
        wait_until(lambda: self.results("late") == LATE_ITEMS, OBSERVATION_SECONDS)
        seconds = time.monotonic() - lost
        print(f"late: {self.results('late')} of {LATE_ITEMS} items completed {seconds:.1f} s after "
              f"the fault; begun: {self.results('begun')} of {2 * SLOTS}", flush=True)
        self.assertLessEqual(seconds, COMPLETION_SECONDS)


if __name__ == "__main__":
    unittest.main()
