"""The speeds of executors, kept in the store from one owner to the next.

Phases: at a takeover the row is read once, without insisting, because a new owner can do without;
while it owns the jobs, the owner writes the row every few seconds if the speeds have changed.  The
row is written without a condition: one that a former owner has written late is as good.
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


class KeptSpeeds:
    """Reads and writes the row for one ownership."""

    def __init__(
        self,
        store: KeyedStore,
        scheduler: Scheduler,
        log: Callable[[str, dict[str, Any]], None],
    ) -> None:
        self._store = store
        self._scheduler = scheduler
        self._log = log
        self._written: dict[str, float] = {}

    async def load(self) -> None:
        """Hands what earlier owners have learnt to the scheduler."""
        match await self._store.read(SPEEDS_TABLE, READ_TIMEOUT_MS, SPEEDS_KEY):
            case Success(Snapshot(rows=rows)):
                row = decode_speeds(rows[0].value or b"") if rows else None
                self._written = row.speed_by_executor if row is not None else {}
                self._scheduler.restore_speeds(self._written)
                self._log("speeds_restored", {"executors": len(self._written)})
            case Failure(Fault(detail=detail)):
                self._log("speeds_not_restored", {"reason": detail})

    async def run(self) -> None:
        """Writes until cancelled."""
        while True:
            await asyncio.sleep(WRITE_PERIOD_MS / 1000)
            await self.write()

    async def write(self) -> None:
        """Writes the speeds if they have changed."""
        speeds = self._scheduler.speeds()
        if speeds == self._written:
            return
        value = encode_record(SpeedsRow(speeds))
        row = RowWrite(SPEEDS_TABLE, SPEEDS_KEY, value)
        match await self._store.commit([], [row], WRITE_TIMEOUT_MS):
            case Success(_):
                self._written = speeds
            case Failure(Fault(detail=detail)):
                self._log("speeds_not_written", {"reason": detail})
