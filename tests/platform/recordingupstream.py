"""Runs one scripted upstream as a process of its own that prints each request when it reads it.

Usage: recordingupstream.py HOST PORT QUEUE, where QUEUE is the number of connections that wait to be
accepted. Each line of the output is a JSON object.
"""

import argparse
import json
import os
import sys
import time

from upstreamprocess import ProcessUpstream, UpstreamServer


class RecordingUpstream(ProcessUpstream):
    def do_POST(self):
        line = {"id": self.headers["Request-Id"], "path": self.path, "at": time.monotonic(),
                "remainingMs": int(self.headers.get("Deadline-Ms", -1))}
        with self.lock:
            print(json.dumps(line), flush=True)
        super().do_POST()


def settings():
    return argparse.Namespace(port=int(sys.argv[2]), accept_queue=int(sys.argv[3]),
                              max_connections=0, idle_seconds=0, accept_ms=0)


if __name__ == "__main__":
    with open(os.devnull, "w", encoding="ascii") as log:
        UpstreamServer(sys.argv[1], settings(), log, RecordingUpstream).serve_forever()
