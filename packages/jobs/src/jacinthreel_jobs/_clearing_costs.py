"""What it costs to have room on a worker, in accelerator seconds of work lost.

The borrowers on a worker are taken to leave cheapest first, so a worker's cost is a step function
of the room wanted.  It is worked out once for each worker and plan.
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
CROWDING_COST: Final = 1.0
"""Accelerator seconds for each free accelerator of a rack, so that full racks fill up first."""
RESERVED_COST: Final = 400.0
"""Accelerator seconds that free room is worth while it is kept for a gang that waits."""
FAR_COST: Final = 1e9
"""The cost of room that must not be used while there is any other."""

LossOf = Callable[[JobEntry], float]
"""The work lost when a gang is taken down, in accelerator seconds."""


def work_lost(job: JobEntry, now_ms: int, stopped: bool = False) -> float:
    """The accelerator seconds lost when a running gang is taken down now.

    `stopped` means without the time for a checkpoint.
    """
    spec = job.record.spec
    size = max(1, spec.accelerators)
    if job.state is JobState.PLACED:
        return size * PREEMPTION_COST_S
    if spec.checkpointable and not stopped:
        return size * (CHECKPOINT_COST_S + PREEMPTION_COST_S)
    return size * (max(0.0, (now_ms - job.started_ms) / 1000) + PREEMPTION_COST_S)


class ClearingCosts:
    """What clearing room on a worker costs; gangs that are leaving cost nothing.

    A gang that spans several workers costs its whole loss on each of them.  Free room on workers
    that are `reserved` for a waiting gang is not free of cost either.
    """

    def __init__(
        self,
        view: ClusterView,
        loss_of: LossOf,
        reserved: Container[str] = (),
        crowding: float = 0.0,
    ) -> None:
        self._view = view
        self._reserved = reserved
        self._crowding = crowding
        self._free_by_rack = view.free_by_rack()
        self._loss_of = loss_of
        self._steps_by_worker: dict[str, list[tuple[int, float]]] = {}

    def cost(self, worker_id: str, units: int) -> float:
        """The cost of having `units` of a worker free."""
        steps = self._steps_by_worker.get(worker_id)
        if steps is None:
            steps = self._steps(self._view.workers_by_id[worker_id])
            self._steps_by_worker[worker_id] = steps
        for free, cost in steps:
            if free >= units:
                return cost
        return math.inf

    def claim(self, placement: Iterable[TaskPlacement]) -> None:
        """Forgets what is known of the workers of a placement, since their room changed."""
        for task in placement:
            self._steps_by_worker.pop(task.worker_id, None)

    def _steps(self, worker: WorkerView) -> list[tuple[int, float]]:
        """Pairs of units free and cost, cheapest borrowers first."""
        if not worker.in_service or worker.task_limit <= 0:
            return [(worker.accelerators, FAR_COST)]
        room = Room(worker.free_accelerators, worker.free_cores, worker.free_memory_gb)
        borrowers: list[tuple[float, JobSpec, int]] = []
        for job_id, tasks in worker.tasks_by_gang.items():
            running = self._view.borrowers_by_id.get(job_id)
            job = running or self._view.leaving_by_id.get(job_id)
            if job is None:
                continue
            loss = self._loss_of(job) if running is not None else 0.0
            borrowers.append((loss, job.record.spec, tasks))
        borrowers.sort(key=lambda item: (item[0], item[1].job_id))
        cost = self._crowding * self._free_by_rack.get(worker.rack, 0)
        if worker.worker_id in self._reserved:
            cost += RESERVED_COST
        steps = [(room.units(worker), cost)]
        for loss, spec, tasks in borrowers:
            cost += loss
            room.add(spec, tasks)
            steps.append((room.units(worker), cost))
        return steps


@dataclass(slots=True)
class Room:
    """Free resources of one worker."""

    accelerators: int
    cores: int
    memory_gb: int

    def add(self, spec: JobSpec, tasks: int) -> None:
        """Adds what tasks of a gang hold."""
        self.accelerators += spec.accelerators_per_task * tasks
        self.cores += spec.cores_per_task * tasks
        self.memory_gb += spec.memory_gb_per_task * tasks

    def units(self, worker: WorkerView) -> int:
        """The whole units of the worker that are free in every resource."""
        if not worker.cores or not worker.memory_gb:
            return self.accelerators
        return min(
            self.accelerators,
            self.cores * worker.accelerators // worker.cores,
            self.memory_gb * worker.accelerators // worker.memory_gb,
        )
