"""Loads the rows of a shard when this process becomes its owner.

A job whose row says that tasks may be running becomes a gang in phase `recovering`.  The workers'
reports decide whether the gang is adopted as a whole, or stopped and queued again.  A task on a
worker that is not in the host list counts as running until the last lease that a former owner may
have renewed has expired.
"""

from __future__ import annotations

from jacinthreel_common import ENDED_STATES, JobRecord, JobState, Row, convert_stored, job_prefix
from jacinthreel_jobs._context import ShardContext
from jacinthreel_jobs._gang import SETTLED_TASK_PHASES, DownCause, Gang
from jacinthreel_jobs._gang_down import (
    crash_backoff_ms,
    mark_task_settled,
    sync_row,
    take_down,
)
from jacinthreel_jobs._gang_start import recover_gang
from jacinthreel_jobs._planning import Planner
from jacinthreel_jobs._tables import JobEntry
from jacinthreel_jobs._worker_health import UNREACHED_LEASE_EXPIRY_MS


def read_record(row: Row) -> JobRecord | None:
    """Returns the record in a row, or None if it can't be decoded."""
    return convert_stored(JobRecord, row.value)


def load_rows(ctx: ShardContext, planner: Planner, rows: list[Row]) -> None:
    """Fills the job tables from the rows of the shard."""
    counts = dict.fromkeys(JobState, 0)
    for row in rows:
        record = read_record(row)
        if record is None:
            ctx.log("row_unreadable", key=row.key, row_version=row.version)
            ctx.unreadable_job_ids.add(row.key.removeprefix(job_prefix(ctx.tables.shard)))
            continue
        counts[record.state] += 1
        add_job(ctx, planner, record, row.version)
    ctx.log("recovery", rows=len(rows), **{state.value: n for state, n in counts.items() if n})
    ctx.timers.once(
        UNREACHED_LEASE_EXPIRY_MS, lambda _now_ms: _settle_unlisted_tasks(ctx), ctx.now_ms
    )


def add_job(ctx: ShardContext, planner: Planner, record: JobRecord, version: int) -> JobEntry:
    """Adds a job with its stored record, which may be in any state."""
    waited_ms = max(0, ctx.unix_ms - record.submitted_unix_ms)
    job = JobEntry(record, version, submitted_ms=ctx.now_ms - waited_ms)
    job.expected_run_s = planner.expect_run_s(record.spec)
    job.reported_checkpoint_s = record.run_s
    ctx.tables.jobs_by_id[job.job_id] = job
    if record.state in ENDED_STATES:
        return job
    if record.state is JobState.QUEUED:
        job.not_before_ms = ctx.now_ms + crash_backoff_ms(record.early_losses)
        ctx.enqueue_job(job)
        return job
    gang = recover_gang(ctx, job)
    if record.cancel_requested:
        take_down(ctx, gang, DownCause.CANCELLED)
    return job


def _settle_unlisted_tasks(ctx: ShardContext) -> None:
    """Settles tasks on workers that were never listed; their leases have expired by now."""
    for gang in list(ctx.gangs_by_job_id.values()):
        if not ctx.owns or not _has_unsettled_unlisted_task(ctx, gang):
            continue
        take_down(ctx, gang, DownCause.WORKER_LOST, "a worker is not listed")
        for task in gang.tasks:
            if task.worker_id not in ctx.tables.workers_by_id:
                mark_task_settled(ctx, gang, task)
        sync_row(ctx, gang)


def _has_unsettled_unlisted_task(ctx: ShardContext, gang: Gang) -> bool:
    return any(
        task.worker_id not in ctx.tables.workers_by_id and task.phase not in SETTLED_TASK_PHASES
        for task in gang.tasks
    )
