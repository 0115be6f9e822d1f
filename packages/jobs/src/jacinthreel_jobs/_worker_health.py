"""Tracks the health of each worker, and settles the tasks of workers that stop responding.

A worker that does not reply becomes `suspect` and gets no new tasks.  After
`RENEWAL_STOP_AFTER_MS` without a reply, its gangs are stopped and its task leases are no longer
renewed.  Its tasks count as ended once every lease that may have been renewed has expired.  That
time is counted from the last renewal that may have reached the worker.  For a worker that was never
reached in this epoch, it is also counted from the takeover, and includes the time during which the
former owner may have continued to renew leases.

A failed task is evidence against its worker and its job.  It counts against the worker only while
the job has failed on no other worker, and is confirmed if the job finishes on other workers; it
counts towards `JOB_FAILS_EVERYWHERE` only while the worker is neither in quarantine nor on
probation.
"""

from __future__ import annotations

from dataclasses import replace

from jacinthreel_common import CommandKind
from jacinthreel_jobs._context import SentBatch, ShardContext, WorkerEvidence, WorkerLink
from jacinthreel_jobs._gang import SETTLED_TASK_PHASES, DownCause, Gang, TaskPhase
from jacinthreel_jobs._gang_down import mark_task_settled, sync_row, take_down
from jacinthreel_jobs._limits import (
    BATCH_TIMEOUT_MS,
    DELIVERY_LIMIT_MS,
    LOST_PROBE_PERIOD_MS,
    OUTAGE_RENEWAL_LIMIT_MS,
    QUARANTINE_MAX_MS,
    QUARANTINE_MIN_FAILED_JOBS,
    QUARANTINE_MS,
    RENEWAL_STOP_AFTER_MS,
    SUSPECT_AFTER_MS,
    TASK_LEASE_MS,
)
from jacinthreel_jobs._tables import WorkerEntry, WorkerHealth
from jacinthreel_jobs._worker_links import STARTING_KINDS, command_key, enqueue, send_batch

LEASE_EXPIRY_MS = TASK_LEASE_MS + DELIVERY_LIMIT_MS
"""Longest time from the sending of a lease renewal to the expiry of the lease."""
UNREACHED_LEASE_EXPIRY_MS = OUTAGE_RENEWAL_LIMIT_MS + LEASE_EXPIRY_MS
"""Longest time from a takeover to the expiry of all leases renewed by the former owner."""


def health_if_reachable(ctx: ShardContext, worker_id: str) -> WorkerHealth:
    """Returns the health of a worker if it replies."""
    evidence = ctx.evidence_by_worker_id[worker_id]
    if evidence.leaving:
        return WorkerHealth.DRAINING
    if ctx.now_ms < evidence.quarantined_until_ms:
        return WorkerHealth.QUARANTINED
    if evidence.on_probation:
        return WorkerHealth.PROBATION
    return WorkerHealth.HEALTHY


def set_health(ctx: ShardContext, worker: WorkerEntry, health: WorkerHealth, reason: str) -> None:
    """Changes a worker's health and logs it."""
    if worker.health is health:
        return
    ctx.log("worker_health", worker_id=worker.worker_id, health=health.value, reason=reason)
    worker.health = health
    ctx.request_plan()


def run_heartbeat(ctx: ShardContext, link: WorkerLink) -> None:
    """Runs one heartbeat of a worker: checks for a missing reply and renews its task leases."""
    worker = link.worker
    if not ctx.owns or ctx.links_by_worker_id.get(worker.worker_id) is not link:
        return
    sent = link.outstanding
    if sent is not None and ctx.now_ms - sent.sent_ms >= BATCH_TIMEOUT_MS:
        link.outstanding = None
        handle_lost_batch(ctx, link, sent, delivered=True)
    since_reply_ms = ctx.now_ms - worker.last_reply_ms
    if since_reply_ms >= SUSPECT_AFTER_MS and worker.health is not WorkerHealth.LOST:
        set_health(ctx, worker, WorkerHealth.SUSPECT, "no reply")
    if since_reply_ms < RENEWAL_STOP_AFTER_MS:
        ctx.due_links[worker.worker_id] = link
        return
    _handle_unresponsive(ctx, link)


def _handle_unresponsive(ctx: ShardContext, link: WorkerLink) -> None:
    """Stops the worker's gangs, settles its tasks after their leases expired, and probes it."""
    worker = link.worker
    link.sending_suspended = True
    for gang in gangs_on(ctx, worker):
        take_down(ctx, gang, DownCause.WORKER_LOST, f"worker {worker.worker_id} does not reply")
    if ctx.now_ms < worker.last_renewal_sent_ms + LEASE_EXPIRY_MS:
        return
    has_replied = worker.confirmed_epoch == ctx.epoch
    if has_replied or ctx.now_ms >= ctx.ownership_gained_ms + UNREACHED_LEASE_EXPIRY_MS:
        _settle_expired_tasks(ctx, link)
    if ctx.now_ms >= link.paused_until_ms:
        link.paused_until_ms = ctx.now_ms + LOST_PROBE_PERIOD_MS
        send_batch(ctx, link)


def _settle_expired_tasks(ctx: ShardContext, link: WorkerLink) -> None:
    """Settles all tasks on a worker whose task leases have all expired, so that none can run."""
    worker = link.worker
    set_health(ctx, worker, WorkerHealth.LOST, "all task leases have expired")
    for key in list(worker.held):
        gang = ctx.gangs_by_job_id.get(key[0])
        if gang is None or gang.attempt != key[1]:
            worker.free(key)
            continue
        mark_task_settled(ctx, gang, gang.tasks[key[2]])
        sync_row(ctx, gang)


