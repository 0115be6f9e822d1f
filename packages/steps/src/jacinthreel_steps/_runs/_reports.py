"""Reconciles an executor's report with the tables.

Ends are applied once each, in order of their sequence numbers.  A run that is missing from the
report has ended if the executor confirmed its start, or confirmed a stop, before the report was
requested; or if an earlier owner placed it, because the executor accepts no orders from an earlier
owner once it has answered this one.  But nothing follows from what is missing while the executor
may have more ends than it listed: the end of that run, done or not, is among the later ones.  A
reported run that is not in the tables is stopped.
"""

from __future__ import annotations

from typing import Final

from jacinthreel_steps._context import Context, StopOrder, run_name
from jacinthreel_steps._executors._crash_evidence import refund_start
from jacinthreel_steps._executors._executor_health import record_progress
from jacinthreel_steps._executors._executor_speed import observe_progress
from jacinthreel_steps._executors._slow_evidence import apply_new_verdicts
from jacinthreel_steps._model import (
    NO_RESOURCES,
    EndReason,
    ExecutorReport,
    ReportedEnd,
    ReportedRun,
    Resources,
    RunId,
    StopCause,
    StopReason,
)
from jacinthreel_steps._runs._lifecycle import (
    end_run,
    has_restarted,
    mark_task_done,
    send_stop,
    stop_run,
)
from jacinthreel_steps._runs._starts import mark_begun
from jacinthreel_steps._tables import Executor, PendingEnd, Run, RunState

STOP_REPEAT_MS: Final = 500
MAX_LOGGED_LOSSES: Final = 20  # Counting all would take long when a large zone is lost.


def apply_report(context: Context, executor: Executor, report: ExecutorReport, now_ms: int) -> None:
    """Applies a report of the executor's current incarnation."""
    executor.last_report_ms = now_ms - report.age_ms
    _log_acknowledged_ends(context, executor, report)
    ended: set[RunId] = set()
    for end in sorted(report.ended, key=lambda item: item.sequence):
        ended.add(end.run_id)
        if end.sequence > executor.life.applied_end_sequence:
            _apply_end(context, executor, end, now_ms)
    running: set[RunId] = set()
    executor.life.untracked = NO_RESOURCES
    for reported in report.running:
        running.add(reported.run_id)
        _mark_job_begun(context, reported.run_id, now_ms)
        _apply_reported_run(context, executor, reported, now_ms)
    apply_new_verdicts(context, executor, now_ms)
    _record_completeness(context, executor, report)
    for run in list(executor.runs_by_task.values()):
        if run.run_id in running or run.run_id in ended:
            continue
        if run.run_id.task in report.unclear_tasks:
            continue
        if not report.may_omit_ends and _has_ended(run, report.sent_ms):
            _end_missing_run(context, run, now_ms)
        elif run.state is RunState.STOPPING and run.stop_confirmed_ms is None:
            _repeat_stop_if_due(context, run, now_ms)


def _log_acknowledged_ends(context: Context, executor: Executor, report: ExecutorReport) -> None:
    """Logs ends that an executor still lists though they may have been acknowledged before."""
    listed = [end for end in report.ended if end.sequence <= executor.life.acknowledged_upto]
    if not listed:
        return
    fields = {
        "executor": executor.executor_id,
        "incarnation": report.incarnation,
        "acknowledged": executor.life.acknowledged_upto,
        "ends": len(listed),
        "first_run": run_name(listed[0].run_id),
    }
    context.log("acknowledged_ends_listed", fields)


def _record_completeness(context: Context, executor: Executor, report: ExecutorReport) -> None:
    """Logs when the reports of an executor begin to omit ends, and when they are complete again."""
    if report.may_omit_ends == executor.life.has_more_ends:
        return
    executor.life.has_more_ends = report.may_omit_ends
    context.log(
        "report_cut_short" if report.may_omit_ends else "report_complete",
        {
            "executor": executor.executor_id,
            "running": len(report.running),
            "ended": len(report.ended),
            "runs": len(executor.runs_by_task),
        },
    )


