"""Making room for a job by stopping others.

Each executor's runs that may be stopped are sorted by the work that stopping them throws away.
Tasks are then placed one after the other, each where the least additional work is lost.  A gang
that is stopped frees room wherever it runs, and is paid for once.  Runs that are being stopped
already cost nothing, unless that takes so long that their executor may not be heeding.

Answers the load of urgent jobs on a full system: their guarantee has to be free within seconds.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

from jacinthreel_steps._model import NOTHING, Resources
from jacinthreel_steps._room import Candidate, Placement, Trust, by_rack
from jacinthreel_steps._tables import Executor, Job, Run, RunState, Step, Tables, Task

CORES_PER_ACCELERATOR: Final = 8  # What an accelerator's time is worth in processor time.
KEPT_WORK_LOSS_MS: Final = 1_000  # Work lost at most where progress is saved.
SAME_PRIORITY_COST: Final = 20.0
STOP_PATIENCE_MS: Final = 600  # Far longer than a stop takes at an executor that heeds it.

MayStop = Callable[[Job], bool]


@dataclass(slots=True, eq=False)
class Victim:
    """Runs that end together, and the cost of stopping them; compared by identity."""

    runs: list[Run]
    cost: float


@dataclass(slots=True)
class DisplacementPlan:
    """Where tasks go and which runs have to leave first."""

    placement: Placement
    victims: list[Victim]
    cost: float


@dataclass(slots=True)
class _Search:
    """The state of one search: room gained by the victims chosen so far."""

    step: Step
    victims_by_executor: dict[str, list[Victim]]
    now_ms: int
    gained_by_executor: dict[str, Resources] = field(default_factory=dict)
    taken_by_executor: dict[str, int] = field(default_factory=dict)
    chosen: list[Victim] = field(default_factory=list)
    cost: float = 0.0


def plan_displacement(
    tables: Tables,
    step: Step,
    tasks: list[Task],
    candidates: list[Candidate],
    may_stop: MayStop,
    now_ms: int,
) -> DisplacementPlan | None:
    """The cheapest way found to place all `tasks`, or None if there is no way."""
    victims = _victims_by_executor(tables, candidates, may_stop, now_ms)
    if not step.spec.wants_one_rack:
        return _search(step, tasks, candidates, victims, now_ms)
    best: DisplacementPlan | None = None
    for rack_candidates in by_rack(candidates).values():
        plan = _search(step, tasks, rack_candidates, victims, now_ms)
        if plan is not None and (best is None or plan.cost < best.cost):
            best = plan
    return best


def _search(
    step: Step,
    tasks: list[Task],
    candidates: list[Candidate],
    victims_by_executor: dict[str, list[Victim]],
    now_ms: int,
) -> DisplacementPlan | None:
    search = _Search(step, victims_by_executor, now_ms)
    placement: Placement = []
    for task in tasks:
        best: Candidate | None = None
        best_victims: list[Victim] = []
        best_key: tuple[float, Trust, int] | None = None
        for candidate in candidates:
            victims = _victims_needed(search, candidate)
            if victims is None:
                continue
            cost = sum(victim.cost for victim in victims)
            key = (cost, candidate.trust, candidate.room.accelerators)
            if best_key is None or key < best_key:
                best, best_victims, best_key = candidate, victims, key
        if best is None:
            return None
        _choose(search, best, best_victims)
        placement.append((task, best.executor.executor_id))
    return DisplacementPlan(placement, search.chosen, search.cost)


def _victims_needed(search: _Search, candidate: Candidate) -> list[Victim] | None:
    """What has to leave so that one more task fits, or None where that can't be."""
    executor_id = candidate.executor.executor_id
    taken = search.taken_by_executor.get(executor_id, 0)
    if candidate.slots_left - taken < 1:
        return None
    shape = search.step.spec.shape
    room = candidate.room.plus(_leaving_room(candidate.executor, search.now_ms))
    room = room.plus(search.gained_by_executor.get(executor_id, NOTHING))
    for _ in range(taken):
        room = room.minus(shape)
    needed: list[Victim] = []
    if shape.times_within(room) >= 1:
        return needed
    for victim in search.victims_by_executor.get(executor_id, []):
        if victim in search.chosen:
            continue
        needed.append(victim)
        for run in victim.runs:
            if run.executor_id == executor_id:
                room = room.plus(run.shape)
        if shape.times_within(room) >= 1:
            return needed
    return None


def _choose(search: _Search, candidate: Candidate, victims: list[Victim]) -> None:
    executor_id = candidate.executor.executor_id
    search.taken_by_executor[executor_id] = search.taken_by_executor.get(executor_id, 0) + 1
    for victim in victims:
        search.chosen.append(victim)
        search.cost += victim.cost
        for run in victim.runs:
            gained = search.gained_by_executor.get(run.executor_id, NOTHING)
            search.gained_by_executor[run.executor_id] = gained.plus(run.shape)


def _leaving_room(executor: Executor, now_ms: int) -> Resources:
    """The room of runs that have just been told to stop."""
    room = NOTHING
    for run in executor.runs_by_task.values():
        if run.state is not RunState.STOPPING or run.stopping_since_ms is None:
            continue
        if now_ms - run.stopping_since_ms <= STOP_PATIENCE_MS:
            room = room.plus(run.shape)
    return room


def _victims_by_executor(
    tables: Tables, candidates: list[Candidate], may_stop: MayStop, now_ms: int
) -> dict[str, list[Victim]]:
    victims: dict[str, list[Victim]] = {}
    gangs: dict[tuple[str, int], Victim] = {}
    for candidate in candidates:
        found: list[Victim] = []
        for run in candidate.executor.runs_by_task.values():
            job = tables.jobs_by_id.get(run.run_id.task.job_id)
            if job is None or run.state is RunState.STOPPING or not may_stop(job):
                continue
            victim = _victim(job, run, gangs, now_ms)
            if victim not in found:
                found.append(victim)
        found.sort(key=lambda victim: victim.cost)
        victims[candidate.executor.executor_id] = found
    return victims


def _victim(job: Job, run: Run, gangs: dict[tuple[str, int], Victim], now_ms: int) -> Victim:
    step = job.steps[run.run_id.task.step_index]
    if not step.spec.is_gang:
        return Victim([run], _cost(job, step, [run], now_ms))
    key = (job.job_id, run.run_id.task.step_index)
    victim = gangs.get(key)
    if victim is None:
        runs = [task.run for task in step.tasks if task.run is not None]
        runs = [member for member in runs if member.state is not RunState.STOPPING]
        victim = Victim(runs, _cost(job, step, runs, now_ms))
        gangs[key] = victim
    return victim


def _cost(job: Job, step: Step, runs: list[Run], now_ms: int) -> float:
    """Core-seconds thrown away, more for jobs that come first."""
    lost = 0.0
    for run in runs:
        ran_ms = max(0, now_ms - run.placed_ms)
        if step.spec.saves_progress:
            ran_ms = min(ran_ms, KEPT_WORK_LOSS_MS)
        cores = run.shape.cpu_milli / 1000 + run.shape.accelerators * CORES_PER_ACCELERATOR
        lost += cores * (KEPT_WORK_LOSS_MS + ran_ms) / 1000
    priority = job.record.queue.priority
    return lost * SAME_PRIORITY_COST if priority == 0 else lost / priority
