"""Stand-ins for the cases of the third review: the platform's store, runners
and the start of gateways.  Standard library only, loopback addresses only."""
import asyncio
import base64
import json
import os
import signal
import subprocess
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
PROGRAM = os.path.join(ROOT, "target", "goldcresthatch-gateway")
REASONS = {200: "OK", 404: "Not Found", 409: "Conflict", 410: "Gone",
           412: "Precondition Failed", 421: "Misdirected Request",
           503: "Service Unavailable"}


def net():
    """Returns the first three numbers of loopback addresses that another run
    is unlikely to use."""
    pid = os.getpid()
    return "127.%d.%d" % (64 + pid % 128, 1 + pid // 128 % 250)


class Head:
    """Head of a message: its first line and its fields, names in lowercase."""

    def __init__(self, data):
        lines = data.decode("latin-1").split("\r\n")
        self.line = lines[0]
        self.fields = {}
        for line in lines[1:]:
            if ":" in line:
                name, value = line.split(":", 1)
                self.fields[name.lower()] = value.strip()

    def get(self, name, default=None):
        return self.fields.get(name.lower(), default)


async def read_message(reader):
    """Returns the head and the body of a message with a length."""
    head = Head((await reader.readuntil(b"\r\n\r\n"))[:-4])
    size = int(head.get("content-length", "0"))
    return head, await reader.readexactly(size) if size else b""


def message(status, body=b"", fields=()):
    lines = ["HTTP/1.1 %d %s" % (status, REASONS.get(status, "Status"))]
    lines += ["%s: %s" % field for field in fields]
    lines.append("Content-Length: %d" % len(body))
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Record:
    """What was sent, answered and run."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w",
                         encoding="utf-8")
        self.began = time.monotonic()

    def write(self, text):
        self.file.write("%8.3f %s\n" % (time.monotonic() - self.began, text))
        self.file.flush()


class Server:
    """An HTTP server whose connections are closed when it stops."""

    def __init__(self):
        self.listener = None
        self.writers = set()

    async def start(self, address):
        host, port = address.split(":")
        self.listener = await asyncio.start_server(
            self.serve, host, int(port), backlog=512)

    async def stop(self):
        self.listener.close()
        for writer in list(self.writers):
            writer.transport.abort()
        await asyncio.sleep(0)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head, body = await read_message(reader)
                if not await self.answer(head, body, writer):
                    break
        except (asyncio.IncompleteReadError, ConnectionError, OSError,
                asyncio.LimitOverrunError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Store(Server):
    """The platform's store."""

    def __init__(self):
        super().__init__()
        self.items = {}
        self.history = []
        self.revision = 1
        self.leases = {}        # number -> (end, seconds)
        self.next_lease = 70000
        self.changed = asyncio.Event()

    def note(self, event):
        self.history.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, key, value, lease=0):
        if isinstance(value, (dict, list)):
            value = json.dumps(value).encode()
        before = self.items.get(key)
        self.revision += 1
        item = {"key": key, "value": base64.b64encode(value).decode(),
                "revision": self.revision,
                "created_rev": before["created_rev"] if before
                else self.revision, "lease": lease}
        self.items[key] = item
        self.note(item)

    def remove(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self.note({"key": key, "revision": self.revision,
                       "deleted": True})

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [k for k, i in self.items.items() if i["lease"] == lease]:
            self.remove(key)

    def expire(self):
        now = time.monotonic()
        for lease in [n for n, (end, _) in self.leases.items() if end < now]:
            self.end_lease(lease)

    async def watch(self, query):
        prefix = query.get("prefix", "")
        after = int(query.get("after", "0"))
        end = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
        while True:
            self.expire()
            events = [e for e in self.history if e["revision"] > after
                      and e["key"].startswith(prefix)]
            left = end - time.monotonic()
            if events or left <= 0:
                return {"events": events, "store_revision": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), min(left, 0.2))
            except asyncio.TimeoutError:
                pass

    def transaction(self, call):
        self.expire()
        for row in call.get("expected", ()):
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                return 412, {"items": [self.items[r["key"]]
                                       for r in call["expected"]
                                       if r["key"] in self.items]}
        for write in call.get("writes", ()):
            if write.get("lease", 0) and write["lease"] not in self.leases:
                return 404, {}
        for write in call.get("writes", ()):
            self.put(write["key"], base64.b64decode(write["value"]),
                     write.get("lease", 0))
        for key in call.get("remove", ()):
            self.remove(key)
        return 200, {"revision": self.revision}

    def lease_call(self, path, body):
        self.expire()
        if path == "/-/kv-lease":
            self.next_lease += 1
            seconds = json.loads(body)["ttl_ms"] / 1000
            self.leases[self.next_lease] = (time.monotonic() + seconds,
                                            seconds)
            return 200, {"lease": self.next_lease,
                         "ttl_ms": int(seconds * 1000)}
        lease = int(path.rsplit("/", 1)[1])
        if lease not in self.leases:
            return 404, {}
        if path.startswith("/-/kv-lease-end/"):
            self.end_lease(lease)
            return 200, {}
        seconds = self.leases[lease][1]
        self.leases[lease] = (time.monotonic() + seconds, seconds)
        return 200, {"ttl_ms": int(seconds * 1000)}

    async def answer(self, head, body, writer):
        _, target, _ = head.line.split(" ")
        path, _, text = target.partition("?")
        query = dict(urllib.parse.parse_qsl(text))
        status = 200
        if path == "/-/kv-key":
            self.expire()
            item = self.items.get(query["key"])
            status = 200 if item else 404
            out = dict(item or {}, store_revision=self.revision)
        elif path == "/-/kv-range":
            self.expire()
            out = {"items": [self.items[k] for k in sorted(self.items)
                             if k.startswith(query.get("prefix", ""))
                             and k > query.get("after", "")],
                   "more_pages": False, "store_revision": self.revision}
        elif path == "/-/kv-watch":
            out = await self.watch(query)
        elif path == "/-/kv-txn":
            status, out = self.transaction(json.loads(body))
        else:
            status, out = self.lease_call(path, body)
        writer.write(message(status, json.dumps(out).encode(),
                             [("Content-Type", "application/json")]))
        await writer.drain()
        return True


