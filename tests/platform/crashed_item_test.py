"""Tests that an item of a batch job stays owed, however many upstreams crashed while they ran it."""

import time
import unittest

from itemdeployment import ItemDeployment
from platformdeployment import wait_until

# Time after its last failure within which an open item must be at an upstream again.
ATTEMPT_SECONDS = 20
COMPLETION_SECONDS = 5
# Number of trials that an online request would have.
TRIALS = 2


class CrashedItemTest(ItemDeployment):
    def crash_under_all_trials(self, name):
        """Returns the number of attempts."""
        count = self.submit_until_held(name)
        for _ in range(TRIALS):
            self.crash_under_next_attempt(name, count)
            count += 1
        return count

    def test_item_is_sent_again_after_its_trials_have_crashed(self):
        """Guards against an item without a result (LOST) that no upstream gets any more, because
        the two trials of its block have met crashes of other causes."""
        name = "crashed-in-trials"
        count = self.crash_under_all_trials(name)
        self.await_attempt(name, count, ATTEMPT_SECONDS)
        self.assertTrue(wait_until(lambda: self.is_completed(name), COMPLETION_SECONDS))
        self.assertTrue(any(line["item"] == name
                            for _, line in self.log_lines("store", "item-released")))

    def test_item_is_sent_again_after_all_processes_were_killed(self):
        """Guards against the same with a store leader and a fleet leader that have the block from
        the records only."""
        name = "crashed-and-killed"
        count = self.crash_under_all_trials(name)
        # The fleet leader records the end of the trial.
        time.sleep(1)
        self.kill_all()
        self.start_all()
        self.await_attempt(name, count, ATTEMPT_SECONDS)
        self.assertTrue(wait_until(lambda: self.is_completed(name), COMPLETION_SECONDS))


if __name__ == "__main__":
    unittest.main()
