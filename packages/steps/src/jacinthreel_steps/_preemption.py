"""Chooses which runs to preempt so that a job fits.

Each executor's preemptible runs are sorted by the work lost when they are stopped.  Tasks are then
placed greedily, each where the least additional work is lost.  Preempting a gang frees capacity on
every executor that it uses, and its cost is counted once.  Runs that are already stopping cost
nothing, unless the stop takes so long that their executor may be ignoring it.

Targets urgent jobs on a full cluster: their guaranteed capacity has to be free within seconds.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

from jacinthreel_steps._model import NO_RESOURCES, Resources
from jacinthreel_steps._placement import Candidate, Placement, Trust, group_by_rack
from jacinthreel_steps._tables import Executor, Job, Run, RunState, Step, Tables, Task

CORES_PER_ACCELERATOR: Final = 8  # Cores that cost as much as one accelerator.
CHECKPOINTED_LOSS_MS: Final = 1_000  # Maximum work lost if progress is saved; added for every run.
PRIORITY_0_COST_FACTOR: Final = 20.0  # Cost multiplier for victims of priority 0.
STOP_TIMEOUT_MS: Final = 600  # Far longer than a stop takes on a responsive executor.

IsPreemptible = Callable[[Job], bool]


@dataclass(slots=True, eq=False)
class Victim:
    """Runs that are stopped together, and the cost of stopping them; compared by identity."""

    runs: list[Run]
    cost: float


@dataclass(slots=True)
class PreemptionPlan:
    """The placement of tasks and the victims to stop first."""

    placement: Placement
    victims: list[Victim]
    cost: float


@dataclass(slots=True)
class _Search:
    """The state of one search: the victims chosen and the tasks placed so far, by executor."""

    step: Step
    victims_by_executor: dict[str, list[Victim]]
    now_ms: int
    freed_by_executor: dict[str, Resources] = field(default_factory=dict)
    placed_count_by_executor: dict[str, int] = field(default_factory=dict)
    chosen: list[Victim] = field(default_factory=list)
    cost: float = 0.0


def plan_preemption(
    tables: Tables,
    step: Step,
    tasks: list[Task],
    candidates: list[Candidate],
    is_preemptible: IsPreemptible,
    now_ms: int,
) -> PreemptionPlan | None:
    """Returns the cheapest plan found that places all `tasks`, or None if there is none."""
    victims = _find_victims_by_executor(tables, candidates, is_preemptible, now_ms)
    if not step.spec.wants_one_rack:
        return _find_plan(step, tasks, candidates, victims, now_ms)
    best: PreemptionPlan | None = None
    for rack_candidates in group_by_rack(candidates).values():
        plan = _find_plan(step, tasks, rack_candidates, victims, now_ms)
        if plan is not None and (best is None or plan.cost < best.cost):
            best = plan
    return best


def _find_plan(
    step: Step,
    tasks: list[Task],
    candidates: list[Candidate],
    victims_by_executor: dict[str, list[Victim]],
    now_ms: int,
) -> PreemptionPlan | None:
    search = _Search(step, victims_by_executor, now_ms)
    placement: Placement = []
    for task in tasks:
        best: Candidate | None = None
        best_victims: list[Victim] = []
        best_key: tuple[float, Trust, int] | None = None
        for candidate in candidates:
            victims = _find_needed_victims(search, candidate)
            if victims is None:
                continue
            cost = sum(victim.cost for victim in victims)
            key = (cost, candidate.trust, candidate.free_resources.accelerators)
            if best_key is None or key < best_key:
                best, best_victims, best_key = candidate, victims, key
        if best is None:
            return None
        _record_choice(search, best, best_victims)
        placement.append((task, best.executor.executor_id))
    return PreemptionPlan(placement, search.chosen, search.cost)


def _find_needed_victims(search: _Search, candidate: Candidate) -> list[Victim] | None:
    """Returns the victims to stop so that one more task fits, or None if it can't fit."""
    executor_id = candidate.executor.executor_id
    placed_count = search.placed_count_by_executor.get(executor_id, 0)
    if candidate.slots_left - placed_count < 1:
        return None
    shape = search.step.spec.shape
    free = candidate.free_resources.plus(
        _capacity_of_stopping_runs(candidate.executor, search.now_ms)
    )
    free = free.plus(search.freed_by_executor.get(executor_id, NO_RESOURCES))
    for _ in range(placed_count):
        free = free.minus(shape)
    needed: list[Victim] = []
    if shape.count_fitting_into(free) >= 1:
        return needed
    for victim in search.victims_by_executor.get(executor_id, []):
        if victim in search.chosen:
            continue
        needed.append(victim)
        for run in victim.runs:
            if run.executor_id == executor_id:
                free = free.plus(run.shape)
        if shape.count_fitting_into(free) >= 1:
            return needed
    return None


