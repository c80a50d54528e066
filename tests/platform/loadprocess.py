"""Sends streams and short requests to entries and prints the outcome of each.

Usage: loadprocess.py SETTINGS, a JSON object with
    hosts       addresses of the entries
    port        their port for callers
    headers     headers of all requests
    prefix      begin of the request ids
    streams     number of streams of each entry
    stream_path, short_path
    events      number of events of a whole response
    begin       time of the monotonic clock from which on requests are sent
    spread_s    time within which the streams begin
    short_s     time for which short requests are sent
    period_s    time between two short requests to an entry
    timeout_s   time after which a request is given up
    seed        seed of the times at which requests are sent

Prints a JSON array for each request: kind, id, time of its begin, time of its end, status or error,
number of events, whether the response is whole, the longest gap between two parts in seconds, and
the text of a response with another status than 200.
"""

import asyncio
import json
import random
import sys
import time


class Response:
    """Reads a response of events and keeps what is known when it breaks off."""

    def __init__(self):
        self.status = None
        self.is_complete = False
        self.body = bytearray()
        self.last_arrival = None
        self.longest_gap = 0.0

    def add(self, part):
        now = time.monotonic()
        if self.last_arrival is not None:
            self.longest_gap = max(self.longest_gap, now - self.last_arrival)
        self.last_arrival = now
        self.body += part

    async def read(self, reader):
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        self.status = int(head[0].split(" ")[1])
        headers = {name.lower(): value.strip()
                   for name, value in (line.split(":", 1) for line in head[1:] if ":" in line)}
        if "content-length" in headers:
            self.add(await reader.readexactly(int(headers["content-length"])))
        else:
            while size := int(await reader.readline() or b"truncated", 16):
                self.add((await reader.readexactly(size + 2))[:-2])
            await reader.readline()
        self.is_complete = True


def whole_body(events):
    return b"".join(b"id: %d\ndata: d%d\n\n" % (n, n) for n in range(1, events + 1))


async def exchange(settings, host, request_id, path, response):
    reader, writer = await asyncio.open_connection(host, settings["port"])
    try:
        body = b"question " + request_id.encode()
        headers = {**settings["headers"], "Request-Id": request_id,
                   "Content-Length": str(len(body))}
        head = f"POST {path} HTTP/1.1\r\n" + "".join(
            f"{name}: {value}\r\n" for name, value in headers.items()) + "\r\n"
        writer.write(head.encode() + body)
        await response.read(reader)
    finally:
        writer.close()


async def send(settings, kind, host, number, delay):
    await asyncio.sleep(delay)
    request_id = f"{settings['prefix']}-{host}-{kind}-{number}"
    response = Response()
    begin = time.monotonic()
    error = None
    try:
        await asyncio.wait_for(
            exchange(settings, host, request_id, settings[f"{kind}_path"], response),
            settings["timeout_s"])
    except (OSError, ValueError, EOFError, asyncio.TimeoutError) as failure:
        error = type(failure).__name__
    is_whole = error is None and response.status == 200 \
        and bytes(response.body) == whole_body(settings["events"])
    outcome = response.status if error is None or response.status is not None else error
    text = "" if outcome == 200 else response.body.decode("latin-1")
    print(json.dumps([kind, request_id, begin, time.monotonic(), outcome,
                      response.body.count(b"\n\n"), is_whole, response.longest_gap, text]))


async def main(settings):
    draw = random.Random(settings["seed"])
    await asyncio.sleep(max(settings["begin"] - time.monotonic(), 0))
    count = int(settings["short_s"] / settings["period_s"])
    sends = []
    for host in settings["hosts"]:
        sends += [send(settings, "stream", host, n, draw.uniform(0, settings["spread_s"]))
                  for n in range(settings["streams"])]
        phase = draw.uniform(0, settings["period_s"])
        sends += [send(settings, "short", host, n, phase + n * settings["period_s"])
                  for n in range(count)]
    await asyncio.gather(*sends)


if __name__ == "__main__":
    asyncio.run(main(json.loads(sys.argv[1])))
