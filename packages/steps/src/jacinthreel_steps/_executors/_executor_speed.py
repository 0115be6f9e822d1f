"""Measures the speed of executors by the progress of tasks of the same step.

Phases: reports and ends of runs give each task a rate, its progress divided by its run time.  A few
times a second the rates are fitted (`_speed_model`), which gives each executor a long-term speed.
In addition, the progress since an earlier report is compared with the expected rate, as evidence
for or against a slow executor (`_slow_evidence`).

Tasks that resumed from a checkpoint or were adopted from an earlier owner give no rate, because the
time at which they reached a given progress is unknown.  Tasks on another rack than that of their
data give no rate either.

Targets executors of different speeds: the slowest member determines when a gang is done, and the
other members hold their capacity until then.
"""

from __future__ import annotations

import math
from typing import Final

from jacinthreel_steps._context import Context
from jacinthreel_steps._executors._slow_evidence import expected_speed, record_rate_ratio
from jacinthreel_steps._tables import Executor, Run, RunState, Step

MIN_AGE_MS: Final = 700
MIN_PERCENT: Final = 15
MAX_PERCENT: Final = 98  # Above this, a gang member waits for the rest of its gang.
CLASS_FACTOR: Final = 1.2  # Ratio between the speeds of adjacent speed classes.
MIN_SPAN_MS: Final = 600  # Minimum time between the reports used to measure the pace.
# Minimum expected progress between these reports; progress is reported in whole percent.
MIN_SPAN_PERCENT: Final = 5


def observe_progress(context: Context, executor: Executor, run: Run, percent: int) -> None:
    """Records the reported progress of a run: its rate, and its pace since an earlier report."""
    if run.state is not RunState.RUNNING or not _is_comparable(context, executor, run):
        return
    age_ms = executor.last_report_ms - run.placed_ms
    if age_ms >= MIN_AGE_MS and MIN_PERCENT <= percent <= MAX_PERCENT:
        _observe_rate(context, executor, run, percent / age_ms)
    if not run.span_start_ms:
        _begin_pace_span(executor, run, percent)
        return
    passed_ms = executor.last_report_ms - run.span_start_ms
    if passed_ms < MIN_SPAN_MS:
        return
    usual_rate = context.speeds.usual_rate(_step_name(run))
    if usual_rate is None or percent > MAX_PERCENT:
        _begin_pace_span(executor, run, percent)
        return
    expected_percent = usual_rate * expected_speed(context, executor) * passed_ms
    if expected_percent < MIN_SPAN_PERCENT:
        return
    ratio = (percent - run.span_start_percent) / expected_percent
    _begin_pace_span(executor, run, percent)
    record_rate_ratio(context, executor, run, ratio, True, executor.last_report_ms)


def observe_completed_run(
    context: Context, executor: Executor | None, run: Run, now_ms: int
) -> None:
    """Records the rate of a successful run; skips gangs because their members end together."""
    age_ms = now_ms - run.placed_ms
    if executor is None or age_ms < MIN_AGE_MS or not _is_comparable(context, executor, run):
        return
    if not _step(context, run).spec.is_gang:
        _observe_rate(context, executor, run, 100 / age_ms)


def update_speed_classes(context: Context) -> None:
    """Fits the newly recorded rates and updates each executor's speed class."""
    if not context.speeds.fit():
        return
    for executor in context.tables.executors_by_id.values():
        speed = context.speeds.speed(executor.executor_id)
        speed_class = round(math.log(speed) / math.log(CLASS_FACTOR))
        if speed_class == executor.health.speed_class:
            continue
        executor.health.speed_class = speed_class
        fields = {
            "executor": executor.executor_id,
            "speed": round(speed, 2),
            "speed_class": speed_class,
        }
        context.log("executor_speed_changed", fields)


def _begin_pace_span(executor: Executor, run: Run, percent: int) -> None:
    run.span_start_ms = executor.last_report_ms
    run.span_start_percent = percent


def _is_comparable(context: Context, executor: Executor, run: Run) -> bool:
    """Whether the run started without a checkpoint, on the rack of its data if it names one."""
    data_rack = _step(context, run).spec.rack_near_data
    return run.is_from_zero and (not data_rack or data_rack == executor.listing.rack)


def _observe_rate(context: Context, executor: Executor, run: Run, rate: float) -> None:
    task_index = run.run_id.task.task_index
    context.speeds.observe(_step_name(run), task_index, executor.executor_id, rate)


def _step(context: Context, run: Run) -> Step:
    task_id = run.run_id.task
    return context.tables.jobs_by_id[task_id.job_id].steps[task_id.step_index]


def _step_name(run: Run) -> tuple[str, int]:
    return (run.run_id.task.job_id, run.run_id.task.step_index)
