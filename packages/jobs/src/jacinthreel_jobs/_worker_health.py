"""What the owner thinks of each worker, and what follows for the tasks there.

A worker that does not answer becomes `suspect`, and takes nothing new.  When it has not answered
for `SILENCE_AFTER_MS` its gangs are taken down and it gets no more renewals.  Its tasks are known
to be gone once every lease that may have been renewed has lapsed: counted from the last renewal
that may have arrived, and for a worker that was never reached in this epoch also from the takeover
with the time for which the former owner may have gone on renewing.

A failed task speaks against its worker and against its job.  It counts against the worker only
while the job has failed nowhere else, and is confirmed when the job finishes elsewhere; it counts
against the job only while the worker is not in quarantine.
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

LAPSE_MS = TASK_LEASE_MS + DELIVERY_LIMIT_MS
UNREACHED_LAPSE_MS = OUTAGE_RENEWAL_LIMIT_MS + LAPSE_MS


def resting_health(ctx: ShardContext, worker_id: str) -> WorkerHealth:
    """The health of a worker that answers."""
    evidence = ctx.evidence_by_id[worker_id]
    if evidence.leaving:
        return WorkerHealth.DRAINING
    if ctx.now_ms < evidence.quarantined_until_ms:
        return WorkerHealth.QUARANTINED
    if evidence.on_probation:
        return WorkerHealth.PROBATION
    return WorkerHealth.HEALTHY


def set_health(ctx: ShardContext, worker: WorkerEntry, health: WorkerHealth, why: str) -> None:
    """Changes a worker's health and logs it."""
    if worker.health is health:
        return
    ctx.log("worker_health", worker_id=worker.worker_id, health=health.value, reason=why)
    worker.health = health
    ctx.request_plan()


def beat(ctx: ShardContext, link: WorkerLink) -> None:
    """The heartbeat of one worker: judges its silence and renews its leases."""
    worker = link.worker
    if not ctx.owns or ctx.links_by_id.get(worker.worker_id) is not link:
        return
    sent = link.outstanding
    if sent is not None and ctx.now_ms - sent.sent_ms >= BATCH_TIMEOUT_MS:
        link.outstanding = None
        batch_lost(ctx, link, sent, delivered=True)
    age_ms = ctx.now_ms - worker.last_reply_ms
    if age_ms >= SUSPECT_AFTER_MS and worker.health is not WorkerHealth.LOST:
        set_health(ctx, worker, WorkerHealth.SUSPECT, "no answer")
    if age_ms < RENEWAL_STOP_AFTER_MS:
        ctx.due_links[worker.worker_id] = link
        return
    _beat_silent(ctx, link)


def _beat_silent(ctx: ShardContext, link: WorkerLink) -> None:
    worker = link.worker
    link.sending_suspended = True
    for gang in gangs_on(ctx, worker):
        take_down(ctx, gang, DownCause.WORKER_LOST, f"worker {worker.worker_id} does not answer")
    if ctx.now_ms < worker.last_renewal_sent_ms + LAPSE_MS:
        return
    reached = worker.confirmed_epoch == ctx.epoch
    if reached or ctx.now_ms >= ctx.ownership_gained_ms + UNREACHED_LAPSE_MS:
        _lapse(ctx, link)
    if ctx.now_ms >= link.paused_until_ms:
        link.paused_until_ms = ctx.now_ms + LOST_PROBE_PERIOD_MS
        send_batch(ctx, link)


def _lapse(ctx: ShardContext, link: WorkerLink) -> None:
    """All leases on the worker have lapsed, so nothing of ours runs there."""
    worker = link.worker
    set_health(ctx, worker, WorkerHealth.LOST, "all task leases have lapsed")
    for key in list(worker.held):
        gang = ctx.gangs_by_id.get(key[0])
        if gang is None or gang.attempt != key[1]:
            worker.free(key)
            continue
        mark_task_settled(ctx, gang, gang.tasks[key[2]])
        sync_row(ctx, gang)


def gangs_on(ctx: ShardContext, worker: WorkerEntry) -> list[Gang]:
    """The gangs that hold something on a worker, each once."""
    by_id: dict[str, Gang] = {}
    for job_id, attempt, _index in worker.held:
        gang = ctx.gangs_by_id.get(job_id)
        if gang is not None and gang.attempt == attempt:
            by_id[job_id] = gang
    return list(by_id.values())


