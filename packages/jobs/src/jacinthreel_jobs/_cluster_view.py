"""The planner's working copy of the workers, their free resources and the gangs on them.

The copy is built from the tables for each plan and changed only by the planner, so that later
decisions of a plan take the earlier ones into account.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from typing import Final

from jacinthreel_common import JobRecord, JobSpec, JobState, TaskPlacement
from jacinthreel_jobs._cells import BoundTask, CellWorker, RackKey
from jacinthreel_jobs._fit import adjacency_group, max_fitting_tasks
from jacinthreel_jobs._tables import JobEntry, Tables, WorkerEntry, WorkerHealth

UNLIMITED_TASKS: Final = 1 << 30
PROBATION_TASKS: Final = 1

CELL_WORKER_HEALTH: Final = frozenset(
    {WorkerHealth.HEALTHY, WorkerHealth.SUSPECT, WorkerHealth.PROBATION}
)
"""Health of workers on which cells are laid out; a suspect worker is expected to recover soon."""


@dataclass(slots=True)
class WorkerView:
    """The state of a worker within a plan.

    `in_service` is False while its zone is closed.  `task_limit` is how many more tasks may be
    placed on it.  `carries_cells` tells whether cells of guarantees are laid out on it.
    """

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
    tasks_by_job_id: dict[str, int] = field(default_factory=dict)

    def count_fitting_tasks(self, spec: JobSpec) -> int:
        """Returns how many more tasks of a gang can be placed on this worker now."""
        if self.task_limit <= 0:
            return 0
        fit = max_fitting_tasks(spec, self.free_accelerators, self.free_cores, self.free_memory_gb)
        return min(fit, self.task_limit)

    def count_fitting_when_empty(self, spec: JobSpec) -> int:
        """Returns how many tasks of a gang would fit on this worker if it were idle."""
        return max_fitting_tasks(spec, self.accelerators, self.cores, self.memory_gb)

    def allocate(self, spec: JobSpec, tasks: int) -> None:
        """Allocates the resources of a number of tasks, even beyond what is free."""
        self.free_accelerators -= spec.accelerators_per_task * tasks
        self.free_cores -= spec.cores_per_task * tasks
        self.free_memory_gb -= spec.memory_gb_per_task * tasks
        self.task_limit -= tasks

    def release(self, spec: JobSpec, tasks: int) -> None:
        """Releases the resources of a number of tasks."""
        self.allocate(spec, -tasks)

    def is_overcommitted(self) -> bool:
        """Returns whether more has been allocated than the worker has of any resource."""
        return self.free_accelerators < 0 or self.free_cores < 0 or self.free_memory_gb < 0

    def units_per_task(self, spec: JobSpec) -> int:
        """Returns the units of a cell that a task uses here: its largest share of any resource.

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

    `cell_workers` are the workers on which cells are laid out, and `bound_tasks` the tasks that
    occupy cells.  `active` has all gangs that hold resources.  `guaranteed_by_id` has those in
    cells of their own workspace, `borrowers_by_id` those beyond its guarantee, and `leaving_by_id`
    those of either kind that are being preempted or stopped.
    """

    workers_by_id: dict[str, WorkerView]
    cell_workers: list[CellWorker]
    bound_tasks: list[BoundTask]
    active: list[JobEntry]
    guaranteed_by_id: dict[str, JobEntry]
    borrowers_by_id: dict[str, JobEntry]
    leaving_by_id: dict[str, JobEntry]

    def placeable_workers(self) -> Iterator[WorkerView]:
        """Yields the workers on which tasks may be placed."""
        for worker in self.workers_by_id.values():
            if worker.in_service and worker.task_limit > 0:
                yield worker

    def free_by_rack(self) -> dict[RackKey, int]:
        """Returns the free accelerators of each rack on workers on which tasks may be placed."""
        free: dict[RackKey, int] = {}
        for worker in self.placeable_workers():
            free[worker.rack] = free.get(worker.rack, 0) + max(0, worker.free_accelerators)
        return free

    def workers_to_avoid(self, job: JobEntry) -> frozenset[str]:
        """Returns the workers on which a gang failed, or none if it would not fit without them."""
        failed = frozenset(job.record.failed_workers)
        if not failed:
            return failed
        spec = job.record.spec
        tasks_by_group: dict[tuple[str, ...], int] = {}
        for worker in self.placeable_workers():
            if worker.worker_id in failed:
                continue
            group = adjacency_group(spec.adjacency, worker.zone, worker.rack[1], worker.worker_id)
            fit = worker.count_fitting_when_empty(spec)
            tasks_by_group[group] = tasks_by_group.get(group, 0) + fit
            if tasks_by_group[group] >= spec.tasks:
                return failed
        return frozenset()

    def allocate(self, spec: JobSpec, placement: Iterable[TaskPlacement]) -> None:
        """Allocates the resources of a placement."""
        for task in placement:
            self.workers_by_id[task.worker_id].allocate(spec, 1)

    def record_bound_tasks(self, spec: JobSpec, placement: Iterable[TaskPlacement]) -> None:
        """Adds the tasks of a placement that occupy cells to `bound_tasks`."""
        self.bound_tasks.extend(self.iter_bound_tasks(spec, placement))

    def iter_bound_tasks(
        self, spec: JobSpec, placement: Iterable[TaskPlacement]
    ) -> Iterator[BoundTask]:
        """Yields the tasks of a placement that occupy cells."""
        return _iter_bound_tasks(spec, placement, self.workers_by_id)


def build_view(tables: Tables) -> ClusterView:
    """Builds the view for one plan from the tables."""
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
        carries_cells=not zone_out and worker.health in CELL_WORKER_HEALTH,
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
        view.record_bound_tasks(record.spec, record.placement)


def _count_tasks(view: ClusterView, entry: WorkerEntry) -> None:
    worker = view.workers_by_id[entry.worker_id]
    for job_id, _, _ in entry.held:
        worker.tasks_by_job_id[job_id] = worker.tasks_by_job_id.get(job_id, 0) + 1


def is_borrowing(record: JobRecord) -> bool:
    """Returns whether a placed gang is outside the cells of its workspace's guarantee."""
    return record.borrowed or any(task.cell is None for task in record.placement)


def _iter_bound_tasks(
    spec: JobSpec, placement: Iterable[TaskPlacement], workers_by_id: dict[str, WorkerView]
) -> Iterator[BoundTask]:
    for task in placement:
        if task.cell is None:
            continue
        worker = workers_by_id.get(task.worker_id)
        rack = worker.rack if worker is not None else ("", "")
        units = worker.units_per_task(spec) if worker is not None else spec.accelerators_per_task
        yield BoundTask(spec.workspace, task.worker_id, rack, task.cell, units)
