"""Following a table of the store.

The follower reads the table whole, then asks for changes with a waiting read, again and again.  A
lost history makes it read the table whole again; so does a failure, where the table is small and
its rows are large, because a feed brings each version that was missed.  A waiting read has a
timeout a little longer than its wait, so that a connection that went silent is noticed.  A table
that changes all the time is read in steps with a gap between them, each for all changes since.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any, Final

from returns.result import Failure, Success

from jacinthreel_common import Fault, ResultCode
from jacinthreel_node._ports import KeyedStore, Row, Snapshot

READ_TIMEOUT_MS: Final = 1_200
RETRY_PAUSE_MS: Final = 150

TakeSnapshot = Callable[[tuple[Row, ...]], None]
TakeChanges = Callable[[tuple[Row, ...]], None]


class TableFollower:
    """Hands the rows of one table to its callbacks until it is stopped."""

    def __init__(
        self,
        store: KeyedStore,
        table: str,
        wait_ms: int,
        take_snapshot: TakeSnapshot,
        take_changes: TakeChanges,
        log: Callable[[str, dict[str, Any]], None],
        rereads_after_failure: bool = False,
        gap_ms: int = 0,
    ) -> None:
        self._gap_ms = gap_ms
        self._rereads_after_failure = rereads_after_failure
        self._store = store
        self._table = table
        self._wait_ms = wait_ms
        self._take_snapshot = take_snapshot
        self._take_changes = take_changes
        self._log = log
        self._is_lost = False

    async def run(self, start_version: int | None = None) -> None:
        """Follows the table; from `start_version` where its rows up to then are known."""
        version = start_version
        while True:
            if version is None:
                version = await self._read_whole()
            else:
                version = await self._read_changes(version)
            if version is None:
                await asyncio.sleep(RETRY_PAUSE_MS / 1000)

    async def _read_whole(self) -> int | None:
        match await self._store.read(self._table, READ_TIMEOUT_MS):
            case Success(Snapshot(rows=rows, version=version)):
                self._note_regained()
                self._take_snapshot(rows)
                return version
            case Failure(Fault() as fault):
                self._note_lost(fault)
        return None

    async def _read_changes(self, version: int) -> int | None:
        while True:
            match await self._store.changes(self._table, version, self._wait_ms):
                case Success(Snapshot(rows=rows, version=newer)):
                    self._note_regained()
                    if rows:
                        self._take_changes(rows)
                    version = max(version, newer)
                    await asyncio.sleep(self._gap_ms / 1000)
                case Failure(Fault(code=ResultCode.STORE_HISTORY_LOST)):
                    self._log("table_history_lost", {"table": self._table, "version": version})
                    return None
                case Failure(Fault() as fault):
                    self._note_lost(fault)
                    if self._rereads_after_failure:
                        return None
                    await asyncio.sleep(RETRY_PAUSE_MS / 1000)

    def _note_lost(self, fault: Fault) -> None:
        if not self._is_lost:
            self._is_lost = True
            self._log("table_lost", {"table": self._table, "reason": fault.detail})

    def _note_regained(self) -> None:
        if self._is_lost:
            self._is_lost = False
            self._log("table_regained", {"table": self._table})
