"""Arrangements of gangs in free room, which keep whole workers and racks free.

Ways weighed are in docs/PLACEMENT.md.  A gang goes to the adjacency group with the least free
room that holds it; within the group, tasks fill the workers that are broken already, in the rack
with the least free room first, and then whole workers in the same order of racks.  Room set aside
for guarantees that are not in use comes last, since whoever borrows it may have to make room.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from jacinthreel_common import JobSpec, TaskPlacement
from jacinthreel_jobs._cells import RackKey
from jacinthreel_jobs._cluster_view import ClusterView, WorkerView
from jacinthreel_jobs._fit import adjacency_group

WorkerFilter = Callable[[WorkerView], bool]
"""Whether a gang may use a worker."""


@dataclass(frozen=True, slots=True)
class Arrangement:
    """Where the tasks of a gang go; `candidates` counts the workers that had room."""

    placement: list[TaskPlacement]
    candidates: int


@dataclass(slots=True)
class _Group:
    """Workers of one adjacency group with the tasks that fit each."""

    workers: list[tuple[WorkerView, int]]
    tasks: int
    free_accelerators: int


def arrange(
    spec: JobSpec,
    view: ClusterView,
    unused_guarantee_units: dict[str, int],
    allowed: WorkerFilter,
) -> Arrangement | None:
    """The best arrangement in free room, or None if the gang does not fit.

    `set_aside` has the units of each worker that unused guarantees take.
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
    placement = _fill(spec, groups[best[1]].workers, unused_guarantee_units, view.free_by_rack())
    return Arrangement(placement, candidates)


def _needs_guaranteed_units(group: _Group, unused_guarantee_units: dict[str, int]) -> int:
    """1 for a group that has no room beyond what is set aside, else 0."""
    return int(
        all(
            unused_guarantee_units.get(w.worker_id, 0) >= w.free_accelerators
            for w, _ in group.workers
        )
    )


def _fill(
    spec: JobSpec,
    workers: list[tuple[WorkerView, int]],
    unused_guarantee_units: dict[str, int],
    free_by_rack: dict[RackKey, int],
) -> list[TaskPlacement]:
    def order(item: tuple[WorkerView, int]) -> tuple[bool, bool, int, int, str]:
        worker, fit = item
        used = min(fit, spec.tasks) * spec.accelerators_per_task
        borrowed = worker.free_accelerators - used < unused_guarantee_units.get(worker.worker_id, 0)
        whole = worker.free_accelerators == worker.accelerators
        rack_free = free_by_rack.get(worker.rack, 0)
        return borrowed, whole, rack_free, worker.free_accelerators, worker.worker_id

    placement: list[TaskPlacement] = []
    for worker, fit in sorted(workers, key=order):
        for _ in range(min(fit, spec.tasks - len(placement))):
            placement.append(TaskPlacement(len(placement), worker.worker_id))
        if len(placement) == spec.tasks:
            break
    return placement
