"""A small deployment: the project's entries as processes, started with the
`run` line and the template of the deploy file, and the stand-ins."""

import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

import stand_in_http as http
from stand_in_platform import Machines, Store
from stand_in_runner import Runner

ROOT = os.path.dirname(os.path.dirname(
    os.path.abspath(__file__)))
HOST = "pule25.example"
KEY = "jbvk9m68k7b2ex5wa5xw"
LIMIT_S = 110


def fill_template(text, fields):
    """Fills in a template as the page on deployment says, as far as
    deploy/entry.toml uses it."""
    def find(path):
        value = fields
        for name in path.split("."):
            if isinstance(value, list):
                value = value[int(name)]
            else:
                value = value.get(name) if isinstance(value, dict) else None
            if value is None:
                return None
        return value

    def fill_section(match):
        value = find(match[1])
        is_empty = value is None or value is False
        return "" if is_empty else match[2]

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", fill_section, text,
                  flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda it: str(find(it[1])), text)


class Entry:
    def __init__(self, fleet, name, number):
        self.fleet = fleet
        self.name = name
        self.ip = f"127.{fleet.net[0]}.{fleet.net[1]}.{number}"
        self.process = None

    async def prepare(self):
        store = await self.fleet.store.listen(self.name)
        self.front = f"{self.ip}:8340"
        self.readiness = f"{self.ip}:8343"
        fields = {
            "node": self.name, "ip": self.ip, "zone": "sul-a",
            "listen": {"front": self.front, "readiness": self.readiness},
            "portRange": [7000, 7015],
            "limits": {"cpuShare": 0.25},
            "orders": "rpc",
            "bounds": {"revokeMs": 5000, "holdLimitMs": 6000, "graceS": 6,
                       "status_s": 120, "moveS": 1.5, "upkeepS": 2,
                       "noticeMs": 4500},
            "platform": {"address": store, "form": "table"},
            "cloudApi": {"address": self.fleet.machines_address,
                         "dutyPerS": 64.0},
        }
        with open(os.path.join(ROOT, "deploy/system.toml"), "rb") as f:
            role = tomllib.load(f)["roles"]["entry"]
        with open(os.path.join(ROOT, role["template"])) as f:
            text = fill_template(f.read(), fields)
        path = os.path.join(self.fleet.folder, self.name + ".boot.json")
        with open(path, "w") as f:
            f.write(text)
        self.command = role["run"].replace("/etc/cowslippass/boot.json", path)

    def start(self):
        log = open(os.path.join(self.fleet.folder, self.name + ".log"), "ab")
        self.process = subprocess.Popen(
            self.command.split(), cwd=ROOT, stdout=log, stderr=log,
            env={"PATH": os.environ["PATH"]})
        log.close()

    def kill(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process:
            self.process.wait()

    async def is_ready(self):
        status, _ = await http.call(
            self.readiness, "GET", "/-/ready", limit_s=1)
        return status == 200

    async def call(self, method, target, value=None, limit_ms=3000, key=KEY):
        """A call of a consumer."""
        headers = {"Host": HOST, "X-Cowslippass-Deadline-Ms": limit_ms}
        if key:
            headers["Authorization"] = "Bearer " + key
        answer = await http.call(
            self.front, method, target, headers, value, limit_ms / 1000)
        self.fleet.log(f"consumer: {method} {target} at {self.name}: "
                       f"{answer[0]} {json.dumps(answer[1])}")
        return answer


class Fleet:
    def __init__(self, record_path, entries=3):
        self.started = time.monotonic()
        self.record_file = open(record_path, "w")
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.net = random.randint(20, 250), random.randint(1, 250)
        self.events = []  # Of the runners, see Runner.record.
        self.store = Store(self.log)
        self.machines = Machines()
        self.entries = [Entry(self, f"front-sul-a-{i + 1}", i + 1)
                        for i in range(entries)]
        self.runners = []
        self.config = None

    def log(self, text):
        self.record_file.write(
            f"{time.monotonic() - self.started:8.3f} {text}\n")
        self.record_file.flush()

    def record_event(self, event):
        self.events.append(event)
        _, runner, what, task, number, how = event
        self.log(f"runner {runner}: {what} {task} run {number} {how}")

    async def publish(self, config):
        self.config = config
        await self.store.put("op", "config", config)
        names = [it["name"] for it in config["routes"]]
        self.log(f"operator: config {config['version']}, routes {names}")

    async def start(self, config, runner_count, capacity=None):
        self.machines_address = await self.machines.start()
        for entry in self.entries:
            await entry.prepare()
        await self.publish(config)
        for i in range(runner_count):
            runner = Runner(self.store, f"i-{i + 1:08x}", "huvo11a", "sul-a",
                            self.log, self.record_event, capacity,
                            ("a", f"r1-{i + 1}"))
            self.runners.append(runner)
            self.machines.runners.append(runner)
            await runner.start()
        for entry in self.entries:
            entry.start()
        await self.wait_for(self.all_ready, 20, "the entries are ready")

    async def all_ready(self):
        return all([await it.is_ready() for it in self.entries])

    async def wait_for(self, condition, limit_s, what):
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            if await condition():
                return True
            await asyncio.sleep(0.05)
        self.log(f"not reached in {limit_s} s: {what}")
        raise CannotRun(what)

    def get_head(self):
        return self.store.get("control", "ledger", "head")

    def find_coordinator(self):
        head = self.get_head()
        return next(it for it in self.entries if it.name == head["entry"])

    def list_events(self, what, job):
        return [it for it in self.events
                if it[2] == what and it[3].startswith(job + ".")]

    def find_repeated_tasks(self):
        """Returns the tasks that started after a run of them had ended `done`,
        as (task, runner and run of that end, runner and run of the start),
        with whether that end was taken note of, and its runner's lease had not
        lapsed between the two."""
        done, repeated, counted = {}, [], {}
        lapses = []
        for at, runner, what, task, number, how in self.events:
            if what == "end" and how == "done":
                done.setdefault(task, (runner, number))
                counted[runner, task, number] = [at, None]
            elif what == "start" and task in done:
                repeated.append((task, done[task], (runner, number)))
            elif what == "lease lapsed":
                lapses.append((runner, at))
            elif what == "taken note of" and how.startswith("done"):
                counted[runner, task, number][1] = at

        def is_noted(runner, task, number):
            ended, noted = counted[runner, task, number]
            return noted is not None and not any(
                where == runner and ended <= at <= noted
                for where, at in lapses)

        return [(it, is_noted(it[1][0], it[0], it[1][1])) for it in repeated]

    async def submit(self, entries, target, value, limit_s=20):
        """Hands a submission in as a consumer does: tries again, at any
        entry, until it is accepted.

        Returns the time of the confirmation, and None if there is none."""
        end = time.monotonic() + limit_s
        i = 0
        while time.monotonic() < end:
            entry = entries[i % len(entries)]
            i += 1
            status, _ = await entry.call("POST", target, value)
            if status and 200 <= status < 300:
                return time.monotonic()
            await asyncio.sleep(0.2)
        return None

    def close(self):
        for entry in self.entries:
            entry.kill()
        self.record_file.close()
        if os.environ.get("KEEP_LOGS"):
            print("logs:", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


class CannotRun(Exception):
    pass


def make_route(name, prefix, **fields):
    return dict({
        "name": name, "host": HOST, "prefix": prefix, "kind": "non_idempotent",
        "timeoutMs": 3000, "targetDurationMs": 600, "priority": 0,
        "service": "huvo11a", "maxAttempts": 4, "stretch": 1.6,
        "allowAnonymous": False}, **fields)


def make_config(version, routes):
    return {
        "version": version, "routes": routes,
        "services": [{"name": "huvo11a", "admissionCheck": False,
                      "standby": False}],
        "limits": {"maxBodyBytes": 262144},
        "tenants": [{"name": "cugo130", "apiKeys": [KEY], "weight": 61,
                     "maxCount": {"cpu": 0, "memMb": 0, "gpus": 0}}]}


def main(case):
    """Runs `case(fleet, has_trouble)`, which returns whether the rule held,
    and exits with 0 if it did, 1 if not and 2 if the case couldn't run."""
    folder = os.path.dirname(os.path.abspath(sys.argv[0]))
    has_trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run():
        fleet = Fleet(os.path.join(folder, "record.txt"))
        # A run that is told to end takes its processes along.
        asyncio.get_running_loop().add_signal_handler(
            signal.SIGTERM, asyncio.current_task().cancel)
        code = 2
        try:
            fleet.log(f"TROUBLE={int(has_trouble)}")
            is_kept = await asyncio.wait_for(case(fleet, has_trouble), LIMIT_S)
            code = 0 if is_kept else 1
            fleet.log("the rule " + ("held" if is_kept else "was broken"))
        except asyncio.TimeoutError:
            fleet.log("the case took too long")
        except asyncio.CancelledError:
            fleet.log("the run was told to end")
        except Exception as e:  # Whatever it is, the case says nothing then.
            fleet.log(f"the case could not run: {e!r}")
        finally:
            fleet.close()
        return code

    code = asyncio.run(run())
    print({0: "held", 1: "broken", 2: "could not run"}[code])
    sys.exit(code)
