"""Stand-ins of the platform for the scripts of this review: the store, the
runners and requesters, and the start of gateways as the deploy file says.

All addresses are loopback addresses of a network 127.N that no other run uses,
and all times are those of the steady clock.  The store and the runners speak
what PROTOCOL.md says of them, as far as the scripts need it."""
import asyncio
import base64
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from urllib.parse import parse_qs, urlsplit

RUN_S = 110             # longest time of a case, of the 120 s allowed
GATEWAY_START_S = 30
PAGE_ITEMS = 500        # of a listing of the store
FIELD = "X-Goldcresthatch-"


def now():
    return time.monotonic()


async def read_head(reader):
    """Returns the first line and the fields, with lower-case names."""
    raw = await reader.readuntil(b"\r\n\r\n")
    lines = raw.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def read_body(reader, fields):
    if fields.get("transfer-encoding", "").lower() != "chunked":
        return await reader.readexactly(int(fields.get("content-length", 0)))
    body = b""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
        if size == 0:
            return body
        body += data[:-2]


def answer_bytes(status, fields, body):
    return ("HTTP/1.1 %d -\r\n%sContent-Length: %d\r\n\r\n"
            % (status, fields, len(body))).encode() + body


class Store:
    """The platform's store.  It loses nothing that it has acknowledged."""

    def __init__(self, address):
        self.address = address
        self.items = {}   # key -> (value, revision, created, lease)
        self.log = []     # (revision, key, value or None, created)
        self.revision = 100
        self.leases = {}  # number -> [time to live, end]
        self.last_lease = 7000
        self.changed = asyncio.Event()

    async def start(self):
        ip, port = self.address.split(":")
        self.server = await asyncio.start_server(self.serve, ip, int(port),
                                                 backlog=512)
        self.sweeper = asyncio.ensure_future(self.sweep())

    def commit(self, writes, removes):
        """Applies WRITES, key -> (value, lease), and REMOVES."""
        self.revision += 1
        for key, (value, lease) in writes.items():
            created = (self.items[key][2] if key in self.items
                       else self.revision)
            self.items[key] = (value, self.revision, created, lease)
            self.log.append((self.revision, key, value, created))
        for key in removes:
            if self.items.pop(key, None) is not None:
                self.log.append((self.revision, key, None, 0))
        self.changed.set()
        self.changed = asyncio.Event()
        return self.revision

    def put(self, key, value):
        return self.commit({key: (json.dumps(value).encode(), 0)}, [])

    async def sweep(self):
        while True:
            await asyncio.sleep(0.02)
            for number, lease in list(self.leases.items()):
                if lease[1] < now():
                    self.end_lease(number)

    def end_lease(self, number):
        if self.leases.pop(number, None) is None:
            return False
        keys = [k for k, item in self.items.items() if item[3] == number]
        if keys:
            self.commit({}, keys)
        return True

    def item(self, key):
        value, revision, created, lease = self.items[key]
        return {"key": key, "value": base64.b64encode(value).decode(),
                "revision": revision, "created_rev": created, "lease": lease}

    async def serve(self, reader, writer):
        try:
            while True:
                line, fields = await read_head(reader)
                body = await read_body(reader, fields)
                method, target, _ = line.split(" ")
                status, answer = await self.answer(method, target, body)
                writer.write(answer_bytes(
                    status, "Content-Type: application/json\r\n",
                    json.dumps(answer).encode()))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        finally:
            writer.close()

    async def answer(self, method, target, body):
        url = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(url.query).items()}
        call = method + " " + re.sub(r"/\d+$", "", url.path)
        number = int(url.path.rpartition("/")[2]) if call != (
            method + " " + url.path) else 0
        if call == "GET /-/kv-key":
            if query["key"] not in self.items:
                return 404, {"store_revision": self.revision}
            return 200, dict(self.item(query["key"]),
                             store_revision=self.revision)
        if call == "GET /-/kv-range":
            keys = sorted(k for k in self.items
                          if k.startswith(query["prefix"])
                          and k > query.get("after", ""))
            return 200, {"items": [self.item(k) for k in keys[:PAGE_ITEMS]],
                         "more_pages": len(keys) > PAGE_ITEMS,
                         "store_revision": self.revision}
        if call == "GET /-/kv-watch":
            return 200, await self.watch(query["prefix"], int(query["after"]),
                                         int(query["wait_ms"]) / 1000)
        if call == "POST /-/kv-txn":
            return self.transaction(json.loads(body))
        if call == "POST /-/kv-lease":
            ttl_ms = json.loads(body)["ttl_ms"]
            self.last_lease += 1
            self.leases[self.last_lease] = [ttl_ms / 1000,
                                            now() + ttl_ms / 1000]
            return 200, {"lease": self.last_lease, "ttl_ms": ttl_ms}
        if call == "POST /-/kv-keep":
            lease = self.leases.get(number)
            if lease is None:
                return 404, {}
            lease[1] = now() + lease[0]
            return 200, {"ttl_ms": int(lease[0] * 1000)}
        if call == "DELETE /-/kv-lease-end":
            return (200 if self.end_lease(number) else 404), {}
        return 400, {}

    async def watch(self, prefix, after, wait_s):
        end = now() + wait_s
        while True:
            events = []
            for revision, key, value, created in reversed(self.log):
                if revision <= after:
                    break
                if not key.startswith(prefix):
                    continue
                event = {"key": key, "revision": revision}
                if value is None:
                    event["deleted"] = True
                else:
                    event.update(value=base64.b64encode(value).decode(),
                                 created_rev=created, lease=0)
                events.insert(0, event)
            if events or now() >= end:
                return {"events": events, "store_revision": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), end - now())
            except asyncio.TimeoutError:
                pass

    def transaction(self, txn):
        for row in txn.get("expected", []):
            held = self.items.get(row["key"])
            if (held[1] if held else 0) != row["revision"]:
                return 412, {"items": [self.item(r["key"])
                                       for r in txn["expected"]
                                       if r["key"] in self.items]}
        writes = {}
        for write in txn.get("writes", []):
            lease = write.get("lease", 0)
            if lease and lease not in self.leases:
                return 404, {}
            if write["key"].startswith(("op/", "servers/")):
                return 403, {}
            writes[write["key"]] = (base64.b64decode(write["value"]), lease)
        return 200, {"revision": self.commit(writes, txn.get("remove", []))}


