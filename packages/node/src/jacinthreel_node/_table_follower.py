"""Follows the changes of a store table.

The follower reads the whole table, and then long-polls for changes.  It reads the whole table again
if the store has discarded the history.  With `rereads_after_failure` it also does so after a failed
poll.  This suits a small table with large rows, because the feed returns every missed version.

The timeout of a poll is slightly longer than its wait, so that a dead connection is detected.  For
a table that changes constantly, `read_pause_ms` batches the changes: it is the pause between polls,
each of which returns all changes since the previous one.  `on_read` is called after each successful
read or poll: all earlier changes have been passed on then.
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

OnSnapshot = Callable[[tuple[Row, ...]], None]
OnChanges = Callable[[tuple[Row, ...]], None]


class TableFollower:
    """Passes full reads and changed rows of one table to callbacks until cancelled."""

    def __init__(
        self,
        store: KeyedStore,
        table: str,
        wait_ms: int,
        on_snapshot: OnSnapshot,
        on_changes: OnChanges,
        log: Callable[[str, dict[str, Any]], None],
        rereads_after_failure: bool = False,
        read_pause_ms: int = 0,
        on_read: Callable[[], None] = lambda: None,
    ) -> None:
        self._on_read = on_read
        self._read_pause_ms = read_pause_ms
        self._rereads_after_failure = rereads_after_failure
        self._store = store
        self._table = table
        self._wait_ms = wait_ms
        self._on_snapshot = on_snapshot
        self._on_changes = on_changes
        self._log = log
        self._is_lost = False

    async def run(self, start_version: int | None = None) -> None:
        """Follows the table until cancelled, beginning with a full read or at `start_version`."""
        version = start_version
        while True:
            if version is None:
                version = await self._read_table()
            else:
                version = await self._read_changes(version)
            if version is None:
                await asyncio.sleep(RETRY_PAUSE_MS / 1000)

    async def _read_table(self) -> int | None:
        match await self._store.read(self._table, READ_TIMEOUT_MS):
            case Success(Snapshot(rows=rows, version=version)):
                self._mark_regained()
                self._on_snapshot(rows)
                self._on_read()
                return version
            case Failure(Fault() as fault):
                self._mark_lost(fault)
        return None

    async def _read_changes(self, version: int) -> int | None:
        while True:
            match await self._store.changes(self._table, version, self._wait_ms):
                case Success(Snapshot(rows=rows, version=newer)):
                    self._mark_regained()
                    if rows:
                        self._on_changes(rows)
                    self._on_read()
                    version = max(version, newer)
                    await asyncio.sleep(self._read_pause_ms / 1000)
                case Failure(Fault(code=ResultCode.STORE_HISTORY_LOST)):
                    self._log("table_history_lost", {"table": self._table, "version": version})
                    return None
                case Failure(Fault() as fault):
                    self._mark_lost(fault)
                    if self._rereads_after_failure:
                        return None
                    await asyncio.sleep(RETRY_PAUSE_MS / 1000)

    def _mark_lost(self, fault: Fault) -> None:
        if not self._is_lost:
            self._is_lost = True
            self._log("table_lost", {"table": self._table, "reason": fault.detail})

    def _mark_regained(self) -> None:
        if self._is_lost:
            self._is_lost = False
            self._log("table_regained", {"table": self._table})
