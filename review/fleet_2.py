"""Stand-ins of the second review, and the processes that they serve.

A small deployment on loopback addresses and the real clock: the platform's
store, its machines, runners and consumers are stand-ins that follow the users'
pages; the entries are the project's own program, started with the command of
deploy/system.toml and the template of its settings.
"""

import asyncio
import base64
import ctypes
import json
import os
import random
import re
import resource
import signal
import socket
import time
import tomllib
import uuid

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
HOST = "queue.example"


def now_ms():
    return int(time.monotonic() * 1000)


given_ports = set()


def free_port():
    """A port below those that the system gives to outgoing connections, which
    could take it before its process listens."""
    while True:
        port = random.randrange(15_000, 32_000)
        if port in given_ports:
            continue
        with socket.socket() as s:
            try:
                s.bind(("127.0.0.1", port))
            except OSError:
                continue
        given_ports.add(port)
        return port


class Http:
    """Sends one request at a time; each over a connection of its own."""

    @staticmethod
    async def call(port, method, path, body=None, headers=None, limit=5.0):
        """Returns (status, parsed body), or (None, None) without an answer."""
        try:
            return await asyncio.wait_for(
                Http._call(port, method, path, body, headers or {}), limit)
        except (asyncio.TimeoutError, OSError, ValueError, IndexError,
                asyncio.IncompleteReadError):
            return None, None

    @staticmethod
    async def _call(port, method, path, body, headers):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        try:
            data = b"" if body is None else json.dumps(body).encode()
            head = f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n"
            for name, value in headers.items():
                head += f"{name}: {value}\r\n"
            head += "Content-Type: application/json\r\n"
            head += f"Content-Length: {len(data)}\r\nConnection: close\r\n\r\n"
            writer.write(head.encode() + data)
            await writer.drain()
            status, _, content = await read_message(reader)
            status = int(status.split()[1])
            try:
                return status, json.loads(content) if content else None
            except ValueError:
                return status, None
        finally:
            writer.close()


async def read_message(reader):
    line = await reader.readuntil(b"\r\n")
    headers = {}
    while True:
        row = (await reader.readuntil(b"\r\n")).decode().strip()
        if not row:
            break
        name, value = row.split(":", 1)
        headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    return line.decode().strip(), headers, await reader.readexactly(length)


