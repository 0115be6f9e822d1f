"""Persists the measured speeds of executors and the run-time models across owners.

A new owner reads the row once, without retries, because its contents are optional.  During its
ownership it writes the row every `WRITE_PERIOD_MS` if they have changed.  The write is
unconditional, because a late write of a former owner is equally valid.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any, Final

from returns.result import Failure, Success

from jacinthreel_common import Fault
from jacinthreel_node._ports import KeyedStore, RowWrite, Snapshot
from jacinthreel_node._records import (
    SPEEDS_KEY,
    SPEEDS_TABLE,
    SpeedsRow,
    decode_speeds,
    encode_record,
)
from jacinthreel_steps import Scheduler

WRITE_PERIOD_MS: Final = 4_000
WRITE_TIMEOUT_MS: Final = 1_500
READ_TIMEOUT_MS: Final = 400


class ExecutorSpeedStore:
    """Reads and writes the speeds row during one ownership."""

    def __init__(
        self,
        store: KeyedStore,
        scheduler: Scheduler,
        log: Callable[[str, dict[str, Any]], None],
    ) -> None:
        self._store = store
        self._scheduler = scheduler
        self._log = log
        self._stored = SpeedsRow({})

    async def load(self) -> None:
        """Loads what earlier owners stored into the scheduler."""
        match await self._store.read(SPEEDS_TABLE, READ_TIMEOUT_MS, SPEEDS_KEY):
            case Success(Snapshot(rows=rows)):
                row = decode_speeds(rows[0].value or b"") if rows else None
                self._stored = row or SpeedsRow({})
                self._scheduler.restore_speeds(self._stored.speed_by_executor)
                self._scheduler.restore_run_times(self._stored.run_time_by_queue)
                fields = {
                    "executors": len(self._stored.speed_by_executor),
                    "queues": len(self._stored.run_time_by_queue),
                }
                self._log("speeds_restored", fields)
            case Failure(Fault(detail=detail)):
                self._log("speeds_not_restored", {"reason": detail})

    async def run(self) -> None:
        """Writes changed speeds periodically until cancelled."""
        while True:
            await asyncio.sleep(WRITE_PERIOD_MS / 1000)
            await self.write()

    async def write(self) -> None:
        """Writes the speeds and the run-time models if they have changed."""
        current = SpeedsRow(self._scheduler.speeds(), self._scheduler.run_times())
        if current == self._stored:
            return
        row = RowWrite(SPEEDS_TABLE, SPEEDS_KEY, encode_record(current))
        match await self._store.commit([], [row], WRITE_TIMEOUT_MS):
            case Success(_):
                self._stored = current
            case Failure(Fault(detail=detail)):
                self._log("speeds_not_written", {"reason": detail})
