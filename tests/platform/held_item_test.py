"""Tests that a sound item which a block holds gets its result soon after processes were killed."""

import base64
import json
import time
import unittest

from platformdeployment import (CALLER_PORT, KEY, UPSTREAM_PORT, PlatformDeployment, Upstream, call,
                                wait_until)

# Time after a restart within which each accepted item must be listed: the target of the route.
COMPLETION_SECONDS = 18
# Time for which a failed case goes on, so that it prints when the item was completed.
OBSERVATION_SECONDS = 30


class HeldItemTest(PlatformDeployment):
    """The upstreams crash for reasons of their own while they run a sound item, one attempt after
    another, until the fleet leader blocks it."""

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

    def await_attempt(self, name, count):
        self.assertTrue(wait_until(lambda: len(self.attempts(name)) > count), "no further attempt")

    def crash_under_next_attempt(self, name, count):
        self.await_attempt(name, count)
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

    def assert_completed_in_time(self, name, since):
        wait_until(lambda: self.is_completed(name), OBSERVATION_SECONDS)
        seconds = time.monotonic() - since
        print(f"{name}: {len(self.attempts(name))} attempts, "
              f"completed {self.is_completed(name)} {seconds:.1f} s after the fault", flush=True)
        self.assertLessEqual(seconds, COMPLETION_SECONDS)
        self.assertTrue(self.is_completed(name))

    def restart_all_processes(self):
        self.kill_all()
        restarted = time.monotonic()
        self.start_all()
        return restarted

    def test_all_processes_are_killed_during_a_trial(self):
        """Guards against an item that stays without a result (LOST) because the new fleet leader
        waits for the trial of a process that no longer exists."""
        name = "all-killed-in-trial"
        self.await_attempt(name, self.submit_until_held(name))
        self.assert_completed_in_time(name, self.restart_all_processes())

    def test_owner_of_a_trial_is_killed(self):
        """Guards against an item that stays without a result because the fleet leader waits for the
        trial of the store that was killed."""
        name = "owner-killed-in-trial"
        self.await_attempt(name, self.submit_until_held(name))
        owner = self.log_lines("store", "crash-block-trial")[-1][0]
        killed = time.monotonic()
        self.kill("store", owner)
        self.start("store", owner)
        self.assert_completed_in_time(name, killed)

    def test_all_processes_are_killed_between_two_trials(self):
        """Guards against an item that stays without a result because the new fleet leader counts
        the wait for the last trial from its own start."""
        name = "all-killed-between-trials"
        count = self.submit_until_held(name)
        reported = len(self.log_lines("control", "upstream-crash-reported"))
        self.crash_under_next_attempt(name, count)
        self.assertTrue(wait_until(
            lambda: len(self.log_lines("control", "upstream-crash-reported")) > reported))
        # The leader records the end of the trial.
        time.sleep(1)
        self.assert_completed_in_time(name, self.restart_all_processes())


if __name__ == "__main__":
    unittest.main()
