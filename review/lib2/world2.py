"""Stand-ins of the platform and helpers of the scripts of the second review.

The platform's store, engines, requesters, and the daemons' processes. Everything listens on loopback
addresses. A run writes what was sent, answered and run to record.txt in the folder of its case.
"""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import struct
import subprocess
import sys
import tempfile
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
PROGRAM = os.path.join(ROOT, "target", "release", "shalelined")
FRONT, READY, CONTROL, PEER = 8149, 8141, 8144, 7380


class CannotRun(Exception):
    """The case could not be run."""


class Record:
    """The record of a run; times are in seconds from its start."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def write(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


class HeadError(Exception):
    pass


async def read_head(reader):
    """Reads the head of a message; returns its first line and headers, or None at the end."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    if "chunked" in headers.get("transfer-encoding", "").lower():
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            part = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += part[:-2]
    length = int(headers.get("content-length", 0))
    return await reader.readexactly(length) if length else b""


def answer(status, reason, headers, body=b""):
    lines = [f"HTTP/1.1 {status} {reason}"]
    lines += [f"{n}: {v}" for n, v in headers]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def reset(writer):
    """Resets a channel."""
    import socket

    sock = writer.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class Store:
    """The platform's store: topics of keyed records in one partition each."""

    def __init__(self, record):
        self.record = record
        self.topics = {}
        self.changed = asyncio.Condition()
        self.is_away, self.writers = False, set()

    def away(self, is_away):
        """Sets whether the store is away: it resets its channels, and each new one."""
        self.is_away = is_away
        if is_away:
            for writer in list(self.writers):
                reset(writer)

    def newest(self, topic):
        newest = {key: value for key, value in self.log(topic)}
        return {key: value for key, value in newest.items() if value}

    async def start(self, ip):
        self.server = await asyncio.start_server(self.serve, ip, 0, limit=1 << 23)
        self.address = self.server.sockets[0].getsockname()

    def log(self, topic):
        return self.topics.setdefault(topic, [])

    async def put(self, topic, key, value):
        """Appends a record as the operator or an engine; a value of None drops the key."""
        self.log(topic).append((key, value or b""))
        async with self.changed:
            self.changed.notify_all()

    async def serve(self, reader, writer):
        if self.is_away:
            reset(writer)
            return
        self.writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None or self.is_away:
                    break
                line, headers = head
                body = await read_body(reader, headers)
                method, target, _ = line.split(" ")
                reply = await self.call(method, target, body)
                if self.is_away:
                    break
                writer.write(reply)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def call(self, method, target, body):
        from urllib.parse import parse_qs, urlsplit

        parts = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(parts.query).items()}
        topic = query.get("topic", "")
        js = [("Content-Type", "application/json")]
        if method == "GET" and parts.path == "/shaleline/log-newest":
            newest = {}
            for offset, (key, value) in enumerate(self.log(topic)):
                newest[key] = (value, offset)
            items = [
                {"key": k, "value": base64.b64encode(v).decode(), "offset": o}
                for k, (v, o) in sorted(newest.items())
                if v
            ]
            page = {"items": items, "has-more": False, "end": len(self.log(topic))}
            return answer(200, "OK", js, json.dumps(page).encode())
        if method == "GET" and parts.path == "/shaleline/log-read":
            first = int(query.get("from", 0))
            wait = int(query.get("wait-ms", 0)) / 1000
            end = time.monotonic() + wait
            while len(self.log(topic)) <= first and time.monotonic() < end:
                async with self.changed:
                    try:
                        await asyncio.wait_for(self.changed.wait(), end - time.monotonic())
                    except asyncio.TimeoutError:
                        break
            log = self.log(topic)
            if first > len(log):
                return answer(410, "Gone", js, json.dumps({"first": 0}).encode())
            data = struct.pack(">QQ", len(log), 0)
            for key, value in log[first:]:
                content = bytes([len(key)]) + key.encode() + value
                data += struct.pack(">I", len(content)) + content
            return answer(200, "OK", [], data)
        if method == "POST" and parts.path == "/shaleline/log-append":
            if topic in ("keyed.op", "keyed.servers"):
                return answer(403, "Forbidden", js)
            log = self.log(topic)
            if "end-offset" in query and int(query["end-offset"]) != len(log):
                return answer(412, "Precondition Failed", js, json.dumps({"end": len(log)}).encode())
            offset = len(log)
            while body:
                (length,) = struct.unpack(">I", body[:4])
                content, body = body[4 : 4 + length], body[4 + length :]
                size = content[0]
                log.append((content[1 : 1 + size].decode(), content[1 + size :]))
            async with self.changed:
                self.changed.notify_all()
            return answer(200, "OK", js, json.dumps({"offset": offset, "end": len(log)}).encode())
        return answer(404, "Not Found", js)