def _record_choice(search: _Search, candidate: Candidate, victims: list[Victim]) -> None:
    executor_id = candidate.executor.executor_id
    search.placed_count_by_executor[executor_id] = (
        search.placed_count_by_executor.get(executor_id, 0) + 1
    )
    for victim in victims:
        search.chosen.append(victim)
        search.cost += victim.cost
        for run in victim.runs:
            freed = search.freed_by_executor.get(run.executor_id, NO_RESOURCES)
            search.freed_by_executor[run.executor_id] = freed.plus(run.shape)


def _capacity_of_stopping_runs(executor: Executor, now_ms: int) -> Resources:
    """Returns the capacity held by runs whose stop was ordered within `STOP_TIMEOUT_MS`."""
    capacity = NO_RESOURCES
    for run in executor.runs_by_task.values():
        if run.state is not RunState.STOPPING or run.stopping_since_ms is None:
            continue
        if now_ms - run.stopping_since_ms <= STOP_TIMEOUT_MS:
            capacity = capacity.plus(run.shape)
    return capacity


def _find_victims_by_executor(
    tables: Tables, candidates: list[Candidate], is_preemptible: IsPreemptible, now_ms: int
) -> dict[str, list[Victim]]:
    victims: dict[str, list[Victim]] = {}
    victim_by_gang: dict[tuple[str, int], Victim] = {}
    for candidate in candidates:
        executor_victims: list[Victim] = []
        for run in candidate.executor.runs_by_task.values():
            job = tables.jobs_by_id.get(run.run_id.task.job_id)
            if job is None or run.state is RunState.STOPPING or not is_preemptible(job):
                continue
            victim = _make_victim(job, run, victim_by_gang, now_ms)
            if victim not in executor_victims:
                executor_victims.append(victim)
        executor_victims.sort(key=lambda victim: victim.cost)
        victims[candidate.executor.executor_id] = executor_victims
    return victims


def _make_victim(
    job: Job, run: Run, victim_by_gang: dict[tuple[str, int], Victim], now_ms: int
) -> Victim:
    step = job.steps[run.run_id.task.step_index]
    if not step.spec.is_gang:
        return Victim([run], _preemption_cost(job, step, [run], now_ms))
    key = (job.job_id, run.run_id.task.step_index)
    victim = victim_by_gang.get(key)
    if victim is None:
        runs = [task.run for task in step.tasks if task.run is not None]
        runs = [member for member in runs if member.state is not RunState.STOPPING]
        victim = Victim(runs, _preemption_cost(job, step, runs, now_ms))
        victim_by_gang[key] = victim
    return victim


def _preemption_cost(job: Job, step: Step, runs: list[Run], now_ms: int) -> float:
    """Returns the core-seconds lost if the runs are stopped, weighted by the job's priority."""
    lost = 0.0
    for run in runs:
        ran_ms = max(0, now_ms - run.placed_ms)
        if step.spec.saves_progress:
            ran_ms = min(ran_ms, CHECKPOINTED_LOSS_MS)
        cores = run.shape.cpu_milli / 1000 + run.shape.accelerators * CORES_PER_ACCELERATOR
        lost += cores * (CHECKPOINTED_LOSS_MS + ran_ms) / 1000
    priority = job.record.queue.priority
    return lost * PRIORITY_0_COST_FACTOR if priority == 0 else lost / priority
