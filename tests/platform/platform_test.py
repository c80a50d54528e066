"""Tests the platform's programs as real processes on loopback, in the published message format."""

import base64
import json
import signal
import socket
import threading
import time
import unittest
from pathlib import Path

from platformdeployment import (CALLER_PORT, KEY, PlatformDeployment, Upstream, call,
                                configuration, wait_until)


class PlatformTest(PlatformDeployment):
    def test_stream_is_complete_and_the_key_is_not_forwarded(self):
        """Guards against a changed request or answer and against a key that is forwarded."""
        status, body, headers = self.send_request("r-1")
        self.assertEqual(status, 200)
        self.assertEqual(body.decode(),
                         "".join(f"id: {n}\ndata: d{n}\n\n" for n in range(1, 21)))
        self.assertEqual(headers["Response-Signature"], "signed")
        path, headers_received, body_received = next(
            r for r in Upstream.received if r[1]["Request-Id"] == "r-1")
        self.assertEqual((path, body_received), ("/ask/1", b"question"))
        self.assertNotIn("Authorization", headers_received)
        self.assertEqual(headers_received["Tenant-Id"], "vendors")
        self.assertLessEqual(int(headers_received["Deadline-Ms"]), 5000)

    def test_wrong_keys_and_routes_are_refused(self):
        """Guards against requests that run although their key or route is unknown."""
        self.assertEqual(self.send_request("r-2", key="nobody's")[0], 401)
        self.assertEqual(self.send_request("r-3", path="/nowhere/1")[0], 404)
        self.assertFalse([r for r in Upstream.received if r[1]["Request-Id"] in ("r-2", "r-3")])

    def test_configuration_is_replaced_only_by_a_newer_valid_one(self):
        """Guards against a configuration that is replaced by an older or an invalid one."""
        base = self.configuration_version()
        self.assertEqual(
            self.put_configuration(configuration(base + 5, (KEY, "second-key")), 2), 200)
        self.assertTrue(wait_until(lambda: self.send_request("r-4", 2, "second-key")[0] == 200, 4))
        self.assertEqual(self.put_configuration(configuration(base + 2, ("third-key",)), 3), 200)
        invalid = configuration(base + 9)
        invalid["routes"][0]["service"] = "nobody"
        self.assertEqual(self.put_configuration(invalid), 400)
        self.assertEqual(self.put_configuration(json.dumps(configuration(base + 9))[:-9]), 400)
        for control in (1, 2, 3):
            self.assertEqual(self.configuration_version(control), base + 5)
        self.assertEqual(self.send_request("r-5", key="third-key")[0], 401)

    def submit(self, job, entry=1, items=3, tokens=100):
        requests = [{"id": f"{job}-{n}", "path": "/list/x", "headers": {}, "tokens": tokens,
                     "body": base64.b64encode(f"body {n}".encode()).decode()}
                    for n in range(items)]
        return call(self.address("entry", entry), CALLER_PORT, "POST", "/list/" + job,
                    json.dumps({"requests": requests}),
                    {"Request-Id": job, "Authorization": f"Bearer {KEY}"})[0]

    def read_results(self, job, entry=1, after=0):
        status, body, _ = call(self.address("entry", entry), CALLER_PORT, "GET",
                               f"/lots/{job}?after={after}", None,
                               {"Authorization": f"Bearer {KEY}", "Wait-Ms": "500"})
        return json.loads(body) if status == 200 else status

    def finished_results(self, job, entry=1):
        """Returns the results of the job; None until all of them are available."""
        answer = self.read_results(job, entry)
        if isinstance(answer, dict) and len(answer["results"]) == answer["total"]:
            return answer
        return None

    def test_batch_job_runs_once_and_stays_readable(self):
        """Guards against lost, repeated or changed results and jobs above the token limit."""
        self.assertEqual(self.submit("job-1"), 202)
        self.assertEqual(self.submit("job-1", 2), 202)
        self.assertEqual(self.submit("job-big", 1, 20, 100), 429)
        self.assertTrue(wait_until(lambda: self.finished_results("job-1"), 20))
        first = self.finished_results("job-1")
        self.assertEqual({r["state"] for r in first["results"]}, {"completed"})
        self.assertEqual(first["results"][0]["output"],
                         "\n".join(f"d{n}" for n in range(1, 21)))
        self.assertEqual(self.finished_results("job-1", 2), first)
        self.assertEqual(self.read_results("job-1", 2, 2)["results"], first["results"][2:])
        self.assertEqual(self.read_results("job-unknown"), 404)

    def test_job_survives_the_loss_of_the_store_leader(self):
        """Guards against an accepted job that is lost when the leader of the stores is killed."""
        self.assertEqual(self.submit("job-2", 1, 8, 50), 202)
        victim = next(n for n in (1, 2, 3) if '"leadership-gained"' in
                      (Path(self.directory.name) / f"store-{n}.log").read_text())
        self.processes[f"store-{victim}"].kill()
        self.processes[f"store-{victim}"].wait()
        try:
            self.assertTrue(wait_until(lambda: self.finished_results("job-2", 2), 30))
            results = self.finished_results("job-2", 2)["results"]
            self.assertEqual(len({r["id"] for r in results}), 8)
        finally:
            self.start("store", victim)

    def test_draining_entry_completes_its_streams(self):
        """Guards against an entry that cuts off a stream or stays ready while it drains."""
        answer = []
        reader = threading.Thread(target=lambda: answer.append(self.send_request("r-6", 2)))
        reader.start()
        time.sleep(0.2)
        process = self.processes["entry-2"]
        process.send_signal(signal.SIGTERM)
        try:
            self.assertTrue(wait_until(lambda: not self.is_ready(2), 2))
            reader.join(5)
            self.assertEqual(answer[0][0], 200)
            self.assertTrue(answer[0][1].endswith(b"id: 20\ndata: d20\n\n"))
            self.assertEqual(process.wait(8), 0)
        finally:
            if process.poll() is None:
                process.kill()
            self.start("entry", 2)
            wait_until(lambda: self.is_ready(2))

    def test_request_with_ambiguous_length_is_refused(self):
        """Guards against a request with two body lengths that blocks the entry or is forwarded."""
        with socket.create_connection((self.address("entry", 1), CALLER_PORT), 5) as raw:
            raw.sendall(b"POST /ask/1 HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n"
                        b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n")
            self.assertIn(b" 400 ", raw.recv(200))


if __name__ == "__main__":
    unittest.main()
