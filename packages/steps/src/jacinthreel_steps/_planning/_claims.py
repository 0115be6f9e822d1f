"""Claims of capacity for jobs of priority 0: made by preemption, placed once the capacity is free.

Claimed capacity counts as used, so that no other job takes the capacity that was freed for a claim.
A claim is placed only if it and the runs of its workspace together are within the quota.
A claim whose capacity is not free within the time of a stop and `CLAIM_MARGIN_MS` is released, and
the job is scheduled anew.  So is one that its job would not make any more: its queue has got
another service or a lower priority.
"""

from __future__ import annotations

from typing import Final

from jacinthreel_steps._context import Context, run_name
from jacinthreel_steps._model import NO_RESOURCES, StopCause, StopReason
from jacinthreel_steps._planning._pass_state import PassState
from jacinthreel_steps._planning._preemption import PreemptionPlan
from jacinthreel_steps._planning._run_creation import commit_placement, create_runs
from jacinthreel_steps._runs._lifecycle import release_run, stop_gang, stop_run
from jacinthreel_steps._tables import Job, Run, RunState, Step, Tables, Task
from jacinthreel_steps._workspaces._quotas import count_admitted_claims

CLAIM_MARGIN_MS: Final = 600


def preempt_and_claim(state: PassState, job: Job, step: Step, preemption: PreemptionPlan) -> None:
    """Stops the victims of a plan and claims the capacity for the tasks that it places."""
    context = state.context
    context.log(
        "room_claimed",
        {
            "job_id": job.job_id,
            "step": step.index,
            "tasks": len(preemption.placement),
            "stopped": [
                run_name(run.run_id) for victim in preemption.victims for run in victim.runs
            ],
            "cost_core_s": round(preemption.cost, 1),
        },
    )
    accelerators = len(preemption.placement) * step.spec.shape.accelerators
    context.headroom.record_claim(accelerators, state.now_ms)
    reason = StopReason(StopCause.PREEMPTED, job.job_id)
    for victim in preemption.victims:
        if victim.urgent_workspace is not None:
            state.used_by_workspace[victim.urgent_workspace] -= victim.accelerators
        for run in victim.runs:
            stop_run(context, run, reason, state.now_ms)
    state.record_changes(run.executor_id for victim in preemption.victims for run in victim.runs)
    create_runs(state, job, step, preemption.placement, RunState.CLAIMED)


def claimed_tasks(job: Job, step: Step) -> list[Task]:
    """Returns the tasks that wait for claimed capacity; of a gang, all or none."""
    if job.queue.priority > 0:
        return []
    claimed = [
        task for task in step.tasks if task.run is not None and task.run.state is RunState.CLAIMED
    ]
    return [] if step.spec.is_gang and len(claimed) < len(step.tasks) else claimed


def release_claims(state: PassState, job: Job, tasks: list[Task]) -> None:
    """Releases the claims of some tasks; the capacity goes to the next urgent jobs."""
    released: list[Run] = []
    for task in tasks:
        run = task.run
        if run is None:
            continue
        release_run(state.context, task, run)
        released.append(run)
        state.used_by_workspace[job.record.workspace] -= run.shape.accelerators
    state.record_changes(run.executor_id for run in released)


def place_or_release_claims(context: Context, now_ms: int) -> None:
    """Places claims whose capacity is free, and releases those that are outdated or timed out."""
    _release_outdated_claims(context, now_ms)
    for job in list(context.tables.open_jobs_by_id.values()):
        if job.queue.priority > 0:
            continue
        for step in job.steps:
            claims = [
                task.run
                for task in step.tasks
                if task.run is not None and task.run.state is RunState.CLAIMED
            ]
            if claims:
                _place_or_release_step_claims(context, job, step, claims, now_ms)


def _release_outdated_claims(context: Context, now_ms: int) -> None:
    """Releases claims of jobs whose queue has changed since; of a gang, all."""
    for executor in context.tables.executors_by_id.values():
        if executor.claimed is NO_RESOURCES or executor.claimed == NO_RESOURCES:
            continue
        for run in list(executor.runs_by_task.values()):
            task = context.tables.task(run.run_id.task)
            if run.state is not RunState.CLAIMED or task is None or task.run is not run:
                continue
            job = context.tables.jobs_by_id[run.run_id.task.job_id]
            if job.queue.priority == 0 and job.queue.service == executor.listing.service:
                continue
            _release_claim(context, job, task, run, now_ms)


def _release_claim(context: Context, job: Job, task: Task, run: Run, now_ms: int) -> None:
    """Releases a claim, and what else of its gang is claimed or placed."""
    step = job.steps[run.run_id.task.step_index]
    release_run(context, task, run)
    if step.spec.is_gang:
        expired = StopReason(StopCause.CLAIM_EXPIRED, run_name(run.run_id))
        stop_gang(context, step, run.run_id.number, expired, now_ms)


def _place_or_release_step_claims(
    context: Context, job: Job, step: Step, claims: list[Run], now_ms: int
) -> None:
    satisfied = [run for run in claims if _is_satisfied(context.tables, run)]
    admitted = count_admitted_claims(context, job.record.workspace, step.spec.shape)
    if admitted < len(satisfied):
        satisfied = satisfied[:admitted]
    if step.spec.is_gang and len(satisfied) < len(claims):
        satisfied = []
    if satisfied:
        commit_placement(context, job, step, satisfied, now_ms)
    claim_limit_ms = context.stop_limit_ms + CLAIM_MARGIN_MS
    for run in claims:
        if run.state is not RunState.CLAIMED or now_ms - run.placed_ms <= claim_limit_ms:
            continue
        task = context.tables.task(run.run_id.task)
        if task is not None:
            _release_claim(context, job, task, run, now_ms)


def _is_satisfied(tables: Tables, run: Run) -> bool:
    """Whether the runs on the executor, including claims, use no more than its capacity."""
    executor = tables.executors_by_id.get(run.executor_id)
    if executor is None:
        return False
    free = executor.free_resources
    return free.cpu_milli >= 0 and free.memory_mb >= 0 and free.accelerators >= 0
