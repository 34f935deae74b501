"""A booking that a runner has run and failed is answered with the promise that
it has not run; its requester sends it again, and it runs a second time."""
import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import world_2 as w

REQUESTS = 40
PROMISES = (408, 421, 429, 503)


async def case(record, temporary, trouble, gateways):
    store = w.Store(record)
    await store.start()
    runners = []
    for i, zone in enumerate("abc"):
        runner = w.Runner(record, store, "127.0.92.%d" % (i + 1), "i-%d" % i,
                          "pedidos", zone)
        await runner.start()
        runners.append(runner)
    store.put("op/config", w.config(
        7, [("place", "/place/", "non_idempotent", "pedidos")], ["pedidos"]))
    for n, zone in enumerate("ab"):
        gateway = w.Gateway(record, temporary, n + 1, zone, store.address,
                            1000.0)
        gateway.start()
        gateways.append(gateway)
    if not await w.wait_ready(gateways):
        return 2
    first, second = (w.Requester(record, g) for g in gateways)
    if await first.send("calm", "/place/0", b"b" * 600) != 200:
        return 2

    if trouble:
        record.write("%s begins to fail what it has run" % runners[0].id)
        runners[0].reply = lambda id, echo, stamp: w.answer(
            503, echo + stamp, b"the ledger is away")
    broken = []
    doubled = []
    for i in range(REQUESTS):
        path = "/place/booking-%d" % i
        ids = ["booking-%d-try-1" % i]
        status = await first.send(ids[0], path, b"b" * 600)
        if status in PROMISES:
            if any(id == ids[0] for r in runners for _, id in r.runs):
                record.write("%s has run and was answered %d"
                             % (ids[0], status))
                broken.append(ids[0])
            # A requester returns after a promise, at another gateway.
            await asyncio.sleep(0.2)
            ids.append("booking-%d-try-2" % i)
            await second.send(ids[1], path, b"b" * 600)
        runs = sum(id in ids for r in runners for _, id in r.runs)
        if runs > 1:
            doubled.append("booking-%d" % i)
    record.write("%d of %d requests have run and were answered with a "
                 "promise: %s" % (len(broken), REQUESTS, broken))
    record.write("bookings that ran twice: %s" % doubled)
    return 1 if broken else 0


w.run_case(FOLDER, case)
