"""Stand-ins for the review's scripts: the platform's store, runners and
requesters in one process on loopback addresses, which sees both ends of each
request, and the gateways as separate processes.

The store and the runners speak what PROTOCOL.md says.  Everything that was
sent, answered and run goes to the record.
"""
import argparse
import asyncio
import base64
import itertools
import json
import os
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import urllib.parse

PREFIX = "X-Goldcresthatch-"
ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), ".."))
BEGAN = time.monotonic()

BROKEN, HELD, NO_RUN = 1, 0, 2


def ms():
    return int((time.monotonic() - BEGAN) * 1000)


class Record:
    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")

    def __call__(self, text):
        self.file.write("%7d ms  %s\n" % (ms(), text))
        self.file.flush()


def free_port(ip):
    with socket.socket() as s:
        s.bind((ip, 0))
        return s.getsockname()[1]


USED_PORTS = set()


def free_ports(ip, n):
    """Returns ports that no other gateway of this run has got: one that was
    started a moment ago may not listen yet."""
    ports = []
    while len(ports) < n:
        port = free_port(ip)
        if port not in USED_PORTS:
            USED_PORTS.add(port)
            ports.append(port)
    return ports


async def read_head(reader):
    """Returns (first line, fields, list of fields), or None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    listed = []
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            listed.append((name.strip().lower(), value.strip()))
    return lines[0], dict(listed), listed


async def read_body(reader, fields, until_close=False):
    """Returns (body, complete)."""
    try:
        if "chunked" in fields.get("transfer-encoding", ""):
            body = b""
            while True:
                size = int((await reader.readline()).split(b";")[0], 16)
                body += await reader.readexactly(size)
                await reader.readexactly(2)
                if size == 0:
                    return body, True
        if "content-length" in fields:
            return await reader.readexactly(int(fields["content-length"])), True
        if until_close:
            return await reader.read(), True
        return b"", True
    except asyncio.IncompleteReadError as e:
        return e.partial, False
    except (ConnectionError, OSError, ValueError):
        return b"", False


def answer_bytes(status, body=b"", fields=(), reason="-"):
    out = "HTTP/1.1 %d %s\r\nContent-Length: %d\r\n" % (status, reason, len(body))
    out += "".join("%s: %s\r\n" % f for f in fields)
    return (out + "\r\n").encode("latin-1") + body


class Server:
    """An HTTP/1.1 server that handles one request at a time on a connection."""

    def __init__(self, ip):
        self.ip = ip
        self.writers = set()
        self.tasks = set()
        self.server = None

    async def open(self, port=0):
        self.server = await asyncio.start_server(
            self.connection, self.ip, port, limit=1 << 20)
        self.port = self.server.sockets[0].getsockname()[1]
        self.address = "%s:%d" % (self.ip, self.port)
        return self

    async def connection(self, reader, writer):
        self.writers.add(writer)
        task = asyncio.current_task()
        self.tasks.add(task)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                line, fields, listed = head
                body, complete = await read_body(reader, fields)
                if not complete:
                    break
                method, target, _ = line.split(" ", 2)
                if not await self.handle(method, target, fields, listed, body,
                                         reader, writer):
                    break
        except (ConnectionError, OSError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            self.tasks.discard(task)
            writer.close()

    async def close(self):
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


class Store(Server):
    """The platform's metadata store."""

    def __init__(self, ip, record):
        super().__init__(ip)
        self.record = record
        self.items = {}
        self.history = []        # (when, event) of the last HISTORY_S
        self.history_s = 20.0
        self.compacted = 0       # the last revision that is forgotten
        self.revision = 100
        self.leases = {}
        self.last_lease = 1000
        self.change = asyncio.Event()

    async def open(self, port=0):
        await super().open(port)
        self.sweeper = asyncio.ensure_future(self.sweep())
        return self

    def changed(self):
        self.change.set()
        self.change = asyncio.Event()

    def put(self, key, value, lease=0):
        if not isinstance(value, bytes):
            value = json.dumps(value, separators=(",", ":")).encode()
        self.revision += 1
        old = self.items.get(key)
        item = {"key": key, "value": base64.b64encode(value).decode(),
                "revision": self.revision,
                "created_rev": old["created_rev"] if old else self.revision,
                "lease": lease}
        self.items[key] = item
        self.history.append((time.monotonic(), item))
        self.changed()

    def remove(self, key):
        if key in self.items:
            self.revision += 1
            del self.items[key]
            self.history.append((time.monotonic(), {
                "key": key, "revision": self.revision, "deleted": True}))
            self.changed()

    def end_lease(self, lease):
        if self.leases.pop(lease, None) is None:
            return False
        for key in [k for k, i in self.items.items() if i["lease"] == lease]:
            self.remove(key)
        return True

    async def sweep(self):
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            for lease in [l for l, (_, end) in self.leases.items() if end < now]:
                self.end_lease(lease)
            while self.history and self.history[0][0] < now - self.history_s:
                self.compacted = self.history.pop(0)[1]["revision"]

    async def handle(self, method, target, fields, listed, body, reader,
                     writer, face=None):
        path, _, query = target.partition("?")
        args = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        status, reply = await self.call(method, path, args, body)
        if face is not None and face.refusing:
            status, reply = 503, {}     # a watch that waited is cut, too
        data = json.dumps(reply).encode()
        await asyncio.sleep(0.002)
        answer = answer_bytes(status, data,
                              [("Content-Type", "application/json")])
        if face is not None:
            await face.send(writer, answer)
        else:
            writer.write(answer)
            await writer.drain()
        return True

    async def call(self, method, path, args, body):
        doc = json.loads(body) if body else {}
        if path == "/-/kv-key":
            item = self.items.get(args.get("key"))
            if item is None:
                return 404, {"store_revision": self.revision}
            return 200, dict(item, store_revision=self.revision)
        if path == "/-/kv-range":
            keys = sorted(k for k in self.items
                          if k.startswith(args.get("prefix", ""))
                          and k > args.get("after", ""))
            return 200, {"items": [self.items[k] for k in keys[:500]],
                         "more_pages": len(keys) > 500,
                         "store_revision": self.revision}
        if path == "/-/kv-watch":
            after = int(args["after"])
            end = time.monotonic() + int(args["wait_ms"]) / 1000
            while True:
                if after < self.compacted:
                    return 410, {"store_revision": self.revision}
                events = [e for _, e in self.history if e["revision"] > after
                          and e["key"].startswith(args.get("prefix", ""))]
                left = end - time.monotonic()
                if events or left <= 0:
                    return 200, {"events": events,
                                 "store_revision": self.revision}
                try:
                    await asyncio.wait_for(asyncio.shield(
                        asyncio.ensure_future(self.change.wait())), left)
                except asyncio.TimeoutError:
                    pass
        if path == "/-/kv-txn":
            for row in doc.get("expected", []):
                item = self.items.get(row["key"])
                if (item["revision"] if item else 0) != row["revision"]:
                    return 412, {"items": [self.items[r["key"]]
                                           for r in doc["expected"]
                                           if r["key"] in self.items]}
            for w in doc.get("writes", []):
                if w.get("lease") and w["lease"] not in self.leases:
                    return 404, {}
            for w in doc.get("writes", []):
                self.put(w["key"], base64.b64decode(w["value"]),
                         w.get("lease", 0))
            for key in doc.get("remove", []):
                self.remove(key)
            return 200, {"revision": self.revision}
        if path == "/-/kv-lease":
            self.last_lease += 1
            ttl = doc["ttl_ms"]
            self.leases[self.last_lease] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {"lease": self.last_lease, "ttl_ms": ttl}
        match = re.fullmatch(r"/-/(kv-keep|kv-lease-end)/(\d+)", path)
        if match:
            lease = int(match.group(2))
            if lease not in self.leases:
                return 404, {}
            if match.group(1) == "kv-keep":
                ttl = self.leases[lease][0]
                self.leases[lease] = (ttl, time.monotonic() + ttl / 1000)
                return 200, {"ttl_ms": ttl}
            self.end_lease(lease)
            return 200, {}
        return 404, {}