def worker_answered(ctx: ShardContext, link: WorkerLink) -> None:
    """Notes an answer: the worker is reachable, and its guard knows this epoch."""
    worker = link.worker
    worker.last_reply_ms = ctx.now_ms
    worker.last_renewal_sent_ms = ctx.now_ms
    worker.confirmed_epoch = ctx.epoch
    link.sending_suspended = False
    link.paused_until_ms = 0
    if worker.health in (WorkerHealth.SUSPECT, WorkerHealth.LOST):
        set_health(ctx, worker, resting_health(ctx, worker.worker_id), "answers")


def batch_lost(ctx: ShardContext, link: WorkerLink, sent: SentBatch, delivered: bool) -> None:
    """A batch got no answer: what it could have started is doubtful; the rest goes out again.

    Its renewal counts from now, because the driver may have been paused before it sent the batch.
    """
    worker = link.worker
    link.paused_until_ms = ctx.now_ms + 1
    worker.last_renewal_sent_ms = ctx.now_ms if delivered else sent.renewal_before_ms
    for command in sent.commands:
        key = command_key(command)
        if command.kind in (CommandKind.STOP, CommandKind.RELEASE):
            enqueue(ctx, command.kind, worker.worker_id, key, at_once=False)
            continue
        gang = ctx.gangs_by_id.get(command.job_id)
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


def task_failed_on(ctx: ShardContext, gang: Gang, worker_id: str) -> None:
    """Weighs a failed task against its worker and its job."""
    job_id = gang.job_id
    record = gang.job.record
    others = [other for other in set(record.failed_workers) if other != worker_id]
    gang.job.record = replace(record, failed_workers=[*record.failed_workers, worker_id])
    evidence = ctx.evidence_by_id.get(worker_id)
    if evidence is None:
        return
    if evidence.on_probation:
        _quarantine(ctx, worker_id, evidence)
        return
    for other in others:
        withdrawn = ctx.evidence_by_id.get(other)
        if withdrawn is not None:
            withdrawn.failed_job_ids.pop(job_id, None)
    if others:
        return
    evidence.failed_job_ids[job_id] = None
    if len(evidence.failed_job_ids) + evidence.confirmed_failures > QUARANTINE_MIN_FAILED_JOBS:
        _quarantine(ctx, worker_id, evidence)


def task_finished_on(ctx: ShardContext, worker_id: str) -> None:
    """A task that succeeds clears its worker."""
    evidence = ctx.evidence_by_id.get(worker_id)
    if evidence is None:
        return
    evidence.failed_job_ids.clear()
    evidence.confirmed_failures = 0
    if evidence.on_probation:
        evidence.on_probation = False
        evidence.quarantines = 0
        worker = ctx.tables.workers_by_id.get(worker_id)
        if worker is not None and worker.health is WorkerHealth.PROBATION:
            set_health(ctx, worker, resting_health(ctx, worker_id), "probation passed")


def job_finished(ctx: ShardContext, gang: Gang) -> None:
    """A job that finishes confirms the evidence against the workers on which it failed."""
    used = {task.worker_id for task in gang.tasks}
    for worker_id in set(gang.job.record.failed_workers) - used:
        evidence = ctx.evidence_by_id.get(worker_id)
        if evidence is None or gang.job_id not in evidence.failed_job_ids:
            continue
        del evidence.failed_job_ids[gang.job_id]
        evidence.confirmed_failures += 1
        if len(evidence.failed_job_ids) + evidence.confirmed_failures >= QUARANTINE_MIN_FAILED_JOBS:
            _quarantine(ctx, worker_id, evidence)


def _quarantine(ctx: ShardContext, worker_id: str, evidence: WorkerEvidence) -> None:
    pause_ms = min(QUARANTINE_MAX_MS, QUARANTINE_MS << min(evidence.quarantines, 10))
    evidence.quarantines += 1
    evidence.quarantined_until_ms = ctx.now_ms + pause_ms
    evidence.on_probation = True
    evidence.failed_job_ids.clear()
    evidence.confirmed_failures = 0
    worker = ctx.tables.workers_by_id.get(worker_id)
    if worker is None:
        return
    if worker.health in (WorkerHealth.HEALTHY, WorkerHealth.PROBATION):
        set_health(ctx, worker, WorkerHealth.QUARANTINED, "fails tasks of several jobs")

    def begin_probation(_now_ms: int) -> None:
        if worker.health is WorkerHealth.QUARANTINED:
            set_health(ctx, worker, resting_health(ctx, worker_id), "quarantine is over")

    ctx.timers.once(pause_ms, begin_probation, ctx.now_ms)
