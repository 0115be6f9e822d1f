"""Packs gangs into free capacity so that whole workers and racks stay free.

docs/PLACEMENT.md compares the alternatives.  A gang is placed in the adjacency group that holds it
with the fewest free accelerators (best fit).  Within the group, tasks first fill workers that are
partly in use, then idle workers; both in order of their rack's free accelerators, fewest first.
Capacity of unused guarantees is used last, because a gang that borrows it may be preempted.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from jacinthreel_common import JobSpec, TaskPlacement
from jacinthreel_jobs._cells import RackKey
from jacinthreel_jobs._cluster_view import ClusterView, WorkerView
from jacinthreel_jobs._fit import adjacency_group

WorkerFilter = Callable[[WorkerView], bool]
"""Returns whether a gang may be placed on a worker."""


@dataclass(frozen=True, slots=True)
class Arrangement:
    """A placement of a gang; `candidates` counts the workers with capacity for a task of it."""

    placement: list[TaskPlacement]
    candidates: int


@dataclass(slots=True)
class _Group:
    """The workers of one adjacency group, each with the number of tasks that fit on it."""

    workers: list[tuple[WorkerView, int]]
    tasks: int
    free_accelerators: int


def arrange(
    spec: JobSpec,
    view: ClusterView,
    unused_guarantee_units: dict[str, int],
    allowed: WorkerFilter,
) -> Arrangement | None:
    """Returns the best arrangement in free capacity, or None if the gang does not fit.

    `unused_guarantee_units` has the units of each worker that belong to unused guarantees.
    """
    groups: dict[tuple[str, ...], _Group] = {}
    candidates = 0
    for worker in view.placeable_workers():
        fit = worker.count_fitting_tasks(spec)
        if not fit or not allowed(worker):
            continue
        candidates += 1
        key = adjacency_group(spec.adjacency, worker.zone, worker.rack[1], worker.worker_id)
        group = groups.setdefault(key, _Group([], 0, 0))
        group.workers.append((worker, fit))
        group.tasks += fit
        group.free_accelerators += worker.free_accelerators
    best: tuple[tuple[int, int], tuple[str, ...]] | None = None
    for key, group in groups.items():
        if group.tasks < spec.tasks:
            continue
        candidate = (
            (_needs_guaranteed_units(group, unused_guarantee_units), group.free_accelerators),
            key,
        )
        if best is None or candidate < best:
            best = candidate
    if best is None:
        return None
    placement = _assign_tasks(
        spec, groups[best[1]].workers, unused_guarantee_units, view.free_by_rack()
    )
    return Arrangement(placement, candidates)


def _needs_guaranteed_units(group: _Group, unused_guarantee_units: dict[str, int]) -> int:
    """Returns 1 if all free capacity of a group belongs to unused guarantees, else 0."""
    return int(
        all(
            unused_guarantee_units.get(w.worker_id, 0) >= w.free_accelerators
            for w, _ in group.workers
        )
    )


def _assign_tasks(
    spec: JobSpec,
    workers: list[tuple[WorkerView, int]],
    unused_guarantee_units: dict[str, int],
    free_by_rack: dict[RackKey, int],
) -> list[TaskPlacement]:
    """Places a gang on workers of one group, in the order that the module describes."""

    def sort_key(item: tuple[WorkerView, int]) -> tuple[bool, bool, int, int, str]:
        worker, fit = item
        used = min(fit, spec.tasks) * spec.accelerators_per_task
        borrowed = worker.free_accelerators - used < unused_guarantee_units.get(worker.worker_id, 0)
        whole = worker.free_accelerators == worker.accelerators
        rack_free = free_by_rack.get(worker.rack, 0)
        return borrowed, whole, rack_free, worker.free_accelerators, worker.worker_id

    placement: list[TaskPlacement] = []
    for worker, fit in sorted(workers, key=sort_key):
        for _ in range(min(fit, spec.tasks - len(placement))):
            placement.append(TaskPlacement(len(placement), worker.worker_id))
        if len(placement) == spec.tasks:
            break
    return placement