class Face(Server):
    """The address under which one machine meets the store, which may turn
    this machine away while it serves the others."""

    def __init__(self, store):
        super().__init__(store.ip)
        self.store = store
        self.refusing = False
        self.bytes_per_s = None  # of this machine's link, or None
        self.link_free_at = 0.0

    async def handle(self, method, target, fields, listed, body, reader, writer):
        if self.refusing:
            writer.write(answer_bytes(503, b"{}"))
            return True
        return await self.store.handle(method, target, fields, listed, body,
                                       reader, writer, self)

    async def send(self, writer, data):
        """Sends DATA as fast as the link carries it."""
        if self.bytes_per_s is None:
            writer.write(data)
            await writer.drain()
            return
        step = 8192
        for at in range(0, len(data), step):
            piece = data[at:at + step]
            now = time.monotonic()
            self.link_free_at = (max(self.link_free_at, now)
                                 + len(piece) / self.bytes_per_s)
            await asyncio.sleep(self.link_free_at - now)
            if writer.transport.is_closing():
                raise ConnectionResetError
            writer.write(piece)
            await writer.drain()


class Runner(Server):
    """A runner of a plain service.

    ACT is called for each request that the runner begins to run and returns
    its answer as (status, body); it may sleep.  A run ends when its
    connection closes."""

    numbers = itertools.count(1)

    def __init__(self, world, service, zone, slots=6, act=None):
        super().__init__(world.ip)
        self.world = world
        self.service = service
        self.zone = zone
        self.slots = slots
        self.act = act
        self.id = "i-%04x%04x" % (os.getpid() & 0xffff, next(Runner.numbers))
        self.born = int(time.time() * 1000)
        self.running = 0
        self.seq = 1

    def entry(self, state="ready"):
        return {"service": self.service, "address": self.address,
                "zone": self.zone, "version": "v1", "slots": self.slots,
                "state": state, "cold_left_ms": 0, "seq": self.seq,
                "born": self.born}

    def register(self):
        self.world.store.put("servers/" + self.id, self.entry())

    def fields(self, rid, body=b""):
        self.seq += 1
        return [(PREFIX + "Request-Id", rid),
                (PREFIX + "Server-Stamp", "%s.%d" % (self.id, self.seq)),
                (PREFIX + "Server-Load",
                 "%d,0,%d" % (self.running, self.slots))]

    async def handle(self, method, target, fields, listed, body, reader, writer):
        if target == "/health":
            writer.write(answer_bytes(
                200, b"", [(PREFIX + "Instance-Id", self.id)]))
            return True
        rid = fields.get("x-goldcresthatch-request-id", "")
        expect = fields.get("x-goldcresthatch-expect-instance", self.id)
        if expect != self.id:
            writer.write(answer_bytes(421, b"",
                                      [(PREFIX + "Instance-Id", self.id)]))
            return True
        if self.running >= self.slots:
            writer.write(answer_bytes(503, b"", [(PREFIX + "Request-Id", rid),
                                                 (PREFIX + "Not-Run", "1")]))
            return True
        run = self.world.note_run(self, rid, method, target, listed, body)
        self.running += 1
        try:
            gone = asyncio.ensure_future(reader.read(1))
            work = asyncio.ensure_future(
                self.act(self, rid, method, target, body, fields))
            done, _ = await asyncio.wait(
                {gone, work}, return_when=asyncio.FIRST_COMPLETED)
            if work not in done:
                work.cancel()
                run["end"] = "caller closed"
                self.world.record("run end  %s at %s: its connection closed"
                                  % (rid, self.id))
                return False
            gone.cancel()
            try:
                await gone
            except (asyncio.CancelledError, ConnectionError, OSError):
                pass
        finally:
            self.running -= 1
        status, answer = work.result()
        run["end"] = status
        self.world.record("run end  %s at %s: %d, %d bytes"
                          % (rid, self.id, status, len(answer)))
        writer.write(answer_bytes(status, answer, self.fields(rid)))
        await writer.drain()
        return True