class Runner(Server):
    """A plain runner.  RUN is called with the head and the body of a request
    that has run, and may return another body of the answer."""

    def __init__(self, record, name, address, run=None):
        super().__init__()
        self.record = record
        self.name = name
        self.address = address
        self.run = run
        self.ran = []           # (id, body)

    async def answer(self, head, body, writer):
        request = head.get("X-Goldcresthatch-Request-Id", "")
        expected = head.get("X-Goldcresthatch-Expect-Instance", self.name)
        if expected != self.name:
            writer.write(message(421, b"", [
                ("X-Goldcresthatch-Instance-Id", self.name)]))
            return True
        self.record.write("runner %s runs id=%s %s body=%d bytes"
                          % (self.name, request, head.line, len(body)))
        self.ran.append((request, body))
        out = (self.run(head, body) if self.run else None) or b"done"
        writer.write(message(200, out, [
            ("X-Goldcresthatch-Request-Id", request),
            ("X-Goldcresthatch-Server-Stamp", "stamp-" + request),
            ("X-Goldcresthatch-Server-Load", "1,0,6")]))
        await writer.drain()
        return True


def runner_entry(runner, service, slots=6):
    return {"service": service, "address": runner.address, "zone": "z1",
            "version": "v1", "slots": slots, "state": "ready",
            "cold_left_ms": 0, "seq": 0, "born": int(time.time() * 1000)}


def route(name, prefix, kind, service, **more):
    out = {"name": name, "host": "site.example", "prefix": prefix,
           "kind": kind, "timeout_ms": 2500, "slo_ms": 150, "priority": 1,
           "service": service, "attempts": 2 if kind == "idempotent" else 1}
    out.update(more)
    return out


def config(version, routes, services):
    return {"version": version, "routes": routes,
            "services": [{"name": s, "health_path": "/health",
                          "max_conns": 100, "protocol": "h1", "tls": False}
                         for s in services],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}


