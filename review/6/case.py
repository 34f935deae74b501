"""A booking, or a stream that may not be resumed, that was relayed to another
gateway runs a second time when the runner that ran it answers with a failure
that bears no stamp."""
import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import world_2 as w

PAUSE_S = 0.03
# Bodies of the site's longest kind of request and of its longest booking.
BODY = {"check": b"b" * 9200, "place": b"b" * 3600}


async def case(record, temporary, trouble, gateways):
    store = w.Store(record)
    await store.start()
    runners = []
    for i, zone in enumerate("abcabca"[:w.Grey.RUNNERS]):
        runner = w.Runner(record, store, "127.0.92.%d" % (i + 1), "i-%d" % i,
                          "pedidos", zone)
        await runner.start()
        runners.append(runner)
    store.put("op/config", w.config(
        7, [("place", "/place/", "non_idempotent", "pedidos"),
            ("check", "/check/", "streaming", "pedidos")], ["pedidos"]))
    narrow = w.Gateway(record, temporary, 1, "a", store.address, 10.0)
    wide = w.Gateway(record, temporary, 2, "b", store.address, 200.0)
    for gateway in (narrow, wide):
        gateway.start()
        gateways.append(gateway)
    if not await w.wait_ready(gateways):
        return 2
    requester = w.Requester(record, narrow)
    for i in range(50):
        if await requester.send("calm-%d" % i, "/place/1", BODY["place"]) != 200:
            return 2
        if await narrow.metric("relayed_total"):
            break
        await asyncio.sleep(0.2)
    else:
        record.write("nothing was relayed")
        return 2

    end = record.now() + w.Grey.SECONDS
    if trouble:
        w.Grey(record, runners[0],
               lambda echo, stamp: w.answer(400, echo, b"no such length"))
    ids = []
    while record.now() < end - 1:
        kind = ("place", "check")[len(ids) % 2]
        ids.append("%s-%d" % (kind, len(ids)))
        await requester.send(ids[-1], "/%s/1" % kind, BODY[kind])
        await asyncio.sleep(PAUSE_S)
    await asyncio.sleep(1)
    twice = [id for id in ids
             if sum(id == ran for r in runners for _, ran in r.runs) > 1]
    record.write("%d of %d requests ran more than once: %s"
                 % (len(twice), len(ids), twice))
    return 1 if twice else 0


w.run_case(FOLDER, case)
