"""Moves guaranteed gangs to other cells if lost workers leave no capacity for a requested cell.

While no worker is lost, there is capacity for all cells (`_cells`).  After a zone is closed or
workers fail, the placement of running gangs may leave no capacity for a cell although all
guarantees would fit if these gangs were placed elsewhere.  If a gang requests such a cell, the
cheapest rack or worker whose gangs suffice is chosen; these gangs are stopped and placed again in
their cells.
"""

from __future__ import annotations

from dataclasses import dataclass

from jacinthreel_common import CellLevel, JobSpec, TaskPlacement, Workspace
from jacinthreel_jobs._cells import BoundTask, Layout, lay_out
from jacinthreel_jobs._clearing_costs import ClearingCosts, LossFunction
from jacinthreel_jobs._cluster_view import ClusterView
from jacinthreel_jobs._reclaim import place_in_cells, smallest_level_for_gang
from jacinthreel_jobs._tables import JobEntry


@dataclass(frozen=True, slots=True)
class Relocation:
    """The gangs to move, and the placement of the gang that requests a cell."""

    movers: list[JobEntry]
    placement: list[TaskPlacement]


def count_missing_cells(layout: Layout) -> int:
    """Returns the number of cells for which there is no capacity."""
    return sum(item.count for item in layout.missing)


def find_relocation(
    spec: JobSpec,
    view: ClusterView,
    workspaces: list[Workspace],
    layout: Layout,
    costs: ClearingCosts,
    loss_of: LossFunction,
) -> Relocation | None:
    """Returns the cheapest relocation that gives a gang its cell, or None.

    It must reduce the number of cells without capacity.  Of the chosen rack or worker, only gangs
    on workers that the placement uses are moved.
    """
    level = smallest_level_for_gang(spec)
    if not any(m.workspace == spec.workspace and m.level is level for m in layout.missing):
        return None
    before = count_missing_cells(layout)
    for movers in _list_candidate_groups(view, level, loss_of):
        moved_ids = {job.job_id for job in movers}
        remaining = _bound_tasks_without(view, moved_ids)
        placement = _place_with_bound_tasks(spec, view, workspaces, costs, remaining)
        if placement is None:
            continue
        bound = [*remaining, *view.iter_bound_tasks(spec, placement)]
        after = count_missing_cells(lay_out(workspaces, view.cell_workers, bound))
        if after < before:
            used = {task.worker_id for task in placement}
            displaced = [job for job in movers if _has_task_on(job, used)]
            return Relocation(displaced, placement)
    return None


def _list_candidate_groups(
    view: ClusterView, level: CellLevel, loss_of: LossFunction
) -> list[list[JobEntry]]:
    """Returns the guaranteed gangs of each rack or worker, the cheapest group first."""
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


def _bound_tasks_without(view: ClusterView, moved_ids: set[str]) -> list[BoundTask]:
    """Returns the bound tasks of all gangs except those that move."""
    moved: list[BoundTask] = []
    for job_id in moved_ids:
        record = view.guaranteed_by_id[job_id].record
        moved.extend(view.iter_bound_tasks(record.spec, record.placement))
    remaining = list(view.bound_tasks)
    for task in moved:
        remaining.remove(task)
    return remaining


def _place_with_bound_tasks(
    spec: JobSpec,
    view: ClusterView,
    workspaces: list[Workspace],
    costs: ClearingCosts,
    bound: list[BoundTask],
) -> list[TaskPlacement] | None:
    """Returns the gang's placement in cells if the view had only the given bound tasks."""
    before = view.bound_tasks
    view.bound_tasks = bound
    placement = place_in_cells(spec, view, workspaces, costs)
    view.bound_tasks = before
    return placement


def _has_task_on(job: JobEntry, worker_ids: set[str]) -> bool:
    return any(task.worker_id in worker_ids for task in job.record.placement)
