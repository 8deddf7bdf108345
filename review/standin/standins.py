"""Stand-ins of the platform: store, engines, callers and the daemons' processes.

Python 3's standard library only. Everything listens on loopback addresses. The behaviour is that of
the users' pages (PROTOCOL.md, DEPLOY.md); what a page leaves open, a stand-in does as a sound server
would.
"""

import asyncio
import base64
import json
import os
import random
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
DAEMON = os.path.join(ROOT, "target", "release", "shalelined")
REASONS = {200: "OK", 202: "Accepted", 400: "Bad Request", 404: "Not Found", 409: "Conflict",
           410: "Gone", 412: "Precondition Failed", 421: "Misdirected Request",
           500: "Internal Server Error", 503: "Service Unavailable"}


def stop(_number, _frame):
    sys.exit(2)


# A script that is stopped from outside still ends what it started.
signal.signal(signal.SIGTERM, stop)


BROKEN = 10


def run(main):
    """Ends with `BROKEN` if the rule was broken, 0 if it held, and anything else if the case could not
    run: an error in a script ends Python with 1, which must not look like a broken rule."""
    sys.exit({0: 0, 1: BROKEN}.get(asyncio.run(main()), 2))


class Record:
    """Writes what was sent, answered and run, one line each, with the time in seconds."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.started = time.monotonic()

    def now(self):
        return time.monotonic() - self.started

    def add(self, what, **fields):
        text = " ".join(f"{k}={v}" for k, v in fields.items())
        self.file.write(f"{self.now():9.3f} {what} {text}\n")
        self.file.flush()


class Request:
    def __init__(self, method, target, headers, body):
        self.method, self.target, self.headers, self.body = method, target, headers, body
        path, _, query = target.partition("?")
        self.path = path
        self.query = dict(p.partition("=")[::2] for p in query.split("&") if p)


async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_chunks(reader):
    out = b""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        out += (await reader.readexactly(size + 2))[:size]
        if size == 0:
            return out


async def read_request(reader):
    first, headers = await read_head(reader)
    method, target, _ = first.split(" ")
    if "chunked" in headers.get("transfer-encoding", ""):
        body = await read_chunks(reader)
    else:
        body = await reader.readexactly(int(headers.get("content-length", 0)))
    return Request(method, target, headers, body)


def response(status, headers=(), body=b""):
    if isinstance(body, str):
        body = body.encode()
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"]
    lines += [f"{k}: {v}" for k, v in headers]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Server:
    """Serves HTTP/1.1 with kept connections; `respond` writes the answer."""

    async def listen(self, host, port=0):
        self.server = await asyncio.start_server(self.connection, host, port, limit=1 << 20)
        self.address = self.server.sockets[0].getsockname()[:2]

    async def connection(self, reader, writer):
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.open(writer)
        try:
            while True:
                request = await read_request(reader)
                if not await self.respond(request, writer):
                    break
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError, OSError):
            pass
        finally:
            self.closed(writer)
            writer.close()

    def open(self, writer):
        pass

    def closed(self, writer):
        pass


class Store(Server):
    """The platform's store: topics of keyed records."""

    def __init__(self, record, answer_s=0.004):
        self.topics, self.record, self.answer_s = {}, record, answer_s
        self.changed = asyncio.Event()

    def put(self, topic, key, value):
        self.topics.setdefault(topic, []).append((key, value))
        self.changed.set()
        self.changed = asyncio.Event()
        return len(self.topics[topic]) - 1

    async def respond(self, request, writer):
        await asyncio.sleep(self.answer_s)
        era = [("Store-Era", 1)]
        query, topic = request.query, request.query.get("topic", "")
        records = self.topics.get(topic)
        if request.path == "/shaleline/log-append":
            body = request.body
            key = body[5:5 + body[4]].decode()
            end = len(records or [])
            if "end-offset" in query and int(query["end-offset"]) != end:
                status, answer = 412, {"end": end}
            else:
                offset = self.put(topic, key, body[5 + body[4]:])
                status, answer = 200, {"offset": offset, "end": offset + 1}
            if topic == "keyed.planner":
                self.record.add("append", topic=topic, condition=query.get("end-offset", "none"),
                                status=status, value=body[5 + body[4]:].decode("utf-8", "replace"))
            writer.write(response(status, era, json.dumps(answer)))
        elif request.path == "/shaleline/log-newest":
            if records is None:
                writer.write(response(404, era, b""))
                return True
            newest = {}
            for offset, (key, value) in enumerate(records):
                newest[key] = (offset, value)
            items = [{"key": k, "value": base64.b64encode(v).decode(), "offset": o}
                     for k, (o, v) in sorted(newest.items()) if v]
            answer = {"items": items, "has-more": False, "end": len(records)}
            writer.write(response(200, era, json.dumps(answer)))
        elif request.path == "/shaleline/log-read":
            start, wait = int(query["from"]), float(query.get("wait-ms", 0)) / 1000
            limit = time.monotonic() + wait
            while len(self.topics.get(topic, [])) <= start and time.monotonic() < limit:
                try:
                    await asyncio.wait_for(self.changed.wait(), limit - time.monotonic())
                except asyncio.TimeoutError:
                    break
            records = self.topics.get(topic, [])
            out = struct.pack(">QQ", len(records), 0)
            for key, value in records[start:]:
                name = key.encode()
                out += struct.pack(">IB", 1 + len(name) + len(value), len(name)) + name + value
            writer.write(response(200 if start <= len(records) else 410, era, out))
        else:
            writer.write(response(404, era, b""))
        return True


