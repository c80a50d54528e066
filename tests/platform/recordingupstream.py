"""Runs one scripted upstream as a process of its own that prints each request when it reads it.

Usage: recordingupstream.py HOST PORT QUEUE, where QUEUE is the number of connections that wait to be
accepted. Each line of the output is a JSON object.
"""

import json
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


class RecordingServer(UpstreamServer):
    def handle_error(self, request, client_address):
        """A request that was cancelled is no error of the upstream."""
        if not isinstance(sys.exc_info()[1], OSError):
            super().handle_error(request, client_address)


if __name__ == "__main__":
    RecordingServer.request_queue_size = int(sys.argv[3])
    RecordingServer((sys.argv[1], int(sys.argv[2])), RecordingUpstream).serve_forever()
