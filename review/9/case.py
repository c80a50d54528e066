"""One tenant sends several times its rate while the leading store is killed. Checks that no window
of quota-window-s has more requests that were both sent and run than the contract allows.
TROUBLE=0 leaves the kill out."""
import os
import sys
import threading
import time
import uuid
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-2"))
import harness  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
RATE = 60
BURST = 60
WINDOW_S = 5
QUOTA_OVER = 0.1
QUOTA_SLACK = 20
LIMIT = (RATE * WINDOW_S + BURST) * (1 + QUOTA_OVER) + QUOTA_SLACK
CLIENTS = 24
SENT_PER_S = 6 * RATE
FLOOD_S = 8
KILL_AFTER_S = 0.7
DOWN_S = 2.8
TENANTS = [{"name": "vendors", "api-keys": ["key-of-vendors"], "priority": 1,
            "rate-per-s": RATE, "burst": BURST}]


def flood(deployment, number, end, sent):
    """Sends requests at an even pace to all entries in turn, each once."""
    pause = CLIENTS / SENT_PER_S
    next_at = time.monotonic() + pause * number / CLIENTS
    turn = number
    while time.monotonic() < end:
        time.sleep(max(next_at - time.monotonic(), 0))
        next_at += pause
        turn += 1
        request = uuid.uuid4().hex[:16]
        sent_at = time.monotonic()
        status, _, _ = harness.call(
            deployment.entry(turn % deployment.counts["entry"] + 1), "POST", "/puxa403/2f", b"",
            {"Request-Id": request, "Deadline-Ms": "1500",
             "Authorization": "Bearer key-of-vendors"}, timeout=2)
        sent[request] = (sent_at, status)


def worst_window(sent, arrivals):
    """Returns the start of the window with the most requests that were sent and arrived in it."""
    begins = sorted(at for at, _ in sent.values())
    best = (0, 0)
    for begin in begins:
        count = sum(1 for request, arrived in arrivals.items()
                    if sent[request][0] >= begin and arrived <= begin + WINDOW_S)
        best = max(best, (count, begin))
    return best


def case():
    with harness.Deployment(FOLDER, workers=9, event_ms=5, tenants=TENANTS) as deployment:
        # The buckets fill.
        time.sleep(4)
        sent = {}
        begin = time.monotonic()
        threads = [threading.Thread(target=flood, args=(deployment, n, begin + FLOOD_S, sent))
                   for n in range(CLIENTS)]
        for thread in threads:
            thread.start()
        if TROUBLE:
            time.sleep(KILL_AFTER_S)
            leader = deployment.store_leader()
            deployment.kill(leader)
            deployment.record(f"killed {leader} {time.monotonic() - begin:.2f} s after the begin")
            time.sleep(DOWN_S)
            deployment.start(leader)
        for thread in threads:
            thread.join()
        time.sleep(1)
        arrivals = {step["id"]: step["t"] for step in deployment.worker_steps()
                    if step["step"] == "began" and step.get("id") in sent}
        for request, (at, status) in sorted(sent.items(), key=lambda entry: entry[1]):
            run = f"run at {arrivals[request] - begin:.3f}" if request in arrivals else "not run"
            deployment.record(f"sent at {at - begin:.3f}: {request} status {status}, {run}")
        count, start = worst_window(sent, arrivals)
        text = (f"{len(sent)} sent, {len(arrivals)} run; {count} in the {WINDOW_S} s from "
                f"{start - begin:.2f} s, allowed {LIMIT:.0f}")
        deployment.record(text)
        print(text)
        return count > LIMIT


harness.run(case)
