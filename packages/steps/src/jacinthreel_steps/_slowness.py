"""Finding slow executors by gangs: members do equal work, so one that lags shows its executor.

A member whose progress is less than `SLOW_SHARE` of its gang's median, both for the time until
their executors last reported, makes its executor be avoided for a while.  A gang is as late as its
slowest member, so a gang of priority 0 is stopped, once, and placed again if that ends it sooner.

Gangs that resumed or were adopted tell nothing: when they had how much progress isn't known.

Answers the load of executors that run several times slower than others and look healthy: left
alone, each makes every urgent gang late that has a member there.
"""

from __future__ import annotations

from dataclasses import dataclass
from statistics import median
from typing import Final

from jacinthreel_steps._context import Context
from jacinthreel_steps._executor_health import avoid
from jacinthreel_steps._lifecycle import stop_gang
from jacinthreel_steps._tables import Executor, Job, Run, RunState, Step

SLOW_SHARE: Final = 0.4
MIN_MEMBERS: Final = 3
MIN_AGE_MS: Final = 500
MIN_PERCENT: Final = 15
SLOW_AVOID_MS: Final = 6_000
RESTART_COST_MS: Final = 600
MOVE_GAIN: Final = 1.5  # How many times sooner the gang has to end elsewhere.


@dataclass(frozen=True, slots=True)
class _Member:
    """A run, its executor, and its progress in percent a millisecond."""

    run: Run
    executor: Executor
    rate: float


def note_slow_executors(context: Context, now_ms: int) -> None:
    """Avoids executors on which members of gangs lag, and moves urgent gangs off them."""
    for job in list(context.tables.open_jobs_by_id.values()):
        for step in job.steps:
            if step.spec.is_gang and len(step.tasks) >= MIN_MEMBERS and not step.is_done:
                _judge(context, job, step, now_ms)


def _judge(context: Context, job: Job, step: Step, now_ms: int) -> None:
    members = _members(context, step)
    if len(members) < len(step.tasks):
        return
    if median(member.run.percent for member in members) < MIN_PERCENT:
        return
    usual_rate = median(member.rate for member in members)
    slow = [member for member in members if member.rate < SLOW_SHARE * usual_rate]
    if not slow:
        return
    for member in slow:
        avoid(member.executor, SLOW_AVOID_MS, "slow beside its gang", now_ms, context.log)
    if job.record.queue.priority > 0 or step.was_moved:
        return
    slowest = min(slow, key=lambda member: member.rate)
    left_ms = (100 - slowest.run.percent) / slowest.rate
    again_ms = RESTART_COST_MS + 100 / usual_rate
    if left_ms > MOVE_GAIN * again_ms:
        _move(context, job, step, slowest, round(left_ms), round(again_ms), now_ms)


def _move(
    context: Context,
    job: Job,
    step: Step,
    slowest: _Member,
    left_ms: int,
    again_ms: int,
    now_ms: int,
) -> None:
    step.was_moved = True
    context.log(
        "gang_moved",
        {
            "job_id": job.job_id,
            "executor": slowest.executor.executor_id,
            "percent": slowest.run.percent,
            "left_ms": left_ms,
            "again_ms": again_ms,
        },
    )
    stop_gang(context, step, slowest.run.run_id.number, now_ms)


def _members(context: Context, step: Step) -> list[_Member]:
    """The members that run, began from nothing, and have been reported for long enough."""
    members: list[_Member] = []
    for task in step.tasks:
        run = task.run
        if run is None or run.state is not RunState.RUNNING or not run.is_from_zero:
            continue
        executor = context.tables.executors_by_id.get(run.executor_id)
        if executor is None or executor.heard_ms - run.placed_ms < MIN_AGE_MS:
            continue
        # A member without progress counts as one percent.
        rate = max(1, run.percent) / (executor.heard_ms - run.placed_ms)
        members.append(_Member(run, executor, rate))
    return members