def end_lost_runs(
    context: Context, executor: Executor, runs: list[Run], reason: str, now_ms: int
) -> None:
    """Ends runs of an executor that ended without a report."""
    record_loss(context, executor, reason, now_ms)
    has_left = executor.listing.is_draining
    for run in runs:
        end_lost_run(context, run, reason, now_ms, has_left)


def record_loss(context: Context, executor: Executor, reason: str, now_ms: int) -> None:
    """Records that an executor was lost, unless that is already recorded."""
    if not context.executor_losses.record(context.tables, executor, now_ms):
        return
    others_lost = context.executor_losses.count_simultaneous(
        context.tables, executor.executor_id, now_ms, MAX_LOGGED_LOSSES
    )
    context.log(
        "executor_runs_lost",
        {
            "executor": executor.executor_id,
            "reason": reason,
            "silent_ms": now_ms - executor.last_report_ms,
            "runs": [run_name(run.run_id) for run in executor.runs_by_task.values()],
            "others_lost": others_lost,
        },
    )


def end_lost_run(
    context: Context, run: Run, reason: str, now_ms: int, has_left: bool = False
) -> None:
    """Ends a run that ended without a report; `has_left` if its executor had announced to leave."""
    context.log(
        "run_lost",
        {
            "job_id": run.run_id.task.job_id,
            "run": run_name(run.run_id),
            "executor": run.executor_id,
            "reason": reason,
            "ran_ms": now_ms - run.placed_ms,
        },
    )
    end_run(context, run, EndReason.LAPSED, "", now_ms, is_executor_lost=not has_left)


def advance_acknowledged_ends(context: Context, executor: Executor) -> int:
    """Returns the sequence number up to which all ends are stored and may be acknowledged.

    An end of an unknown job needs no storing, unless the job may still be accepted.
    """
    stored = 0
    for pending in executor.life.pending_ends:
        job = context.tables.jobs_by_id.get(pending.job_id)
        if job is not None and job.stored_revision < pending.revision:
            break
        if job is None and pending.job_id in context.tables.awaited_job_ids:
            break
        executor.life.acknowledged_upto = pending.sequence
        stored += 1
    del executor.life.pending_ends[:stored]
    return executor.life.acknowledged_upto


def reapply_ends(context: Context, job_id: str) -> None:
    """Has ends of a job that was unknown until now applied with the next reports of executors.

    They are not acknowledged, so that the executors list them again.
    """
    for executor in context.tables.executors_by_id.values():
        pending = executor.life.pending_ends
        for index, end in enumerate(pending):
            if end.job_id == job_id:
                executor.life.applied_end_sequence = end.sequence - 1
                del pending[index:]
                break


def _mark_job_begun(context: Context, run_id: RunId, now_ms: int) -> None:
    """Records that the job of a run has begun, because an executor lists the run or its end."""
    job = context.tables.jobs_by_id.get(run_id.task.job_id)
    if job is not None:
        mark_begun(context, job, now_ms)


def _apply_end(context: Context, executor: Executor, end: ReportedEnd, now_ms: int) -> None:
    executor.life.applied_end_sequence = end.sequence
    tables = context.tables
    task = tables.task(end.run_id.task)
    job = tables.jobs_by_id.get(end.run_id.task.job_id)
    _mark_job_begun(context, end.run_id, now_ms)
    if task is None or job is None:
        executor.life.pending_ends.append(PendingEnd(end.sequence, end.run_id.task.job_id, 0))
        return
    run = task.run
    if run is not None and run.run_id == end.run_id and run.executor_id == executor.executor_id:
        end_run(context, run, end.reason, end.checkpoint, now_ms)
    elif end.reason is EndReason.DONE and not task.is_done and not job.state.is_final:
        # An older run of the task, already ended in the tables, has succeeded after all.
        step = job.steps[end.run_id.task.step_index]
        mark_task_done(context, job, step, task, now_ms)
        if run is not None:
            reason = StopReason(StopCause.EARLIER_RUN_DONE, run_name(end.run_id))
            stop_run(context, run, reason, now_ms)
        tables.bump_revision(job)
    executor.life.pending_ends.append(PendingEnd(end.sequence, job.job_id, job.revision))


