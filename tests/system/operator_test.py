"""Tests of operator commands on a running deployment: conflicting writes, resent writes, withdrawn
keys and unresponsive control instances."""

import time
import unittest

from support import Stream, SystemTest, http_json, wait_for

# Time in seconds within which a configuration change, such as a withdrawn key, must be in force on
# every entry; 4 s is the target for configuration.
CONFIG_DEADLINE_S = 4


class OperatorTest(SystemTest):

    def refusal_code(self, entry, workspace):
        status, body, _ = self.complete(entry, workspace, "p", 1)
        return body["error"]["code"] if status != 200 else None

    def put_rate(self, base, request_id, rate):
        return self.deployment.ctl(
            "contract", "put", "booths-tyler", "--rate", str(rate), "--burst", "9",
            "--batch-share", "1", "--base-revision", str(base), "--request-id", request_id,
            check=False)

    def test_equal_base_revision_conflicts_for_second_write(self):
        """F5: guards against two writes that both succeed although they start from the same
        revision. Resending the first write with its request id must repeat its result."""
        contracts = self.deployment.ctl_json("contract", "list")["items"]
        base = next(c["revision"] for c in contracts if c["workspace"] == "booths-tyler")
        first = self.put_rate(base, "race-a", 4)
        second = self.put_rate(base, "race-b", 5)
        self.assertEqual(first.returncode, 0, first.stderr)
        self.assertEqual(second.returncode, 1)
        self.assertIn("conflict", second.stdout + second.stderr)
        resend = self.put_rate(base, "race-a", 4)
        self.assertEqual(resend.returncode, 0)
        self.assertEqual(resend.stdout, first.stdout)

    def test_withdrawn_key_stops_streams_and_requests(self):
        """R6: guards against a stream that continues, and against new requests that are accepted,
        after the key of the caller was withdrawn."""
        added = self.deployment.ctl_json("key", "add", "booths-laredo")
        self.deployment.ctl("config", "wait", "--revision", str(added["revision"]),
                            "--timeout", "10")
        stream = Stream(self.deployment.entry_url(1), added["key"], self.model, "long answer",
                        2000)
        stream.start()
        self.assertTrue(stream.first_token.wait(10), stream.error)
        self.deployment.ctl("key", "withdraw", added["key_id"])
        withdrawn_at = time.monotonic()
        stream.join(CONFIG_DEADLINE_S + 2)
        self.assertIsNotNone(stream.ended_at)
        self.assertLess(stream.ended_at - withdrawn_at, CONFIG_DEADLINE_S)
        self.assertFalse(stream.complete)
        self.assertEqual(stream.error["code"], "key_withdrawn")
        for url in self.deployment.entry_urls():
            status, body, _ = http_json("POST", url + "/v1/completions",
                                        {"model": self.model, "prompt": "p", "max_tokens": 1},
                                        {"Authorization": f"Bearer {added['key']}"})
            self.assertEqual((status, body["error"]["run"]), (401, "not_run"))

    def test_keyed_requests_are_refused_while_control_is_frozen(self):
        """R6, F4: guards against withdrawn keys that stay usable because an entry that cannot reach
        control does not receive the withdrawal. All control instances are frozen."""
        controls = [p for name, p in self.deployment.processes.items() if name.startswith("control")]
        for control in controls:
            control.freeze()
        try:
            wait_for(lambda: self.refusal_code(1, "booths-waco") == "keys_not_fresh",
                     "refusal of keyed requests", timeout=CONFIG_DEADLINE_S + 2)
            status, _, _ = http_json("GET", self.deployment.entry_url(1) + "/desk/status")
            self.assertEqual(status, 200)
        finally:
            for control in controls:
                control.thaw()
        wait_for(lambda: self.refusal_code(1, "booths-waco") is None,
                 "acceptance of keyed requests", timeout=15)


if __name__ == "__main__":
    unittest.main()