class Engine(Runner):
    """A model runner with a stage.  PACE_S is the time between two events of
    a stream, READ_S that of a prompt.  PIECES events are made."""

    def __init__(self, world, service, zone, stage, slots=48, read_s=0.02,
                 pace_s=0.02, pieces=4):
        super().__init__(world, service, zone, slots)
        self.stage = stage
        self.read_s = read_s
        self.pace_s = pace_s
        self.pieces = pieces
        self.handles = {}
        self.orders = 0
        self.busy = False
        self.order_log = []

    def entry(self, state="ready"):
        return dict(super().entry(state), stage=self.stage,
                    models=[{"name": "m", "version": 1, "adapters": []}])

    async def handle(self, method, target, fields, listed, body, reader, writer):
        if target == "/-/report":
            writer.write(answer_bytes(200, json.dumps({
                "stage": self.stage, "models": [], "busy": self.busy,
                "seq": self.orders, "waiting": 0, "running": self.running,
                "kv_used": 0, "kv_total": 1000000, "kv_handles": 0,
                "born": self.born}).encode(),
                [("Content-Type", "application/json")]))
            return True
        if target == "/-/order":
            return await self.order(fields, json.loads(body), writer)
        if target.startswith("/-/kv-handle/"):
            self.handles.pop(target.rsplit("/", 1)[1], None)
            writer.write(answer_bytes(200))
            return True
        rid = fields.get("x-goldcresthatch-request-id", "")
        expect = fields.get("x-goldcresthatch-expect-instance", self.id)
        stage = fields.get("x-goldcresthatch-stage", "decode")
        if expect != self.id or stage != self.stage:
            writer.write(answer_bytes(421, b"",
                                      [(PREFIX + "Instance-Id", self.id)]))
            return True
        if stage == "prefill":
            await asyncio.sleep(self.read_s)
            handle = "%012x" % int.from_bytes(os.urandom(6), "big")
            self.handles[handle] = rid
            self.world.record("prompt   %s read at %s: handle %s"
                              % (rid, self.id, handle))
            writer.write(answer_bytes(200, json.dumps(
                {"handle": handle, "tokens": 1, "version": 1}).encode(),
                [("Content-Type", "application/json"),
                 (PREFIX + "Request-Id", rid)]))
            return True
        return await self.stream(rid, method, target, fields, listed, body,
                                 reader, writer)

    async def order(self, fields, doc, writer):
        holder, fence = doc.get("holder"), doc.get("fence")
        status = 202
        if fields.get("x-goldcresthatch-expect-instance", self.id) != self.id:
            status = 421
        elif self.busy or doc.get("expected", self.orders) != self.orders:
            status = 409
        elif doc.get("stage") == self.stage:
            status = 200
        self.order_log.append((time.monotonic(), holder, fence, status))
        self.world.record("order    at %s from %s, fence %s, to %s: %d"
                          % (self.id, holder, fence, doc.get("stage"), status))
        if status == 202:
            self.orders += 1
            self.busy = True
            asyncio.ensure_future(self.change(doc["stage"]))
        writer.write(answer_bytes(status, b"{}"))
        return True

    async def change(self, stage):
        await asyncio.sleep(3)
        self.stage = stage
        self.busy = False
        self.seq += 1
        self.register()

    async def stream(self, rid, method, target, fields, listed, body, reader,
                     writer):
        source = fields.get("x-goldcresthatch-kv-source")
        if source is not None:
            address, _, handle = source.partition("/")
            owner = next((r for r in self.world.runners
                          if getattr(r, "address", "") == address), None)
            taken = owner.handles.pop(handle, None) if owner else None
            if taken is None:
                writer.write(answer_bytes(503, b"", [
                    (PREFIX + "Request-Id", rid), (PREFIX + "Not-Run", "1")]))
                return True
            if taken != rid:
                self.world.record("BROKEN?  %s goes on from the handle of %s"
                                  % (rid, taken))
        run = self.world.note_run(self, rid, method, target, listed, body)
        at = int(fields.get("last-event-id") or 0)
        self.running += 1
        try:
            head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" \
                   "Transfer-Encoding: chunked\r\n"
            head += "".join("%s: %s\r\n" % f for f in self.fields(rid))
            await asyncio.sleep(0.005)
            writer.write((head + "\r\n").encode())
            while at < self.pieces:
                at += 1
                event = ("id: %d\ndata: %s %d\n\n"
                         % (at, rid, at)).encode()
                writer.write(b"%x\r\n%s\r\n" % (len(event), event))
                await writer.drain()
                await asyncio.sleep(self.pace_s)
                if writer.transport.is_closing() or reader.at_eof():
                    run["end"] = "caller closed"
                    return False
            writer.write(b"0\r\n\r\n")
            await writer.drain()
            run["end"] = 200
            return True
        finally:
            self.running -= 1


