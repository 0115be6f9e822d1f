"""Sends batches of commands to the workers, and matches the replies to them.

At most one batch per worker is in flight; commands that are queued meanwhile are sent in the next
batch.  A batch renews the leases of all the shard's tasks on the worker, so it is also the
heartbeat.  Replies are matched by batch id.  A late, repeated or reordered reply is ignored; its
content is not lost, because the worker includes all its reports in each reply until a batch
acknowledges their version.

Reserve and start commands are sent only while the shard's lease is valid, and each batch has a
time after which the driver must drop it.
"""

from __future__ import annotations

from jacinthreel_common import CommandBatch, CommandKind, TaskCommand
from jacinthreel_jobs._context import SentBatch, ShardContext, WorkerLink
from jacinthreel_jobs._effects import SendBatch
from jacinthreel_jobs._gang import Gang, GangTask, TaskPhase
from jacinthreel_jobs._limits import OUTAGE_RENEWAL_LIMIT_MS, TASK_LEASE_MS
from jacinthreel_jobs._tables import TaskKey, WorkerEntry

STARTING_KINDS = frozenset({CommandKind.RESERVE, CommandKind.START})


def command_key(command: TaskCommand) -> TaskKey:
    """Returns the key of the task that a command is for."""
    return (command.job_id, command.attempt, command.task_index)


def add_link(ctx: ShardContext, worker: WorkerEntry) -> WorkerLink:
    """Adds the link to a worker; its first batch is sent after the current event."""
    link = WorkerLink(worker)
    ctx.links_by_worker_id[worker.worker_id] = link
    ctx.due_links[worker.worker_id] = link
    return link


def enqueue(
    ctx: ShardContext,
    kind: CommandKind,
    worker_id: str,
    key: TaskKey,
    resume_s: float = 0.0,
    at_once: bool = True,
) -> None:
    """Queues a command for the worker's next batch; it replaces a queued command of its kind.

    The batch is sent after the current event if `at_once`, else with the next heartbeat.  A stop
    removes the queued commands that it makes obsolete.
    """
    link = ctx.links_by_worker_id.get(worker_id)
    if link is None:
        return
    job_id, attempt, task_index = key
    command = TaskCommand(kind, job_id, attempt, task_index)
    if kind is CommandKind.RESERVE:
        spec = ctx.gangs_by_job_id[job_id].job.record.spec
        command = TaskCommand(
            kind,
            job_id,
            attempt,
            task_index,
            spec.accelerators_per_task,
            spec.cores_per_task,
            spec.memory_gb_per_task,
            resume_s,
            spec.command,
        )
    if kind is CommandKind.STOP:
        for obsolete in (CommandKind.RESERVE, CommandKind.START, CommandKind.CHECKPOINT):
            link.queue.pop((key, obsolete), None)
    link.queue[(key, kind)] = command
    if at_once:
        ctx.due_links[worker_id] = link


def drop_queued_commands(ctx: ShardContext, worker_id: str, key: TaskKey) -> None:
    """Removes the unsent commands for a task."""
    link = ctx.links_by_worker_id.get(worker_id)
    if link is None:
        return
    for kind in CommandKind:
        link.queue.pop((key, kind), None)


def flush_batches(ctx: ShardContext) -> None:
    """Sends a batch to each worker that is due and has no batch in flight."""
    if not ctx.owns or not ctx.due_links:
        return
    due_links = list(ctx.due_links.values())
    ctx.due_links.clear()
    for link in due_links:
        if link.sending_suspended or ctx.now_ms < link.paused_until_ms:
            continue
        send_batch(ctx, link)


def send_batch(ctx: ShardContext, link: WorkerLink) -> None:
    """Sends all queued commands that may be sent; without any, the batch only renews leases."""
    if link.outstanding is not None:
        return
    if ctx.now_ms >= ctx.lease_until_ms + OUTAGE_RENEWAL_LIMIT_MS:
        return
    worker = link.worker
    not_after_ms = ctx.lease_until_ms + OUTAGE_RENEWAL_LIMIT_MS
    commands: list[TaskCommand] = []
    for queue_key, command in list(link.queue.items()):
        if command.kind in STARTING_KINDS:
            gang = ctx.gangs_by_job_id[command.job_id]
            if not ctx.lease_valid or ctx.now_ms >= gang.start_deadline_ms:
                continue
            not_after_ms = min(not_after_ms, ctx.lease_until_ms, gang.start_deadline_ms)
            _mark_sent(gang, command)
        del link.queue[queue_key]
        commands.append(command)
    batch_id = ctx.next_id()
    link.outstanding = SentBatch(
        batch_id, ctx.now_ms, commands, worker.seen_version, worker.last_renewal_sent_ms
    )
    worker.last_renewal_sent_ms = ctx.now_ms
    batch = CommandBatch(ctx.tables.shard, ctx.epoch, TASK_LEASE_MS, worker.seen_version, commands)
    ctx.emit(SendBatch(batch_id, worker.worker_id, batch, not_after_ms))


def _mark_sent(gang: Gang, command: TaskCommand) -> None:
    task: GangTask = gang.tasks[command.task_index]
    if command.kind is CommandKind.RESERVE:
        task.phase = TaskPhase.RESERVING
    else:
        task.phase = TaskPhase.STARTING


def pop_outstanding(ctx: ShardContext, worker_id: str, batch_id: int) -> SentBatch | None:
    """Clears and returns the batch in flight, or None if the reply is late or repeated."""
    link = ctx.links_by_worker_id.get(worker_id)
    if link is None or link.outstanding is None or link.outstanding.batch_id != batch_id:
        return None
    sent = link.outstanding
    link.outstanding = None
    if link.queue:
        ctx.due_links[worker_id] = link
    return sent
