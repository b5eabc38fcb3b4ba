"""Submissions that can never be done: more tasks than 32 bits count."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
import fleet_2  # noqa: E402

WAIT_S = 10


async def play(fleet, trouble):
    extra = 4294967296 if trouble else 0  # 2 to the power of 32
    step = {"cpu": 500, "memMb": 64, "estimateMs": 300}
    submissions = {
        "tasks": (2 + extra, {"spec": "poison", "steps": [
            {**step, "count": 2 + extra}]}),
        "occurrences": (2 + extra, {
            "spec": "poison", "repeatCount": 2 + extra, "startTimeMs": 0,
            "intervalMs": 1, "steps": [{**step, "count": 1}]}),
    }
    jobs = {}
    for name, (count, body) in submissions.items():
        job = fleet_2.new_job()
        fleet.note("submission", job=job, body=body)
        status, _, _ = await fleet.consume("POST", job, body)
        if status == 200:
            jobs[job] = (name, count)
    await asyncio.sleep(WAIT_S)
    broken = []
    for job, (name, count) in jobs.items():
        status, out, _ = await fleet.consume("GET", job)
        started = len({task for _, _, task, _, _ in fleet.starts
                       if task.startswith(job)})
        if status == 200 and out["state"] == "completed" and started < count:
            broken.append(f"MIXED: {job} has {count} {name} and is shown as "
                          f"completed; {started} tasks were ever started")
    print(f"{len(jobs)} accepted")
    return broken


fleet_2.run(play, HERE)
