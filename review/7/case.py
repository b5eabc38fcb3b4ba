"""One submission whose number of tasks overflows the check of its size."""

import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
import fleet_2  # noqa: E402

TRAFFIC_S = 20
FINISH_S = 14


async def play(fleet, trouble):
    accepted = []

    async def submit_ordinary():
        job = fleet_2.new_job()
        status, _, _ = await fleet.consume("POST", job, fleet_2.ordinary())
        if status == 200:
            accepted.append(job)

    async def submit_poison():
        # 2^38 tasks, 2^31 times: it can never be done.
        body = {"spec": "poison", "repeatCount": 2147483648,
                "startTimeMs": int(time.time() * 1000) + 3_600_000,
                "intervalMs": 60_000,
                "steps": [{"count": n, "cpu": 500, "memMb": 64,
                           "estimateMs": 300}
                          for n in 64 * [4294967295] + [64]]}
        job = fleet_2.new_job()
        fleet.note("submission", job=job, body=body)
        await fleet.consume("POST", job, body)

    calls = []
    began = time.monotonic()
    is_poisoned = False
    while time.monotonic() - began < TRAFFIC_S:
        calls.append(asyncio.create_task(submit_ordinary()))
        if (trouble and not is_poisoned
                and time.monotonic() - began > 5):
            is_poisoned = True
            calls.append(asyncio.create_task(submit_poison()))
        await asyncio.sleep(0.5)
    await asyncio.sleep(FINISH_S)
    # FINISH_S after the end of the traffic, submissions are asked for.
    broken = []

    async def ask(job):
        status, out, seen = await fleet.consume("GET", job, tries=3)
        if status != 200 or (out or {}).get("state") != "completed":
            broken.append(f"LOST: {job} was accepted; asked {FINISH_S} s after "
                          f"the traffic: {seen}, {out}")
    await asyncio.gather(*(ask(it) for it in accepted))
    for it in calls:
        it.cancel()
    fleet.note("asked", accepted=len(accepted), broken=len(broken),
               ends={it.name: len(it.ends) for it in fleet.entries},
               ready=[it.name for it in fleet.entries
                      if await it.is_ready()])
    print(f"{len(accepted)} accepted")
    return broken


fleet_2.run(play, HERE)
