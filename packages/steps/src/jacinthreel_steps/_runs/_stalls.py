"""Detects executors whose runs make no progress.

A run is stalled if its executor keeps reporting it and its progress has not changed for
`STALL_LIMIT_MS`, or longer for tasks with a long estimate.  A gang member that has completed its
share waits for the others and is not stalled.  An executor on which every run is stalled is avoided
for a while, and its runs are stopped so that they are placed elsewhere.
"""

from __future__ import annotations

from typing import Final

from jacinthreel_steps._context import Context
from jacinthreel_steps._executors._executor_health import STALLED_AVOID_MS, avoid_executor
from jacinthreel_steps._model import StopCause, StopReason
from jacinthreel_steps._runs._lifecycle import stop_run
from jacinthreel_steps._tables import Executor, Run, RunState

STALL_LIMIT_MS: Final = 1_500  # More than the time between two reports.
GANG_SHARE_DONE_PERCENT: Final = 99
# Progress is reported in whole percent, so it changes rarely for long tasks on slow executors.
STALL_ESTIMATE_FRACTION: Final = 0.25


def stop_stalled_runs(context: Context, now_ms: int) -> None:
    """Avoids executors on which every run is stalled, and stops their runs."""
    for executor in context.tables.executors_by_id.values():
        if not executor.runs_by_task or executor.health.avoid_until_ms > now_ms:
            continue
        runs = [run for run in executor.runs_by_task.values() if run.state is RunState.RUNNING]
        if not runs or not all(_is_stalled(context, executor, run) for run in runs):
            continue
        avoid_executor(executor, STALLED_AVOID_MS, "no progress", now_ms, context.log)
        reason = StopReason(StopCause.EXECUTOR_STALLED, executor.executor_id)
        for run in runs:
            stop_run(context, run, reason, now_ms)


def _is_stalled(context: Context, executor: Executor, run: Run) -> bool:
    job = context.tables.jobs_by_id.get(run.run_id.task.job_id)
    if job is None or run.start_confirmed_ms is None:
        return False
    spec = job.steps[run.run_id.task.step_index].spec
    if spec.is_gang and run.percent >= GANG_SHARE_DONE_PERCENT:
        return False
    limit_ms = max(STALL_LIMIT_MS, STALL_ESTIMATE_FRACTION * spec.estimate_ms)
    return executor.last_report_ms - run.progress_changed_ms > limit_ms
