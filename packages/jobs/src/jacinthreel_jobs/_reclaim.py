"""Placing gangs in the cells that their workspace is guaranteed, and clearing these cells.

A gang is placed in room of its own workspace's cells as laid out by `_cells`: in cells that are
in use already, then in the smallest unused ones, where the least borrowed work has to make room.
The costs are those of `_clearing_costs`, the borrowers that make room are chosen by `_victims`.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

from jacinthreel_common import (
    CELL_ACCELERATORS,
    Adjacency,
    CellLevel,
    JobSpec,
    TaskPlacement,
    Workspace,
)
from jacinthreel_jobs._cells import (
    LEVELS_LARGEST_FIRST,
    WORKER_UNITS,
    ClearingCost,
    PlacedCell,
    lay_out,
    marginal_cost,
)
from jacinthreel_jobs._clearing_costs import PROHIBITIVE_COST, ClearingCosts
from jacinthreel_jobs._cluster_view import ClusterView, WorkerView
from jacinthreel_jobs._fit import adjacency_group

MAX_GROUPS: Final = 8
"""The most racks or zones that are tried for a gang that spans cells."""


@dataclass(slots=True)
class _Slot:
    """Room for tasks of a gang in one cell on one worker."""

    level: CellLevel
    bound: bool
    worker: WorkerView
    tasks: int
    cost: float
    room: int


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
        for worker in self._view.placeable_workers():
            group = self._group(worker)
            tasks[group] = tasks.get(group, 0) + worker.count_fitting_when_empty(self._spec)
            price = min(self._costs.cost(worker.worker_id, 1), PROHIBITIVE_COST)
            prices[group] = prices.get(group, 0.0) + price
        holding = [group for group, count in tasks.items() if count >= self._spec.tasks]
        return sorted(holding, key=lambda group: (prices[group], group))[:MAX_GROUPS]

    def drawn_to(self, group: tuple[str, ...]) -> ClearingCost:
        """Costs that draw cells to a rack or zone."""

        def cost(worker_id: str, units: int) -> float:
            far = self._group(self._view.workers_by_id[worker_id]) != group
            return self._costs.cost(worker_id, units) + (PROHIBITIVE_COST if far else 0.0)

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
            requesting_workspace=spec.workspace,
            requested_levels=levels,
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
    cell: PlacedCell,
    view: ClusterView,
    costs: ClearingCosts,
    cleared: dict[str, int],
) -> list[_Slot]:
    """The slots of a cell; `cleared` counts the units of each worker in slots so far."""
    slots: list[_Slot] = []
    for worker_id, room in cell.free_units_by_worker.items():
        worker = view.workers_by_id[worker_id]
        if not worker.in_service or worker.task_limit <= 0:
            continue
        units = worker.units_per_task(spec)
        tasks = min(room // units, worker.task_limit)
        if tasks <= 0:
            continue
        before = cleared.get(worker_id, 0)
        cleared[worker_id] = before + tasks * units
        cost = marginal_cost(costs.cost, worker_id, before, tasks * units)
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
