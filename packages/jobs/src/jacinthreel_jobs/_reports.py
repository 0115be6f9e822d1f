"""Applies the replies of workers: first the results of commands, then the reported task states.

A reply with a new report version lists all tasks of the shard on the worker, so a task that is
missing from it is not on the worker.  A reported task that belongs to no gang is stopped, and
released once it has ended.  Stops are repeated with each heartbeat until the task has ended.
"""

from __future__ import annotations

from jacinthreel_common import (
    ENDED_TASK_STATES,
    CommandKind,
    CommandReply,
    ResultCode,
    TaskCommand,
    TaskReport,
    TaskState,
)
from jacinthreel_jobs._context import SentBatch, ShardContext, WorkerLink
from jacinthreel_jobs._events import WorkerReplied, WorkerUnreachable
from jacinthreel_jobs._gang import (
    SETTLED_TASK_PHASES,
    DownCause,
    Gang,
    GangPhase,
    GangTask,
    TaskPhase,
)
from jacinthreel_jobs._gang_down import mark_task_settled, sync_row, take_down
from jacinthreel_jobs._gang_start import (
    STARTED_TASK_PHASES,
    handle_task_reserved,
    handle_task_started,
)
from jacinthreel_jobs._overuse import throttle_overuse
from jacinthreel_jobs._tables import TaskKey
from jacinthreel_jobs._worker_health import (
    handle_lost_batch,
    record_job_finished,
    record_task_failure,
    record_task_success,
    record_worker_reply,
)
from jacinthreel_jobs._worker_links import command_key, enqueue, pop_outstanding

UNCONFIRMED_TASK_PHASES = frozenset({TaskPhase.PLANNED, TaskPhase.RESERVING})
"""Phases in which the worker has not confirmed the reservation, so it need not report the task."""


def apply_unreachable(ctx: ShardContext, event: WorkerUnreachable) -> None:
    """Handles a batch that got no reply."""
    sent = pop_outstanding(ctx, event.worker_id, event.batch_id)
    if sent is None:
        return
    link = ctx.links_by_worker_id[event.worker_id]
    handle_lost_batch(ctx, link, sent, event.delivered)


def apply_reply(ctx: ShardContext, event: WorkerReplied) -> list[Gang]:
    """Applies a worker's reply; returns the recovered gangs that were adopted."""
    sent = pop_outstanding(ctx, event.worker_id, event.batch_id)
    if sent is None:
        return []
    reply = event.reply
    if reply.code is ResultCode.STALE_EPOCH or reply.epoch > ctx.epoch:
        ctx.step_down(f"worker {event.worker_id} has received epoch {reply.epoch}")
        return []
    link = ctx.links_by_worker_id[event.worker_id]
    if reply.code is not ResultCode.OK or len(reply.results) != len(sent.commands):
        handle_lost_batch(ctx, link, sent, delivered=True)
        return []
    record_worker_reply(ctx, link)
    for command, result in zip(sent.commands, reply.results, strict=True):
        _apply_result(ctx, link, command, result)
    has_new_report = reply.version != sent.seen_version
    if not has_new_report and not sent.commands:
        return []
    return _apply_reports(ctx, link, reply, sent)


def _apply_result(
    ctx: ShardContext, link: WorkerLink, command: TaskCommand, result: ResultCode
) -> None:
    gang = ctx.gangs_by_job_id.get(command.job_id)
    if gang is None or gang.attempt != command.attempt:
        return
    task = gang.tasks[command.task_index]
    match command.kind:
        case CommandKind.RESERVE if result is ResultCode.OK:
            handle_task_reserved(ctx, gang, task)
        case CommandKind.START if result is ResultCode.OK:
            handle_task_started(ctx, gang, task)
        case CommandKind.RESERVE | CommandKind.START:
            if command.kind is CommandKind.RESERVE and result is not ResultCode.TASK_EXISTS:
                mark_task_settled(ctx, gang, task)
            detail = f"{command.kind.value} at {link.worker.worker_id}: {result.name}"
            take_down(ctx, gang, DownCause.REFUSED, detail)
            sync_row(ctx, gang)


def _apply_reports(
    ctx: ShardContext, link: WorkerLink, reply: CommandReply, sent: SentBatch
) -> list[Gang]:
    worker = link.worker
    has_new_report = reply.version != sent.seen_version
    reports_by_key: dict[TaskKey, TaskReport] = {}
    if has_new_report:
        worker.seen_version = reply.version
        for report in reply.reports:
            reports_by_key[(report.job_id, report.attempt, report.task_index)] = report
        link.state_by_key = {key: report.state for key, report in reports_by_key.items()}
    reported_gangs_by_id: dict[str, Gang] = {}
    for key in list(worker.held):
        gang = ctx.gangs_by_job_id.get(key[0])
        if gang is None or gang.attempt != key[1]:
            worker.free(key)
            continue
        reported_gangs_by_id[gang.job_id] = gang
        task = gang.tasks[key[2]]
        if key not in link.state_by_key:
            _apply_missing_task(ctx, gang, task)
        elif key in reports_by_key:
            _apply_report(ctx, gang, task, reports_by_key[key])
        if gang.phase is GangPhase.DOWN and task.phase not in SETTLED_TASK_PHASES:
            _enqueue_or_repeat(ctx, link, sent, CommandKind.STOP, key)
    _stop_unknown_tasks(ctx, link, sent)
    if has_new_report:
        throttle_overuse(ctx, link)
    adopted: list[Gang] = []
    for gang in reported_gangs_by_id.values():
        if _update_gang(ctx, gang):
            adopted.append(gang)
    return adopted


