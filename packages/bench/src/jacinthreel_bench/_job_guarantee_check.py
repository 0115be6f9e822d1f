"""An independent check that queued gangs within their workspace's guarantee start in time.

It counts cells by level alone and does not look at layouts: a queued gang counts as within the
guarantee if its cells, and those of the running guaranteed gangs of its workspace, are at most the
guaranteed ones of its level.  It must run within the checkpoint grace plus `START_LIMIT_MS`, as
long as all guarantees fit on the workers that answer in zones that are in service.
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

Level = tuple[str, CellLevel]


def cells_needed(spec: JobSpec) -> tuple[CellLevel, int] | None:
    """The cells that a gang takes, or None where no multiple of one cell describes them.

    A gang whose tasks must share a worker or rack counts only if one cell holds it.
    """
    together = spec.adjacency is not Adjacency.ANY and spec.tasks > 1
    units = spec.accelerators if together else spec.accelerators_per_task
    for level in sorted(CellLevel, key=lambda level: CELL_ACCELERATORS[level]):
        if units > CELL_ACCELERATORS[level]:
            continue
        if together and level is not CellLevel.RACK and spec.adjacency is Adjacency.RACK:
            return (level, 1)
        return (level, 1 if together else spec.tasks)
    return None


@dataclass(slots=True)
class GuaranteeCheck:
    """Counts gangs that waited too long within their workspace's guarantee."""

    workspaces: tuple[Workspace, ...]
    hosts: list[Host]
    breaches: int = 0
    breached_ids: list[str] = field(default_factory=list)
    _since_by_id: dict[str, int] = field(default_factory=dict)
    _shapes_key: frozenset[str] = frozenset()
    _shapes_hold: bool = False

    def sample(self, tables: Tables, zones_out: set[str], grace_ms: int, now_ms: int) -> None:
        """Looks at the queue now."""
        due = self._within_guarantee(tables, now_ms) if self._hold(tables, zones_out) else set()
        for job_id in list(self._since_by_id):
            if job_id not in due:
                del self._since_by_id[job_id]
        for job_id in due:
            since_ms = self._since_by_id.setdefault(job_id, now_ms)
            waited_too_long = now_ms - since_ms > grace_ms + START_LIMIT_MS
            if waited_too_long and job_id not in self.breached_ids:
                self.breached_ids.append(job_id)
                self.breaches += 1

    def _hold(self, tables: Tables, zones_out: set[str]) -> bool:
        """Whether all guarantees fit on the workers that can take tasks."""
        usable = frozenset(
            worker.worker_id
            for worker in tables.workers_by_id.values()
            if worker.health is WorkerHealth.HEALTHY and worker.zone not in zones_out
        )
        if usable != self._shapes_key:
            self._shapes_key = usable
            hosts = [host for host in self.hosts if host.host_id in usable]
            self._shapes_hold = is_successful(check_guarantees(self.workspaces, hosts))
        return self._shapes_hold

    def _within_guarantee(self, tables: Tables, now_ms: int) -> set[str]:
        left: dict[Level, int] = {}
        for workspace in self.workspaces:
            for shape in workspace.guarantee:
                key = (workspace.name, shape.cell)
                left[key] = left.get(key, 0) + shape.count
        for job in tables.active_by_id.values():
            if job.record.borrowed and job.state is not JobState.STOPPING:
                continue
            for level, count in _cells_held(job.record.spec, job.record.placement).items():
                key = (job.record.spec.workspace, level)
                left[key] = left.get(key, 0) - count
        due: set[str] = set()
        for job in tables.queued_by_id.values():
            needed = cells_needed(job.record.spec)
            if needed is None or job.not_before_ms > now_ms or job.record.failed_workers:
                continue
            key = (job.record.spec.workspace, needed[0])
            if left.get(key, 0) >= needed[1]:
                due.add(job.job_id)
        return due


def _cells_held(spec: JobSpec, placement: list) -> dict[CellLevel, int]:  # type: ignore[type-arg]
    """At most how many cells of each level the tasks of a gang occupy."""
    counts: dict[CellLevel, int] = {}
    racks = {task.worker_id.rsplit("-", 1)[0] for task in placement}
    for task in placement:
        if task.cell is None or task.cell is CellLevel.RACK:
            continue
        counts[task.cell] = counts.get(task.cell, 0) + 1
    if any(task.cell is CellLevel.RACK for task in placement):
        counts[CellLevel.RACK] = len(racks)
    return counts
