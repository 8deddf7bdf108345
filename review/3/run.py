"""A planner freezes, is stopped by SIGTERM while frozen, and wakes: its release of the lease that it no
longer holds ends the lease of its successor, and a third daemon orders engines beside it."""

import asyncio
import json
import os
import random
import shutil
import signal
import sys

sys.dont_write_bytecode = True

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standin"))
from standins import (BOUNDS, Daemon, Engine, Record, Store, call, free_net, request_id, run,
                      temporary_folder)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ZONES = ["hall-vah", "hall-fatra", "hall-kysuce"]
ROUNDS = 3
FREEZE_S = 4.0
LEASE_MS, STABLE_MS = BOUNDS["lease-ms"], BOUNDS["stable-window-ms"]
ADAPTERS = 24

record = Record(os.path.join(HERE, "record.txt"))
# Times in which a daemon is not in touch, without the window after them.
disturbed = {}


def config():
    models = [{"name": "m0", "weights-mb": 65100.0, "load-s": 9.0, "warm-s": 0.76, "disk-s": 2.0,
               "adapters": ADAPTERS, "adapter-mb": 12.0}]
    route = {"name": "advisory", "host": "a.example", "path-prefix": "/advisory/", "kind": "stream",
             "service": "advisor-llm", "max-attempts": 1, "timeout-ms": 20000,
             "target-latency-ms": 800, "gap-aim-ms": 400, "priority": 1, "sticky": True}
    return {"version": 1, "routes": [route],
            "services": [{"name": "advisor-llm", "max-conns": 360, "health-path": "/health",
                          "engine": {"slots": 64, "models": models, "weights-mb": 220000.0,
                                     "adapter-slots": 4, "loads-per-s": 1.4, "disk-mb": 440000.0,
                                     "host-mb": 150000.0}}],
            "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304,
                       "header-timeout-ms": 3000, "idle-timeout-ms": 15000}}


async def request(daemon):
    rid = request_id()
    adapter = f"a{random.randint(1, ADAPTERS)}"
    head = [("Host", "a.example"), ("Request-Id", rid), ("Model", f"m0/{adapter}"),
            ("Token-Count", "300,10"), ("Prompt-Prefix", f"5c1e07a2:200,{rid[:8]}:100"),
            ("Deadline-Ms", "5000")]
    record.add("send", id=rid, daemon=daemon.name, adapter=adapter)
    try:
        answer = await asyncio.wait_for(call(daemon.ip, 8149, "POST", "/advisory/x", head, b"x"), 5)
        record.add("answer", id=rid, status=answer[0])
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError) as error:
        record.add("answer", id=rid, status="none", reason=type(error).__name__)


async def requests(daemons, ready):
    while True:
        choice = [d for d in daemons if ready.get(d.name)]
        if choice:
            asyncio.ensure_future(request(random.choice(choice)))
        await asyncio.sleep(0.05)


async def watch_ready(daemons, ready):
    """The balancer's question, once a second to each daemon."""
    misses = {d.name: 2 for d in daemons}

    async def ask(daemon):
        misses[daemon.name] = 0 if await daemon.is_ready() else misses[daemon.name] + 1
        ready[daemon.name] = misses[daemon.name] < 2

    while True:
        await asyncio.gather(*(ask(d) for d in daemons), asyncio.sleep(1))


def last_holder(engines, daemons):
    orders = [o for e in engines for o in e.orders if o[3] in (200, 202)]
    if not orders:
        return None
    name = max(orders)[1].split("/")[0]
    return next(d for d in daemons if d.name == name)


async def wait_for(condition, limit):
    end = record.now() + limit
    while record.now() < end:
        if condition():
            return True
        await asyncio.sleep(0.1)
    return False


