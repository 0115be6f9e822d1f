"""Detects slow executors by comparing the members of gangs, which do equal work.

A member's rate is its progress divided by its age at its executor's last report.  If the rate is
less than `SLOW_RATE_RATIO` of the gang's median, the member's executor is avoided for a while.  The
slowest member determines when a gang is done, so a gang of priority 0 is stopped and placed again,
at most once, if that ends it much sooner.

Gangs that resumed from a checkpoint or were adopted from an earlier owner are ignored, because the
time at which they reached a given progress is unknown.

Targets executors that run several times slower than others but seem healthy: without this, each of
them delays every urgent gang that has a member there.
"""

from __future__ import annotations

from dataclasses import dataclass
from statistics import median
from typing import Final

from jacinthreel_steps._context import Context
from jacinthreel_steps._executors._executor_health import avoid_executor
from jacinthreel_steps._runs._lifecycle import stop_gang
from jacinthreel_steps._tables import Executor, Job, Run, RunState, Step

SLOW_RATE_RATIO: Final = 0.4
MIN_MEMBERS: Final = 3
MIN_AGE_MS: Final = 500
MIN_PERCENT: Final = 15
SLOW_AVOID_MS: Final = 6_000
RESTART_COST_MS: Final = 600
MIN_MOVE_SPEEDUP: Final = 1.5  # Ratio of the gang's remaining time to that after a restart.


@dataclass(frozen=True, slots=True)
class _Member:
    """A gang member's run, its executor, and its rate in percent per millisecond."""

    run: Run
    executor: Executor
    rate: float


def avoid_slow_executors(context: Context, now_ms: int) -> None:
    """Avoids executors on which gang members lag, and stops urgent gangs to move them elsewhere."""
    for job in list(context.tables.open_jobs_by_id.values()):
        for step in job.steps:
            if step.spec.is_gang and len(step.tasks) >= MIN_MEMBERS and not step.is_done:
                _check_gang(context, job, step, now_ms)


def _check_gang(context: Context, job: Job, step: Step, now_ms: int) -> None:
    members = _comparable_members(context, step)
    if len(members) < len(step.tasks):
        return
    if median(member.run.percent for member in members) < MIN_PERCENT:
        return
    median_rate = median(member.rate for member in members)
    slow = [member for member in members if member.rate < SLOW_RATE_RATIO * median_rate]
    if not slow:
        return
    for member in slow:
        avoid_executor(member.executor, SLOW_AVOID_MS, "slower than its gang", now_ms, context.log)
    if job.record.queue.priority > 0 or step.was_moved:
        return
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
    step.was_moved = True
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
    stop_gang(context, step, slowest.run.run_id.number, now_ms)


def _comparable_members(context: Context, step: Step) -> list[_Member]:
    """Returns the running members that started without a checkpoint `MIN_AGE_MS` ago or earlier."""
    members: list[_Member] = []
    for task in step.tasks:
        run = task.run
        if run is None or run.state is not RunState.RUNNING or not run.is_from_zero:
            continue
        executor = context.tables.executors_by_id.get(run.executor_id)
        if executor is None or executor.last_report_ms - run.placed_ms < MIN_AGE_MS:
            continue
        # Progress of 0 counts as one percent, so that the rate is positive.
        rate = max(1, run.percent) / (executor.last_report_ms - run.placed_ms)
        members.append(_Member(run, executor, rate))
    return members
