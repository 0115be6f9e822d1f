"""Takes gangs down, and writes what becomes of them once all their tasks are gone.

A gang goes down as a whole.  Each task that its worker may hold is told to stop, and its resources
stay held until the task is known to be gone; only then is the job's row written: queued again for
the next attempt, or ended.  `sync_row` derives the next change of the row from the gang, so it may
be called at any time and as often as wanted.
"""

from __future__ import annotations

from dataclasses import replace

from jacinthreel_common import (
    ENDED_STATES,
    CommandKind,
    JobRecord,
    JobState,
    ResultCode,
)
from jacinthreel_jobs._context import RowChange, ShardContext
from jacinthreel_jobs._effects import WritePriority
from jacinthreel_jobs._gang import (
    SETTLED_TASK_PHASES,
    DownCause,
    Gang,
    GangPhase,
    GangTask,
    TaskPhase,
)
from jacinthreel_jobs._limits import (
    FAILS_EVERYWHERE_WORKERS,
    MAX_TASK_FAILURES,
    REFUSED_PAUSE_MS,
)
from jacinthreel_jobs._rows import request_change
from jacinthreel_jobs._tables import WorkerHealth
from jacinthreel_jobs._worker_links import drop_queued, enqueue

FINISHED_ONLY = frozenset({TaskPhase.FINISHED})
PAUSING_CAUSES = frozenset({DownCause.TASK_FAILED, DownCause.REFUSED, DownCause.DOUBTFUL})


def take_down(ctx: ShardContext, gang: Gang, cause: DownCause, detail: str = "") -> None:
    """Stops every task of a gang; does nothing to one that is going down already."""
    if gang.phase is GangPhase.DOWN:
        return
    gang.phase = GangPhase.DOWN
    gang.cause = cause
    gang.detail = detail
    ctx.log(
        "gang_down", job_id=gang.job_id, attempt=gang.attempt, reason=cause.value, detail=detail
    )
    for task in gang.tasks:
        if task.phase in SETTLED_TASK_PHASES:
            continue
        if task.phase is TaskPhase.PLANNED:
            drop_queued(ctx, task.worker_id, gang.key(task))
            mark_gone(ctx, gang, task)
            continue
        enqueue(ctx, CommandKind.STOP, task.worker_id, gang.key(task))
    sync_row(ctx, gang)


def mark_gone(
    ctx: ShardContext, gang: Gang, task: GangTask, phase: TaskPhase = TaskPhase.GONE
) -> None:
    """Gives back what a task held, because it is known that it does not run any more."""
    worker = ctx.tables.workers_by_id.get(task.worker_id)
    if worker is not None:
        worker.free(gang.key(task))
    task.phase = phase
    ctx.want_plan()


def sync_row(ctx: ShardContext, gang: Gang) -> None:
    """Asks for the change of the job's row that the gang's state calls for, if any."""
    if gang.phase is GangPhase.PLACING:
        return
    stored = gang.job.record
    wanted, priority = _wanted_record(ctx, gang, stored)
    if wanted is None:
        return
    change = RowChange(gang.job_id, wanted, gang.job.row_version, priority)
    if wanted.state is JobState.STOPPING:
        change.calls = list(ctx.cancel_calls_by_id[gang.job_id])
    request_change(ctx, change)


def _wanted_record(
    ctx: ShardContext, gang: Gang, stored: JobRecord
) -> tuple[JobRecord | None, WritePriority]:
    if stored.state in ENDED_STATES or stored.state is JobState.QUEUED:
        return None, WritePriority.BOOKKEEPING
    if gang.all_in(FINISHED_ONLY):
        return finished_record(ctx, gang), WritePriority.BOOKKEEPING
    if gang.phase is GangPhase.DOWN and gang.all_in(SETTLED_TASK_PHASES):
        return settled_record(ctx, gang), WritePriority.START_STOP
    if gang.job_id in ctx.cancel_calls_by_id and not stored.cancel_requested:
        stopping = replace(stored, state=JobState.STOPPING, cancel_requested=True)
        return stopping, WritePriority.START_STOP
    if gang.phase is GangPhase.RUNNING and stored.state is JobState.PLACED:
        started_unix_ms = stored.started_unix_ms or ctx.unix_ms
        running = replace(stored, state=JobState.RUNNING, started_unix_ms=started_unix_ms)
        return running, WritePriority.BOOKKEEPING
    return None, WritePriority.BOOKKEEPING


