"""Tests that a prompt part which crashes upstreams is kept away from them."""

import http.client
import time
import unittest

from platformdeployment import CRASHING_PART, PlatformDeployment, Upstream, wait_until

# Time after the fifth crash within which each entry must know the part.
CONTACT_SECONDS = 3
MAX_FURTHER_REQUESTS = 3
# Number of crashes after which the part is blocked.
BLOCKING_CRASHES = 3


def crashing_prompt(number):
    return f"first:100,subject-{number % 3}:50,{CRASHING_PART}:50,own-{number}:20"


class CrashingPromptPartTest(PlatformDeployment):
    """No two of the requests are alike, and sound ones share all other parts with them."""

    count = 0

    def send_quietly(self, prompt, entry):
        type(self).count += 1
        try:
            return self.send_request(f"c-{self.count}", entry, prompt=prompt)[0]
        except (OSError, http.client.HTTPException):
            return None

    def send_crashing(self, number):
        return self.send_quietly(crashing_prompt(number), 1 + number % 2)

    def crash_five_times(self):
        """Ends earlier when the part is blocked. A 503 before BLOCKING_CRASHES has another reason,
        such as a deployment that has no slot broker yet."""
        end = time.monotonic() + 20
        number = 0
        while len(Upstream.crashes) < 5 and time.monotonic() < end:
            if self.send_crashing(number) == 503:
                if len(Upstream.crashes) >= BLOCKING_CRASHES:
                    break
                time.sleep(0.05)
            number += 1
        self.assertGreaterEqual(len(Upstream.crashes), BLOCKING_CRASHES)

    def further_requests(self, first):
        before = len(Upstream.crashes)
        statuses = [self.send_crashing(first + n) for n in range(20)]
        return len(Upstream.crashes) - before, statuses

    def test_requests_with_a_crashing_prompt_part_stop_reaching_upstreams(self):
        """Guards against a part that crashes one upstream after the other (BUDGET), also after
        all processes that remember it were killed, and against sound requests that share the
        other parts and are rejected with it (LOST)."""
        self.crash_five_times()
        time.sleep(CONTACT_SECONDS)
        further, statuses = self.further_requests(100)
        self.assertLessEqual(further, MAX_FURTHER_REQUESTS)
        # All but the trials, which may be any of them, did not run.
        self.assertGreaterEqual(statuses.count(503), len(statuses) - further, statuses)
        sound = [self.send_quietly(f"first:100,subject-{n % 3}:50,sound-{n}:20", 1 + n % 2)
                 for n in range(6)]
        self.assertEqual(sound, [200] * 6)

        self.restart_all("control", (1, 2, 3))
        self.restart_all("entry", (1, 2))
        self.assertTrue(wait_until(lambda: all(self.is_ready(n) for n in (1, 2))))
        further_after_restart, _ = self.further_requests(200)
        self.assertLessEqual(further + further_after_restart, MAX_FURTHER_REQUESTS)


if __name__ == "__main__":
    unittest.main()
