"""A store is asked to be emptied while two other stores are without power, and the leading control
process is killed. The platform removes the store, with its disk, once the system calls it
completed. One of the two stores comes back with an empty disk. With TROUBLE=0 the store is only
asked to be emptied. LOSSES=only leaves only the request out."""

import json
import os
import re
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from harness import (BROKEN, HELD, NOT_RUN, Client, Deployment, Worker, batch_route, configuration,
                     main, now, service, text_of, wait_until)

EVENTS = 10
ITEMS = 12
DARK_S = 3.5  # time for which the two stores are without power
RECOVERY_S = 12  # recovery-s
READ_S = 30  # time for which the client reads again after each failure


def case(record, trouble):
    system = Deployment(record, control=3, store=4, entry=2)
    try:
        return play(record, system, trouble)
    finally:
        system.stop(keep="KEEP" in os.environ)


def leading_control(system):
    """Returns the control process that gained the leadership last."""
    def gained(name):
        found = re.findall(r'"time":"([^"]+)"[^\n]*"event":"leadership-gained"',
                           system.log_text(name))
        return max(found, default="")
    return max((f"core-{n}" for n in (1, 2, 3)), key=gained)


def retirement(system, first):
    status, body = system.operate("GET", "/Retire.Get/store-1", first=first, seconds=0)
    return json.loads(body).get("state") if status == 200 else status


def play(record, system, trouble):
    retires = os.environ.get("LOSSES") != "only"
    hosts = [f"127.{system.net}.8.{n}" for n in range(1, 4)]
    workers = [Worker(system.loop, record, f"i-{n}", "lm", (hosts[n], system.worker_port),
                      "abc"[n], events=EVENTS, period=0.02) for n in range(3)]
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

    if trouble:
        for name in ("store-2", "store-3"):
            system.kill(name)
        dark_until = now() + DARK_S
    if retires and system.operate("POST", "/Retire.Start/store-1", {"duration-s": 10})[0] != 200:
        return NOT_RUN
    if trouble:
        leader = leading_control(system)
        system.kill(leader)
        time.sleep(0.5)
        system.start("control", int(leader[-1]))
    removed = False
    returned = not trouble
    end = now() + 25
    asked = 0
    while now() < end and not (returned and (removed or not retires)):
        if trouble and not returned and now() >= dark_until:
            system.wipe("store-2")
            system.start("store", 2)
            system.start("store", 3)
            returned = True
        if retires and not removed:
            asked += 1
            if retirement(system, asked % 3 + 1) == "completed":
                record.write("platform removes store-1 with its disk")
                system.kill("store-1")
                system.wipe("store-1")
                removed = True
        time.sleep(0.4)
    if retires and not removed:
        record.write("the retirement has not been completed")
    time.sleep(RECOVERY_S)
    return judge(record, client)


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
