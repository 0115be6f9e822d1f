"""One planning pass: who gets room, and who has to make room.

Phases: claims whose room has become free are placed; then jobs are gone through in order and each
step that may run is placed where it fits.  Jobs of priority 0 that don't fit claim room: runs of
lower priority are stopped for them, and for a job within its workspace's guarantee also runs of
priority 0 that other workspaces hold beyond theirs.

Invariants: a gang is placed as a whole or not at all; no task is placed that has a run; claims
take room from everybody after them, so that nobody takes what was cleared for them.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from typing import Final

from jacinthreel_steps._context import Context, run_name
from jacinthreel_steps._displacing import DisplacementPlan, plan_displacement
from jacinthreel_steps._lifecycle import begin_run, release_run, stop_gang, stop_run
from jacinthreel_steps._model import JobState, Resources, RunId
from jacinthreel_steps._order import order_key
from jacinthreel_steps._room import (
    Placement,
    UsableExecutors,
    by_trust,
    candidates_for,
    fits_when_empty,
    place_gang,
    place_singles,
    usable_executors,
)
from jacinthreel_steps._tables import Executor, Job, Run, RunState, Step, Tables, Task

SILENCE_LIMIT_MS: Final = 1_400  # An executor that has said nothing for so long gets no work.
CLAIM_LIMIT_MS: Final = 800
RACK_PATIENCE_MS: Final = 1_200  # Jobs of priority 0 wait no longer for a rack.


@dataclass(slots=True)
class _Pass:
    """What holds during one pass.

    `used_by_workspace` counts the accelerators of priority 0 runs.  `full_shapes` are shapes that
    found no room, by service and required label.
    """

    context: Context
    usable: UsableExecutors
    now_ms: int
    used_by_workspace: dict[str, int]
    full_shapes: dict[tuple[str, str], list[Resources]] = field(default_factory=dict)


def plan(context: Context, now_ms: int) -> None:
    """Places what fits and claims room for what comes first."""
    usable = usable_executors(context.tables, now_ms, SILENCE_LIMIT_MS)
    plan_pass = _Pass(context, usable, now_ms, _used_by_workspace(context.tables))
    jobs = list(context.tables.open_jobs_by_id.values())
    _settle_claims(context, jobs, now_ms)
    for job in sorted(jobs, key=lambda job: order_key(job, now_ms)):
        for step in job.steps:
            pending = _pending_tasks(job, step)
            if pending:
                _offer_room(plan_pass, job, step, pending)


def _pending_tasks(job: Job, step: Step) -> list[Task]:
    """The tasks to place; a gang's only when none of its runs is left."""
    if not job.is_step_ready(step):
        return []
    pending = [task for task in step.tasks if not task.is_done and task.run is None]
    if step.spec.is_gang and len(pending) < len(step.tasks):
        return []
    return pending


def _offer_room(plan_pass: _Pass, job: Job, step: Step, pending: list[Task]) -> None:
    queue = job.record.queue
    executors = plan_pass.usable.by_service.get(queue.service, [])
    if not executors or _is_full_for(plan_pass, job, step):
        return
    if queue.priority > 0:
        kept_ids = plan_pass.context.headroom.kept_ids(executors, plan_pass.now_ms)
        executors = [each for each in executors if each.executor_id not in kept_ids]
    candidates = candidates_for(step, executors, queue.max_attempts, plan_pass.now_ms)
    placement: Placement | None
    is_urgent = queue.priority == 0
    if step.spec.is_gang:
        placement = place_gang(step, pending, candidates, is_urgent)
        if (
            placement is None
            and step.spec.wants_one_rack
            and _may_spread(plan_pass, job, step, executors)
        ):
            placement = place_singles(step, pending, candidates, is_urgent)
            placement = placement if len(placement) == len(pending) else None
    else:
        placement = place_singles(step, pending, candidates, is_urgent)
    if placement:
        _place(plan_pass, job, step, placement)
        placed = {task.task_id for task, _ in placement}
        pending = [task for task in pending if task.task_id not in placed]
    if not pending:
        return
    if queue.priority == 0:
        _claim(plan_pass, job, step, pending, executors)
        return
    if not step.spec.is_gang and not step.spec.max_per_executor:
        key = (queue.service, step.spec.required_label)
        plan_pass.full_shapes.setdefault(key, []).append(step.spec.shape)


def _is_full_for(plan_pass: _Pass, job: Job, step: Step) -> bool:
    """Whether an equal or smaller shape has found no room in this pass."""
    if job.record.queue.priority == 0:
        return False
    key = (job.record.queue.service, step.spec.required_label)
    shape = step.spec.shape
    for full in plan_pass.full_shapes.get(key, []):
        if (
            shape.cpu_milli >= full.cpu_milli
            and shape.memory_mb >= full.memory_mb
            and shape.accelerators >= full.accelerators
        ):
            return True
    return False


def _may_spread(plan_pass: _Pass, job: Job, step: Step, executors: list[Executor]) -> bool:
    """Whether a gang that wants one rack is spread over several."""
    if not fits_when_empty(step, executors, len(step.tasks)):
        return True
    waited_ms = plan_pass.now_ms - job.accepted_ms
    return job.record.queue.priority == 0 and waited_ms > RACK_PATIENCE_MS


