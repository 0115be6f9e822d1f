"""One scheduling pass: places tasks and preempts runs for jobs of priority 0.

Phases: claims whose capacity has become free are placed; then, in job order, each step that is
ready is placed where it fits.  Jobs of priority 0 that don't fit claim capacity: runs of lower
priority are preempted for them, and, for a job within its workspace's guarantee, also runs of
priority 0 of other workspaces that use more than their guarantee.

Invariants: a gang is placed as a whole or not at all; a task that has a run is not placed; claimed
capacity counts as used, so that no other job takes the capacity that was freed for a claim.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from typing import Final

from jacinthreel_steps._context import Context, run_name
from jacinthreel_steps._job_order import job_sort_key
from jacinthreel_steps._lifecycle import attach_run, release_run, stop_gang, stop_run
from jacinthreel_steps._model import JobState, Resources, RunId
from jacinthreel_steps._placement import (
    Placement,
    UsableExecutors,
    find_candidates,
    find_usable_executors,
    fits_on_empty_rack,
    place_gang,
    place_independent_tasks,
    widen_by_trust,
)
from jacinthreel_steps._preemption import PreemptionPlan, plan_preemption
from jacinthreel_steps._tables import Executor, Job, Run, RunState, Step, Tables, Task

MAX_REPORT_AGE_MS: Final = 1_400  # An executor whose last report is older gets no new tasks.
CLAIM_TIMEOUT_MS: Final = 800  # A claim whose capacity is not free by then is released.
RACK_WAIT_LIMIT_MS: Final = 1_200  # After this, gangs of priority 0 may span several racks.


@dataclass(slots=True)
class _Pass:
    """The state of one pass.

    `used_by_workspace` counts the accelerators used by runs of priority 0.  `rejected_shapes` holds
    the shapes that did not fit anywhere in this pass, by service and required label.
    """

    context: Context
    usable: UsableExecutors
    now_ms: int
    used_by_workspace: dict[str, int]
    rejected_shapes: dict[tuple[str, str], list[Resources]] = field(default_factory=dict)


def plan(context: Context, now_ms: int) -> None:
    """Places tasks that fit, and claims capacity for those of priority 0 that don't."""
    usable = find_usable_executors(context.tables, now_ms, MAX_REPORT_AGE_MS)
    plan_pass = _Pass(context, usable, now_ms, _count_used_accelerators(context.tables))
    jobs = list(context.tables.open_jobs_by_id.values())
    _place_or_release_claims(context, jobs, now_ms)
    for job in sorted(jobs, key=lambda job: job_sort_key(job, now_ms)):
        for step in job.steps:
            pending = _find_pending_tasks(job, step)
            if pending:
                _schedule_step(plan_pass, job, step, pending)


def _find_pending_tasks(job: Job, step: Step) -> list[Task]:
    """Returns the tasks to place; those of a gang only when no run of the gang is left."""
    if not job.is_step_ready(step):
        return []
    pending = [task for task in step.tasks if not task.is_done and task.run is None]
    if step.spec.is_gang and len(pending) < len(step.tasks):
        return []
    return pending


def _schedule_step(plan_pass: _Pass, job: Job, step: Step, pending: list[Task]) -> None:
    """Places the pending tasks that fit; claims capacity for the others if the priority is 0."""
    queue = job.record.queue
    executors = plan_pass.usable.by_service.get(queue.service, [])
    if not executors or _is_known_not_to_fit(plan_pass, job, step):
        return
    if queue.priority > 0:
        reserved_ids = plan_pass.context.headroom.select_reserved_ids(executors, plan_pass.now_ms)
        executors = [executor for executor in executors if executor.executor_id not in reserved_ids]
    candidates = find_candidates(step, executors, queue.max_attempts, plan_pass.now_ms)
    placement: Placement | None
    is_urgent = queue.priority == 0
    if step.spec.is_gang:
        placement = place_gang(step, pending, candidates, is_urgent)
        if (
            placement is None
            and step.spec.wants_one_rack
            and _may_span_racks(plan_pass, job, step, executors)
        ):
            placement = place_independent_tasks(step, pending, candidates, is_urgent)
            placement = placement if len(placement) == len(pending) else None
    else:
        placement = place_independent_tasks(step, pending, candidates, is_urgent)
    if placement:
        _place_tasks(plan_pass, job, step, placement)
        placed = {task.task_id for task, _ in placement}
        pending = [task for task in pending if task.task_id not in placed]
    if not pending:
        return
    if queue.priority == 0:
        _claim_by_preemption(plan_pass, job, step, pending, executors)
        return
    if not step.spec.is_gang and not step.spec.max_per_executor:
        key = (queue.service, step.spec.required_label)
        plan_pass.rejected_shapes.setdefault(key, []).append(step.spec.shape)


