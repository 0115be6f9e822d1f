"""Deletes the rows of ended jobs after the retention time.

For each job the sweep deletes its intake rows, removes the job from the scheduler, and then deletes
its progress row.  The order matters if a step fails: an intake row without a progress row looks
like a new job and would be run again.  A progress row without an intake row is harmless, because
the next owner deletes it.

Cancellations without a job are deleted, too, unless they were written anew meanwhile.

Invariant: a job that was deleted is not added again by a read that began before the deletion.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from typing import Any, Final

from returns.result import Failure, Success

from jacinthreel_common import Fault
from jacinthreel_daemon.plumbing import Clock
from jacinthreel_node._ports import Committed, Conflict, KeyedStore, Row, RowCondition, RowWrite
from jacinthreel_node._records import (
    CANCEL_PREFIX,
    INTAKE_TABLE,
    JOB_PREFIX,
    OWNER_KEY,
    OWNER_TABLE,
    PROGRESS_TABLE,
    transaction_group,
)
from jacinthreel_node._unmatched_cancels import UnmatchedCancels
from jacinthreel_steps import Scheduler

SWEEP_PERIOD_MS: Final = 10_000  # Exceeds the duration of any table read.
KEEP_MARGIN_MS: Final = 60_000
MAX_BATCH_JOBS: Final = 40  # Per transaction; each job has two intake rows.
DELETE_TIMEOUT_MS: Final = 3_000


class EndedJobSweeper:
    """Deletes ended jobs during one ownership; `status_keep_ms` is how long their state is kept."""

    def __init__(
        self,
        store: KeyedStore,
        scheduler: Scheduler,
        status_keep_ms: int,
        owner_version: int,
        log: Callable[[str, dict[str, Any]], None],
    ) -> None:
        self._store = store
        self._scheduler = scheduler
        self._keep_ms = status_keep_ms + KEEP_MARGIN_MS
        self._owner_version = owner_version
        self._log = log
        self._just_deleted: set[str] = set()
        self._undeleted_progress: list[str] = []
        self.unmatched_cancels = UnmatchedCancels()

    def was_just_deleted(self, job_id: str) -> bool:
        """Whether the job was deleted by the latest sweep."""
        return job_id in self._just_deleted

    def add_orphaned_progress(self, job_ids: Iterable[str]) -> None:
        """Schedules the deletion of progress rows without intake rows.

        Either these are already deleted, or the job was announced and not accepted yet.
        """
        self._undeleted_progress.extend(job_ids)
        self._scheduler.await_jobs(self._undeleted_progress)

    def keep_progress(self, job_id: str) -> bool:
        """Cancels the deletion of a progress row; returns false if none was scheduled."""
        if job_id not in self._undeleted_progress:
            return False
        self._undeleted_progress.remove(job_id)
        return True

    async def run(self, clock: Clock) -> None:
        """Sweeps every `SWEEP_PERIOD_MS` until cancelled."""
        while True:
            await asyncio.sleep(SWEEP_PERIOD_MS / 1000)
            await self.sweep(clock.now_ms())

    async def sweep(self, now_ms: int) -> None:
        """Deletes the jobs whose retention time has passed."""
        self._just_deleted = set()
        self._undeleted_progress += self._scheduler.remove_old_announcements(now_ms - self._keep_ms)
        job_ids = self._scheduler.find_jobs_ended_before(now_ms - self._keep_ms)
        ids_by_group: dict[str, list[str]] = {}
        for job_id in job_ids:
            group = transaction_group(INTAKE_TABLE, JOB_PREFIX + job_id)
            ids_by_group.setdefault(group, []).append(job_id)
        for ids in ids_by_group.values():
            for start in range(0, len(ids), MAX_BATCH_JOBS):
                await self._delete_intake(ids[start : start + MAX_BATCH_JOBS])
        await self._delete_progress()
        await self._delete_unmatched_cancels(now_ms)

    async def _delete_unmatched_cancels(self, now_ms: int) -> None:
        rows_by_group: dict[str, list[Row]] = {}
        for row in self.unmatched_cancels.rows_to_delete(now_ms).values():
            rows_by_group.setdefault(transaction_group(row.table, row.key), []).append(row)
        for rows in rows_by_group.values():
            for start in range(0, len(rows), MAX_BATCH_JOBS):
                await self._delete_cancels(rows[start : start + MAX_BATCH_JOBS])

    async def _delete_cancels(self, rows: list[Row]) -> None:
        """Deletes rows that are unchanged; those that are not are due later, or deleted already."""
        conditions = [RowCondition(row.table, row.key, row.version) for row in rows]
        writes = [RowWrite(row.table, row.key, None) for row in rows]
        match await self._store.commit(conditions, writes, DELETE_TIMEOUT_MS):
            case Success(Committed()):
                changed = rows
            case Success(Conflict(rows=current)):
                versions = {row.key: row.version for row in current if row.value is not None}
                changed = [row for row in rows if versions.get(row.key) != row.version]
            case Failure(Fault(detail=reason)):
                self._log("rows_not_deleted", {"rows": len(rows), "reason": reason})
                return
        for row in changed:
            self.unmatched_cancels.forget(row.key.removeprefix(CANCEL_PREFIX))

    async def _delete_intake(self, job_ids: list[str]) -> None:
        prefixes = (JOB_PREFIX, CANCEL_PREFIX)
        writes = [
            RowWrite(INTAKE_TABLE, prefix + id_, None) for id_ in job_ids for prefix in prefixes
        ]
        if not await self._delete([], writes):
            return  # The next sweep retries.
        self._just_deleted.update(job_ids)
        self._undeleted_progress += job_ids
        for job_id in job_ids:
            self._scheduler.remove_job(job_id)

    async def _delete_progress(self) -> None:
        condition = RowCondition(OWNER_TABLE, OWNER_KEY, self._owner_version)
        job_ids = self._undeleted_progress
        self._undeleted_progress = []
        for start in range(0, len(job_ids), MAX_BATCH_JOBS):
            batch = job_ids[start : start + MAX_BATCH_JOBS]
            writes = [RowWrite(PROGRESS_TABLE, job_id, None) for job_id in batch]
            if await self._delete([condition], writes):
                self._scheduler.forget_awaited_jobs(batch)
            else:
                self._undeleted_progress += batch

    async def _delete(self, conditions: list[RowCondition], writes: list[RowWrite]) -> bool:
        match await self._store.commit(conditions, writes, DELETE_TIMEOUT_MS):
            case Success(Committed()):
                return True
            case Success(Conflict()):
                reason = "the owner row has changed"
            case Failure(Fault(detail=reason)):
                pass
        self._log("rows_not_deleted", {"rows": len(writes), "reason": reason})
        return False
