"""The cost of freeing units of a worker, in accelerator seconds of work lost.

The borrowers on a worker are assumed to be preempted cheapest first, so a worker's cost is a step
function of the units wanted.  It is cached for each worker and plan.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Container, Iterable
from dataclasses import dataclass
from typing import Final

from jacinthreel_common import JobSpec, JobState, TaskPlacement
from jacinthreel_jobs._cluster_view import ClusterView, WorkerView
from jacinthreel_jobs._tables import JobEntry

CHECKPOINT_COST_S: Final = 5.0
PREEMPTION_COST_S: Final = 1.0
FREE_RACK_ACCELERATOR_COST: Final = 1.0
"""Cost, in accelerator seconds, per free accelerator of the rack; makes full racks preferred."""
RESERVED_COST: Final = 400.0
"""Cost, in accelerator seconds, of using a worker that is reserved for a waiting gang."""
PROHIBITIVE_COST: Final = 1e9
"""Cost of a worker that is used only if there is no other."""

LossFunction = Callable[[JobEntry], float]
"""Returns the work lost when a gang is preempted, in accelerator seconds."""


def work_lost(job: JobEntry, now_ms: int, without_checkpoint: bool = False) -> float:
    """Returns the accelerator seconds lost when an active gang is preempted now.

    `without_checkpoint` assumes a stop that leaves no time for a checkpoint.
    """
    spec = job.record.spec
    size = max(1, spec.accelerators)
    if job.state is JobState.PLACED:
        return size * PREEMPTION_COST_S
    if spec.checkpointable and not without_checkpoint:
        return size * (CHECKPOINT_COST_S + PREEMPTION_COST_S)
    return size * (max(0.0, (now_ms - job.started_ms) / 1000) + PREEMPTION_COST_S)


class ClearingCosts:
    """Costs of freeing units of workers; gangs that are already leaving cost nothing.

    A gang that spans several workers costs its whole loss on each of them.  Workers in
    `reserved_worker_ids`, which are kept for a waiting gang, cost `RESERVED_COST` in addition, even
    if they are free.  `free_accelerator_cost` is added for each free accelerator of the worker's
    rack.
    """

    def __init__(
        self,
        view: ClusterView,
        loss_of: LossFunction,
        reserved_worker_ids: Container[str] = (),
        free_accelerator_cost: float = 0.0,
    ) -> None:
        self._view = view
        self._reserved_worker_ids = reserved_worker_ids
        self._free_accelerator_cost = free_accelerator_cost
        self._free_by_rack = view.free_by_rack()
        self._loss_of = loss_of
        self._steps_by_worker: dict[str, list[tuple[int, float]]] = {}

    def cost(self, worker_id: str, units: int) -> float:
        """Returns the cost of having `units` of a worker free; infinite if it is not possible."""
        steps = self._steps_by_worker.get(worker_id)
        if steps is None:
            steps = self._compute_steps(self._view.workers_by_id[worker_id])
            self._steps_by_worker[worker_id] = steps
        for free, cost in steps:
            if free >= units:
                return cost
        return math.inf

    def invalidate(self, placement: Iterable[TaskPlacement]) -> None:
        """Drops the cached costs of the workers of a placement, whose free resources changed."""
        for task in placement:
            self._steps_by_worker.pop(task.worker_id, None)

    def _compute_steps(self, worker: WorkerView) -> list[tuple[int, float]]:
        """Returns pairs of free units and their cost as borrowers are preempted, cheapest first."""
        if not worker.in_service or worker.task_limit <= 0:
            return [(worker.accelerators, PROHIBITIVE_COST)]
        free_resources = FreeResources(
            worker.free_accelerators, worker.free_cores, worker.free_memory_gb
        )
        borrowers: list[tuple[float, JobSpec, int]] = []
        for job_id, tasks in worker.tasks_by_job_id.items():
            borrower = self._view.borrowers_by_id.get(job_id)
            job = borrower or self._view.leaving_by_id.get(job_id)
            if job is None:
                continue
            loss = self._loss_of(job) if borrower is not None else 0.0
            borrowers.append((loss, job.record.spec, tasks))
        borrowers.sort(key=lambda item: (item[0], item[1].job_id))
        cost = self._free_accelerator_cost * self._free_by_rack.get(worker.rack, 0)
        if worker.worker_id in self._reserved_worker_ids:
            cost += RESERVED_COST
        steps = [(free_resources.count_whole_units(worker), cost)]
        for loss, spec, tasks in borrowers:
            cost += loss
            free_resources.add(spec, tasks)
            steps.append((free_resources.count_whole_units(worker), cost))
        return steps


@dataclass(slots=True)
class FreeResources:
    """Free resources of one worker."""

    accelerators: int
    cores: int
    memory_gb: int

    def add(self, spec: JobSpec, tasks: int) -> None:
        """Adds the resources of a number of tasks."""
        self.accelerators += spec.accelerators_per_task * tasks
        self.cores += spec.cores_per_task * tasks
        self.memory_gb += spec.memory_gb_per_task * tasks

    def count_whole_units(self, worker: WorkerView) -> int:
        """Returns the whole units of the worker that are free in every resource."""
        if not worker.cores or not worker.memory_gb:
            return self.accelerators
        return min(
            self.accelerators,
            self.cores * worker.accelerators // worker.cores,
            self.memory_gb * worker.accelerators // worker.memory_gb,
        )