def gangs_on(ctx: ShardContext, worker: WorkerEntry) -> list[Gang]:
    """Returns the gangs that hold resources on a worker, each once."""
    by_id: dict[str, Gang] = {}
    for job_id, attempt, _index in worker.held:
        gang = ctx.gangs_by_job_id.get(job_id)
        if gang is not None and gang.attempt == attempt:
            by_id[job_id] = gang
    return list(by_id.values())


def record_worker_reply(ctx: ShardContext, link: WorkerLink) -> None:
    """Records a reply: the worker is reachable, and rejects earlier epochs from now on."""
    worker = link.worker
    worker.last_reply_ms = ctx.now_ms
    worker.last_renewal_sent_ms = ctx.now_ms
    worker.confirmed_epoch = ctx.epoch
    link.sending_suspended = False
    link.paused_until_ms = 0
    if worker.health in (WorkerHealth.SUSPECT, WorkerHealth.LOST):
        set_health(ctx, worker, health_if_reachable(ctx, worker.worker_id), "replied")


def handle_lost_batch(
    ctx: ShardContext, link: WorkerLink, sent: SentBatch, delivered: bool
) -> None:
    """Handles a batch without a reply: stops gangs it may have started, and requeues the rest.

    A start that may have been delivered has an unknown outcome.  Unless the batch was certainly not
    delivered, its renewal counts from now, because the driver may have been paused before it sent
    the batch.
    """
    worker = link.worker
    link.paused_until_ms = ctx.now_ms + 1
    worker.last_renewal_sent_ms = ctx.now_ms if delivered else sent.renewal_before_ms
    for command in sent.commands:
        key = command_key(command)
        if command.kind in (CommandKind.STOP, CommandKind.RELEASE):
            enqueue(ctx, command.kind, worker.worker_id, key, at_once=False)
            continue
        gang = ctx.gangs_by_job_id.get(command.job_id)
        if gang is None or gang.attempt != command.attempt:
            continue
        task = gang.tasks[command.task_index]
        if command.kind in STARTING_KINDS:
            if not delivered and command.kind is CommandKind.RESERVE:
                task.phase = TaskPhase.PLANNED
                mark_task_settled(ctx, gang, task)
            take_down(ctx, gang, DownCause.NO_REPLY, f"{command.kind.value} at {worker.worker_id}")
            sync_row(ctx, gang)
            continue
        if task.phase not in SETTLED_TASK_PHASES:
            enqueue(ctx, command.kind, worker.worker_id, key, at_once=False)


def record_task_failure(ctx: ShardContext, gang: Gang, worker_id: str) -> None:
    """Records a failed task as evidence against its worker and its job."""
    job_id = gang.job_id
    record = gang.job.record
    others = [other for other in set(record.failed_workers) if other != worker_id]
    gang.job.record = replace(record, failed_workers=[*record.failed_workers, worker_id])
    evidence = ctx.evidence_by_worker_id.get(worker_id)
    if evidence is None:
        return
    if evidence.on_probation:
        _quarantine(ctx, worker_id, evidence)
        return
    for other in others:
        other_evidence = ctx.evidence_by_worker_id.get(other)
        if other_evidence is not None:
            other_evidence.failed_job_ids.pop(job_id, None)
    if others:
        return
    evidence.failed_job_ids[job_id] = None
    if len(evidence.failed_job_ids) + evidence.confirmed_failures > QUARANTINE_MIN_FAILED_JOBS:
        _quarantine(ctx, worker_id, evidence)


def record_task_success(ctx: ShardContext, worker_id: str) -> None:
    """Clears the evidence against a worker on which a task succeeded, and ends its probation."""
    evidence = ctx.evidence_by_worker_id.get(worker_id)
    if evidence is None:
        return
    evidence.failed_job_ids.clear()
    evidence.confirmed_failures = 0
    if evidence.on_probation:
        evidence.on_probation = False
        evidence.quarantines = 0
        worker = ctx.tables.workers_by_id.get(worker_id)
        if worker is not None and worker.health is WorkerHealth.PROBATION:
            set_health(ctx, worker, health_if_reachable(ctx, worker_id), "probation passed")


def record_job_finished(ctx: ShardContext, gang: Gang) -> None:
    """Confirms the evidence against workers on which a job failed before it finished elsewhere."""
    used = {task.worker_id for task in gang.tasks}
    for worker_id in set(gang.job.record.failed_workers) - used:
        evidence = ctx.evidence_by_worker_id.get(worker_id)
        if evidence is None or gang.job_id not in evidence.failed_job_ids:
            continue
        del evidence.failed_job_ids[gang.job_id]
        evidence.confirmed_failures += 1
        if len(evidence.failed_job_ids) + evidence.confirmed_failures >= QUARANTINE_MIN_FAILED_JOBS:
            _quarantine(ctx, worker_id, evidence)


def _quarantine(ctx: ShardContext, worker_id: str, evidence: WorkerEvidence) -> None:
    duration_ms = min(QUARANTINE_MAX_MS, QUARANTINE_MS << min(evidence.quarantines, 10))
    evidence.quarantines += 1
    evidence.quarantined_until_ms = ctx.now_ms + duration_ms
    evidence.on_probation = True
    evidence.failed_job_ids.clear()
    evidence.confirmed_failures = 0
    worker = ctx.tables.workers_by_id.get(worker_id)
    if worker is None:
        return
    if worker.health in (WorkerHealth.HEALTHY, WorkerHealth.PROBATION):
        set_health(ctx, worker, WorkerHealth.QUARANTINED, "tasks of several jobs failed on it")

    def begin_probation(_now_ms: int) -> None:
        if worker.health is WorkerHealth.QUARANTINED:
            set_health(ctx, worker, health_if_reachable(ctx, worker_id), "quarantine is over")

    ctx.timers.once(duration_ms, begin_probation, ctx.now_ms)
