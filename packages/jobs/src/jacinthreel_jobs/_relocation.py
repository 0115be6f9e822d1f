"""Moves guaranteed gangs within their guarantees where a lost shape leaves a cell without room.

While no worker is lost, all cells always have room (`_cells`).  When a zone leaves or workers
fail, running gangs may stand so that a cell has no room although all guarantees would fit if they
stood elsewhere.  Only when such a cell is asked for, the cheapest group of gangs that stand in
one rack or on one worker is moved: they are taken down, and placed again in their own cells.
"""

from __future__ import annotations

from dataclasses import dataclass

from jacinthreel_common import CellLevel, JobSpec, TaskPlacement, Workspace
from jacinthreel_jobs._cells import BoundTask, Layout, lay_out
from jacinthreel_jobs._clearing_costs import ClearingCosts, LossFunction
from jacinthreel_jobs._cluster_view import ClusterView
from jacinthreel_jobs._reclaim import natural_level, place_in_cells
from jacinthreel_jobs._tables import JobEntry


@dataclass(frozen=True, slots=True)
class Relocation:
    """The gangs to move, and where the gang that asks goes."""

    movers: list[JobEntry]
    placement: list[TaskPlacement]


def missing_count(layout: Layout) -> int:
    """How many cells have no room."""
    return sum(item.count for item in layout.missing)


def find_relocation(
    spec: JobSpec,
    view: ClusterView,
    workspaces: list[Workspace],
    layout: Layout,
    costs: ClearingCosts,
    loss_of: LossFunction,
) -> Relocation | None:
    """The cheapest move that gives a gang its cell and leaves no other without room, or None."""
    level = natural_level(spec)
    if not any(m.workspace == spec.workspace and m.level is level for m in layout.missing):
        return None
    before = missing_count(layout)
    for movers in _mover_groups(view, level, loss_of):
        moved_ids = {job.job_id for job in movers}
        kept = _bound_without(view, moved_ids)
        placement = _place_with(spec, view, workspaces, costs, kept)
        if placement is None:
            continue
        bound = [*kept, *view.iter_bound_tasks(spec, placement)]
        after = missing_count(lay_out(workspaces, view.cell_workers, bound))
        if after < before:
            used = {task.worker_id for task in placement}
            standing = [job for job in movers if _stands_on(job, used)]
            return Relocation(standing, placement)
    return None


def _mover_groups(
    view: ClusterView, level: CellLevel, loss_of: LossFunction
) -> list[list[JobEntry]]:
    """Guaranteed gangs by the rack or worker they stand on, cheapest group first."""
    groups: dict[object, dict[str, JobEntry]] = {}
    for job in view.guaranteed_by_id.values():
        for task in job.record.placement:
            worker = view.workers_by_id.get(task.worker_id)
            if worker is None or not worker.carries_cells:
                continue
            key: object = worker.rack if level is CellLevel.RACK else worker.worker_id
            groups.setdefault(key, {})[job.job_id] = job
    by_cost = sorted(
        groups.values(), key=lambda jobs: (sum(loss_of(j) for j in jobs.values()), min(jobs))
    )
    return [list(jobs.values()) for jobs in by_cost]


def _bound_without(view: ClusterView, moved_ids: set[str]) -> list[BoundTask]:
    """The bound tasks of all gangs but those that move."""
    moved: list[BoundTask] = []
    for job_id in moved_ids:
        record = view.guaranteed_by_id[job_id].record
        moved.extend(view.iter_bound_tasks(record.spec, record.placement))
    kept = list(view.bound_tasks)
    for task in moved:
        kept.remove(task)
    return kept


def _place_with(
    spec: JobSpec,
    view: ClusterView,
    workspaces: list[Workspace],
    costs: ClearingCosts,
    bound: list[BoundTask],
) -> list[TaskPlacement] | None:
    before = view.bound_tasks
    view.bound_tasks = bound
    placement = place_in_cells(spec, view, workspaces, costs)
    view.bound_tasks = before
    return placement


def _stands_on(job: JobEntry, worker_ids: set[str]) -> bool:
    return any(task.worker_id in worker_ids for task in job.record.placement)