class Server:
    """An HTTP/1.1 server; handle() returns (status, body) or None for none."""

    def __init__(self):
        self.port = free_port()
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(
            self.serve, "127.0.0.1", self.port)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                line, headers, content = await read_message(reader)
                method, target, _ = line.split()
                path, _, query = target.partition("?")
                pairs = (p.partition("=") for p in query.split("&") if p)
                query = {k: unquote(v) for k, _, v in pairs}
                body = json.loads(content) if content else None
                answer = await self.handle(method, path, query, body, headers)
                if answer is None:
                    # No answer: the connection delivers nothing further.
                    await asyncio.sleep(3600)
                status, out = answer
                data = json.dumps(out).encode()
                writer.write(f"HTTP/1.1 {status} X\r\nContent-Type: "
                             f"application/json\r\nContent-Length: "
                             f"{len(data)}\r\n\r\n".encode() + data)
                await writer.drain()
        except (asyncio.IncompleteReadError, OSError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def reset_connections(self):
        for it in list(self.writers):
            it.transport.abort()


def unquote(text):
    from urllib.parse import unquote_plus
    return unquote_plus(text)


class Store(Server):
    """The platform's metadata store, with rows alone."""

    def __init__(self):
        super().__init__()
        self.rows = {}  # (table, part, key) -> (value, version)
        self.log = []   # (version, table, part, key, value or None)
        self.version = 0
        self.changed = asyncio.Condition()

    async def put(self, table, key, value):
        await self.apply([(table, "", key, encode(value))], [])

    async def erase(self, table, key):
        await self.apply([], [(table, "", key)])

    async def apply(self, upserts, deletes):
        self.version += 1
        for table, part, key, value in upserts:
            self.rows[(table, part, key)] = (value, self.version)
            self.log.append((self.version, table, part, key, value))
        for table, part, key in deletes:
            if self.rows.pop((table, part, key), None):
                self.log.append((self.version, table, part, key, None))
        async with self.changed:
            self.changed.notify_all()

    def row(self, table, part, key, value, version):
        out = {"table": table, "part": part, "key": key, "ver": version}
        if value is None:
            out["deleted"] = True
        else:
            out["value"] = value
        return out

    async def handle(self, method, path, query, body, headers):
        if path == "/-/rows-tx":
            await asyncio.sleep(0.006)
            return await self.transact(body)
        await asyncio.sleep(0.004)
        if path == "/-/rows-get":
            return self.read(query)
        if path == "/-/rows-feed":
            return await self.feed(query)
        return 404, {}

    async def transact(self, body):
        def place(it):
            return it["table"], it.get("part", ""), it["key"]
        expected = body.get("expected", [])
        if any(self.rows.get(place(it), (None, 0))[1] != it["ver"]
               for it in expected):
            rows = [self.row(*place(it), *self.rows[place(it)])
                    for it in expected if place(it) in self.rows]
            return 412, {"rows": rows, "ver": self.version,
                         "nowMs": now_ms()}
        await self.apply([(*place(it), it["value"])
                          for it in body.get("upserts", [])],
                         [place(it) for it in body.get("deletes", [])])
        return 200, {"ver": self.version, "nowMs": now_ms()}

    def read(self, query):
        table, part = query["table"], query.get("part", "")
        limit = min(int(query.get("limit", 500)), 500)
        found = sorted((k, v) for (t, p, k), v in self.rows.items()
                       if t == table and p == part
                       and k >= query.get("from", "")
                       and (not query.get("to") or k < query["to"]))
        rows = [self.row(table, part, k, *v) for k, v in found[:limit]]
        return 200, {"rows": rows, "hasMore": len(found) > limit,
                     "ver": self.version, "nowMs": now_ms()}

    async def feed(self, query):
        table, after = query["table"], int(query["after"])
        end = time.monotonic() + int(query.get("waitMs", 0)) / 1000
        while True:
            rows = [self.row(t, p, k, v, ver)
                    for ver, t, p, k, v in self.log
                    if ver > after and t == table]
            left = end - time.monotonic()
            if rows or left <= 0:
                return 200, {"rows": rows, "ver": self.version,
                             "nowMs": now_ms()}
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass


def encode(value):
    return base64.b64encode(json.dumps(value).encode()).decode()


class Runner(Server):
    """One life of a runner. Gangs are known to all runners of `gangs`."""

    def __init__(self, fleet, zone, cpu=16000):
        super().__init__()
        self.fleet = fleet
        self.id = "i-" + uuid.uuid4().hex[:10]
        self.host = "m-" + uuid.uuid4().hex[:5]
        self.zone = zone
        self.cpu = cpu
        self.born = int(time.time() * 1000)
        self.fence = 0
        self.running = {}  # task -> dict
        self.ended = []
        self.highest = {}  # task -> highest run stopped or ended here
        self.last_end = 0
        self.lease_end = 0
        self.is_up = True
        self.seq = 0
        self.woken = asyncio.Event()

    def clock(self):
        return int(time.time() * 1000) - self.born + 1000

    def report(self):
        return {"service": "work", "address": f"127.0.0.1:{self.port}",
                "zone": self.zone, "version": "v1", "slots": 8,
                "state": "ready", "coldLeftMs": 0, "labels": ["a", "r1"],
                "capacity": {"cpu": self.cpu, "memMb": 32768, "gpus": 0},
                "clockMs": self.clock(), "seq": self.seq, "born": self.born}

    def end(self, task, how, saved=""):
        run = self.running.pop(task)
        self.last_end += 1
        self.highest[task] = max(self.highest.get(task, 0), run["run"])
        self.ended.append([self.last_end, task, run["run"], how, saved])
        self.fleet.note("end", runner=self.id, task=task, run=run["run"],
                        how=how, saved=saved)
        self.woken.set()
        return run

    def crash(self):
        """The runner ends; everything that runs on it terminates."""
        self.is_up = False
        self.fleet.note("crash", runner=self.id, running=list(self.running))
        self.server.close()
        self.reset_connections()
        for task in list(self.running):
            self.fleet.break_gang(task, self.running.pop(task)["run"])

    async def handle(self, method, path, query, body, headers):
        if headers.get("x-cowslippass-target-instance", self.id) != self.id:
            return 421, {}
        # The record then shows a lapse before a start that comes later.
        for it in self.fleet.runners:
            it.expire()
        fence = body.get("fenceToken", 0)
        if fence < self.fence:
            return 409, {"clockMs": self.clock(), "reason": "fence"}
        self.fence = fence
        if path == "/-/run-start":
            return self.start_run(body)
        if path == "/-/run-stop":
            return self.stop_run(body)
        if path == "/-/hold":
            return await self.hold(body)
        return 404, {}

    def extend(self, deadline):
        most = self.clock() + self.fleet.hold_limit_ms
        self.lease_end = max(self.lease_end, min(deadline, most))

    def expire(self):
        if self.running and self.clock() > self.lease_end:
            for task in list(self.running):
                run = self.end(task, "lapsed")
                self.fleet.break_gang(task, run["run"])

    def start_run(self, body):
        task, number = body["task"], body["runId"]
        there = self.running.get(task)
        if there and there["run"] == number:
            self.extend(body["deadlineMs"])
            return 200, {"clockMs": self.clock()}
        if there or number <= self.highest.get(task, 0):
            self.extend(body["deadlineMs"])
            return 409, {"clockMs": self.clock(), "reason": "old"}
        if body["deadlineMs"] <= self.clock():
            return 409, {"clockMs": self.clock(), "reason": "late"}
        self.extend(body["deadlineMs"])
        self.running[task] = {"run": number, "since": time.monotonic(),
                              "spec": body["spec"],
                              "saved": body.get("saved", "")}
        self.fleet.note("start", runner=self.id, task=task, run=number,
                        fence=self.fence, saved=body.get("saved", ""))
        self.fleet.started(self, task, number, body.get("saved", ""))
        return 200, {"clockMs": self.clock()}

    def stop_run(self, body):
        task, number = body["task"], body["runId"]
        there = self.running.get(task)
        if there and there["run"] == number:
            run = self.end(task, "stopped", there["saved"])
            self.fleet.break_gang(task, run["run"])
        self.highest[task] = max(self.highest.get(task, 0), number)
        return 200, {"clockMs": self.clock()}

    async def hold(self, body):
        if "deadlineMs" in body and self.running:
            self.extend(body["deadlineMs"])
        seen = body.get("seenUpto", 0)
        self.ended = [it for it in self.ended if it[0] > seen]
        end = time.monotonic() + body.get("waitMs", 0) / 1000
        while not self.ended and (left := end - time.monotonic()) > 0:
            self.woken.clear()
            try:
                await asyncio.wait_for(self.woken.wait(), min(left, 0.2))
            except asyncio.TimeoutError:
                pass
            self.expire()
        running = [[task, it["run"], it["saved"], 50, 100]
                   for task, it in self.running.items()]
        return 200, {"clockMs": self.clock(), "born": self.born,
                     "running": running, "ended": self.ended[:500]}


class Machines(Server):
    """The platform's list of machines."""

    def __init__(self, fleet):
        super().__init__()
        self.fleet = fleet

    async def handle(self, method, path, query, body, headers):
        if path != "/-/machines":
            return 409, {"reason": "busy"}
        return 200, {"nextToken": None, "machines": [
            {"hostId": it.host, "pool": "work",
             "state": "up" if it.is_up else "down", "zone": it.zone,
             "labels": ["a", "r1"],
             "capacity": {"cpu": it.cpu, "memMb": 32768, "gpus": 0},
             "id": it.id if it.is_up else None}
            for it in self.fleet.runners]}


def render(template, fields):
    """Fills in the placeholders and sections of a settings template."""
    def find(name):
        value = fields
        for part in name.split("."):
            if value is None:
                return None
            if isinstance(value, list):
                index = int(part)
                value = value[index] if index < len(value) else None
            else:
                value = value.get(part)
        return value

    def section(match):
        value = find(match.group(1))
        return render(match.group(2), fields) if value else ""
    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template,
                  flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda m: str(find(m.group(1))), text)