def _apply_missing_task(ctx: ShardContext, gang: Gang, task: GangTask) -> None:
    if gang.phase is GangPhase.DOWN:
        mark_task_settled(ctx, gang, task)
        return
    if task.phase in UNCONFIRMED_TASK_PHASES:
        return
    mark_task_settled(ctx, gang, task)
    if gang.phase is not GangPhase.RECOVERING:
        take_down(ctx, gang, DownCause.TASK_LOST, f"a task is missing on worker {task.worker_id}")


def _apply_report(ctx: ShardContext, gang: Gang, task: GangTask, report: TaskReport) -> None:
    task.run_s = max(task.run_s, report.run_s)
    task.checkpointed_s = max(task.checkpointed_s, report.checkpoint_s)
    task.used_memory_gb = report.used_memory_gb
    job = gang.job
    job.reported_run_s = max(job.reported_run_s, report.run_s)
    match report.state:
        case TaskState.RESERVED:
            if gang.phase is GangPhase.RECOVERING:
                task.phase = TaskPhase.RESERVED
        case TaskState.RUNNING:
            if task.phase is TaskPhase.UNKNOWN:
                task.phase = TaskPhase.RUNNING
        case TaskState.FINISHED:
            mark_task_settled(ctx, gang, task, TaskPhase.FINISHED)
            record_task_success(ctx, task.worker_id)
        case TaskState.FAILED:
            mark_task_settled(ctx, gang, task)
            if gang.phase is not GangPhase.DOWN:
                record_task_failure(ctx, gang, task.worker_id)
                take_down(ctx, gang, DownCause.TASK_FAILED, report.detail or f"on {task.worker_id}")
        case TaskState.CHECKPOINTED | TaskState.STOPPED | TaskState.LAPSED:
            mark_task_settled(ctx, gang, task)
            if gang.phase in (GangPhase.RECOVERING, GangPhase.LEAVING):
                return
            take_down(ctx, gang, DownCause.TASK_LOST, f"{report.state} on {task.worker_id}")


def _update_gang(ctx: ShardContext, gang: Gang) -> bool:
    """Updates a gang from its tasks' phases; returns whether a recovered gang is now adopted."""
    adopted = False
    if gang.phase is GangPhase.RECOVERING:
        if any(task.phase is TaskPhase.UNKNOWN for task in gang.tasks):
            return False
        if not gang.all_tasks_in(STARTED_TASK_PHASES):
            take_down(ctx, gang, DownCause.RECOVERY, "not all tasks were running")
        else:
            gang.phase = GangPhase.RUNNING
            gang.job.started_ms = ctx.now_ms
            ctx.log("gang_adopted", job_id=gang.job_id, attempt=gang.attempt)
            adopted = True
    if gang.phase is GangPhase.LEAVING and gang.all_tasks_in(SETTLED_TASK_PHASES):
        take_down(ctx, gang, gang.cause or DownCause.PREEMPTED, gang.detail)
    gang.job.reported_checkpoint_s = min(task.checkpointed_s for task in gang.tasks)
    if gang.all_tasks_in(frozenset({TaskPhase.FINISHED})):
        record_job_finished(ctx, gang)
    sync_row(ctx, gang)
    return adopted


def _stop_unknown_tasks(ctx: ShardContext, link: WorkerLink, sent: SentBatch) -> None:
    """Stops reported tasks that belong to no gang, and releases them once they have ended."""
    for key, state in link.state_by_key.items():
        gang = ctx.gangs_by_job_id.get(key[0])
        belongs_to_gang = gang is not None and gang.attempt == key[1]
        if belongs_to_gang or key[0] in ctx.unreadable_job_ids:
            continue
        if state in ENDED_TASK_STATES:
            _enqueue_or_repeat(ctx, link, sent, CommandKind.RELEASE, key)
            continue
        ctx.log(
            "stop_unexplained_task",
            worker_id=link.worker.worker_id,
            job_id=key[0],
            attempt=key[1],
            task_index=key[2],
        )
        _enqueue_or_repeat(ctx, link, sent, CommandKind.STOP, key)


def _enqueue_or_repeat(
    ctx: ShardContext, link: WorkerLink, sent: SentBatch, kind: CommandKind, key: TaskKey
) -> None:
    """Sends a command now, or with the next heartbeat if the last batch already had it."""
    was_sent = any(
        command.kind is kind and command_key(command) == key for command in sent.commands
    )
    enqueue(ctx, kind, link.worker.worker_id, key, at_once=not was_sent)
