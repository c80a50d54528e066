"""Fixture and helpers of the tests that start real processes."""

import http.client
import json
import os
import sys
import threading
import time
import unittest
from pathlib import Path
from urllib.parse import urlparse

sys.path.insert(0, str(Path(__file__).resolve().parent.parent.parent / "tools"))

from deployment import Deployment, DeploymentError, http_json, wait_for  # noqa: E402,F401

BUILD = os.environ.get("RATTANRILL_BUILD")


class SystemTest(unittest.TestCase):
    """Starts one small deployment that all test cases of a class share."""

    entries = 3
    engines = 3
    services = 1
    controls = 3

    @classmethod
    def setUpClass(cls):
        cls.deployment = Deployment("garza", build=BUILD, entries=cls.entries, engines=cls.engines,
                                    services=cls.services, controls=cls.controls)
        try:
            cls.deployment.start()
        except BaseException:
            cls.deployment.stop_all()
            raise

    @classmethod
    def tearDownClass(cls):
        cls.deployment.stop_all()

    @property
    def model(self):
        return self.deployment.shape["model"]

    def expected_text(self, prompt, tokens):
        """The text that an engine returns for a direct request. It depends only on the prompt and
        the number of tokens."""
        for i in range(1, self.deployment.engine_count + 1):
            try:
                status, body, _ = http_json(
                    "POST", self.deployment.engine_url(i) + "/v1/completions",
                    {"model": self.model, "prompt": prompt, "max_tokens": tokens,
                     "request_id": f"expected-{time.monotonic_ns()}"}, timeout=30)
            except OSError:
                continue
            if status == 200:
                return body["choices"][0]["text"]
        raise DeploymentError("no engine completed the direct request")

    def complete(self, entry, workspace, prompt, tokens=8, headers=None, timeout=30):
        return self.deployment.complete(entry, workspace, prompt, tokens, headers, timeout)

    def upstream_records(self, kind="engine"):
        """The requests that all running upstreams of one kind recorded, without engine polls and
        cancellations."""
        records = []
        url = self.deployment.engine_url if kind == "engine" else self.deployment.service_url
        count = (self.deployment.engine_count if kind == "engine"
                 else self.deployment.service_count)
        for i in range(1, count + 1):
            try:
                records += http_json("GET", url(i) + "/records?after=0")[1]["records"]
            except OSError:
                continue
        return [record for record in records if not record["path"].startswith("/engine/")]

    def batch_lines(self, count, tokens=4, prefix="item"):
        """Returns the lines of a batch file and the prompt of each custom_id."""
        prompts = {f"{prefix}-{n}": f"{prefix} restock list for booth {n}" for n in range(count)}
        lines = "".join(
            json.dumps({"custom_id": custom_id, "method": "POST", "url": "/v1/completions",
                        "body": {"model": self.model, "prompt": prompt, "max_tokens": tokens}})
            + "\n" for custom_id, prompt in prompts.items())
        return lines.encode(), prompts

    def check_results(self, results, prompts, tokens=4):
        """Checks that each item has exactly one result, in input order, with the complete text of
        its own prompt."""
        self.assertEqual([line["custom_id"] for line in results], list(prompts))
        for line in results:
            body = line["response"]["body"]
            self.assertEqual(body["choices"][0]["text"],
                             self.expected_text(prompts[line["custom_id"]], tokens))


class Stream(threading.Thread):
    """Runs one streamed completion on a thread and records its text, its error and whether it is
    complete."""

    def __init__(self, url, key, model, prompt, tokens):
        super().__init__(daemon=True)
        self.url = urlparse(url)
        self.key = key
        self.body = json.dumps({"model": model, "prompt": prompt, "max_tokens": tokens,
                                "stream": True})
        self.prompt = prompt
        self.tokens = tokens
        self.status = None
        self.text = ""
        self.error = None
        self.complete = False
        self.first_token = threading.Event()
        self.ended_at = None

    def run(self):
        try:
            self.read()
        except (OSError, http.client.HTTPException) as error:
            self.error = {"code": type(error).__name__}
        self.ended_at = time.monotonic()

    def read(self):
        connection = http.client.HTTPConnection(self.url.hostname, self.url.port, timeout=60)
        try:
            self.exchange(connection)
        finally:
            connection.close()

    def exchange(self, connection):
        connection.request("POST", "/v1/completions", self.body,
                           {"Authorization": f"Bearer {self.key}",
                            "Content-Type": "application/json"})
        response = connection.getresponse()
        self.status = response.status
        if self.status != 200:
            self.error = json.loads(response.read())["error"]
            return
        for encoded_line in response:
            line = encoded_line.decode().strip()
            if line == "data: [DONE]":
                self.complete = True
                return
            if line.startswith("data: "):
                self.handle_event(json.loads(line[len("data: "):]))

    def handle_event(self, event):
        if "error" in event:
            self.error = event["error"]
            return
        self.text += event["choices"][0].get("text", "")
        self.first_token.set()
