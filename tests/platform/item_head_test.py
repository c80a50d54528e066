"""Tests that an item of a batch job reaches upstreams as the request that it says, or not at all."""

import base64
import json
import time
import unittest

from platformdeployment import CALLER_PORT, KEY, PlatformDeployment, Upstream, call

SMUGGLED = "POST /ask/1 HTTP/1.1\r\nHost: booth.example\r\nRequest-Id: smuggled\r\n" \
           "Tenant-Id: stewards\r\nContent-Length: 0\r\n\r\n"
# Time in which an accepted item would reach an upstream.
RUN_SECONDS = 2


class ItemHeadTest(PlatformDeployment):
    def setUp(self):
        super().setUp()
        with Upstream.lock:
            Upstream.received.clear()

    def submit(self, job, **changes):
        """Submits a job of a sound item and one with the changes."""
        sound = {"id": f"{job}-sound", "path": "/list/sound", "headers": {}, "tokens": 10,
                 "body": base64.b64encode(b"sound").decode()}
        odd = {**sound, "id": f"{job}-odd", **changes}
        status, body, _ = call(self.address("entry", 1), CALLER_PORT, "POST", "/list/jobs",
                               json.dumps({"requests": [sound, odd]}),
                               {"Request-Id": job, "Authorization": f"Bearer {KEY}"})
        return status, body.decode()

    def test_item_with_a_request_inside_is_refused_with_its_job(self):
        """Guards against an upstream that runs a request which no client sent, with the name of
        another workspace (UNASKED), and against a part of the job that runs all the same."""
        end = "\r\nContent-Length: 0\r\n\r\n"
        for job, field, changes in (
                ("j-1", "X-Note", {"headers": {"X-Note": "plain" + end + SMUGGLED}}),
                ("j-2", "X-Note", {"headers": {"X-Note: 1" + end + SMUGGLED + "X": "1"}}),
                ("j-3", "path", {"path": "/list/1 HTTP/1.1" + end + SMUGGLED}),
                ("j-4", "id", {"id": "j-4-odd" + end + SMUGGLED}),
                ("j-5", "X-Note", {"headers": {"X-Note": "line feed\nX: 1"}}),
                ("j-6", "X-Note", {"headers": {"X-Note": "carriage return\rX: 1"}})):
            with self.subTest(job):
                status, body = self.submit(job, **changes)
                self.assertEqual(status, 400, body)
                self.assertIn(f"{job}-odd", body)
                self.assertIn(field, body)
                read, _, _ = call(self.address("entry", 1), CALLER_PORT, "GET",
                                  f"/lots/{job}?after=0",
                                  headers={"Authorization": f"Bearer {KEY}"})
                self.assertEqual(read, 404)
        time.sleep(RUN_SECONDS)
        with Upstream.lock:
            self.assertEqual(Upstream.received, [])

    def test_odd_but_valid_headers_reach_the_upstream(self):
        """Guards against items that are refused although HTTP allows them."""
        headers = {"X-Note": "tab\tand \u00e9", "x!#$%&'*+-.^_`|~1": ""}
        status, body = self.submit("j-7", path="/list/%0d%0a?a=b&c", headers=headers)
        self.assertEqual(status, 202, body)
        time.sleep(RUN_SECONDS)
        with Upstream.lock:
            received = [head for path, head, _ in Upstream.received
                        if path == "/list/%0d%0a?a=b&c"]
        self.assertEqual(len(received), 1)
        self.assertIn("x!#$%&'*+-.^_`|~1", received[0])


if __name__ == "__main__":
    unittest.main()
