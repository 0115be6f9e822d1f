"""How fast executors are: what tasks of one step show, and what follows for executors.

Phases: reports and ends give tasks a rate, their progress for the time that they have run.  A few
times a second the rates are fitted (`_speed_model`), and each executor gets its lasting speed.
Beside that, the progress since the last report is compared with what the task should reach there:
an executor on which tasks suddenly make a fraction of it is avoided for a while.

Tasks that resumed or were adopted give no rate, because when they had how much progress isn't
known; nor do tasks away from the rack of their data.

Answers the load of executors of different speeds: a gang is as late as its slowest member, and the
others hold their room for it meanwhile.
"""

from __future__ import annotations

import math
from statistics import median
from typing import Final

from jacinthreel_steps._context import Context
from jacinthreel_steps._executor_health import avoid
from jacinthreel_steps._tables import Executor, Run, RunState, Step

MIN_AGE_MS: Final = 700
MIN_PERCENT: Final = 15
MAX_PERCENT: Final = 98  # A task that has done its share waits for the others of its gang.
CLASS_FACTOR: Final = 1.2  # Speeds are told apart in steps of this factor.
MIN_SPAN_MS: Final = 600  # Between reports, for the progress since the last one to tell something.
SLOWED_SHARE: Final = 0.4
SLOWED_AVOID_MS: Final = 3_000


def note_progress(context: Context, executor: Executor, run: Run, percent: int) -> float | None:
    """Takes the progress that a report tells; returns its share of what was to be expected.

    None where that can't be said.
    """
    if run.state is not RunState.RUNNING or not _is_comparable(context, executor, run):
        return None
    age_ms = executor.heard_ms - run.placed_ms
    if age_ms >= MIN_AGE_MS and MIN_PERCENT <= percent <= MAX_PERCENT:
        _observe(context, executor, run, percent / age_ms)
    if not run.span_ms:
        _begin_span(executor, run, percent)
        return None
    passed_ms = executor.heard_ms - run.span_ms
    if passed_ms < MIN_SPAN_MS:
        return None
    pace = (percent - run.span_percent) / passed_ms
    _begin_span(executor, run, percent)
    expected = context.speeds.expected_rate(_step_name(run), executor.executor_id)
    if expected is None or percent > MAX_PERCENT:
        return None
    return pace / expected


def note_shares(context: Context, executor: Executor, shares: list[float], now_ms: int) -> None:
    """Avoids an executor on which tasks make a fraction of the progress that they should."""
    if not shares or median(shares) >= SLOWED_SHARE:
        return
    avoid(executor, SLOWED_AVOID_MS, "slowed down", now_ms, context.log)


def note_end(context: Context, executor: Executor | None, run: Run, now_ms: int) -> None:
    """Takes the time of a run that was done; members of a gang end together and tell nothing."""
    age_ms = now_ms - run.placed_ms
    if executor is None or age_ms < MIN_AGE_MS or not _is_comparable(context, executor, run):
        return
    if not _step(context, run).spec.is_gang:
        _observe(context, executor, run, 100 / age_ms)


def learn_speeds(context: Context) -> None:
    """Fits the rates that are new, and gives each executor its speed."""
    if not context.speeds.fit():
        return
    for executor in context.tables.executors_by_id.values():
        speed = context.speeds.speed(executor.executor_id)
        found = round(math.log(speed) / math.log(CLASS_FACTOR))
        if found == executor.health.speed_class:
            continue
        executor.health.speed_class = found
        fields = {
            "executor": executor.executor_id,
            "speed": round(speed, 2),
            "speed_class": found,
        }
        context.log("executor_speed_changed", fields)


def _begin_span(executor: Executor, run: Run, percent: int) -> None:
    run.span_ms = executor.heard_ms
    run.span_percent = percent


def _is_comparable(context: Context, executor: Executor, run: Run) -> bool:
    near = _step(context, run).spec.rack_near_data
    return run.is_from_zero and (not near or near == executor.listing.rack)


def _observe(context: Context, executor: Executor, run: Run, rate: float) -> None:
    index = run.run_id.task.task_index
    context.speeds.observe(_step_name(run), index, executor.executor_id, rate)


def _step(context: Context, run: Run) -> Step:
    name = run.run_id.task
    return context.tables.jobs_by_id[name.job_id].steps[name.step_index]


def _step_name(run: Run) -> tuple[str, int]:
    return (run.run_id.task.job_id, run.run_id.task.step_index)
