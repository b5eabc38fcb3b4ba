"""The platform: its store of rows, its machines, and the operator."""

import asyncio
import base64
import json
import time

import stand_in_http as http

ROW_BYTES = 65536
MAX_ENTRIES = 100
MAX_CALL_BYTES = 1_000_000
PAGE_ROWS = 500
HISTORY_S = 20
TXN_S = 0.006
ANSWER_S = 0.004
PART_WAIT_S = 1.0


class Store:
    """The table form of the store. Each entry has an address of its own, so
    that the store can turn some of them away and serve the others."""

    def __init__(self, log):
        self.log = log
        self.rows = {}     # (table, part, key) -> (value, ver)
        self.changes = []  # (time, ver, id, is_deleted)
        self.dropped_ver = 0
        self.ver = 100
        self.changed = asyncio.Condition()
        self.part_locks = {}
        self.part_waiting = {}
        self.busy = set()  # Names that get 503.
        self.servers = []
        self.last_writer = None  # Who last wrote under a condition.
        self.refused_sizes = 0

    async def listen(self, name):
        server = http.Server(lambda request: self.handle(name, request))
        self.servers.append(server)
        return "127.0.0.1:" + str(await server.start("127.0.0.1"))

    def now_ms(self):
        return int(time.monotonic() * 1000)

    def encode(self, at, is_deleted=False):
        row = {"table": at[0], "part": at[1], "key": at[2]}
        if is_deleted:
            row["deleted"] = True
        else:
            row["value"] = self.rows[at][0]
            row["ver"] = self.rows[at][1]
        return row

    async def apply(self, upserts, deletes):
        self.ver += 1
        now = time.monotonic()
        for at, value in upserts:
            self.rows[at] = (value, self.ver)
            self.changes.append((now, self.ver, at, False))
        for at in deletes:
            if self.rows.pop(at, None):
                self.changes.append((now, self.ver, at, True))
        while self.changes and now - self.changes[0][0] > HISTORY_S:
            self.dropped_ver = self.changes.pop(0)[1]
        async with self.changed:
            self.changed.notify_all()

    async def put(self, table, key, value):
        """A write of the operator or of a runner."""
        data = base64.b64encode(json.dumps(value).encode()).decode()
        await self.apply([((table, "", key), data)], [])

    async def delete(self, table, key):
        await self.apply([], [(table, "", key)])

    def get(self, table, part, key):
        row = self.rows.get((table, part, key))
        return json.loads(base64.b64decode(row[0])) if row else None

    async def handle(self, name, request):
        if name in self.busy:
            return 503, {}
        if request.path == "/-/rows-tx":
            return await self.transact(name, request)
        await asyncio.sleep(ANSWER_S)
        if request.path == "/-/rows-get":
            return self.read(request)
        if request.path == "/-/rows-feed":
            return await self.feed(name, request)
        return 404, {}

    async def transact(self, name, request):
        body = request.json()
        lists = [body.get(it, []) for it in ("expected", "upserts", "deletes")]
        entries = [row for rows in lists for row in rows]
        if len(entries) > MAX_ENTRIES or len(request.body) > MAX_CALL_BYTES:
            return 400, {"reason": "too large"}
        parts = {row.get("part", "") for row in entries}
        if len(parts) > 1:
            return 400, {"reason": "across"}
        if any(row["table"] in ("op", "servers") for row in entries[
                len(lists[0]):]):
            return 403, {}
        for row in lists[1]:
            if len(base64.b64decode(row["value"])) > ROW_BYTES:
                self.refused_sizes += 1
                if self.refused_sizes <= 3 or self.refused_sizes % 50 == 0:
                    self.log(f"store: refused a row of {row['table']} with "
                             f"{len(base64.b64decode(row['value']))} bytes "
                             f"(number {self.refused_sizes})")
                return 400, {"reason": "a row is too large"}
        part = (parts or {""}).pop()
        if self.part_waiting.get(part, 0) * TXN_S > PART_WAIT_S:
            return 429, {}
        lock = self.part_locks.setdefault(part, asyncio.Lock())
        self.part_waiting[part] = self.part_waiting.get(part, 0) + 1
        try:
            async with lock:
                await asyncio.sleep(TXN_S)
                return await self.commit(name, lists)
        finally:
            self.part_waiting[part] -= 1

    async def commit(self, name, lists):
        def identify(row):
            return row["table"], row.get("part", ""), row["key"]

        expected, upserts, deletes = lists
        is_met = all(
            self.rows.get(identify(row), (None, 0))[1] == row["ver"]
            for row in expected)
        if not is_met:
            found = [self.encode(identify(row)) for row in expected
                     if identify(row) in self.rows]
            return 412, {"rows": found, "ver": self.ver,
                         "nowMs": self.now_ms()}
        if expected:
            self.last_writer = name
        await self.apply([(identify(row), row["value"]) for row in upserts],
                         [identify(row) for row in deletes])
        return 200, {"ver": self.ver, "nowMs": self.now_ms()}

    def read(self, request):
        query = request.query
        first, last = query.get("from", ""), query.get("to", "")
        limit = min(int(query.get("limit", PAGE_ROWS)), PAGE_ROWS)
        found = sorted(
            at for at in self.rows
            if at[0] == query["table"] and at[1] == query.get("part", "")
            and at[2] >= first and (not last or at[2] < last))
        rows, size = [], 0
        for at in found[:limit]:
            size += len(self.rows[at][0])
            if rows and size > MAX_CALL_BYTES:
                break
            rows.append(self.encode(at))
        return 200, {"rows": rows, "hasMore": len(rows) < len(found),
                     "ver": self.ver, "nowMs": self.now_ms()}

    async def feed(self, name, request):
        after = int(request.query["after"])
        wait_ms = min(int(request.query.get("waitMs", 0)), 30000)
        end = time.monotonic() + wait_ms / 1000
        while True:
            if name in self.busy:
                return 503, {}
            if after < self.dropped_ver:
                return 410, {}
            rows = {}
            for _, ver, at, is_deleted in self.changes:
                if ver > after and at[0] == request.query["table"]:
                    rows.pop(at, None)
                    is_gone = is_deleted or at not in self.rows
                    rows[at] = dict(self.encode(at, is_gone), ver=ver)
            left = end - time.monotonic()
            if rows or left <= 0:
                return 200, {"rows": list(rows.values()), "ver": self.ver,
                             "nowMs": self.now_ms()}
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass


class Machines:
    """The list of machines. It knows one machine for each runner; there are
    no other pools and no waves, so that orders never fit."""

    def __init__(self):
        self.runners = []
        self.server = http.Server(self.handle)

    async def start(self):
        return "127.0.0.1:" + str(await self.server.start("127.0.0.1"))

    async def handle(self, request):
        await asyncio.sleep(ANSWER_S)
        if request.path != "/-/machines":
            return 400, {}
        rows = []
        for it in self.runners:
            rows.append({
                "hostId": "m-" + it.id[2:], "pool": it.service,
                "state": "up" if it.is_up else "down", "zone": it.zone,
                "labels": it.labels, "capacity": it.capacity,
                "id": it.id if it.is_up else None})
        return 200, {"machines": rows, "nextToken": None}
