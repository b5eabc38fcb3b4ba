"""A wave drains the second machine while a task of the first one is moved."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from fleet_3 import (CannotRun, make_config, make_job, make_route,  # noqa: E402
                     run_case)

LASTING = "00000000000000c1"
SHORT = "00000000000000c2"
OTHER = "00000000000000c3"
LATE = "00000000000000c4"
CPU = 5400
# Two of the three tasks fit on a machine.
TASK = {"cpu": CPU, "memMb": 256, "longRunning": True}
DEADLINE_S = 20
# Machines with work are drained from then on.
DRAIN_S = DEADLINE_S / 4
# The rule allows 6 s after the last run, and 3 s.
WAIT_S = 40


def count_at_work(fleet, job):
    return sum(task.startswith(job + ".") for it in fleet.runners
               if it.is_up for task in it.running)


async def case(fleet, has_trouble):
    fleet.stop_ms = 350  # `stopMs` is 400.
    one = make_route("one", "service-1")
    two = make_route("two", "service-2")
    await fleet.start(make_config(1, [one, two], ["service-1", "service-2"]),
                      {"service-1": 2, "service-2": 2})
    entry = fleet.find_others()[0]
    # The machines of the other service are at work, too.
    for job, route, body in (
            (LASTING, one, make_job([{**TASK, "count": 3}])),
            (OTHER, two, make_job([{**TASK, "count": 2, "cpu": 9000}]))):
        status, _ = await fleet.ask(entry, "POST", job, route, body)
        if status != 200:
            raise CannotRun("a submission was not accepted")
    await asyncio.sleep(2)
    if count_at_work(fleet, LASTING) != 3 or count_at_work(fleet, OTHER) != 2:
        raise CannotRun("the tasks that last are not at work")

    begin = fleet.record.now()
    if has_trouble:
        hosts = sorted(host for host, it in fleet.machines.machines.items()
                       if it["pool"] == "service-1")
        fleet.store.put("op", "wave/1", {
            "wave": 1, "machines": hosts, "deadlineS": DEADLINE_S,
            "maxCount": 1})
        fleet.record.write(f"operator put wave 1 of {hosts}")
    # Two short tasks run beside the third one, until after the drain begins.
    await asyncio.sleep(DRAIN_S - 0.6)
    status, _ = await fleet.ask(
        entry, "POST", SHORT, one,
        make_job([{"count": 2, "cpu": 5250, "memMb": 256,
                   "estimateMs": 700}], ms=700))
    if status != 200:
        raise CannotRun("the short submission was not accepted")
    await asyncio.sleep(8)
    status, _ = await fleet.ask(
        entry, "POST", LATE, one,
        make_job([{"count": 1, "cpu": 1000, "memMb": 256,
                   "estimateMs": 300}], ms=300))
    accepted_at = fleet.record.now()
    if status != 200:
        raise CannotRun("the late submission was not accepted")
    await asyncio.sleep(WAIT_S)

    at_work = count_at_work(fleet, LASTING)
    for it in fleet.runners:
        if it.is_up:
            fleet.record.write(f"at the end {it.name} of {it.service} on "
                               f"{it.machine} runs {sorted(it.running)}")
    fleet.record.write(f"upkeeps: {fleet.machines.upkeeps}")
    broken = []
    if at_work < 3:
        last = max(it[0] for it in fleet.ends
                   if it[2].startswith(LASTING + "."))
        broken.append(f"{at_work} of 3 tasks of {LASTING} are at work "
                      f"{fleet.record.now() - last:.0f} s after the last run "
                      f"of the other")
    if not fleet.list_starts(LATE):
        broken.append(f"nothing of {LATE} has run "
                      f"{fleet.record.now() - accepted_at:.0f} s after it "
                      f"was accepted")
    return "LOST: " + "; ".join(broken) if broken else None


run_case(FOLDER, case)
