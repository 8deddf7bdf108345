"""All daemons are killed just after the engines of an old software version have left.

Counts what the rule ORDER counts: streams that hold events from engines of two software versions, over
a requester's tries.
"""

import asyncio
import json
import os
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib2"))
from world2 import FRONT, answer, read_body, read_head, run  # noqa: E402

LIMIT_S = 20.0  # The requesters' time limit, and the route's timeout at first.
TIMEOUT_MS = 5_000  # The route's timeout from the second version on.
RETRIES = 3
EVENTS, EVENT_S = 40, 0.1
STREAMS = 24
PAUSE_S, PAUSE_STEP_S = 1.0, 0.5  # The requesters come back 1 to 12.5 s after their streams broke off.
LEAVE_S, KILL_S, DOWN_S = 1.0, 2.0, 0.5

def config(version, timeout_ms):
    return {
        "version": version,
        "routes": [{"name": "r-draft", "host": "a.example", "path-prefix": "/draft/", "kind": "stream",
                    "timeout-ms": timeout_ms, "target-latency-ms": 800, "priority": 1,
                    "service": "drafts", "max-attempts": 2, "resumable": True, "gap-aim-ms": 400}],
        "services": [{"name": "drafts", "health-path": "/health", "max-conns": 370, "protocol": "h1",
                      "tls": False}],
        "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000,
                   "idle-timeout-ms": 15000},
    }


