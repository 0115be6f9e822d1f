"""Stand-in of the platform's metadata store, as PROTOCOL.md describes it.

Usage: store.py ADDRESS:PORT.  Rows live in memory.  Transactions of a part run one after another,
`TX_MS` each.  A call over 100 entries or 1 MB, and a row over `ROW_BYTES`, is refused with 400 and
changes nothing.

The operator, the executors and other writers use `POST /standin/put` and `POST /standin/remove`;
executors also send `POST /standin/beat`: an entry of `servers` is removed after three heartbeat
intervals of silence.  `POST /standin/mode` takes the store down: it then answers each call with 503
and does nothing.
"""

from __future__ import annotations

import asyncio
import base64
import json
import sys
import time
from typing import Any

from wire import serve

TX_MS = 5
READ_MS = 4
ROW_BYTES = 65_536
CALL_BYTES = 1_000_000
CALL_ENTRIES = 100
PAGE_ROWS = 500
PAGE_BYTES = 1_000_000
BEAT_S = 1.5

Name = tuple[str, str, str]


class Store:
    """All rows, by table, part and key; deleted rows stay as tombstones."""

    def __init__(self) -> None:
        self.rows: dict[Name, dict[str, Any]] = {}
        self.version = 0
        self.changed = asyncio.Event()
        self.locks: dict[str, asyncio.Lock] = {}
        self.beats: dict[str, float] = {}
        self.is_down = False

    def put(self, name: Name, value: str) -> None:
        table, part, key = name
        self.rows[name] = {
            "table": table, "part": part, "key": key, "value": value, "ver": self.version
        }  # fmt: skip

    def remove(self, name: Name) -> None:
        row = self.rows.get(name)
        if row is not None:
            table, part, key = name
            self.rows[name] = {
                "table": table, "part": part, "key": key, "deleted": True, "ver": self.version
            }  # fmt: skip

    def notify(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()

    def live(self, name: Name) -> dict[str, Any] | None:
        row = self.rows.get(name)
        return None if row is None or row.get("deleted") else row

    def changes(self, table: str, after: int) -> list[dict[str, Any]]:
        rows = [
            row for (name, _, _), row in self.rows.items() if name == table and row["ver"] > after
        ]
        return sorted(rows, key=lambda row: row["ver"])


def _name(entry: dict[str, Any]) -> Name:
    return entry["table"], entry.get("part", ""), entry["key"]


def _now_ms() -> int:
    return time.monotonic_ns() // 1_000_000


async def transact(store: Store, body: bytes) -> tuple[int, Any]:
    """Applies all entries or none."""
    call = json.loads(body)
    expected = call.get("expected_rev", [])
    writes, removals = call.get("writes", []), call.get("remove", [])
    entries = [*expected, *writes, *removals]
    if len(entries) > CALL_ENTRIES or len(body) > CALL_BYTES:
        return 400, {"error": "a call holds at most 100 entries and 1 MB"}
    if any(len(base64.b64decode(write["value"])) > ROW_BYTES for write in writes):
        return 400, {"error": f"a row holds at most {ROW_BYTES} bytes"}
    if len({entry.get("part", "") for entry in entries}) > 1:
        return 400, {"error": "all entries share one part"}
    if any(entry["table"] in ("op", "servers") for entry in (*writes, *removals)):
        return 403, {"error": "not yours"}
    part = entries[0].get("part", "") if entries else ""
    async with store.locks.setdefault(part, asyncio.Lock()):
        await asyncio.sleep(TX_MS / 1000)
        if store.is_down:
            return 503, {}
        for condition in expected:
            row = store.live(_name(condition))
            if (row["ver"] if row is not None else 0) != condition["ver"]:
                rows = [store.live(_name(entry)) for entry in expected]
                current = [row for row in rows if row is not None]
                return 412, {"rows": current, "ver": store.version, "now_ms": _now_ms()}
        store.version += 1
        for write in writes:
            store.put(_name(write), write["value"])
        for removal in removals:
            store.remove(_name(removal))
        store.notify()
        return 200, {"ver": store.version, "now_ms": _now_ms()}


async def get_rows(store: Store, query: dict[str, str]) -> tuple[int, Any]:
    """Returns a page of a part, keys in ascending byte order."""
    await asyncio.sleep(READ_MS / 1000)
    table, part = query["table"], query.get("part", "")
    start, end = query.get("from", ""), query.get("to")
    limit = min(PAGE_ROWS, int(query.get("limit", PAGE_ROWS)))
    names = sorted(
        (name for name in store.rows if name[0] == table and name[1] == part),
        key=lambda name: name[2].encode(),
    )
    rows: list[dict[str, Any]] = []
    size = 0
    for name in names:
        row = store.live(name)
        if row is None or name[2] < start or (end is not None and name[2] >= end):
            continue
        size += len(row["value"])
        if len(rows) >= limit or (rows and size > PAGE_BYTES):
            return 200, {"rows": rows, "more_pages": True, "ver": store.version, "now_ms": _now_ms()}
        rows.append(row)
    return 200, {"rows": rows, "more_pages": False, "ver": store.version, "now_ms": _now_ms()}


async def feed(store: Store, query: dict[str, str]) -> tuple[int, Any]:
    """Waits for changes of a table and returns them in order."""
    table, after = query["table"], int(query["after"])
    end_s = time.monotonic() + min(30_000, int(query.get("wait_ms", 0))) / 1000
    while not store.changes(table, after) and not store.is_down:
        changed = store.changed
        try:
            await asyncio.wait_for(changed.wait(), max(0.001, end_s - time.monotonic()))
        except TimeoutError:
            break
    await asyncio.sleep(READ_MS / 1000)
    if store.is_down:
        return 503, {}
    version = store.version
    rows = [row for row in store.changes(table, after) if row["ver"] <= version]
    return 200, {"rows": rows, "ver": version, "now_ms": _now_ms()}


def write_unconditionally(store: Store, path: str, body: bytes) -> tuple[int, Any]:
    """Writes a row of the operator, an executor or another writer."""
    entry = json.loads(body)
    name = _name(entry)
    if path.endswith("/beat"):
        store.beats[entry["key"]] = time.monotonic()
        row = store.live(name)
        if row is not None and row["value"] == entry["value"]:
            return 200, {"ver": store.version}
    store.version += 1
    if path.endswith("/remove"):
        store.remove(name)
    else:
        store.put(name, entry["value"])
    store.notify()
    return 200, {"ver": store.version}


async def expire_entries(store: Store) -> None:
    """Removes the entries of executors that are silent for three heartbeat intervals."""
    while True:
        await asyncio.sleep(0.2)
        for key, beat_s in list(store.beats.items()):
            if store.is_down:
                break
            if time.monotonic() - beat_s > 3 * BEAT_S:
                del store.beats[key]
                store.version += 1
                store.remove(("servers", "", key))
                store.notify()


async def main() -> None:
    address, _, port = sys.argv[1].rpartition(":")
    store = Store()

    async def handle(
        method: str, path: str, query: dict[str, str], headers: dict[str, str], body: bytes
    ) -> tuple[int, Any]:
        if path == "/standin/mode":
            store.is_down = json.loads(body)["down"]
            store.notify()
            for key in store.beats:  # Executors could not register meanwhile.
                store.beats[key] = time.monotonic()
            return 200, {}
        if store.is_down:
            return 503, {}
        match method, path:
            case "POST", "/v1/rows-tx":
                return await transact(store, body)
            case "GET", "/v1/rows-get":
                return await get_rows(store, query)
            case "GET", "/v1/rows-feed":
                return await feed(store, query)
            case "POST", ("/standin/put" | "/standin/remove" | "/standin/beat"):
                return write_unconditionally(store, path, body)
        return 404, {}

    server = await serve(address, int(port), handle)
    asyncio.get_running_loop().create_task(expire_entries(store))
    async with server:
        await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main())
