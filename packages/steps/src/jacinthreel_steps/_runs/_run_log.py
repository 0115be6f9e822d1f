"""Log lines on the ends of runs, with the work that was done and lost.

Work is counted in core-seconds, an accelerator as `CORES_PER_ACCELERATOR` cores.  A run whose task
has to run again has lost what it did since its newest checkpoint.
"""

from __future__ import annotations

from jacinthreel_steps._context import Context, run_name
from jacinthreel_steps._model import EndReason, weighted_cores
from jacinthreel_steps._tables import Run, Step


def log_run_end(
    context: Context,
    step: Step,
    run: Run,
    reason: EndReason,
    checkpoint: str,
    has_lost_executor: bool,
    now_ms: int,
) -> None:
    """Logs the end of a run: why it was stopped, and what it worked and lost.

    `checkpoint` is the one that the executor reported with the end, "" for none.
    """
    fields = {
        "job_id": run.run_id.task.job_id,
        "run": run_name(run.run_id),
        "executor": run.executor_id,
        "reason": reason.name.lower(),
        "ran_ms": now_ms - run.placed_ms,
        "executor_lost": has_lost_executor,
        "work_core_s": _core_seconds(run, _worked_ms(run, now_ms)),
    }
    if reason is not EndReason.DONE:
        lost_ms = _lost_ms(step, run, checkpoint, now_ms)
        fields["lost_core_s"] = _core_seconds(run, lost_ms)
    if run.stop_reason is not None:
        fields["stop_cause"] = run.stop_reason.cause.value
        fields["stopped_by"] = run.stop_reason.source
    context.log("run_ended", fields)


def _worked_ms(run: Run, now_ms: int) -> int:
    """Returns how long the run has worked, 0 if its start was never confirmed."""
    return 0 if run.start_confirmed_ms is None else max(0, now_ms - run.start_confirmed_ms)


def _lost_ms(step: Step, run: Run, checkpoint: str, now_ms: int) -> int:
    if run.start_confirmed_ms is None or (step.spec.saves_progress and checkpoint):
        return 0  # The executor writes a checkpoint when it stops a run.
    saved_ms = max(run.start_confirmed_ms, run.checkpoint_changed_ms)
    return max(0, now_ms - saved_ms)


def _core_seconds(run: Run, time_ms: int) -> float:
    return round(weighted_cores(run.shape) * time_ms / 1000, 1)
