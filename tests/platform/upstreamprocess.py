"""Runs one scripted upstream as a process of its own, which a test can stop and continue.

Usage: upstreamprocess.py HOST PORT
"""

import http.server
import sys

from platformdeployment import Upstream


class UpstreamServer(http.server.ThreadingHTTPServer):
    daemon_threads = True
    # Holds the connections that arrive while the process is stopped.
    request_queue_size = 128


if __name__ == "__main__":
    UpstreamServer((sys.argv[1], int(sys.argv[2])), Upstream).serve_forever()
