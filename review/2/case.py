"""One large submission, and the cancels and submissions of other consumers
beside it."""

import asyncio
import json
import time

from stand_in_fleet import main, make_config, make_route

LARGE = "1a00000000000001"
LARGE_TASKS = 3000
OTHERS = 10
# Acks: a tenth of the cancels, three at least, without 2xx or 410.
ACK_S = 4
TRY_S = 12


async def case(fleet, has_trouble):
    # 10 runners of 8 cores, with nothing else to do.
    capacity = {"cpu": 8000, "memMb": 32768, "gpus": 0}
    await fleet.start(
        make_config(7, [make_route("r-a", "/puxa400/")]), 10, capacity)
    other = {"spec": json.dumps({"ms": 90000}), "steps": [
        {"count": 1, "cpu": 500, "memMb": 64, "estimateMs": 90000}]}
    jobs = [f"5c0e7a21d94b{i:04x}" for i in range(OTHERS)]
    for job in jobs:
        await fleet.submit(fleet.entries, "/puxa400/" + job, other)
    if has_trouble:
        # A short step, and then 3,000 tasks of 10 thousandths of a core.
        tiny = {"cpu": 10, "memMb": 8}
        await fleet.submit(fleet.entries, "/puxa400/" + LARGE, {
            "spec": json.dumps({"ms": 90000, "steps": {"0": 1000}}),
            "steps": [dict(tiny, count=1, estimateMs=1000),
                      dict(tiny, count=LARGE_TASKS, estimateMs=90000,
                           after=[0])]})
    await asyncio.sleep(10)
    accepted = []
    acknowledged = {}

    async def hand_in(number):
        target = f"/puxa400/5c0e7a21d94c{number:04x}"
        if await fleet.submit(fleet.entries, target, other, limit_s=TRY_S):
            accepted.append(target)

    async def cancel(job, first):
        """Asks again, at the next entry, until it is acknowledged."""
        started = time.monotonic()
        i = first
        while time.monotonic() - started < TRY_S:
            entry = fleet.entries[i % len(fleet.entries)]
            i += 1
            status, _ = await entry.call("DELETE", "/puxa400/" + job)
            if status in (200, 410):
                acknowledged[job] = time.monotonic() - started
                return
            await asyncio.sleep(0.2)

    hands = [asyncio.create_task(cancel(job, i))
             for i, job in enumerate(jobs)]
    for i in range(10):
        hands.append(asyncio.create_task(hand_in(i)))
        await asyncio.sleep(1)
    await asyncio.gather(*hands)
    late = [it for it in jobs if acknowledged.get(it, TRY_S) > ACK_S]
    fleet.log(f"{len(accepted)} of 10 further submissions were accepted")
    in_use = sum(len(it.running) * 10 for it in fleet.runners)
    fleet.log(f"in use: {in_use} of 80000 thousandths of a core")
    fleet.log(f"head row: {fleet.get_head()}, rows refused for their size: "
              f"{fleet.store.refused_sizes}")
    fleet.log(f"cancels acknowledged after (s): {acknowledged}")
    fleet.log(f"{len(late)} of {OTHERS} cancels without 2xx or 410 after "
              f"{ACK_S} s")
    return len(late) < 3 or len(late) <= OTHERS / 10


main(case)
