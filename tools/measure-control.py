"""Measures the resource use of control and entry instances in idle deployments of several sizes.

Prints one JSON line for each number of entry instances: processor time in percent of a core and
resident memory in MB of entry and control instances, and bytes per second that control instances
write to files, from /proc. The figures are measured in wall-clock time; they are meant for
docs/CAPACITY.md, and no test depends on them.

Usage: tools/measure-control.py [--sizes 3,6,12,24] [--seconds 10]
"""

import argparse
import json
import os
import time

from deployment import Deployment

CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_SIZE_BYTES = os.sysconf("SC_PAGE_SIZE")


def cpu_seconds(pid):
    fields = open(f"/proc/{pid}/stat", encoding="ascii").read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S


def resident_mb(pid):
    pages = int(open(f"/proc/{pid}/statm", encoding="ascii").read().split()[1])
    return pages * PAGE_SIZE_BYTES / 1e6


def written_bytes(pid):
    """Bytes written with write(); messages on sockets go through sendmsg() and do not count."""
    values = dict(line.split(": ") for line in open(f"/proc/{pid}/io", encoding="ascii"))
    return int(values["wchar"])


def sample(pids):
    return {pid: (cpu_seconds(pid), written_bytes(pid)) for pid in pids}


def mean(values):
    return sum(values) / len(values)


def measure(entries, seconds):
    with Deployment("garza", entries=entries, engines=2, services=1) as deployment:
        deployment.start()
        time.sleep(3)
        pids = {role: [process.process.pid for name, process in deployment.processes.items()
                       if name.startswith(role)] for role in ("entry", "control")}
        before = {role: sample(ids) for role, ids in pids.items()}
        time.sleep(seconds)
        figures = {"entries": entries, "seconds": seconds}
        for role, ids in pids.items():
            after = sample(ids)
            figures[f"{role}_cpu_percent"] = round(mean(
                [(after[p][0] - before[role][p][0]) / seconds * 100 for p in ids]), 2)
            if role == "control":
                figures["control_written_bytes_per_s"] = round(mean(
                    [(after[p][1] - before[role][p][1]) / seconds for p in ids]))
            figures[f"{role}_rss_mb"] = round(mean([resident_mb(p) for p in ids]), 1)
        print(json.dumps(figures), flush=True)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sizes", default="3,6,12,24")
    parser.add_argument("--seconds", type=float, default=10)
    options = parser.parse_args()
    for size in options.sizes.split(","):
        measure(int(size), options.seconds)


if __name__ == "__main__":
    main()