def _apply_reported_run(
    context: Context, executor: Executor, reported: ReportedRun, now_ms: int
) -> None:
    run = executor.runs_by_task.get(reported.run_id.task)
    if run is None or run.run_id != reported.run_id:
        _stop_unknown_run(context, executor, reported.run_id)
        return
    run.is_recovered = False
    run.reported_incarnation = executor.life.incarnation
    record_progress(executor, run, reported.percent, now_ms)
    observe_progress(context, executor, run, reported.percent)
    if reported.percent != run.percent or run.start_confirmed_ms is None:
        run.progress_changed_ms = now_ms
    run.percent = reported.percent
    if reported.checkpoint and reported.checkpoint != run.checkpoint:
        run.checkpoint = reported.checkpoint
        run.checkpoint_changed_ms = now_ms
    run.start_confirmed_ms = (
        run.start_confirmed_ms if run.start_confirmed_ms is not None else now_ms
    )
    match run.state:
        case RunState.STARTING:
            run.state = RunState.RUNNING
        case RunState.STOPPING:
            _repeat_stop_if_due(context, run, now_ms)
        case _:
            pass


def _repeat_stop_if_due(context: Context, run: Run, now_ms: int) -> None:
    """Repeats a stop order: a run with an unanswered start may start until a stop is confirmed."""
    if run.stop_sent_ms is None or now_ms - run.stop_sent_ms >= STOP_REPEAT_MS:
        send_stop(context, run, now_ms)


def _stop_unknown_run(context: Context, executor: Executor, run_id: RunId) -> None:
    context.log(
        "unknown_run_stopped",
        {
            "job_id": run_id.task.job_id,
            "run": run_name(run_id),
            "executor": executor.executor_id,
        },
    )
    context.orders.stops.append(StopOrder(executor.executor_id, executor.life.incarnation, run_id))
    executor.life.untracked = executor.life.untracked.plus(_shape(context, run_id))


def _shape(context: Context, run_id: RunId) -> Resources:
    """Returns what a run uses, nothing if its task is unknown."""
    if context.tables.task(run_id.task) is None:
        return NO_RESOURCES
    return context.tables.jobs_by_id[run_id.task.job_id].steps[run_id.task.step_index].spec.shape


def _has_ended(run: Run, sent_ms: int) -> bool:
    """Whether a run that is missing from a report requested at `sent_ms` has certainly ended."""
    if run.is_recovered:
        return True
    match run.state:
        case RunState.RUNNING:
            return _is_before(run.start_confirmed_ms, sent_ms)
        case RunState.STOPPING if run.has_unanswered_start:
            return _is_before(run.stop_confirmed_ms, sent_ms)  # It may start once more until then.
        case RunState.STOPPING:
            return _is_before(run.start_confirmed_ms, sent_ms) or _is_before(
                run.stop_confirmed_ms, sent_ms
            )
        case _:
            return False


def _is_before(confirmed_ms: int | None, sent_ms: int) -> bool:
    return confirmed_ms is not None and confirmed_ms < sent_ms


def _end_missing_run(context: Context, run: Run, now_ms: int) -> None:
    if run.is_recovered and not has_restarted(context, run):
        _refund_recovered_run(context, run)
    reason = EndReason.STOPPED if run.state is RunState.STOPPING else EndReason.LAPSED
    end_run(context, run, reason, "", now_ms)


def _refund_recovered_run(context: Context, run: Run) -> None:
    """Counts a placement of an earlier owner as no start of its task.

    The process that the run was placed for lists neither the run nor its end, and carries out no
    more orders of that owner; ends that were acknowledged are stored.
    """
    task = context.tables.task(run.run_id.task)
    if task is None:
        return
    refund_start(task)
    context.log(
        "recovered_run_not_started",
        {
            "job_id": run.run_id.task.job_id,
            "run": run_name(run.run_id),
            "executor": run.executor_id,
        },
    )
