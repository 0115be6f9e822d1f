"""Stops runs on draining executors that can't finish before the executor shuts down.

A draining executor announces how long it stays up at least.  Runs expected to be done by then
continue.  Of the others, those that save their progress are stopped shortly before the shutdown, so
that little work is lost and they are placed again at once.  Those that don't are stopped as soon as
it is clear that they can't finish, because all further work there would be lost; gangs are stopped
as a whole.  Without this, the runs would end unreported, and could be placed again only after their
leases have expired.

Targets executors that are withdrawn while they are fully loaded.
"""

from __future__ import annotations

from typing import Final

from jacinthreel_steps._context import Context
from jacinthreel_steps._model import StopCause, StopReason
from jacinthreel_steps._runs._lifecycle import stop_gang, stop_run
from jacinthreel_steps._tables import Executor, Job, Run, RunState, Step

CHECKPOINT_STOP_MARGIN_MS: Final = 700  # Time before the shutdown to stop runs that save progress.
LATE_END_TOLERANCE_MS: Final = 300  # A run estimated to end this much too late may still finish.
COMPLETE_PERCENT: Final = 100
MIN_PREDICTIVE_PERCENT: Final = 10  # With less progress, the model predicts better.


def stop_runs_on_draining_executors(context: Context, now_ms: int) -> None:
    """Stops runs whose executor shuts down before they can be done."""
    end_ms_by_gang: dict[tuple[str, int], float] = {}
    for executor in context.tables.executors_by_id.values():
        if executor.earliest_shutdown_ms is None:
            continue
        for run in list(executor.runs_by_task.values()):
            if run.state is RunState.RUNNING:
                _stop_unless_done_in_time(
                    context, executor, executor.earliest_shutdown_ms, run, now_ms, end_ms_by_gang
                )


def _stop_unless_done_in_time(
    context: Context,
    executor: Executor,
    earliest_shutdown_ms: int,
    run: Run,
    now_ms: int,
    end_ms_by_gang: dict[tuple[str, int], float],
) -> None:
    task_id = run.run_id.task
    job = context.tables.jobs_by_id.get(task_id.job_id)
    if job is None:
        return
    step = job.steps[task_id.step_index]
    if step.spec.saves_progress and now_ms < earliest_shutdown_ms - CHECKPOINT_STOP_MARGIN_MS:
        return
    end_ms = _estimate_end_ms(context, job, step, run, end_ms_by_gang)
    if end_ms <= max(earliest_shutdown_ms + LATE_END_TOLERANCE_MS, now_ms):
        return
    _stop_run_or_gang(context, executor, job, step, run, now_ms)


def _stop_run_or_gang(
    context: Context, executor: Executor, job: Job, step: Step, run: Run, now_ms: int
) -> None:
    context.log(
        "run_stopped_on_leaving_executor",
        {
            "job_id": job.job_id,
            "executor": executor.executor_id,
            "percent": run.percent,
            "leaves_in_ms": (executor.earliest_shutdown_ms or now_ms) - now_ms,
        },
    )
    reason = StopReason(StopCause.EXECUTOR_LEAVING, executor.executor_id)
    if step.spec.is_gang:
        stop_gang(context, step, run.run_id.number, reason, now_ms)
    else:
        stop_run(context, run, reason, now_ms)


def _estimate_end_ms(
    context: Context,
    job: Job,
    step: Step,
    run: Run,
    end_ms_by_gang: dict[tuple[str, int], float],
) -> float:
    """Estimates when the run, or its whole gang, will be done.

    Extrapolates the progress, or uses the predicted run time if there is too little progress.
    `end_ms_by_gang` holds the estimates of this pass by job id and step index.
    """
    if not step.spec.is_gang:
        return _estimate_run_end_ms(context, job, step, run)
    gang = (job.job_id, run.run_id.task.step_index)
    end_ms = end_ms_by_gang.get(gang)
    if end_ms is None:
        runs = [task.run for task in step.tasks if task.run is not None]
        end_ms = max(_estimate_run_end_ms(context, job, step, member) for member in runs)
        end_ms_by_gang[gang] = end_ms
    return end_ms


def _estimate_run_end_ms(context: Context, job: Job, step: Step, run: Run) -> float:
    if run.percent < MIN_PREDICTIVE_PERCENT:
        median_ms = context.run_times.median_ms(job.queue.name, step.spec.estimate_ms)
        return run.placed_ms + median_ms / context.speeds.speed(run.executor_id)
    ran_ms = run.progress_changed_ms - run.placed_ms
    remaining_ms = ran_ms * (COMPLETE_PERCENT - run.percent) / run.percent
    return run.progress_changed_ms + remaining_ms
