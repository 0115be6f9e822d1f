"""Accepts and cancels jobs.

A job is accepted once its row is stored; a cancellation once the job's row records it.  Callers are
answered after that.  Submissions are idempotent by job id.  If the store does not reply, callers
are answered that the outcome is unknown, and the change is retried.
"""

from __future__ import annotations

from dataclasses import replace

from returns.pipeline import is_successful

from jacinthreel_common import (
    ENDED_STATES,
    Fault,
    JobRecord,
    JobSpec,
    JobState,
    ResultCode,
    to_plain,
)
from jacinthreel_jobs._context import RowChange, ShardContext
from jacinthreel_jobs._effects import Reply, WritePriority
from jacinthreel_jobs._events import JobCancelled, JobSubmitted
from jacinthreel_jobs._fit import check_job_fits
from jacinthreel_jobs._gang_down import sync_row
from jacinthreel_jobs._hosts import shard_workers
from jacinthreel_jobs._limits import MAX_CACHED_SHAPES, QUEUE_FULL_RETRY_MS, RETRY_AFTER_MS
from jacinthreel_jobs._planning import Planner
from jacinthreel_jobs._recovery import add_job, read_record
from jacinthreel_jobs._rows import ChangeOutcome, ChangeResult, request_change
from jacinthreel_jobs._tables import JobEntry


def submit(ctx: ShardContext, event: JobSubmitted) -> None:
    """Answers a submission, or requests the insert of the job's row."""
    spec = event.spec
    existing_spec = _find_spec(ctx, spec.job_id)
    if existing_spec is not None and existing_spec != spec:
        detail = f"job {spec.job_id} exists with another specification"
        ctx.emit(Reply(event.call_id, ResultCode.JOB_ID_CONFLICT, detail))
        return
    job = ctx.tables.jobs_by_id.get(spec.job_id)
    if job is not None:
        ctx.emit(Reply(event.call_id, ResultCode.OK, body=to_plain(job.record)))
        return
    if existing_spec is not None:
        ctx.changes_by_job_id[spec.job_id].call_ids.append(event.call_id)
        return
    refusal = _check_acceptable(ctx, event)
    if refusal is not None:
        ctx.log("refuse_job", job_id=spec.job_id, code=int(refusal.code), reason=refusal.detail)
        ctx.emit(refusal)
        return
    record = JobRecord(spec, JobState.QUEUED, submitted_unix_ms=event.unix_ms)
    change = RowChange(spec.job_id, record, 0, WritePriority.ACCEPT, call_ids=[event.call_id])
    request_change(ctx, change)


def _find_spec(ctx: ShardContext, job_id: str) -> JobSpec | None:
    """Returns the specification of a job that is stored or whose row is being inserted."""
    job = ctx.tables.jobs_by_id.get(job_id)
    if job is not None:
        return job.record.spec
    change = ctx.changes_by_job_id.get(job_id)
    if change is not None and change.record is not None:
        return change.record.spec
    return None


def _check_acceptable(ctx: ShardContext, event: JobSubmitted) -> Reply | None:
    """Returns the refusal of a job that can't be accepted now or can never run, or None."""
    spec = event.spec
    call_id = event.call_id
    unavailable = _check_available(ctx, call_id)
    if unavailable is not None:
        return unavailable
    config = ctx.tables.config
    if config is None:
        detail = "no configuration received yet"
        return Reply(call_id, ResultCode.NO_CONFIG, detail, RETRY_AFTER_MS)
    if spec.workspace not in config.workspaces:
        detail = f"no workspace {spec.workspace!r}"
        return Reply(call_id, ResultCode.UNKNOWN_WORKSPACE, detail)
    if not ctx.tables.workers_by_id:
        return Reply(call_id, ResultCode.NO_OWNER, "no host list received yet", RETRY_AFTER_MS)
    fault = _check_fit_cached(ctx, spec)
    if fault is not None:
        return Reply(call_id, fault.code, fault.detail)
    waiting = len(ctx.tables.queued_by_id) + _count_unsent_inserts(ctx)
    if waiting >= config.settings.max_queued_jobs:
        detail = f"{waiting} jobs are queued"
        return Reply(call_id, ResultCode.JOB_QUEUE_FULL, detail, QUEUE_FULL_RETRY_MS)
    return None


