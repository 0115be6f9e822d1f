"""Accepts and cancels jobs.

A job is accepted when its row is stored; a cancellation when the job's row says so.  Callers are
answered after that.  Repeating a submission with the same id gives the same answer.  Where the
store does not answer, the caller is told that the outcome is unknown, and the change goes on.
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
from jacinthreel_jobs._rows import ChangeOutcome, SettledChange, request_change
from jacinthreel_jobs._tables import JobEntry


def submit(ctx: ShardContext, event: JobSubmitted) -> None:
    """Answers a submission, or asks for the job's row."""
    spec = event.spec
    known = _known_spec(ctx, spec.job_id)
    if known is not None and known != spec:
        detail = f"job {spec.job_id} exists with another specification"
        ctx.emit(Reply(event.call_id, ResultCode.JOB_ID_CONFLICT, detail))
        return
    job = ctx.tables.jobs_by_id.get(spec.job_id)
    if job is not None:
        ctx.emit(Reply(event.call_id, ResultCode.OK, body=to_plain(job.record)))
        return
    if known is not None:
        ctx.changes_by_job_id[spec.job_id].calls.append(event.call_id)
        return
    refusal = _refuse(ctx, event)
    if refusal is not None:
        ctx.log("refuse_job", job_id=spec.job_id, code=int(refusal.code), reason=refusal.detail)
        ctx.emit(refusal)
        return
    record = JobRecord(spec, JobState.QUEUED, submitted_unix_ms=event.unix_ms)
    change = RowChange(spec.job_id, record, 0, WritePriority.ACCEPT, calls=[event.call_id])
    request_change(ctx, change)


def _known_spec(ctx: ShardContext, job_id: str) -> JobSpec | None:
    job = ctx.tables.jobs_by_id.get(job_id)
    if job is not None:
        return job.record.spec
    change = ctx.changes_by_job_id.get(job_id)
    if change is not None and change.record is not None:
        return change.record.spec
    return None


def _refuse(ctx: ShardContext, event: JobSubmitted) -> Reply | None:
    """The refusal of a job that can't be accepted now or ever, or None."""
    spec = event.spec
    call_id = event.call_id
    unavailable = _unavailable(ctx, call_id)
    if unavailable is not None:
        return unavailable
    config = ctx.tables.config
    if config is None:
        detail = "no configuration seen yet"
        return Reply(call_id, ResultCode.NO_CONFIG, detail, RETRY_AFTER_MS)
    if spec.workspace not in config.workspaces:
        detail = f"no workspace {spec.workspace!r}"
        return Reply(call_id, ResultCode.UNKNOWN_WORKSPACE, detail)
    if not ctx.tables.workers_by_id:
        return Reply(call_id, ResultCode.NO_OWNER, "no host list seen yet", RETRY_AFTER_MS)
    fault = _fit_fault(ctx, spec)
    if fault is not None:
        return Reply(call_id, fault.code, fault.detail)
    waiting = len(ctx.tables.queued_by_id) + _pending_inserts(ctx)
    if waiting >= config.settings.max_queued_jobs:
        detail = f"{waiting} jobs are queued"
        return Reply(call_id, ResultCode.JOB_QUEUE_FULL, detail, QUEUE_FULL_RETRY_MS)
    return None


def _fit_fault(ctx: ShardContext, spec: JobSpec) -> Fault | None:
    """Why a gang can never run, or None; worked out once for each shape and host list."""
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


def _pending_inserts(ctx: ShardContext) -> int:
    """Acceptances that wait to be sent; those on their way are at most one group."""
    return len(ctx.unsent_by_priority[WritePriority.ACCEPT])


def _unavailable(ctx: ShardContext, call_id: int) -> Reply | None:
    if not ctx.owns:
        return Reply(call_id, ResultCode.NO_OWNER, "this process is not the owner", RETRY_AFTER_MS)
    if not ctx.lease_valid:
        detail = "the shard's lease could not be renewed"
        return Reply(call_id, ResultCode.STORE_UNAVAILABLE, detail, RETRY_AFTER_MS)
    return None


def cancel(ctx: ShardContext, event: JobCancelled) -> None:
    """Answers a cancellation, or asks for the change of the job's row."""
    unavailable = _unavailable(ctx, event.call_id)
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
        detail = "its acceptance is not settled yet"
        return Reply(event.call_id, ResultCode.JOB_OUTCOME_UNKNOWN, detail, RETRY_AFTER_MS)
    return Reply(event.call_id, ResultCode.JOB_NOT_FOUND, f"no job {event.job_id!r}")


