"""Consumers that leave while the entry that they asked stands still."""

import asyncio
import base64
import json
import os
import signal
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
import fleet_2  # noqa: E402

ROUNDS = 4
CANCEL_S = 3.0
LEAVE_S = 1.0
FREEZE_S = 2.2
HEADERS = {"Authorization": "Bearer key-1", "X-Cowslippass-Deadline-Ms": 3000}


def find_coordinator(fleet):
    """The entry that last wrote to the store under a condition."""
    value, _ = fleet.store.rows[("control", "ledger", "head")]
    name = json.loads(base64.b64decode(value))["entry"]
    return next(it for it in fleet.entries if it.name == name)


async def play(fleet, trouble):
    fleet.work_s = 5.0
    broken = []
    steps = [{"count": 1, "cpu": 500, "memMb": 64, "estimateMs": 5000},
             {"count": 1, "cpu": 500, "memMb": 64, "estimateMs": 5000,
              "after": [0]}]
    await asyncio.sleep(2)
    for _ in range(ROUNDS):
        coordinator = find_coordinator(fleet)
        entry, other = [it for it in fleet.entries if it is not coordinator]
        job = fleet_2.new_job()
        frozen_at = time.monotonic()
        if trouble:
            entry.process.send_signal(signal.SIGSTOP)
        status, _ = await fleet_2.Http.call(
            entry.front, "POST", "/queue/" + job,
            {"spec": "two steps", "steps": steps}, HEADERS, LEAVE_S)
        cancelled, answer = await fleet_2.Http.call(
            other.front, "DELETE", "/queue/" + job, None, HEADERS, 3.0)
        cancelled_at = time.monotonic()
        fleet.note("consumer", job=job, frozen=entry.name if trouble else "",
                   coordinator=coordinator.name, submitted=status,
                   cancelled=cancelled, answer=answer)
        await asyncio.sleep(max(0, FREEZE_S - (time.monotonic() - frozen_at)))
        if trouble:
            entry.process.send_signal(signal.SIGCONT)
        await asyncio.sleep(12)
        late = [(task, round(at - cancelled_at, 1))
                for at, _, task, _, _ in fleet.starts
                if task.startswith(job) and at - cancelled_at > CANCEL_S]
        print(f"submitted: {status}, cancelled: {cancelled}, starts later "
              f"than cancel_ms: {late}")
        if cancelled in (200, 410):
            broken += [f"UNASKED: {task} starts {after} s after {cancelled} "
                       "to the cancel" for task, after in late]
    return broken


fleet_2.run(play, HERE)
