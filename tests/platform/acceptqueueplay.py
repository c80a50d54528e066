"""Makes many upstreams before many entries stand still beside a change of the configuration, and
counts what callers see. The long form of full_accept_queue_test.py."""

import collections
import json
import math
import os
import shutil
import signal
import socket
import subprocess
import sys
import threading
import time
from pathlib import Path

from platformdeployment import (CALLER_PORT, HOST, KEY, UPSTREAM_PORT, InstanceList,
                                PlatformDeployment, configuration, wait_until)

FOLDER = Path(__file__).parent
UPSTREAMS = 60
# Listeners of a stand-in process, which is stopped as a whole.
UPSTREAMS_PER_PROCESS = 6
SLOTS = 16
LOAD_PROCESSES = 4
RATE_PER_S = 10000
TIMEOUT_MS = 12000
EVENTS = 20
# A stream lasts 3 s, without the silence.
STREAM_EVENT_MS = 150
# Times from the begin of the load in seconds.
SPREAD_SECONDS = 0.3
CHANGE_SECONDS = 0.7
SILENCE_BEGIN_SECONDS = 1.2
SILENCE_SECONDS = 1.2
SHORT_REQUESTS_SECONDS = 5.0
# Time after the silence within which accepted connections are counted.
AFTER_SECONDS = 1.0
# Time between two plays, in which entries find the upstreams again.
REST_SECONDS = 4.0
SAMPLE_PERIOD_SECONDS = 0.1
LISTEN_STATE = "0A"
SYN_SENT_STATE = "02"


def upstream_host(number):
    return f"127.0.8.{number}"


def hexadecimal_address(host, port):
    """Returns an address as /proc/net/tcp shows it."""
    return socket.inet_aton(host)[::-1].hex().upper() + f":{port:04X}"


def accept_queues(hosts):
    """Returns the number of established connections that wait in the accept queue of each host, and
    the number of connections to the hosts whose first packet is not acknowledged."""
    addresses = {hexadecimal_address(host, UPSTREAM_PORT) for host in hosts}
    waiting = []
    unanswered = 0
    for line in Path("/proc/net/tcp").read_text(encoding="ascii").splitlines()[1:]:
        _, local, remote, state, queues = line.split()[:5]
        if state == LISTEN_STATE and local in addresses:
            waiting.append(int(queues.split(":")[1], 16))
        elif state == SYN_SENT_STATE and remote in addresses:
            unanswered += 1
    return waiting, unanswered


def listen_drops():
    """Returns the number of attempts to connect that this machine has dropped for full queues."""
    names, values = [line.split() for line in
                     Path("/proc/net/netstat").read_text(encoding="ascii").splitlines()
                     if line.startswith("TcpExt:")]
    return int(dict(zip(names, values))["ListenDrops"])


def resident_megabytes(processes):
    """Returns the resident memory of all processes and the largest one."""
    kilobytes = []
    for process in processes:
        status = Path(f"/proc/{process.pid}/status").read_text(encoding="ascii")
        kilobytes.append(int(status.split("VmRSS:")[1].split()[0]))
    return sum(kilobytes) // 1024, max(kilobytes) // 1024


