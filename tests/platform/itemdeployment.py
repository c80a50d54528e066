"""Submits items of batch jobs under which the upstreams crash."""

import base64
import json

from platformdeployment import (CALLER_PORT, KEY, UPSTREAM_PORT, PlatformDeployment, Upstream, call,
                                wait_until)


class ItemDeployment(PlatformDeployment):
    """Base of test cases in which the upstreams crash for reasons of their own while they run a
    sound item, one attempt after another, until the fleet leader blocks it."""

    def submit(self, name):
        item = {"id": name, "path": f"/list/{name}/late", "headers": {}, "tokens": 10,
                "body": base64.b64encode(b"sound but unlucky").decode()}
        status, _, _ = call(self.address("entry", 1), CALLER_PORT, "POST", f"/list/job-{name}",
                            json.dumps({"requests": [item]}),
                            {"Request-Id": f"job-{name}", "Authorization": f"Bearer {KEY}"})
        self.assertEqual(status, 202)

    def is_completed(self, name):
        status, body, _ = call(self.address("entry", 1), CALLER_PORT, "GET",
                               f"/lots/job-{name}?after=0", timeout=1,
                               headers={"Authorization": f"Bearer {KEY}"})
        return status == 200 and [result["state"] for result in json.loads(body)["results"]] \
            == ["completed"]

    @staticmethod
    def attempts(name):
        """Returns the addresses of the upstreams that received the item."""
        with Upstream.lock:
            return [arrival[0] for received, arrival in zip(Upstream.received, Upstream.arrivals)
                    if received[0] == f"/list/{name}/late"]

    def await_attempt(self, name, count, seconds=20):
        self.assertTrue(wait_until(lambda: len(self.attempts(name)) > count, seconds),
                        "no further attempt")

    def crash_under_next_attempt(self, name, count, seconds=20):
        self.await_attempt(name, count, seconds)
        Upstream.break_connections((self.attempts(name)[count], UPSTREAM_PORT))

    def is_held(self, name):
        return any(line["item"] == name for _, line in self.log_lines("store", "item-held"))

    def submit_until_held(self, name):
        """Returns the number of attempts."""
        self.submit(name)
        count = 0
        while not wait_until(lambda: self.is_held(name) or len(self.attempts(name)) > count):
            self.fail("the item neither runs nor is held")
        while not self.is_held(name):
            self.crash_under_next_attempt(name, count)
            count += 1
            wait_until(lambda before=count: self.is_held(name)
                       or len(self.attempts(name)) > before)
        self.assertGreaterEqual(len(set(self.attempts(name))), 2)
        return count
