"""Detects lagging gang members by comparing the members, which do equal work, and moves gangs.

A member's rate is its progress divided by its age at its executor's last report.  Its ratio to the
gang's median rate, corrected by the speeds of the executors, is evidence for or against a slow
executor (`_slow_evidence`).  The slowest member determines when a gang is done, so a gang of
priority 0 is stopped and placed on other executors, at most once, if that ends it much sooner.  One
lagging member suffices, because the move costs little compared with waiting for it.

Gangs that resumed from a checkpoint or were adopted from an earlier owner are ignored, because the
time at which they reached a given progress is unknown, as are gangs of which only a part is on the
rack of its data.

Targets executors that run several times slower than others but seem healthy: without this, each of
them delays every urgent gang that has a member there.
"""

from __future__ import annotations

from dataclasses import dataclass
from statistics import median
from typing import Final

from jacinthreel_steps._context import Context, run_name
from jacinthreel_steps._executors._slow_evidence import (
    LAGGING_RATE_RATIO,
    apply_new_verdicts,
    expected_speed,
    record_rate_ratio,
)
from jacinthreel_steps._model import StopCause, StopReason
from jacinthreel_steps._runs._lifecycle import stop_gang
from jacinthreel_steps._tables import Executor, GangMove, Job, Run, RunState, Step

MIN_MEMBERS: Final = 3
MIN_AGE_MS: Final = 500
MIN_PERCENT: Final = 15
RESTART_COST_MS: Final = 600
MIN_MOVE_SPEEDUP: Final = 1.5  # Ratio of the gang's remaining time to that after a restart.


@dataclass(frozen=True, slots=True)
class _Member:
    """A gang member's run, its executor, its rate in percent per millisecond and expected speed."""

    run: Run
    executor: Executor
    rate: float
    speed: float


def check_gangs(context: Context, now_ms: int) -> None:
    """Records which gang members lag, and stops urgent gangs to move them elsewhere."""
    for job in list(context.tables.open_jobs_by_id.values()):
        for step in job.steps:
            if step.spec.is_gang and len(step.tasks) >= MIN_MEMBERS and not step.is_done:
                _check_gang(context, job, step, now_ms)
    for executor in context.tables.executors_by_id.values():
        apply_new_verdicts(context, executor, now_ms)


def _check_gang(context: Context, job: Job, step: Step, now_ms: int) -> None:
    members = _comparable_members(context, step)
    if len(members) < len(step.tasks):
        return
    if median(member.run.percent for member in members) < MIN_PERCENT:
        return
    median_rate = median(member.rate / member.speed for member in members)
    slow: list[_Member] = []
    for member in members:
        ratio = member.rate / member.speed / median_rate
        record_rate_ratio(context, member.executor, member.run, ratio, False, now_ms)
        if ratio < LAGGING_RATE_RATIO:
            slow.append(member)
    if not slow:
        return
    if job.queue.priority > 0 or step.move is not None:
        return
    if any(member.executor.listing.service != job.queue.service for member in members):
        return  # The gang would move to another service, about whose executors this tells nothing.
    slowest = min(slow, key=lambda member: member.rate)
    remaining_ms = (100 - slowest.run.percent) / slowest.rate
    restart_ms = RESTART_COST_MS + 100 / median_rate
    if remaining_ms > MIN_MOVE_SPEEDUP * restart_ms:
        _stop_to_move(context, job, step, slowest, round(remaining_ms), round(restart_ms), now_ms)


def _stop_to_move(
    context: Context,
    job: Job,
    step: Step,
    slowest: _Member,
    remaining_ms: int,
    restart_ms: int,
    now_ms: int,
) -> None:
    run_id = slowest.run.run_id
    step.move = GangMove(run_id.task.task_index, slowest.run.executor_id, run_id.number, now_ms)
    context.log(
        "gang_moved",
        {
            "job_id": job.job_id,
            "executor": slowest.executor.executor_id,
            "percent": slowest.run.percent,
            "left_ms": remaining_ms,
            "again_ms": restart_ms,
        },
    )
    reason = StopReason(StopCause.GANG_MOVED, run_name(run_id))
    stop_gang(context, step, run_id.number, reason, now_ms)


def _comparable_members(context: Context, step: Step) -> list[_Member]:
    """Returns the running members that started without a checkpoint `MIN_AGE_MS` ago or earlier.

    Returns none if only some of them are on the rack of the step's data.
    """
    members: list[_Member] = []
    is_near_values: set[bool] = set()
    for task in step.tasks:
        run = task.run
        if run is None or run.state is not RunState.RUNNING or not run.is_from_zero:
            continue
        executor = context.tables.executors_by_id.get(run.executor_id)
        if executor is None or executor.last_report_ms - run.placed_ms < MIN_AGE_MS:
            continue
        # Progress of 0 counts as one percent, so that the rate is positive.
        rate = max(1, run.percent) / (executor.last_report_ms - run.placed_ms)
        members.append(_Member(run, executor, rate, expected_speed(context, executor)))
        is_near_values.add(executor.listing.rack == step.spec.rack_near_data)
    return members if not step.spec.rack_near_data or len(is_near_values) == 1 else []