class Runner:
    """A runner.  Its answers to requests are those of RESPOND, a coroutine
    that gets the runner, the target, the fields, the body and the writer."""

    def __init__(self, world, ident, service, address, zone, slots, respond,
                 stage=None):
        self.world = world
        self.id = ident
        self.service = service
        self.address = address
        self.zone = zone
        self.slots = slots
        self.respond = respond
        self.stage = stage
        self.born = int(time.time() * 1000)

    async def start(self):
        ip, port = self.address.split(":")
        self.server = await asyncio.start_server(self.serve, ip, int(port),
                                                 backlog=512)
        entry = {"service": self.service, "address": self.address,
                 "zone": self.zone, "version": "v1", "slots": self.slots,
                 "state": "ready", "cold_left_ms": 0, "seq": 1,
                 "born": self.born}
        if self.stage is not None:
            entry.update(stage=self.stage, models=[
                {"name": "m", "version": 1, "adapters": []}])
        self.world.store.put("servers/" + self.id, entry)

    async def serve(self, reader, writer):
        try:
            while True:
                line, fields = await read_head(reader)
                body = await read_body(reader, fields)
                await self.request(line.split(" ")[1], fields, body, writer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        finally:
            writer.close()

    async def request(self, target, fields, body, writer):
        expected = fields.get((FIELD + "Expect-Instance").lower())
        if target == "/health":
            writer.write(answer_bytes(
                200, FIELD + "Instance-Id: %s\r\n" % self.id, b""))
        elif target == "/-/report":
            report = {"stage": self.stage, "models": [], "busy": False,
                      "seq": 0, "waiting": 0, "running": 0, "kv_used": 0,
                      "kv_total": 1000000, "kv_handles": 0}
            writer.write(answer_bytes(200, "Content-Type: application/json"
                                      "\r\n", json.dumps(report).encode()))
        elif target == "/-/order":
            writer.write(answer_bytes(409, "", b""))
        elif expected not in (None, self.id):
            writer.write(answer_bytes(421, FIELD + "Not-Run: 1\r\n", b""))
        else:
            await self.respond(self, target, fields, body, writer)


class Gateway:
    """One process of the role in the deploy file."""

    def __init__(self, world, name, ip, zone, link_mbps):
        self.world = world
        self.name = name
        self.ip = ip
        self.zone = zone
        self.link_mbps = link_mbps
        self.process = None

    def settings(self):
        """Returns the deploy file's template, filled in as the platform
        does."""
        values = {"node": self.name, "zone": self.zone, "ip": self.ip,
                  "listen.front": self.ip + ":8144",
                  "listen.ready": self.ip + ":8140",
                  "port_range.0": 7660, "port_range.1": 7675,
                  "limits.link_mbps": self.link_mbps,
                  "platform.address": self.world.store.address}
        for name, value in self.world.bounds.items():
            values["bounds." + name] = value

        def fill(match):
            name, _, form = match[1].partition("|")
            return (json.dumps(values[name]) if form == "json"
                    else str(values[name]))
        with open(os.path.join(self.world.root,
                               "deploy/gateway.json.in")) as template:
            return re.sub(r"\{\{([^}]+)\}\}", fill, template.read())

    def write_settings(self):
        path = os.path.join(self.world.folder, self.name + ".json")
        with open(path, "w") as settings:
            settings.write(self.settings())
        return path

    def start(self):
        path = self.write_settings()
        env = {"PATH": os.environ["PATH"], "HOME": self.world.folder,
               "GOLDCRESTHATCH_CONFIG": path,
               "GOLDCRESTHATCH_MEMORY_MB": "260",
               "GOLDCRESTHATCH_MAX_FDS": "4100"}
        with open(os.path.join(self.world.folder, self.name + ".log"),
                  "ab") as log:
            self.process = subprocess.Popen(
                ["target/goldcresthatch-gateway"], cwd=self.world.root,
                env=env, stdout=log, stderr=log)

    async def page(self, port, target):
        """Returns the status and the body of a page, or None."""
        try:
            reader, writer = await asyncio.open_connection(self.ip, port)
            writer.write(("GET %s HTTP/1.1\r\nHost: g\r\n\r\n"
                          % target).encode())
            line, fields = await read_head(reader)
            body = await read_body(reader, fields)
            writer.close()
        except (OSError, asyncio.IncompleteReadError):
            return None
        return int(line.split(" ")[1]), body.decode()

    async def knows(self, count):
        """Tells whether the gateway is ready and knows COUNT gateways."""
        ready = await self.page(8140, "/-/ready")
        metrics = await self.page(9464, "/metrics")
        return (ready is not None and ready[0] == 200 and metrics is not None
                and re.search(r"^goldcresthatch_gateways %d$" % count,
                              metrics[1], re.M) is not None)


class World:
    def __init__(self, bounds, record):
        self.root = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
        self.bounds = bounds
        self.net, self.guard = self.take_net()
        self.folder = tempfile.mkdtemp()
        self.record = open(record, "w")
        self.began = now()
        self.store = Store(self.ip(0, 1) + ":7000")
        self.gateways = []

    @staticmethod
    def take_net():
        """Returns the number of a free network and the socket that keeps
        other runs off it."""
        for net in random.sample(range(60, 250), 100):
            guard = socket.socket()
            try:
                guard.bind(("127.%d.255.1" % net, 7999))
                return net, guard
            except OSError:
                guard.close()
        raise RuntimeError("no free loopback network")

    def ip(self, a, b):
        return "127.%d.%d.%d" % (self.net, a, b)

    def note(self, what, *rest):
        self.record.write("%.4f %s %s\n" % (
            now() - self.began, what, " ".join(str(r) for r in rest)))

    async def start_gateways(self, count, link_mbps):
        for i in range(count):
            gateway = Gateway(self, "front-%d" % i, self.ip(2, i + 1),
                              "zone-%d" % (i % 3), link_mbps)
            gateway.start()
            self.gateways.append(gateway)
        end = now() + GATEWAY_START_S
        while True:
            for gateway in self.gateways:
                if gateway.process.poll() is not None:
                    raise RuntimeError("a gateway has ended")
            if all([await g.knows(count) for g in self.gateways]):
                return
            if now() > end:
                raise RuntimeError("the gateways don't know each other")
            await asyncio.sleep(0.2)

    def close(self):
        for gateway in self.gateways:
            if gateway.process is not None and gateway.process.poll() is None:
                gateway.process.send_signal(signal.SIGCONT)
                gateway.process.kill()
                gateway.process.wait()
        self.record.close()
        self.guard.close()
        shutil.rmtree(self.folder, ignore_errors=True)


def main(bounds, run):
    """Runs the coroutine RUN with the world and whether there is a disruption.
    Exits with 1 if it returns that the rule was broken, with 0 if the rule
    held, and with 2 if the case couldn't run."""
    folder = os.path.dirname(os.path.abspath(sys.argv[0]))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    status = 2

    async def whole():
        world = World(bounds, os.path.join(folder, "record.txt"))
        # Connections end with the run, in any state.
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)
        try:
            return await asyncio.wait_for(run(world, trouble), RUN_S)
        finally:
            world.close()
    try:
        status = 1 if asyncio.run(whole()) else 0
        print("the rule was broken" if status else "the rule held")
    except (RuntimeError, OSError, asyncio.TimeoutError) as error:
        print("the case couldn't run: %r" % error)
    sys.stdout.flush()
    os._exit(status)