class Engine:
    """A sound engine of one software version, which resumes a stream after `Last-Event-Id`."""

    def __init__(self, world, version, index):
        self.world, self.version, self.name = world, version, f"i-{version}-{index}"
        self.ip = f"{world.net}.{101 + index}"
        self.beating = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, 8080)
        self.beating = self.world.spawn(self.beat())

    async def leave(self):
        """Removes its entry; it goes on serving what it runs."""
        self.beating.cancel()
        await self.world.store.put("keyed.servers", self.name, None)

    async def beat(self):
        seq = 0
        while True:
            entry = {"service": "drafts", "address": f"{self.ip}:8080", "zone": "sala-cordon",
                     "version": self.version, "slots": 64, "state": "ready", "cold-left-ms": 0,
                     "seq": seq, "born": 1700000000000}
            await self.world.store.put("keyed.servers", self.name, json.dumps(entry).encode())
            seq += 1
            await asyncio.sleep(1.2)

    async def serve(self, reader, writer):
        try:
            while (head := await read_head(reader)) is not None:
                _, headers = head
                await read_body(reader, headers)
                rid = headers.get("request-id", "")
                echo = [("Request-Id", rid), ("Instance-Id", self.name)]
                if headers.get("expect-instance", self.name) != self.name:
                    writer.write(answer(421, "Misdirected Request", echo))
                    continue
                last = int(headers.get("last-event-id", 0))
                self.world.record.write(f"engine {self.name} runs {rid} after event {last}")
                lines = [f"{n}: {v}\r\n" for n, v in echo + [("Server-Stamp", f"s.{rid}")]]
                text = ("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                        "Transfer-Encoding: chunked\r\n")
                writer.write((text + "".join(lines) + "\r\n").encode())
                for number in range(last + 1, EVENTS + 1):
                    event = f"id: {number}\ndata: {self.version}\n\n".encode()
                    writer.write(b"%x\r\n%s\r\n" % (len(event), event))
                    await writer.drain()
                    await asyncio.sleep(EVENT_S)
                writer.write(b"0\r\n\r\n")
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


class Requester:
    """Takes its stream up again within its time limit, three times at most."""

    def __init__(self, world, number):
        self.world, self.number = world, number
        self.first, self.last, self.versions, self.end = None, 0, [], "open"
        self.pause = PAUSE_S + PAUSE_STEP_S * number

    async def run(self):
        start = self.world.record.now()
        for attempt in range(1 + RETRIES):
            left = start + LIMIT_S - self.world.record.now()
            await self.attempt(attempt, left)
            if self.end == "whole":
                break
            left = start + LIMIT_S - self.world.record.now()
            await asyncio.sleep(min(self.pause, left))
        self.world.record.write(f"requester {self.number}: {self.end}, events of {self.versions}")

    async def attempt(self, attempt, left):
        rid = f"draft-{self.number:02d}-{attempt}"
        daemon = self.world.daemons[(self.number + attempt) % len(self.world.daemons)]
        resumes = ""
        if self.first is not None:
            resumes = f"Resumes: {self.first}\r\nLast-Event-Id: {self.last}\r\n"
        head = (f"POST /draft/{self.number} HTTP/1.1\r\nHost: a.example\r\nRequest-Id: {rid}\r\n{resumes}"
                f"Deadline-Ms: {int(left * 1000)}\r\nContent-Length: 2\r\n\r\n" "{}")
        writer, self.end = None, "no connection"
        try:
            async with asyncio.timeout(left):
                reader, writer = await asyncio.open_connection(daemon.ip, FRONT)
                writer.write(head.encode())
                got = await read_head(reader)
                self.end = "no answer" if got is None else got[0]
                if got is not None and " 200 " not in got[0]:
                    await read_body(reader, got[1])
                    # Honoured up to one third of the time that is left.
                    self.pause = min(float(got[1].get("retry-after", 1)), left / 3)
                    return
                while got is not None:
                    size = int((await reader.readuntil(b"\r\n")).strip(), 16)
                    part = await reader.readexactly(size + 2)
                    if size == 0:
                        self.end = "whole"
                        return
                    self.on_events(rid, part[:-2].decode())
        except asyncio.TimeoutError:
            self.end = "time limit"
        except (ConnectionError, OSError, asyncio.IncompleteReadError, ValueError):
            self.end = "broken off" if self.first else "no answer"
        finally:
            if writer is not None:
                writer.close()
            self.world.record.write(f"attempt {rid} at {daemon.name}: {self.end}, at event {self.last}")

    def on_events(self, rid, text):
        for line in text.split("\n"):
            if line.startswith("id: "):
                self.first, self.last = self.first or rid, int(line[4:])
            if line.startswith("data: ") and line[6:] not in self.versions:
                self.versions.append(line[6:])


async def case(world, trouble):
    old = [Engine(world, "v1", i) for i in range(2)]
    new = [Engine(world, "v2", 2 + i) for i in range(2)]
    for engine in old:
        await engine.start()
    await world.start(3, config(1, int(LIMIT_S * 1000)))
    await asyncio.sleep(2)
    requesters = [Requester(world, n) for n in range(STREAMS)]
    tasks = [world.spawn(r.run()) for r in requesters]
    await world.store.put("keyed.op", "config", json.dumps(config(2, TIMEOUT_MS)).encode())
    world.record.write(f"version 2 changes the route's timeout to {TIMEOUT_MS} ms")
    for before, after in zip(old, new):
        await asyncio.sleep(LEAVE_S / 4)
        await after.start()
        await asyncio.sleep(LEAVE_S / 4)
        await before.leave()
        world.record.write(f"{after.name} is listed; {before.name} has left, and serves what it runs")
    await asyncio.sleep(KILL_S - LEAVE_S)
    if trouble:
        for daemon in world.daemons:
            daemon.signal(signal.SIGKILL)
        world.record.write("all daemons are killed")
        await asyncio.sleep(DOWN_S)
        for daemon in world.daemons:
            daemon.process.wait()
            daemon.start()
        world.record.write("all daemons start again")
    await asyncio.gather(*tasks)
    mixed = [r.number for r in requesters if len(r.versions) > 1]
    ends = {}
    for requester in requesters:
        ends[requester.end] = ends.get(requester.end, 0) + 1
    world.record.write(f"ends: {ends}; streams with events of two versions: {mixed}")
    if len(mixed) > 2:
        return f"ORDER: {len(mixed)} streams hold events of two software versions (two are allowed)"
    return None


run(FOLDER, case)