class Engine(Server):
    """A model engine that checks fences, holds models and adapters, and streams events."""

    def __init__(self, record, store, name, service, zone, models, adapter_slots=8, room=2,
                 slots=16, events=5, pause_s=0.03, framing="chunks"):
        self.record, self.store, self.name = record, store, name
        self.service, self.zone, self.slots = service, zone, slots
        self.models = {m: set() for m in models} if models is not None else None
        self.adapter_slots, self.room = adapter_slots, room
        self.events, self.pause_s, self.framing = events, pause_s, framing
        self.state, self.notice = "ready", {}
        self.seq = self.fence = self.running = self.beats = 0
        self.busy = False
        self.born = int(time.time() * 1000)
        self.orders = []
        self.fatal, self.writers, self.crashes = None, set(), []

    def crash(self, cause):
        """Ends as a process that crashes: its channels close, and nothing listens at its address."""
        self.crashes.append(self.record.now())
        self.record.add("crash", engine=self.name, cause=cause)
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def restart(self):
        """Starts again under its id, at its address, and knows nothing of before."""
        self.seq = self.fence = self.running = 0
        self.busy, self.models = False, {}
        self.born = int(time.time() * 1000)
        await self.listen(*self.address)
        self.record.add("restart", engine=self.name)
        self.store.put("keyed.servers", self.name, self.entry())

    def held(self):
        return [{"name": m, "version": 1, "adapters": sorted(a)} for m, a in self.models.items()]

    def entry(self):
        self.beats += 1
        entry = {"service": self.service, "address": "%s:%d" % self.address, "zone": self.zone,
                 "version": "1", "slots": self.slots, "state": self.state, "cold-left-ms": 0,
                 "seq": self.beats, "born": self.born, **self.notice}
        if self.models is not None:
            entry.update({"stage": "colocated", "models": self.held(),
                          "at-hand": {"in-memory": [], "on-disk": sorted(self.models)}})
        return json.dumps(entry).encode()

    def open(self, writer):
        self.writers.add(writer)

    def closed(self, writer):
        self.writers.discard(writer)

    async def beat(self, every_s=1.2):
        while True:
            if self.server.is_serving():
                self.store.put("keyed.servers", self.name, self.entry())
            await asyncio.sleep(every_s)

    async def respond(self, request, writer):
        expected = request.headers.get("expect-instance")
        if expected not in (None, self.name):
            head = [("Not-Executed", 1), ("Instance-Id", self.name)]
            writer.write(response(421, head))
        elif request.path == "/shaleline/report":
            report = {"born": self.born, "stage": "colocated", "models": self.held(),
                      "at-hand": {"in-memory": [], "on-disk": sorted(self.models)},
                      "busy": self.busy, "seq": self.seq, "running": self.running, "waiting": 0,
                      "kv-used": 0, "kv-total": 100000, "handles": 0}
            writer.write(response(200, [("Content-Type", "application/json")], json.dumps(report)))
        elif request.path == "/shaleline/order":
            writer.write(response(self.order(json.loads(request.body))))
        else:
            return await self.run(request, writer)
        return True

    def order(self, body):
        holder, fence = body.get("holder"), body.get("fence-token")
        status = 400 if not holder or fence is None else self.apply(body, fence)
        if status in (200, 202):
            self.seq += 1
        at = self.record.now()
        self.orders.append((at, holder, fence, status))
        self.record.add("order", engine=self.name, op=body.get("op"), model=body.get("model"),
                        adapter=body.get("adapter"), precondition=body.get("precondition"),
                        holder=holder, fence=fence, status=status)
        return status

    def apply(self, body, fence):
        if fence < self.fence:
            return 412
        self.fence = fence
        if self.busy or body.get("precondition", self.seq) != self.seq:
            return 409
        model, adapter = body["model"], body.get("adapter")
        if body["op"] == "load" and adapter is None:
            if model in self.models:
                return 200
            if len(self.models) >= self.room:
                return 400
            self.busy = True
            asyncio.get_running_loop().call_later(0.5, self.loaded, model)
            return 202
        if body["op"] == "load":
            adapters = self.models.get(model)
            if adapters is None or sum(map(len, self.models.values())) >= self.adapter_slots:
                return 400
            if adapter in adapters:
                return 200
            adapters.add(adapter)
            return 202
        if adapter is None:
            return 202 if self.models.pop(model, None) is not None else 200
        self.models.get(model, set()).discard(adapter)
        return 200

    def loaded(self, model):
        self.busy = False
        self.models[model] = set()

    def holds(self, wanted):
        model, _, adapter = wanted.partition("/")
        return model in self.models and (not adapter or adapter in self.models[model])

    async def run(self, request, writer):
        rid = request.headers.get("request-id", "")
        head = [("Request-Id", rid)]
        if self.models is not None and not self.holds(request.headers.get("model", "")):
            writer.write(response(421, head + [("Not-Executed", 1)]))
            return True
        if self.running >= 2 * self.slots:
            writer.write(response(503, head + [("Not-Executed", 1)]))
            return True
        self.running += 1
        self.record.add("run", engine=self.name, id=rid, path=request.path)
        try:
            return await self.serve(request, writer, head + [("Server-Stamp", self.name + "." + rid)])
        finally:
            self.running -= 1

    def is_fatal(self, request):
        """Whether a part of the prompt, not the last, crashes the engine that begins its answer."""
        parts = request.headers.get("prompt-prefix", "").split(",")[:-1]
        return self.fatal is not None and any(p.split(":")[0] == self.fatal for p in parts)

    async def serve(self, request, writer, head):
        if self.models is None:
            await asyncio.sleep(self.pause_s)
            writer.write(response(200, head, "answer to " + request.headers.get("request-id", "")))
            return True
        # An answer without length or chunks ends with its channel.
        chunked = self.framing == "chunks"
        if self.state != "ready":
            head = head + [("Server-Leaving", 1)]
        head = head + [("Transfer-Encoding", "chunked") if chunked else ("Connection", "close")]
        lines = "".join(f"{k}: {v}\r\n" for k, v in head)
        if self.is_fatal(request):
            await asyncio.sleep(self.pause_s)
            if self.server.is_serving():
                self.crash(self.fatal)
            return False
        writer.write(f"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n{lines}\r\n".encode())
        for number in range(1, self.events + 1):
            await asyncio.sleep(self.pause_s)
            event = f"id: {number}\ndata: {request.headers.get('request-id', '')}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event) if chunked else event)
            await writer.drain()
        self.record.add("whole", engine=self.name, id=request.headers.get("request-id"))
        if chunked:
            writer.write(b"0\r\n\r\n")
        return chunked


