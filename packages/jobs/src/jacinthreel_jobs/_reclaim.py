"""Placing gangs in the cells that their workspace is guaranteed, and clearing these cells.

A gang is placed in room of its own workspace's cells as laid out by `_cells`: in cells that are
in use already, then in the smallest unused ones, where the least borrowed work has to make room.
The victims are the borrowers on the workers that are short, cheapest first.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Container, Iterable
from dataclasses import dataclass
from typing import Final

from jacinthreel_common import (
    CELL_ACCELERATORS,
    Adjacency,
    CellLevel,
    JobSpec,
    JobState,
    TaskPlacement,
    Workspace,
)
from jacinthreel_jobs._cells import (
    LEVELS_LARGEST_FIRST,
    WORKER_UNITS,
    ClearingCost,
    LaidCell,
    added_cost,
    lay_out,
)
from jacinthreel_jobs._cluster_view import ClusterView, WorkerView
from jacinthreel_jobs._fit import adjacency_group
from jacinthreel_jobs._tables import JobEntry

CHECKPOINT_COST_S: Final = 5.0
PREEMPTION_COST_S: Final = 1.0
CROWDING_COST: Final = 1.0
"""Accelerator seconds for each free accelerator of a rack, so that full racks fill up first."""
RESERVED_COST: Final = 400.0
"""Accelerator seconds that free room is worth while it is kept for a gang that waits."""
FAR_COST: Final = 1e9
MAX_GROUPS: Final = 8
"""The most racks or zones that are tried for a gang that spans cells."""

LossOf = Callable[[JobEntry], float]
"""The work lost when a gang is taken down, in accelerator seconds."""


@dataclass(slots=True)
class _Slot:
    """Room for tasks of a gang in one cell on one worker."""

    level: CellLevel
    bound: bool
    worker: WorkerView
    tasks: int
    cost: float
    room: int


def work_lost(job: JobEntry, now_ms: int, stopped: bool = False) -> float:
    """The accelerator seconds lost when a running gang is taken down now.

    `stopped` means without the time for a checkpoint.
    """
    spec = job.record.spec
    size = max(1, spec.accelerators)
    if job.state is JobState.PLACED:
        return size * PREEMPTION_COST_S
    if spec.checkpointable and not stopped:
        return size * (CHECKPOINT_COST_S + PREEMPTION_COST_S)
    return size * (max(0.0, (now_ms - job.started_ms) / 1000) + PREEMPTION_COST_S)


class ClearingCosts:
    """What clearing room on a worker costs; gangs that are leaving cost nothing.

    A gang that spans several workers costs its whole loss on each of them.  Free room on workers
    that are `reserved` for a waiting gang is not free of cost either.
    """

    def __init__(
        self,
        view: ClusterView,
        loss_of: LossOf,
        reserved: Container[str] = (),
        crowding: float = 0.0,
    ) -> None:
        self._view = view
        self._reserved = reserved
        self._crowding = crowding
        self._free_by_rack = view.free_by_rack()
        self._loss_of = loss_of
        self._steps_by_worker: dict[str, list[tuple[int, float]]] = {}

    def cost(self, worker_id: str, units: int) -> float:
        """The cost of having `units` of a worker free."""
        steps = self._steps_by_worker.get(worker_id)
        if steps is None:
            steps = self._steps(self._view.workers_by_id[worker_id])
            self._steps_by_worker[worker_id] = steps
        for free, cost in steps:
            if free >= units:
                return cost
        return math.inf

    def claim(self, placement: Iterable[TaskPlacement]) -> None:
        """Forgets what is known of the workers of a placement, since their room changed."""
        for task in placement:
            self._steps_by_worker.pop(task.worker_id, None)

    def _steps(self, worker: WorkerView) -> list[tuple[int, float]]:
        """Pairs of units free and cost, cheapest borrowers first."""
        if not worker.in_service or worker.task_limit <= 0:
            return [(worker.accelerators, FAR_COST)]
        room = Room(worker.free_accelerators, worker.free_cores, worker.free_memory_gb)
        borrowers: list[tuple[float, JobSpec, int]] = []
        for job_id, tasks in worker.tasks_by_gang.items():
            running = self._view.borrowers_by_id.get(job_id)
            job = running or self._view.leaving_by_id.get(job_id)
            if job is None:
                continue
            loss = self._loss_of(job) if running is not None else 0.0
            borrowers.append((loss, job.record.spec, tasks))
        borrowers.sort(key=lambda item: (item[0], item[1].job_id))
        cost = self._crowding * self._free_by_rack.get(worker.rack, 0)
        if worker.worker_id in self._reserved:
            cost += RESERVED_COST
        steps = [(room.units(worker), cost)]
        for loss, spec, tasks in borrowers:
            cost += loss
            room.add(spec, tasks)
            steps.append((room.units(worker), cost))
        return steps


@dataclass(slots=True)
class Room:
    """Free resources of one worker."""

    accelerators: int
    cores: int
    memory_gb: int

    def add(self, spec: JobSpec, tasks: int) -> None:
        """Adds what tasks of a gang hold."""
        self.accelerators += spec.accelerators_per_task * tasks
        self.cores += spec.cores_per_task * tasks
        self.memory_gb += spec.memory_gb_per_task * tasks

    def units(self, worker: WorkerView) -> int:
        """The whole units of the worker that are free in every resource."""
        if not worker.cores or not worker.memory_gb:
            return self.accelerators
        return min(
            self.accelerators,
            self.cores * worker.accelerators // worker.cores,
            self.memory_gb * worker.accelerators // worker.memory_gb,
        )


def place_in_cells(
    spec: JobSpec,
    view: ClusterView,
    workspaces: list[Workspace],
    costs: ClearingCosts,
    avoid: frozenset[str] = frozenset(),
    below: CellLevel | None = None,
) -> list[TaskPlacement] | None:
    """An arrangement within the guarantee of the gang's workspace, or None if there is none.

    Borrowers may stand in its place.  Workers in `avoid` are not used, nor cells of the level
    `below` and larger ones.  The layout promises adjacency only inside a cell, so a gang that
    spans cells of one rack or zone is tried with its cells drawn to each of them.
    """
    search = _CellSearch(spec, view, workspaces, costs, avoid, below)
    placement = search.place((natural_level(spec),), costs.cost)
    if placement is not None or spec.adjacency not in (Adjacency.RACK, Adjacency.ZONE):
        return placement
    task_level = smallest_level(max(1, spec.accelerators_per_task))
    levels = tuple(
        level
        for level in LEVELS_LARGEST_FIRST
        if CELL_ACCELERATORS[task_level] <= CELL_ACCELERATORS[level] <= WORKER_UNITS
    )
    for group in search.groups():
        placement = search.place(levels, search.drawn_to(group))
        if placement is not None:
            return placement
    return None


class _CellSearch:
    """The search for a gang's place in the cells of its workspace."""

    def __init__(
        self,
        spec: JobSpec,
        view: ClusterView,
        workspaces: list[Workspace],
        costs: ClearingCosts,
        avoid: frozenset[str],
        below: CellLevel | None,
    ) -> None:
        self._spec = spec
        self._view = view
        self._workspaces = workspaces
        self._costs = costs
        self._avoid = avoid
        self._below_units = CELL_ACCELERATORS[below] if below is not None else 1 << 30

    def groups(self) -> list[tuple[str, ...]]:
        """The racks or zones that could hold the gang if they were empty, cheapest first."""
        tasks: dict[tuple[str, ...], int] = {}
        prices: dict[tuple[str, ...], float] = {}
        for worker in self._view.placeable():
            group = self._group(worker)
            tasks[group] = tasks.get(group, 0) + worker.fits_when_empty(self._spec)
            price = min(self._costs.cost(worker.worker_id, 1), FAR_COST)
            prices[group] = prices.get(group, 0.0) + price
        holding = [group for group, count in tasks.items() if count >= self._spec.tasks]
        return sorted(holding, key=lambda group: (prices[group], group))[:MAX_GROUPS]

    def drawn_to(self, group: tuple[str, ...]) -> ClearingCost:
        """Costs that draw cells to a rack or zone."""

        def cost(worker_id: str, units: int) -> float:
            far = self._group(self._view.workers_by_id[worker_id]) != group
            return self._costs.cost(worker_id, units) + (FAR_COST if far else 0.0)

        return cost

    def place(
        self, levels: tuple[CellLevel, ...], cost: ClearingCost
    ) -> list[TaskPlacement] | None:
        """The cheapest arrangement in a layout where cells of `levels` go where `cost` is low."""
        spec = self._spec
        layout = lay_out(
            self._workspaces,
            self._view.cell_workers,
            self._view.bound_tasks,
            asker=spec.workspace,
            asked_levels=levels,
            cost=cost,
        )
        slots_by_group: dict[tuple[str, ...], list[_Slot]] = {}
        cleared: dict[str, int] = {}
        for cell in layout.cells_by_workspace.get(spec.workspace, []):
            if CELL_ACCELERATORS[cell.level] >= self._below_units:
                continue
            for slot in _slots(spec, cell, self._view, self._costs, cleared):
                if slot.worker.worker_id not in self._avoid:
                    slots_by_group.setdefault(self._group(slot.worker), []).append(slot)
        best: tuple[float, int, list[TaskPlacement]] | None = None
        for slots in slots_by_group.values():
            filled = _fill(spec, slots)
            if filled is not None and (best is None or filled[:2] < best[:2]):
                best = filled
        return None if best is None else best[2]

    def _group(self, worker: WorkerView) -> tuple[str, ...]:
        return adjacency_group(self._spec.adjacency, worker.zone, worker.rack[1], worker.worker_id)


