"""End-to-end tests of online, service and batch requests and of their refusals."""

import json
import unittest

from support import Stream, SystemTest, http_json


class PathTest(SystemTest):

    def test_online_response_is_complete_on_every_entry(self):
        """Guards against responses that are truncated or belong to another prompt."""
        for entry in range(1, self.entries + 1):
            prompt = f"lantern colours for booth {entry}"
            status, body, headers = self.complete(entry, "booths-waco", prompt)
            self.assertEqual(status, 200, body)
            self.assertEqual(body["choices"][0]["text"], self.expected_text(prompt, 8))
            self.assertTrue(headers["X-Request-Id"])

    def test_streamed_text_equals_text_of_plain_response(self):
        """Guards against tokens that are lost, repeated or reordered while they are streamed."""
        stream = Stream(self.deployment.entry_url(1), self.deployment.keys["booths-waco"],
                        self.model, "paper lantern sizes", 12)
        stream.run()
        self.assertTrue(stream.complete, stream.error)
        self.assertEqual(stream.text, self.expected_text("paper lantern sizes", 12))

    def test_no_credentials_reach_an_upstream(self):
        """R5: guards against an entry that forwards the key or a cookie of the caller to an
        upstream in a header, a query or a body."""
        self.complete(1, "booths-waco", "a prompt")
        http_json("POST", self.deployment.entry_url(2) + "/desk/orders", {"count": 1},
                  {**self.deployment.bearer("booths-waco"), "Idempotency-Key": "k1",
                   "Cookie": "session=1"})
        records = json.dumps(self.upstream_records() + self.upstream_records("service")).lower()
        self.assertIn("/desk/orders", records)
        for key in self.deployment.keys.values():
            self.assertNotIn(key.lower(), records)
        for header in ("authorization", "cookie"):
            self.assertNotIn(header, records)

    def test_missing_and_unknown_keys_are_refused_as_not_run(self):
        """Guards against requests that reach an engine without a valid key."""
        before = len(self.upstream_records())
        for headers in ({}, {"Authorization": "Bearer sk-unknown"}):
            status, body, _ = http_json(
                "POST", self.deployment.entry_url(1) + "/v1/completions",
                {"model": self.model, "prompt": "p", "max_tokens": 1}, headers)
            self.assertEqual(status, 401)
            self.assertEqual(body["error"]["run"], "not_run")
        self.assertEqual(len(self.upstream_records()), before)

    def test_open_route_needs_no_key(self):
        """Guards against an entry that checks keys on a route that is configured as open."""
        status, body, _ = http_json("GET", self.deployment.entry_url(1) + "/desk/status")
        self.assertEqual(status, 200, body)

    def test_batch_completes_with_results_in_order(self):
        """Guards against results that are missing or out of input order, and against a second job
        when creation is resent through another entry."""
        lines, prompts = self.batch_lines(40)
        file_id = self.deployment.upload(1, "lantern-crew", lines)
        job = self.deployment.create_batch(2, "lantern-crew", file_id, key="path-batch")
        resent = self.deployment.create_batch(3, "lantern-crew", file_id, key="path-batch")
        self.assertEqual(job["id"], resent["id"])
        job = self.deployment.wait_batch(1, "lantern-crew", job["id"])
        self.assertEqual(job["request_counts"]["completed"], 40)
        results = self.deployment.results(3, "lantern-crew", job["output_file_id"])
        self.check_results(results, prompts)

    def test_one_invalid_line_rejects_file_and_is_named_in_error(self):
        """Guards against a file that is accepted with an invalid line, and against an error message
        that does not say which line is invalid."""
        lines, _ = self.batch_lines(500)
        broken = lines.split(b"\n")
        broken[250] = b'{"custom_id": "x", "method": '
        status, body, _ = http_json(
            "POST", self.deployment.entry_url(1) + "/v1/files?purpose=batch", b"\n".join(broken),
            {**self.deployment.bearer("lantern-crew"), "Content-Type": "application/jsonl"})
        self.assertEqual(status, 400)
        self.assertIn("line 251", body["error"]["message"])

    def test_largest_file_is_validated_and_accepted(self):
        """Guards against a file of 290,000 lines that is held in memory, against a duplicate line
        that is not detected, and against counts that do not add up to the total after a
        cancellation."""
        items = 290000
        lines, _ = self.batch_lines(items)
        broken = lines.replace(b'"item-250000"', b'"item-249999"', 1)
        status, body, _ = http_json(
            "POST", self.deployment.entry_url(1) + "/v1/files?purpose=batch", broken,
            {**self.deployment.bearer("lantern-crew"), "Content-Type": "application/jsonl"}, 120)
        self.assertEqual((status, body["error"]["code"]), (400, "duplicate_item"))
        self.assertIn("line 250001", body["error"]["message"])
        file_id = self.deployment.upload(1, "lantern-crew", lines)
        job = self.deployment.create_batch(2, "lantern-crew", file_id)
        http_json("POST", f"{self.deployment.entry_url(3)}/v1/batches/{job['id']}/cancel", {},
                  self.deployment.bearer("lantern-crew"))
        counts = self.deployment.wait_batch(1, "lantern-crew", job["id"])["request_counts"]
        self.assertEqual(counts["total"], items)
        self.assertEqual(counts["completed"] + counts["failed"] + counts["cancelled"], items)

    def test_batch_of_another_workspace_is_not_visible(self):
        """R4: guards against a job that can be read with the key of another workspace."""
        lines, _ = self.batch_lines(2)
        file_id = self.deployment.upload(1, "lantern-crew", lines)
        job = self.deployment.create_batch(1, "lantern-crew", file_id)
        status, body, _ = http_json(
            "GET", f"{self.deployment.entry_url(1)}/v1/batches/{job['id']}", None,
            self.deployment.bearer("booths-waco"))
        self.assertEqual(status, 404, body)


if __name__ == "__main__":
    unittest.main()
