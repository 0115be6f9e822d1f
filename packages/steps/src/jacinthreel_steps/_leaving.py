"""What still runs on executors that are about to leave.

A draining executor says how long it stays at least, and often stays longer.  Shortly before that
time is up, runs that save their progress and can't be done by then are stopped, so that they are
placed again at once; left alone, they would end without a word, and their leases would have to
lapse first.  Runs that save nothing are left to their luck: stopped, they would lose all for sure.
"""

from __future__ import annotations

from typing import Final

from jacinthreel_steps._context import Context
from jacinthreel_steps._lifecycle import stop_run
from jacinthreel_steps._tables import Executor, Run, RunState

LEAVE_MARGIN_MS: Final = 700
WHOLE_PERCENT: Final = 100


def stop_leaving(context: Context, now_ms: int) -> None:
    """Stops runs whose executor leaves before they are done."""
    for executor in context.tables.executors_by_id.values():
        leave_ms = executor.leave_ms
        if leave_ms is None or now_ms < leave_ms - LEAVE_MARGIN_MS:
            continue
        for run in list(executor.runs_by_task.values()):
            if run.state is not RunState.RUNNING or not _saves_progress(context, run):
                continue
            if not _ends_before(run, leave_ms, now_ms):
                _stop(context, executor, run, now_ms)


def _stop(context: Context, executor: Executor, run: Run, now_ms: int) -> None:
    context.log(
        "run_stopped_on_leaving_executor",
        {
            "job_id": run.run_id.task.job_id,
            "executor": executor.executor_id,
            "percent": run.percent,
        },
    )
    stop_run(context, run, now_ms)


def _saves_progress(context: Context, run: Run) -> bool:
    job = context.tables.jobs_by_id.get(run.run_id.task.job_id)
    return job is not None and job.steps[run.run_id.task.step_index].spec.saves_progress


def _ends_before(run: Run, leave_ms: int, now_ms: int) -> bool:
    """Whether the run is done by then, going by its progress so far."""
    if run.percent <= 0:
        return False
    ran_ms = run.changed_ms - run.placed_ms
    left_ms = ran_ms * (WHOLE_PERCENT - run.percent) / run.percent
    return run.changed_ms + left_ms <= max(leave_ms, now_ms)
