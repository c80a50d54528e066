"""A client of one tenant submits a batch job, one of whose items has a line break in the value of a
header. Checks that no worker runs a request that no client sent. TROUBLE=0 sends the same job
without the line break."""
import base64
import json
import os
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-2"))
import harness  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ITEM = "e5b2907c14da6f38"
JOB = "7c41e09b52d6a3f8"
SMUGGLED = "0000000000000bad"
TENANTS = [{"name": name, "api-keys": [f"key-of-{name}"], "priority": 1, "rate-per-s": 45,
            "burst": 45} for name in ("vendors", "stewards")]
KEY = {"Authorization": "Bearer key-of-vendors", "Content-Type": "application/json"}


def note():
    """Value of a header of the item. With the line break, it ends the item's request and has a
    whole request of another tenant behind it."""
    if not TROUBLE:
        return "plain"
    return ("plain\r\n" f"Request-Id: {ITEM}\r\n" "Content-Length: 0\r\n" "\r\n"
            "POST /puxa403/2f HTTP/1.1\r\n" f"Host: {harness.HOST}\r\n"
            f"Request-Id: {SMUGGLED}\r\n" "Tenant-Id: stewards\r\n" "Content-Length: 0\r\n" "\r\n")


def case():
    with harness.Deployment(FOLDER, tenants=TENANTS) as deployment:
        body = json.dumps({"requests": [{
            "id": ITEM, "path": "/pule252/3/91c4",
            "headers": {"Model-Name": "m", "Token-Usage": "540,20", "X-Note": note()},
            "body": base64.b64encode(b"restock list").decode(), "tokens": 560}]})
        status, _, _ = harness.call(deployment.entry(1), "POST", "/pule252/7c41e0", body,
                                    {**KEY, "Request-Id": JOB})
        deployment.record(f"job {JOB} of tenant vendors: {status}")
        if not TROUBLE and status != 202:
            raise harness.CannotRun("the job was not accepted")
        time.sleep(5)
        status, text, _ = harness.call(deployment.entry(2), "GET", f"/lots/{JOB}?after=0",
                                       headers=KEY)
        deployment.record(f"read of job {JOB}: {status} {text[:200]}")
        foreign = []
        for step in deployment.worker_steps():
            deployment.record(f"worker: {json.dumps(step)}")
            if step["step"] == "began" and step.get("id") != ITEM:
                foreign.append(step)
        if not TROUBLE and not any(step["step"] == "ended" for step in deployment.worker_steps()):
            raise harness.CannotRun("the item was not run")
        deployment.record(f"{len(foreign)} requests that no client sent began at a worker")
        return bool(foreign)


harness.run(case)