class Daemon:
    """One process of the deploy file's role, with a settings file like the platform's."""

    def __init__(self, record, folder, name, ip, zone, zones, store, seeds, bounds):
        self.record, self.name, self.ip, self.zone = record, name, ip, zone
        self.path = os.path.join(folder, name + ".conf")
        self.log = os.path.join(folder, name + ".log")
        self.zones, self.store, self.seeds, self.bounds = zones, store, seeds, bounds
        self.process = None
        self.first = True

    def settings(self):
        lines = {"node-name": self.name, "role": "entry", "machine-class": "front",
                 "serves": "front,control", "ip": self.ip, "zone": self.zone, "region": "r1",
                 "listen.front": f"{self.ip}:8149", "listen.ready": f"{self.ip}:8141",
                 "listen.control": f"{self.ip}:8144", "inner-ports": "7380,7395",
                 "seeds": ",".join(f"{s}:8144" for s in self.seeds),
                 "bootstrap": "true" if self.first else "false",
                 "limits.cpu-share": 0.25, "limits.link-mbps": 1000.0, "limits.memory-mb": 260,
                 "beat-interval-ms": 1200, "platform.address": "%s:%d" % self.store,
                 "platform.form": "log"}
        lines.update({f"zones.{z}": "r1" for z in self.zones})
        lines.update({f"bounds.{k}": v for k, v in self.bounds.items()})
        return "".join(f"{k}={v}\n" for k, v in lines.items())

    def start(self):
        with open(self.path, "w") as file:
            file.write(self.settings())
        self.first = False
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env["SHALELINE_NODE_FILE"] = self.path
        log = open(self.log, "a")
        self.process = subprocess.Popen([DAEMON], cwd=ROOT, env=env, stdout=log, stderr=log,
                                        stdin=subprocess.DEVNULL)
        log.close()
        self.record.add("start", daemon=self.name, ip=self.ip, zone=self.zone)

    def signal(self, number):
        if self.process and self.process.poll() is None:
            self.process.send_signal(number)
            self.record.add("signal", daemon=self.name, signal=signal.Signals(number).name)

    def end(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()

    async def is_ready(self):
        try:
            status, _, _ = await asyncio.wait_for(call(self.ip, 8141, "GET", "/shaleline/ready"), 1)
            return status == 200
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
            return False


async def call(host, port, method, path, headers=(), body=b""):
    """Sends one request on a connection of its own; returns status, headers and body. A body that
    breaks off raises IncompleteReadError."""
    reader, writer = await asyncio.open_connection(host, port)
    try:
        lines = [f"{method} {path} HTTP/1.1", f"Host: {host}"] if not any(
            k.lower() == "host" for k, _ in headers) else [f"{method} {path} HTTP/1.1"]
        lines += [f"{k}: {v}" for k, v in headers]
        if body or method != "GET":
            lines.append(f"Content-Length: {len(body)}")
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        first, head = await read_head(reader)
        status = int(first.split(" ")[1])
        if "chunked" in head.get("transfer-encoding", ""):
            out = await read_chunks(reader)
        elif "content-length" in head:
            out = await reader.readexactly(int(head["content-length"]))
        else:
            out = await reader.read()
        return status, head, out
    finally:
        writer.close()


BOUNDS = {"seed-lag-s": 3, "reuse-after-s": 2, "stable-window-ms": 3000, "ack-ms": 4000,
          "catch-up-s": 4, "drain-ms": 2000, "grace-s": 8, "loss-slack-ms": 200,
          "config-apply-ms": 2000, "rollback-slack-ms": 250, "outer-bound-ms": 5000,
          "budget-ratio": 0.2, "budget-window-s": 10, "budget-extra": 52, "recover-s": 12,
          "pass-ms": 120, "again-s": 0, "require-fence": "true", "lease-ms": 3000, "thaw-ms": 300,
          "ceiling-window-s": 5, "ceiling-over": 1.1}


def free_net():
    """A block of loopback addresses on which no port that a daemon uses is taken."""
    for _ in range(200):
        net = f"127.{random.randint(120, 250)}.{random.randint(1, 250)}"
        try:
            for port in (8149, 8141, 8144, 7380, 9464):
                with socket.socket() as probe:
                    probe.bind((net + ".1", port))
            return net
        except OSError:
            continue
    raise OSError("no free loopback addresses")


def temporary_folder():
    return tempfile.mkdtemp(prefix="review-")


def request_id():
    return "%016x" % random.getrandbits(64)