class Gateway:
    """A gateway, started by the command of the deploy file with its template
    filled in."""

    def __init__(self, folder, name, ip, store, link_mbit=1000.0,
                 memory_mb=260, max_fds=4100, settled_ms=3000, slack=54):
        self.name = name
        self.memory_mb = memory_mb
        self.max_fds = max_fds
        self.ip = ip
        self.front = ip + ":8144"
        self.ready = ip + ":8140"
        self.process = None
        self.settings = os.path.join(folder, name + ".json")
        self.log = os.path.join(folder, name + ".log")
        with open(self.settings, "w", encoding="utf-8") as file:
            json.dump({
                "node": name, "zone": "z1", "listen_front": self.front,
                "listen_ready": self.ready, "listen_metrics": ip + ":9464",
                "listen_relay": ip + ":7675", "link_mbit": link_mbit,
                "listen_load": ip + ":7660", "store": store,
                "lease_ms": 3000, "settled_ms": settled_ms,
                "grace_s": 8, "repeat_ratio": 0.2, "repeat_slack": slack,
                "repeat_window_s": 10, "admit_factor": 0.8,
                "prefill_share": 0.68, "overflow_share": 0.2,
                "learn_speeds": 1}, file)

    def start(self):
        env = {"PATH": os.environ.get("PATH", ""), "LANG": "C",
               "GOLDCRESTHATCH_CONFIG": self.settings,
               "GOLDCRESTHATCH_MEMORY_MB": str(self.memory_mb),
               "GOLDCRESTHATCH_MAX_FDS": str(self.max_fds)}
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen([PROGRAM], cwd=ROOT, env=env,
                                            stdin=subprocess.DEVNULL,
                                            stdout=log, stderr=log)

    def stop(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    async def is_ready(self):
        try:
            status, _, _ = await asyncio.wait_for(
                request(self.ready, b"GET /-/ready HTTP/1.1\r\n"
                        b"Host: ready\r\n\r\n"), 1)
            return status == 200
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False

    async def wait_ready(self, seconds=10):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if await self.is_ready():
                return True
            await asyncio.sleep(0.1)
        return False


async def read_answer(reader):
    """Returns status, head and whole body of an answer.  Raises
    IncompleteReadError for one that isn't whole."""
    head = Head((await reader.readuntil(b"\r\n\r\n"))[:-4])
    status = int(head.line.split(" ")[1])
    if head.get("transfer-encoding") == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            body += (await reader.readexactly(size + 2))[:-2]
            if size == 0:
                return status, head, body
    size = int(head.get("content-length", "0"))
    return status, head, await reader.readexactly(size) if size else b""


async def request(address, data):
    """Sends DATA on a new connection and reads one answer."""
    host, port = address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        writer.write(data)
        await writer.drain()
        return await read_answer(reader)
    finally:
        writer.close()


class Engine(Runner):
    """A runner of a model: streams its answers, and tells and changes its
    stage.  EVENTS is the number of events of a stream, EVENT_BYTES their
    size."""

    def __init__(self, record, name, address, store, entry, events,
                 event_bytes):
        super().__init__(record, name, address)
        self.store = store
        self.entry = entry
        self.events = events
        self.event_bytes = event_bytes
        self.orders = 0
        self.streamed = {}      # id -> when the last byte was handed over

    def body(self, request):
        """Returns the whole stream of a request."""
        out = b""
        for number in range(1, self.events + 1):
            text = "%s event %d " % (request, number)
            out += b"id: %d\ndata: %s\n\n" % (
                number, text.encode().ljust(self.event_bytes, b"."))
        return out

    async def answer(self, head, body, writer):
        path = head.line.split(" ")[1]
        if path == "/-/report":
            report = {"stage": self.entry["stage"], "busy": False,
                      "models": self.entry["models"], "seq": self.orders,
                      "waiting": 0, "running": 0, "kv_used": 0,
                      "kv_total": 1466667, "kv_handles": 0}
            writer.write(message(200, json.dumps(report).encode(), [
                ("Content-Type", "application/json")]))
            return True
        if path == "/-/order":
            order = json.loads(body)
            self.orders += 1
            self.entry["stage"] = order["stage"]
            self.store.put("servers/" + self.name, self.entry)
            writer.write(message(202))
            return True
        if path == "/health":
            writer.write(message(200, b"", [
                ("X-Goldcresthatch-Instance-Id", self.name),
                ("X-Goldcresthatch-Server-Load", "0,0,48")]))
            return True
        request = head.get("X-Goldcresthatch-Request-Id", "")
        expected = head.get("X-Goldcresthatch-Expect-Instance", self.name)
        if expected != self.name or head.get("X-Goldcresthatch-Stage"):
            writer.write(message(421, b"", [
                ("X-Goldcresthatch-Instance-Id", self.name)]))
            return True
        self.record.write("runner %s runs id=%s" % (self.name, request))
        self.ran.append((request, body))
        writer.write(("HTTP/1.1 200 OK\r\n"
                      "X-Goldcresthatch-Request-Id: %s\r\n"
                      "X-Goldcresthatch-Server-Stamp: stamp-%s\r\n"
                      "Content-Type: text/event-stream\r\n"
                      "Transfer-Encoding: chunked\r\n\r\n"
                      % (request, request)).encode())
        for event in self.body(request).split(b"\n\n")[:-1]:
            event += b"\n\n"
            writer.write(b"%x\r\n" % len(event) + event + b"\r\n")
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        self.streamed[request] = time.monotonic()
        self.record.write("runner %s has ended id=%s" % (self.name, request))
        return True


def engine_entry(address, stage):
    return {"service": "lm", "address": address, "zone": "z1",
            "version": "v1", "slots": 48, "state": "ready", "cold_left_ms": 0,
            "stage": stage, "seq": 0, "born": int(time.time() * 1000),
            "models": [{"name": "m", "version": 1, "adapters": []}]}


def engine_service():
    return {"name": "lm", "health_path": "/health", "max_conns": 300,
            "protocol": "h1", "tls": False,
            "engine": {"slots": 48, "kv_tokens": 1466667,
                       "kv_token_bytes": 18432, "link_mbps": 2200000.0,
                       "stride": 51, "most": 12, "handle_ttl_s": 5.0,
                       "switch_s": 3.0, "models": [{"name": "m"}]}}
