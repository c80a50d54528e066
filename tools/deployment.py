"""Starts a deployment as plain processes on loopback addresses, for tools/demo and tests/system.

Every instance has an IP address of its own in 127.0.0.0/8, so that several deployments can run side
by side without port conflicts.
"""

import json
import os
import random
import secrets
import signal
import subprocess
import time
import urllib.error
import urllib.request
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent

START_TIMEOUT_S = 30
STOP_TIMEOUT_S = 30

DEPLOYMENTS = {
    "garza": {
        "region": "tx-central",
        "failure_domains": ["tx-central-a", "tx-central-b", "tx-central-c"],
        "model": "lamplight-lm",
        "engines": 9,
        "service": "order-desk",
        "services": 3,
        "entries": 6,
        "workspaces": [
            ("nightmarket-austin", 40, 80, 4), ("nightmarket-elpaso", 30, 60, 3),
            ("stewards-lubbock", 8, 16, 1), ("booths-laredo", 6, 12, 1),
            ("booths-waco", 4, 8, 1), ("booths-tyler", 3, 6, 1),
            ("lantern-crew", 10, 20, 4), ("front-office", 5, 10, 1),
        ],
        "online_samples": "samples/garza-online.jsonl",
        "batch_samples": "samples/garza-restock-batch.jsonl",
        "batch_workspace": "lantern-crew",
    },
    "kabayo": {
        "region": "luzon",
        "failure_domains": ["luzon-a", "luzon-b", "luzon-c", "luzon-d"],
        "model": "draft-models",
        "engines": 9,
        "service": "roadside-desk",
        "services": 4,
        "entries": 8,
        "workspaces": [
            ("drivers-north", 40, 80, 1), ("drivers-south", 30, 60, 1),
            ("breeders-batangas", 8, 16, 1), ("breeders-tarlac", 6, 12, 1),
            ("riding-club-manila", 5, 10, 1), ("riding-club-baguio", 3, 6, 1),
            ("service-bays", 10, 20, 4), ("front-office", 5, 10, 1),
        ],
        "online_samples": "samples/kabayo-online.jsonl",
        "batch_samples": "samples/kabayo-repair-batch.jsonl",
        "batch_workspace": "service-bays",
    },
}


class DeploymentError(Exception):
    """A process or request of the deployment failed or timed out."""


def http_json(method, url, body=None, headers=None, timeout=10):
    """Sends a request; returns (status, parsed body or text, headers)."""
    data = None
    headers = dict(headers or {})
    if body is not None:
        data = body if isinstance(body, bytes) else json.dumps(body).encode()
        headers.setdefault("Content-Type", "application/json")
    request = urllib.request.Request(url, data=data, method=method, headers=headers)
    try:
        with urllib.request.urlopen(request, timeout=timeout) as response:
            status, text, response_headers = response.status, response.read(), response.headers
    except urllib.error.HTTPError as error:
        status, text, response_headers = error.code, error.read(), error.headers
    try:
        return status, json.loads(text), response_headers
    except ValueError:
        return status, text.decode("utf-8", "replace"), response_headers


def wait_for(condition, description, timeout=START_TIMEOUT_S, period=0.05):
    """Polls until condition() is true; raises DeploymentError with the description on timeout."""
    end = time.monotonic() + timeout
    while time.monotonic() < end:
        try:
            value = condition()
        except OSError:
            value = None
        if value:
            return value
        time.sleep(period)
    raise DeploymentError(f"timed out after {timeout} s waiting for {description}")


