"""The store turns one gateway away for some seconds while the operator writes
configurations in quick succession.  Afterwards the versions that it has missed
are more than the gateway takes in one answer."""
import asyncio
import base64
import json
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "lib"))
import world as lib

CONFIG_S = 2.0           # config_ms of the site
SKEW_S = 5.0             # skew_max_ms: what an unstable store may add
STABLE_S = 3.0           # stable_ms: a machine is in touch that long after
TURNED_AWAY_S = 9.0      # the site's platform_down (nodes ...), for_s
BIG_CONFIG = 350         # routes, the site's big_config
STORM_S, STORM_GAP_S = 2.0, 0.08   # the site's config_storm on trouble-1
JUDGED_S = 24.0          # after the beginning of the impairment


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
        for service in ("agenda-app", "agenda-two"):
            await world.add_runner(lib.Runner(
                world, service, "zone-" + zone, slots=6, act=work))
    version = [1]
    confirmed = {}

    def configure(service, routes):
        version[0] += 3
        world.configure(version[0], [
            world.route("book", "/book/", "non_idempotent", service),
            world.route("spare-%d" % version[0], "/s%d/" % version[0],
                        "idempotent", "agenda-app"),
        ] + routes, [world.service("agenda-app"), world.service("agenda-two")])
        confirmed[version[0]] = time.monotonic()
        world.record("config   version %d confirmed: /book/ is run by %s, %d "
                     "bytes" % (version[0], service, len(base64.b64decode(
                         world.store.items["op/config"]["value"]))))
        return confirmed[version[0]]

    routes = [route(world, i, "agenda-app") for i in range(12)]
    configure("agenda-app", routes)
    gateways = [await world.add_gateway("front-%s-1" % zone, "zone-" + zone)
                for zone in "abc"]
    for gateway in gateways:
        await gateway.wait_ready()
    routes += [route(world, 4096 + i, "agenda-app") for i in range(BIG_CONFIG)]
    configure("agenda-app", routes)
    await asyncio.sleep(4)
    began = time.monotonic()
    if world.trouble:
        world.record("store    turns %s away: 503" % gateways[0].name)
        gateways[0].face.refusing = True

    async def operate():
        for begin in (1.0, 4.0):
            for i in range(int(STORM_S / STORM_GAP_S)):
                await asyncio.sleep(max(0, began + begin + i * STORM_GAP_S
                                        - time.monotonic()))
                configure("agenda-app", routes)
        await asyncio.sleep(max(0, began + 7 - time.monotonic()))
        return configure("agenda-two", routes)

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
            await world.exchange(gateway, rid, "POST", "/book/1", b"one seat")
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
                 if run["runner"].service == "agenda-app"
                 and sent[run["id"]][1] is gateway
                 and sent[run["id"]][0] > limit]
        last = max([sent[rid][0] for rid in wrong] + [moved])
        world.record("%s: %d bookings that were sent later than the bound "
                     "were run by the old service, the last one %.1f s after "
                     "the confirmation" % (gateway.name, len(wrong),
                                           last - moved))
        if wrong:
            broken.append("CONFIG: %d bookings sent to %s, which was in touch, "
                          "up to %.1f s after the confirmation were run by the "
                          "old service" % (len(wrong), gateway.name,
                                           last - moved))
    return broken


lib.main(os.path.dirname(os.path.abspath(__file__)), case)