def _check_fit_cached(ctx: ShardContext, spec: JobSpec) -> Fault | None:
    """Returns why a gang can never run, or None; cached for each shape and host list."""
    shape = (
        spec.tasks,
        spec.accelerators_per_task,
        spec.cores_per_task,
        spec.memory_gb_per_task,
        spec.adjacency,
    )
    if shape not in ctx.fit_fault_by_shape:
        if len(ctx.fit_fault_by_shape) >= MAX_CACHED_SHAPES:
            ctx.fit_fault_by_shape.clear()
        result = check_job_fits(spec, shard_workers(ctx.hosts, ctx.tables.shard))
        fault = None if is_successful(result) else result.failure()
        ctx.fit_fault_by_shape[shape] = fault
    return ctx.fit_fault_by_shape[shape]


def _count_unsent_inserts(ctx: ShardContext) -> int:
    """Returns the number of unsent acceptances; at most one transaction more is in flight."""
    return len(ctx.unsent_by_priority[WritePriority.ACCEPT])


def _check_available(ctx: ShardContext, call_id: int) -> Reply | None:
    """Returns the refusal of a call while this process is not the owner or has no valid lease."""
    if not ctx.owns:
        return Reply(call_id, ResultCode.NO_OWNER, "this process is not the owner", RETRY_AFTER_MS)
    if not ctx.lease_valid:
        detail = "the shard's lease could not be renewed"
        return Reply(call_id, ResultCode.STORE_UNAVAILABLE, detail, RETRY_AFTER_MS)
    return None


def cancel(ctx: ShardContext, event: JobCancelled) -> None:
    """Answers a cancellation, or requests the change of the job's row."""
    unavailable = _check_available(ctx, event.call_id)
    if unavailable is not None:
        ctx.emit(unavailable)
        return
    job = ctx.tables.jobs_by_id.get(event.job_id)
    if job is None:
        ctx.emit(_not_found(ctx, event))
        return
    _cancel_job(ctx, job, [event.call_id])


def _not_found(ctx: ShardContext, event: JobCancelled) -> Reply:
    if event.job_id in ctx.changes_by_job_id:
        detail = "the insert of the job is still in progress"
        return Reply(event.call_id, ResultCode.JOB_OUTCOME_UNKNOWN, detail, RETRY_AFTER_MS)
    return Reply(event.call_id, ResultCode.JOB_NOT_FOUND, f"no job {event.job_id!r}")


def _cancel_job(ctx: ShardContext, job: JobEntry, call_ids: list[int]) -> None:
    record = job.record
    if record.state in ENDED_STATES:
        cancelled = record.state is JobState.CANCELLED
        code = ResultCode.OK if cancelled else ResultCode.JOB_ALREADY_ENDED
        _reply_all(ctx, call_ids, code, f"the job is {record.state}", body=to_plain(record))
        return
    if record.cancel_requested:
        _reply_all(ctx, call_ids, ResultCode.OK, body=to_plain(record))
        return
    pending = ctx.changes_by_job_id.get(job.job_id)
    if pending is not None and pending.record and pending.record.cancel_requested:
        pending.call_ids.extend(call_ids)
        return
    if job.job_id not in ctx.tables.queued_by_id:
        ctx.cancel_call_ids_by_job_id.setdefault(job.job_id, []).extend(call_ids)
        gang = ctx.gangs_by_job_id.get(job.job_id)
        if gang is not None:
            sync_row(ctx, gang)
        return
    ctx.dequeue_job(job.job_id)
    cancelled_record = replace(
        record,
        state=JobState.CANCELLED,
        cancel_requested=True,
        ended_unix_ms=ctx.unix_ms,
        detail="cancelled while queued",
    )
    change = RowChange(
        job.job_id, cancelled_record, job.row_version, WritePriority.ACCEPT, call_ids=call_ids
    )
    request_change(ctx, change)