class Gateway:
    """A gateway process, started as the deploy file says."""

    def __init__(self, world, name, zone, **settings):
        self.world = world
        self.name = name
        self.ip = world.ip
        ports = free_ports(self.ip, 5)
        self.front = "%s:%d" % (self.ip, ports[0])
        self.front_port = ports[0]
        self.ready_port = ports[1]
        self.settings = dict({
            "node": name, "zone": zone, "listen_front": self.front,
            "listen_ready": "%s:%d" % (self.ip, ports[1]),
            "listen_metrics": "%s:%d" % (self.ip, ports[2]),
            "listen_relay": "%s:%d" % (self.ip, ports[3]),
            "listen_load": "%s:%d" % (self.ip, ports[4]),
            "store": world.store.address, "link_mbit": 1000.0,
            "lease_ms": 3000, "settled_ms": 3000, "grace_ms": 8000,
            "repeat_ratio": 0.2, "repeat_slack": 54,
            "repeat_window_ms": 10000}, **settings)
        self.path = os.path.join(world.folder, name + ".json")
        self.log_path = os.path.join(world.folder, name + ".log")
        self.process = None
        self.program = os.path.join(ROOT, "target", "goldcresthatch-gateway")

    def render(self):
        """Fills in the project's template as the platform does."""
        s = self.settings
        host, port = s["listen_front"], None
        values = {
            "node": s["node"], "zone": s["zone"], "ip": self.ip,
            "listen.front": s["listen_front"],
            "listen.ready": s["listen_ready"],
            "limits.link_mbps": s["link_mbit"],
            "platform.address": s["store"],
            "bounds.lease_ms": s["lease_ms"],
            "bounds.stable_ms": s["settled_ms"],
            "bounds.grace_s": s["grace_ms"] // 1000,
            "bounds.retry_ratio": s["repeat_ratio"],
            "bounds.retry_slack": s["repeat_slack"],
            "bounds.retry_window_s": s["repeat_window_ms"] // 1000,
            "port_range.0": int(s["listen_load"].split(":")[1]),
            "port_range.1": int(s["listen_relay"].split(":")[1]),
        }

        def fill(match):
            name, _, how = match.group(1).partition("|")
            value = values[name]
            return json.dumps(value) if how == "json" else str(value)
        with open(os.path.join(ROOT, "deploy", "gateway.json.in"),
                  encoding="utf-8") as f:
            text = f.read()
        text = text.replace("{{ip}}:9464", s["listen_metrics"])
        text = re.sub(r"\{\{([^{}]*)\}\}", fill, text)
        with open(self.path, "w", encoding="utf-8") as f:
            f.write(text)

    async def start(self):
        self.render()
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG")
               if k in os.environ}
        env["GOLDCRESTHATCH_CONFIG"] = self.path
        self.process = await asyncio.create_subprocess_exec(
            self.program,
            cwd=ROOT, env=env, stdin=asyncio.subprocess.DEVNULL,
            stdout=open(self.log_path, "ab"), stderr=asyncio.subprocess.STDOUT)
        self.world.record("gateway %s started, %s" % (self.name, self.front))

    def signal(self, number):
        if self.process.returncode is None:
            self.process.send_signal(number)

    def ended(self):
        return self.process.returncode

    def memory_mb(self):
        """Resident memory, now and at its peak."""
        try:
            with open("/proc/%d/status" % self.process.pid) as f:
                text = f.read()
        except OSError:
            return 0, 0
        found = [int(re.search(n + r":\s+(\d+)", text).group(1)) / 1024
                 if re.search(n + r":\s+(\d+)", text) else 0
                 for n in ("VmRSS", "VmHWM")]
        return found[0], found[1]

    def log(self):
        with open(self.log_path, encoding="utf-8", errors="replace") as f:
            return f.read()

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(self.ip,
                                                           self.ready_port)
        except OSError:
            return False
        try:
            writer.write(b"GET /-/ready HTTP/1.1\r\nHost: p\r\n"
                         b"Connection: close\r\n\r\n")
            head = await asyncio.wait_for(read_head(reader), 1)
            return head is not None and " 200 " in head[0]
        except (OSError, asyncio.TimeoutError):
            return False
        finally:
            writer.close()

    async def wait_ready(self, limit_s=20):
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            if self.ended() is not None:
                raise CannotRun("gateway %s ended with %d before it was ready"
                                % (self.name, self.ended()))
            if await self.is_ready():
                return
            await asyncio.sleep(0.1)
        raise CannotRun("gateway %s is not ready" % self.name)


