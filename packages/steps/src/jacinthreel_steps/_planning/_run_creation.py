"""Creates the runs of a placement and commits them, so that they are stored and started."""

from __future__ import annotations

from jacinthreel_steps._context import Context
from jacinthreel_steps._model import RunId
from jacinthreel_steps._planning._pass_state import PassState
from jacinthreel_steps._planning._placement import Placement
from jacinthreel_steps._runs._lifecycle import attach_run
from jacinthreel_steps._tables import Job, Run, RunState, Step


def place_tasks(state: PassState, job: Job, step: Step, placement: Placement) -> None:
    """Places tasks on executors that have free capacity for them."""
    runs = create_runs(state, job, step, placement, RunState.PLACED)
    commit_placement(state.context, job, step, runs, state.now_ms)


def create_runs(
    state: PassState, job: Job, step: Step, placement: Placement, run_state: RunState
) -> list[Run]:
    """Creates a run of each task; the members of a gang get the same run number."""
    gang_run_number = 1 + max(task.run_number for task, _ in placement)
    runs: list[Run] = []
    for task, executor_id in placement:
        executor = state.context.tables.executors_by_id[executor_id]
        run = Run(
            RunId(task.task_id, gang_run_number if step.spec.is_gang else task.run_number + 1),
            executor_id,
            executor.listing.incarnation,
            step.spec.shape,
            run_state,
            state.now_ms,
            is_from_zero=not step.checkpoint_of(task),
            progress_changed_ms=state.now_ms,
            checkpoint=step.checkpoint_of(task),
        )
        attach_run(state.context, task, run)
        runs.append(run)
    state.record_changes(executor_id for _, executor_id in placement)
    all_count = len(state.usable.by_service.get(job.queue.service, ()))
    compared = all_count if state.compared_count is None else state.compared_count
    state.spend(len(placement), compared)
    state.compared_count = None
    if job.queue.priority == 0:
        used = state.used_by_workspace
        amount = len(placement) * step.spec.shape.accelerators
        used[job.record.workspace] = used.get(job.record.workspace, 0) + amount
    return runs


def commit_placement(context: Context, job: Job, step: Step, runs: list[Run], now_ms: int) -> None:
    """Marks runs as placed: they are started once the job's new revision is stored."""
    context.passed_jobs.record_placement(job, context.log, now_ms)
    job.was_placed = True
    context.tables.bump_revision(job)
    context.reservations.note_placed(job.queue.service, job.accepted_ms)
    for run in runs:
        if run.state is RunState.CLAIMED:
            context.usage.turn_into_run(job.record.workspace, run.shape)
            executor = context.tables.executors_by_id.get(run.executor_id)
            if executor is not None:
                executor.claimed = executor.claimed.minus(run.shape)
        run.state = RunState.PLACED
        run.placed_ms = now_ms
        run.needed_revision = job.revision
    context.log(
        "tasks_placed",
        {
            "job_id": job.job_id,
            "step": step.index,
            "run": runs[0].run_id.number,
            "executors": [run.executor_id for run in runs],
            "queue": job.queue.name,
            "waited_ms": now_ms - job.accepted_ms,
            "policy_version": context.tables.policy.version,
        },
    )
