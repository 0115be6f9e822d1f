"""Orders the starts of placed runs once their placement is stored.

The quota or the capacity of the executor may have been lowered in the meantime, or the executor may
be out of reach, so these are checked again.  A withdrawn placement protects nothing, because no
start was ordered for it; one that was ordered out of reach is protected by its lease.
"""

from __future__ import annotations

from jacinthreel_steps._context import Context, run_name
from jacinthreel_steps._executors._executor_health import UNREACHABLE_AVOID_MS, avoid_executor
from jacinthreel_steps._model import StopCause, StopReason
from jacinthreel_steps._planning._usability import MAX_REPORT_AGE_MS
from jacinthreel_steps._runs._lifecycle import stop_gang, stop_run
from jacinthreel_steps._tables import Executor, Job, Run, RunState, Step
from jacinthreel_steps._workspaces._quotas import exceeds_quota


def order_stored_starts(context: Context, job: Job, now_ms: int) -> None:
    """Orders the starts whose placement is stored, if the acceptance of the job is too."""
    if job.announced_ms is not None:
        return
    for step in job.steps:
        runs = [
            task.run
            for task in step.tasks
            if task.run is not None
            and task.run.state is RunState.PLACED
            and task.run.needed_revision <= job.stored_revision
        ]
        if not step.spec.is_gang:
            for run in runs:
                _order_starts(context, job, step, [run], now_ms)
        elif runs:
            _order_starts(context, job, step, runs, now_ms)


def _order_starts(context: Context, job: Job, step: Step, runs: list[Run], now_ms: int) -> None:
    """Orders the starts of placed runs, or withdraws all if one doesn't fit any more."""
    for run in runs:
        reason = _withdrawal_reason(context, job, run, now_ms)
        if reason:
            _withdraw(context, job, step, run, reason, now_ms)
            return
    for run in runs:
        run.state = RunState.STARTING
        run.placed_ms = now_ms
        context.orders.starts.append(run)


def _withdraw(context: Context, job: Job, step: Step, run: Run, reason: str, now_ms: int) -> None:
    """Withdraws a placed run, and the rest of its gang."""
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
    if now_ms - executor.last_report_ms > MAX_REPORT_AGE_MS:
        return "silent"
    if _is_unreachable(executor):
        # Its last report is so recent that the planner would use it again.
        avoid_executor(executor, UNREACHABLE_AVOID_MS, "out of reach", now_ms, context.log)
        return "out of reach"
    return "registry" if context.tables.is_capacity_outdated(executor, now_ms) else ""


def _is_unreachable(executor: Executor) -> bool:
    """Whether the last request got no response."""
    unreachable_ms = executor.health.unreachable_ms
    return unreachable_ms is not None and unreachable_ms > executor.last_report_ms