def _cancel_job(ctx: ShardContext, job: JobEntry, calls: list[int]) -> None:
    record = job.record
    if record.state in ENDED_STATES:
        cancelled = record.state is JobState.CANCELLED
        code = ResultCode.OK if cancelled else ResultCode.JOB_ALREADY_ENDED
        _reply_all(ctx, calls, code, f"the job is {record.state}", body=to_plain(record))
        return
    if record.cancel_requested:
        _reply_all(ctx, calls, ResultCode.OK, body=to_plain(record))
        return
    waiting = ctx.changes_by_job_id.get(job.job_id)
    if waiting is not None and waiting.record and waiting.record.cancel_requested:
        waiting.calls.extend(calls)
        return
    if job.job_id not in ctx.tables.queued_by_id:
        ctx.cancel_calls_by_id.setdefault(job.job_id, []).extend(calls)
        gang = ctx.gangs_by_id.get(job.job_id)
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
        job.job_id, cancelled_record, job.row_version, WritePriority.ACCEPT, calls=calls
    )
    request_change(ctx, change)


def retry_waiting_cancel(ctx: ShardContext, job: JobEntry) -> None:
    """Takes up cancellations that waited while the job's row was being changed."""
    if job.job_id in ctx.gangs_by_id:
        return
    calls = ctx.cancel_calls_by_id.pop(job.job_id, None)
    if calls is not None:
        _cancel_job(ctx, job, calls)


def insert_settled(ctx: ShardContext, planner: Planner, settled: SettledChange) -> None:
    """Answers the callers of a submission whose row was written, or not."""
    change = settled.change
    match settled.outcome:
        case ChangeOutcome.STORED:
            assert change.record is not None
            job = add_job(ctx, planner, change.record, settled.version)
            job.submitted_ms = ctx.now_ms
            ctx.log("accept_job", job_id=change.job_id, workspace=change.record.spec.workspace)
            _reply_all(ctx, change.calls, ResultCode.OK, body=to_plain(change.record))
        case ChangeOutcome.FOREIGN:
            _insert_met_row(ctx, planner, settled)
        case _:
            answer_unsettled(ctx, settled)


def _insert_met_row(ctx: ShardContext, planner: Planner, settled: SettledChange) -> None:
    """A row with this job id was there before, from an earlier submission."""
    change = settled.change
    record = read_record(settled.row) if settled.row else None
    if record is None or change.record is None or record.spec != change.record.spec:
        detail = f"job {change.job_id} exists with another specification"
        _reply_all(ctx, change.calls, ResultCode.JOB_ID_CONFLICT, detail)
    else:
        _reply_all(ctx, change.calls, ResultCode.OK, body=to_plain(record))
    if record is not None:
        add_job(ctx, planner, record, settled.version)


def answer_unsettled(ctx: ShardContext, settled: SettledChange) -> None:
    """Tells callers that their change was not stored, or that this is not known."""
    change = settled.change
    calls = change.calls
    change.calls = []
    if settled.outcome is ChangeOutcome.DROPPED:
        detail = "the table service did not take the change"
        _reply_all(ctx, calls, ResultCode.STORE_UNAVAILABLE, detail, retry_after_ms=RETRY_AFTER_MS)
        return
    detail = "the table service did not answer"
    _reply_all(ctx, calls, ResultCode.JOB_OUTCOME_UNKNOWN, detail, retry_after_ms=RETRY_AFTER_MS)


def drop_cancel_calls(ctx: ShardContext, job_id: str) -> None:
    """Answers cancellations that can't be recorded now, because the store does not answer."""
    calls = ctx.cancel_calls_by_id.pop(job_id, [])
    detail = "the table service does not answer"
    _reply_all(ctx, calls, ResultCode.STORE_UNAVAILABLE, detail, retry_after_ms=RETRY_AFTER_MS)


def _reply_all(
    ctx: ShardContext,
    calls: list[int],
    code: ResultCode,
    detail: str = "",
    retry_after_ms: int | None = None,
    body: object = None,
) -> None:
    for call_id in calls:
        ctx.emit(Reply(call_id, code, detail, retry_after_ms, body))


def answer_all_on_loss(ctx: ShardContext) -> None:
    """Answers every waiting caller once when the shard is lost."""
    detail = "the shard has a new owner"
    answered: set[int] = set()
    for change in ctx.changes_by_job_id.values():
        sent = change.in_flight or change.maybe_applied
        code = ResultCode.JOB_OUTCOME_UNKNOWN if sent else ResultCode.NO_OWNER
        _reply_all(ctx, change.calls, code, detail, RETRY_AFTER_MS)
        answered.update(change.calls)
        change.calls = []
    for calls in ctx.cancel_calls_by_id.values():
        left = [call for call in calls if call not in answered]
        _reply_all(ctx, left, ResultCode.NO_OWNER, detail, RETRY_AFTER_MS)
    ctx.cancel_calls_by_id.clear()
