"""Stores the progress of jobs, one transaction at a time.

A transaction holds up to `MAX_BATCH_ROWS` rows from the scheduler, fewer if they are large.  It is
conditional on the owner row and on the version of each row that it replaces.  If its outcome is
unknown, the identical transaction is sent again until the outcome is known.  Its conditions hold at
most once, so it takes effect at most once.  A conflict with a row that carries the transaction's
own write id means that an earlier attempt took effect.

Rows that only tell that a job has begun wait for others, up to a few times as long as a transaction
takes: one that is written for them alone would hold up the next placement.

Invariant: while the owner row is as this owner wrote it, no other process changes the progress
rows.  Any other conflict therefore ends the ownership.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any, Final

from returns.result import Failure, Success

from jacinthreel_common import Fault
from jacinthreel_daemon.plumbing import Clock, MetricsRegistry
from jacinthreel_node._ports import Committed, Conflict, KeyedStore, Row, RowCondition, RowWrite
from jacinthreel_node._records import OWNER_KEY, OWNER_TABLE, PROGRESS_TABLE
from jacinthreel_node._slow_steps import measure_step
from jacinthreel_steps import Scheduler, UnstoredRow, progress_write_id

MAX_BATCH_ROWS: Final = 45
MAX_BATCH_BYTES: Final = 600_000  # The store takes 1 MB a call, and values grow by a third on it.
COMMIT_TIMEOUT_MS: Final = 1_000
RETRY_PAUSE_MS: Final = 60
MAX_RETRY_PAUSE_MS: Final = 400
BEGUN_DELAY_COMMITS: Final = 4
MAX_BEGUN_DELAY_MS: Final = 200


class ProgressWriter:
    """Stores the scheduler's decisions; calls `on_lost` if a conflict shows a lost ownership."""

    def __init__(
        self,
        store: KeyedStore,
        scheduler: Scheduler,
        owner_version: int,
        nonce: str,
        clock: Clock,
        metrics: MetricsRegistry,
        on_stored: Callable[[], None],
        on_lost: Callable[[str], None],
        log: Callable[[str, dict[str, Any]], None],
    ) -> None:
        self._store = store
        self._scheduler = scheduler
        self._owner_version = owner_version
        self._nonce = nonce
        self._clock = clock
        self._metrics = metrics
        self._on_stored = on_stored
        self._on_lost = on_lost
        self._log = log
        self._batch_count = 0
        self._commit_ms = 0
        self._wake_requested = asyncio.Event()
        self._stored = asyncio.Event()
        self.is_idle = True

    def wake(self) -> None:
        """Wakes the writer, because there may be rows to store."""
        self._wake_requested.set()

    async def wait_stored(self, timeout_ms: int) -> None:
        """Waits for the next stored batch, or until the timeout."""
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                await self._stored.wait()
        except TimeoutError:
            return

    async def run(self) -> None:
        """Stores batches until cancelled."""
        while True:
            await self._wait_for_rows()
            while await self._store_batch():
                pass

    @property
    def _begun_delay_ms(self) -> int:
        """How long rows that only tell that a job has begun wait for others."""
        return min(MAX_BEGUN_DELAY_MS, BEGUN_DELAY_COMMITS * self._commit_ms)

    async def _wait_for_rows(self) -> None:
        """Waits until `wake` is called, or until the row of a job that has begun is due."""
        timeout_s: float | None = None
        begun_ms = self._scheduler.oldest_unstored_begin_ms()
        if begun_ms is not None:
            due_ms = begun_ms + self._begun_delay_ms
            timeout_s = max(0, due_ms - self._clock.now_ms()) / 1000
        try:
            async with asyncio.timeout(timeout_s):
                await self._wake_requested.wait()
        except TimeoutError:
            return
        self._wake_requested.clear()

    async def _store_batch(self) -> bool:
        """Stores one batch; returns false if there were no rows or the ownership is lost."""
        self._batch_count += 1
        write_id = f"{self._nonce}.{self._batch_count}"
        self._scheduler.queue_begun_rows(self._clock.now_ms() - self._begun_delay_ms)
        with measure_step(self._clock, self._log, "encode_progress") as timing:
            rows = self._scheduler.take_unstored(MAX_BATCH_ROWS, write_id, MAX_BATCH_BYTES)
        if not rows:
            return False
        self.is_idle = False
        started_ms = self._clock.now_ms()
        version = await self._commit(rows, write_id)
        self._commit_ms = self._clock.now_ms() - started_ms
        self._metrics.observe_ms("progress_store_ms", self._commit_ms)
        self.is_idle = True
        if version is None:
            return False
        now_ms = self._clock.now_ms()
        with measure_step(self._clock, self._log, "mark_stored", rows=len(rows)):
            for row in rows:
                self._scheduler.mark_stored(row, version, now_ms)
        self._stored.set()
        self._stored = asyncio.Event()
        self._on_stored()
        if timing.pause_s:
            await asyncio.sleep(timing.pause_s)
        return True

    async def _commit(self, rows: list[UnstoredRow], write_id: str) -> int | None:
        conditions = [RowCondition(OWNER_TABLE, OWNER_KEY, self._owner_version)]
        conditions += [RowCondition(PROGRESS_TABLE, row.job_id, row.version) for row in rows]
        writes = [RowWrite(PROGRESS_TABLE, row.job_id, row.value) for row in rows]
        pause_ms = RETRY_PAUSE_MS
        while True:
            match await self._store.commit(conditions, writes, COMMIT_TIMEOUT_MS):
                case Success(Committed(version=version)):
                    self._metrics.count("progress_rows_stored_total", len(rows))
                    return version
                case Success(Conflict(rows=current_rows)):
                    return self._resolve_conflict(current_rows, write_id)
                case Failure(Fault() as fault):
                    self._metrics.count("progress_store_failures_total")
                    self._log(
                        "progress_not_stored",
                        {"rows": len(rows), "reason": fault.detail, "code": fault.code.value},
                    )
            await asyncio.sleep(pause_ms / 1000)
            pause_ms = min(MAX_RETRY_PAUSE_MS, pause_ms * 2)

    def _resolve_conflict(self, current_rows: tuple[Row, ...], write_id: str) -> int | None:
        """Returns the version written by an earlier attempt, or None if the ownership is lost."""
        for row in current_rows:
            if row.table == OWNER_TABLE and row.version != self._owner_version:
                self._on_lost("the owner row has changed")
                return None
        for row in current_rows:
            if row.table != PROGRESS_TABLE or row.value is None:
                continue
            if progress_write_id(row.value) == write_id:
                return row.version
        self._on_lost("another process has changed a progress row")
        return None
