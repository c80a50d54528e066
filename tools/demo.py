"""Runs a deployment on loopback and demonstrates online, service and batch requests."""

import argparse
import json
import signal
import sys
import time
import urllib.request

from deployment import DEPLOYMENTS, ROOT, Deployment, DeploymentError, http_json

START = time.monotonic()


def print_progress(text):
    print(f"[{time.monotonic() - START:6.1f} s] {text}", flush=True)


def read_lines(path):
    return [json.loads(line) for line in (ROOT / path).read_text().splitlines() if line]


def stream_response(deployment):
    """Streams one response and prints its tokens as they arrive."""
    workspace = deployment.shape["workspaces"][0][0]
    sample = read_lines(deployment.shape["online_samples"])[0]
    path = "/v1/chat/completions" if "messages" in sample else "/v1/completions"
    prompt = sample["messages"][-1]["content"] if "messages" in sample else sample["prompt"]
    body = {**sample, "model": deployment.shape["model"], "max_tokens": 24, "stream": True}
    print_progress(f"{workspace} sends the prompt {prompt!r}")
    request = urllib.request.Request(
        deployment.entry_url(1) + path, data=json.dumps(body).encode(),
        headers={**deployment.bearer(workspace), "Content-Type": "application/json"})
    tokens = 0
    complete = False
    with urllib.request.urlopen(request, timeout=30) as response:
        for line in response:
            text = line.decode().strip()
            if not text.startswith("data: "):
                continue
            if text == "data: [DONE]":
                complete = True
                break
            event = json.loads(text[len("data: "):])
            if "error" in event:
                raise DeploymentError(f"stream ended with {event}")
            choice = event["choices"][0]
            token = choice.get("text") or choice.get("delta", {}).get("content", "")
            tokens += 1 if token else 0
            print(token, end="", flush=True)
    print(flush=True)
    if not complete:
        raise DeploymentError("the stream ended without [DONE]")
    print_progress(f"streamed response complete, {tokens} tokens")


def call_service(deployment):
    workspace = deployment.shape["workspaces"][0][0]
    url = deployment.entry_url(2) + "/desk/orders"
    headers = {**deployment.bearer(workspace), "Idempotency-Key": "demo-order-1"}
    order = {"item": "paper lantern", "count": 12}
    first = http_json("POST", url, order, headers)
    resent = http_json("POST", deployment.entry_url(3) + "/desk/orders", order, headers)
    if first[0] != 200 or first[1] != resent[1]:
        raise DeploymentError("service call failed or its resend got another response: "
                              f"first {first[:2]}, resend {resent[:2]}")
    print_progress(f"{deployment.shape['service']} answered {first[1]}; "
                   "the same request sent through another entry got the same response")


def run_batch(deployment):
    workspace = deployment.shape["batch_workspace"]
    lines = read_lines(deployment.shape["batch_samples"])
    jsonl = "".join(json.dumps(line) + "\n" for line in lines).encode()
    file_id = deployment.upload(1, workspace, jsonl)
    job = deployment.create_batch(2, workspace, file_id, key="demo-batch-1")
    print_progress(f"{workspace} submitted {len(lines)} items as {job['id']}")
    job = deployment.wait_batch(3, workspace, job["id"])
    results = deployment.results(4, workspace, job["output_file_id"])
    if len(results) != len(lines):
        raise DeploymentError(f"{len(results)} results for {len(lines)} items: {job}")
    print_progress(f"batch {job['status']}: {json.dumps(job['request_counts'])}; first result:")
    print(json.dumps(results[0])[:300], flush=True)


def show_status(deployment):
    status = deployment.ctl_json("status")
    groups = {group["group"]: group["leader"] for group in status["groups"]}
    print_progress(f"status: revision {status['revision']}, {len(status['members'])} members, "
                   f"leaders {groups}")


def keep_running(deployment):
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    print_progress("running until interrupted")
    try:
        while True:
            time.sleep(3600)
    except KeyboardInterrupt:
        pass


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("deployment", nargs="?", default="garza", choices=sorted(DEPLOYMENTS))
    parser.add_argument("--keep", action="store_true",
                        help="keep the deployment running until interrupted")
    options = parser.parse_args()
    with Deployment(options.deployment) as deployment:
        try:
            deployment.start(print_progress)
            stream_response(deployment)
            call_service(deployment)
            run_batch(deployment)
            show_status(deployment)
            description = deployment.folder / "deployment.json"
            description.write_text(json.dumps(deployment.describe(), indent=2))
            print_progress(f"addresses, keys and process ids: {description.relative_to(ROOT)}")
            if options.keep:
                keep_running(deployment)
            print_progress("stopping")
            codes = deployment.stop_all()
            failed = {name: code for name, code in codes.items() if code != 0}
            if failed:
                raise DeploymentError(f"processes stopped with exit codes {failed}")
        except (DeploymentError, OSError) as error:
            print_progress(f"failed: {error}; logs in {deployment.folder.relative_to(ROOT)}")
            return 1
    print_progress("done")
    return 0


if __name__ == "__main__":
    sys.exit(main())
