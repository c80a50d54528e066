"""Tests in which processes of a deployment are killed, frozen or stopped under load."""

import threading
import time
import unittest

from support import Stream, SystemTest, http_json, wait_for


class FailureTest(SystemTest):

    entries = 3
    engines = 4

    def leader(self):
        status = self.deployment.ctl_json("status")
        leaders = {group["group"]: group["leader"] for group in status["groups"]}
        return leaders["directory"]

    def restart(self, name):
        process = self.deployment.processes[name]
        process.start()
        return process

    def test_batch_completes_once_through_kills(self):
        """R1, F1, F2: guards against items that are lost or completed twice. An entry, the control
        instance that leads the directory group and an engine are killed while items are in
        flight."""
        lines, prompts = self.batch_lines(300, tokens=12, prefix="kill")
        file_id = self.deployment.upload(1, "lantern-crew", lines)
        job = self.deployment.create_batch(1, "lantern-crew", file_id, key="kill-batch")
        time.sleep(0.5)
        self.deployment.processes["entry-2"].kill()
        leader = self.leader()
        self.deployment.processes[leader].kill()
        self.deployment.processes["engine-1"].kill()
        resent = self.deployment.create_batch(3, "lantern-crew", file_id, key="kill-batch")
        self.assertEqual(resent["id"], job["id"])
        time.sleep(1)
        for name in ("entry-2", leader, "engine-1"):
            self.restart(name)
        job = self.deployment.wait_batch(3, "lantern-crew", job["id"])
        counts = job["request_counts"]
        self.assertEqual(counts["completed"], 300, counts)
        results = self.deployment.results(1, "lantern-crew", job["output_file_id"])
        self.check_results(results, prompts, tokens=12)
        self.deployment.wait_ready()

    def test_frozen_entry_returns_without_a_second_completion(self):
        """R1: guards against a late result that replaces or repeats one already stored. A frozen
        entry loses its lease to another entry and resumes after that entry has completed the
        items."""
        lines, prompts = self.batch_lines(200, tokens=12, prefix="freeze")
        file_id = self.deployment.upload(1, "lantern-crew", lines)
        job = self.deployment.create_batch(1, "lantern-crew", file_id)
        time.sleep(0.3)
        frozen = self.deployment.processes["entry-3"]
        frozen.freeze()
        try:
            job = self.deployment.wait_batch(1, "lantern-crew", job["id"])
        finally:
            frozen.thaw()
        self.assertEqual(job["request_counts"]["completed"], 200)
        before = self.deployment.results(1, "lantern-crew", job["output_file_id"])
        self.check_results(before, prompts, tokens=12)
        time.sleep(2)
        after = self.deployment.results(2, "lantern-crew", job["output_file_id"])
        self.assertEqual(before, after)

    def test_graceful_stop_completes_open_streams(self):
        """R12: guards against streams that are cut off when an entry closes its listener or exits
        before its responses are complete."""
        key = self.deployment.keys["nightmarket-austin"]
        streams = [Stream(self.deployment.entry_url(2), key, self.model, f"drain {n}", 60)
                   for n in range(12)]
        for stream in streams:
            stream.start()
        for stream in streams:
            self.assertTrue(stream.first_token.wait(10), stream.error)
        exit_code = self.deployment.processes["entry-2"].stop()
        self.assertEqual(exit_code, 0)
        for stream in streams:
            stream.join(20)
            self.assertTrue(stream.complete, stream.error)
            self.assertEqual(stream.text, self.expected_text(stream.prompt, 60))
        self.restart("entry-2")
        self.deployment.wait_ready()

    def test_broken_stream_continues_on_another_engine(self):
        """R8, F1: guards against repeated or missing tokens when a stream continues on another
        engine after its own engine was killed."""
        key = self.deployment.keys["nightmarket-austin"]
        streams = [Stream(self.deployment.entry_url(1), key, self.model, f"resume {n}", 150)
                   for n in range(8)]
        for stream in streams:
            stream.start()
        for stream in streams:
            self.assertTrue(stream.first_token.wait(10), stream.error)
        self.deployment.processes["engine-2"].kill()
        for stream in streams:
            stream.join(30)
        self.restart("engine-2")
        for stream in streams:
            self.assertTrue(stream.complete, stream.error)
            self.assertEqual(stream.text, self.expected_text(stream.prompt, 150))

    def test_cancelled_job_stops(self):
        """R2: guards against items that start after the cancellation was acknowledged, and against
        counts that differ from the stored results."""
        lines, _ = self.batch_lines(400, tokens=40, prefix="cancel")
        file_id = self.deployment.upload(1, "lantern-crew", lines)
        job = self.deployment.create_batch(1, "lantern-crew", file_id)
        time.sleep(0.5)
        status, body, _ = http_json(
            "POST", f"{self.deployment.entry_url(2)}/v1/batches/{job['id']}/cancel", {},
            self.deployment.bearer("lantern-crew"))
        self.assertEqual(status, 200, body)
        job = self.deployment.wait_batch(3, "lantern-crew", job["id"], timeout=30)
        counts = job["request_counts"]
        self.assertEqual(job["status"], "cancelled")
        self.assertEqual(counts["total"], 400)
        self.assertLess(counts["completed"], 400)
        results = self.deployment.results(1, "lantern-crew", job["output_file_id"])
        finished = [line for line in results if line["response"]]
        self.assertEqual(len(finished), counts["completed"])


