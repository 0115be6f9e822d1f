"""Moves running gangs off their workers for preemptions, closed zones and leaving workers.

A checkpointable gang is ordered to write a checkpoint, and stopped at the end of its grace period;
any other gang is stopped at once.  When a zone is closed, its gangs are stopped in the order of the
work they would lose, most first, as far as accelerators are free in open zones.  The others run
until the zone's drain ends, less the time for a checkpoint; so do gangs that are expected to finish
before the end of the drain.  When the zone is opened again, gangs that have not been ordered to
stop keep running, and no gang is moved back.
"""

from __future__ import annotations

from jacinthreel_common import CommandKind, ZoneOutage
from jacinthreel_jobs._context import ShardContext
from jacinthreel_jobs._gang import DownCause, Gang, GangPhase, TaskPhase
from jacinthreel_jobs._gang_down import take_down
from jacinthreel_jobs._gang_start import abort_if_worker_unusable, listed_workers_of
from jacinthreel_jobs._limits import DRAIN_CHECKPOINT_MS
from jacinthreel_jobs._planning import Preempt, PreemptMode
from jacinthreel_jobs._tables import WorkerHealth
from jacinthreel_jobs._worker_links import enqueue

UNSTARTED_GANG_PHASES = frozenset({GangPhase.RESERVING, GangPhase.STARTING})


def checkpoint_and_stop(
    ctx: ShardContext, gang: Gang, cause: DownCause, grace_ms: int, detail: str
) -> None:
    """Stops a running gang; a checkpointable one gets up to `grace_ms` for a checkpoint first.

    Does nothing if the gang is not in phase `running`.
    """
    if gang.phase is not GangPhase.RUNNING:
        return
    if not gang.job.record.spec.checkpointable or grace_ms <= 0:
        take_down(ctx, gang, cause, detail)
        return
    gang.phase = GangPhase.LEAVING
    gang.cause = cause
    gang.detail = detail
    ctx.log(
        "ask_checkpoint",
        job_id=gang.job_id,
        attempt=gang.attempt,
        reason=cause.value,
        grace_ms=grace_ms,
        detail=detail,
    )
    for task in gang.tasks:
        if task.phase is TaskPhase.RUNNING:
            enqueue(ctx, CommandKind.CHECKPOINT, task.worker_id, gang.key(task))

    def stop(_now_ms: int) -> None:
        if ctx.gangs_by_job_id.get(gang.job_id) is gang and gang.phase is GangPhase.LEAVING:
            take_down(ctx, gang, cause, f"{detail}; no checkpoint within the grace period")

    ctx.timers.once(grace_ms, stop, ctx.now_ms)


def preempt(ctx: ShardContext, decision: Preempt) -> str:
    """Carries out a preemption; returns the reason if it is refused, else an empty string."""
    gang = ctx.gangs_by_job_id.get(decision.job_id)
    if gang is None or gang.phase is not GangPhase.RUNNING:
        return "the gang is not running"
    if not ctx.lease_valid or ctx.tables.config is None:
        return "the lease is not valid or there is no configuration"
    gang.job.preempting_for = decision.for_job_id
    ctx.log(
        "preempt",
        job_id=decision.job_id,
        for_job_id=decision.for_job_id,
        mode=decision.mode.value,
        reason=decision.reason,
    )
    grace_ms = 0
    if decision.mode is PreemptMode.CHECKPOINT:
        grace_ms = ctx.tables.config.settings.checkpoint_grace_ms
    checkpoint_and_stop(ctx, gang, DownCause.PREEMPTED, grace_ms, f"for {decision.for_job_id}")
    return ""


def drain_closed_zones(ctx: ShardContext) -> None:
    """Drains zones that were closed, or whose outage changed, since the last call."""
    if ctx.tables.config is None:
        return
    outages = ctx.tables.config.zones_out
    for zone, outage in outages.items():
        if ctx.outages_by_zone.get(zone) != outage:
            drain_zone(ctx, zone, outage, list(ctx.gangs_by_job_id.values()))
    ctx.outages_by_zone = dict(outages)


