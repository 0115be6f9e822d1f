"""A planner's working copy of the workers: what is free now and what this plan has claimed.

The copy is built from the tables for each plan and changed only by the planner, so that later
decisions of a plan see the earlier ones.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from typing import Final

from jacinthreel_common import JobRecord, JobSpec, JobState, TaskPlacement
from jacinthreel_jobs._cells import BoundTask, CellWorker, RackKey
from jacinthreel_jobs._fit import adjacency_group, tasks_that_fit
from jacinthreel_jobs._tables import JobEntry, Tables, WorkerEntry, WorkerHealth

UNLIMITED_TASKS: Final = 1 << 30
PROBATION_TASKS: Final = 1

CELL_HEALTH: Final = frozenset({WorkerHealth.HEALTHY, WorkerHealth.SUSPECT, WorkerHealth.PROBATION})
"""Workers that count as shapes for guarantees; a suspect one is expected back soon."""


@dataclass(slots=True)
class WorkerView:
    """A worker as a plan sees it.  `task_limit` is how many more tasks may be placed on it."""

    worker_id: str
    zone: str
    rack: RackKey
    accelerators: int
    cores: int
    memory_gb: int
    free_accelerators: int
    free_cores: int
    free_memory_gb: int
    in_service: bool
    task_limit: int
    carries_cells: bool
    tasks_by_gang: dict[str, int] = field(default_factory=dict)

    def fits(self, spec: JobSpec) -> int:
        """How many more tasks of a gang can be placed here now."""
        if self.task_limit <= 0:
            return 0
        fit = tasks_that_fit(spec, self.free_accelerators, self.free_cores, self.free_memory_gb)
        return min(fit, self.task_limit)

    def fits_when_empty(self, spec: JobSpec) -> int:
        """How many tasks of a gang this worker could hold if nothing else ran on it."""
        return tasks_that_fit(spec, self.accelerators, self.cores, self.memory_gb)

    def take(self, spec: JobSpec, tasks: int) -> None:
        """Claims room for tasks of a gang."""
        self.free_accelerators -= spec.accelerators_per_task * tasks
        self.free_cores -= spec.cores_per_task * tasks
        self.free_memory_gb -= spec.memory_gb_per_task * tasks
        self.task_limit -= tasks

    def give(self, spec: JobSpec, tasks: int) -> None:
        """Gives room back."""
        self.take(spec, -tasks)

    def is_short(self) -> bool:
        """Whether more has been claimed than is free."""
        return self.free_accelerators < 0 or self.free_cores < 0 or self.free_memory_gb < 0

    def units_per_task(self, spec: JobSpec) -> int:
        """The units of a cell that a task takes here: its largest share of any resource.

        >>> worker = WorkerView("w", "z", ("z", "r"), 8, 128, 512, 8, 128, 512, True, 1, True)
        >>> worker.units_per_task(JobSpec("j", "w", 1, 1, cores_per_task=33))
        3
        """
        units = max(1, spec.accelerators_per_task)
        if not self.cores or not self.memory_gb:
            return units
        by_cores = -(-spec.cores_per_task * self.accelerators // self.cores)
        by_memory = -(-spec.memory_gb_per_task * self.accelerators // self.memory_gb)
        return max(units, by_cores, by_memory)


@dataclass(slots=True)
class ClusterView:
    """All workers of a shard, and the gangs on them.

    `active` are all gangs that hold workers.  `guaranteed_by_id` are those in cells of their own
    workspace, `borrowers_by_id` those beyond, and `leaving_by_id` those of either kind that were
    asked to make room.
    """

    workers_by_id: dict[str, WorkerView]
    cell_workers: list[CellWorker]
    bound_tasks: list[BoundTask]
    active: list[JobEntry]
    guaranteed_by_id: dict[str, JobEntry]
    borrowers_by_id: dict[str, JobEntry]
    leaving_by_id: dict[str, JobEntry]

    def placeable(self) -> Iterator[WorkerView]:
        """Workers on which tasks may start."""
        for worker in self.workers_by_id.values():
            if worker.in_service and worker.task_limit > 0:
                yield worker

    def free_by_rack(self) -> dict[RackKey, int]:
        """Free accelerators of each rack on workers that take tasks."""
        free: dict[RackKey, int] = {}
        for worker in self.placeable():
            free[worker.rack] = free.get(worker.rack, 0) + max(0, worker.free_accelerators)
        return free

    def avoided_by(self, job: JobEntry) -> frozenset[str]:
        """Workers on which a gang failed, unless it can't go anywhere without them."""
        failed = frozenset(job.record.failed_workers)
        if not failed:
            return failed
        spec = job.record.spec
        tasks_by_group: dict[tuple[str, ...], int] = {}
        for worker in self.placeable():
            if worker.worker_id in failed:
                continue
            group = adjacency_group(spec.adjacency, worker.zone, worker.rack[1], worker.worker_id)
            fit = worker.fits_when_empty(spec)
            tasks_by_group[group] = tasks_by_group.get(group, 0) + fit
            if tasks_by_group[group] >= spec.tasks:
                return failed
        return frozenset()

    def take(self, spec: JobSpec, placement: Iterable[TaskPlacement]) -> None:
        """Claims the room of a placement."""
        for task in placement:
            self.workers_by_id[task.worker_id].take(spec, 1)

    def bind(self, spec: JobSpec, placement: Iterable[TaskPlacement]) -> None:
        """Notes the cells that a placement occupies."""
        self.bound_tasks.extend(self.bound_by(spec, placement))

    def bound_by(self, spec: JobSpec, placement: Iterable[TaskPlacement]) -> Iterator[BoundTask]:
        """The tasks of a placement that occupy cells."""
        return _bound_tasks(spec, placement, self.workers_by_id)


