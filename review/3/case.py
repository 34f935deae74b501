"""The store turns one gateway with a thin link away for some seconds while the
operator makes two changes of a configuration with many routes.  Afterwards the
gateway doesn't get hold of them, though it reaches the store."""
import asyncio
import base64
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                ".."))
import world as lib

# The bounds of the site.
CONFIG_S = 3.0           # config_ms
SKEW_S = 6.0             # skew_max_ms: what an unstable store may add
STABLE_S = 4.0           # stable_ms: a machine is in touch that long after

TURNED_AWAY_S = 9.0      # the site's platform_down (nodes ...), for_s
BIG_CONFIG = 1400        # routes, the site's big_config
LINK_MBIT = 10.0         # of 19 of the site's 27 front machines
CHANGES_AT_S = (3.0, 6.0)  # after the beginning of the impairment
JUDGED_S = 26.0


def route(world, number, service):
    """A route as the operator writes them."""
    return world.route("r-%07x" % number, "/m%06x/" % number, "streaming",
                       service, timeout_ms=15000, slo_ms=120, priority=1,
                       sticky=True, resumable=False, gap_target_ms=200)


async def work(runner, rid, method, target, body, fields):
    await asyncio.sleep(0.03)
    return 200, runner.service.encode()


async def case(world):
    for zone in "abc":
        for service in ("pedidos", "pedidos-two"):
            await world.add_runner(lib.Runner(
                world, service, "zone-" + zone, slots=6, act=work))
    version = [1]

    def configure(service, routes):
        version[0] += 3
        world.configure(version[0], [
            world.route("book", "/book/", "non_idempotent", service),
        ] + routes, [world.service("pedidos"), world.service("pedidos-two")])
        world.record("config   version %d confirmed: /book/ is run by %s, %d "
                     "bytes" % (version[0], service, len(base64.b64decode(
                         world.store.items["op/config"]["value"]))))
        return time.monotonic()

    routes = [route(world, i, "pedidos") for i in range(12)]
    configure("pedidos", routes)
    gateways = []
    for zone, link in (("a", LINK_MBIT), ("b", LINK_MBIT), ("c", 200.0)):
        gateway = await world.add_gateway(
            "front-%s-1" % zone, "zone-" + zone, link_mbit=link,
            settled_ms=int(STABLE_S * 1000))
        gateway.face.bytes_per_s = link * 1e6 / 8
        gateways.append(gateway)
    for gateway in gateways:
        await gateway.wait_ready()
    routes += [route(world, 4096 + i, "pedidos") for i in range(BIG_CONFIG)]
    configure("pedidos", routes)
    await asyncio.sleep(STABLE_S + 1)
    began = time.monotonic()
    if world.trouble:
        world.record("store    turns %s away: 503" % gateways[0].name)
        gateways[0].face.refusing = True

    async def operate():
        for i, at in enumerate(CHANGES_AT_S):
            await asyncio.sleep(max(0, began + at - time.monotonic()))
            moved = configure("pedidos-two", routes[:-1 - i])
        return moved

    async def end():
        await asyncio.sleep(max(0, began + TURNED_AWAY_S - time.monotonic()))
        gateways[0].face.refusing = False
        if world.trouble:
            world.record("store    serves all")
        return time.monotonic()

    sent = {}

    async def book(gateway):
        while time.monotonic() < began + JUDGED_S:
            rid = world.request_id()
            sent[rid] = (time.monotonic(), gateway)
            await world.exchange(gateway, rid, "POST", "/book/1", b"one order")
            await asyncio.sleep(0.3)
    tasks = [asyncio.ensure_future(book(gateway)) for gateway in gateways]
    moved, ended = await asyncio.gather(operate(), end())
    await asyncio.gather(*tasks)
    broken = []
    for gateway in gateways:
        limit = moved + CONFIG_S
        if world.trouble and gateway is gateways[0]:
            limit = max(limit + SKEW_S, ended + STABLE_S)
        wrong = [run["id"] for run in world.runs
                 if run["runner"].service == "pedidos"
                 and sent[run["id"]][1] is gateway
                 and sent[run["id"]][0] > limit]
        last = max([sent[rid][0] for rid in wrong] + [moved])
        world.record("%s: %d bookings that were sent later than the bound "
                     "were run by the old service" % (gateway.name, len(wrong)))
        if wrong:
            broken.append("CONFIG: %d bookings sent to %s, which was in touch, "
                          "up to %.1f s after the confirmation were run by the "
                          "old service" % (len(wrong), gateway.name,
                                           last - moved))
    return broken


lib.main(case)