class QueueDeployment(PlatformDeployment):
    """Entries before stand-in processes with an accept queue of a given size for each upstream."""

    entries = int(os.environ.get("RATTANRILL_ENTRIES", "56"))
    accept_queue = 0

    @classmethod
    def setUpClass(cls):
        InstanceList.numbers = tuple(range(1, UPSTREAMS + 1))
        InstanceList.slots = SLOTS
        cls.groups = []
        super().setUpClass()
        cls.ready = cls.ready or wait_until(lambda: all(
            cls.is_ready(n) for n in range(1, cls.entries + 1)))

    @classmethod
    def start_upstreams(cls):
        for first in range(1, UPSTREAMS + 1, UPSTREAMS_PER_PROCESS):
            hosts = [upstream_host(n) for n in range(first, first + UPSTREAMS_PER_PROCESS)]
            log = Path(cls.directory.name) / f"accepted-{first}.txt"
            process = subprocess.Popen([sys.executable, FOLDER / "upstreamprocess.py",
                                        str(UPSTREAM_PORT), str(cls.accept_queue), log, *hosts])
            cls.groups.append((process, hosts))
        for _, hosts in cls.groups:
            for host in hosts:
                wait_until(lambda: not socket.create_connection((host, UPSTREAM_PORT), 1).close())

    @classmethod
    def tearDownClass(cls):
        for process, _ in cls.groups:
            process.kill()
            process.wait()
        if folder := os.environ.get("RATTANRILL_LOG_DIR"):
            target = Path(folder) / f"queue-{cls.accept_queue}"
            target.mkdir(parents=True, exist_ok=True)
            for log in Path(cls.directory.name).glob("*.log"):
                shutil.copy(log, target)
        super().tearDownClass()

    @classmethod
    def change_configuration(cls):
        """Changes the configuration, and repeats a change that is refused or whose outcome is
        unknown. Returns the outcomes of the calls."""
        outcomes = []
        wait_until(lambda: cls.send_configuration(outcomes) == 200)
        return outcomes

    @classmethod
    def send_configuration(cls, outcomes):
        outcomes.append("no response")
        version = cls.configuration_version() + 1
        document = configuration(version, rate=RATE_PER_S)
        document["routes"].append({**document["routes"][0], "name": "slow",
                                   "path-prefix": "/slow/"})
        for route in document["routes"]:
            route["timeout-ms"] = TIMEOUT_MS
        document["limits"]["idle-timeout-ms"] += version
        outcomes[-1] = cls.put_configuration(document)
        return outcomes[-1]

    @classmethod
    def accepted(cls, begin, end):
        """Returns the number of connections that each upstream accepted in the given time."""
        counts = collections.Counter()
        for path in Path(cls.directory.name).glob("accepted-*.txt"):
            for line in path.read_text(encoding="ascii").splitlines():
                host, at = line.split()
                counts[host] += at[0].isdigit() and begin <= float(at) < end
        return counts