async def trouble(daemons, engines, ready):
    holder = last_holder(engines, daemons)
    if not TROUBLE:
        await asyncio.sleep(FREEZE_S + 6)
        return
    begin = record.now()
    holder.signal(signal.SIGSTOP)
    await asyncio.sleep(FREEZE_S - 0.5)
    holder.signal(signal.SIGTERM)
    await asyncio.sleep(0.5)
    holder.signal(signal.SIGCONT)
    record.add("thawed", daemon=holder.name)
    await asyncio.sleep(6)
    # The platform kills after grace-s, and starts again what has ended.
    await wait_for(lambda: holder.process.poll() is not None, 4)
    holder.end()
    holder.start()
    disturbed.setdefault(holder.name, []).append((begin, record.now()))
    await wait_for(lambda: ready.get(holder.name), 10)


def in_touch(name, at):
    spans = disturbed.get(name, [])
    return all(not (begin <= at <= end + STABLE_MS / 1000) for begin, end in spans)


def judge(engines):
    """Orders of two holders in a row to one engine within lease-ms. Engines check fences here, so only
    holders in touch count."""
    pairs = []
    for engine in engines:
        counted = [o for o in engine.orders if in_touch(o[1].split("/")[0], o[0])]
        for before, after in zip(counted, counted[1:]):
            names = before[1].split("/")[0], after[1].split("/")[0]
            gap = (after[0] - before[0]) * 1000
            # The first holder must still be in touch when the second one orders: the successor of a
            # planner that froze may order at once.
            if names[0] != names[1] and gap < LEASE_MS and in_touch(names[0], after[0]):
                pairs.append((after[0], engine.name, *names, before[2], after[2], round(gap)))
    return sorted(pairs)


def turns_back(broken):
    """ONE: how often holders took turns, the first one ordering again after the second, at one engine and
    with less than lease-ms between each two orders."""
    count = 0
    for engine in {b[1] for b in broken}:
        pairs = [b for b in broken if b[1] == engine]
        count += sum(1 for a, b in zip(pairs, pairs[1:])
                     if a[2:4] == b[3:1:-1] and (b[0] - a[0]) * 1000 < LEASE_MS)
    return count


async def main():
    folder = temporary_folder()
    net = free_net()
    store = Store(record)
    await store.listen("127.0.0.1")
    engines = [Engine(record, store, f"i-{n:08x}", "advisor-llm", ZONES[n % 3], ["m0"],
                      adapter_slots=4) for n in range(3)]
    for engine in engines:
        await engine.listen("127.0.0.1")
    store.put("keyed.op", "config", json.dumps(config()).encode())
    beats = [asyncio.ensure_future(e.beat()) for e in engines]
    seeds = [f"{net}.{n + 1}" for n in range(3)]
    daemons = [Daemon(record, folder, f"front-{ZONES[n % 3]}-{n // 3 + 1}", f"{net}.{n + 1}",
                      ZONES[n % 3], ZONES, store.address, seeds, BOUNDS) for n in range(6)]
    try:
        for daemon in daemons:
            daemon.start()
        ready = {}
        watch = asyncio.ensure_future(watch_ready(daemons, ready))
        if not await wait_for(lambda: all(ready.get(d.name) for d in daemons), 20):
            return 2
        load = asyncio.ensure_future(requests(daemons, ready))
        await asyncio.sleep(8)
        if last_holder(engines, daemons) is None:
            return 2
        for _ in range(ROUNDS):
            await trouble(daemons, engines, ready)
            await asyncio.sleep(6)
        for task in [watch, load, *beats]:
            task.cancel()
        broken = judge(engines)
        for at, engine, first, second, fence, next_fence, gap in broken:
            record.add("pair", rule="ONE", at=f"{at:.3f}", engine=engine, first=first, second=second,
                       fences=f"{fence},{next_fence}", gap_ms=gap)
        back = turns_back(broken)
        record.add("result", rule="ONE", pairs=len(broken), turns=back)
        print(f"orders={sum(len(e.orders) for e in engines)} pairs={len(broken)} turns={back}")
        return 1 if back else 0
    finally:
        for daemon in daemons:
            daemon.end()
        if os.environ.get("KEEP"):
            print(folder)
        else:
            shutil.rmtree(folder, ignore_errors=True)


run(main)