def drain_recovered_gang(ctx: ShardContext, gang: Gang) -> None:
    """Applies closed zones and leaving workers to a gang that was recovered after a takeover."""
    if ctx.tables.config is None:
        return
    for zone, outage in ctx.tables.config.zones_out.items():
        drain_zone(ctx, zone, outage, [gang])
    for worker in listed_workers_of(ctx.tables, gang):
        if worker.health is WorkerHealth.DRAINING:
            move_gang_off_worker(ctx, gang, worker.worker_id)


def drain_zone(ctx: ShardContext, zone: str, outage: ZoneOutage, gangs: list[Gang]) -> None:
    """Stops the gangs of a closed zone that have not started, and drains the running ones."""
    running: list[Gang] = []
    for gang in gangs:
        if not any(worker.zone == zone for worker in listed_workers_of(ctx.tables, gang)):
            continue
        if gang.phase in UNSTARTED_GANG_PHASES:
            abort_if_worker_unusable(ctx, gang)
        elif gang.phase is GangPhase.RUNNING:
            running.append(gang)
    elapsed_ms = min(max(0, ctx.unix_ms - outage.since_unix_ms), outage.drain_ms)
    drain_left_ms = outage.drain_ms - elapsed_ms
    free = _count_free_accelerators(ctx)
    for gang in sorted(running, key=lambda gang: (-_work_at_risk_accelerator_s(gang), gang.job_id)):
        needed = gang.job.record.spec.accelerators
        can_move_now = needed <= free
        if _drain_gang(ctx, gang, zone, drain_left_ms, can_move_now):
            free -= needed


def _drain_gang(
    ctx: ShardContext, gang: Gang, zone: str, drain_left_ms: int, can_move_now: bool
) -> bool:
    """Drains one gang; returns whether its stop was ordered at once rather than scheduled."""
    detail = f"zone {zone} is closed"
    if not _finishes_within(gang, drain_left_ms) and (can_move_now or drain_left_ms == 0):
        checkpoint_and_stop(ctx, gang, DownCause.ZONE_OUT, drain_left_ms, detail)
        return True
    checkpoint_ms = min(DRAIN_CHECKPOINT_MS, drain_left_ms // 2)
    if not gang.job.record.spec.checkpointable:
        checkpoint_ms = 0

    def stop_before_drain_ends(_now_ms: int) -> None:
        if ctx.gangs_by_job_id.get(gang.job_id) is gang and ctx.is_zone_closed(zone):
            checkpoint_and_stop(ctx, gang, DownCause.ZONE_OUT, checkpoint_ms, detail)

    ctx.timers.once(drain_left_ms - checkpoint_ms, stop_before_drain_ends, ctx.now_ms)
    return False


def _finishes_within(gang: Gang, drain_left_ms: int) -> bool:
    job = gang.job
    if not job.expected_run_s:
        return False
    remaining_s = job.expected_run_s - job.reported_run_s
    return 0 < remaining_s * 1000 <= drain_left_ms


def _work_at_risk_accelerator_s(gang: Gang) -> float:
    """Returns the accelerator seconds that a stop without a checkpoint would lose."""
    job = gang.job
    lost_s = max(0.0, job.reported_run_s - job.reported_checkpoint_s)
    return lost_s * max(1, job.record.spec.accelerators)


def _count_free_accelerators(ctx: ShardContext) -> int:
    """Counts the free accelerators on healthy workers of open zones."""
    free = 0
    for worker in ctx.tables.workers_by_id.values():
        if worker.health is WorkerHealth.HEALTHY and not ctx.is_zone_closed(worker.zone):
            free += worker.free_accelerators
    return free


def move_gang_off_worker(ctx: ShardContext, gang: Gang, worker_id: str) -> None:
    """Moves a gang off a leaving worker; a running gang that can't checkpoint may finish."""
    if gang.phase in UNSTARTED_GANG_PHASES:
        abort_if_worker_unusable(ctx, gang)
        return
    if gang.job.record.spec.checkpointable and ctx.tables.config is not None:
        grace_ms = ctx.tables.config.settings.checkpoint_grace_ms
        detail = f"worker {worker_id} is leaving"
        checkpoint_and_stop(ctx, gang, DownCause.WORKER_LEAVING, grace_ms, detail)
