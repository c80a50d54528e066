"""Tests that a request which crashes upstreams is kept away from them when it is sent again."""

import base64
import http.client
import json
import threading
import time
import unittest

from platformdeployment import (CALLER_PORT, CRASHING_BODY, KEY, PlatformDeployment, Upstream, call,
                                wait_until)

# Time after the third crash within which each entry must know the request.
CONTACT_SECONDS = 3
MAX_FURTHER_REQUESTS = 3


class CrashingRequestTest(PlatformDeployment):
    """The requests have no prompt parts, as those to a service that is no model."""

    count = 0

    def lookup(self, body, entry=1, path="/lookup/1"):
        """Returns the status; None when the connection was closed without a response."""
        type(self).count += 1
        try:
            return self.send_request(f"r-{self.count}", entry, path=path, body=body)[0]
        except (OSError, http.client.HTTPException):
            return None

    def arrivals(self, body):
        with Upstream.lock:
            return sum(1 for received in Upstream.received if received[2] == body)

    def lookup_often(self, body, count=24, pause=0.25):
        return [(time.sleep(pause), self.lookup(body, 1 + n % 2))[1] for n in range(count)]

    def test_repeated_request_stops_reaching_upstreams(self):
        """Guards against a request that crashes one upstream after the other as its caller sends it
        again (BUDGET), also after all processes that remember it were killed, and against sound
        requests of the same caller and path that are rejected with it."""
        body = CRASHING_BODY + b" repeated"
        wait_until(lambda: self.lookup(body, 1 + self.count % 2) == 503
                   or self.arrivals(body) >= 3, 10)
        time.sleep(CONTACT_SECONDS)
        third = self.arrivals(body)
        statuses = self.lookup_often(body)
        self.assertLessEqual(self.arrivals(body) - third, MAX_FURTHER_REQUESTS)
        self.assertGreaterEqual(statuses.count(503), 20, statuses)
        self.assertEqual([self.lookup(b"sound", 1 + n % 2) for n in range(4)], [200] * 4)

        self.restart_all("control", (1, 2, 3))
        self.restart_all("entry", (1, 2))
        self.assertTrue(wait_until(lambda: all(self.is_ready(n) for n in (1, 2))))
        self.lookup_often(body)
        self.assertLessEqual(self.arrivals(body) - third, MAX_FURTHER_REQUESTS)

    def test_sound_request_at_crashing_upstreams_is_served_again(self):
        """Guards against a sound request that stays rejected because upstreams crashed for other
        reasons each time it ran."""
        body = b"sound but unlucky"
        for number in range(4):
            caller = threading.Thread(target=self.lookup,
                                      args=(body, 1 + number % 2, "/lookup/late"))
            caller.start()
            wait_until(lambda before=self.arrivals(body): self.arrivals(body) > before, 1)
            self.lookup(CRASHING_BODY + b" beside %d" % number, 1 + number % 2)
            caller.join()
        self.assertTrue(wait_until(
            lambda: [self.lookup(body, entry, "/lookup/late") for entry in (1, 2)] == [200, 200]))

    def test_item_that_crashes_upstreams_is_held(self):
        """Guards against an item that crashes one upstream after the other until its time limit,
        against one whose body is changed, and against a sound item of the job that is held."""
        body = CRASHING_BODY + bytes(range(256))
        items = [{"id": name, "path": f"/list/{name}", "headers": {}, "tokens": 10,
                  "body": base64.b64encode(content).decode()}
                 for name, content in (("bad", body), ("good", b"sound item"))]
        headers = {"Request-Id": "job-1", "Authorization": f"Bearer {KEY}"}
        status, _, _ = call(self.address("entry", 1), CALLER_PORT, "POST", "/list/jobs",
                            json.dumps({"requests": items}), headers)
        self.assertEqual(status, 202)
        self.assertTrue(wait_until(lambda: self.arrivals(body) >= 3))
        time.sleep(CONTACT_SECONDS)
        third = self.arrivals(body)
        time.sleep(10)
        self.assertLessEqual(self.arrivals(body) - third, MAX_FURTHER_REQUESTS)
        with Upstream.lock:
            received = {path: content for path, _, content in Upstream.received
                        if path.startswith("/list/")}
        self.assertEqual(received, {"/list/bad": body, "/list/good": b"sound item"})
        results = json.loads(self.read("/lots/job-1?after=0"))["results"]
        self.assertEqual([(result["id"], result["state"]) for result in results],
                         [("good", "completed")])
        self.assertEqual(self.read("/items/job-1?id=bad"), body)

    def read(self, path):
        status, body, _ = call(self.address("entry", 1), CALLER_PORT, "GET", path,
                               headers={"Authorization": f"Bearer {KEY}"})
        self.assertEqual(status, 200)
        return body


if __name__ == "__main__":
    unittest.main()