class Process:
    """A process of the deployment, with its settings file and logs."""

    def __init__(self, name, binary, settings, folder, build):
        self.name = name
        self.settings_file = folder / f"{name}.json"
        self.settings_file.write_text(json.dumps(settings, indent=2))
        self.binary = build / "bin" / binary
        self.log_file = folder / f"{name}.log"
        self.output_file = folder / f"{name}.out"
        self.process = None

    def start(self):
        with open(self.output_file, "ab") as output:
            self.process = subprocess.Popen(
                [str(self.binary), "--settings", str(self.settings_file)],
                stdout=output, stderr=output, stdin=subprocess.DEVNULL)

    def alive(self):
        return self.process is not None and self.process.poll() is None

    def kill(self):
        self.process.send_signal(signal.SIGKILL)
        self.process.wait()

    def freeze(self):
        self.process.send_signal(signal.SIGSTOP)

    def thaw(self):
        self.process.send_signal(signal.SIGCONT)

    def stop(self, timeout=STOP_TIMEOUT_S):
        """Stops the process gracefully; returns its exit code, or None if it had to be killed."""
        if self.alive():
            self.process.send_signal(signal.SIGCONT)
            self.process.terminate()
        try:
            return self.process.wait(timeout)
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait()
            return None


class Deployment:
    """All processes of one deployment; a context manager that stops them on exit."""

    def __init__(self, kind="garza", build=None, entries=None, engines=None, services=None,
                 controls=3, seed=None, folder=None):
        self.shape = DEPLOYMENTS[kind]
        self.kind = kind
        self.build = Path(build or ROOT / "build").resolve()
        self.entry_count = entries or self.shape["entries"]
        self.engine_count = engines or self.shape["engines"]
        self.service_count = services or self.shape["services"]
        self.control_count = controls
        self.subnet = random.Random(seed).randint(2, 250) if seed else secrets.randbelow(249) + 2
        name = f"{kind}-{os.getpid()}-{secrets.token_hex(3)}"
        self.folder = Path(folder or self.build / "demo" / name)
        self.folder.mkdir(parents=True)
        self.cluster_secret = secrets.token_hex(16)
        self.operator_token = secrets.token_hex(16)
        (self.folder / "operator-token").write_text(self.operator_token)
        self.processes = {}
        self.keys = {}

    def __enter__(self):
        return self

    def __exit__(self, *unused):
        self.stop_all()

    # Addresses

    def address(self, group, number):
        return f"127.{self.subnet}.{group}.{number}"

    def control_host(self, i):
        return self.address(20, i)

    def entry_host(self, i):
        return self.address(10, i)

    def entry_url(self, i):
        return f"http://{self.entry_host(i)}:8080"

    def entry_urls(self):
        return [self.entry_url(i) for i in range(1, self.entry_count + 1)]

    def engine_url(self, i):
        return f"http://{self.address(30, i)}:9000"

    def service_url(self, i):
        return f"http://{self.address(40, i)}:9100"

    def operator_servers(self):
        return [f"{self.control_host(i)}:7100" for i in range(1, self.control_count + 1)]

    def failure_domain(self, i):
        domains = self.shape["failure_domains"]
        return domains[(i - 1) % len(domains)]

    # Settings

    def common_settings(self, name, i):
        return {"instance": name, "failureDomain": self.failure_domain(i),
                "log": {"level": "info", "file": str(self.folder / f"{name}.log")}}

    def control_settings(self, i):
        replicas = [{"id": f"control-{n}", "peerAddress": f"{self.control_host(n)}:7000",
                     "operatorAddress": f"{self.control_host(n)}:7100",
                     "failureDomain": self.failure_domain(n)}
                    for n in range(1, self.control_count + 1)]
        return {**self.common_settings(f"control-{i}", i),
                "dataFolder": str(self.folder / f"control-{i}-data"),
                "peer": {"host": self.control_host(i), "port": 7000},
                "operator": {"host": self.control_host(i), "port": 7100,
                             "token": self.operator_token},
                "clusterSecret": self.cluster_secret, "replicas": replicas, "partitions": 2}

    def entry_settings(self, i):
        return {**self.common_settings(f"entry-{i}", i),
                "http": {"host": self.entry_host(i), "port": 8080},
                "peer": {"host": self.entry_host(i), "port": 7000},
                "clusterSecret": self.cluster_secret,
                "control": [f"{self.control_host(n)}:7000"
                            for n in range(1, self.control_count + 1)],
                "partitions": 2}

    def engine_settings(self, i):
        return {**self.common_settings(f"engine-{i}", i),
                "http": {"host": self.address(30, i), "port": 9000},
                "models": [self.shape["model"]]}

    def service_settings(self, i):
        return {**self.common_settings(f"service-{i}", i),
                "http": {"host": self.address(40, i), "port": 9100},
                "service": self.shape["service"]}

    # Processes

    def start_process(self, name, binary, settings):
        process = Process(name, binary, settings, self.folder, self.build)
        self.processes[name] = process
        process.start()
        return process

    def start_controls(self):
        for i in range(1, self.control_count + 1):
            self.start_process(f"control-{i}", "rattanrill-control", self.control_settings(i))
        wait_for(self.has_leader, "a leader of the directory group")

    def start_upstreams(self):
        for i in range(1, self.engine_count + 1):
            self.start_process(f"engine-{i}", "rattanrill-fake-engine", self.engine_settings(i))
        for i in range(1, self.service_count + 1):
            self.start_process(f"service-{i}", "rattanrill-fake-service", self.service_settings(i))

    def start_entries(self):
        for i in range(1, self.entry_count + 1):
            self.start_process(f"entry-{i}", "rattanrill-entry", self.entry_settings(i))

    def wait_ready(self):
        for url in self.entry_urls():
            wait_for(lambda url=url: http_json("GET", url + "/readyz")[0] == 200,
                     f"status 200 of {url}/readyz")

    def wait_rate_owners(self):
        """Waits until requests of every workspace are admitted. The new owner of a workspace's rate
        starts after a delay and with an empty token bucket, so that it does not grant again what a
        previous owner granted; until then, requests are refused with status 429."""
        for workspace, *_ in self.shape["workspaces"]:
            wait_for(lambda workspace=workspace: self.complete(1, workspace, "ready", 1)[0] == 200,
                     f"rate grants for {workspace}", period=0.5)

    def complete(self, entry, workspace, prompt, tokens=8, headers=None, timeout=30):
        """Sends one completion request without streaming; returns (status, body, headers)."""
        return http_json("POST", self.entry_url(entry) + "/v1/completions",
                         {"model": self.shape["model"], "prompt": prompt, "max_tokens": tokens},
                         {**self.bearer(workspace), **(headers or {})}, timeout)

    def has_leader(self):
        try:
            return "revision" in self.ctl_json("status")
        except DeploymentError:
            return False

    def ctl(self, *arguments, check=True):
        """Runs rattanrillctl; returns its exit code and output."""
        command = [str(self.build / "bin" / "rattanrillctl"),
                   "--token-file", str(self.folder / "operator-token"), "--json"]
        for server in self.operator_servers():
            command += ["--server", server]
        finished = subprocess.run(command + list(arguments), capture_output=True, text=True,
                                  timeout=60, check=False)
        if check and finished.returncode != 0:
            raise DeploymentError(f"rattanrillctl {' '.join(arguments)}: exit code "
                                  f"{finished.returncode}: {finished.stdout}{finished.stderr}")
        return finished

    def ctl_json(self, *arguments):
        text = self.ctl(*arguments).stdout
        try:
            return json.loads(text)
        except ValueError as error:
            raise DeploymentError(
                f"output of rattanrillctl {arguments} is not JSON: {text!r}") from error

    def configure(self):
        """Writes upstreams, routes, contracts and keys and waits until they are in force; returns
        the last revision."""
        for i in range(1, self.engine_count + 1):
            self.ctl("upstream", "put", f"engine-{i}", "--kind", "engine",
                     "--serves", self.shape["model"], "--host", self.address(30, i),
                     "--port", "9000", "--failure-domain", self.failure_domain(i))
        for i in range(1, self.service_count + 1):
            self.ctl("upstream", "put", f"service-{i}", "--kind", "service",
                     "--serves", self.shape["service"], "--host", self.address(40, i),
                     "--port", "9100", "--failure-domain", self.failure_domain(i))
        self.ctl("route", "put", "desk", "--path-prefix", "/desk/",
                 "--service", self.shape["service"])
        self.ctl("route", "put", "desk-status", "--path-prefix", "/desk/status",
                 "--service", self.shape["service"], "--open", "--idempotent")
        revision = 0
        for workspace, rate, burst, share in self.shape["workspaces"]:
            self.ctl("contract", "put", workspace, "--rate", str(rate), "--burst", str(burst),
                     "--batch-share", str(share))
            added = self.ctl_json("key", "add", workspace)
            self.keys[workspace] = added["key"]
            revision = added["revision"]
        self.ctl("config", "wait", "--revision", str(revision), "--timeout", "20")
        return revision

    def start(self, progress=lambda text: None):
        progress(f"starting {self.control_count} control instances")
        self.start_controls()
        progress(f"starting {self.engine_count} engines and {self.service_count} services")
        self.start_upstreams()
        progress(f"starting {self.entry_count} entry instances")
        self.start_entries()
        progress("writing upstreams, routes, contracts and keys")
        revision = self.configure()
        progress(f"revision {revision} is in force on all entry instances")
        self.wait_ready()
        self.wait_rate_owners()

    def stop_all(self):
        """Stops entry instances before the others, so that their requests can complete; returns the
        exit codes by process name."""
        codes = {}
        order = sorted(self.processes, key=lambda name: not name.startswith("entry"))
        for name in order:
            if self.processes[name].alive():
                codes[name] = self.processes[name].stop()
        return codes

    def describe(self):
        return {"deployment": self.kind, "entries": self.entry_urls(),
                "operator": self.operator_servers(),
                "operator_token_file": str(self.folder / "operator-token"),
                "engines": [self.engine_url(i) for i in range(1, self.engine_count + 1)],
                "services": [self.service_url(i) for i in range(1, self.service_count + 1)],
                "model": self.shape["model"], "keys": self.keys,
                "pids": {name: process.process.pid for name, process in self.processes.items()
                         if process.alive()}}

    # Callers

    def bearer(self, workspace):
        return {"Authorization": f"Bearer {self.keys[workspace]}"}

    def upload(self, entry, workspace, jsonl):
        status, body, _ = http_json("POST", self.entry_url(entry) + "/v1/files?purpose=batch",
                                    jsonl, {**self.bearer(workspace),
                                            "Content-Type": "application/jsonl"}, timeout=120)
        if status != 200:
            raise DeploymentError(f"upload failed with status {status}: {body}")
        return body["id"]

    def create_batch(self, entry, workspace, file_id, window="24h", key=None):
        headers = self.bearer(workspace)
        if key:
            headers["Idempotency-Key"] = key
        status, body, _ = http_json("POST", self.entry_url(entry) + "/v1/batches",
                                    {"input_file_id": file_id, "endpoint": "/v1/completions",
                                     "completion_window": window}, headers)
        if status != 200:
            raise DeploymentError(f"batch creation failed with status {status}: {body}")
        return body

    def batch(self, entry, workspace, batch_id):
        return http_json("GET", f"{self.entry_url(entry)}/v1/batches/{batch_id}", None,
                         self.bearer(workspace))[1]

    def wait_batch(self, entry, workspace, batch_id, timeout=120):
        return wait_for(
            lambda: (lambda job: job if job.get("status") in ("completed", "cancelled") else None)(
                self.batch(entry, workspace, batch_id)),
            f"the end of batch {batch_id}", timeout=timeout, period=0.2)

    def results(self, entry, workspace, file_id):
        url = f"{self.entry_url(entry)}/v1/files/{file_id}/content"
        request = urllib.request.Request(url, headers=self.bearer(workspace))
        with urllib.request.urlopen(request, timeout=60) as response:
            return [json.loads(line) for line in response.read().splitlines() if line]
