"""Deleting the rows of jobs whose state need not be kept any longer.

Phases for each job: its rows of intake are deleted; only then the job is forgotten; then its row of
progress is deleted.  A row of intake without one of progress would be taken for a job that nothing
has been done for, so no failure in between may leave that behind.  The other way round is harmless:
a row of progress without one of intake is deleted by the next owner.

Invariant: a job that was forgotten is not taken in again from a read that had begun before.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from typing import Any, Final

from returns.result import Failure, Success

from jacinthreel_common import Fault
from jacinthreel_daemon.plumbing import Clock
from jacinthreel_node._ports import Committed, Conflict, KeyedStore, RowCondition, RowWrite
from jacinthreel_node._records import (
    CANCEL_PREFIX,
    INTAKE_TABLE,
    JOB_PREFIX,
    OWNER_KEY,
    OWNER_TABLE,
    PROGRESS_TABLE,
    transaction_group,
)
from jacinthreel_steps import Scheduler

SWEEP_PERIOD_MS: Final = 10_000  # Longer than any read of a table takes.
KEEP_MARGIN_MS: Final = 60_000
MAX_JOBS: Final = 40  # In one transaction, with two rows of intake each.
DELETE_TIMEOUT_MS: Final = 3_000


class EndedJobs:
    """Sweeps out ended jobs for one ownership; `status_keep_ms` is how long states are kept."""

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
        self._just_forgotten: set[str] = set()
        self._progress_left: list[str] = []

    def is_forgotten(self, job_id: str) -> bool:
        """Whether a row of intake is that of a job which has just been forgotten."""
        return job_id in self._just_forgotten

    def note_orphans(self, job_ids: Iterable[str]) -> None:
        """Takes note of rows of progress whose rows of intake are deleted already."""
        self._progress_left.extend(job_ids)

    async def run(self, clock: Clock) -> None:
        """Sweeps again and again until cancelled."""
        while True:
            await asyncio.sleep(SWEEP_PERIOD_MS / 1000)
            await self.sweep(clock.now_ms())

    async def sweep(self, now_ms: int) -> None:
        """Deletes what is due."""
        self._just_forgotten = set()
        job_ids = self._scheduler.find_jobs_ended_before(now_ms - self._keep_ms)
        ids_by_group: dict[str, list[str]] = {}
        for job_id in job_ids:
            group = transaction_group(INTAKE_TABLE, JOB_PREFIX + job_id)
            ids_by_group.setdefault(group, []).append(job_id)
        for ids in ids_by_group.values():
            for start in range(0, len(ids), MAX_JOBS):
                await self._delete_intake(ids[start : start + MAX_JOBS])
        await self._delete_progress()

    async def _delete_intake(self, job_ids: list[str]) -> None:
        prefixes = (JOB_PREFIX, CANCEL_PREFIX)
        writes = [
            RowWrite(INTAKE_TABLE, prefix + id_, None) for id_ in job_ids for prefix in prefixes
        ]
        if not await self._delete([], writes):
            return  # The next period tries again.
        self._just_forgotten.update(job_ids)
        self._progress_left += job_ids
        for job_id in job_ids:
            self._scheduler.forget(job_id)

    async def _delete_progress(self) -> None:
        condition = RowCondition(OWNER_TABLE, OWNER_KEY, self._owner_version)
        left = self._progress_left
        self._progress_left = []
        for start in range(0, len(left), MAX_JOBS):
            batch = left[start : start + MAX_JOBS]
            writes = [RowWrite(PROGRESS_TABLE, job_id, None) for job_id in batch]
            if not await self._delete([condition], writes):
                self._progress_left += batch

    async def _delete(self, conditions: list[RowCondition], writes: list[RowWrite]) -> bool:
        match await self._store.commit(conditions, writes, DELETE_TIMEOUT_MS):
            case Success(Committed()):
                return True
            case Success(Conflict()):
                reason = "the owner's row has changed"
            case Failure(Fault(detail=reason)):
                pass
        self._log("rows_not_deleted", {"rows": len(writes), "reason": reason})
        return False
