"""Starts gangs: place, write, reserve everywhere, start everywhere.

A placement that the planner proposes is checked against the tables again.  Its resources are held
from that moment.  Reservations are asked for only after the placement is stored, and starts only
after every worker has granted its reservation, all within `START_WINDOW_MS` of sending the write.
Until all tasks run, anything unexpected takes the gang down.
"""

from __future__ import annotations

from dataclasses import replace

from jacinthreel_common import CommandKind, JobRecord, JobState
from jacinthreel_jobs._context import RowChange, ShardContext
from jacinthreel_jobs._effects import WritePriority
from jacinthreel_jobs._gang import DownCause, Gang, GangPhase, GangTask, TaskPhase
from jacinthreel_jobs._gang_down import mark_gone, sync_row, take_down
from jacinthreel_jobs._limits import START_WINDOW_MS
from jacinthreel_jobs._planning import Place
from jacinthreel_jobs._rows import request_change
from jacinthreel_jobs._tables import HeldResources, JobEntry, Tables, WorkerEntry, WorkerHealth
from jacinthreel_jobs._worker_links import enqueue

RESERVED_ONLY = frozenset({TaskPhase.RESERVED})
STARTED = frozenset({TaskPhase.RUNNING, TaskPhase.FINISHED})


def place(ctx: ShardContext, decision: Place) -> str:
    """Carries out a placement; returns why not, or an empty string."""
    job = ctx.tables.queued_by_id.get(decision.job_id)
    refusal = _refusal(ctx, job, decision)
    if job is None or refusal:
        return refusal
    record = job.record
    placed = replace(
        record,
        state=JobState.PLACED,
        attempt=record.attempt + 1,
        placement=list(decision.placement),
        borrowed=decision.borrowed,
        detail="",
    )
    change = RowChange(
        decision.job_id,
        placed,
        job.row_version,
        WritePriority.START_STOP,
        config_version=ctx.config_row_version,
    )
    if not request_change(ctx, change):
        return "a change of the row is on its way"
    gang = _new_gang(ctx, job, placed, GangPhase.PLACING, TaskPhase.PLANNED)
    gang.previous = record
    gang.start_deadline_ms = ctx.now_ms + START_WINDOW_MS
    ctx.timers.once(START_WINDOW_MS, lambda _now_ms: _expire(ctx, gang), ctx.now_ms)
    ctx.log(
        "place",
        job_id=decision.job_id,
        attempt=placed.attempt,
        workers=sorted({item.worker_id for item in decision.placement}),
        borrowed=decision.borrowed,
        reason=decision.reason,
        candidates=decision.candidates,
    )
    return ""


def recover_gang(ctx: ShardContext, job: JobEntry) -> Gang:
    """Takes up a gang that the rows tell of; its tasks count as running until shown otherwise."""
    return _new_gang(ctx, job, job.record, GangPhase.RECOVERING, TaskPhase.UNKNOWN)


def _new_gang(
    ctx: ShardContext,
    job: JobEntry,
    record: JobRecord,
    phase: GangPhase,
    task_phase: TaskPhase,
) -> Gang:
    tasks = [
        GangTask(item.task_index, item.worker_id, task_phase, record.run_s, record.run_s)
        for item in sorted(record.placement, key=lambda item: item.task_index)
    ]
    gang = Gang(job, record.attempt, phase, tasks, previous=record)
    job.record = record
    ctx.gangs_by_id[job.job_id] = gang
    ctx.dequeue_job(job.job_id)
    ctx.tables.active_by_id[job.job_id] = job
    for task in tasks:
        worker = ctx.tables.workers_by_id.get(task.worker_id)
        if worker is not None:
            worker.hold(gang.key(task), task_resources(record))
    return gang


def task_resources(record: JobRecord) -> HeldResources:
    """What each task of a job takes."""
    spec = record.spec
    return HeldResources(spec.accelerators_per_task, spec.cores_per_task, spec.memory_gb_per_task)


def _refusal(ctx: ShardContext, job: JobEntry | None, decision: Place) -> str:
    """Why a placement may not be carried out now, or an empty string."""
    if not ctx.lease_valid or not ctx.config_row_version:
        return "no lease or configuration"
    if job is None or job.not_before_ms > ctx.now_ms:
        return "the job is not waiting"
    spec = job.record.spec
    indices = sorted(item.task_index for item in decision.placement)
    if indices != list(range(spec.tasks)):
        return "the placement does not have every task once"
    tasks_by_worker: dict[str, int] = {}
    for item in decision.placement:
        tasks_by_worker[item.worker_id] = tasks_by_worker.get(item.worker_id, 0) + 1
    for worker_id, tasks in tasks_by_worker.items():
        worker = ctx.tables.workers_by_id.get(worker_id)
        if worker is None or ctx.zone_closed(worker.zone):
            return f"worker {worker_id} is gone or its zone is closed"
        if not _takes(worker, job.record, tasks):
            return f"worker {worker_id} takes no {tasks} such tasks"
    return ""


