"""Starts gangs: holds resources, stores the placement, reserves and then starts all tasks.

A placement proposed by the planner is checked against the tables again, and its resources are held
from then on.  `reserve` commands are queued only after the placement is stored, and `start`
commands only after every worker has granted its reservations.  All of this has to happen within
`START_WINDOW_MS` of requesting the write.  Until all tasks run, any unexpected event stops the
whole gang.
"""

from __future__ import annotations

from dataclasses import replace

from jacinthreel_common import CommandKind, JobRecord, JobState
from jacinthreel_jobs._context import RowChange, ShardContext
from jacinthreel_jobs._effects import WritePriority
from jacinthreel_jobs._gang import DownCause, Gang, GangPhase, GangTask, TaskPhase
from jacinthreel_jobs._gang_down import mark_task_settled, sync_row, take_down
from jacinthreel_jobs._limits import START_WINDOW_MS
from jacinthreel_jobs._planning import Place
from jacinthreel_jobs._rows import request_change
from jacinthreel_jobs._tables import HeldResources, JobEntry, Tables, WorkerEntry, WorkerHealth
from jacinthreel_jobs._worker_links import enqueue

RESERVED_TASK_PHASES = frozenset({TaskPhase.RESERVED})
STARTED_TASK_PHASES = frozenset({TaskPhase.RUNNING, TaskPhase.FINISHED})


def place(ctx: ShardContext, decision: Place) -> str:
    """Carries out a placement; returns the reason if it is refused, else an empty string."""
    job = ctx.tables.queued_by_id.get(decision.job_id)
    refusal = _find_refusal_reason(ctx, job, decision)
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
        return "another change of the job's row is pending"
    gang = _new_gang(ctx, job, placed, GangPhase.PLACING, TaskPhase.PLANNED)
    gang.previous = record
    gang.start_deadline_ms = ctx.now_ms + START_WINDOW_MS
    ctx.timers.once(START_WINDOW_MS, lambda _now_ms: _handle_start_timeout(ctx, gang), ctx.now_ms)
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
    """Creates the gang of a loaded row; its tasks hold resources until reported otherwise."""
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
    ctx.gangs_by_job_id[job.job_id] = gang
    ctx.dequeue_job(job.job_id)
    ctx.tables.active_by_id[job.job_id] = job
    for task in tasks:
        worker = ctx.tables.workers_by_id.get(task.worker_id)
        if worker is not None:
            worker.hold(gang.key(task), task_resources(record))
    return gang


def task_resources(record: JobRecord) -> HeldResources:
    """Returns the resources that each task of a job needs."""
    spec = record.spec
    return HeldResources(spec.accelerators_per_task, spec.cores_per_task, spec.memory_gb_per_task)


def _find_refusal_reason(ctx: ShardContext, job: JobEntry | None, decision: Place) -> str:
    """Returns why a placement must not be carried out now, or an empty string."""
    if not ctx.lease_valid or not ctx.config_row_version:
        return "the lease is not valid or there is no configuration"
    if job is None or job.not_before_ms > ctx.now_ms:
        return "the job is not queued or must not be placed yet"
    spec = job.record.spec
    indices = sorted(item.task_index for item in decision.placement)
    if indices != list(range(spec.tasks)):
        return "the placement does not contain each task exactly once"
    tasks_by_worker: dict[str, int] = {}
    for item in decision.placement:
        tasks_by_worker[item.worker_id] = tasks_by_worker.get(item.worker_id, 0) + 1
    for worker_id, tasks in tasks_by_worker.items():
        worker = ctx.tables.workers_by_id.get(worker_id)
        if worker is None or ctx.is_zone_closed(worker.zone):
            return f"worker {worker_id} is not listed or its zone is closed"
        if not _can_accept(worker, job.record, tasks):
            return f"worker {worker_id} cannot accept {tasks} tasks of the job"
    return ""


def _can_accept(worker: WorkerEntry, record: JobRecord, tasks: int) -> bool:
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


