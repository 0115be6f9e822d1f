"""Finds borrowing gangs that fit the free cells of their workspace where they stand.

Such a gang is promoted instead of being left to make room later: a gang that can't keep a
checkpoint would lose all its work, while the cells of its own workspace stand empty.
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
from jacinthreel_jobs._reclaim import smallest_level
from jacinthreel_jobs._relocation import missing_count
from jacinthreel_jobs._tables import JobEntry

MIN_WORK_AT_STAKE: Final = 300.0
"""Accelerator seconds that a gang would lose; it is not worth a write below this."""
MAX_TRIES: Final = 12
"""How many gangs a plan looks at, those with the most work to lose first."""


def promotions(
    view: ClusterView, workspaces: list[Workspace], claimed: set[str], now_ms: int
) -> list[Promote]:
    """Promotes gangs and binds their cells in the view; those on `claimed` workers make room."""
    guaranteed = {workspace.name for workspace in workspaces if workspace.guarantee}
    candidates: list[JobEntry] = []
    for job in view.borrowers_by_id.values():
        spec = job.record.spec
        if job.state is not JobState.RUNNING or spec.workspace not in guaranteed:
            continue
        if any(task.worker_id in claimed for task in job.record.placement):
            continue
        at_stake = spec.accelerators * (now_ms - job.started_ms) / 1000
        if not spec.checkpointable and at_stake >= MIN_WORK_AT_STAKE:
            candidates.append(job)
    candidates.sort(key=lambda j: (-(now_ms - j.started_ms) * j.record.spec.accelerators, j.job_id))
    found: list[Promote] = []
    for job in candidates[:MAX_TRIES]:
        placement = _cells_in_place(job, view, workspaces)
        if placement is None:
            continue
        view.record_bound_tasks(job.record.spec, placement)
        del view.borrowers_by_id[job.job_id]
        reason = "cells of its workspace are free where it stands"
        found.append(Promote(job.job_id, placement, reason))
    return found


def _cells_in_place(
    job: JobEntry, view: ClusterView, workspaces: list[Workspace]
) -> list[TaskPlacement] | None:
    """The gang's placement with cells of the smallest level that works, or None."""
    spec = job.record.spec
    for task in job.record.placement:
        worker = view.workers_by_id.get(task.worker_id)
        if worker is None or not worker.carries_cells:
            return None
    before = missing_count(lay_out(workspaces, view.cell_workers, view.bound_tasks))
    smallest = CELL_ACCELERATORS[smallest_level(max(1, spec.accelerators_per_task))]
    for level in reversed(LEVELS_LARGEST_FIRST):
        if CELL_ACCELERATORS[level] < smallest or level is CellLevel.RACK:
            continue
        placement = [
            TaskPlacement(task.task_index, task.worker_id, level) for task in job.record.placement
        ]
        bound = [*view.bound_tasks, *view.iter_bound_tasks(spec, placement)]
        if not fits_guarantees(workspaces, bound):
            continue
        if missing_count(lay_out(workspaces, view.cell_workers, bound)) <= before:
            return placement
    return None