def retry_pending_cancel(ctx: ShardContext, job: JobEntry) -> None:
    """Handles cancellations that were postponed while the job's row was being changed."""
    if job.job_id in ctx.gangs_by_job_id:
        return
    call_ids = ctx.cancel_call_ids_by_job_id.pop(job.job_id, None)
    if call_ids is not None:
        _cancel_job(ctx, job, call_ids)


def handle_insert_result(ctx: ShardContext, planner: Planner, result: ChangeResult) -> None:
    """Adds the job of a stored insert, and answers the callers of the submission."""
    change = result.change
    match result.outcome:
        case ChangeOutcome.STORED:
            assert change.record is not None
            job = add_job(ctx, planner, change.record, result.version)
            job.submitted_ms = ctx.now_ms
            ctx.log("accept_job", job_id=change.job_id, workspace=change.record.spec.workspace)
            _reply_all(ctx, change.call_ids, ResultCode.OK, body=to_plain(change.record))
        case ChangeOutcome.ROW_EXISTS:
            _handle_existing_row(ctx, planner, result)
        case _:
            answer_failed_or_unknown(ctx, result)


def _handle_existing_row(ctx: ShardContext, planner: Planner, result: ChangeResult) -> None:
    """Answers a submission whose row exists already, from an earlier submission of the id."""
    change = result.change
    record = read_record(result.row) if result.row else None
    if record is None or change.record is None or record.spec != change.record.spec:
        detail = f"job {change.job_id} exists with another specification"
        _reply_all(ctx, change.call_ids, ResultCode.JOB_ID_CONFLICT, detail)
    else:
        _reply_all(ctx, change.call_ids, ResultCode.OK, body=to_plain(record))
    if record is not None:
        add_job(ctx, planner, record, result.version)


def answer_failed_or_unknown(ctx: ShardContext, result: ChangeResult) -> None:
    """Answers callers that their change was not stored, or that its outcome is unknown."""
    change = result.change
    call_ids = change.call_ids
    change.call_ids = []
    if result.outcome is ChangeOutcome.DROPPED:
        detail = "the table service did not store the change"
        _reply_all(
            ctx, call_ids, ResultCode.STORE_UNAVAILABLE, detail, retry_after_ms=RETRY_AFTER_MS
        )
        return
    detail = "the table service did not reply"
    _reply_all(ctx, call_ids, ResultCode.JOB_OUTCOME_UNKNOWN, detail, retry_after_ms=RETRY_AFTER_MS)


def answer_failed_cancels(ctx: ShardContext, job_id: str) -> None:
    """Answers cancellations that can't be stored now, because the store does not reply."""
    call_ids = ctx.cancel_call_ids_by_job_id.pop(job_id, [])
    detail = "the table service does not reply"
    _reply_all(ctx, call_ids, ResultCode.STORE_UNAVAILABLE, detail, retry_after_ms=RETRY_AFTER_MS)


def _reply_all(
    ctx: ShardContext,
    call_ids: list[int],
    code: ResultCode,
    detail: str = "",
    retry_after_ms: int | None = None,
    body: object = None,
) -> None:
    for call_id in call_ids:
        ctx.emit(Reply(call_id, code, detail, retry_after_ms, body))


def answer_all_on_ownership_loss(ctx: ShardContext) -> None:
    """Answers each waiting caller once when this process stops being the owner."""
    detail = "the shard has a new owner"
    answered: set[int] = set()
    for change in ctx.changes_by_job_id.values():
        was_sent = change.in_flight or change.maybe_applied
        code = ResultCode.JOB_OUTCOME_UNKNOWN if was_sent else ResultCode.NO_OWNER
        _reply_all(ctx, change.call_ids, code, detail, RETRY_AFTER_MS)
        answered.update(change.call_ids)
        change.call_ids = []
    for call_ids in ctx.cancel_call_ids_by_job_id.values():
        unanswered = [call_id for call_id in call_ids if call_id not in answered]
        _reply_all(ctx, unanswered, ResultCode.NO_OWNER, detail, RETRY_AFTER_MS)
    ctx.cancel_call_ids_by_job_id.clear()
