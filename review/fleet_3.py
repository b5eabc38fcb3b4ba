"""Stand-ins of the third review: store, runners, machines and consumers.

They follow the users' pages and use nothing but Python's library. One process
holds them all; the entries are processes of their own.
"""

import asyncio
import base64
import json
import os
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import urllib.parse
from pathlib import Path

PROJECT = Path(__file__).resolve().parent.parent
DAEMON = PROJECT / "target" / "cowslippass_entryd"
TEMPLATE = PROJECT / "deploy" / "entry.toml"
LOOPBACK = "127.0.0.1"
LEASE_LIMIT_MS = 6000
GANG_MS = 3000
HEARTBEAT_S = 1.5
MOVE_S = 1.5
UPKEEP_S = 2.0
WORK_S = float(os.environ.get("WORK_S", "0.005"))


class CannotRun(Exception):
    """The case could not be set up."""


class PortBlock:
    """Ports of this script alone. Scripts that run side by side have other
    blocks: the first port of a block stays bound as long as its script runs.
    No outgoing connection takes ports of this range by chance."""

    first, last, size = 12000, 30000, 60

    def __init__(self):
        self.guard = None
        self.next = 0

    def take_block(self):
        while not self.guard:
            begin = random.randrange(self.first, self.last, self.size)
            it = socket.socket()
            try:
                it.bind((LOOPBACK, begin))
            except OSError:
                it.close()
                continue
            self.guard, self.next = it, begin + 1

    def take_port(self):
        self.take_block()
        while True:
            port = self.next
            self.next += 1
            if port % self.size == 0:
                raise CannotRun("no free ports are left")
            with socket.socket() as it:
                try:
                    it.bind((LOOPBACK, port))
                    return port
                except OSError:
                    continue


PORTS = PortBlock()


def free_port():
    return PORTS.take_port()


class Record:
    """What was sent, answered and run, with the time since the start."""

    def __init__(self, path):
        self.begin = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.begin

    def write(self, text):
        print(f"{self.now():8.3f} {text}", file=self.file, flush=True)


class Connection:
    """An accepted connection. A silent one delivers nothing any more."""

    def __init__(self, owner, reader, writer):
        self.owner = owner
        self.reader = reader
        self.writer = writer
        self.is_silent = False


class HttpServer:
    """A small HTTP/1.1 server on a free loopback port."""

    def __init__(self, handler, owner=""):
        self.handler = handler
        self.owner = owner
        self.port = free_port()
        self.connections = set()
        self.server = None

    @property
    def address(self):
        return f"{LOOPBACK}:{self.port}"

    async def start(self):
        self.server = await asyncio.start_server(
            self.serve, LOOPBACK, self.port)

    def stop(self):
        if self.server:
            self.server.close()
            self.server = None
        for it in list(self.connections):
            it.writer.transport.abort()

    def silence_open_connections(self):
        for it in self.connections:
            it.is_silent = True
        return len(self.connections)

    async def serve(self, reader, writer):
        conn = Connection(self.owner, reader, writer)
        self.connections.add(conn)
        try:
            while True:
                request = await read_request(reader)
                if request is None:
                    break
                if conn.is_silent:
                    await asyncio.sleep(3600)
                answer = await self.handler(conn, *request)
                if conn.is_silent:
                    await asyncio.sleep(3600)
                if answer is None:
                    break
                writer.write(format_answer(*answer))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self.connections.discard(conn)
            writer.transport.abort()


async def read_request(reader):
    line = await reader.readline()
    if not line:
        return None
    method, target, _ = line.decode().split(" ", 2)
    headers = {}
    while True:
        line = (await reader.readline()).decode().strip()
        if not line:
            break
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    path, _, query = target.partition("?")
    values = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
    return method, path, values, headers, body