class LimitTest(SystemTest):

    def test_rate_holds_over_all_entries(self):
        """R7: guards against entries that each grant the full rate of a workspace when its requests
        are spread over all of them."""
        rate, burst, seconds = 3, 6, 4
        codes = []
        lock = threading.Lock()
        started_at = time.monotonic()

        def send(entry):
            while time.monotonic() - started_at < seconds:
                status, _, _ = self.complete(entry, "booths-tyler", "rate", 1)
                with lock:
                    codes.append(status)

        threads = [threading.Thread(target=send, args=(1 + n % self.entries,)) for n in range(9)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        elapsed = time.monotonic() - started_at
        admitted = codes.count(200)
        self.assertLessEqual(admitted, rate * elapsed + burst)
        self.assertGreaterEqual(admitted, rate * seconds * 0.9)
        self.assertIn(429, codes)

    def test_service_call_runs_at_most_once_across_entries(self):
        """R10: guards against a service call that runs more than once when requests with the same
        idempotency key arrive at several entries at the same time."""
        responses = []
        threads = []

        def send(entry):
            responses.append(http_json(
                "POST", self.deployment.entry_url(entry) + "/desk/orders", {"item": "once"},
                {**self.deployment.bearer("front-office"), "Idempotency-Key": "once-1"}))

        for entry in (1, 2, 3):
            threads.append(threading.Thread(target=send, args=(entry,)))
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        send(2)
        runs = [r for r in self.upstream_records("service")
                if r["path"] == "/desk/orders" and r["run"]]
        self.assertEqual(len(runs), 1)
        self.assertIn(200, [status for status, _, _ in responses])
        for status, body, _ in responses:
            if status != 200:
                self.assertEqual(body["error"]["code"], "duplicate_request")

    def test_poison_request_crashes_at_most_two_engines(self):
        """F8: guards against the loss of many engines to one request that crashes each engine it
        runs on and that the caller sends repeatedly through different entries."""
        for i in range(1, self.engines + 1):
            http_json("POST", self.deployment.engine_url(i) + "/faults",
                      {"crash_on": "poisonous prompt"})
        last = None
        for attempt in range(6):
            last = self.complete(1 + attempt % self.entries, "front-office", "poisonous prompt", 4)
            if last[0] == 422:
                break
        crashed = [name for name, process in self.deployment.processes.items()
                   if name.startswith("engine") and not process.alive()]
        self.assertLessEqual(len(crashed), 2)
        self.assertGreaterEqual(len(crashed), 1)
        for entry in range(1, self.entries + 1):
            wait_for(lambda entry=entry: self.complete(
                entry, "front-office", "poisonous prompt", 4)[1]["error"]["code"] == "request_held",
                f"the code request_held at entry {entry}", timeout=4)
        crashed_afterwards = [name for name, process in self.deployment.processes.items()
                              if name.startswith("engine") and not process.alive()]
        self.assertEqual(crashed_afterwards, crashed)
        for name in crashed:
            self.deployment.processes[name].start()


if __name__ == "__main__":
    unittest.main()