def requeue_unstored(ctx: ShardContext, gang: Gang, record: JobRecord, delay_ms: int) -> None:
    """Queues a job again because its placement was not stored; `record` is its stored record."""
    for task in gang.tasks:
        mark_task_settled(ctx, gang, task)
    job = gang.job
    job.record = record
    del ctx.gangs_by_job_id[gang.job_id]
    ctx.tables.active_by_id.pop(gang.job_id, None)
    if delay_ms:
        job.not_before_ms = ctx.now_ms + delay_ms
        ctx.timers.once(delay_ms, ctx.request_plan, ctx.now_ms)
    ctx.enqueue_job(job)
    ctx.log("place_not_stored", job_id=gang.job_id, attempt=gang.attempt)


def handle_placement_stored(ctx: ShardContext, gang: Gang) -> None:
    """Queues the `reserve` commands, unless the gang must not start any more."""
    gang.phase = GangPhase.RESERVING
    if gang.job_id in ctx.cancel_call_ids_by_job_id:
        sync_row(ctx, gang)
        return
    if ctx.now_ms >= gang.start_deadline_ms or not ctx.lease_valid:
        take_down(
            ctx,
            gang,
            DownCause.START_EXPIRED,
            "storing the placement took too long, or the lease has expired",
        )
        return
    if abort_if_worker_unusable(ctx, gang):
        return
    resume_s = gang.job.record.run_s
    for task in gang.tasks:
        enqueue(ctx, CommandKind.RESERVE, task.worker_id, gang.key(task), resume_s)


def abort_if_worker_unusable(ctx: ShardContext, gang: Gang) -> bool:
    """Stops a gang that has not started if a worker is unhealthy or its zone is closed.

    Returns whether it did.
    """
    for task in gang.tasks:
        worker = ctx.tables.workers_by_id.get(task.worker_id)
        if worker is not None and ctx.is_zone_closed(worker.zone):
            take_down(ctx, gang, DownCause.ZONE_OUT, f"zone {worker.zone} is closed")
            return True
        startable_health = (WorkerHealth.HEALTHY, WorkerHealth.PROBATION)
        if worker is None or worker.health not in startable_health:
            take_down(ctx, gang, DownCause.REFUSED, f"worker {task.worker_id} is not healthy")
            return True
    return False


def handle_task_reserved(ctx: ShardContext, gang: Gang, task: GangTask) -> None:
    """Records a granted reservation; queues all `start` commands after the last one."""
    if gang.phase is not GangPhase.RESERVING or task.phase is not TaskPhase.RESERVING:
        return
    task.phase = TaskPhase.RESERVED
    if not gang.all_tasks_in(RESERVED_TASK_PHASES) or abort_if_worker_unusable(ctx, gang):
        return
    if ctx.now_ms >= gang.start_deadline_ms:
        take_down(ctx, gang, DownCause.START_EXPIRED, "reserving all tasks took too long")
        return
    gang.phase = GangPhase.STARTING
    for gang_task in gang.tasks:
        enqueue(ctx, CommandKind.START, gang_task.worker_id, gang.key(gang_task))


def handle_task_started(ctx: ShardContext, gang: Gang, task: GangTask) -> None:
    """Records a started task; after the last one, the gang is in phase `running`."""
    if task.phase is TaskPhase.STARTING:
        task.phase = TaskPhase.RUNNING
    if gang.phase is not GangPhase.STARTING or not gang.all_tasks_in(STARTED_TASK_PHASES):
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


def _handle_start_timeout(ctx: ShardContext, gang: Gang) -> None:
    """Stops a gang whose tasks were not all started within the start window."""
    if ctx.gangs_by_job_id.get(gang.job_id) is not gang:
        return
    if gang.phase is GangPhase.RESERVING:
        take_down(ctx, gang, DownCause.START_EXPIRED, "not all reservations were granted in time")
        return
    if gang.phase is not GangPhase.STARTING:
        return
    if any(task.phase is TaskPhase.RESERVED for task in gang.tasks):
        take_down(ctx, gang, DownCause.START_EXPIRED, "not all start commands were sent in time")


def listed_workers_of(tables: Tables, gang: Gang) -> list[WorkerEntry]:
    """Returns the workers of a gang that are still in the tables, without duplicates."""
    by_id: dict[str, WorkerEntry] = {}
    for task in gang.tasks:
        worker = tables.workers_by_id.get(task.worker_id)
        if worker is not None:
            by_id[task.worker_id] = worker
    return list(by_id.values())
