"""Performs the claim writes and reads of a request router on the table service.

Claims are written immediately, each in its own transaction.  Bookkeeping writes are delayed by up
to `GROUP_DELAY_MS` and grouped into one transaction.  A group that ends in a conflict is retried
row by row, so that each row gets its own outcome; each row's write id and version condition make
the retry safe.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Final

from returns.result import Failure, Result, Success

from jacinthreel_common import (
    Condition,
    Fault,
    ReadQuery,
    RowWrite,
    Transaction,
    TransactionReply,
    WriteOutcome,
)
from jacinthreel_daemon._ports import TableStore
from jacinthreel_daemon._write_outcomes import classify_write_result, extract_row_versions
from jacinthreel_requests import (
    ReadRow,
    RowRead,
    WriteDone,
    WritePriority,
    WriteRow,
)

GROUP_DELAY_MS: Final = 20
MAX_GROUP_ROWS: Final = 50

ClaimListener = Callable[[WriteDone | RowRead], None]


class ClaimStore:
    """Performs `WriteRow` and `ReadRow` effects and reports their outcome to a listener."""

    def __init__(self, store: TableStore, listener: ClaimListener) -> None:
        self._store = store
        self._listener = listener
        self._pending_group: list[WriteRow] = []
        self._tasks: set[asyncio.Task[None]] = set()

    def write(self, effect: WriteRow) -> None:
        """Starts a write, or adds a bookkeeping write to the next group."""
        if effect.priority is not WritePriority.BOOKKEEPING:
            self._start_single_write(effect)
            return
        self._pending_group.append(effect)
        if len(self._pending_group) == 1:
            asyncio.get_running_loop().call_later(GROUP_DELAY_MS / 1000, self._flush)
        elif len(self._pending_group) >= MAX_GROUP_ROWS:
            self._flush()

    def read(self, effect: ReadRow) -> None:
        """Starts a read."""
        self._spawn(self._read(effect))

    def _flush(self) -> None:
        group, self._pending_group = self._pending_group, []
        if len(group) == 1:
            self._start_single_write(group[0])
        elif group:
            self._spawn(self._write_group(group))

    def _start_single_write(self, effect: WriteRow) -> None:
        self._spawn(self._write_one(effect))

    def _spawn(self, coroutine: Coroutine[None, None, None]) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _write_one(self, effect: WriteRow) -> None:
        result = await self._store.transact(_build_transaction([effect]), effect.priority)
        self._listener(_build_write_done(effect, result))

    async def _write_group(self, group: list[WriteRow]) -> None:
        result = await self._store.transact(_build_transaction(group), WritePriority.BOOKKEEPING)
        conflicts = classify_write_result(result) is WriteOutcome.CONFLICT
        for effect in group:
            if conflicts:
                await self._write_one(effect)
                continue
            self._listener(_build_write_done(effect, result))

    async def _read(self, effect: ReadRow) -> None:
        result = await self._store.read(ReadQuery(keys=[effect.key]))
        match result:
            case Success(reply):
                row = reply.rows[0] if reply.rows else None
                self._listener(RowRead(effect.write_id, row))
            case Failure():
                self._listener(RowRead(effect.write_id, None, store_unavailable=True))


def _build_write_done(effect: WriteRow, result: Result[TransactionReply, Fault]) -> WriteDone:
    outcome = classify_write_result(result)
    if outcome is not WriteOutcome.COMMITTED:
        return WriteDone(effect.write_id, outcome)
    return WriteDone(effect.write_id, outcome, extract_row_versions(result).get(effect.key, 0))


def _build_transaction(group: list[WriteRow]) -> Transaction:
    """Returns one transaction for all rows, with the write id of the first row."""
    return Transaction(
        write_id=group[0].write_id,
        conditions=[Condition(effect.key, effect.required_version) for effect in group],
        writes=[RowWrite(effect.key, effect.value) for effect in group],
    )
