"""Lets the worker that runs a batch item crash five times, one of six workers at a time, and checks
that the item comes to its end afterwards, while all workers are sound. TROUBLE=0 leaves the crashes
out."""
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
CRASHES = 5
DOWN_S = 2.0
FINISH_S = 18
FAILED_S = 20
CALM_S = 5
MAX_QUEUE_S = 60
KEY = {"Authorization": "Bearer key-of-vendors", "Content-Type": "application/json"}


def submit(deployment, job, item):
    body = json.dumps({"requests": [{
        "id": item, "path": "/pule252/3/91c4",
        "headers": {"Model-Name": "m", "Token-Usage": "540,100",
                    "Prompt-Prefix": "9c2e41:300,5d07b8:240"},
        "body": base64.b64encode(item.encode()).decode(), "tokens": 640}]})
    status, _, _ = harness.call(deployment.entry(1), "POST", "/pule252/7c41e0", body,
                                {**KEY, "Request-Id": job})
    deployment.record(f"job {job} with item {item}: {status}")
    if status != 202:
        raise harness.CannotRun("the job was not accepted")


def state(deployment, job):
    """Returns the state in which the job's item is listed; None before that."""
    status, body, _ = harness.call(deployment.entry(2), "GET", f"/lots/{job}?after=0",
                                   headers=KEY)
    results = json.loads(body)["results"] if status == 200 else []
    return results[0]["state"] if results else None


def running(deployment, item):
    """Returns the id of the worker that runs the item; None if none does."""
    worker = None
    for step in deployment.worker_steps():
        if step["step"] == "began" and step.get("id") == item:
            worker = step["worker"]
        elif step["step"] in ("crashed", "ended") and step["worker"] == worker:
            worker = None
    return worker


def last_step(deployment, item):
    """Returns the time of the last step of the item at a worker."""
    return max(step["t"] for step in deployment.worker_steps() if step.get("id") == item)


def crash_all(deployment, item):
    """Returns the time of the last crash; None if the item ended before it."""
    for number in range(CRASHES):
        if not harness.wait_until(lambda: running(deployment, item) is not None, 25):
            return None if number == 0 else time.monotonic()
        time.sleep(0.3)
        worker = running(deployment, item)
        if worker is None:
            return time.monotonic()
        deployment.crash_worker(worker, DOWN_S)
        deployment.record(f"crash {number + 1}: worker {worker}, for {DOWN_S} s")
        time.sleep(0.2)
    return time.monotonic()


def case():
    job, item = "7c41e09b52d6a3f8", "e5b2907c14da6f38"
    with harness.Deployment(FOLDER, workers=6, events=150, event_ms=30) as deployment:
        begin = time.monotonic()
        submit(deployment, job, item)
        if TROUBLE:
            last = crash_all(deployment, item)
            if last is None:
                raise harness.CannotRun("the item did not run")
            time.sleep(max(last + FAILED_S + CALM_S, begin + FINISH_S) - time.monotonic())
        else:
            time.sleep(FINISH_S)
        listed = state(deployment, job)
        quiet = time.monotonic() - last_step(deployment, item)
        age = time.monotonic() - begin
        for step in deployment.worker_steps():
            deployment.record(f"worker: {json.dumps(step)}")
        deployment.record(f"item {item} after {age:.1f} s: {listed}; at no worker for {quiet:.1f} s")
        if age >= MAX_QUEUE_S:
            raise harness.CannotRun("it took until the item may be given up")
        submit(deployment, "second-job", "second-item")
        is_sound = harness.wait_until(lambda: state(deployment, "second-job") == "completed", 12)
        deployment.record(f"an item that was submitted then completed within 12 s: {is_sound}")
        if not is_sound:
            raise harness.CannotRun("the workers don't serve another item either")
        return listed is None and quiet > FAILED_S


harness.run(case)
