"""Stand-ins for the platform's instance list and for model workers, in a process of their own.

Usage: standins.py CONFIG RECORD. CONFIG is a JSON file:
  list     "HOST:PORT" of the instance list
  workers  list of {id, service, address, zone, slots, version}
  events   number of events of a generation; event_ms: time between two of them in milliseconds
RECORD gets a line of JSON for each step of a request, with "t" in seconds of the monotonic clock. Ends with its standard input.

A line "crash ID SECONDS" on the standard input lets a worker crash: its channels are reset and its
port is closed for that time; then it is back. A worker runs `slots` requests at once and queues 24 more; beyond that it answers 503 with
Not-Executed. It answers 421 to a request that names another instance, resumes after Last-Event-Id,
and drops a request when its channel closes. Exits with 2 on a malformed CONFIG.
"""
import asyncio
import json
import socket
import struct
import sys
import time

QUEUE = 24


def is_closed(closed):
    """Whether the channel has ended; bytes of a next request do not end it."""
    return closed.done() and (closed.cancelled() or closed.exception() is not None
                              or not closed.result())


class Worker:
    def __init__(self, info, config, record):
        self.info = info
        self.config = config
        self.record = record
        self.slots = asyncio.Semaphore(info["slots"])
        self.running = 0
        self.waiting = 0
        self.server = None
        self.channels = set()

    async def listen(self):
        host, port = self.info["address"].split(":")
        self.server = await asyncio.start_server(self.serve, host, int(port), limit=1 << 20)

    async def crash(self, seconds):
        self.record("crashed", self)
        self.server.close()
        for writer in list(self.channels):
            writer.transport.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            writer.transport.abort()
        await asyncio.sleep(seconds)
        self.slots = asyncio.Semaphore(self.info["slots"])
        self.running = self.waiting = 0
        await self.listen()
        self.record("back", self)

    def load(self):
        return f"{self.running},{self.waiting},{self.info['slots']}"

    async def serve(self, reader, writer):
        begun = b""
        self.channels.add(writer)
        try:
            while begun is not None:
                begun = await self.serve_one(reader, writer, begun)
        except (OSError, asyncio.IncompleteReadError, ValueError, asyncio.LimitOverrunError):
            pass
        finally:
            self.channels.discard(writer)
            writer.close()

    async def serve_one(self, reader, writer, begun):
        """Serves one request, whose first bytes are begun. Returns those that were read of the next
        one, or None at the end of the channel."""
        head = (begun + await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        lines = head.split("\r\n")
        method, target, _ = lines[0].split(" ", 2)
        headers = {}
        for line in lines[1:]:
            name, colon, value = line.partition(":")
            if colon:
                headers[name.strip().lower()] = value.strip()
        body = await reader.readexactly(int(headers.get("content-length", "0")))
        if method == "GET" and target == "/health":
            return await self.plain(writer, 200, b"", {"Instance-Id": self.info["id"]})
        self.record("arrived", self, method=method, target=target, size=len(body),
                    id=headers.get("request-id"), tenant=headers.get("tenant-id"),
                    expect=headers.get("expect-instance"), after=headers.get("last-event-id"),
                    host=headers.get("host"))
        request_id = headers.get("request-id", "")
        identity = {"Request-Id": request_id}
        if headers.get("expect-instance", self.info["id"]) != self.info["id"]:
            return await self.plain(writer, 421, b"", {**identity, "Not-Executed": "1"})
        if not request_id:
            return await self.plain(writer, 400, b"", {"Not-Executed": "1"})
        if self.waiting >= QUEUE:
            return await self.plain(writer, 503, b"", {**identity, "Not-Executed": "1"})
        closed = asyncio.ensure_future(reader.read(1))
        try:
            is_complete = await self.run(writer, headers, request_id, method, target, closed)
        finally:
            closed.cancel()
            read = (await asyncio.gather(closed, return_exceptions=True))[0]
        if isinstance(read, asyncio.CancelledError):
            read = b""
        elif not isinstance(read, bytes) or not read:
            return None
        return read if is_complete else None

    async def run(self, writer, headers, request_id, method, target, closed):
        self.waiting += 1
        try:
            await self.slots.acquire()
        finally:
            self.waiting -= 1
        self.running += 1
        try:
            self.record("began", self, method=method, target=target, id=request_id,
                        tenant=headers.get("tenant-id"), after=headers.get("last-event-id"))
            if "token-usage" in headers:
                complete = await self.stream(writer, headers, request_id, closed)
            else:
                await asyncio.sleep(self.config["event_ms"] / 1000)
                complete = not is_closed(closed)
                if complete:
                    await self.plain(writer, 200, b"ok", {"Request-Id": request_id})
            self.record("ended" if complete else "dropped", self, id=request_id)
            return complete
        finally:
            self.running -= 1
            self.slots.release()

    async def stream(self, writer, headers, request_id, closed):
        writer.write((f"HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\n"
                      f"Response-Signature: s.{request_id}\r\nServer-Load: {self.load()}\r\n"
                      "Weights-Version: 1\r\nContent-Type: text/event-stream\r\n"
                      "Transfer-Encoding: chunked\r\n\r\n").encode())
        first = int(headers.get("last-event-id", "0")) + 1
        for number in range(first, self.config["events"] + 1):
            await asyncio.sleep(self.config["event_ms"] / 1000)
            if is_closed(closed):
                return False
            event = f"id: {number}\ndata: {request_id}.{number}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True

    async def plain(self, writer, status, body, headers):
        text = f"HTTP/1.1 {status} X\r\nServer-Load: {self.load()}\r\n"
        for name, value in {"Response-Signature": "s", **headers}.items():
            text += f"{name}: {value}\r\n"
        writer.write(f"{text}Content-Length: {len(body)}\r\n\r\n".encode() + body)
        await writer.drain()
        return b""


async def serve_list(config, reader, writer):
    try:
        while True:
            await reader.readuntil(b"\r\n\r\n")
            instances = [{**worker, "state": "ready", "cold-remaining-ms": 0, "stage": "both",
                          "models": [{"name": "m", "version": 1, "adapters": []}]}
                         for worker in config["workers"]]
            body = json.dumps({"instances": instances, "next": None}).encode()
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                         b"Content-Length: %d\r\n\r\n" % len(body) + body)
            await writer.drain()
    except (OSError, asyncio.IncompleteReadError):
        pass
    finally:
        writer.close()


async def main():
    try:
        with open(sys.argv[1], encoding="utf-8") as file:
            config = json.load(file)
        list_host, list_port = config["list"].split(":")
    except (OSError, ValueError, KeyError, IndexError) as error:
        print(f"standins: {error}", file=sys.stderr)
        sys.exit(2)
    log = open(sys.argv[2], "a", buffering=1, encoding="utf-8")

    def record(step, worker, **fields):
        log.write(json.dumps({"t": round(time.monotonic(), 4), "step": step,
                              "worker": worker.info["id"],
                              **{k: v for k, v in fields.items() if v is not None}}) + "\n")

    await asyncio.start_server(lambda r, w: serve_list(config, r, w), list_host, int(list_port))
    workers = {info["id"]: Worker(info, config, record) for info in config["workers"]}
    for worker in workers.values():
        await worker.listen()
    commands = asyncio.StreamReader()
    await asyncio.get_running_loop().connect_read_pipe(
        lambda: asyncio.StreamReaderProtocol(commands), sys.stdin)
    crashes = set()
    while line := await commands.readline():
        _, worker, seconds = line.decode().split()
        crashes.add(asyncio.ensure_future(workers[worker].crash(float(seconds))))


if __name__ == "__main__":
    asyncio.run(main())
