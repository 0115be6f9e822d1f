"""Persists the measured speeds of executors across owners.

A new owner reads the row once, without retries, because the speeds are optional.  During its
ownership it writes the row every `WRITE_PERIOD_MS` if the speeds have changed.  The write is
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
        self._stored_speeds: dict[str, float] = {}

    async def load(self) -> None:
        """Loads the speeds stored by earlier owners into the scheduler."""
        match await self._store.read(SPEEDS_TABLE, READ_TIMEOUT_MS, SPEEDS_KEY):
            case Success(Snapshot(rows=rows)):
                row = decode_speeds(rows[0].value or b"") if rows else None
                self._stored_speeds = row.speed_by_executor if row is not None else {}
                self._scheduler.restore_speeds(self._stored_speeds)
                self._log("speeds_restored", {"executors": len(self._stored_speeds)})
            case Failure(Fault(detail=detail)):
                self._log("speeds_not_restored", {"reason": detail})

    async def run(self) -> None:
        """Writes changed speeds periodically until cancelled."""
        while True:
            await asyncio.sleep(WRITE_PERIOD_MS / 1000)
            await self.write()

    async def write(self) -> None:
        """Writes the speeds if they have changed."""
        speeds = self._scheduler.speeds()
        if speeds == self._stored_speeds:
            return
        value = encode_record(SpeedsRow(speeds))
        row = RowWrite(SPEEDS_TABLE, SPEEDS_KEY, value)
        match await self._store.commit([], [row], WRITE_TIMEOUT_MS):
            case Success(_):
                self._stored_speeds = speeds
            case Failure(Fault(detail=detail)):
                self._log("speeds_not_written", {"reason": detail})
