"""Draws the consequences of row changes that ended: what was stored becomes the job's record."""

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
from jacinthreel_jobs._rows import ChangeOutcome, SettledChange, request_change
from jacinthreel_jobs._submission import (
    answer_unsettled,
    drop_cancel_calls,
    insert_settled,
    retry_waiting_cancel,
)
from jacinthreel_jobs._tables import JobEntry


def settle(ctx: ShardContext, planner: Planner, settled: SettledChange) -> None:
    """Applies one ended change."""
    change = settled.change
    job = ctx.tables.jobs_by_id.get(change.job_id)
    if job is None:
        insert_settled(ctx, planner, settled)
        return
    gang = ctx.gangs_by_id.get(change.job_id)
    match settled.outcome:
        case ChangeOutcome.STORED if change.record is None:
            del ctx.tables.jobs_by_id[change.job_id]
        case ChangeOutcome.STORED:
            _stored(ctx, planner, job, gang, settled)
        case ChangeOutcome.DROPPED if gang is not None and not change.calls:
            _placement_dropped(ctx, gang, settled)
        case _:
            _unsettled(ctx, job, gang, settled)


def _stored(
    ctx: ShardContext,
    planner: Planner,
    job: JobEntry,
    gang: Gang | None,
    settled: SettledChange,
) -> None:
    change = settled.change
    record = (read_record(settled.row) if settled.row else None) or change.record
    assert record is not None
    if len(job.record.failed_workers) > len(record.failed_workers):
        record = replace(record, failed_workers=job.record.failed_workers)
    job.record = record
    job.row_version = settled.version
    for call_id in change.calls:
        ctx.emit(Reply(call_id, ResultCode.OK, body=to_plain(record)))
    if record.cancel_requested:
        calls = ctx.cancel_calls_by_id.pop(job.job_id, [])
        for call_id in calls:
            if call_id not in change.calls:
                ctx.emit(Reply(call_id, ResultCode.OK, body=to_plain(record)))
    if gang is not None:
        _gang_row_stored(ctx, gang, record)
    if record.state in ENDED_STATES:
        _ended(ctx, planner, record)
    retry_waiting_cancel(ctx, job)


def _gang_row_stored(ctx: ShardContext, gang: Gang, record: JobRecord) -> None:
    if gang.phase is GangPhase.PLACING and record.state is JobState.QUEUED:
        requeue_unstored(ctx, gang, record, RETRY_AFTER_MS)
    elif gang.phase is GangPhase.PLACING:
        handle_placement_stored(ctx, gang)
    else:
        handle_row_stored(ctx, gang, record)


def _ended(ctx: ShardContext, planner: Planner, record: JobRecord) -> None:
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


def _placement_dropped(ctx: ShardContext, gang: Gang, settled: SettledChange) -> None:
    """A placement was certainly not stored, or a gang that went down meanwhile has no row."""
    if settled.config_conflict and settled.change.config_version == ctx.config_row_version:
        ctx.config_row_version = 0
    pause_ms = 0 if settled.config_conflict else RETRY_AFTER_MS
    requeue_unstored(ctx, gang, gang.previous, pause_ms)
    retry_waiting_cancel(ctx, gang.job)


def _unsettled(ctx: ShardContext, job: JobEntry, gang: Gang | None, settled: SettledChange) -> None:
    """A change of a known job failed or is doubtful; callers are told."""
    answered = list(settled.change.calls)
    answer_unsettled(ctx, settled)
    if job.job_id in ctx.cancel_calls_by_id:
        calls = ctx.cancel_calls_by_id[job.job_id]
        ctx.cancel_calls_by_id[job.job_id] = [call for call in calls if call not in answered]
    if gang is not None and gang.phase is GangPhase.PLACING:
        drop_cancel_calls(ctx, job.job_id)
        return
    if settled.outcome is not ChangeOutcome.DROPPED:
        return
    if gang is not None:
        drop_cancel_calls(ctx, job.job_id)
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
