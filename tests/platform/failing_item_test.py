"""Tests that an item which fails at each run is not sent again by each new leader of the stores."""

import base64
import json
import time
import unittest
from pathlib import Path

from platformdeployment import (CALLER_PORT, KEY, PlatformDeployment, Upstream, call, wait_until)

# max-attempts of the route "lists".
MAX_ATTEMPTS = 3


class FailingItemTest(PlatformDeployment):
    """The leading store is killed twice, each time while the item runs. That an item was sent again
    proves that the failure before was stored."""

    def test_item_that_fails_at_each_run_is_given_up(self):
        """Guards against an item that has all its attempts again after each loss of the leader of
        the stores (BUDGET)."""
        Upstream.unanswered = {2, 4}
        body = base64.b64encode(b"fails").decode()
        items = [{"id": "bad", "path": "/list/fail/1", "headers": {}, "tokens": 10, "body": body}]
        status, _, _ = call(self.address("entry", 1), CALLER_PORT, "POST", "/list/jobs",
                            json.dumps({"requests": items}),
                            {"Request-Id": "job-1", "Authorization": f"Bearer {KEY}"})
        self.assertEqual(status, 202)
        for number in sorted(Upstream.unanswered):
            self.assertTrue(wait_until(lambda n=number: Upstream.fails >= n))
            leader = self.store_leader()
            self.kill("store", leader)
            self.start("store", leader)
        self.assertTrue(wait_until(self.has_ended, 30))
        # Further attempts would follow within the longest backoff.
        time.sleep(3)
        self.assertEqual(Upstream.fails - len(Upstream.unanswered), MAX_ATTEMPTS)

    def has_ended(self):
        status, body, _ = call(self.address("entry", 1), CALLER_PORT, "GET", "/lots/job-1?after=0",
                               headers={"Authorization": f"Bearer {KEY}"})
        return status == 200 and [result["state"] for result in json.loads(body)["results"]] \
            == ["dead_lettered"]

    @classmethod
    def store_leader(cls):
        """Returns the number of the store that gained the leadership last."""
        def gained(number):
            log = (Path(cls.directory.name) / f"store-{number}.log").read_text()
            return max((json.loads(line)["time"] for line in log.splitlines()
                        if '"leadership-gained"' in line), default="")
        return max((1, 2, 3), key=gained)


if __name__ == "__main__":
    unittest.main()