def build_view(tables: Tables) -> ClusterView:
    """Copies what a plan needs from the tables."""
    zones_out = tables.config.zones_out if tables.config is not None else {}
    workers_by_id = {
        worker.worker_id: _worker_view(worker, worker.zone in zones_out)
        for worker in tables.workers_by_id.values()
    }
    cell_workers = [
        CellWorker(worker.worker_id, worker.rack, worker.accelerators)
        for worker in workers_by_id.values()
        if worker.carries_cells
    ]
    view = ClusterView(workers_by_id, cell_workers, [], [], {}, {}, {})
    for job in tables.active_by_id.values():
        _add_active_job(view, job)
    for entry in tables.workers_by_id.values():
        _count_tasks(view, entry)
    return view


def _worker_view(worker: WorkerEntry, zone_out: bool) -> WorkerView:
    match worker.health:
        case WorkerHealth.HEALTHY:
            task_limit = UNLIMITED_TASKS
        case WorkerHealth.PROBATION:
            task_limit = PROBATION_TASKS - len(worker.held)
        case _:
            task_limit = 0
    return WorkerView(
        worker.worker_id,
        worker.zone,
        (worker.zone, worker.rack),
        worker.accelerators,
        worker.cores,
        worker.memory_gb,
        worker.free_accelerators,
        worker.free_cores,
        worker.free_memory_gb,
        in_service=not zone_out,
        task_limit=task_limit,
        carries_cells=not zone_out and worker.health in CELL_HEALTH,
    )


def _add_active_job(view: ClusterView, job: JobEntry) -> None:
    record = job.record
    view.active.append(job)
    if job.preempting_for or job.state is JobState.STOPPING:
        view.leaving_by_id[job.job_id] = job
    elif is_borrowing(record):
        view.borrowers_by_id[job.job_id] = job
    else:
        view.guaranteed_by_id[job.job_id] = job
        view.bind(record.spec, record.placement)


def _count_tasks(view: ClusterView, entry: WorkerEntry) -> None:
    worker = view.workers_by_id[entry.worker_id]
    for job_id, _, _ in entry.held:
        worker.tasks_by_gang[job_id] = worker.tasks_by_gang.get(job_id, 0) + 1


def is_borrowing(record: JobRecord) -> bool:
    """Whether a placed gang holds no cells of its workspace's guarantee."""
    return record.borrowed or any(task.cell is None for task in record.placement)


def _bound_tasks(
    spec: JobSpec, placement: Iterable[TaskPlacement], workers_by_id: dict[str, WorkerView]
) -> Iterator[BoundTask]:
    for task in placement:
        if task.cell is None:
            continue
        worker = workers_by_id.get(task.worker_id)
        rack = worker.rack if worker is not None else ("", "")
        units = worker.units_per_task(spec) if worker is not None else spec.accelerators_per_task
        yield BoundTask(spec.workspace, task.worker_id, rack, task.cell, units)
