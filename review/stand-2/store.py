"""Stand-in of the platform's store: rows, transactions, feeds; and the writes of others.

    store.py ADDRESS PORT

`POST /standin/put` and `/standin/remove` take a row of the operator or of an executor.
"""

from __future__ import annotations

import asyncio
import sys
import time
from typing import Any

from http11 import Request, serve

TX_S = 0.005


class Store:
    def __init__(self) -> None:
        self.rows: dict[tuple[str, str, str], dict[str, Any]] = {}
        self.version = 0
        self.changed = asyncio.Event()

    def put(self, table: str, part: str, key: str, value: str | None) -> None:
        row = {"table": table, "part": part, "key": key, "value": value, "ver": self.version}
        if value is None:
            row["deleted"] = True
        self.rows[(table, part, key)] = row

    def current(self, name: dict[str, Any]) -> dict[str, Any] | None:
        row = self.rows.get((name["table"], name.get("part", ""), name["key"]))
        return None if row is None or row.get("deleted") else row

    def notify(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()

    def reply(self, **fields: Any) -> dict[str, Any]:
        return {**fields, "ver": self.version, "now_ms": time.monotonic_ns() // 1_000_000}

    async def handle(self, request: Request) -> tuple[int, Any] | None:
        match request.path:
            case "/v1/rows-tx":
                return await self.transact(request.json())
            case "/v1/rows-get":
                return 200, self.read(request.query)
            case "/v1/rows-feed":
                return 200, await self.feed(request.query)
            case "/standin/put" | "/standin/remove":
                row = request.json()
                self.version += 1
                value = row.get("value") if request.path.endswith("put") else None
                self.put(row["table"], "", row["key"], value)
                self.notify()
                return 200, self.reply()
        return 404, {}

    async def transact(self, body: dict[str, Any]) -> tuple[int, Any]:
        await asyncio.sleep(TX_S)
        expected = body.get("expected_rev", [])
        for condition in expected:
            row = self.current(condition)
            if (row["ver"] if row else 0) != condition["ver"]:
                found = [self.current(name) for name in expected]
                return 412, self.reply(rows=[row for row in found if row is not None])
        self.version += 1
        for write in body.get("writes", []):
            self.put(write["table"], write.get("part", ""), write["key"], write["value"])
        for name in body.get("remove", []):
            if self.current(name) is not None:
                self.put(name["table"], name.get("part", ""), name["key"], None)
        self.notify()
        return 200, self.reply()

    def read(self, query: dict[str, str]) -> dict[str, Any]:
        limit = min(500, int(query.get("limit", "500")))
        start, end = query.get("from", ""), query.get("to")
        rows = [
            row
            for (table, part, key), row in sorted(self.rows.items())
            if table == query["table"]
            and part == query.get("part", "")
            and key >= start
            and (end is None or key < end)
            and not row.get("deleted")
        ]
        return self.reply(rows=rows[:limit], more_pages=len(rows) > limit)

    async def feed(self, query: dict[str, str]) -> dict[str, Any]:
        after = int(query["after"])
        end_s = time.monotonic() + min(30_000, int(query.get("wait_ms", "0"))) / 1000
        while True:
            rows = [
                row
                for (table, _, _), row in self.rows.items()
                if table == query["table"] and row["ver"] > after
            ]
            left_s = end_s - time.monotonic()
            if rows or left_s <= 0:
                rows.sort(key=lambda row: row["ver"])
                return self.reply(rows=rows)
            try:
                await asyncio.wait_for(self.changed.wait(), left_s)
            except TimeoutError:
                pass


async def main() -> None:
    server = await serve(sys.argv[1], int(sys.argv[2]), Store().handle)
    await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main())
