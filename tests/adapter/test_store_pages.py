"""Lists of the store that it cuts short: what is missing from a page has not been deleted."""

from __future__ import annotations

import asyncio
import json
from typing import Any, cast
from urllib.parse import parse_qs, urlsplit

from returns.result import Result, Success

from jacinthreel_common import ResultCode
from jacinthreel_daemon.plumbing import HttpFailure, HttpReply
from jacinthreel_platform._store import PAGE_ROWS, PlatformStore


class PagedPool:
    """Answers each request with the next of `replies`; `paths` are those that were requested."""

    def __init__(self, *replies: Any) -> None:
        self.replies = list(replies)
        self.paths: list[str] = []

    async def get(self, path: str, timeout_ms: int) -> Result[HttpReply, HttpFailure]:
        self.paths.append(path)
        return Success(HttpReply(200, json.dumps(self.replies.pop(0)).encode()))


def make_store(*replies: Any) -> tuple[PlatformStore, PagedPool]:
    store, pool = PlatformStore("127.0.0.1", 1), PagedPool(*replies)
    store._pool = cast(Any, pool)
    return store, pool


def rows(first: int, count: int) -> list[dict[str, Any]]:
    return [
        {"table": "servers", "key": f"i-{number:05}", "value": "eA==", "ver": number}
        for number in range(first, first + count)
    ]


def test_table_is_read_to_its_last_page() -> None:
    pages = [
        {"rows": rows(1, PAGE_ROWS), "ver": 9_000, "more_pages": True},
        {"rows": rows(PAGE_ROWS, 20), "ver": 9_001},
    ]
    store, pool = make_store(*pages)
    snapshot = asyncio.run(store.read("servers", 100)).unwrap()
    assert len(snapshot.rows) == PAGE_ROWS + 19
    assert snapshot.version == 9_000
    assert parse_qs(urlsplit(pool.paths[1]).query)["from"] == [f"i-{PAGE_ROWS:05}"]


def test_page_without_new_rows_is_not_the_end_of_a_table_with_more_pages() -> None:
    # The rows that followed counted as removed.
    first = {"rows": rows(1, 1), "ver": 9, "more_pages": True}
    store, _ = make_store(first, first)
    fault = asyncio.run(store.read("servers", 100)).failure()
    assert fault.code is ResultCode.STORE_UNAVAILABLE


def test_changes_that_fill_a_page_are_followed_from_before_the_last_of_them() -> None:
    # The reply names the store's newest version, beyond changes that it left out.
    store, _ = make_store({"rows": rows(1, PAGE_ROWS), "ver": 9_000}, {"rows": [], "ver": 9_000})
    assert asyncio.run(store.changes("servers", 0, 10)).unwrap().version == PAGE_ROWS - 1
    assert asyncio.run(store.changes("servers", 0, 10)).unwrap().version == 9_000