def limit_process():
    """Bounds a process that grows without end until watch() sees it, and ends
    it together with the case."""
    resource.setrlimit(resource.RLIMIT_AS, (2 << 30, 2 << 30))
    set_parent_death_signal = 1
    ctypes.CDLL(None).prctl(set_parent_death_signal, signal.SIGKILL)


class Entry:
    """A process of the project. The platform kills it when it exceeds its
    memory, and starts a process again that has ended."""

    def __init__(self, fleet, number, zone):
        self.fleet = fleet
        self.name = f"front-{number}"
        self.zone = zone
        self.front = free_port()
        self.readiness = free_port()
        self.peer = free_port()
        self.store_port = None  # Of a proxy in front of the store.
        self.process = None
        self.ends = []
        self.path = os.path.join(fleet.folder, self.name + ".toml")
        self.is_stopping = False

    async def start(self):
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as f:
            role = tomllib.load(f)["roles"]["entry"]
        with open(os.path.join(ROOT, role["template"])) as f:
            template = f.read()
        # The metrics of all entries would share one port here.
        template = template.replace("{{ip}}:7001", f"127.0.0.1:{free_port()}")
        text = render(template, {
            "node": self.name, "zone": self.zone, "ip": "127.0.0.1",
            "listen": {"front": f"127.0.0.1:{self.front}",
                       "readiness": f"127.0.0.1:{self.readiness}"},
            "portRange": [self.peer, self.peer + 1],
            "platform": {"address": "127.0.0.1:" + str(
                self.store_port or self.fleet.store.port),
                         "form": "table", "rowBytes": 65536},
            "orders": "rpc",
            "cloudApi": {"address": f"127.0.0.1:{self.fleet.machines.port}",
                         "dutyPerS": 64.0},
            "limits": {"cpuShare": 0.25, "memoryMb": 260, "maxFds": 4100},
            "bounds": {"revokeMs": 5000, "graceS": 6, "status_s": 120,
                       "holdLimitMs": self.fleet.hold_limit_ms,
                       "moveS": 1.5, "upkeepS": 2, "noticeMs": 4500}})
        with open(self.path, "w") as f:
            f.write(text)
        command = role["run"].replace(
            "/etc/cowslippass/boot.json", self.path).split()
        log = open(os.path.join(self.fleet.folder, self.name + ".log"), "ab")
        self.process = await asyncio.create_subprocess_exec(
            os.path.join(ROOT, command[0]), *command[1:], stdout=log,
            stderr=log, preexec_fn=limit_process)
        self.fleet.note("process", entry=self.name, what="started")

    async def watch(self):
        while not self.is_stopping:
            await asyncio.sleep(0.05)
            if self.process.returncode is None:
                if self.memory_mb() > 260:
                    self.fleet.note("process", entry=self.name,
                                    what="over its memory of 260 MB")
                    self.process.kill()
                    await self.process.wait()
                else:
                    continue
            if self.is_stopping:
                return
            self.ends.append(time.monotonic())
            self.fleet.note("process", entry=self.name, what="ended",
                            status=self.process.returncode)
            await asyncio.sleep(0.5)
            if not self.is_stopping:
                await self.start()

    def memory_mb(self):
        try:
            with open(f"/proc/{self.process.pid}/statm") as f:
                pages = int(f.read().split()[1])
                return pages * resource.getpagesize() / 1e6
        except (OSError, IndexError):
            return 0

    async def is_ready(self):
        status, _ = await Http.call(self.readiness, "GET", "/-/ready",
                                    limit=1.0)
        return status == 200


