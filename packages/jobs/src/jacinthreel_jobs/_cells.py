"""Cells: how guarantees are laid out on workers and racks.

A workspace's guarantee is a multiset of cells (see `CellLevel`).  Sizes are in units of one
accelerator together with its share of the worker's cores and memory, so that tasks that fit a
worker by units fit it in every resource.

A layout has two phases:

1. Bound cells.  Tasks of guaranteed gangs carry the level of the cell that they occupy.  Each
   such cell is bound to the rack or worker of its tasks, and its whole size is set aside there.
2. Unused cells.  The other cells of all workspaces are laid out on what is left, largest first.
   Each size divides the next, so the count of cells that fit does not depend on which worker
   or rack a cell is put on: the layout finds room for all of them if any layout does.

Invariant: as long as every guaranteed gang is placed in cells of its own workspace as laid out
here, and no worker is lost, no layout ever lacks a cell.  A gang that ends gives its own place
back.  Tasks of borrowers are not looked at; they make room when their place is claimed.
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
"""Zone and rack; rack names need not be unique over zones."""

ClearingCost = Callable[[str, int], float]
"""The cost of clearing so many units of a worker of borrowers."""


@dataclass(slots=True)
class CellWorker:
    """A worker that can carry cells; `units` is its whole size."""

    worker_id: str
    rack: RackKey
    units: int


@dataclass(frozen=True, slots=True)
class BoundTask:
    """A task of a guaranteed gang: whose cell it occupies, where, and how much of it."""

    workspace: str
    worker_id: str
    rack: RackKey
    level: CellLevel
    units: int


@dataclass(slots=True)
class LaidCell:
    """A cell at its place; `room_by_worker` has the units that its owner may still use there."""

    workspace: str
    level: CellLevel
    rack: RackKey
    room_by_worker: dict[str, int]
    bound: bool


@dataclass(frozen=True, slots=True)
class MissingCells:
    """Cells of a workspace for which no room is left."""

    workspace: str
    level: CellLevel
    count: int


@dataclass(slots=True)
class Layout:
    """The result: every cell that has a place, those that have none, and what is left over.

    `spare_by_worker` are the units of each worker that no cell takes.
    """

    cells_by_workspace: dict[str, list[LaidCell]] = field(default_factory=dict)
    missing: list[MissingCells] = field(default_factory=list)
    spare_by_worker: dict[str, int] = field(default_factory=dict)

    def add(self, cell: LaidCell) -> None:
        """Adds a cell that has found its place."""
        self.cells_by_workspace.setdefault(cell.workspace, []).append(cell)


def added_cost(cost: ClearingCost, worker_id: str, units: int, more: int) -> float:
    """What clearing `more` units costs beyond `units` that are cleared anyway."""
    before = cost(worker_id, units)
    return cost(worker_id, units + more) - before if math.isfinite(before) else before


def guaranteed_counts(workspace: Workspace) -> dict[CellLevel, int]:
    """How many cells of each level a workspace is guaranteed."""
    counts = dict.fromkeys(CellLevel, 0)
    for shape in workspace.guarantee:
        counts[shape.cell] += shape.count
    return counts


class _LayoutBuilder:
    """The working state of one layout."""

    def __init__(self, workers: Iterable[CellWorker]) -> None:
        self.layout = Layout()
        self.workers_by_id = {worker.worker_id: worker for worker in workers}
        self.spare = {worker.worker_id: worker.units for worker in self.workers_by_id.values()}
        self.workers_by_rack: dict[RackKey, list[str]] = {}
        for worker in self.workers_by_id.values():
            self.workers_by_rack.setdefault(worker.rack, []).append(worker.worker_id)

    def bind(self, tasks: Iterable[BoundTask]) -> dict[tuple[str, CellLevel], int]:
        """Lays out the cells that tasks occupy; returns how many each workspace uses.

        A cell on a worker that can carry none counts as used, but takes no room.
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
            self._take(workspace, level, worker_id, size * cells, units)
        for (workspace, rack), units_by_worker in rack_use.items():
            cells = -(-len(units_by_worker) // RACK_WORKERS)
            count_key = (workspace, CellLevel.RACK)
            counts[count_key] = counts.get(count_key, 0) + cells
            self._bind_rack(workspace, rack, units_by_worker, cells)
        return counts

    def lay(self, workspace: str, level: CellLevel, count: int, cost: ClearingCost) -> int:
        """Lays out unused cells of any level, lowest cost first; returns how many found room."""
        if level is CellLevel.RACK:
            return self.lay_racks(workspace, count, cost)
        return self.lay_cells(workspace, level, count, cost)

    def lay_racks(self, workspace: str, count: int, cost: ClearingCost) -> int:
        """Lays out unused rack cells, lowest cost first; returns how many found room."""
        for laid in range(count):
            best: tuple[float, int, RackKey] | None = None
            best_ids: list[str] = []
            for rack, worker_ids in self.workers_by_rack.items():
                whole = [w for w in worker_ids if self.spare[w] >= WORKER_UNITS]
                if len(whole) < RACK_WORKERS:
                    continue
                priced = sorted((cost(w, WORKER_UNITS), w) for w in whole)[:RACK_WORKERS]
                candidate = (sum(price for price, _ in priced), len(whole), rack)
                if best is None or candidate < best:
                    best, best_ids = candidate, [worker_id for _, worker_id in priced]
            if best is None:
                return laid
            room = dict.fromkeys(best_ids, WORKER_UNITS)
            for worker_id in best_ids:
                self.spare[worker_id] -= WORKER_UNITS
            self.layout.add(LaidCell(workspace, CellLevel.RACK, best[2], room, bound=False))
        return count

    def lay_cells(self, workspace: str, level: CellLevel, count: int, cost: ClearingCost) -> int:
        """Lays out unused cells of a worker or less; returns how many found room.

        At equal cost, workers with little room and racks with few whole workers go first.
        """
        size = CELL_ACCELERATORS[level]
        whole_by_rack = self._whole_workers_by_rack()
        laid_on: dict[str, int] = {}
        heap = [
            (cost(worker_id, size), spare, whole_by_rack.get(self.rack_of(worker_id), 0), worker_id)
            for worker_id, spare in self.spare.items()
            if spare >= size
        ]
        heapq.heapify(heap)
        for laid in range(count):
            if not heap:
                return laid
            _, spare, whole, worker_id = heapq.heappop(heap)
            self.spare[worker_id] = spare - size
            rack = self.rack_of(worker_id)
            self.layout.add(LaidCell(workspace, level, rack, {worker_id: size}, bound=False))
            laid_on[worker_id] = laid_on.get(worker_id, 0) + size
            if spare - size >= size:
                next_cost = added_cost(cost, worker_id, laid_on[worker_id], size)
                heapq.heappush(heap, (next_cost, spare - size, whole, worker_id))
        return count

    def rack_of(self, worker_id: str) -> RackKey:
        """The rack of a worker."""
        return self.workers_by_id[worker_id].rack

    def _take(self, workspace: str, level: CellLevel, worker_id: str, size: int, used: int) -> None:
        if worker_id not in self.workers_by_id:
            return
        self.spare[worker_id] -= size
        room = {worker_id: size - used}
        self.layout.add(LaidCell(workspace, level, self.rack_of(worker_id), room, bound=True))

    def _bind_rack(
        self, workspace: str, rack: RackKey, units_by_worker: dict[str, int], cells: int
    ) -> None:
        in_rack = self.workers_by_rack.get(rack, [])
        others = [w for w in in_rack if w not in units_by_worker]
        others.sort(key=lambda w: (-self.spare[w], w))
        wanted = cells * RACK_WORKERS - len(units_by_worker)
        room = {w: WORKER_UNITS - u for w, u in units_by_worker.items() if w in self.workers_by_id}
        for worker_id in others[:wanted]:
            if self.spare[worker_id] >= WORKER_UNITS:
                room[worker_id] = WORKER_UNITS
        for worker_id in room:
            self.spare[worker_id] -= WORKER_UNITS
        self.layout.add(LaidCell(workspace, CellLevel.RACK, rack, room, bound=True))

    def _whole_workers_by_rack(self) -> dict[RackKey, int]:
        counts: dict[RackKey, int] = {}
        for worker in self.workers_by_id.values():
            if self.spare[worker.worker_id] >= WORKER_UNITS:
                counts[worker.rack] = counts.get(worker.rack, 0) + 1
        return counts


def lay_out(
    workspaces: Iterable[Workspace],
    workers: Iterable[CellWorker],
    bound_tasks: Iterable[BoundTask] = (),
    asker: str = "",
    asked_levels: Container[CellLevel] = (),
    cost: ClearingCost = lambda worker_id, units: 0.0,
) -> Layout:
    """Lays out all guarantees.

    The unused cells of `asker` on `asked_levels` go where `cost` is lowest; all others where it is
    highest, so that they leave the cheap places.
    """
    builder = _LayoutBuilder(workers)
    bound_counts = builder.bind(bound_tasks)
    unused: dict[CellLevel, list[tuple[str, int]]] = {level: [] for level in CellLevel}
    for workspace in workspaces:
        for level, count in guaranteed_counts(workspace).items():
            left = count - bound_counts.get((workspace.name, level), 0)
            if left > 0:
                unused[level].append((workspace.name, left))
    for level in LEVELS_LARGEST_FIRST:
        unused[level].sort(key=lambda item: (item[0] != asker, item[0]))
        for name, left in unused[level]:
            asked = name == asker and level in asked_levels
            laid = builder.lay(name, level, left, cost if asked else _negated(cost))
            if laid < left:
                builder.layout.missing.append(MissingCells(name, level, left - laid))
    builder.layout.spare_by_worker = builder.spare
    return builder.layout


def fits_guarantees(workspaces: Iterable[Workspace], bound_tasks: Iterable[BoundTask]) -> bool:
    """Whether the tasks occupy no more cells than their workspaces are guaranteed."""
    counts = _LayoutBuilder(()).bind(bound_tasks)
    guaranteed = {workspace.name: guaranteed_counts(workspace) for workspace in workspaces}
    return all(
        name in guaranteed and count <= guaranteed[name][level]
        for (name, level), count in counts.items()
    )


def _negated(cost: ClearingCost) -> ClearingCost:
    return lambda worker_id, units: -cost(worker_id, units)
