"""Applies the outcomes of row changes to jobs, gangs and waiting callers.

A record that has been stored becomes the job's record in the tables.
"""

from __future__ import annotations

from dataclasses import replace

from jacinthreel_common import ENDED_STATES, JobRecord, JobState, ResultCode, to_plain
from jacinthreel_jobs._context import RowChange, ShardContext
from jacinthreel_jobs._effects import Reply, WritePriority
from jacinthreel_jobs._gang import Gang, GangPhase
from jacinthreel_jobs._gang_down import handle_row_stored, sync_row
from jacinthreel_jobs._gang_start import handle_placement_stored, requeue_unstored
from jacinthreel_jobs._limits import ENDED_RETENTION_MS, RETRY_AFTER_MS
from jacinthreel_jobs._planning import Planner
from jacinthreel_jobs._recovery import read_record
from jacinthreel_jobs._rows import ChangeOutcome, ChangeResult, request_change
from jacinthreel_jobs._submission import (
    answer_failed_cancels,
    answer_failed_or_unknown,
    handle_insert_result,
    retry_pending_cancel,
)
from jacinthreel_jobs._tables import JobEntry


def apply_change_result(ctx: ShardContext, planner: Planner, result: ChangeResult) -> None:
    """Applies the outcome of one change."""
    change = result.change
    job = ctx.tables.jobs_by_id.get(change.job_id)
    if job is None:
        handle_insert_result(ctx, planner, result)
        return
    gang = ctx.gangs_by_job_id.get(change.job_id)
    match result.outcome:
        case ChangeOutcome.STORED if change.record is None:
            del ctx.tables.jobs_by_id[change.job_id]
        case ChangeOutcome.STORED:
            _apply_stored(ctx, planner, job, gang, result)
        case ChangeOutcome.DROPPED if gang is not None and not change.call_ids:
            _handle_dropped_placement(ctx, gang, result)
        case _:
            _handle_failed_or_unknown(ctx, job, gang, result)


def _apply_stored(
    ctx: ShardContext,
    planner: Planner,
    job: JobEntry,
    gang: Gang | None,
    result: ChangeResult,
) -> None:
    change = result.change
    record = (read_record(result.row) if result.row else None) or change.record
    assert record is not None
    if len(job.record.failed_workers) > len(record.failed_workers):
        record = replace(record, failed_workers=job.record.failed_workers)
    job.record = record
    job.row_version = result.version
    for call_id in change.call_ids:
        ctx.emit(Reply(call_id, ResultCode.OK, body=to_plain(record)))
    if record.cancel_requested:
        call_ids = ctx.cancel_call_ids_by_job_id.pop(job.job_id, [])
        for call_id in call_ids:
            if call_id not in change.call_ids:
                ctx.emit(Reply(call_id, ResultCode.OK, body=to_plain(record)))
    if gang is not None:
        _handle_gang_row_stored(ctx, gang, record)
    if record.state in ENDED_STATES:
        _handle_job_ended(ctx, planner, record)
    retry_pending_cancel(ctx, job)


def _handle_gang_row_stored(ctx: ShardContext, gang: Gang, record: JobRecord) -> None:
    if gang.phase is GangPhase.PLACING and record.state is JobState.QUEUED:
        requeue_unstored(ctx, gang, record, RETRY_AFTER_MS)
    elif gang.phase is GangPhase.PLACING:
        handle_placement_stored(ctx, gang)
    else:
        handle_row_stored(ctx, gang, record)


def _handle_job_ended(ctx: ShardContext, planner: Planner, record: JobRecord) -> None:
    ctx.log(
        "job_ended",
        job_id=record.spec.job_id,
        state=record.state.value,
        attempt=record.attempt,
        code=int(record.result),
        reason=record.detail,
    )
    if record.state is JobState.FINISHED:
        planner.observe_finished(record.spec, record.run_s)


def _handle_dropped_placement(ctx: ShardContext, gang: Gang, result: ChangeResult) -> None:
    """Queues a gang again whose placement was certainly not stored, even if stopped meanwhile."""
    if result.config_conflict and result.change.config_version == ctx.config_row_version:
        ctx.config_row_version = 0
    delay_ms = 0 if result.config_conflict else RETRY_AFTER_MS
    requeue_unstored(ctx, gang, gang.previous, delay_ms)
    retry_pending_cancel(ctx, gang.job)


def _handle_failed_or_unknown(
    ctx: ShardContext, job: JobEntry, gang: Gang | None, result: ChangeResult
) -> None:
    """Answers the callers of a change of an existing job that failed or has an unknown outcome."""
    answered = list(result.change.call_ids)
    answer_failed_or_unknown(ctx, result)
    if job.job_id in ctx.cancel_call_ids_by_job_id:
        call_ids = ctx.cancel_call_ids_by_job_id[job.job_id]
        ctx.cancel_call_ids_by_job_id[job.job_id] = [
            call_id for call_id in call_ids if call_id not in answered
        ]
    if gang is not None and gang.phase is GangPhase.PLACING:
        answer_failed_cancels(ctx, job.job_id)
        return
    if result.outcome is not ChangeOutcome.DROPPED:
        return
    if gang is not None:
        answer_failed_cancels(ctx, job.job_id)
        sync_row(ctx, gang)
        return
    ctx.enqueue_job(job)


def prune_ended(ctx: ShardContext) -> None:
    """Deletes the rows of jobs that ended longer ago than the retention time."""
    if not ctx.lease_valid:
        return
    for job in list(ctx.tables.jobs_by_id.values()):
        record = job.record
        if record.state not in ENDED_STATES:
            continue
        if ctx.unix_ms - record.ended_unix_ms < ENDED_RETENTION_MS:
            continue
        change = RowChange(job.job_id, None, job.row_version, WritePriority.BOOKKEEPING)
        request_change(ctx, change)
