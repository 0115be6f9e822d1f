"""Finds borrowing gangs that can occupy free cells of their workspace on their current workers.

Such a gang is promoted: it counts towards the guarantee from then on and is not preempted as a
borrower any more.  Otherwise a gang without checkpoints could be preempted, and lose all its work,
while cells of its own workspace are unused.
"""

from __future__ import annotations

from typing import Final

from jacinthreel_common import (
    CELL_ACCELERATORS,
    CellLevel,
    JobState,
    TaskPlacement,
    Workspace,
)
from jacinthreel_jobs._cells import LEVELS_LARGEST_FIRST, fits_guarantees, lay_out
from jacinthreel_jobs._cluster_view import ClusterView
from jacinthreel_jobs._planning import Promote
from jacinthreel_jobs._reclaim import smallest_level_for_units
from jacinthreel_jobs._relocation import count_missing_cells
from jacinthreel_jobs._tables import JobEntry

MIN_LOST_ACCELERATOR_S: Final = 300.0
"""A gang that would lose less work, in accelerator seconds, is not worth the row write."""
MAX_CANDIDATES: Final = 12
"""How many gangs one plan considers, those that would lose the most work first."""


def find_promotions(
    view: ClusterView, workspaces: list[Workspace], claimed_worker_ids: set[str], now_ms: int
) -> list[Promote]:
    """Returns the gangs to promote, and binds their cells in the view.

    Gangs on `claimed_worker_ids` are left out, because waiting gangs need these workers.
    """
    guaranteed_names = {workspace.name for workspace in workspaces if workspace.guarantee}
    candidates: list[JobEntry] = []
    for job in view.borrowers_by_id.values():
        spec = job.record.spec
        if job.state is not JobState.RUNNING or spec.workspace not in guaranteed_names:
            continue
        if any(task.worker_id in claimed_worker_ids for task in job.record.placement):
            continue
        lost_accelerator_s = spec.accelerators * (now_ms - job.started_ms) / 1000
        if not spec.checkpointable and lost_accelerator_s >= MIN_LOST_ACCELERATOR_S:
            candidates.append(job)
    candidates.sort(key=lambda j: (-(now_ms - j.started_ms) * j.record.spec.accelerators, j.job_id))
    promotions: list[Promote] = []
    for job in candidates[:MAX_CANDIDATES]:
        placement = _find_cells_in_place(job, view, workspaces)
        if placement is None:
            continue
        view.record_bound_tasks(job.record.spec, placement)
        del view.borrowers_by_id[job.job_id]
        reason = "cells of its workspace are free on its current workers"
        promotions.append(Promote(job.job_id, placement, reason))
    return promotions


def _find_cells_in_place(
    job: JobEntry, view: ClusterView, workspaces: list[Workspace]
) -> list[TaskPlacement] | None:
    """Returns the gang's placement with cells of the smallest possible level, or None.

    All guarantees must still fit, and no more cells may be without capacity than before.
    """
    spec = job.record.spec
    for task in job.record.placement:
        worker = view.workers_by_id.get(task.worker_id)
        if worker is None or not worker.carries_cells:
            return None
    before = count_missing_cells(lay_out(workspaces, view.cell_workers, view.bound_tasks))
    smallest = CELL_ACCELERATORS[smallest_level_for_units(max(1, spec.accelerators_per_task))]
    for level in reversed(LEVELS_LARGEST_FIRST):
        if CELL_ACCELERATORS[level] < smallest or level is CellLevel.RACK:
            continue
        placement = [
            TaskPlacement(task.task_index, task.worker_id, level) for task in job.record.placement
        ]
        bound = [*view.bound_tasks, *view.iter_bound_tasks(spec, placement)]
        if not fits_guarantees(workspaces, bound):
            continue
        if count_missing_cells(lay_out(workspaces, view.cell_workers, bound)) <= before:
            return placement
    return None