def format_answer(status, body=None, headers=None):
    data = b"" if body is None else json.dumps(body).encode()
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(data)}",
             "Content-Type: application/json"]
    for name, value in (headers or {}).items():
        lines.append(f"{name}: {value}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + data


async def call(address, method, path, body=None, headers=None, timeout=5.0):
    """One request on a connection of its own.

    Returns the status and the body; the status is None without an answer.
    """
    host, port = address.rsplit(":", 1)
    data = b"" if body is None else json.dumps(body).encode()
    lines = [f"{method} {path} HTTP/1.1", f"Content-Length: {len(data)}",
             "Content-Type: application/json", "Connection: close"]
    headers = dict(headers or {})
    headers.setdefault("Host", address)
    for name, value in headers.items():
        lines.append(f"{name}: {value}")
    writer = None

    async def exchange():
        nonlocal writer
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + data)
        await writer.drain()
        status = int((await reader.readline()).split()[1])
        length = 0
        while True:
            line = (await reader.readline()).decode().strip().lower()
            if not line:
                break
            if line.startswith("content-length:"):
                length = int(line.split(":")[1])
        text = await reader.readexactly(length)
        try:
            return status, json.loads(text) if text else None
        except ValueError:
            return status, text.decode(errors="replace")

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError,
            IndexError, ValueError):
        return None, None
    finally:
        if writer:
            writer.transport.abort()


