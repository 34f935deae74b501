"""World around gateways for the scripts of the second review: the platform's
store, runners, requesters, and links that can be cut.

Each case imports this module.  All parts run in one process, so that the
record has one clock; the gateways are processes of their own.
"""
import asyncio
import base64
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
GATEWAY = os.path.join(ROOT, "target/goldcresthatch-gateway")
PREFIX = "X-Goldcresthatch-"


class Record:
    """record.txt of a case, with times since the start."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.begin = time.monotonic()

    def now(self):
        return time.monotonic() - self.begin

    def write(self, text):
        self.file.write("%9.3f %s\n" % (self.now(), text))
        self.file.flush()


def free_port(ip):
    with socket.socket() as s:
        s.bind((ip, 0))
        return s.getsockname()[1]


async def read_head(reader):
    """Returns the first line and the fields, or None at the end."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = data.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if line:
            name, value = line.split(":", 1)
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def read_body(reader, fields):
    if fields.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            n = int((await reader.readline()).split(b";")[0], 16)
            piece = await reader.readexactly(n + 2)
            if n == 0:
                return body
            body += piece[:-2]
    n = int(fields.get("content-length", "0"))
    return await reader.readexactly(n) if n else b""


REASONS = {200: "OK", 202: "Accepted", 404: "Not Found", 409: "Conflict",
           410: "Gone", 412: "Precondition Failed", 421: "Misdirected Request",
           503: "Service Unavailable"}


def answer(status, fields, body):
    head = "HTTP/1.1 %d %s\r\n" % (status, REASONS.get(status, "Other"))
    for name, value in fields:
        head += "%s: %s\r\n" % (name, value)
    head += "Content-Length: %d\r\n\r\n" % len(body)
    return head.encode("latin-1") + body


class Store:
    """The platform's store.  Leases end by the steady clock."""

    def __init__(self, record, ip="127.0.90.1"):
        self.record = record
        self.ip = ip
        self.items = {}      # key -> [value, revision, created, lease]
        self.history = []    # (revision, item or deletion)
        self.revision = 100
        self.leases = {}     # lease -> [ttl_ms, end]
        self.next_lease = 7000
        self.changed = asyncio.Event()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, 0)
        self.port = self.server.sockets[0].getsockname()[1]
        self.address = "%s:%d" % (self.ip, self.port)
        asyncio.ensure_future(self.expire())

    def put(self, key, value, lease=0):
        self.revision += 1
        old = self.items.get(key)
        self.items[key] = [value, self.revision,
                           old[2] if old else self.revision, lease]
        self.history.append((self.revision, self.item(key)))
        self.notify()
        return self.revision

    def delete(self, key):
        if key not in self.items:
            return
        self.revision += 1
        del self.items[key]
        self.history.append((self.revision, {"key": key, "deleted": True,
                                             "revision": self.revision}))
        self.notify()

    def notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def item(self, key):
        value, revision, created, lease = self.items[key]
        return {"key": key, "value": base64.b64encode(value).decode(),
                "revision": revision, "created_rev": created, "lease": lease}

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [k for k, i in self.items.items() if i[3] == lease]:
            self.delete(key)

    async def expire(self):
        while True:
            now = time.monotonic()
            for lease in [x for x, l in self.leases.items() if l[1] < now]:
                self.end_lease(lease)
            await asyncio.sleep(0.05)

    def txn(self, body):
        for row in body.get("expected", []):
            at = self.items.get(row["key"])
            if (at[1] if at else 0) != row["revision"]:
                return 412, {"items": [self.item(r["key"])
                                       for r in body["expected"]
                                       if r["key"] in self.items]}
        for row in body.get("writes", []):
            if row.get("lease", 0) and row["lease"] not in self.leases:
                return 404, {}
        for row in body.get("writes", []):
            self.put(row["key"], base64.b64decode(row["value"]),
                     row.get("lease", 0))
        for key in body.get("remove", []):
            self.delete(key)
        return 200, {"revision": self.revision}

    async def call(self, method, path, query, body):
        if path == "/-/kv-key":
            key = query["key"]
            if key not in self.items:
                return 404, {"store_revision": self.revision}
            return 200, dict(self.item(key), store_revision=self.revision)
        if path == "/-/kv-range":
            keys = sorted(k for k in self.items
                          if k.startswith(query["prefix"])
                          and k > query.get("after", ""))
            return 200, {"items": [self.item(k) for k in keys],
                         "more_pages": False,
                         "store_revision": self.revision}
        if path == "/-/kv-watch":
            end = time.monotonic() + int(query["wait_ms"]) / 1000
            while True:
                events = [e for r, e in self.history
                          if r > int(query["after"])
                          and e["key"].startswith(query["prefix"])]
                left = end - time.monotonic()
                if events or left <= 0:
                    return 200, {"events": events,
                                 "store_revision": self.revision}
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
        if path == "/-/kv-txn":
            return self.txn(body)
        if path == "/-/kv-lease":
            self.next_lease += 1
            self.leases[self.next_lease] = [
                body["ttl_ms"], time.monotonic() + body["ttl_ms"] / 1000]
            return 200, {"lease": self.next_lease, "ttl_ms": body["ttl_ms"]}
        lease = int(path.rsplit("/", 1)[1])
        if path.startswith("/-/kv-keep/"):
            if lease not in self.leases:
                return 404, {}
            self.leases[lease][1] = (time.monotonic()
                                     + self.leases[lease][0] / 1000)
            return 200, {"ttl_ms": self.leases[lease][0]}
        if path.startswith("/-/kv-lease-end/"):
            self.end_lease(lease)
            return 200, {}
        return 400, {}

    async def serve(self, reader, writer):
        from urllib.parse import parse_qsl, urlsplit
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                body = await read_body(reader, head[1])
                method, target, _ = head[0].split(" ")
                url = urlsplit(target)
                status, reply = await self.call(
                    method, url.path, dict(parse_qsl(url.query)),
                    json.loads(body) if body else {})
                writer.write(answer(status, [("Content-Type",
                                              "application/json")],
                                    json.dumps(reply).encode()))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