def natural_level(spec: JobSpec) -> CellLevel:
    """The smallest cell that holds the gang, or a task of it where its tasks may be apart."""
    together = spec.adjacency in (Adjacency.WORKER, Adjacency.RACK)
    return smallest_level(max(1, spec.accelerators if together else spec.accelerators_per_task))


def smallest_level(units: int) -> CellLevel:
    """The smallest level whose cells have so many units."""
    for level in reversed(LEVELS_LARGEST_FIRST):
        if CELL_ACCELERATORS[level] >= units:
            return level
    return CellLevel.RACK


def _slots(
    spec: JobSpec,
    cell: LaidCell,
    view: ClusterView,
    costs: ClearingCosts,
    cleared: dict[str, int],
) -> list[_Slot]:
    """The slots of a cell; `cleared` counts the units of each worker in slots so far."""
    slots: list[_Slot] = []
    for worker_id, room in cell.room_by_worker.items():
        worker = view.workers_by_id[worker_id]
        if not worker.in_service or worker.task_limit <= 0:
            continue
        units = worker.units_per_task(spec)
        tasks = min(room // units, worker.task_limit)
        if tasks <= 0:
            continue
        before = cleared.get(worker_id, 0)
        cleared[worker_id] = before + tasks * units
        cost = added_cost(costs.cost, worker_id, before, tasks * units)
        slots.append(_Slot(cell.level, cell.bound, worker, tasks, cost, room))
    return slots


def _fill(spec: JobSpec, slots: list[_Slot]) -> tuple[float, int, list[TaskPlacement]] | None:
    """Fills slots of one adjacency group; returns cost, units of cells opened, and placement."""
    if sum(slot.tasks for slot in slots) < spec.tasks:
        return None
    slots.sort(
        key=lambda s: (CELL_ACCELERATORS[s.level], not s.bound, s.cost, s.room, s.worker.worker_id)
    )
    placement: list[TaskPlacement] = []
    limits: dict[str, int] = {}
    cost = 0.0
    opened = 0
    for slot in slots:
        worker_id = slot.worker.worker_id
        limit = limits.get(worker_id, slot.worker.task_limit)
        wanted = min(slot.tasks, limit, spec.tasks - len(placement))
        if wanted <= 0:
            continue
        limits[worker_id] = limit - wanted
        cost += slot.cost
        opened += 0 if slot.bound else CELL_ACCELERATORS[slot.level]
        for _ in range(wanted):
            placement.append(TaskPlacement(len(placement), worker_id, slot.level))
        if len(placement) == spec.tasks:
            return cost, opened, placement
    return None


def choose_victims(
    placement: list[TaskPlacement], view: ClusterView, loss_of: LossOf
) -> list[JobEntry] | None:
    """Borrowers to take down so that a placement, claimed in the view already, has room.

    Returns None if taking down all of them does not make room, as while a gang is still stopping.
    Room that leaving gangs will give back counts as free.
    """
    short_ids = {t.worker_id for t in placement if view.workers_by_id[t.worker_id].is_short()}
    returned: list[_Returned] = []
    for job in view.leaving_by_id.values():
        returned.extend(_give_back(job, view, short_ids))
    victims: list[JobEntry] = []
    given: dict[str, list[_Returned]] = {}
    while any(view.workers_by_id[worker_id].is_short() for worker_id in short_ids):
        victim = _cheapest_borrower(view, short_ids, given, loss_of)
        if victim is None:
            break
        victims.append(victim)
        given[victim.job_id] = _give_back(victim, view, short_ids)
    made_room = not any(view.workers_by_id[worker_id].is_short() for worker_id in short_ids)
    if made_room:
        victims = _without_needless(victims, given)
    for room in [*returned, *(room for rooms in given.values() for room in rooms)]:
        room.worker.take(room.spec, room.tasks)
    return victims if made_room else None


@dataclass(frozen=True, slots=True)
class _Returned:
    """Room that a gang would give back on one worker."""

    worker: WorkerView
    spec: JobSpec
    tasks: int


def _cheapest_borrower(
    view: ClusterView, short_ids: set[str], chosen: Container[str], loss_of: LossOf
) -> JobEntry | None:
    best: tuple[float, str] | None = None
    for worker_id in short_ids:
        worker = view.workers_by_id[worker_id]
        if not worker.is_short():
            continue
        for job_id in worker.tasks_by_gang:
            job = view.borrowers_by_id.get(job_id)
            if job is None or job_id in chosen:
                continue
            candidate = (loss_of(job), job_id)
            if best is None or candidate < best:
                best = candidate
    return None if best is None else view.borrowers_by_id[best[1]]


def _give_back(job: JobEntry, view: ClusterView, short_ids: set[str]) -> list[_Returned]:
    returned: list[_Returned] = []
    for worker_id in short_ids:
        worker = view.workers_by_id[worker_id]
        tasks = worker.tasks_by_gang.get(job.job_id, 0)
        if tasks:
            worker.give(job.record.spec, tasks)
            returned.append(_Returned(worker, job.record.spec, tasks))
    return returned


def _without_needless(victims: list[JobEntry], given: dict[str, list[_Returned]]) -> list[JobEntry]:
    """Drops victims, dearest first, without which there is room all the same."""
    needed: list[JobEntry] = []
    for victim in reversed(victims):
        rooms = given[victim.job_id]
        for room in rooms:
            room.worker.take(room.spec, room.tasks)
        if any(room.worker.is_short() for room in rooms):
            for room in rooms:
                room.worker.give(room.spec, room.tasks)
            needed.append(victim)
        else:
            given[victim.job_id] = []
    return needed[::-1]
