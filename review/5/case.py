"""A runner leaves while the store turns one gateway away, so that only the
runner's answers tell that gateway: each bears "Server-Leaving: 1".  The runner
serves for drain_ms and a little longer and exits.  Requesters send bookings
all the while."""
import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                ".."))
import world as lib

DRAIN_S = 2.0            # drain_ms of the site
SERVES_ON_S = 3.2        # after the store took its report; then it exits
TURNED_AWAY_S = 9.0      # the site's platform_down (nodes ...), for_s
BOOKERS = 4              # of each gateway
BOOK_S = 0.25
PASSING_ON_S = 0.05      # at most, from the runner's answer to the requester


async def work(runner, rid, method, target, body, fields):
    await asyncio.sleep(BOOK_S)
    return 200, b"booked " + body


class Leaving(lib.Runner):
    """Names its leaving in each answer."""
    leaving = False
    told = None          # gateway -> when an answer first named it
    asked = None         # id -> gateway

    def fields(self, rid, body=b""):
        fields = super().fields(rid, body)
        if self.leaving:
            fields.append(("Server-Leaving", "1"))
            self.told.setdefault(self.asked.get(rid), time.monotonic())
        return fields


async def case(world):
    sent_at = {}
    asked = {}
    answers = {}
    for zone in "abc":
        runner = await world.add_runner(Leaving(
            world, "agenda-app", "zone-" + zone, slots=6, act=work))
        runner.asked = asked
        runner.told = {}
    leaver = world.runners[0]
    world.configure(7, [
        world.route("book", "/book/", "non_idempotent", "agenda-app"),
    ], [world.service("agenda-app")])
    gateways = [await world.add_gateway("front-%s-1" % zone, "zone-" + zone)
                for zone in "abc"]
    for gateway in gateways:
        await gateway.wait_ready()
    await asyncio.sleep(4)       # in touch
    done = asyncio.Event()

    async def book(gateway, number):
        while not done.is_set():
            rid = world.request_id()
            sent_at[rid] = time.monotonic()
            asked[rid] = gateway
            answers[rid] = await world.exchange(
                gateway, rid, "POST", "/book/%d" % number, b"one seat")
            await asyncio.sleep(0.02)
    tasks = [asyncio.ensure_future(book(gateway, i)) for i in range(BOOKERS)
             for gateway in gateways]
    await asyncio.sleep(1)
    began = time.monotonic()
    if world.trouble:
        world.record("store    turns %s away: 503" % gateways[0].name)
        gateways[0].face.refusing = True
    await asyncio.sleep(2)
    world.record("leaves   %s: reported draining, and its answers say so"
                 % leaver.id)
    leaver.leaving = True
    world.store.put("servers/" + leaver.id, leaver.entry("draining"))
    await asyncio.sleep(SERVES_ON_S)
    world.record("exits    %s" % leaver.id)
    await leaver.close()
    world.store.remove("servers/" + leaver.id)
    await asyncio.sleep(max(0, began + TURNED_AWAY_S - time.monotonic()))
    gateways[0].face.refusing = False
    world.record("store    serves all")
    await asyncio.sleep(1)
    done.set()
    await asyncio.gather(*tasks)
    broken = []
    for gateway in gateways:
        told = leaver.told.get(gateway)
        if told is None:
            continue
        limit = told + PASSING_ON_S + DRAIN_S
        late = [run["id"] for run in world.runs if run["runner"] is leaver
                and asked[run["id"]] is gateway and sent_at[run["id"]] > limit]
        lost = [rid for rid in late if answers[rid][0] != 200]
        world.record("%s: %d bookings reached %s that were sent later than "
                     "drain_ms after an answer with Server-Leaving was passed "
                     "on; lost: %s"
                     % (gateway.name, len(late), leaver.id,
                        ", ".join("%s (%s)" % (rid, answers[rid][0] or "none")
                                  for rid in lost) or "none"))
        if late:
            broken.append("DRAIN: %d bookings that were sent to %s later than "
                          "drain_ms after it passed on Server-Leaving reached "
                          "that runner; %d were lost when it exited"
                          % (len(late), gateway.name, len(lost)))
    return broken


lib.main(case)
