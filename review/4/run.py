"""A part of prompts crashes engines after a pause in the traffic: the first part, which sound requests
share, is blamed as well, and sound requests are refused from then on."""

import asyncio
import json
import os
import random
import shutil
import sys

sys.dont_write_bytecode = True

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standin"))
from standins import (BOUNDS, Daemon, Engine, Record, Store, call, free_net, request_id, temporary_folder)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ZONES = ["hall-vah", "hall-fatra", "hall-kysuce"]
PAUSE_S = 62
RESTART_S = 4
FIRST, FATAL = "5c1e07a2", "fa7a1d0e"
STABLE_S = BOUNDS["stable-window-ms"] / 1000

record = Record(os.path.join(HERE, "record.txt"))
# (time, whether an answer began) of sound requests.
sound = []


def config():
    models = [{"name": "m0", "weights-mb": 65100.0, "load-s": 9.0, "warm-s": 0.76, "disk-s": 2.0,
               "adapters": 0, "adapter-mb": 12.0}]
    route = {"name": "advisory", "host": "a.example", "path-prefix": "/advisory/", "kind": "stream",
             "service": "advisor-llm", "max-attempts": 1, "timeout-ms": 5000, "resumable": False,
             "target-latency-ms": 800, "gap-aim-ms": 400, "priority": 1, "sticky": True}
    return {"version": 1, "routes": [route],
            "services": [{"name": "advisor-llm", "max-conns": 360, "health-path": "/health",
                          "engine": {"slots": 64, "models": models, "weights-mb": 220000.0,
                                     "adapter-slots": 8, "loads-per-s": 1.4, "disk-mb": 440000.0,
                                     "host-mb": 150000.0}}],
            "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304,
                       "header-timeout-ms": 3000, "idle-timeout-ms": 15000}}


async def request(daemon, fatal):
    rid = request_id()
    parts = f"{FIRST}:200," + (f"{FATAL}:100," if fatal else "") + f"{rid[:8]}:50"
    head = [("Host", "a.example"), ("Request-Id", rid), ("Model", "m0"), ("Token-Count", "350,10"),
            ("Prompt-Prefix", parts), ("Deadline-Ms", "5000")]
    kind, at = ("fatal" if fatal else "sound"), record.now()
    record.add("send", id=rid, kind=kind, daemon=daemon.name)
    begun = False
    try:
        status, _, _ = await asyncio.wait_for(
            call(daemon.ip, 8149, "POST", "/advisory/x", head, rid.encode()), 6)
        begun = status == 200
        record.add("answer", id=rid, kind=kind, status=status)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError) as error:
        record.add("answer", id=rid, kind=kind, status="none", reason=type(error).__name__)
    if not fatal:
        sound.append((at, begun))


async def main():
    folder = temporary_folder()
    net = free_net()
    store = Store(record)
    await store.listen("127.0.0.1")
    store.put("keyed.op", "config", json.dumps(config()).encode())
    engines = [Engine(record, store, f"i-{n:08x}", "advisor-llm", ZONES[n % 3], ["m0"], slots=64)
               for n in range(9)]
    for engine in engines:
        engine.fatal = FATAL
        await engine.listen("127.0.0.1")
    beats = [asyncio.ensure_future(e.beat()) for e in engines]
    seeds = [f"{net}.{n + 1}" for n in range(3)]
    daemons = [Daemon(record, folder, f"front-{ZONES[n % 3]}-1", f"{net}.{n + 1}", ZONES[n % 3], ZONES,
                      store.address, seeds, BOUNDS) for n in range(3)]

    async def supervise():
        """Engines that crashed are back after some seconds."""
        down = {}
        while True:
            for engine in engines:
                if not engine.server.is_serving():
                    since = down.setdefault(engine.name, record.now())
                    if record.now() - since >= RESTART_S:
                        del down[engine.name]
                        await engine.restart()
            await asyncio.sleep(0.1)

    watch = asyncio.ensure_future(supervise())
    try:
        for daemon in daemons:
            daemon.start()
        end = record.now() + 20
        while not all([await d.is_ready() for d in daemons]):
            if record.now() > end:
                return 2
            await asyncio.sleep(0.2)
        await asyncio.sleep(STABLE_S + 1)
        tasks = []

        async def send(seconds, every, fatal):
            for _ in range(int(seconds / every)):
                tasks.append(asyncio.ensure_future(request(random.choice(daemons), fatal)))
                await asyncio.sleep(every)

        await send(6, 0.2, False)
        await asyncio.sleep(PAUSE_S)
        # The first requests with the part, then some more all the while.
        fatal_until = 8 + 2 * STABLE_S
        trouble = asyncio.ensure_future(send(fatal_until + 8, 0.5, True)) if TROUBLE else None
        await asyncio.sleep(8)
        last = max([t for e in engines for t in e.crashes], default=record.now())
        while record.now() < last + 2 * STABLE_S:
            await asyncio.sleep(0.1)
            last = max([t for e in engines for t in e.crashes], default=last)
        begin = record.now()
        await send(6, 0.2, False)
        if trouble:
            await trouble
        await asyncio.gather(*tasks)
        for task in [*beats, watch]:
            task.cancel()
        before = [b for t, b in sound if t < begin - 1]
        after = [b for t, b in sound if t >= begin]
        share = [sum(group) / max(len(group), 1) for group in (before, after)]
        crashes = sum(len(e.crashes) for e in engines)
        record.add("result", rule="LOST", crashes=crashes, before=len(before), before_begun=share[0],
                   after=len(after), after_begun=share[1])
        print(f"crashes={crashes} before={share[0]:.2f} of {len(before)} after={share[1]:.2f} of {len(after)}")
        if len(before) < 20 or len(after) < 20 or share[0] == 0:
            return 2
        return 1 if share[1] < share[0] / 2 else 0
    finally:
        for daemon in daemons:
            daemon.end()
        if os.environ.get("KEEP"):
            print(folder)
        else:
            shutil.rmtree(folder, ignore_errors=True)


sys.exit(asyncio.run(main()))