def _takes(worker: WorkerEntry, record: JobRecord, tasks: int) -> bool:
    if worker.health is WorkerHealth.PROBATION:
        if tasks > 1 or worker.held:
            return False
    elif worker.health is not WorkerHealth.HEALTHY:
        return False
    needs = task_resources(record)
    return (
        needs.accelerators * tasks <= worker.free_accelerators
        and needs.cores * tasks <= worker.free_cores
        and needs.memory_gb * tasks <= worker.free_memory_gb
    )


def unplace(ctx: ShardContext, gang: Gang, record: JobRecord, pause_ms: int) -> None:
    """Puts a job back in the queue after its placement came to nothing; `record` is its row."""
    for task in gang.tasks:
        mark_gone(ctx, gang, task)
    job = gang.job
    job.record = record
    del ctx.gangs_by_id[gang.job_id]
    ctx.tables.active_by_id.pop(gang.job_id, None)
    if pause_ms:
        job.not_before_ms = ctx.now_ms + pause_ms
        ctx.timers.once(pause_ms, ctx.want_plan, ctx.now_ms)
    ctx.enqueue_job(job)
    ctx.log("place_not_stored", job_id=gang.job_id, attempt=gang.attempt)


def placement_stored(ctx: ShardContext, gang: Gang) -> None:
    """Goes on to the reservations, unless the gang may not start any more."""
    gang.phase = GangPhase.RESERVING
    if gang.job_id in ctx.cancel_calls_by_id:
        sync_row(ctx, gang)
        return
    if ctx.now_ms >= gang.start_deadline_ms or not ctx.lease_valid:
        take_down(ctx, gang, DownCause.START_EXPIRED, "the write took too long")
        return
    if abort_if_unfit(ctx, gang):
        return
    resume_s = gang.job.record.run_s
    for task in gang.tasks:
        enqueue(ctx, CommandKind.RESERVE, task.worker_id, gang.key(task), resume_s)


def abort_if_unfit(ctx: ShardContext, gang: Gang) -> bool:
    """Takes down a gang that has not started and whose workers are closed or not well."""
    for task in gang.tasks:
        worker = ctx.tables.workers_by_id.get(task.worker_id)
        if worker is not None and ctx.zone_closed(worker.zone):
            take_down(ctx, gang, DownCause.ZONE_OUT, f"zone {worker.zone} is closed")
            return True
        fit = (WorkerHealth.HEALTHY, WorkerHealth.PROBATION)
        if worker is None or worker.health not in fit:
            take_down(ctx, gang, DownCause.REFUSED, f"worker {task.worker_id} is not well")
            return True
    return False


def task_reserved(ctx: ShardContext, gang: Gang, task: GangTask) -> None:
    """Notes a granted reservation; the last one lets the whole gang start."""
    if gang.phase is not GangPhase.RESERVING or task.phase is not TaskPhase.RESERVING:
        return
    task.phase = TaskPhase.RESERVED
    if not gang.all_in(RESERVED_ONLY) or abort_if_unfit(ctx, gang):
        return
    if ctx.now_ms >= gang.start_deadline_ms:
        take_down(ctx, gang, DownCause.START_EXPIRED, "the reservations took too long")
        return
    gang.phase = GangPhase.STARTING
    for started in gang.tasks:
        enqueue(ctx, CommandKind.START, started.worker_id, gang.key(started))


def task_started(ctx: ShardContext, gang: Gang, task: GangTask) -> None:
    """Notes a started task; the last one makes the gang a running one."""
    if task.phase is TaskPhase.STARTING:
        task.phase = TaskPhase.RUNNING
    if gang.phase is not GangPhase.STARTING or not gang.all_in(STARTED):
        return
    gang.phase = GangPhase.RUNNING
    gang.job.started_ms = ctx.now_ms
    ctx.log(
        "gang_running",
        job_id=gang.job_id,
        attempt=gang.attempt,
        waited_ms=ctx.now_ms - gang.job.submitted_ms,
    )
    sync_row(ctx, gang)


def _expire(ctx: ShardContext, gang: Gang) -> None:
    """The start window closed: starts that are still queued are not sent."""
    if ctx.gangs_by_id.get(gang.job_id) is not gang:
        return
    if gang.phase is GangPhase.RESERVING:
        take_down(ctx, gang, DownCause.START_EXPIRED, "not all reservations came in time")
        return
    if gang.phase is not GangPhase.STARTING:
        return
    if any(task.phase is TaskPhase.RESERVED for task in gang.tasks):
        take_down(ctx, gang, DownCause.START_EXPIRED, "not all starts were sent in time")


def workers_of(tables: Tables, gang: Gang) -> list[WorkerEntry]:
    """The workers of a gang that are still listed, each once."""
    by_id: dict[str, WorkerEntry] = {}
    for task in gang.tasks:
        worker = tables.workers_by_id.get(task.worker_id)
        if worker is not None:
            by_id[task.worker_id] = worker
    return list(by_id.values())