class Fleet:
    """A small deployment: store, machines, runners, entries."""

    hold_limit_ms = 6000

    def __init__(self, record, folder, zones=("a", "b", "c"), runners=6,
                 entries=3):
        self.record = open(record, "w")
        self.folder = folder
        self.began = time.monotonic()
        self.store = Store()
        self.machines = Machines(self)
        self.zones = zones
        self.runners = [Runner(self, zones[i % len(zones)])
                        for i in range(runners)]
        self.entries = [Entry(self, i + 1, zones[i % len(zones)])
                        for i in range(entries)]
        self.tasks = []
        self.on_start = None
        self.work_s = 0.3
        self.starts = []

    def note(self, event, **fields):
        at = round(time.monotonic() - self.began, 3)
        self.record.write(json.dumps({"at": at, "event": event, **fields})
                          + "\n")
        self.record.flush()

    async def start(self):
        for it in (self.store, self.machines, *self.runners):
            await it.start()
        await self.store.put("op", "config", {
            "version": 3, "limits": {"maxBodyBytes": 262144},
            "routes": [{"name": "r-work", "host": HOST, "prefix": "/queue/",
                        "kind": "non_idempotent", "timeoutMs": 3000,
                        "targetDurationMs": 600, "priority": 0,
                        "service": "work", "maxAttempts": 4, "stretch": 1.6,
                        "allowAnonymous": False}],
            "services": [{"name": "work", "admissionCheck": False,
                          "standby": False}],
            "tenants": [{"name": "t-1", "apiKeys": ["key-1"], "weight": 60,
                         "maxCount": {"cpu": 0, "memMb": 0, "gpus": 0}}]})
        for it in self.runners:
            await self.store.put("servers", it.id, it.report())
            self.tasks.append(asyncio.create_task(self.beat(it)))
        for it in self.entries:
            await it.start()
            self.tasks.append(asyncio.create_task(it.watch()))
        await self.wait_until_ready()

    async def wait_until_ready(self):
        for _ in range(100):
            await asyncio.sleep(0.1)
            if all([await it.is_ready() for it in self.entries]):
                self.note("ready")
                return
        raise RuntimeError("the entries do not turn ready")

    async def restart_entries(self):
        """Ends all entries; watch() starts them again, with new settings."""
        for it in self.entries:
            it.process.kill()
        await asyncio.sleep(1)
        await self.wait_until_ready()

    async def beat(self, runner):
        """Liveness reports; after three that are missing the row goes."""
        while runner.is_up:
            await asyncio.sleep(1.5)
            runner.seq += 1
            if runner.is_up:
                runner.expire()
                await self.store.put("servers", runner.id, runner.report())
        await asyncio.sleep(4.5)
        await self.store.erase("servers", runner.id)

    def break_gang(self, task, number):
        """A member of a gang has ended; the others end `broken`."""
        step = task.rsplit(".", 1)[0] + "."
        for runner in self.runners:
            for other, run in list(runner.running.items()):
                if (other.startswith(step) and run["run"] == number
                        and run["spec"].startswith("gang")):
                    runner.end(other, "broken", run["saved"])

    def started(self, runner, task, number, saved):
        self.starts.append((time.monotonic(), runner, task, number, saved))
        if self.on_start:
            self.on_start(runner, task, number, saved)
        else:
            asyncio.create_task(self.work(runner, task, number))

    async def work(self, runner, task, number):
        await asyncio.sleep(self.work_s)
        run = runner.running.get(task)
        if runner.is_up and run and run["run"] == number:
            runner.end(task, "done")

    async def consume(self, method, job, body=None, tries=5, limit=3.0):
        """A call of a consumer, which asks again where the pages say so: after
        no answer, a 502 or a 504 with the same id at any node, and after a 429
        or a 503. Returns the last status and body, and all statuses."""
        seen = []
        status, out = None, None
        for i in range(tries):
            ready = [it for it in self.entries if await it.is_ready()]
            nodes = ready or self.entries
            entry = nodes[(hash(job) + i) % len(nodes)]
            status, out = await Http.call(
                entry.front, method, "/queue/" + job, body,
                {"Authorization": "Bearer key-1",
                 "X-Cowslippass-Deadline-Ms": int(limit * 1000)}, limit)
            seen.append(status)
            self.note("call", method=method, job=job, entry=entry.name,
                      status=status, answer=out)
            if status not in (None, 429, 502, 503, 504):
                break
            await asyncio.sleep(1.0 if status in (429, 503) else 0.1)
        return status, out, seen

    async def stop(self):
        for it in self.entries:
            it.is_stopping = True
            if it.process and it.process.returncode is None:
                it.process.kill()
        for it in self.entries:
            if it.process:
                await it.process.wait()
        for it in self.tasks:
            it.cancel()
        self.record.close()


