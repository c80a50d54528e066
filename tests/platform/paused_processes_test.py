"""Tests that processes of the deployment which stand still for a moment end no accepted request."""

import base64
import http.client
import json
import signal
import threading
import time
import unittest

from platformdeployment import (CALLER_PORT, HOST, KEY, InstanceList, PlatformDeployment, call,
                                configuration, wait_until)

PAUSE_SECONDS = 1.2
STREAMS_PER_ENTRY = 6
ITEMS = 4
# A stream and an item last 2.4 s.
EVENT_MS = 120
TIMEOUT_MS = 12000
COMPLETION_SECONDS = 18
WHOLE_STREAM = b"".join(b"id: %d\ndata: d%d\n\n" % (n, n) for n in range(1, 21))


class PausedProcessesTest(PlatformDeployment):
    """Streams at both entries and the items of a job run while processes stand still. Their
    operating system accepts connections and bytes meanwhile."""

    @classmethod
    def setUpClass(cls):
        # Enough for all requests, so that none waits for a slot.
        InstanceList.slots = 16
        super().setUpClass()
        document = configuration(2, rate=1000)
        online, _, batch = document["routes"]
        document["routes"] += [
            {**online, "name": "slow", "path-prefix": "/slow/"},
            {**batch, "name": "once", "path-prefix": "/once/"}]
        for route in document["routes"]:
            route["timeout-ms"] = TIMEOUT_MS
        cls.ready = cls.ready and wait_until(lambda: cls.put_configuration(document) == 200)

    def setUp(self):
        super().setUp()
        self.name = self.id().rsplit(".", 1)[-1].replace("_", "-")
        self.outcomes = {}
        self.began = threading.Semaphore(0)

    def read_stream(self, entry, number):
        connection = http.client.HTTPConnection(self.address("entry", entry), CALLER_PORT,
                                                timeout=TIMEOUT_MS / 1000 + 2)
        body = b""
        status = 0
        try:
            connection.request("POST", f"/slow/{EVENT_MS}", b"question",
                               {"Host": HOST, "Request-Id": f"{self.name}-{entry}-{number}",
                                "Deadline-Ms": str(TIMEOUT_MS), "Authorization": f"Bearer {KEY}"})
            response = connection.getresponse()
            status = response.status
            while part := response.read1():
                if not body:
                    self.began.release()
                body += part
            self.outcomes[entry, number] = (status, body)
        except (OSError, http.client.HTTPException) as error:
            self.outcomes[entry, number] = (repr(error), body)
        finally:
            connection.close()

    def submit(self):
        items = [{"id": f"{self.name}-{n}", "path": f"/once/{EVENT_MS}", "headers": {},
                  "tokens": 10, "body": base64.b64encode(b"%d" % n).decode()}
                 for n in range(ITEMS)]
        return call(self.address("entry", 1), CALLER_PORT, "POST", f"/once/{self.name}",
                    json.dumps({"requests": items}),
                    {"Request-Id": self.name, "Authorization": f"Bearer {KEY}"})[0] == 202

    def completed_items(self):
        status, body, _ = call(self.address("entry", 2), CALLER_PORT, "GET",
                               f"/lots/{self.name}?after=0",
                               headers={"Authorization": f"Bearer {KEY}"})
        results = json.loads(body)["results"] if status == 200 else []
        return sum(1 for result in results if result["state"] == "completed")

    def check(self, *roles):
        """All processes of the roles stand still while streams and items run. Each stream has all
        its events once and in order, and each item is completed."""
        self.assertTrue(wait_until(self.submit))
        callers = [threading.Thread(target=self.read_stream, args=(entry, number))
                   for entry in (1, 2) for number in range(STREAMS_PER_ENTRY)]
        for caller in callers:
            caller.start()
        paused = [process for name, process in self.processes.items()
                  if name.split("-")[0] in roles]
        try:
            self.assertTrue(all(self.began.acquire(timeout=5) for _ in callers))
            for process in paused:
                process.send_signal(signal.SIGSTOP)
            time.sleep(PAUSE_SECONDS)
        finally:
            for process in paused:
                process.send_signal(signal.SIGCONT)
            for caller in callers:
                caller.join()
        failures = [outcome for outcome in self.outcomes.values() if outcome != (200, WHOLE_STREAM)]
        self.assertEqual(failures, [])
        self.assertEqual(len(self.outcomes), len(callers))
        self.assertTrue(wait_until(lambda: self.completed_items() == ITEMS, COMPLETION_SECONDS))

    def test_entries_stand_still(self):
        """Guards against streams that an entry ends because its timers expire before it reads what
        arrived while it stood still."""
        self.check("entry")

    def test_stores_stand_still(self):
        """Guards against streams and items that end with the slot broker or its connections."""
        self.check("store")

    def test_control_processes_stand_still(self):
        """Guards against streams that end because the state of the fleet is old."""
        self.check("control")

    def test_all_processes_stand_still(self):
        """Guards against requests that end because all connections between processes are silent at
        once."""
        self.check("entry", "store", "control")


if __name__ == "__main__":
    unittest.main()
