"""Checks, independently of the planner, that gangs within a workspace's guarantee start in time.

The check counts cells by level and ignores their layout on workers.  A queued gang is within the
guarantee if its cells and those held by the active guaranteed gangs of its workspace do not exceed
the guaranteed cells of that level.  Such a gang must start within the checkpoint grace period plus
`START_LIMIT_MS`.  The limit applies only while all guarantees fit on the healthy workers in zones
that are in service.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Final

from returns.pipeline import is_successful

from jacinthreel_common import (
    CELL_ACCELERATORS,
    Adjacency,
    CellLevel,
    Host,
    JobSpec,
    JobState,
    Workspace,
)
from jacinthreel_jobs import Tables, WorkerHealth, check_guarantees

START_LIMIT_MS: Final = 5_000

WorkspaceLevel = tuple[str, CellLevel]


def find_needed_cells(spec: JobSpec) -> tuple[CellLevel, int] | None:
    """Returns the level and number of cells that a gang needs.

    Returns None if no cell is large enough for a task or, if the gang has several tasks with an
    adjacency constraint, for the whole gang.
    """
    is_colocated = spec.adjacency is not Adjacency.ANY and spec.tasks > 1
    units = spec.accelerators if is_colocated else spec.accelerators_per_task
    for level in sorted(CellLevel, key=lambda level: CELL_ACCELERATORS[level]):
        if units > CELL_ACCELERATORS[level]:
            continue
        if is_colocated and level is not CellLevel.RACK and spec.adjacency is Adjacency.RACK:
            return (level, 1)
        return (level, 1 if is_colocated else spec.tasks)
    return None


@dataclass(slots=True)
class GuaranteeCheck:
    """Counts gangs within their workspace's guarantee that waited longer than the limit."""

    workspaces: tuple[Workspace, ...]
    hosts: list[Host]
    breaches: int = 0
    breached_ids: list[str] = field(default_factory=list)
    _waiting_since_ms_by_id: dict[str, int] = field(default_factory=dict)
    _checked_worker_ids: frozenset[str] = frozenset()
    _guarantees_fit: bool = False

    def sample(self, tables: Tables, zones_out: set[str], grace_ms: int, now_ms: int) -> None:
        """Updates the waiting times of queued gangs and counts new breaches."""
        entitled_job_ids = (
            self._list_jobs_within_guarantee(tables, now_ms)
            if self._update_guarantees_fit(tables, zones_out)
            else set()
        )
        for job_id in list(self._waiting_since_ms_by_id):
            if job_id not in entitled_job_ids:
                del self._waiting_since_ms_by_id[job_id]
        for job_id in entitled_job_ids:
            waiting_since_ms = self._waiting_since_ms_by_id.setdefault(job_id, now_ms)
            waited_too_long = now_ms - waiting_since_ms > grace_ms + START_LIMIT_MS
            if waited_too_long and job_id not in self.breached_ids:
                self.breached_ids.append(job_id)
                self.breaches += 1

    def _update_guarantees_fit(self, tables: Tables, zones_out: set[str]) -> bool:
        """Whether all guarantees fit on healthy workers in zones that are in service.

        The check runs again only when the set of these workers changes.
        """
        usable = frozenset(
            worker.worker_id
            for worker in tables.workers_by_id.values()
            if worker.health is WorkerHealth.HEALTHY and worker.zone not in zones_out
        )
        if usable != self._checked_worker_ids:
            self._checked_worker_ids = usable
            hosts = [host for host in self.hosts if host.host_id in usable]
            self._guarantees_fit = is_successful(check_guarantees(self.workspaces, hosts))
        return self._guarantees_fit

    def _list_jobs_within_guarantee(self, tables: Tables, now_ms: int) -> set[str]:
        """Returns the ids of queued jobs that fit in the unused guarantee of their workspace."""
        remaining_cells: dict[WorkspaceLevel, int] = {}
        for workspace in self.workspaces:
            for shape in workspace.guarantee:
                key = (workspace.name, shape.cell)
                remaining_cells[key] = remaining_cells.get(key, 0) + shape.count
        for job in tables.active_by_id.values():
            if job.record.borrowed and job.state is not JobState.STOPPING:
                continue
            for level, count in _count_held_cells(job.record.spec, job.record.placement).items():
                key = (job.record.spec.workspace, level)
                remaining_cells[key] = remaining_cells.get(key, 0) - count
        entitled_job_ids: set[str] = set()
        for job in tables.queued_by_id.values():
            needed = find_needed_cells(job.record.spec)
            if needed is None or job.not_before_ms > now_ms or job.record.failed_workers:
                continue
            key = (job.record.spec.workspace, needed[0])
            if remaining_cells.get(key, 0) >= needed[1]:
                entitled_job_ids.add(job.job_id)
        return entitled_job_ids


def _count_held_cells(spec: JobSpec, placement: list) -> dict[CellLevel, int]:  # type: ignore[type-arg]
    """Returns an upper bound of the cells of each level that the tasks of a gang occupy."""
    counts: dict[CellLevel, int] = {}
    racks = {task.worker_id.rsplit("-", 1)[0] for task in placement}
    for task in placement:
        if task.cell is None or task.cell is CellLevel.RACK:
            continue
        counts[task.cell] = counts.get(task.cell, 0) + 1
    if any(task.cell is CellLevel.RACK for task in placement):
        counts[CellLevel.RACK] = len(racks)
    return counts