def new_job():
    return uuid.uuid4().hex[:16]


def ordinary(count=2, cpu=500):
    return {"spec": "ordinary", "steps": [
        {"count": count, "cpu": cpu, "memMb": 64, "estimateMs": 300}]}


def run(play, folder, **options):
    """Plays a case. `play(fleet, trouble)` returns the list of what broke.
    Exit code: 1 broken, 0 held, 2 it could not run."""
    import shutil
    import sys
    import tempfile
    trouble = os.environ.get("TROUBLE", "1") != "0"
    temporary = tempfile.mkdtemp()
    if os.environ.get("KEEP_LOGS"):
        print("logs:", temporary)

    async def main():
        # Connections that end with the case are no errors.
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)
        fleet = Fleet(os.path.join(folder, "record.txt"), temporary,
                      **options)
        try:
            await fleet.start()
            return await asyncio.wait_for(play(fleet, trouble), 100)
        finally:
            await fleet.stop()
    try:
        broken = asyncio.run(main())
    except Exception as e:  # The case could not run.
        print("could not run:", repr(e))
        sys.exit(2)
    finally:
        if not os.environ.get("KEEP_LOGS"):
            shutil.rmtree(temporary, ignore_errors=True)
    for it in broken[:20]:
        print("broken:", it)
    print(f"{len(broken)} broken, trouble {'on' if trouble else 'off'}")
    sys.exit(1 if broken else 0)