def finished_record(ctx: ShardContext, gang: Gang) -> JobRecord:
    """The row of a gang whose tasks have all finished."""
    return replace(
        gang.job.record,
        state=JobState.FINISHED,
        ended_unix_ms=ctx.unix_ms,
        run_s=max(task.run_s for task in gang.tasks),
        result=ResultCode.OK,
        detail="",
    )


def settled_record(ctx: ShardContext, gang: Gang) -> JobRecord:
    """The row of a gang that was taken down and whose tasks are all gone."""
    stored = gang.job.record
    if stored.cancel_requested:
        return replace(
            stored, state=JobState.CANCELLED, ended_unix_ms=ctx.unix_ms, detail="cancelled"
        )
    code = _final_failure(ctx, stored)
    if code is not ResultCode.OK:
        return replace(
            stored,
            state=JobState.FAILED,
            ended_unix_ms=ctx.unix_ms,
            result=code,
            detail=f"failed on {', '.join(stored.failed_workers)}: {gang.detail}",
        )
    return replace(
        stored,
        state=JobState.QUEUED,
        placement=[],
        borrowed=False,
        run_s=kept_s(gang),
        detail=f"{gang.cause.value if gang.cause else ''} {gang.detail}".strip(),
    )


def _final_failure(ctx: ShardContext, stored: JobRecord) -> ResultCode:
    """Whether the job itself is at fault: failures on workers in quarantine don't count."""
    healthy: list[str] = []
    for worker_id in stored.failed_workers:
        worker = ctx.tables.workers_by_id.get(worker_id)
        at_fault = (WorkerHealth.QUARANTINED, WorkerHealth.PROBATION)
        if worker is not None and worker.health in at_fault:
            continue
        healthy.append(worker_id)
    if len(set(healthy)) >= FAILS_EVERYWHERE_WORKERS:
        return ResultCode.JOB_FAILS_EVERYWHERE
    if len(stored.failed_workers) >= MAX_TASK_FAILURES:
        return ResultCode.TASK_FAILED
    return ResultCode.OK


def kept_s(gang: Gang) -> float:
    """The work, in seconds, that every task of the gang has kept; 0 without checkpoints."""
    if not gang.job.record.spec.checkpointable:
        return 0.0
    kept = [task.run_s if task.phase is TaskPhase.FINISHED else task.kept_s for task in gang.tasks]
    return max(gang.job.record.run_s, min(kept))


def gang_stored(ctx: ShardContext, gang: Gang, record: JobRecord) -> None:
    """Follows up a stored change of a gang's row: releases its tasks, or asks for the next."""
    if record.state in (JobState.PLACED, JobState.RUNNING):
        sync_row(ctx, gang)
        return
    if record.state is JobState.STOPPING:
        take_down(ctx, gang, DownCause.CANCELLED)
        sync_row(ctx, gang)
        return
    del ctx.gangs_by_id[gang.job_id]
    ctx.tables.active_by_id.pop(gang.job_id, None)
    for task in gang.tasks:
        enqueue(ctx, CommandKind.RELEASE, task.worker_id, gang.key(task))
    ctx.want_plan()
    if record.state is not JobState.QUEUED:
        return
    job = gang.job
    job.preempting_for = ""
    job.reported_run_s = 0.0
    job.reported_checkpoint_s = record.run_s
    if gang.cause in PAUSING_CAUSES:
        job.not_before_ms = ctx.now_ms + REFUSED_PAUSE_MS
        ctx.timers.once(REFUSED_PAUSE_MS, ctx.want_plan, ctx.now_ms)
    ctx.enqueue_job(job)
