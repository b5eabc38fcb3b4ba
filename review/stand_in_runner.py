"""A runner: one life of a machine that runs tasks."""

import asyncio
import json
import time

import stand_in_http as http

HOLD_LIMIT_MS = 6000
STOP_S = 0.1
HEARTBEAT_S = 1.5
MAX_ENDS = 500


class Run:
    def __init__(self, task, number, spec):
        self.number = number
        self.started = time.monotonic()
        plan = json.loads(spec)
        step = task.split(".")[2]
        self.duration = plan.get("steps", {}).get(step, plan["ms"]) / 1000
        # The runs up to this number fail by the task's own fault.
        self.fails_up_to = plan.get("fails", 0)


class Runner:
    """The spec of its tasks is JSON: `ms` is how long a run takes, `fails`
    how many runs of each task fail. `steps` may replace `ms` by step."""

    def __init__(self, platform_store, id, service, zone, log, record,
                 capacity=None, labels=("a", "r1-1")):
        self.store = platform_store
        self.id = id
        self.service = service
        self.zone = zone
        self.log = log
        self.record = record  # Gets (time, runner, event, task, run, how).
        self.capacity = capacity or {"cpu": 16000, "memMb": 32768, "gpus": 0}
        self.labels = list(labels)
        self.port = 0
        self.is_up = False
        self.server = None

    async def start(self):
        self.born = int(time.time() * 1000)
        self.boot_time = time.monotonic()
        self.fence = 0
        self.running = {}
        self.ended = []
        self.last_end = 0
        self.highest = {}  # Highest run of each task stopped or ended here.
        self.lease_end_ms = 0
        self.seq = 0
        self.poll_times = []
        self.changed = asyncio.Condition()
        if self.server:
            self.server.set_dark(False)
        else:
            self.server = http.Server(self.handle)
            self.port = await self.server.start("127.0.0.1")
        self.is_up = True
        await self.report()
        self.tasks = [asyncio.create_task(self.watch()),
                      asyncio.create_task(self.beat())]

    def crash(self):
        """Loses power; `start` brings it back empty, with the same id."""
        self.is_up = False
        for task in self.tasks:
            task.cancel()
        self.server.set_dark(True)
        for name, run in self.running.items():
            self.note("crashed", name, run.number, "")
        self.running = {}

    def note(self, event, task, number, how):
        self.record((time.monotonic(), self.id, event, task, number, how))

    def clock_ms(self):
        return int((time.monotonic() - self.boot_time) * 1000) + 1000

    async def report(self):
        self.seq += 1
        await self.store.put("servers", self.id, {
            "service": self.service, "address": f"127.0.0.1:{self.port}",
            "zone": self.zone, "version": "v1", "slots": 8, "state": "ready",
            "coldLeftMs": 0, "capacity": self.capacity, "labels": self.labels,
            "clockMs": self.clock_ms(), "seq": self.seq, "born": self.born})

    async def beat(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            await self.report()

    async def watch(self):
        was_lapsed = True
        while True:
            await asyncio.sleep(0.005)
            now = time.monotonic()
            is_lapsed = self.clock_ms() >= self.lease_end_ms
            if is_lapsed and not was_lapsed:
                self.note("lease lapsed", "-", 0, "")
            was_lapsed = is_lapsed
            for task, run in list(self.running.items()):
                if now - run.started >= run.duration:
                    await self.end(task, "failed" if run.number <=
                                   run.fails_up_to else "done")
                elif is_lapsed:
                    await self.end(task, "lapsed")

    async def end(self, task, how):
        run = self.running.pop(task, None)
        if not run:
            return
        self.last_end += 1
        self.ended.append([self.last_end, task, run.number, how, ""])
        self.highest[task] = max(self.highest.get(task, 0), run.number)
        self.note("end", task, run.number, how)
        async with self.changed:
            self.changed.notify_all()

    def answer(self, status, **fields):
        return status, dict(fields, clockMs=self.clock_ms(), born=self.born)

    async def handle(self, request):
        born = self.born
        answer = await self.handle_alive(request)
        # A boot that has ended answers nothing.
        return answer if self.is_up and born == self.born else http.DROP

    async def handle_alive(self, request):
        instance = request.headers.get("x-cowslippass-target-instance")
        if instance and instance != self.id:
            return self.answer(421)
        body = request.json()
        if body["fenceToken"] < self.fence:
            return self.answer(409, reason="fence")
        self.fence = body["fenceToken"]
        if request.path == "/-/run-start":
            return self.start_run(body)
        if request.path == "/-/run-stop":
            return await self.stop_run(body)
        if request.path == "/-/hold":
            return await self.hold(body)
        return self.answer(400)

    def extend(self, body):
        deadline = body.get("deadlineMs", 0)
        self.lease_end_ms = max(self.lease_end_ms, min(
            deadline, self.clock_ms() + HOLD_LIMIT_MS))

    def start_run(self, body):
        task, number = body["task"], body["runId"]
        if body["deadlineMs"] <= self.clock_ms():
            return self.answer(409, reason="late")
        self.extend(body)
        run = self.running.get(task)
        if run and run.number == number:
            return self.answer(200)
        if number <= self.highest.get(task, 0) or (
                run and number < run.number):
            return self.answer(409, reason="old")
        self.running[task] = Run(task, number, body["spec"])
        self.note("start", task, number, body["fenceToken"])
        return self.answer(200)

    async def stop_run(self, body):
        task, number = body["task"], body["runId"]
        self.highest[task] = max(self.highest.get(task, 0), number)
        self.note("stop order", task, number, "")
        run = self.running.get(task)
        if run and run.number <= number:
            asyncio.create_task(self.finish_stop(task))
        return self.answer(200)

    async def finish_stop(self, task):
        await asyncio.sleep(STOP_S)
        await self.end(task, "stopped")

    async def hold(self, body):
        self.poll_times.append(time.monotonic())
        seen = body.get("seenUpto", 0)
        for it in self.ended:
            if it[0] <= seen:
                self.note("taken note of", it[1], it[2], f"{it[3]} (end "
                          f"{it[0]}, seenUpto {seen})")
        self.ended = [it for it in self.ended if it[0] > seen]
        self.extend(body)
        end = time.monotonic() + min(body.get("waitMs", 0), 2000) / 1000
        while not self.ended and time.monotonic() < end:
            async with self.changed:
                try:
                    await asyncio.wait_for(
                        self.changed.wait(), end - time.monotonic())
                except asyncio.TimeoutError:
                    pass
        now = time.monotonic()
        running = [[task, run.number, "", min(99, int(
            100 * (now - run.started) / max(run.duration, 0.001))), 0]
            for task, run in self.running.items()]
        return self.answer(200, running=running, ended=self.ended[:MAX_ENDS])
