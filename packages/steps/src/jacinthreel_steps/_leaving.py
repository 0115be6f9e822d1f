"""What still runs on executors that are about to leave.

A draining executor says how long it stays at least.  Runs that will be done by then are left alone.
Of the others, those that save their progress are stopped shortly before, so that little is lost and
they are placed again at once.  Those that save nothing are stopped as soon as it shows, because
all that they still do there is lost as well, and a gang as a whole.  Left alone, runs would end
without a word, and their leases would have to lapse before they are placed again.

Answers the load of executors that are taken away while they are full.
"""

from __future__ import annotations

from typing import Final

from jacinthreel_steps._context import Context
from jacinthreel_steps._lifecycle import stop_gang, stop_run
from jacinthreel_steps._tables import Executor, Job, Run, RunState, Step

LEAVE_MARGIN_MS: Final = 700
SPARE_MS: Final = 300  # A run that ends this much later may still be done.
WHOLE_PERCENT: Final = 100
TELLING_PERCENT: Final = 10  # From here on progress tells more than the submitter's estimate.


def stop_leaving(context: Context, now_ms: int) -> None:
    """Stops runs whose executor leaves before they are done."""
    for executor in context.tables.executors_by_id.values():
        if executor.leave_ms is None:
            continue
        for run in list(executor.runs_by_task.values()):
            if run.state is RunState.RUNNING:
                _judge(context, executor, executor.leave_ms, run, now_ms)


def _judge(context: Context, executor: Executor, leave_ms: int, run: Run, now_ms: int) -> None:
    name = run.run_id.task
    job = context.tables.jobs_by_id.get(name.job_id)
    if job is None:
        return
    step = job.steps[name.step_index]
    if step.spec.saves_progress and now_ms < leave_ms - LEAVE_MARGIN_MS:
        return
    end_ms = _end_ms(step, run)
    if end_ms <= max(leave_ms + SPARE_MS, now_ms):
        return
    _stop(context, executor, job, step, run, now_ms)


def _stop(
    context: Context, executor: Executor, job: Job, step: Step, run: Run, now_ms: int
) -> None:
    context.log(
        "run_stopped_on_leaving_executor",
        {
            "job_id": job.job_id,
            "executor": executor.executor_id,
            "percent": run.percent,
            "leaves_in_ms": (executor.leave_ms or now_ms) - now_ms,
        },
    )
    if step.spec.is_gang:
        stop_gang(context, step, run.run_id.number, now_ms)
    else:
        stop_run(context, run, now_ms)


def _end_ms(step: Step, run: Run) -> float:
    """When the run is done, or its gang, going by progress so far or else by the estimate."""
    if not step.spec.is_gang:
        return _own_end_ms(step, run)
    return max(_own_end_ms(step, task.run) for task in step.tasks if task.run is not None)


def _own_end_ms(step: Step, run: Run) -> float:
    if run.percent < TELLING_PERCENT:
        return run.placed_ms + step.spec.estimate_ms
    ran_ms = run.changed_ms - run.placed_ms
    left_ms = ran_ms * (WHOLE_PERCENT - run.percent) / run.percent
    return run.changed_ms + left_ms
