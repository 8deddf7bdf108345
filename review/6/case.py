"""The platform's store is away for 4.5 s, entries lapse meanwhile, and their engines list them again.

Counts what the rule CONFIG counts: how often requests on routes that were added later are served in
steady state, against those on the first routes.
"""

import asyncio
import json
import os
import random
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib2"))
from world2 import FRONT, answer, read_body, read_head, request, run  # noqa: E402

BEAT_S = 1.2
LAPSE_S = 3 * BEAT_S  # An entry lapses after three intervals of silence.
AWAY_S = 4.5
# When the engines of a service write again after the store's return, within their interval of 1.2 s.
BACK_S = {"first": 0.02, "later-1": 0.6, "later-2": 0.6, "later-3": 0.6}
STEADY_S = 8.0  # After the return: catch-up-s, stable-window-ms and config-apply-ms have passed.
LENGTH_S = 20.0  # Of the steady state that is counted.


def config(version, services):
    routes = [
        {"name": f"r-{s}", "host": "a.example", "path-prefix": f"/{s}/", "kind": "safe",
         "timeout-ms": 2000, "target-latency-ms": 300, "priority": 1, "service": s, "max-attempts": 2}
        for s in services
    ]
    listed = [{"name": s, "health-path": "/health", "max-conns": 110, "protocol": "h1", "tls": False}
              for s in BACK_S]
    limits = {"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000,
              "idle-timeout-ms": 15000}
    return {"version": version, "routes": routes, "services": listed, "limits": limits}


class Engine:
    """A sound engine of a plain service."""

    def __init__(self, world, service, index):
        self.world, self.service, self.name = world, service, f"i-{service}-{index}"
        self.ip, self.port = f"{world.net}.{101 + index}", 8080 + list(BACK_S).index(service)
        self.seq, self.runs = 0, 0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, self.port)
        await self.write()

    async def write(self):
        self.seq += 1
        entry = {"service": self.service, "address": f"{self.ip}:{self.port}", "zone": "sala-cordon",
                 "version": "v1", "slots": 6, "state": "ready", "cold-left-ms": 0, "seq": self.seq,
                 "born": 1700000000000}
        await self.world.store.put("keyed.servers", self.name, json.dumps(entry).encode())

    async def serve(self, reader, writer):
        try:
            while (head := await read_head(reader)) is not None:
                _, headers = head
                await read_body(reader, headers)
                rid = headers.get("request-id", "")
                echo = [("Request-Id", rid), ("Instance-Id", self.name)]
                if headers.get("expect-instance", self.name) != self.name:
                    writer.write(answer(421, "Misdirected Request", echo))
                else:
                    self.runs += 1
                    await asyncio.sleep(0.02)
                    writer.write(answer(200, "OK", echo + [("Server-Stamp", f"s.{rid}")], b"x" * 800))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


async def beats(engines, phase):
    """The regular writes of the engines of a service, from `phase` seconds on."""
    await asyncio.sleep(phase)
    while True:
        for engine in engines:
            await engine.write()
        await asyncio.sleep(BEAT_S)


async def ask(world, service, number, counts):
    daemon = world.daemons[number % len(world.daemons)]
    rid = f"{service}-{number:05x}"
    headers = [("Host", "a.example"), ("Request-Id", rid), ("Deadline-Ms", "4000")]
    reply = await request((daemon.ip, FRONT), "GET", f"/{service}/{rid}", headers, limit=4.0)
    served, total = counts.setdefault((service, daemon.name), [0, 0])
    counts[(service, daemon.name)] = [served + (reply.status == 200), total + 1]
    if reply.status != 200:
        text = reply.body.decode("latin-1")[:60]
        world.record.write(f"request {rid} at {daemon.name}: {reply.status} {reply.why} {text}")


async def load(world, services, seconds, counts):
    """Twelve requests a second for each service, over all daemons by turns."""
    asked = []
    end = world.record.now() + seconds
    number = random.randrange(1 << 16)
    while world.record.now() < end:
        for service in services:
            asked.append(world.spawn(ask(world, service, number, counts)))
        number += 1
        await asyncio.sleep(1 / 12)
    await asyncio.gather(*asked)


async def case(world, trouble):
    engines = {s: [Engine(world, s, i) for i in range(3)] for s in BACK_S}
    for group in engines.values():
        for engine in group:
            await engine.start()
    writers = {s: world.spawn(beats(g, 0.3)) for s, g in engines.items()}
    await world.start(6, config(1, ["first"]))
    await asyncio.sleep(3)
    before = {}
    await load(world, ["first"], 3.0, before)
    world.record.write(f"before: served {before}")
    if trouble:
        for writer in writers.values():
            writer.cancel()
        for group in engines.values():
            for engine in group:
                await engine.write()
        world.store.away(True)
        world.record.write("the store is away and resets its channels")
        await asyncio.sleep(LAPSE_S)
        for group in engines.values():
            for engine in group:
                world.store.log("keyed.servers").append((engine.name, b""))
        world.record.write("all entries have lapsed")
        await asyncio.sleep(AWAY_S - LAPSE_S)
        world.store.away(False)
        world.record.write("the store is back")
        for service, group in engines.items():
            world.spawn(beats(group, BACK_S[service]))
    # The operator has tried meanwhile, so that its version is accepted at once.
    await asyncio.sleep(0.02)
    await world.store.put("keyed.op", "config", json.dumps(config(2, list(BACK_S))).encode())
    world.record.write("version 2 adds routes to the services later-1 to later-3")
    await asyncio.sleep(STEADY_S)
    listed = world.store.newest("keyed.servers")
    world.record.write(f"the store lists {len(listed)} engines of {3 * len(BACK_S)}")
    ready = [await d.ready() for d in world.daemons]
    world.record.write(f"ready: {ready}")
    counts = {}
    await load(world, list(BACK_S), LENGTH_S, counts)
    for key, (served, total) in sorted(counts.items()):
        world.record.write(f"steady state: {key[0]} at {key[1]}: {served} of {total} served")

    def share(names):
        rows = [v for (s, _), v in counts.items() if s in names]
        return sum(r[0] for r in rows), sum(r[1] for r in rows)

    first, later = share(["first"]), share([s for s in BACK_S if s != "first"])
    world.record.write(f"first routes: {first[0]} of {first[1]}; added routes: {later[0]} of {later[1]}")
    if later[1] >= 20 and 4 * later[0] / later[1] < first[0] / first[1]:
        return f"CONFIG: added routes {later[0]} of {later[1]}, first routes {first[0]} of {first[1]}"
    return None


run(FOLDER, case)
