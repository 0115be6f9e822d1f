"""Places gangs in cells of their workspace's guarantee, even if borrowers occupy these cells.

A gang is placed in its own workspace's cells as laid out by `_cells`: in the smallest cells that
fit; among these, in cells in use before unused ones, and then where the least borrowed work is
lost.  The costs are those of `_clearing_costs`; the borrowers to preempt are chosen by `_victims`.
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
"""The highest number of racks or zones that are tried for a gang that spans cells."""


@dataclass(slots=True)
class _Slot:
    """The part of one cell on one worker that can hold `tasks` tasks of a gang.

    `bound` tells whether the cell is in use; `cost` is the cost of preempting the borrowers there.
    """

    level: CellLevel
    bound: bool
    worker: WorkerView
    tasks: int
    cost: float
    free_units: int


def place_in_cells(
    spec: JobSpec,
    view: ClusterView,
    workspaces: list[Workspace],
    costs: ClearingCosts,
    avoided: frozenset[str] = frozenset(),
    below_level: CellLevel | None = None,
) -> list[TaskPlacement] | None:
    """Returns a placement within the guarantee of the gang's workspace, or None if there is none.

    Borrowers may still occupy it.  Workers in `avoided` are not used, and only cells smaller than
    `below_level`.  The layout guarantees adjacency only within a cell, so for a gang that spans
    several cells of one rack or zone, a layout that prefers this rack or zone is tried for each.
    """
    search = _CellSearch(spec, view, workspaces, costs, avoided, below_level)
    placement = search.place((smallest_level_for_gang(spec),), costs.cost)
    if placement is not None or spec.adjacency not in (Adjacency.RACK, Adjacency.ZONE):
        return placement
    task_level = smallest_level_for_units(max(1, spec.accelerators_per_task))
    levels = tuple(
        level
        for level in LEVELS_LARGEST_FIRST
        if CELL_ACCELERATORS[task_level] <= CELL_ACCELERATORS[level] <= WORKER_UNITS
    )
    for group in search.candidate_groups():
        placement = search.place(levels, search.cost_function_for(group))
        if placement is not None:
            return placement
    return None


class _CellSearch:
    """Searches for a placement of one gang in the cells of its workspace."""

    def __init__(
        self,
        spec: JobSpec,
        view: ClusterView,
        workspaces: list[Workspace],
        costs: ClearingCosts,
        avoided: frozenset[str],
        below_level: CellLevel | None,
    ) -> None:
        self._spec = spec
        self._view = view
        self._workspaces = workspaces
        self._costs = costs
        self._avoided = avoided
        self._below_units = CELL_ACCELERATORS[below_level] if below_level is not None else 1 << 30

    def candidate_groups(self) -> list[tuple[str, ...]]:
        """Returns the racks or zones that could hold the gang if idle, cheapest first."""
        fit_by_group: dict[tuple[str, ...], int] = {}
        cost_by_group: dict[tuple[str, ...], float] = {}
        for worker in self._view.placeable_workers():
            group = self._group(worker)
            fit_by_group[group] = fit_by_group.get(group, 0) + worker.count_fitting_when_empty(
                self._spec
            )
            cost = min(self._costs.cost(worker.worker_id, 1), PROHIBITIVE_COST)
            cost_by_group[group] = cost_by_group.get(group, 0.0) + cost
        large_enough = [group for group, count in fit_by_group.items() if count >= self._spec.tasks]
        return sorted(large_enough, key=lambda group: (cost_by_group[group], group))[:MAX_GROUPS]

    def cost_function_for(self, group: tuple[str, ...]) -> ClearingCost:
        """Returns a cost function that adds `PROHIBITIVE_COST` outside a rack or zone."""

        def cost(worker_id: str, units: int) -> float:
            is_outside = self._group(self._view.workers_by_id[worker_id]) != group
            return self._costs.cost(worker_id, units) + (PROHIBITIVE_COST if is_outside else 0.0)

        return cost

    def place(
        self, levels: tuple[CellLevel, ...], cost: ClearingCost
    ) -> list[TaskPlacement] | None:
        """Returns the cheapest placement, with cells of `levels` laid out where `cost` is low."""
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
        used_units_by_worker: dict[str, int] = {}
        for cell in layout.cells_by_workspace.get(spec.workspace, []):
            if CELL_ACCELERATORS[cell.level] >= self._below_units:
                continue
            for slot in _list_slots(spec, cell, self._view, self._costs, used_units_by_worker):
                if slot.worker.worker_id not in self._avoided:
                    slots_by_group.setdefault(self._group(slot.worker), []).append(slot)
        best: tuple[float, int, list[TaskPlacement]] | None = None
        for slots in slots_by_group.values():
            filled = _fill_slots(spec, slots)
            if filled is not None and (best is None or filled[:2] < best[:2]):
                best = filled
        return None if best is None else best[2]

    def _group(self, worker: WorkerView) -> tuple[str, ...]:
        return adjacency_group(self._spec.adjacency, worker.zone, worker.rack[1], worker.worker_id)


def smallest_level_for_gang(spec: JobSpec) -> CellLevel:
    """Returns the smallest level whose cells hold the gang, or one task if it may span workers.

    A gang with worker or rack adjacency needs a cell that holds all its tasks.
    """
    needs_one_cell = spec.adjacency in (Adjacency.WORKER, Adjacency.RACK)
    return smallest_level_for_units(
        max(1, spec.accelerators if needs_one_cell else spec.accelerators_per_task)
    )


def smallest_level_for_units(units: int) -> CellLevel:
    """Returns the smallest level whose cells have at least `units` units."""
    for level in reversed(LEVELS_LARGEST_FIRST):
        if CELL_ACCELERATORS[level] >= units:
            return level
    return CellLevel.RACK


def _list_slots(
    spec: JobSpec,
    cell: PlacedCell,
    view: ClusterView,
    costs: ClearingCosts,
    used_units_by_worker: dict[str, int],
) -> list[_Slot]:
    """Returns the slots of a cell, and adds their units to `used_units_by_worker`."""
    slots: list[_Slot] = []
    for worker_id, free_units in cell.free_units_by_worker.items():
        worker = view.workers_by_id[worker_id]
        if not worker.in_service or worker.task_limit <= 0:
            continue
        units = worker.units_per_task(spec)
        tasks = min(free_units // units, worker.task_limit)
        if tasks <= 0:
            continue
        before = used_units_by_worker.get(worker_id, 0)
        used_units_by_worker[worker_id] = before + tasks * units
        cost = marginal_cost(costs.cost, worker_id, before, tasks * units)
        slots.append(_Slot(cell.level, cell.bound, worker, tasks, cost, free_units))
    return slots


def _fill_slots(spec: JobSpec, slots: list[_Slot]) -> tuple[float, int, list[TaskPlacement]] | None:
    """Places a gang in slots of one adjacency group, or returns None if it does not fit.

    Returns the cost, the units of cells that were unused so far, and the placement.
    """
    if sum(slot.tasks for slot in slots) < spec.tasks:
        return None
    slots.sort(
        key=lambda s: (
            CELL_ACCELERATORS[s.level],
            not s.bound,
            s.cost,
            s.free_units,
            s.worker.worker_id,
        )
    )
    placement: list[TaskPlacement] = []
    limit_by_worker: dict[str, int] = {}
    cost = 0.0
    newly_used_units = 0
    for slot in slots:
        worker_id = slot.worker.worker_id
        limit = limit_by_worker.get(worker_id, slot.worker.task_limit)
        count = min(slot.tasks, limit, spec.tasks - len(placement))
        if count <= 0:
            continue
        limit_by_worker[worker_id] = limit - count
        cost += slot.cost
        newly_used_units += 0 if slot.bound else CELL_ACCELERATORS[slot.level]
        for _ in range(count):
            placement.append(TaskPlacement(len(placement), worker_id, slot.level))
        if len(placement) == spec.tasks:
            return cost, newly_used_units, placement
    return None
