"""Submissions whose tasks only work together wait for room, because a large
submission has come. How many wait is asked for."""

import asyncio
import json

from stand_in_fleet import main, make_config, make_route

VISIBLE_S = 3
GANGS = 4


async def case(fleet, has_trouble):
    routes = [make_route("r-a", "/puxa400/"), make_route("r-b", "/bobo563/")]
    # Two runners of 16 cores.
    await fleet.start(make_config(7, routes), 2)
    if has_trouble:
        await fleet.submit(fleet.entries, "/bobo563/1a00000000000001", {
            "spec": json.dumps({"ms": 30000}), "steps": [
                {"count": 5, "cpu": 2000, "memMb": 64, "estimateMs": 30000}]})
        await asyncio.sleep(0.5)
    jobs = [f"5c0e7a21d94b{i:04x}" for i in range(GANGS)]
    for job in jobs:
        # Four tasks of 6 cores: two fit on an empty runner.
        await fleet.submit(fleet.entries, "/puxa400/" + job, {
            "spec": json.dumps({"ms": 400}), "steps": [
                {"count": 4, "cpu": 6000, "memMb": 64, "estimateMs": 400,
                 "gang": True, "maxPerServer": 2}]})
    broken = []
    for _ in range(3):
        # Accepted more than `visible_ms` + 2 s before.
        await asyncio.sleep(VISIBLE_S + 2.5)
        begun = [it for it in jobs if fleet.list_events("start", it)]
        waiting = len(jobs) - len(begun)
        for entry in fleet.entries:
            _, answer = await entry.call("GET", "/puxa400/")
            if waiting > 0 and answer["pending"] < waiting / 2:
                broken.append((entry.name, answer["pending"], waiting))
        if waiting > 0:
            await fleet.entries[0].call("GET", "/puxa400/" + jobs[-1])
    fleet.log(f"entry, pending, submissions that haven't begun: {broken}")
    return not broken


main(case)
