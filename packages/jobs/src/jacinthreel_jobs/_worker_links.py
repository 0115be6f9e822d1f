"""The exchange of batches with each worker.

One batch at most is on its way to a worker; commands that are asked for meanwhile wait for the
next one.  A batch renews the leases of all the shard's tasks on the worker, so it doubles as the
heartbeat.  Replies are matched by batch id: a late, repeated or reordered reply is ignored, and
what it would have told comes again, because the worker answers with all its reports until it is
told that they were seen.

Commands that could start something are sent only while the shard's lease is valid, and the batch
carries the time after which the driver must drop it.
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
    """The task that a command is for."""
    return (command.job_id, command.attempt, command.task_index)


def add_link(ctx: ShardContext, worker: WorkerEntry) -> WorkerLink:
    """Begins the exchange with a worker; its first batch leaves with the current event."""
    link = WorkerLink(worker)
    ctx.links_by_id[worker.worker_id] = link
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
    """Queues a command for the worker's next batch; repeats are merged.

    The batch leaves at once, or with the next heartbeat.
    """
    link = ctx.links_by_id.get(worker_id)
    if link is None:
        return
    job_id, attempt, task_index = key
    command = TaskCommand(kind, job_id, attempt, task_index)
    if kind is CommandKind.RESERVE:
        spec = ctx.gangs_by_id[job_id].job.record.spec
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
        for dropped in (CommandKind.RESERVE, CommandKind.START, CommandKind.CHECKPOINT):
            link.queue.pop((key, dropped), None)
    link.queue[(key, kind)] = command
    if at_once:
        ctx.due_links[worker_id] = link


def drop_queued(ctx: ShardContext, worker_id: str, key: TaskKey) -> None:
    """Takes back the commands for a task that have not been sent."""
    link = ctx.links_by_id.get(worker_id)
    if link is None:
        return
    for kind in CommandKind:
        link.queue.pop((key, kind), None)


def flush_batches(ctx: ShardContext) -> None:
    """Sends a batch to each worker that is due and has none on its way."""
    if not ctx.owns or not ctx.due_links:
        return
    due_links = list(ctx.due_links.values())
    ctx.due_links.clear()
    for link in due_links:
        if link.sending_suspended or ctx.now_ms < link.paused_until_ms:
            continue
        send_batch(ctx, link)


def send_batch(ctx: ShardContext, link: WorkerLink) -> None:
    """Sends all queued commands that may leave, or a plain renewal."""
    if link.outstanding is not None:
        return
    if ctx.now_ms >= ctx.lease_until_ms + OUTAGE_RENEWAL_LIMIT_MS:
        return
    worker = link.worker
    not_after_ms = ctx.lease_until_ms + OUTAGE_RENEWAL_LIMIT_MS
    commands: list[TaskCommand] = []
    for queue_key, command in list(link.queue.items()):
        if command.kind in STARTING_KINDS:
            gang = ctx.gangs_by_id[command.job_id]
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


def take_outstanding(ctx: ShardContext, worker_id: str, batch_id: int) -> SentBatch | None:
    """Closes the exchange that `batch_id` began, or None if the answer is late or repeated."""
    link = ctx.links_by_id.get(worker_id)
    if link is None or link.outstanding is None or link.outstanding.batch_id != batch_id:
        return None
    sent = link.outstanding
    link.outstanding = None
    if link.queue:
        ctx.due_links[worker_id] = link
    return sent