class Link:
    """A path from one machine to the store that can be cut: bytes stop on
    open connections and new ones hang."""

    def __init__(self, address, ip):
        self.to = address.split(":")
        self.ip = ip
        self.up = asyncio.Event()
        self.up.set()

    async def start(self):
        server = await asyncio.start_server(self.serve, self.ip, 0)
        self.address = "%s:%d" % (self.ip, server.sockets[0].getsockname()[1])

    def cut(self):
        self.up.clear()

    def heal(self):
        self.up.set()

    async def copy(self, reader, writer):
        try:
            while True:
                data = await reader.read(65536)
                await self.up.wait()
                if not data:
                    break
                writer.write(data)
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()

    async def serve(self, reader, writer):
        await self.up.wait()
        try:
            r, w = await asyncio.open_connection(self.to[0], int(self.to[1]))
        except OSError:
            writer.close()
            return
        await asyncio.gather(self.copy(reader, w), self.copy(r, writer))


class Runner:
    """A plain runner.  Notes each request that it runs."""

    def __init__(self, record, store, ip, id, service, zone, work_s=0.01):
        self.record, self.store, self.ip = record, store, ip
        self.id, self.service, self.zone = id, service, zone
        self.work_s = work_s
        self.runs = []       # (time, request id)
        self.seq = 0
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.reply = None    # (request id, fields) -> status, fields, body

    async def start(self, registered=True):
        self.server = await asyncio.start_server(self.serve, self.ip, 0)
        self.port = self.server.sockets[0].getsockname()[1]
        self.address = "%s:%d" % (self.ip, self.port)
        if registered:
            self.register()

    def register(self):
        self.seq += 1
        self.store.put("servers/" + self.id, json.dumps(
            {"service": self.service, "address": self.address,
             "zone": self.zone, "version": "v1", "slots": 6,
             "state": self.state, "cold_left_ms": 0, "seq": self.seq,
             "born": self.born}).encode())

    async def serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                line, fields = head
                body = await read_body(reader, fields)
                writer.write(await self.handle(line, fields, body))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def handle(self, line, fields, body):
        if line.startswith("GET /health"):
            return answer(200, [(PREFIX + "Instance-Id", self.id)], b"")
        id = fields.get("x-goldcresthatch-request-id", "")
        echo = [(PREFIX + "Request-Id", id)]
        expected = fields.get("x-goldcresthatch-expect-instance", self.id)
        if expected != self.id:
            return answer(421, echo + [(PREFIX + "Instance-Id", self.id)], b"")
        self.runs.append((self.record.now(), id))
        self.record.write("run %s at %s (%s), body %d bytes"
                          % (id, self.id, self.service, len(body)))
        await asyncio.sleep(self.work_s)
        stamp = [(PREFIX + "Server-Stamp", "3e1b.07.%s" % id)]
        if self.reply is not None:
            return self.reply(id, echo, stamp)
        if " /check/" in line:
            return answer(200, echo + stamp
                          + [("Content-Type", "text/event-stream")],
                          b"id: 1\ndata: yes\n\nid: 2\ndata: end\n\n")
        return answer(200, echo + stamp, b"x" * 800)


