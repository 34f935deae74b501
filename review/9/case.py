"""A booking that a runner has run and failed is answered with the promise that
it has not run; its requester sends it again, and it runs a second time."""
import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import world_2 as w

PAUSE_S = 0.02  # between two bookings
RUN_S = 0.06
BUDGET_MS = 1500
TIMEOUT_MS = 800    # of the site's bookings
BODY = b"b" * 600
PROMISES = (408, 421, 429, 503)


async def book(record, gateways, runners, n):
    """Sends one booking, and again after a promise, as requesters do.
    Returns whether it had run when it was answered with a promise, and how
    often it ran."""
    path = "/place/booking-%d" % n
    ids = ["booking-%d-try-%d" % (n, i + 1) for i in range(2)]
    status = await w.Requester(record, gateways[0]).send(ids[0], path, BODY,
                                                          budget_ms=BUDGET_MS)
    broken = 0
    if status in PROMISES:
        broken = any(id == ids[0] for r in runners for _, id in r.runs)
        if broken:
            record.write("%s has run and was answered %d" % (ids[0], status))
        await asyncio.sleep(0.2)
        await w.Requester(record, gateways[1]).send(ids[1], path, BODY,
                                                 budget_ms=BUDGET_MS)
    return broken, sum(id in ids for r in runners for _, id in r.runs)


async def case(record, temporary, trouble, gateways):
    store = w.Store(record)
    await store.start()
    runners = []
    for i, zone in enumerate("abcabca"[:w.Grey.RUNNERS]):
        runner = w.Runner(record, store, "127.0.92.%d" % (i + 1), "i-%d" % i,
                          "pedidos", zone, RUN_S)
        await runner.start()
        runners.append(runner)
    store.put("op/config", w.config(
        7, [("place", "/place/", "non_idempotent", "pedidos")], ["pedidos"],
        TIMEOUT_MS))
    for n, zone in enumerate("ab"):
        gateway = w.Gateway(record, temporary, n + 1, zone, store.address,
                            1000.0)
        gateway.start()
        gateways.append(gateway)
    if not await w.wait_ready(gateways):
        return 2
    if await w.Requester(record, gateways[0]).send("calm", "/place/0",
                                                   BODY) != 200:
        return 2

    end = record.now() + w.Grey.SECONDS
    if trouble:
        w.Grey(record, runners[0],
               lambda echo, stamp: w.answer(503, echo + stamp,
                                            b"the ledger is away"))
    bookings = []
    while record.now() < end - 1:
        bookings.append(asyncio.ensure_future(
            book(record, gateways, runners, len(bookings))))
        await asyncio.sleep(PAUSE_S)
    results = await asyncio.gather(*bookings)
    broken = sum(1 for promised, _ in results if promised)
    record.write("%d of %d requests have run and were answered with a promise"
                 % (broken, len(results)))
    record.write("%d bookings ran twice"
                 % sum(1 for _, runs in results if runs > 1))
    return 1 if broken else 0


w.run_case(FOLDER, case)
