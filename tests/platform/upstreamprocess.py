"""Runs one scripted upstream as a process of its own, which a test can stop and continue.

Usage: upstreamprocess.py HOST PORT
"""

import http.server
import sys

from platformdeployment import Upstream


class ProcessUpstream(Upstream):
    """Refuses to continue the streams of requests with the header Begins-Only, as an upstream whose
    slots have been taken by others does."""

    def do_POST(self):
        if "Last-Event-Id" not in self.headers or "Begins-Only" not in self.headers:
            return super().do_POST()
        self.rfile.read(int(self.headers.get("Content-Length", 0)))
        self.send_response(503)
        self.send_header("Request-Id", self.headers["Request-Id"])
        self.send_header("Response-Signature", "signed")
        self.send_header("Not-Executed", "1")
        self.send_header("Server-Load", "1,0,8")
        self.send_header("Content-Length", "0")
        try:
            self.end_headers()
        except OSError:
            # The entry no longer waits for the response.
            self.close_connection = True


class UpstreamServer(http.server.ThreadingHTTPServer):
    daemon_threads = True
    # Holds the connections that arrive while the process is stopped.
    request_queue_size = 128


if __name__ == "__main__":
    UpstreamServer((sys.argv[1], int(sys.argv[2])), ProcessUpstream).serve_forever()