class CannotRun(Exception):
    pass


class World:
    def __init__(self, trouble, record):
        # Addresses of their own for each run, so that runs don't meet.
        pid = os.getpid()
        self.ip = "127.%d.%d.%d" % (64 + pid % 128, (pid >> 7) % 250 + 1, 1)
        self.record = Record(record)
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.runs = []
        self.gateways = []
        self.faces = []
        self.runners = []
        self.ids = itertools.count(1)
        self.trouble = trouble
        self.record("TROUBLE=%d" % self.trouble)

    async def open(self):
        self.store = await Store(self.ip, self.record).open()

    def request_id(self):
        return "%08x%08x" % (os.getpid(), next(self.ids))

    def note_run(self, runner, rid, method, target, listed, body):
        run = {"runner": runner, "id": rid, "method": method,
               "target": target, "listed": listed, "body": body,
               "at": time.monotonic(), "end": None}
        self.runs.append(run)
        self.record("run      %s at %s (%s): %s %s, %d bytes"
                    % (rid or "(no id)", runner.id, runner.service, method,
                       target, len(body)))
        return run

    def route(self, name, prefix, kind, service, timeout_ms=1200, slo_ms=150,
              attempts=1, priority=2, **more):
        return dict({"name": name, "host": "site.example", "prefix": prefix,
                     "kind": kind, "timeout_ms": timeout_ms, "slo_ms": slo_ms,
                     "priority": priority, "service": service,
                     "attempts": attempts}, **more)

    def service(self, name, max_conns=100, **more):
        return dict({"name": name, "health_path": "/health",
                     "max_conns": max_conns, "protocol": "h1", "tls": False},
                    **more)

    def configure(self, version, routes, services, **limits):
        self.store.put("op/config", {
            "version": version, "routes": routes, "services": services,
            "limits": dict({"max_header_bytes": 16384,
                            "max_body_bytes": 4194304,
                            "header_timeout_ms": 3000,
                            "idle_timeout_ms": 15000}, **limits)})

    async def add_runner(self, runner):
        await runner.open()
        self.runners.append(runner)
        runner.register()
        return runner

    async def add_gateway(self, name, zone, **settings):
        face = await Face(self.store).open()
        self.faces.append(face)
        gateway = Gateway(self, name, zone, store=face.address, **settings)
        gateway.face = face
        self.gateways.append(gateway)
        await gateway.start()
        return gateway

    async def close(self):
        for gateway in self.gateways:
            if gateway.process is not None and gateway.ended() is None:
                try:
                    gateway.process.send_signal(signal.SIGCONT)
                    gateway.process.kill()
                except ProcessLookupError:
                    pass
                await gateway.process.wait()
        for server in self.runners + self.faces + [self.store]:
            await server.close()
        if os.environ.get("KEEP_LOGS"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    def request(self, rid, method, target, body=b"", budget_ms=2500, extra=(),
                connection=None):
        fields = [("Host", "site.example"), (PREFIX + "Request-Id", rid),
                  (PREFIX + "Deadline-Ms", str(budget_ms))] + list(extra)
        if connection:
            fields.append(("Connection", connection))
        if body or method != "GET":
            fields.append(("Content-Length", str(len(body))))
        head = "%s %s HTTP/1.1\r\n" % (method, target)
        head += "".join("%s: %s\r\n" % f for f in fields) + "\r\n"
        return head.encode("latin-1") + body

    async def exchange(self, gateway, rid, method, target, body=b"",
                       budget_ms=2500, extra=(), wait_s=None):
        """One request on a connection of its own.  Returns (status, fields,
        body, complete); status 0 stands for no answer."""
        self.record("sent     %s to %s: %s %s, %d bytes"
                    % (rid, gateway.name, method, target, len(body)))
        result = (0, {}, b"", False)
        try:
            reader, writer = await asyncio.open_connection(
                gateway.ip, gateway.front_port, limit=1 << 20)
            writer.write(self.request(rid, method, target, body, budget_ms,
                                      extra))
            result = await asyncio.wait_for(
                self.read_answer(reader),
                wait_s if wait_s else budget_ms / 1000 + 1)
            writer.close()
        except (OSError, asyncio.TimeoutError):
            pass
        self.record("answer   %s: %s, %d bytes%s"
                    % (rid, result[0] or "none", len(result[2]),
                       "" if result[3] else ", not complete"))
        return result

    async def read_answer(self, reader):
        head = await read_head(reader)
        if head is None:
            return 0, {}, b"", False
        line, fields, _ = head
        status = int(line.split(" ")[1])
        if status == 100:
            return await self.read_answer(reader)
        body, complete = await read_body(reader, fields, until_close=True)
        return status, fields, body, complete


def main(case):
    """Runs CASE (world), which returns the list of what broke the rule."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--trouble", default="1",
                        help="0: without the disruption")
    parser.add_argument("--record", required=True,
                        help="file for what was sent, answered and run")
    options = parser.parse_args()
    world = World(options.trouble != "0", options.record)

    async def run():
        await world.open()
        try:
            return await asyncio.wait_for(case(world), 110)
        finally:
            await world.close()
    try:
        broken = asyncio.run(run())
    except CannotRun as e:
        world.record("could not run: %s" % e)
        print("could not run: %s" % e)
        sys.exit(NO_RUN)
    except asyncio.TimeoutError:
        world.record("could not run: not finished in 110 s")
        print("could not run: not finished in 110 s")
        sys.exit(NO_RUN)
    except Exception as e:    # a fault of the script is no broken rule
        world.record("could not run: %r" % e)
        print("could not run: %r" % e)
        sys.exit(NO_RUN)
    for line in broken:
        world.record("BROKEN   " + line)
        print("broken: " + line)
    world.record("verdict: the rule %s" % ("was broken" if broken else "held"))
    print("the rule %s" % ("was broken" if broken else "held"))
    sys.exit(BROKEN if broken else HELD)
