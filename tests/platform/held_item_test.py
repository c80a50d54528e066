"""Tests that a sound item which a block holds gets its result soon after processes were killed."""

import time
import unittest

from itemdeployment import ItemDeployment
from platformdeployment import wait_until

# Time after a restart within which each accepted item must be listed: the target of the route.
COMPLETION_SECONDS = 18
# Time for which a failed case goes on, so that it prints when the item was completed.
OBSERVATION_SECONDS = 30


class HeldItemTest(ItemDeployment):
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