def _is_known_not_to_fit(plan_pass: _Pass, job: Job, step: Step) -> bool:
    """Whether an equal or smaller shape did not fit in this pass.

    Always false for priority 0, which may preempt other runs.
    """
    if job.record.queue.priority == 0:
        return False
    key = (job.record.queue.service, step.spec.required_label)
    shape = step.spec.shape
    for rejected in plan_pass.rejected_shapes.get(key, []):
        if (
            shape.cpu_milli >= rejected.cpu_milli
            and shape.memory_mb >= rejected.memory_mb
            and shape.accelerators >= rejected.accelerators
        ):
            return True
    return False


def _may_span_racks(plan_pass: _Pass, job: Job, step: Step, executors: list[Executor]) -> bool:
    """Whether a gang that wants one rack may be placed on several.

    It may if no rack could hold it even when empty, or if it has priority 0 and has waited for more
    than `RACK_WAIT_LIMIT_MS`.
    """
    if not fits_on_empty_rack(step, executors, len(step.tasks)):
        return True
    waited_ms = plan_pass.now_ms - job.accepted_ms
    return job.record.queue.priority == 0 and waited_ms > RACK_WAIT_LIMIT_MS


def _claim_by_preemption(
    plan_pass: _Pass, job: Job, step: Step, pending: list[Task], executors: list[Executor]
) -> None:
    """Claims capacity for all pending tasks, if preempting other runs can free enough."""
    context = plan_pass.context
    workspace = job.record.workspace
    guaranteed = context.tables.policy.guaranteed_accelerators_by_workspace
    used = plan_pass.used_by_workspace
    needed = len(pending) * step.spec.shape.accelerators
    is_guaranteed = used.get(workspace, 0) + needed <= guaranteed.get(workspace, 0)

    def is_preemptible(victim: Job) -> bool:
        if victim.record.queue.priority > 0:
            return True
        victim_workspace = victim.record.workspace
        exceeds_guarantee = used.get(victim_workspace, 0) > guaranteed.get(victim_workspace, 0)
        return is_guaranteed and victim_workspace != workspace and exceeds_guarantee

    candidates = find_candidates(step, executors, job.record.queue.max_attempts, plan_pass.now_ms)
    for trusted in widen_by_trust(candidates):
        preemption = plan_preemption(
            context.tables, step, pending, trusted, is_preemptible, plan_pass.now_ms
        )
        if preemption is not None:
            _preempt_and_claim(plan_pass, job, step, preemption)
            return
    if not step.spec.is_gang or not step.spec.wants_one_rack:
        return
    if not _may_span_racks(plan_pass, job, step, executors):
        return
    spread_step = Step(replace(step.spec, wants_one_rack=False), step.tasks)
    preemption = plan_preemption(
        context.tables, spread_step, pending, candidates, is_preemptible, plan_pass.now_ms
    )
    if preemption is not None:
        _preempt_and_claim(plan_pass, job, step, preemption)


def _preempt_and_claim(plan_pass: _Pass, job: Job, step: Step, preemption: PreemptionPlan) -> None:
    context = plan_pass.context
    context.log(
        "room_claimed",
        {
            "job_id": job.job_id,
            "step": job.steps.index(step),
            "tasks": len(preemption.placement),
            "stopped": [
                run_name(run.run_id) for victim in preemption.victims for run in victim.runs
            ],
            "cost_core_s": round(preemption.cost, 1),
        },
    )
    accelerators = len(preemption.placement) * step.spec.shape.accelerators
    context.headroom.record_claim(accelerators, plan_pass.now_ms)
    for victim in preemption.victims:
        for run in victim.runs:
            stop_run(context, run, plan_pass.now_ms)
    _create_runs(plan_pass, job, step, preemption.placement, RunState.CLAIMED)