class Daemon:
    """A daemon's process, with the settings of a small deployment."""

    def __init__(self, index, ip, zone, store, folder, seeds, memory_mb=260):
        self.name = f"front-{zone}-{index}"
        self.ip, self.zone, self.folder = ip, zone, folder
        self.memory_mb = memory_mb
        self.path = os.path.join(folder, f"node-{index}.conf")
        self.log = os.path.join(folder, f"node-{index}.log")
        self.store, self.seeds = store, seeds
        self.process = None
        self.starts = 0

    def settings(self):
        seeds = ",".join(f"{ip}:{CONTROL}" for ip in self.seeds)
        first = "true" if self.starts == 0 else "false"
        return f"""node-name={self.name}
role=entry
machine-class=front
serves=front,control
ip={self.ip}
zone={self.zone}
region=montevideo
zones.sala-cordon=montevideo
zones.sala-aguada=montevideo
zones.sala-buceo=montevideo
listen.front={self.ip}:{FRONT}
listen.ready={self.ip}:{READY}
listen.control={self.ip}:{CONTROL}
inner-ports={PEER},{PEER + 15}
seeds={seeds}
bootstrap={first}
counts-as-loss=false
limits.cpu-share=0.25
limits.cores=1
limits.memory-mb={self.memory_mb}
limits.max-fds=4100
limits.link-mbps=1000.0
limits.disk-mb=0
discovery=platform
entry=virtual_ip
beat-interval-ms=1200
contracts=base,drain,config,cost,retry,recover,fleet,stream,engine,platform
tolerate.machines=2
tolerate.zones=0
tolerate.regions=0
bounds.seed-lag-s=3
bounds.reuse-after-s=2
bounds.stable-window-ms=3000
bounds.ack-ms=4000
bounds.catch-up-s=4
bounds.drain-ms=2000
bounds.grace-s=8
bounds.loss-slack-ms=200
bounds.config-apply-ms=2000
bounds.rollback-slack-ms=250
bounds.outer-bound-ms=5000
bounds.budget-ratio=0.2
bounds.budget-window-s=10
bounds.budget-extra=58
bounds.recover-s=12
bounds.pass-ms=120
bounds.again-s=0
bounds.require-fence=true
bounds.lease-ms=3000
bounds.thaw-ms=300
bounds.ceiling-window-s=5
bounds.ceiling-over=1.1
platform.address={self.store[0]}:{self.store[1]}
platform.form=log
platform.writes-per-s=400
platform.reads-per-s=2000
platform.parts=12
platform.append-ms=2.0
platform.part-mb-s=20.0
platform.read-mb-s=80.0
platform.record-bytes=262144
platform.call-bytes=2097152
platform.keep_s=300
platform.part-mb=200
platform.ttl-min-ms=1000
"""

    def start(self):
        with open(self.path, "w", encoding="utf-8") as file:
            file.write(self.settings())
        log = open(self.log, "ab")
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env["SHALELINE_NODE_FILE"] = self.path
        self.process = subprocess.Popen(
            [PROGRAM], cwd=ROOT, env=env, stdin=subprocess.DEVNULL, stdout=log, stderr=log
        )
        log.close()
        self.starts += 1

    def memory(self):
        """The resident memory in MB, or None if the process has ended."""
        try:
            with open(f"/proc/{self.process.pid}/status", encoding="ascii") as file:
                for line in file:
                    if line.startswith("VmRSS:"):
                        return int(line.split()[1]) / 1024
        except OSError:
            pass
        return None

    def signal(self, number):
        if self.process and self.process.poll() is None:
            self.process.send_signal(number)

    def stop(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process:
            self.process.wait()

    async def ready(self):
        """Whether the daemon answers the balancer's check with 200."""
        reply = await request((self.ip, READY), "GET", "/shaleline/ready", [("Host", "b")], limit=1)
        return reply.status == 200


class Reply:
    """What a requester got: status 0 if there was no complete answer."""

    def __init__(self, status, headers, body, why="", head=0):
        self.status, self.headers, self.body, self.why, self.head = status, headers, body, why, head


async def request(address, method, path, headers, body=b"", limit=5.0, channel=None):
    """Sends one request; on a new channel unless one is given. Closes a channel that it opened."""
    writer, status = None, 0
    try:
        async with asyncio.timeout(limit):
            if channel is None:
                reader, writer = await asyncio.open_connection(*address)
            else:
                reader, own = channel
            lines = [f"{method} {path} HTTP/1.1"] + [f"{n}: {v}" for n, v in headers]
            if body or method == "POST":
                lines.append(f"Content-Length: {len(body)}")
            (writer or own).write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            head = await read_head(reader)
            if head is None:
                return Reply(0, {}, b"", "closed")
            status = int(head[0].split(" ")[1])
            data = await read_body(reader, head[1])
            return Reply(status, head[1], data)
    except asyncio.TimeoutError:
        return Reply(0, {}, b"", "no answer in time", status)
    except (ConnectionError, OSError, asyncio.IncompleteReadError, ValueError) as error:
        return Reply(0, {}, b"", type(error).__name__, status)
    finally:
        if writer is not None:
            writer.close()


def free_net():
    """A loopback network whose ports are free; concurrent runs use others."""
    import socket

    for _ in range(50):
        net = f"127.{random.randrange(20, 90)}.{random.randrange(1, 250)}"
        probe = socket.socket()
        try:
            probe.bind((f"{net}.11", FRONT))
            return net
        except OSError:
            continue
        finally:
            probe.close()
    raise CannotRun("no free loopback addresses")


class World:
    """A store, some daemons, and a temporary folder."""

    def __init__(self, folder):
        self.record = Record(folder)
        self.folder = tempfile.mkdtemp(prefix="review2-")
        self.net = free_net()
        self.store = Store(self.record)
        self.daemons = []
        self.tasks = []

    async def start(self, count, config, memory_mb=260):
        if not os.path.exists(PROGRAM):
            raise CannotRun("target/release/shalelined is not built")
        await self.store.start(f"{self.net}.1")
        await self.store.put("keyed.op", "config", json.dumps(config).encode())
        zones = ["sala-cordon", "sala-aguada", "sala-buceo"]
        ips = [f"{self.net}.{11 + i}" for i in range(count)]
        for index, ip in enumerate(ips):
            daemon = Daemon(
                index, ip, zones[index % 3], self.store.address, self.folder, ips[:3], memory_mb
            )
            self.daemons.append(daemon)
            daemon.start()
        end = time.monotonic() + 10
        while time.monotonic() < end:
            if all([await d.ready() for d in self.daemons]):
                self.record.write("all daemons are ready")
                return
            await asyncio.sleep(0.2)
        raise CannotRun("the daemons are not ready after 10 s")

    def spawn(self, coroutine):
        task = asyncio.create_task(coroutine)
        self.tasks.append(task)
        return task

    def end(self, keep_logs=None):
        for task in self.tasks:
            task.cancel()
        for daemon in self.daemons:
            daemon.stop()
        if keep_logs:
            for daemon in self.daemons:
                shutil.copy(daemon.log, keep_logs)
        shutil.rmtree(self.folder, ignore_errors=True)


def run(folder, case):
    """Runs a case: `case(world, trouble)` returns the broken rule's description, or None."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    world = None
    code = 2
    try:
        world = World(folder)

        async def whole():
            # Tasks of stand-ins that are cancelled at the end are no news.
            asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
            async with asyncio.timeout(110):
                return await case(world, trouble)

        broken = asyncio.run(whole())
        code = 1 if broken else 0
        world.record.write(f"result: {broken or 'the rule held'}")
    except Exception as error:  # An error of the script itself is no broken rule.
        if world:
            world.record.write(f"result: could not run: {error!r}")
    finally:
        if world:
            world.end(os.environ.get("KEEP_LOGS"))
    print({0: "held", 1: "broken", 2: "could not run"}[code])
    sys.exit(code)