class Play:
    """One silence of a share of the upstreams."""

    def __init__(self, share, name, seed):
        self.share = share
        self.name = name
        self.seed = seed
        count = math.ceil(share * len(QueueDeployment.groups) - 1e-9)
        self.silent = QueueDeployment.groups[:count]
        self.silent_hosts = [host for _, hosts in self.silent for host in hosts]
        # The largest sum and the largest accept queue, and connections that wait for an answer.
        self.queue_sum = self.queue_max = self.unanswered = 0

    def start_load(self):
        hosts = [PlatformDeployment.address("entry", n)
                 for n in range(1, QueueDeployment.entries + 1)]
        settings = {
            "port": CALLER_PORT, "prefix": self.name, "events": EVENTS, "begin": self.begin,
            "headers": {"Host": HOST, "Authorization": f"Bearer {KEY}",
                        "Deadline-Ms": str(TIMEOUT_MS)},
            "stream_path": f"/slow/{STREAM_EVENT_MS}", "short_path": "/ask/1",
            "streams": int(os.environ.get("RATTANRILL_STREAMS", "8")),
            "spread_s": SPREAD_SECONDS, "short_s": SHORT_REQUESTS_SECONDS,
            "period_s": int(os.environ.get("RATTANRILL_PERIOD_MS", "500")) / 1000,
            "timeout_s": TIMEOUT_MS / 1000 + 2}
        return [subprocess.Popen(
            [sys.executable, FOLDER / "loadprocess.py",
             json.dumps({**settings, "hosts": hosts[n::LOAD_PROCESSES], "seed": self.seed + n})],
            stdout=subprocess.PIPE, text=True) for n in range(LOAD_PROCESSES)]

    def wait_for(self, seconds):
        time.sleep(max(self.begin + seconds - time.monotonic(), 0))

    def signal(self, number):
        for process, _ in self.silent:
            process.send_signal(number)

    def silence(self):
        self.wait_for(SILENCE_BEGIN_SECONDS)
        self.signal(signal.SIGSTOP)
        self.silence_begin = time.monotonic()
        end = self.silence_begin + SILENCE_SECONDS
        try:
            while time.monotonic() < end - SAMPLE_PERIOD_SECONDS:
                waiting, unanswered = accept_queues(self.silent_hosts)
                self.queue_sum = max(self.queue_sum, sum(waiting))
                self.queue_max = max(self.queue_max, max(waiting))
                self.unanswered = max(self.unanswered, unanswered)
                time.sleep(SAMPLE_PERIOD_SECONDS)
            time.sleep(max(end - time.monotonic(), 0))
        finally:
            self.signal(signal.SIGCONT)
            self.silence_end = time.monotonic()

    def run(self):
        logged = len(QueueDeployment.log_lines("entry", "upstream-links-lost"))
        self.begin = time.monotonic() + 1.5
        loads = self.start_load()
        drops = listen_drops()
        outcomes = []

        def change():
            self.wait_for(CHANGE_SECONDS)
            outcomes.extend(QueueDeployment.change_configuration())

        operator = threading.Thread(target=change)
        operator.start()
        self.silence()
        drops = listen_drops() - drops
        lines = [line for load in loads for line in load.communicate()[0].splitlines()]
        operator.join()
        self.rows = [json.loads(line) for line in lines]
        self.print(drops, outcomes,
                   len(QueueDeployment.log_lines("entry", "upstream-links-lost")) - logged)

    def print(self, drops, outcomes, lost):
        print(f"{self.name}: {len(self.silent_hosts)} of {UPSTREAMS} upstreams silent for "
              f"{self.silence_end - self.silence_begin:.2f} s, load average "
              f"{os.getloadavg()[0]:.0f}, change {outcomes}, "
              f"upstream-links-lost: {lost}")
        for kind in ("stream", "short"):
            rows = [row for row in self.rows if row[0] == kind]
            cut = [row for row in rows if row[4] == 200 and not row[6]]
            statuses = collections.Counter(row[4] for row in rows if row[4] != 200)
            others = {key: n for key, n in statuses.items() if key not in (502, 503, 429)}
            in_silence = [row for row in rows if row[4] != 200 and
                          self.silence_begin <= row[3] < self.silence_end + AFTER_SECONDS]
            print(f"  {kind}: sent {len(rows)}, whole {sum(row[6] for row in rows)}, "
                  f"cut {len(cut)}, 502 {statuses[502]}, 503 {statuses[503]}, "
                  f"429 {statuses[429]}, others {others or 0}, refused from the silence to "
                  f"{AFTER_SECONDS:.0f} s after it {len(in_silence)}, longest gap of a whole one "
                  f"{max((row[7] for row in rows if row[6]), default=0):.2f} s")
        for (status, text), count in collections.Counter(
                (row[4], row[8]) for row in self.rows if row[4] != 200).most_common():
            print(f"  {status} for {count}: {text}")
        after = QueueDeployment.accepted(self.silence_end, self.silence_end + AFTER_SECONDS)
        before = QueueDeployment.accepted(self.silence_begin - AFTER_SECONDS, self.silence_begin)
        during = QueueDeployment.accepted(self.silence_begin, self.silence_end)
        silent = [after[host] for host in self.silent_hosts]
        others = [after[host] + during[host] for host in after if host not in self.silent_hosts]
        print(f"  connections: in accept queues during the silence {self.queue_sum} "
              f"(largest {self.queue_max}), unanswered at once {self.unanswered}, attempts dropped "
              f"by the machine {drops}; accepted in the second before {sum(before.values())} "
              f"(largest {max(before.values(), default=0)}), by silent ones in the second after "
              f"{sum(silent)} (largest {max(silent)}), by the others from its begin on "
              f"{sum(others)} (largest {max(others, default=0)})", flush=True)


def play_queue(accept_queue, shares, runs, seed):
    QueueDeployment.accept_queue = accept_queue
    try:
        QueueDeployment.setUpClass()
        if not QueueDeployment.ready or QueueDeployment.change_configuration()[-1] != 200:
            raise RuntimeError("the deployment did not become ready")
        total, largest = resident_megabytes([QueueDeployment.processes[f"entry-{n}"]
                                             for n in range(1, QueueDeployment.entries + 1)])
        print(f"accept queues of {accept_queue}: {QueueDeployment.entries} entries with "
              f"{total} MiB (largest {largest} MiB)", flush=True)
        for share in shares:
            for run in range(1, runs + 1):
                time.sleep(REST_SECONDS)
                Play(share, f"queue-{accept_queue}-share-{share}-run-{run}",
                     seed + 100 * run).run()
    finally:
        QueueDeployment.tearDownClass()


def play_all():
    queues = [int(n) for n in os.environ.get("RATTANRILL_QUEUES", "5,16,128").split(",")]
    shares = [float(n) for n in os.environ.get("RATTANRILL_SHARES", "1,0.6").split(",")]
    for accept_queue in queues:
        play_queue(accept_queue, shares, int(os.environ.get("RATTANRILL_RUNS", "2")),
                   int(os.environ.get("RATTANRILL_SEED", "1")))