def _claim(
    plan_pass: _Pass, job: Job, step: Step, pending: list[Task], executors: list[Executor]
) -> None:
    context = plan_pass.context
    workspace = job.record.workspace
    guaranteed = context.tables.policy.guaranteed_accelerators_by_workspace
    used = plan_pass.used_by_workspace
    need = len(pending) * step.spec.shape.accelerators
    is_guaranteed = used.get(workspace, 0) + need <= guaranteed.get(workspace, 0)

    def may_stop(victim: Job) -> bool:
        if victim.record.queue.priority > 0:
            return True
        other = victim.record.workspace
        over = used.get(other, 0) > guaranteed.get(other, 0)
        return is_guaranteed and other != workspace and over

    candidates = candidates_for(step, executors, job.record.queue.max_attempts, plan_pass.now_ms)
    for trusted in by_trust(candidates):
        found = plan_displacement(
            context.tables, step, pending, trusted, may_stop, plan_pass.now_ms
        )
        if found is not None:
            _carry_out(plan_pass, job, step, found)
            return
    if not step.spec.is_gang or not step.spec.wants_one_rack:
        return
    if not _may_spread(plan_pass, job, step, executors):
        return
    spread = Step(replace(step.spec, wants_one_rack=False), step.tasks)
    found = plan_displacement(
        context.tables, spread, pending, candidates, may_stop, plan_pass.now_ms
    )
    if found is not None:
        _carry_out(plan_pass, job, step, found)


def _carry_out(plan_pass: _Pass, job: Job, step: Step, found: DisplacementPlan) -> None:
    context = plan_pass.context
    context.log(
        "room_claimed",
        {
            "job_id": job.job_id,
            "step": job.steps.index(step),
            "tasks": len(found.placement),
            "stopped": [run_name(run.run_id) for victim in found.victims for run in victim.runs],
            "cost_core_s": round(found.cost, 1),
        },
    )
    accelerators = len(found.placement) * step.spec.shape.accelerators
    context.headroom.note_claim(accelerators, plan_pass.now_ms)
    for victim in found.victims:
        for run in victim.runs:
            stop_run(context, run, plan_pass.now_ms)
    _begin(plan_pass, job, step, found.placement, RunState.CLAIMED)


def _place(plan_pass: _Pass, job: Job, step: Step, placement: Placement) -> None:
    runs = _begin(plan_pass, job, step, placement, RunState.PLACED)
    _commit_placement(plan_pass.context, job, step, runs, plan_pass.now_ms)


def _begin(
    plan_pass: _Pass, job: Job, step: Step, placement: Placement, state: RunState
) -> list[Run]:
    number = 1 + max(task.run_number for task, _ in placement)
    runs: list[Run] = []
    for task, executor_id in placement:
        executor = plan_pass.context.tables.executors_by_id[executor_id]
        run = Run(
            RunId(task.task_id, number if step.spec.is_gang else task.run_number + 1),
            executor_id,
            executor.listing.incarnation,
            step.spec.shape,
            state,
            plan_pass.now_ms,
            is_from_zero=not task.checkpoint,
            changed_ms=plan_pass.now_ms,
            checkpoint=task.checkpoint,
        )
        begin_run(plan_pass.context, task, run)
        runs.append(run)
    if job.record.queue.priority == 0:
        used = plan_pass.used_by_workspace
        amount = len(placement) * step.spec.shape.accelerators
        used[job.record.workspace] = used.get(job.record.workspace, 0) + amount
    return runs


def _commit_placement(context: Context, job: Job, step: Step, runs: list[Run], now_ms: int) -> None:
    if job.state is JobState.QUEUED:
        job.state = JobState.RUNNING
    context.tables.touch(job)
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


def _settle_claims(context: Context, jobs: list[Job], now_ms: int) -> None:
    """Places claims whose room is free, and gives up those that waited too long."""
    for job in jobs:
        for step in job.steps:
            claims = [
                task.run
                for task in step.tasks
                if task.run is not None and task.run.state is RunState.CLAIMED
            ]
            if claims:
                _settle_step(context, job, step, claims, now_ms)


def _settle_step(context: Context, job: Job, step: Step, claims: list[Run], now_ms: int) -> None:
    free = [run for run in claims if _is_free(context.tables, run)]
    if step.spec.is_gang and len(free) < len(claims):
        free = []
    if free:
        _commit_placement(context, job, step, free, now_ms)
    for run in claims:
        if run.state is not RunState.CLAIMED or now_ms - run.placed_ms <= CLAIM_LIMIT_MS:
            continue
        task = context.tables.task(run.run_id.task)
        if task is not None:
            release_run(context, task, run)
        if step.spec.is_gang:
            stop_gang(context, step, run.run_id.number, now_ms)


def _is_free(tables: Tables, run: Run) -> bool:
    executor = tables.executors_by_id.get(run.executor_id)
    if executor is None:
        return False
    room = executor.room
    return room.cpu_milli >= 0 and room.memory_mb >= 0 and room.accelerators >= 0


def _used_by_workspace(tables: Tables) -> dict[str, int]:
    used: dict[str, int] = {}
    for job in tables.open_jobs_by_id.values():
        if job.record.queue.priority != 0:
            continue
        amount = sum(run.shape.accelerators for run in job.live_runs())
        used[job.record.workspace] = used.get(job.record.workspace, 0) + amount
    return used
