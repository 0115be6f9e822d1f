"""Orders the starts of placed runs once their placement is stored.

The quota or the capacity of the executor may have been lowered in the meantime, so both are checked
again.
"""

from __future__ import annotations

from jacinthreel_steps._context import Context, run_name
from jacinthreel_steps._model import StopCause, StopReason
from jacinthreel_steps._runs._lifecycle import stop_gang, stop_run
from jacinthreel_steps._tables import Job, Run, RunState, Step
from jacinthreel_steps._workspaces._quotas import exceeds_quota


def order_stored_starts(context: Context, job: Job, now_ms: int) -> None:
    """Orders the starts whose placement is stored, if the acceptance of the job is too."""
    if job.announced_ms is not None:
        return
    for step in job.steps:
        for task in step.tasks:
            run = task.run
            if run is None or run.state is not RunState.PLACED:
                continue
            if run.needed_revision <= job.stored_revision:
                _order_start(context, job, step, run, now_ms)


def _order_start(context: Context, job: Job, step: Step, run: Run, now_ms: int) -> None:
    """Orders the start of a placed run, or withdraws it if it doesn't fit any more."""
    reason = _withdrawal_reason(context, job, run, now_ms)
    if not reason:
        run.state = RunState.STARTING
        run.placed_ms = now_ms
        context.orders.starts.append(run)
        return
    fields = {
        "job_id": job.job_id,
        "run": run_name(run.run_id),
        "reason": reason,
        "executor": run.executor_id,
        "workspace": job.record.workspace,
        "policy_version": context.tables.policy.version,
    }
    context.log("placement_withdrawn", fields)
    withdrawn = StopReason(StopCause.WITHDRAWN, reason)
    if step.spec.is_gang:
        stop_gang(context, step, run.run_id.number, withdrawn, now_ms)
    else:
        stop_run(context, run, withdrawn, now_ms)


def _withdrawal_reason(context: Context, job: Job, run: Run, now_ms: int) -> str:
    """Returns why a placed run must not start, "" if it may."""
    if exceeds_quota(context, job.record.workspace, run.shape):
        return "quota"
    executor = context.tables.executors_by_id.get(run.executor_id)
    if executor is None:
        return ""
    if executor.exceeds_capacity():
        return "capacity"
    return "registry" if context.tables.is_capacity_outdated(executor, now_ms) else ""
