"""What becomes of orders to start runs: confirmed, repeated, refused, or given up.

An order without an answer may be carried out later, so its run is doubtful: it is repeated for a
while, then stopped, and holds its room until the executor has confirmed the stop.  A refused start
did nothing and gives its room back at once.  The gang of a run that can't start is stopped.
"""

from __future__ import annotations

from typing import Final

from jacinthreel_steps._context import Context, run_name
from jacinthreel_steps._executor_health import NO_ROOM_AVOID_MS, UNHEALTHY_AVOID_MS, avoid
from jacinthreel_steps._lifecycle import release_run, stop_gang, stop_run
from jacinthreel_steps._model import StartOutcome
from jacinthreel_steps._tables import Executor, Run, RunState

START_RETRY_LIMIT_MS: Final = 1_500  # Past this an unanswered start is stopped instead.
START_OVERDUE_MS: Final = 3_000  # Past this a start is stopped although its order may be under way.


def confirm_start(context: Context, run: Run, now_ms: int) -> None:
    """The executor has begun the run."""
    run.confirmed_ms = now_ms
    if run.state is RunState.STARTING:
        run.state = RunState.RUNNING
        run.changed_ms = now_ms
    context.tables.jobs_by_id[run.run_id.task.job_id].has_begun = True


def retry_start(context: Context, run: Run, now_ms: int) -> None:
    """The order got no answer."""
    run.is_doubtful = True
    if run.state is not RunState.STARTING:
        return
    if now_ms - run.placed_ms < START_RETRY_LIMIT_MS:
        context.orders.starts.append(run)
        return
    _give_up(context, run, now_ms)


def refuse_start(
    context: Context, executor: Executor, run: Run, outcome: StartOutcome, now_ms: int
) -> None:
    """The executor has refused the order."""
    context.log(
        "start_refused",
        {
            "job_id": run.run_id.task.job_id,
            "run": run_name(run.run_id),
            "executor": run.executor_id,
            "outcome": outcome.name.lower(),
            "doubtful": run.is_doubtful,
        },
    )
    match outcome:
        case StartOutcome.REFUSED_NO_ROOM:
            avoid(executor, NO_ROOM_AVOID_MS, "no room", now_ms, context.log)
        case StartOutcome.REFUSED_UNHEALTHY:
            avoid(executor, UNHEALTHY_AVOID_MS, "unhealthy", now_ms, context.log)
        case _:
            pass
    if run.state is RunState.STARTING:
        _give_up(context, run, now_ms)


def stop_overdue_starts(context: Context, now_ms: int) -> None:
    """Gives up starts that nothing has been heard of; a recovered run waits for a report."""
    for executor in context.tables.executors_by_id.values():
        for run in list(executor.runs_by_task.values()):
            if run.state is not RunState.STARTING or run.is_recovered:
                continue
            if now_ms - run.placed_ms < START_OVERDUE_MS:
                continue
            fields = {
                "job_id": run.run_id.task.job_id,
                "run": run_name(run.run_id),
                "executor": run.executor_id,
                "waited_ms": now_ms - run.placed_ms,
            }
            context.log("start_overdue", fields)
            run.is_doubtful = True
            _give_up(context, run, now_ms)


def _give_up(context: Context, run: Run, now_ms: int) -> None:
    """Ends a run whose start failed; its gang can't go on without it."""
    task = context.tables.task(run.run_id.task)
    assert task is not None
    job = context.tables.jobs_by_id[run.run_id.task.job_id]
    step = job.steps[run.run_id.task.step_index]
    if run.is_doubtful:
        stop_run(context, run, now_ms)
    else:
        release_run(context, task, run)
        context.tables.touch(job)
    if step.spec.is_gang:
        stop_gang(context, step, run.run_id.number, now_ms)
