"""Runs scripted upstreams as a process of their own, which a test can stop and continue.

Each host has a listener with an accept queue of its own; while the process is stopped, the
operating system accepts the connections that fit into the queue and drops further attempts to
connect.
"""

import argparse
import http.server
import select
import socket
import struct
import sys
import threading
import time

from platformdeployment import Upstream

# Makes a close reset the connection.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class ProcessUpstream(Upstream):
    """Refuses to continue the streams of requests with the header Begins-Only, as an upstream whose
    slots have been taken by others does."""

    has_responded = False

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

    def end_headers(self):
        if self.server.idle_seconds:
            self.send_header("Keep-Alive", f"timeout={self.server.idle_seconds}")
        super().end_headers()

    def handle_one_request(self):
        if self.has_responded and self.server.idle_seconds and self.is_idle_time_over():
            self.close_connection = True
            return
        super().handle_one_request()
        self.has_responded = True

    def is_idle_time_over(self):
        """Waits for the next request. Like event loops that run timers before they read sockets, it
        finds the time over although a request has arrived while the process was stopped."""
        begin = time.monotonic()
        has_request = bool(select.select([self.connection], [], [], self.server.idle_seconds)[0])
        is_over = time.monotonic() - begin >= self.server.idle_seconds
        if is_over and has_request:
            self.server.accept_log.write(f"{self.server.server_address[0]} dropped\n")
        return is_over


class UpstreamServer(http.server.ThreadingHTTPServer):
    daemon_threads = True

    def __init__(self, host, settings, accept_log, handler=ProcessUpstream):
        self.request_queue_size = settings.accept_queue
        self.max_connections = settings.max_connections
        self.idle_seconds = settings.idle_seconds
        self.accept_seconds = settings.accept_ms / 1000
        self.accept_log = accept_log
        self.open_connections = set()
        super().__init__((host, settings.port), handler)

    def get_request(self):
        time.sleep(self.accept_seconds)
        connection, peer = super().get_request()
        self.accept_log.write(f"{self.server_address[0]} {time.monotonic():.4f}\n")
        return connection, peer

    def process_request(self, request, client_address):
        if self.max_connections and len(self.open_connections) >= self.max_connections:
            self.accept_log.write(f"{self.server_address[0]} reset\n")
            request.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            request.close()
            return
        self.open_connections.add(request)
        super().process_request(request, client_address)

    def handle_error(self, request, client_address):
        """Reports no lost connections, which callers may reset at any time."""
        if not isinstance(sys.exc_info()[1], OSError):
            super().handle_error(request, client_address)

    def shutdown_request(self, request):
        self.open_connections.discard(request)
        super().shutdown_request(request)


def serve(settings):
    with open(settings.accept_log, "a", buffering=1, encoding="ascii") as log:
        threads = [threading.Thread(target=UpstreamServer(host, settings, log).serve_forever)
                   for host in settings.hosts]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--max-connections", type=int, default=0,
                        help="connections of each host beyond this number are reset (0: none)")
    parser.add_argument("--idle-seconds", type=int, default=0,
                        help="time after which an idle connection is closed (0: never)")
    parser.add_argument("--accept-ms", type=int, default=0,
                        help="time that it takes to accept a connection")
    parser.add_argument("port", type=int)
    parser.add_argument("accept_queue", type=int, help="size of each listener's accept queue")
    parser.add_argument("accept_log", help="file to which a line \"HOST SECONDS\" of the monotonic "
                        "clock is appended for each accepted connection, \"HOST reset\" for each "
                        "that is reset, and \"HOST dropped\" for each that is closed with a "
                        "request that was not read")
    parser.add_argument("hosts", nargs="+")
    serve(parser.parse_args())


if __name__ == "__main__":
    main()
