"""Two stores are asked to be emptied at the same time, at two control processes. The platform
removes each once the system calls it completed. Later one of the remaining stores loses its disk,
as the deployment has to bear. With TROUBLE=0 only the disk is lost. GAP=S leaves S seconds between
the two requests."""

import json
import os
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from harness import (BROKEN, HELD, NOT_RUN, Client, Deployment, Worker, batch_route, configuration,
                     main, now, service, text_of, wait_until)

EVENTS = 10
ITEMS = 12
STORES = 4
RECOVERY_S = 12  # recovery-s
READ_S = 30  # time for which the client reads again after each failure


def case(record, trouble):
    system = Deployment(record, control=3, store=STORES, entry=2)
    try:
        return play(record, system, trouble)
    finally:
        system.stop()


def retire(system, accepted, name, first):
    if system.operate("POST", f"/Retire.Start/{name}", {"duration-s": 10}, first)[0] == 200:
        accepted.append(name)


def play(record, system, trouble):
    workers = [Worker(system.loop, record, f"i-{n}", "lm",
                      (f"127.{system.net}.8.{n + 1}", system.worker_port), "abc"[n],
                      events=EVENTS, period=0.02) for n in range(3)]
    system.list.set([worker.entry() for worker in workers])
    system.start_all()
    first = configuration(1, [batch_route("lm")], [service("lm")])
    if system.operate("POST", "/Config.Replace", first, seconds=15)[0] != 200:
        return NOT_RUN
    if not wait_until(system.ready, 20):
        return NOT_RUN
    time.sleep(3)
    client = Client(system)
    if not client.submit("job0", ITEMS):
        return NOT_RUN
    if not wait_until(lambda: is_complete(client, "job0"), 20):
        return NOT_RUN
    record.write("client has read all results of job0")
    time.sleep(1)
    removed = []
    if trouble:
        accepted = []
        orders = [threading.Thread(target=retire, args=(system, accepted, name, first))
                  for name, first in (("store-1", 1), ("store-2", 2))]
        for order in orders:
            order.start()
            time.sleep(float(os.environ.get("GAP", "0")))
        for order in orders:
            order.join()
        if not accepted:
            return NOT_RUN
        remove_completed(record, system, accepted, removed)
    record.write(f"platform has removed {removed}")
    time.sleep(8)  # more than catch-up-s
    system.kill("store-3")
    system.wipe("store-3")
    time.sleep(0.5)
    system.start("store", 3)
    time.sleep(RECOVERY_S)
    return judge(record, client)


def remove_completed(record, system, accepted, removed):
    end = now() + 30
    asked = 0
    while now() < end and len(removed) < len(accepted):
        asked += 1
        for name in accepted:
            if name in removed:
                continue
            status, body = system.operate("GET", f"/Retire.Get/{name}", first=asked % 3 + 1,
                                          seconds=0)
            if status == 200 and json.loads(body).get("state") == "completed":
                record.write(f"platform removes {name} with its disk")
                system.kill(name)
                system.wipe(name)
                removed.append(name)
        time.sleep(0.5)


def is_complete(client, job):
    results = client.results(job, seconds=1)
    return not isinstance(results, int) and len(results) == ITEMS


def judge(record, client):
    """The rule LOST: at the end of the day a batch job can't be read, or a result that had been
    read doesn't come again."""
    results = client.results("job0", seconds=READ_S)
    if isinstance(results, int):
        record.write(f"job0 can't be read for {READ_S} s, last status {results}")
        return BROKEN
    good = [result for result in results
            if result["state"] == "completed" and result["output"] == text_of(result["id"], EVENTS)]
    record.write(f"job0 has {len(good)} of {ITEMS} results again")
    return HELD if len(good) == ITEMS else BROKEN


main(case)
