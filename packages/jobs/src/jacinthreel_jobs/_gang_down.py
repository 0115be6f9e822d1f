"""Stops whole gangs, and writes their rows as queued again or ended.

Every task that a worker may hold is stopped.  Its resources stay held until it is known not to run
any more.  Once no task can run any more, the job's row is written as queued for the next attempt,
or as ended.  `sync_row` derives the next change of the row from the gang's state and is idempotent.
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
    CRASH_BACKOFF_MAX_MS,
    CRASH_BACKOFF_MS,
    EARLY_LOSS_MS,
    FAILS_EVERYWHERE_WORKERS,
    MAX_TASK_FAILURES,
    REQUEUE_DELAY_MS,
)
from jacinthreel_jobs._rows import request_change
from jacinthreel_jobs._tables import WorkerHealth
from jacinthreel_jobs._worker_links import drop_queued_commands, enqueue

FINISHED_TASK_PHASES = frozenset({TaskPhase.FINISHED})
WORKER_LOSS_CAUSES = frozenset({DownCause.WORKER_LOST, DownCause.TASK_LOST})
REQUEUE_DELAY_CAUSES = frozenset({DownCause.TASK_FAILED, DownCause.REFUSED, DownCause.NO_REPLY})


def take_down(ctx: ShardContext, gang: Gang, cause: DownCause, detail: str = "") -> None:
    """Stops every task of a gang; does nothing if the gang is already in phase `down`."""
    if gang.phase is GangPhase.DOWN:
        return
    ran_ms = ctx.now_ms - gang.job.started_ms if gang.phase is GangPhase.RUNNING else 0
    gang.has_early_loss = cause in WORKER_LOSS_CAUSES and ran_ms < EARLY_LOSS_MS
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
            drop_queued_commands(ctx, task.worker_id, gang.key(task))
            mark_task_settled(ctx, gang, task)
            continue
        enqueue(ctx, CommandKind.STOP, task.worker_id, gang.key(task))
    sync_row(ctx, gang)


def mark_task_settled(
    ctx: ShardContext, gang: Gang, task: GangTask, phase: TaskPhase = TaskPhase.GONE
) -> None:
    """Frees the resources of a task that is known not to run any more."""
    worker = ctx.tables.workers_by_id.get(task.worker_id)
    if worker is not None:
        worker.free(gang.key(task))
    task.phase = phase
    ctx.request_plan()


def sync_row(ctx: ShardContext, gang: Gang) -> None:
    """Requests the change of the job's row that the gang's state requires, if any."""
    if gang.phase is GangPhase.PLACING:
        return
    stored = gang.job.record
    next_record, priority = _next_record(ctx, gang, stored)
    if next_record is None:
        return
    change = RowChange(gang.job_id, next_record, gang.job.row_version, priority)
    if next_record.state is JobState.STOPPING:
        change.call_ids = list(ctx.cancel_call_ids_by_job_id[gang.job_id])
    request_change(ctx, change)


def _next_record(
    ctx: ShardContext, gang: Gang, stored: JobRecord
) -> tuple[JobRecord | None, WritePriority]:
    if stored.state in ENDED_STATES or stored.state is JobState.QUEUED:
        return None, WritePriority.BOOKKEEPING
    if gang.all_tasks_in(FINISHED_TASK_PHASES):
        return build_finished_record(ctx, gang), WritePriority.BOOKKEEPING
    if gang.phase is GangPhase.DOWN and gang.all_tasks_in(SETTLED_TASK_PHASES):
        return build_settled_record(ctx, gang), WritePriority.START_STOP
    if gang.job_id in ctx.cancel_call_ids_by_job_id and not stored.cancel_requested:
        stopping = replace(stored, state=JobState.STOPPING, cancel_requested=True)
        return stopping, WritePriority.START_STOP
    if gang.phase is GangPhase.RUNNING and stored.state is JobState.PLACED:
        started_unix_ms = stored.started_unix_ms or ctx.unix_ms
        running = replace(stored, state=JobState.RUNNING, started_unix_ms=started_unix_ms)
        return running, WritePriority.BOOKKEEPING
    return None, WritePriority.BOOKKEEPING


def build_finished_record(ctx: ShardContext, gang: Gang) -> JobRecord:
    """Returns the row of a gang whose tasks have all finished."""
    return replace(
        gang.job.record,
        state=JobState.FINISHED,
        ended_unix_ms=ctx.unix_ms,
        run_s=max(task.run_s for task in gang.tasks),
        result=ResultCode.OK,
        detail="",
    )


def build_settled_record(ctx: ShardContext, gang: Gang) -> JobRecord:
    """Returns the row of a gang in phase `down` whose tasks are all settled."""
    stored = gang.job.record
    if stored.cancel_requested:
        return replace(
            stored, state=JobState.CANCELLED, ended_unix_ms=ctx.unix_ms, detail="cancelled"
        )
    code = _terminal_failure_code(ctx, stored)
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
        run_s=checkpointed_run_s(gang),
        early_losses=_count_early_losses(gang, stored),
        detail=f"{gang.cause.value if gang.cause else ''} {gang.detail}".strip(),
    )


def _count_early_losses(gang: Gang, stored: JobRecord) -> int:
    """Returns the early losses in a row; only a loss after a long run ends the row."""
    if gang.has_early_loss:
        return stored.early_losses + 1
    return 0 if gang.cause in WORKER_LOSS_CAUSES else stored.early_losses


def crash_backoff_ms(early_losses: int) -> int:
    """Returns how long a job waits for its next placement after losing workers.

    A gang that crashes its workers would otherwise take down one after another.  The first loss
    causes no delay, because the worker is the likelier cause.

    >>> [crash_backoff_ms(losses) for losses in (0, 1, 2, 3, 100)]
    [0, 0, 10000, 20000, 600000]
    """
    if early_losses < 2:
        return 0
    return min(CRASH_BACKOFF_MAX_MS, CRASH_BACKOFF_MS << min(early_losses - 2, 10))


def _terminal_failure_code(ctx: ShardContext, stored: JobRecord) -> ResultCode:
    """Returns the code with which a job ends after its failures, or OK if it is retried.

    Failures on workers in quarantine or on probation don't count towards `JOB_FAILS_EVERYWHERE`.
    """
    counted_worker_ids: list[str] = []
    for worker_id in stored.failed_workers:
        worker = ctx.tables.workers_by_id.get(worker_id)
        uncounted_health = (WorkerHealth.QUARANTINED, WorkerHealth.PROBATION)
        if worker is not None and worker.health in uncounted_health:
            continue
        counted_worker_ids.append(worker_id)
    if len(set(counted_worker_ids)) >= FAILS_EVERYWHERE_WORKERS:
        return ResultCode.JOB_FAILS_EVERYWHERE
    if len(stored.failed_workers) >= MAX_TASK_FAILURES:
        return ResultCode.TASK_FAILED
    return ResultCode.OK


def checkpointed_run_s(gang: Gang) -> float:
    """Returns the seconds of work that all tasks have checkpointed or finished.

    It is 0 for a gang that is not checkpointable.
    """
    if not gang.job.record.spec.checkpointable:
        return 0.0
    checkpointed = [
        task.run_s if task.phase is TaskPhase.FINISHED else task.checkpointed_s
        for task in gang.tasks
    ]
    return max(gang.job.record.run_s, min(checkpointed))


def handle_row_stored(ctx: ShardContext, gang: Gang, record: JobRecord) -> None:
    """Continues after a change of a gang's row is stored.

    If the job is queued or ended, the tasks are released on their workers; otherwise the gang is
    stopped or the next change of the row is requested.
    """
    if record.state in (JobState.PLACED, JobState.RUNNING):
        sync_row(ctx, gang)
        return
    if record.state is JobState.STOPPING:
        take_down(ctx, gang, DownCause.CANCELLED)
        sync_row(ctx, gang)
        return
    del ctx.gangs_by_job_id[gang.job_id]
    ctx.tables.active_by_id.pop(gang.job_id, None)
    for task in gang.tasks:
        enqueue(ctx, CommandKind.RELEASE, task.worker_id, gang.key(task))
    ctx.request_plan()
    if record.state is not JobState.QUEUED:
        return
    job = gang.job
    job.preempting_for = ""
    job.reported_run_s = 0.0
    job.reported_checkpoint_s = record.run_s
    delay_ms = crash_backoff_ms(record.early_losses) if gang.has_early_loss else 0
    if gang.cause in REQUEUE_DELAY_CAUSES:
        delay_ms = REQUEUE_DELAY_MS
    if delay_ms:
        job.not_before_ms = ctx.now_ms + delay_ms
        ctx.timers.once(delay_ms, ctx.request_plan, ctx.now_ms)
    ctx.enqueue_job(job)
