"""Tests that a stream goes on only at the software version that began it."""

import http.client
import time
import unittest

from platformdeployment import (CALLER_PORT, KEY, InstanceList, PlatformDeployment, Upstream, call,
                                wait_until)

OLD, NEW = "127.0.8.1", "127.0.8.2"


class StreamVersionTest(PlatformDeployment):
    """Two upstreams of different versions, which break off streams after three events. Streams differ
    in their bodies, so that none counts as a request that crashes upstreams again and again."""

    count = 0

    @classmethod
    def setUpClass(cls):
        InstanceList.versions = {OLD: "v1", NEW: "v2"}
        super().setUpClass()

    def attempt(self, entry, resumes=None, path="/ask/cut/1"):
        """Returns the id of the attempt and the status, which is None for a broken stream."""
        type(self).count += 1
        request = f"s-{self.count}"
        headers = {"Request-Id": request, "Deadline-Ms": "3000", "Authorization": f"Bearer {KEY}"}
        if resumes:
            headers.update({"Resumes": resumes, "Last-Event-Id": "3"})
        try:
            return request, call(self.address("entry", entry), CALLER_PORT, "POST", path,
                                 (resumes or request).encode(), headers)[0]
        except (OSError, http.client.HTTPException):
            return request, None

    def upstreams_of(self, *requests):
        """Returns the addresses of the upstreams that received the attempts."""
        with Upstream.lock:
            return {address for (address, _), (_, headers, _) in zip(Upstream.arrivals,
                                                                     Upstream.received)
                    if headers["Request-Id"] in requests}

    def begin_streams(self, count=2):
        """Returns the attempts that began streams, with the upstreams that wrote them. A whole stream
        before each one keeps the upstreams from being ejected for their failures."""
        begun = []
        for number in range(count):
            self.assertTrue(wait_until(lambda: self.attempt(1, path="/ask/whole")[1] == 200))
            request, status = self.attempt(1 + number % 2)
            self.assertIsNone(status, "the stream is broken off")
            begun.append((request, self.upstreams_of(request)))
        return begun

    def resume(self, streams, entry=2):
        """Resumes the streams. Returns the statuses."""
        statuses = []
        for request, upstreams in streams:
            resumed, status = self.attempt(entry, request)
            statuses.append(status)
            self.assertLessEqual(self.upstreams_of(resumed), upstreams)
        return statuses

    def test_further_attempt_inside_one_answer_stays_at_the_version(self):
        """Guards against an answer whose text is joined from two versions (ORDER)."""
        for request, upstreams in self.begin_streams():
            self.assertEqual(len(upstreams), 1, request)

    def test_resumption_at_another_entry_stays_at_the_version(self):
        """Guards against a text that is joined over a caller's attempts (ORDER), and against a
        resumption that is refused although its version serves (LOST)."""
        streams = self.begin_streams()
        self.assertEqual(self.resume(streams), [200] * len(streams))

    def test_resumption_after_all_entries_were_killed_stays_at_the_version(self):
        """Guards against a version that is forgotten with the entries that served the stream."""
        streams = self.begin_streams()
        self.restart_all("entry", (1, 2))
        self.assertTrue(wait_until(lambda: all(self.is_ready(n) for n in (1, 2))))
        self.assertEqual(self.resume(streams), [200] * len(streams))

    def test_unknown_version_is_refused_while_two_serve(self):
        """Guards against a process without memory that takes any version for the right one."""
        streams = self.begin_streams()
        self.restart_all("store", (1, 2, 3))
        self.restart_all("entry", (1, 2))
        self.assertTrue(wait_until(lambda: all(self.is_ready(n) for n in (1, 2))))
        statuses = self.resume(streams)
        self.assertLessEqual(set(statuses), {503}, statuses)
        self.assertTrue(wait_until(lambda: self.attempt(1, path="/ask/whole")[1] == 200))

    def test_stream_of_a_version_that_left_is_refused_at_once(self):
        """Guards against a resumption that waits for a version without upstreams."""
        streams = [stream for stream in self.begin_streams() if stream[1] == {OLD}]
        self.assertTrue(streams)
        InstanceList.draining = {OLD}
        self.addCleanup(InstanceList.draining.clear)
        time.sleep(3)
        start = time.monotonic()
        self.assertEqual(set(self.resume(streams)), {503})
        self.assertLess(time.monotonic() - start, len(streams))


if __name__ == "__main__":
    unittest.main()