class Store:
    """The platform's store, with an address of its own for each entry."""

    def __init__(self, record):
        self.record = record
        self.rows = {}  # (table, part) -> key -> (value, version)
        self.version = 1
        self.changes = []  # (version, table, part, key)
        self.changed = asyncio.Event()
        self.servers = {}
        self.last_writer = None  # of a transaction under a condition
        self.begin = time.monotonic()
        self.before = None  # hook: (owner, path) -> answer or None

    async def listen(self, owner):
        server = HttpServer(self.handle, owner)
        await server.start()
        self.servers[owner] = server
        return server.address

    def now_ms(self):
        return int((time.monotonic() - self.begin) * 1000)

    def stop(self):
        for it in self.servers.values():
            it.stop()

    def put(self, table, key, value, part=""):
        """A write of the operator or of a runner; None deletes the row."""
        self.version += 1
        self.apply(table, part, key, None if value is None else
                   base64.b64encode(json.dumps(value).encode()).decode())
        self.announce()
        return self.version

    def apply(self, table, part, key, value):
        rows = self.rows.setdefault((table, part), {})
        if value is None:
            rows.pop(key, None)
        else:
            rows[key] = (value, self.version)
        self.changes.append((self.version, table, part, key))

    def announce(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def get_json(self, table, key, part=""):
        row = self.rows.get((table, part), {}).get(key)
        return None if row is None else json.loads(base64.b64decode(row[0]))

    async def handle(self, conn, method, path, query, headers, body):
        if self.before:
            answer = self.before(conn.owner, path)
            if answer:
                return answer
        if path == "/-/rows-tx":
            await asyncio.sleep(0.006)
            return self.transact(conn.owner, json.loads(body))
        if path == "/-/rows-get":
            return self.read(query)
        if path == "/-/rows-feed":
            return await self.feed(query)
        return 404, {}

    def transact(self, owner, tx):
        def find(it):
            rows = self.rows.get((it["table"], it.get("part", "")), {})
            return rows.get(it["key"])

        expected = tx.get("expected", [])
        if any((find(it) or (None, 0))[1] != it["ver"] for it in expected):
            now = []
            for it in expected:
                row = find(it)
                if row:
                    now.append({"table": it["table"], "key": it["key"],
                                "part": it.get("part", ""),
                                "value": row[0], "ver": row[1]})
            return 412, {"rows": now, "ver": self.version,
                         "nowMs": self.now_ms()}
        entries = tx.get("upserts", []) + tx.get("deletes", [])
        if any(it["table"] in ("op", "servers") for it in entries):
            return 403, {}
        self.version += 1
        for it in entries:
            self.apply(it["table"], it.get("part", ""), it["key"],
                       it.get("value"))
        if expected:
            self.last_writer = owner
        self.announce()
        return 200, {"ver": self.version, "nowMs": self.now_ms()}

    def read(self, query):
        rows = self.rows.get((query["table"], query.get("part", "")), {})
        limit = min(int(query.get("limit", 500)), 500)
        first, last = query.get("from", ""), query.get("to", "")
        keys = sorted((it for it in rows
                       if it >= first and (not last or it < last)),
                      key=str.encode)
        out = [{"table": query["table"], "part": query.get("part", ""),
                "key": it, "value": rows[it][0], "ver": rows[it][1]}
               for it in keys[:limit]]
        return 200, {"rows": out, "hasMore": len(keys) > limit,
                     "ver": self.version, "nowMs": self.now_ms()}

    async def feed(self, query):
        after = int(query["after"])
        end = time.monotonic() + int(query.get("waitMs", 0)) / 1000
        while True:
            found = {}
            for version, table, part, key in self.changes:
                if version > after and table == query["table"]:
                    found[(part, key)] = version
            left = end - time.monotonic()
            if found or left <= 0:
                break
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass
        out = []
        for (part, key), version in sorted(
                found.items(), key=lambda it: it[1]):
            row = self.rows.get((query["table"], part), {}).get(key)
            entry = {"table": query["table"], "part": part, "key": key,
                     "ver": version}
            if row:
                entry["value"] = row[0]
            else:
                entry["deleted"] = True
            out.append(entry)
        return 200, {"rows": out, "ver": self.version,
                     "nowMs": self.now_ms()}


class Runner:
    """One life of a runner. The spec of a submission says how long its tasks
    run: {"ms": 500}."""

    def __init__(self, fleet, name, service, zone, machine):
        self.fleet = fleet
        self.name = name
        self.service = service
        self.zone = zone
        self.machine = machine
        self.born = int(time.time() * 1000)
        self.begin = time.monotonic()
        self.sequence = 0
        self.state = "ready"
        self.fence = 0
        self.lease_end = 0
        self.running = {}  # task -> run
        self.ended = []
        self.end_number = 0
        self.floors = {}  # task -> highest run that was stopped or has ended
        self.server = HttpServer(self.handle, name)
        self.has_ended = asyncio.Event()
        self.is_up = False
        self.before = None  # hook: (path, body) -> "lost", "hang" or None
        self.start_s = 0  # Time that it takes to start a task.
        self.slowness = 1  # Everything takes this many times as long.

    def clock(self):
        return int((time.monotonic() - self.begin) * 1000) + 1000

    async def start(self):
        await self.server.start()
        self.is_up = True
        self.tasks = [asyncio.create_task(self.beat()),
                      asyncio.create_task(self.work())]

    def crash(self):
        """Everything that runs here ends, and nobody is told."""
        self.is_up = False
        for it in self.tasks:
            it.cancel()
        self.server.stop()
        lost, self.running = self.running, {}
        for task, run in lost.items():
            self.fleet.record.write(
                f"runner {self.name} lost {task} run {run['run']}")
            if "gang" in run:
                self.fleet.break_gang(task, run["run"])

    def leave(self):
        self.crash()
        self.fleet.store.put("servers", self.name, None)

    def publish(self):
        self.sequence += 1
        self.fleet.store.put("servers", self.name, {
            "service": self.service, "address": self.server.address,
            "zone": self.zone, "version": "v1", "slots": 8,
            "state": self.state, "coldLeftMs": 0, "born": self.born,
            "capacity": self.fleet.capacity, "labels": ["a", "r1-1"],
            "clockMs": self.clock(), "seq": self.sequence})

    async def beat(self):
        while True:
            self.publish()
            await asyncio.sleep(HEARTBEAT_S)

    async def work(self):
        while True:
            now = self.clock()
            if self.running and now >= self.lease_end:
                for task in list(self.running):
                    self.end(task, "lapsed")
            for task, run in list(self.running.items()):
                if run["end"] is not None and now >= run["end"] and \
                        self.running.get(task) is run:
                    self.end(task, run["how"])
            await asyncio.sleep(WORK_S)

    def end(self, task, how):
        run = self.running.pop(task)
        self.end_number += 1
        self.floors[task] = max(self.floors.get(task, 0), run["run"])
        self.ended.append([self.end_number, task, run["run"], how, ""])
        self.fleet.record.write(
            f"runner {self.name} ended {task} run {run['run']} {how}")
        self.fleet.ends.append(
            (self.fleet.record.now(), self.name, task, run["run"], how))
        self.has_ended.set()
        self.has_ended = asyncio.Event()
        if "gang" in run and how == "done":
            # The end of one ends the next one, until none is left.
            for other, it in self.fleet.list_gang(task, run["run"])[:1]:
                other.end(it["task"], "done")
        elif "gang" in run and how != "alone":
            self.fleet.break_gang(task, run["run"])

    async def handle(self, conn, method, path, query, headers, body):
        if headers.get("x-cowslippass-target-instance", self.name) != \
                self.name:
            return 421, {}
        order = json.loads(body) if body else {}
        fate = self.before(path, order) if self.before else None
        if fate == "lost":
            return None
        if fate == "hang":
            await asyncio.sleep(3600)
        if path == "/health":
            return 200, {}
        if path not in ("/-/run-start", "/-/run-stop", "/-/hold"):
            return 404, {}
        if path == "/-/run-start" and self.start_s:
            await asyncio.sleep(self.start_s * self.slowness)
        fence = order.get("fenceToken", 0)
        if fence < self.fence:
            return self.refuse("fence")
        self.fence = fence
        if path == "/-/run-start":
            return self.start_run(order)
        if path == "/-/run-stop":
            return self.stop_run(order)
        return await self.hold(order)

    def refuse(self, reason):
        return 409, {"clockMs": self.clock(), "reason": reason}

    def extend(self, order):
        if "deadlineMs" in order:
            end = min(order["deadlineMs"], self.clock() + LEASE_LIMIT_MS)
            self.lease_end = max(self.lease_end, end)

    def start_run(self, order):
        task, number = order["task"], order["runId"]
        run = self.running.get(task)
        if run and run["run"] == number:
            self.extend(order)
            return 200, {"clockMs": self.clock()}
        if number <= self.floors.get(task, 0) or run:
            self.extend(order)
            return self.refuse("old")
        if order["deadlineMs"] <= self.clock():
            return self.refuse("late")
        self.extend(order)
        spec = json.loads(order["spec"])
        lasts = spec.get("ms")
        if lasts is not None:
            lasts *= self.slowness
        # Only runs up to this number end by themselves.
        if number > spec.get("last_run_to_end", number):
            lasts = None
        how = spec.get("how", "done")
        run = {"task": task, "run": number, "begin": self.clock(),
               "how": how, "end": None}
        self.running[task] = run
        if "gang" in spec:
            # They work from when all are present, and end together.
            run["gang"] = spec["gang"]
            run["end"] = self.clock() + GANG_MS
            run["how"] = "alone"
            members = self.fleet.list_gang(task, number)
            if len(members) == spec["gang"]:
                for other, it in members:
                    it["how"] = how
                    it["end"] = None if lasts is None else \
                        other.clock() + lasts
        elif lasts is not None:
            run["end"] = self.clock() + lasts
        self.fleet.record.write(
            f"runner {self.name} started {task} run {number} "
            f"fence {order['fenceToken']}")
        self.fleet.starts.append(
            (self.fleet.record.now(), self.name, task, number))
        return 200, {"clockMs": self.clock()}

    def stop_run(self, order):
        task, number = order["task"], order["runId"]
        self.floors[task] = max(self.floors.get(task, 0), number)
        run = self.running.get(task)
        if run and run["run"] <= number:
            end = self.clock() + self.fleet.stop_ms
            run["end"] = min(run["end"] or end, end)
            run["how"] = "stopped"
        return 200, {"clockMs": self.clock()}

    async def hold(self, order):
        seen = order.get("seenUpto", 0)
        self.ended = [it for it in self.ended if it[0] > seen]
        self.extend(order)
        wait = order.get("waitMs", 0) / 1000
        if not self.ended and wait > 0:
            try:
                await asyncio.wait_for(self.has_ended.wait(), wait)
            except asyncio.TimeoutError:
                pass
        running = []
        for task, run in self.running.items():
            percent = 100
            if run["end"] is not None:
                percent = min(99, 100 * (self.clock() - run["begin"]) //
                              max(1, run["end"] - run["begin"]))
            running.append([task, run["run"], "", percent, 0])
        return 200, {"clockMs": self.clock(), "born": self.born,
                     "running": running, "ended": self.ended[:500]}


class Machines:
    """The platform's list of machines, and its orders to them."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.server = HttpServer(self.handle)
        self.machines = {}  # host -> state
        self.upkeeps = []  # (time, host, wave, "begin" or "end")
        self.before = None  # hook: (path, order) -> "late" or None

    def add(self, host, pool, zone):
        self.machines[host] = {
            "pool": pool, "zone": zone, "state": "up", "runner": None,
            "fence": 0, "waves": set()}

    async def handle(self, conn, method, path, query, headers, body):
        if path == "/-/machines":
            out = []
            for host, it in sorted(self.machines.items()):
                row = {"hostId": host, "pool": it["pool"],
                       "state": it["state"], "zone": it["zone"],
                       "labels": ["a", "r1-1"],
                       "capacity": self.fleet.capacity}
                if it["runner"] and it["state"] == "up":
                    row["id"] = it["runner"].name
                out.append(row)
            return 200, {"machines": out, "nextToken": None}
        order = json.loads(body)
        order["holder"] = headers.get("x-cowslippass-duty-holder", "")
        order["fence"] = int(headers.get("x-cowslippass-fence-token", 0))
        if self.before and self.before(path, order):
            await asyncio.sleep(3600)
        status, answer = self.carry_out(path, order)
        self.fleet.record.write(
            f"machines {path} {order.get('hostId')} holder "
            f"{order['holder']} fence {order['fence']} -> {status} {answer}")
        return status, answer

    def carry_out(self, path, order):
        it = self.machines.get(order.get("hostId"))
        if it is None:
            return 400, {}
        if order["fence"] < it["fence"]:
            return 409, {"reason": "fence"}
        it["fence"] = order["fence"]
        if path == "/-/machine-move":
            if order["pool"] == it["pool"] and it["state"] == "up":
                return 200, {}
            if it["state"] == "moving" and it["pool"] == order["pool"]:
                return 200, {}
            if it["state"] != "up":
                return 409, {"reason": "busy"}
            it["pool"] = order["pool"]
            asyncio.create_task(self.renew(order["hostId"], "moving", MOVE_S))
            return 200, {}
        wave = order["wave"]
        published = self.fleet.store.get_json("op", f"wave/{wave}")
        if not published or order["hostId"] not in published["machines"]:
            return 409, {"reason": "wave"}
        if wave in it["waves"]:
            return 200, {}
        if it["state"] != "up":
            return 409, {"reason": "busy"}
        it["waves"].add(wave)
        self.upkeeps.append(
            (self.fleet.record.now(), order["hostId"], wave, "begin"))
        self.fleet.record.write(f"machine {order['hostId']} upkeep begins")
        asyncio.create_task(self.renew(order["hostId"], "upkeep", UPKEEP_S))
        return 200, {}

    async def renew(self, host, state, time_s):
        it = self.machines[host]
        it["state"] = state
        if it["runner"]:
            it["runner"].leave()
            it["runner"] = None
        await asyncio.sleep(time_s)
        it["state"] = "up"
        if state == "upkeep":
            self.upkeeps.append((self.fleet.record.now(), host, 0, "end"))
            self.fleet.record.write(f"machine {host} upkeep ends")
        if not self.fleet.is_standby(it["pool"]):
            await self.fleet.add_runner(host)


def render(template, values):
    """Fills in the few forms of placeholders that deploy/entry.toml uses."""

    def find(path):
        at = values
        for name in path.split("."):
            if isinstance(at, list):
                at = at[int(name)] if int(name) < len(at) else None
            else:
                at = at.get(name) if isinstance(at, dict) else None
            if at is None:
                return None
        return at

    def section(match):
        value = find(match.group(1))
        return match.group(2) if value not in (None, False, "") else ""

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template,
                  flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda it: str(find(it.group(1))),
                  text)


class Entry:
    """A process of the daemon, started as the deploy file says."""

    def __init__(self, fleet, name, zone):
        self.fleet = fleet
        self.name = name
        self.zone = zone
        self.front = f"{LOOPBACK}:{free_port()}"
        self.readiness = f"{LOOPBACK}:{free_port()}"
        self.peer_port = free_port()
        self.metrics_port = free_port()
        self.settings = fleet.folder / f"{name}.toml"
        self.log = fleet.folder / f"{name}.log"
        self.process = None

    def write_settings(self, store, machines):
        values = {
            "node": self.name, "zone": self.zone, "ip": LOOPBACK,
            "listen": {"front": self.front, "readiness": self.readiness},
            "portRange": [self.peer_port, self.peer_port],
            "platform": {"address": store, "form": "table",
                         "rowBytes": 65536},
            "orders": "rpc",
            "cloudApi": {"address": machines, "dutyPerS": 64.0},
            "limits": {"cpuShare": 0.25, "memoryMb": 260, "maxFds": 4100},
            "bounds": {"revokeMs": 5000, "holdLimitMs": LEASE_LIMIT_MS,
                       "graceS": 6, "status_s": 120, "moveS": MOVE_S,
                       "upkeepS": UPKEEP_S, "noticeMs": 4500,
                       "gangMs": 3000}}
        text = render(TEMPLATE.read_text(encoding="utf-8"), values)
        # All processes of a case share one loopback address.
        text = text.replace(f'"{LOOPBACK}:7001"',
                            f'"{LOOPBACK}:{self.metrics_port}"')
        self.settings.write_text(text, encoding="utf-8")

    async def start(self):
        environment = {it: os.environ[it] for it in ("PATH", "HOME", "LANG")
                       if it in os.environ}
        with open(self.log, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                str(DAEMON), f"--settings={self.settings}", cwd=PROJECT,
                env=environment, stdout=log, stderr=log)

    def signal(self, number):
        if self.process and self.process.returncode is None:
            self.process.send_signal(number)

    async def stop(self):
        if not self.process:
            return
        if self.process.returncode is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        await self.process.wait()


class Fleet:
    """A small deployment on stand-ins."""

    capacity = {"cpu": 16000, "memMb": 32768, "gpus": 0}
    stop_ms = 50  # Time that a stop takes.

    def __init__(self, record, entries=3):
        if not DAEMON.exists():
            raise CannotRun("the daemon is not built")
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="review-3-"))
        self.store = Store(record)
        self.machines = Machines(self)
        self.entries = [Entry(self, f"front-{i}", "zone-a")
                        for i in range(entries)]
        self.runners = []
        self.starts = []  # (time, runner, task, run)
        self.ends = []  # (time, runner, task, run, how)
        self.config = None
        self.runner_count = 0

    def is_standby(self, pool):
        return any(it["name"] == pool and it["standby"]
                   for it in self.config["services"])

    def publish(self, config):
        self.config = config
        self.store.put("op", "config", config)
        self.record.write(
            f"operator put config {config['version']} with routes "
            + " ".join(it["name"] for it in config["routes"]))

    async def add_runner(self, host):
        it = self.machines.machines[host]
        self.runner_count += 1
        runner = Runner(self, f"i-{self.runner_count:04d}", it["pool"],
                        it["zone"], host)
        it["runner"] = runner
        self.runners.append(runner)
        await runner.start()
        return runner

    async def start(self, config, pools):
        """pools: service -> number of machines."""
        self.publish(config)
        await self.machines.server.start()
        number = 0
        for pool, count in pools.items():
            for _ in range(count):
                number += 1
                host = f"m-{number:02d}"
                self.machines.add(host, pool, "zone-a")
                if not self.is_standby(pool):
                    await self.add_runner(host)
        for it in self.entries:
            address = await self.store.listen(it.name)
            it.write_settings(address, self.machines.server.address)
            await it.start()
        await self.wait_until(self.are_ready, 20, "all entries are ready")

    async def are_ready(self):
        for it in self.entries:
            status, _ = await call(it.readiness, "GET", "/-/ready",
                                   timeout=1.0)
            if status != 200:
                return False
        return True

    async def wait_until(self, condition, time_s, what):
        end = time.monotonic() + time_s
        while time.monotonic() < end:
            if await condition():
                return
            await asyncio.sleep(0.05)
        raise CannotRun(f"not in time: {what}")

    def find_coordinator(self):
        """The entry that last wrote to the store under a condition."""
        return next(it for it in self.entries
                    if it.name == self.store.last_writer)

    def find_others(self):
        leader = self.find_coordinator()
        return [it for it in self.entries if it is not leader]

    async def ask(self, entry, method, path, route, body=None, key="key-1",
                  wait_ms=3000):
        headers = {"Host": route["host"], "Authorization": f"Bearer {key}",
                   "X-Cowslippass-Deadline-Ms": str(wait_ms)}
        path = route["prefix"] + path
        self.record.write(f"consumer {method} {path} at {entry.name}")
        status, answer = await call(entry.front, method, path, body, headers,
                                    timeout=wait_ms / 1000)
        self.record.write(
            f"consumer {method} {path} at {entry.name} -> {status} {answer}")
        return status, answer

    def list_gang(self, task, number):
        """Members of a task's gang that are present, with their runners."""
        step = task.rsplit(".", 1)[0] + "."
        return [(it, run) for it in self.runners
                for name, run in it.running.items()
                if name.startswith(step) and run["run"] == number]

    def break_gang(self, task, number):
        for it, run in self.list_gang(task, number):
            run["end"], run["how"] = it.clock(), "broken"

    def list_starts(self, job):
        return [it for it in self.starts if it[2].startswith(job + ".")]

    def list_done(self, job):
        return [it for it in self.ends
                if it[2].startswith(job + ".") and it[4] == "done"]

    async def stop(self):
        for it in self.entries:
            await it.stop()
        for it in self.runners:
            if it.is_up:
                it.crash()
        self.machines.server.stop()
        self.store.stop()


def make_route(name, service, **more):
    out = {"name": name, "host": "work.example", "prefix": f"/{name}/",
           "kind": "non_idempotent", "timeoutMs": 3000,
           "targetDurationMs": 600, "priority": 0, "service": service,
           "maxAttempts": 4, "stretch": 1.6, "allowAnonymous": False}
    out.update(more)
    return out


def make_config(version, routes, services, standby=()):
    return {
        "version": version, "routes": routes,
        "services": [{"name": it, "healthPath": "/health", "maxConns": 64,
                      "protocol": "h1", "tls": False, "coldStartS": 0.0,
                      "coldPerS": 0.0, "admissionCheck": False,
                      "standby": it in standby}
                     for it in services],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144,
                   "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
        "tenants": [{"name": "tenant-1", "apiKeys": ["key-1"],
                     "priority": 1, "weight": 1,
                     "maxCount": {"cpu": 0, "memMb": 0, "gpus": 0}}]}


def make_job(steps, **spec):
    return {"spec": json.dumps(spec), "steps": steps}


def run_case(folder, case, entries=3, limit_s=110):
    """Runs case(fleet, has_trouble), which returns what broke the rule, or
    nothing. Exits with 1, 0, or 2 if the case could not run."""
    record = Record(Path(folder) / "record.txt")
    has_trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run():
        fleet = Fleet(record, entries)
        try:
            return await asyncio.wait_for(case(fleet, has_trouble), limit_s)
        except CannotRun:
            for it in fleet.entries:
                lines = it.log.read_text(encoding="utf-8").splitlines() \
                    if it.log.exists() else []
                code = it.process.returncode if it.process else None
                record.write(
                    f"{it.name} exit {code}, last lines: {lines[-3:]}")
            raise
        finally:
            await fleet.stop()
            if os.environ.get("KEEP_LOGS"):
                print("logs:", fleet.folder)
            else:
                shutil.rmtree(fleet.folder, ignore_errors=True)

    try:
        broken = asyncio.run(run())
    except (CannotRun, asyncio.TimeoutError, OSError) as e:
        record.write(f"the case could not run: {e!r}")
        print(f"could not run: {e!r}")
        sys.exit(2)
    record.write(f"broken: {broken}" if broken else "the rule held")
    print(broken or "the rule held")
    sys.exit(1 if broken else 0)
