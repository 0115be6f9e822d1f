"""Lays out the cells of all guarantees on workers and racks.

A workspace's guarantee is a multiset of cells (see `CellLevel`).  Sizes are in units of one
accelerator together with its share of the worker's cores and memory, so that tasks that fit a
worker by units fit it in every resource.

A layout has two phases:

1. Bound cells.  Tasks of guaranteed gangs record the level of the cell that they occupy.  Each
   such cell is bound to the rack or worker of its tasks, and its whole size is reserved there.
2. Unused cells.  The other cells of all workspaces are laid out in the remaining units, largest
   first.  Each size divides the next larger one, so the number of cells that fit does not depend
   on which worker or rack a cell is assigned to: if any layout places all cells, this one does.

Invariant: as long as every guaranteed gang is placed in cells of its own workspace as laid out
here, and no worker is lost, every layout places all cells.  A gang that ends releases its own
cells.  Tasks of borrowers are ignored, because borrowers are preempted when their resources are
claimed.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable, Container, Iterable
from dataclasses import dataclass, field
from typing import Final

from jacinthreel_common import CELL_ACCELERATORS, RACK_WORKERS, CellLevel, Workspace

WORKER_UNITS: Final = CELL_ACCELERATORS[CellLevel.WORKER]
LEVELS_LARGEST_FIRST: Final = sorted(CellLevel, key=lambda level: -CELL_ACCELERATORS[level])

RackKey = tuple[str, str]
"""Zone and rack; the same rack name may occur in several zones."""

ClearingCost = Callable[[str, int], float]
"""Returns the cost of freeing a number of units of a worker by preempting borrowers."""


@dataclass(slots=True)
class CellWorker:
    """A worker on which cells can be laid out; `units` is its total size."""

    worker_id: str
    rack: RackKey
    units: int


@dataclass(frozen=True, slots=True)
class BoundTask:
    """A task of a guaranteed gang, and the `units` that it uses of a cell of its workspace."""

    workspace: str
    worker_id: str
    rack: RackKey
    level: CellLevel
    units: int


@dataclass(slots=True)
class PlacedCell:
    """A cell that the layout has placed; `bound` if tasks occupy it.

    `free_units_by_worker` has the units that its workspace may still use on each worker.
    """

    workspace: str
    level: CellLevel
    rack: RackKey
    free_units_by_worker: dict[str, int]
    bound: bool


@dataclass(frozen=True, slots=True)
class MissingCells:
    """Cells of a workspace that could not be placed."""

    workspace: str
    level: CellLevel
    count: int


@dataclass(slots=True)
class Layout:
    """The result of a layout: the placed cells and the cells that could not be placed.

    `spare_by_worker` has the units of each worker that no cell occupies; below 0 if bound cells
    exceed the worker's size.
    """

    cells_by_workspace: dict[str, list[PlacedCell]] = field(default_factory=dict)
    missing: list[MissingCells] = field(default_factory=list)
    spare_by_worker: dict[str, int] = field(default_factory=dict)

    def add(self, cell: PlacedCell) -> None:
        """Adds a placed cell."""
        self.cells_by_workspace.setdefault(cell.workspace, []).append(cell)


def marginal_cost(cost: ClearingCost, worker_id: str, units: int, more: int) -> float:
    """Returns the added cost of freeing `more` units beyond `units` that are freed anyway."""
    before = cost(worker_id, units)
    return cost(worker_id, units + more) - before if math.isfinite(before) else before


def count_guaranteed_cells(workspace: Workspace) -> dict[CellLevel, int]:
    """Counts the guaranteed cells of a workspace by level."""
    counts = dict.fromkeys(CellLevel, 0)
    for shape in workspace.guarantee:
        counts[shape.cell] += shape.count
    return counts


class _LayoutBuilder:
    """The working state of one layout."""

    def __init__(self, workers: Iterable[CellWorker]) -> None:
        self.layout = Layout()
        self.workers_by_id = {worker.worker_id: worker for worker in workers}
        self.spare_units = {
            worker.worker_id: worker.units for worker in self.workers_by_id.values()
        }
        self.workers_by_rack: dict[RackKey, list[str]] = {}
        for worker in self.workers_by_id.values():
            self.workers_by_rack.setdefault(worker.rack, []).append(worker.worker_id)

    def bind_tasks(self, tasks: Iterable[BoundTask]) -> dict[tuple[str, CellLevel], int]:
        """Lays out the cells that tasks occupy; returns their number by workspace and level.

        A cell on a worker that is not part of the layout is counted but occupies no units.
        """
        used: dict[tuple[str, CellLevel, RackKey, str], int] = {}
        for task in tasks:
            key = (task.workspace, task.level, task.rack, task.worker_id)
            used[key] = used.get(key, 0) + task.units
        counts: dict[tuple[str, CellLevel], int] = {}
        rack_use: dict[tuple[str, RackKey], dict[str, int]] = {}
        for (workspace, level, rack, worker_id), units in used.items():
            if level is CellLevel.RACK:
                rack_use.setdefault((workspace, rack), {})[worker_id] = units
                continue
            size = CELL_ACCELERATORS[level]
            cells = -(-units // size)
            counts[workspace, level] = counts.get((workspace, level), 0) + cells
            self._bind_worker_cell(workspace, level, worker_id, size * cells, units)
        for (workspace, rack), units_by_worker in rack_use.items():
            cells = -(-len(units_by_worker) // RACK_WORKERS)
            count_key = (workspace, CellLevel.RACK)
            counts[count_key] = counts.get(count_key, 0) + cells
            self._bind_rack(workspace, rack, units_by_worker, cells)
        return counts

    def lay_out_level(
        self, workspace: str, level: CellLevel, count: int, cost: ClearingCost
    ) -> int:
        """Lays out unused cells of any level, lowest cost first; returns how many were placed."""
        if level is CellLevel.RACK:
            return self.lay_out_rack_cells(workspace, count, cost)
        return self.lay_out_worker_cells(workspace, level, count, cost)

    def lay_out_rack_cells(self, workspace: str, count: int, cost: ClearingCost) -> int:
        """Lays out unused rack cells, lowest cost first; returns how many were placed."""
        for placed_count in range(count):
            best: tuple[float, int, RackKey] | None = None
            best_ids: list[str] = []
            for rack, worker_ids in self.workers_by_rack.items():
                unused_ids = [w for w in worker_ids if self.spare_units[w] >= WORKER_UNITS]
                if len(unused_ids) < RACK_WORKERS:
                    continue
                costs_and_ids = sorted((cost(w, WORKER_UNITS), w) for w in unused_ids)[
                    :RACK_WORKERS
                ]
                candidate = (
                    sum(worker_cost for worker_cost, _ in costs_and_ids),
                    len(unused_ids),
                    rack,
                )
                if best is None or candidate < best:
                    best, best_ids = candidate, [worker_id for _, worker_id in costs_and_ids]
            if best is None:
                return placed_count
            free_units = dict.fromkeys(best_ids, WORKER_UNITS)
            for worker_id in best_ids:
                self.spare_units[worker_id] -= WORKER_UNITS
            self.layout.add(PlacedCell(workspace, CellLevel.RACK, best[2], free_units, bound=False))
        return count

    def lay_out_worker_cells(
        self, workspace: str, level: CellLevel, count: int, cost: ClearingCost
    ) -> int:
        """Lays out unused cells that fit on one worker, lowest cost first.

        At equal cost, it prefers workers with few spare units, then racks with few unused workers.
        Returns how many were placed.
        """
        size = CELL_ACCELERATORS[level]
        unused_workers_by_rack = self._count_unused_workers_by_rack()
        laid_units_by_worker: dict[str, int] = {}
        heap = [
            (
                cost(worker_id, size),
                spare_units,
                unused_workers_by_rack.get(self.rack_of(worker_id), 0),
                worker_id,
            )
            for worker_id, spare_units in self.spare_units.items()
            if spare_units >= size
        ]
        heapq.heapify(heap)
        for placed_count in range(count):
            if not heap:
                return placed_count
            _, spare_units, unused_workers, worker_id = heapq.heappop(heap)
            self.spare_units[worker_id] = spare_units - size
            rack = self.rack_of(worker_id)
            self.layout.add(PlacedCell(workspace, level, rack, {worker_id: size}, bound=False))
            laid_units_by_worker[worker_id] = laid_units_by_worker.get(worker_id, 0) + size
            if spare_units - size >= size:
                next_cost = marginal_cost(cost, worker_id, laid_units_by_worker[worker_id], size)
                heapq.heappush(heap, (next_cost, spare_units - size, unused_workers, worker_id))
        return count

    def rack_of(self, worker_id: str) -> RackKey:
        """Returns the rack of a worker."""
        return self.workers_by_id[worker_id].rack

    def _bind_worker_cell(
        self, workspace: str, level: CellLevel, worker_id: str, size: int, used: int
    ) -> None:
        if worker_id not in self.workers_by_id:
            return
        self.spare_units[worker_id] -= size
        free_units = {worker_id: size - used}
        self.layout.add(
            PlacedCell(workspace, level, self.rack_of(worker_id), free_units, bound=True)
        )

    def _bind_rack(
        self, workspace: str, rack: RackKey, units_by_worker: dict[str, int], cells: int
    ) -> None:
        in_rack = self.workers_by_rack.get(rack, [])
        others = [w for w in in_rack if w not in units_by_worker]
        others.sort(key=lambda w: (-self.spare_units[w], w))
        needed = cells * RACK_WORKERS - len(units_by_worker)
        free_units = {
            w: WORKER_UNITS - u for w, u in units_by_worker.items() if w in self.workers_by_id
        }
        for worker_id in others[:needed]:
            if self.spare_units[worker_id] >= WORKER_UNITS:
                free_units[worker_id] = WORKER_UNITS
        for worker_id in free_units:
            self.spare_units[worker_id] -= WORKER_UNITS
        self.layout.add(PlacedCell(workspace, CellLevel.RACK, rack, free_units, bound=True))

    def _count_unused_workers_by_rack(self) -> dict[RackKey, int]:
        counts: dict[RackKey, int] = {}
        for worker in self.workers_by_id.values():
            if self.spare_units[worker.worker_id] >= WORKER_UNITS:
                counts[worker.rack] = counts.get(worker.rack, 0) + 1
        return counts


def lay_out(
    workspaces: Iterable[Workspace],
    workers: Iterable[CellWorker],
    bound_tasks: Iterable[BoundTask] = (),
    requesting_workspace: str = "",
    requested_levels: Container[CellLevel] = (),
    cost: ClearingCost = lambda worker_id, units: 0.0,
) -> Layout:
    """Lays out the cells of all guarantees.

    The unused cells of `requesting_workspace` on `requested_levels` are placed where `cost` is
    lowest; all others where it is highest, so that they don't occupy the cheap workers.
    """
    builder = _LayoutBuilder(workers)
    bound_counts = builder.bind_tasks(bound_tasks)
    unused: dict[CellLevel, list[tuple[str, int]]] = {level: [] for level in CellLevel}
    for workspace in workspaces:
        for level, count in count_guaranteed_cells(workspace).items():
            remaining = count - bound_counts.get((workspace.name, level), 0)
            if remaining > 0:
                unused[level].append((workspace.name, remaining))
    for level in LEVELS_LARGEST_FIRST:
        unused[level].sort(key=lambda item: (item[0] != requesting_workspace, item[0]))
        for name, remaining in unused[level]:
            is_requested = name == requesting_workspace and level in requested_levels
            placed_count = builder.lay_out_level(
                name, level, remaining, cost if is_requested else _negate_cost(cost)
            )
            if placed_count < remaining:
                builder.layout.missing.append(MissingCells(name, level, remaining - placed_count))
    builder.layout.spare_by_worker = builder.spare_units
    return builder.layout


def fits_guarantees(workspaces: Iterable[Workspace], bound_tasks: Iterable[BoundTask]) -> bool:
    """Returns whether the tasks occupy no more cells than their workspaces are guaranteed."""
    counts = _LayoutBuilder(()).bind_tasks(bound_tasks)
    guaranteed = {workspace.name: count_guaranteed_cells(workspace) for workspace in workspaces}
    return all(
        name in guaranteed and count <= guaranteed[name][level]
        for (name, level), count in counts.items()
    )


def _negate_cost(cost: ClearingCost) -> ClearingCost:
    return lambda worker_id, units: -cost(worker_id, units)