def _place_tasks(plan_pass: _Pass, job: Job, step: Step, placement: Placement) -> None:
    runs = _create_runs(plan_pass, job, step, placement, RunState.PLACED)
    _commit_placement(plan_pass.context, job, step, runs, plan_pass.now_ms)


def _create_runs(
    plan_pass: _Pass, job: Job, step: Step, placement: Placement, state: RunState
) -> list[Run]:
    gang_run_number = 1 + max(task.run_number for task, _ in placement)
    runs: list[Run] = []
    for task, executor_id in placement:
        executor = plan_pass.context.tables.executors_by_id[executor_id]
        run = Run(
            RunId(task.task_id, gang_run_number if step.spec.is_gang else task.run_number + 1),
            executor_id,
            executor.listing.incarnation,
            step.spec.shape,
            state,
            plan_pass.now_ms,
            is_from_zero=not task.checkpoint,
            progress_changed_ms=plan_pass.now_ms,
            checkpoint=task.checkpoint,
        )
        attach_run(plan_pass.context, task, run)
        runs.append(run)
    if job.record.queue.priority == 0:
        used = plan_pass.used_by_workspace
        amount = len(placement) * step.spec.shape.accelerators
        used[job.record.workspace] = used.get(job.record.workspace, 0) + amount
    return runs


def _commit_placement(context: Context, job: Job, step: Step, runs: list[Run], now_ms: int) -> None:
    if job.state is JobState.QUEUED:
        job.state = JobState.RUNNING
    context.tables.bump_revision(job)
    for run in runs:
        run.state = RunState.PLACED
        run.placed_ms = now_ms
        run.needed_revision = job.revision
    context.log(
        "tasks_placed",
        {
            "job_id": job.job_id,
            "step": job.steps.index(step),
            "run": runs[0].run_id.number,
            "executors": [run.executor_id for run in runs],
            "queue": job.record.queue.name,
            "waited_ms": now_ms - job.accepted_ms,
            "policy_version": context.tables.policy.version,
        },
    )


def _place_or_release_claims(context: Context, jobs: list[Job], now_ms: int) -> None:
    """Places claims whose capacity is free, and releases claims that have timed out."""
    for job in jobs:
        for step in job.steps:
            claims = [
                task.run
                for task in step.tasks
                if task.run is not None and task.run.state is RunState.CLAIMED
            ]
            if claims:
                _place_or_release_step_claims(context, job, step, claims, now_ms)


def _place_or_release_step_claims(
    context: Context, job: Job, step: Step, claims: list[Run], now_ms: int
) -> None:
    satisfied = [run for run in claims if _is_claim_satisfied(context.tables, run)]
    if step.spec.is_gang and len(satisfied) < len(claims):
        satisfied = []
    if satisfied:
        _commit_placement(context, job, step, satisfied, now_ms)
    for run in claims:
        if run.state is not RunState.CLAIMED or now_ms - run.placed_ms <= CLAIM_TIMEOUT_MS:
            continue
        task = context.tables.task(run.run_id.task)
        if task is not None:
            release_run(context, task, run)
        if step.spec.is_gang:
            stop_gang(context, step, run.run_id.number, now_ms)


def _is_claim_satisfied(tables: Tables, run: Run) -> bool:
    """Whether the runs on the executor, including claims, use no more than its capacity."""
    executor = tables.executors_by_id.get(run.executor_id)
    if executor is None:
        return False
    free = executor.free_resources
    return free.cpu_milli >= 0 and free.memory_mb >= 0 and free.accelerators >= 0


def _count_used_accelerators(tables: Tables) -> dict[str, int]:
    """Returns the accelerators used by open jobs of priority 0, by workspace."""
    used: dict[str, int] = {}
    for job in tables.open_jobs_by_id.values():
        if job.record.queue.priority != 0:
            continue
        amount = sum(run.shape.accelerators for run in job.live_runs())
        used[job.record.workspace] = used.get(job.record.workspace, 0) + amount
    return used