def config(version, routes, services, timeout_ms=3000):
    """ROUTES: rows of name, prefix, kind and service."""
    document = {
        "version": version,
        "routes": [{"name": name, "host": "ficu95.example", "prefix": prefix,
                    "kind": kind, "timeout_ms": timeout_ms, "slo_ms": 300,
                    "priority": 2, "service": service, "attempts": 2}
                   for name, prefix, kind, service in routes],
        "services": [{"name": s, "health_path": "/health", "max_conns": 220,
                      "protocol": "h1", "tls": False} for s in services],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}
    return json.dumps(document).encode()


class Grey:
    """Lets a runner fail some of the requests that it has run, as srv_grey
    does: one of seven runners, two of five requests, for six seconds."""

    RUNNERS = 7
    SECONDS = 6.0

    def __init__(self, record, runner, failure):
        self.until = record.now() + self.SECONDS
        self.n = 0
        self.failed = []     # request ids
        record.write("%s begins to fail some of what it has run" % runner.id)

        def reply(id, echo, stamp):
            self.n += 1
            if record.now() < self.until and self.n % 5 in (1, 3):
                self.failed.append(id)
                return failure(echo, stamp)
            return answer(200, echo + stamp, b"x" * 800)
        runner.reply = reply


class Gateway:
    """A gateway process, with the deploy file's command, settings and
    variables."""

    def __init__(self, record, folder, n, zone, store, link_mbps, bounds=None):
        self.record, self.n, self.zone = record, n, zone
        self.ip = "127.0.91.%d" % n
        self.name = "front-%s-%d" % (zone, n)
        self.log_path = os.path.join(folder, "gateway-%d.log" % n)
        self.settings = os.path.join(folder, "gateway-%d.json" % n)
        ports = [free_port(self.ip) for _ in range(5)]
        self.front, self.ready, self.metrics = ports[:3]
        fields = {
            "node": self.name, "zone": zone, "ip": self.ip,
            "listen.front": "%s:%d" % (self.ip, ports[0]),
            "listen.ready": "%s:%d" % (self.ip, ports[1]),
            "port_range.0": ports[3], "port_range.1": ports[4],
            "limits.link_mbps": link_mbps, "platform.address": store,
            "bounds.lease_ms": 3000, "bounds.stable_ms": 4000,
            "bounds.grace_s": 8, "bounds.retry_ratio": 0.2,
            "bounds.retry_slack": 94, "bounds.retry_window_s": 10}
        fields.update(bounds or {})
        text = open(os.path.join(ROOT, "deploy/gateway.json.in")).read()
        text = re.sub(r"\{\{([a-z_.0-9]+)\|json\}\}",
                      lambda m: json.dumps(fields[m.group(1)]), text)
        text = re.sub(r"\{\{([a-z_.0-9]+)\}\}",
                      lambda m: str(fields[m.group(1)]), text)
        text = text.replace(":9464\"", ":%d\"" % ports[2])
        with open(self.settings, "w") as f:
            f.write(text)

    def start(self):
        self.log = open(self.log_path, "ab")
        self.process = subprocess.Popen(
            [GATEWAY], cwd=ROOT, stdout=self.log, stderr=self.log,
            env={"PATH": os.environ["PATH"], "HOME": "/tmp", "LANG": "C",
                 "GOLDCRESTHATCH_CONFIG": self.settings,
                 "GOLDCRESTHATCH_MEMORY_MB": "260",
                 "GOLDCRESTHATCH_MAX_FDS": "4100"})
        self.record.write("start %s" % self.name)

    def send_signal(self, number):
        self.record.write("signal %d to %s" % (number, self.name))
        self.process.send_signal(number)

    async def is_ready(self):
        try:
            r, w = await asyncio.open_connection(self.ip, self.ready)
            w.write(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
            head = await asyncio.wait_for(read_head(r), 1)
            w.close()
            return head is not None and " 200 " in head[0]
        except (OSError, asyncio.TimeoutError):
            return False

    async def metric(self, name):
        r, w = await asyncio.open_connection(self.ip, self.metrics)
        w.write(b"GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n")
        _, fields = await read_head(r)
        text = (await read_body(r, fields)).decode()
        w.close()
        found = re.search(r"^goldcresthatch_%s (\S+)$" % name, text, re.M)
        return float(found.group(1)) if found else None


async def wait_ready(gateways, limit_s=10):
    end = time.monotonic() + limit_s
    while time.monotonic() < end:
        if all([await g.is_ready() for g in gateways]):
            return True
        await asyncio.sleep(0.1)
    return False


class Requester:
    """Sends requests to one gateway, each on a connection of its own unless
    it is kept."""

    def __init__(self, record, gateway):
        self.record, self.gateway = record, gateway
        self.connection = None

    async def send(self, id, path, body=b"", method="POST", budget_ms=3000,
                   keep=False, fields=(), wait_s=None):
        """Returns the status, or None when the connection ends without a
        whole answer."""
        head = ("%s %s HTTP/1.1\r\nHost: ficu95.example\r\n"
                "%sRequest-Id: %s\r\n%sDeadline-Ms: %d\r\n"
                % (method, path, PREFIX, id, PREFIX, budget_ms))
        for name, value in fields:
            head += "%s: %s\r\n" % (name, value)
        if method != "GET":
            head += "Content-Length: %d\r\n" % len(body)
        self.record.write("sent %s to %s, %s, %d bytes"
                          % (id, self.gateway.name, path, len(body)))
        status = None
        try:
            if self.connection is None:
                self.connection = await asyncio.open_connection(
                    self.gateway.ip, self.gateway.front)
            r, w = self.connection
            w.write(head.encode() + b"\r\n" + body)
            status, _, _ = await asyncio.wait_for(
                self.read_answer(r), wait_s or budget_ms / 1000 + 1)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError,
                ValueError, TypeError) as e:
            self.record.write("failed %s: %s" % (id, type(e).__name__))
        if not keep or status is None:
            self.close()
        self.record.write("answer %s: %s" % (id, status))
        return status

    async def read_answer(self, reader):
        head = await read_head(reader)
        if head is None:
            return None, None, None
        body = await read_body(reader, head[1])
        return int(head[0].split(" ")[1]), head[1], body

    def close(self):
        if self.connection is not None:
            self.connection[1].close()
        self.connection = None


async def guarded(case, record, temporary, trouble, gateways):
    try:
        return await asyncio.wait_for(
            case(record, temporary, trouble, gateways), 110)
    except (asyncio.TimeoutError, OSError) as e:
        record.write("could not run: %s %s" % (type(e).__name__, e))
        return 2


def run_case(folder, case):
    """Runs CASE (record, temporary folder, trouble, gateways), which returns
    0, 1 or 2, and ends all processes that it started."""
    record = Record(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write("trouble %s" % ("on" if trouble else "off"))
    gateways = []
    with tempfile.TemporaryDirectory() as temporary:
        loop = asyncio.new_event_loop()
        asyncio.set_event_loop(loop)
        status = 2
        try:
            status = loop.run_until_complete(
                guarded(case, record, temporary, trouble, gateways))
        finally:
            for gateway in gateways:
                if gateway.process.poll() is None:
                    gateway.process.send_signal(signal.SIGCONT)
                    gateway.process.kill()
                gateway.process.wait()
                gateway.log.close()
                if os.environ.get("KEEP_LOGS"):
                    shutil.copy(gateway.log_path, os.environ["KEEP_LOGS"])
    record.write("exit %d" % status)
    # What the loop still waits for needs no end in order.
    os._exit(status)
