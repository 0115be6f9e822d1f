"""Passes stored jobs on to the scheduler of one ownership: at the takeover, and as they arrive."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any, Final

from jacinthreel_daemon.plumbing import Clock
from jacinthreel_node._ended_job_sweeper import EndedJobSweeper
from jacinthreel_node._ports import Row
from jacinthreel_node._records import (
    CANCEL_PREFIX,
    JOB_PREFIX,
    cancels_job,
    decode_cancel,
    decode_job,
)
from jacinthreel_steps import Scheduler, StoredProgress

LOAD_STEP_MS: Final = 30


class JobRows:
    """The rows of the intake table and of the progress table during one ownership.

    `is_loaded` tells whether the ownership has loaded its tables; before, jobs are not logged.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        sweeper: EndedJobSweeper,
        clock: Clock,
        is_loaded: Callable[[], bool],
        log: Callable[[str, dict[str, Any]], None],
    ) -> None:
        self._scheduler = scheduler
        self._sweeper = sweeper
        self._unmatched_cancels = sweeper.unmatched_cancels
        self._clock = clock
        self._is_loaded = is_loaded
        self._log = log
        # Of jobs that the former owner knew as announced, and that may still be accepted.
        self._orphaned_progress: dict[str, StoredProgress] = {}
        self._has_unreadable = False

    async def load(self, intake: tuple[Row, ...], progress: tuple[Row, ...]) -> None:
        """Adds all stored jobs; yields in between, because they may have thousands of tasks."""
        progress_by_id = {
            row.key: StoredProgress(row.value, row.version)
            for row in progress
            if row.value is not None
        }
        await self._load_jobs(intake, progress_by_id)
        accepted_ids = {row.key.removeprefix(JOB_PREFIX) for row in intake}
        orphaned_ids = progress_by_id.keys() - accepted_ids
        self._orphaned_progress = {job_id: progress_by_id[job_id] for job_id in orphaned_ids}
        self._sweeper.add_orphaned_progress(orphaned_ids)

    def apply_changes(self, rows: tuple[Row, ...]) -> None:
        """Applies changed rows of the intake table."""
        self._add_and_cancel_jobs(rows, {})

    def announce(self, job_id: str, value: bytes) -> bool:
        """Adds a job whose acceptance is being stored; returns whether it is new."""
        record = decode_job(value)
        if record is None or record.job_id != job_id:
            return False
        if job_id in self._orphaned_progress or self._sweeper.was_just_deleted(job_id):
            return False
        if self._unmatched_cancels.is_cancelled(record, None):
            return False
        now_ms = self._clock.now_ms()
        age_ms = max(0, self._clock.unix_ms() - record.accepted_unix_ms)
        if not self._scheduler.announce_job(record, now_ms - age_ms, now_ms):
            return False
        self._log("job_announced", {"job_id": job_id, "age_ms": age_ms})
        return True

    def executor_ids_with_runs(self) -> set[str] | None:
        """Returns the executors on which tasks are placed.

        Those include placements of jobs that are not accepted yet.  Returns None if some row can't
        be read: a next owner of another version may know its runs.
        """
        if self._has_unreadable:
            return None
        executor_ids = self._scheduler.executor_ids_with_runs()
        for progress in self._orphaned_progress.values():
            placed_ids = progress.executor_ids()
            if placed_ids is None:
                return None
            executor_ids |= placed_ids
        return executor_ids

    async def _load_jobs(
        self, rows: tuple[Row, ...], progress_by_id: dict[str, StoredProgress]
    ) -> None:
        pause_ms = self._clock.now_ms() + LOAD_STEP_MS
        cancellations = tuple(row for row in rows if row.key.startswith(CANCEL_PREFIX))
        for row in rows:
            if not row.key.startswith(JOB_PREFIX):
                continue
            self._add_and_cancel_jobs((row,), progress_by_id)
            if self._clock.now_ms() >= pause_ms:
                await asyncio.sleep(0)
                pause_ms = self._clock.now_ms() + LOAD_STEP_MS
        self._add_and_cancel_jobs(cancellations, {})

    def _add_and_cancel_jobs(
        self, rows: tuple[Row, ...], progress: dict[str, StoredProgress]
    ) -> None:
        now_ms = self._clock.now_ms()
        unix_ms = self._clock.unix_ms()
        for row in rows:
            if row.key.startswith(JOB_PREFIX) and row.value is not None:
                job_id = row.key.removeprefix(JOB_PREFIX)
                self._add_job(job_id, row.value, row.version, progress.get(job_id), now_ms, unix_ms)
        for row in rows:
            if row.key.startswith(CANCEL_PREFIX):
                self._apply_cancellation(row.key.removeprefix(CANCEL_PREFIX), row, now_ms)

    def _apply_cancellation(self, job_id: str, row: Row, now_ms: int) -> None:
        """Cancels a job, or keeps in mind that its acceptance can't follow any more."""
        if row.value is None or self._sweeper.was_just_deleted(job_id):
            self._unmatched_cancels.forget(job_id)
            return
        job = self._scheduler.tables.jobs_by_id.get(job_id)
        applies = job is not None and cancels_job(decode_cancel(row.value), job.record)
        if job is None or job.announced_ms is not None:
            self._unmatched_cancels.record(job_id, row, now_ms)
            if applies:
                self._scheduler.withdraw_announcement(job_id, now_ms)
            return
        if applies:
            self._scheduler.cancel(job_id, now_ms)

    def _add_job(
        self,
        job_id: str,
        value: bytes,
        version: int,
        progress: StoredProgress | None,
        now_ms: int,
        unix_ms: int,
    ) -> None:
        record = decode_job(value)
        if self._sweeper.was_just_deleted(job_id):
            return
        if record is None or record.job_id != job_id:
            self._has_unreadable = True
            self._log("job_unreadable", {"job_id": job_id})
            return
        orphaned = self._orphaned_progress.pop(job_id, None)
        if orphaned is not None and self._sweeper.keep_progress(job_id):
            progress = orphaned
        age_ms = max(0, unix_ms - record.accepted_unix_ms)
        if self._scheduler.add_job(record, progress, now_ms - age_ms, now_ms) and self._is_loaded():
            self._log(
                "job_taken_in",
                {"job_id": job_id, "queue": record.queue.name, "age_ms": age_ms},
            )
        if self._unmatched_cancels.is_cancelled(record, version):
            self._scheduler.cancel(job_id, now_ms)
        self._unmatched_cancels.forget(job_id)
        self._has_unreadable |= job_id not in self._scheduler.tables.jobs_by_id
