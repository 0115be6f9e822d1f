"""Outcomes of orders to start runs: confirmed, unanswered, refused or overdue.

An unanswered order may still take effect later (`Run.has_unanswered_start`): the order is retried
until a time limit, then the run is stopped, and it keeps its capacity until the executor has
confirmed the stop.  A refused start had no effect, so its capacity is released at once, unless an
earlier order for the run got no answer.  If a run can't start, the rest of its gang is stopped.
"""

from __future__ import annotations

from typing import Final

from jacinthreel_steps._context import Context, run_name
from jacinthreel_steps._executors._crash_evidence import refund_start
from jacinthreel_steps._executors._executor_health import (
    NO_ROOM_AVOID_MS,
    UNHEALTHY_AVOID_MS,
    avoid_executor,
)
from jacinthreel_steps._model import StartOutcome, StopCause, StopReason
from jacinthreel_steps._runs._lifecycle import release_run, stop_gang, stop_run
from jacinthreel_steps._tables import Executor, Job, Run, RunState

START_RETRY_LIMIT_MS: Final = 1_500  # After this, an unanswered start is stopped, not retried.
START_OVERDUE_MS: Final = 3_000  # After this, a start is stopped even if its order is in flight.
START_QUEUE_LIMIT_MS: Final = 30_000  # For an order that waits for others at the same executor.


def confirm_start(context: Context, run: Run, now_ms: int) -> None:
    """Records that the executor has started the run."""
    run.start_confirmed_ms = now_ms
    if run.state is RunState.STARTING:
        run.state = RunState.RUNNING
        run.progress_changed_ms = now_ms
    mark_begun(context, context.tables.jobs_by_id[run.run_id.task.job_id], now_ms)


def mark_begun(context: Context, job: Job, now_ms: int) -> None:
    """Records that a task of the job has started, and logs the first time.

    The row is stored with others, because the start has taken place whether it is stored or not.
    """
    if job.has_begun or job.state.is_final:
        return
    job.has_begun = True
    context.tables.begun_ms_by_unstored_id[job.job_id] = now_ms
    context.log("job_begun", {"job_id": job.job_id, "waited_ms": now_ms - job.accepted_ms})


def handle_unanswered_start(context: Context, run: Run, now_ms: int) -> None:
    """Retries a start that got no answer, or stops its run after `START_RETRY_LIMIT_MS`.

    A restarted executor gets no retry: the run may have crashed its previous incarnation.
    """
    run.has_unanswered_start = True
    if run.state is not RunState.STARTING:
        return
    executor = context.tables.executors_by_id[run.executor_id]
    has_restarted = not executor.is_entry_current or executor.life.incarnation != run.incarnation
    if now_ms - run.placed_ms < START_RETRY_LIMIT_MS and not has_restarted:
        context.orders.starts.append(run)
        return
    _abandon_start(context, run, now_ms)


def handle_refused_start(
    context: Context, executor: Executor, run: Run, outcome: StartOutcome, now_ms: int
) -> None:
    """Abandons a refused start; avoids the executor for a while if it is full or unhealthy."""
    context.log(
        "start_refused",
        {
            "job_id": run.run_id.task.job_id,
            "run": run_name(run.run_id),
            "executor": run.executor_id,
            "outcome": outcome.name.lower(),
            "doubtful": run.has_unanswered_start,
        },
    )
    match outcome:
        case StartOutcome.REFUSED_NO_ROOM:
            avoid_executor(executor, NO_ROOM_AVOID_MS, "no free capacity", now_ms, context.log)
        case StartOutcome.REFUSED_UNHEALTHY:
            avoid_executor(executor, UNHEALTHY_AVOID_MS, "unhealthy", now_ms, context.log)
        case _:
            pass
    if run.state is RunState.STARTING:
        _abandon_start(context, run, now_ms)


def abandon_overdue_starts(context: Context, now_ms: int) -> None:
    """Abandons starts that were not confirmed in time.

    The time counts anew with each start that the executor answers, because thousands of orders may
    wait there for their turn.  Recovered runs are skipped: the executor's first report shows
    whether they run.
    """
    for executor in context.tables.executors_by_id.values():
        for run in list(executor.runs_by_task.values()):
            if run.state is not RunState.STARTING or run.is_recovered:
                continue
            waited_ms = now_ms - run.placed_ms
            if now_ms - max(run.placed_ms, executor.life.start_answered_ms) < START_OVERDUE_MS and (
                waited_ms < START_QUEUE_LIMIT_MS
            ):
                continue
            fields = {
                "job_id": run.run_id.task.job_id,
                "run": run_name(run.run_id),
                "executor": run.executor_id,
                "waited_ms": waited_ms,
            }
            context.log("start_overdue", fields)
            run.has_unanswered_start = True
            _abandon_start(context, run, now_ms)


def _abandon_start(context: Context, run: Run, now_ms: int) -> None:
    """Ends a run whose start failed, and stops the rest of its gang."""
    task = context.tables.task(run.run_id.task)
    assert task is not None
    job = context.tables.jobs_by_id[run.run_id.task.job_id]
    step = job.steps[run.run_id.task.step_index]
    reason = StopReason(StopCause.START_FAILED, run_name(run.run_id))
    if run.has_unanswered_start:
        stop_run(context, run, reason, now_ms)
    else:
        refund_start(task)
        release_run(context, task, run)
        context.tables.bump_revision(job)
    if step.spec.is_gang:
        stop_gang(context, step, run.run_id.number, reason, now_ms)
