"""Finds the borrowing gangs to preempt for another gang so that the least work is lost.

For each adjacency group, borrowers are added as victims in order of the work lost per accelerator
freed in the group, until the gang fits; then victims that are not needed are removed again.  The
group in which the least work is lost is chosen.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from jacinthreel_common import JobSpec, TaskPlacement
from jacinthreel_jobs._cluster_view import ClusterView, WorkerView
from jacinthreel_jobs._fit import adjacency_group, max_fitting_tasks
from jacinthreel_jobs._tables import JobEntry

OptionalLossFunction = Callable[[JobEntry], float | None]
"""Returns the accelerator seconds lost by preempting a borrower; None if that is not allowed."""


@dataclass(frozen=True, slots=True)
class ClearingPlan:
    """A placement, the borrowers to preempt for it, and the accelerator seconds lost."""

    placement: list[TaskPlacement]
    victims: list[JobEntry]
    loss: float


def find_cheapest_clearing(
    spec: JobSpec, view: ClusterView, avoided: frozenset[str], loss_of: OptionalLossFunction
) -> ClearingPlan | None:
    """Returns the placement for which preempting borrowers loses the least work, or None.

    Workers in `avoided` are not used.
    """
    groups: dict[tuple[str, ...], list[WorkerView]] = {}
    for worker in view.placeable_workers():
        if worker.worker_id in avoided:
            continue
        key = adjacency_group(spec.adjacency, worker.zone, worker.rack[1], worker.worker_id)
        groups.setdefault(key, []).append(worker)
    losses: dict[str, float] = {}
    for job in view.borrowers_by_id.values():
        loss = loss_of(job)
        if loss is not None:
            losses[job.job_id] = loss
    best: ClearingPlan | None = None
    for workers in groups.values():
        if sum(worker.count_fitting_when_empty(spec) for worker in workers) < spec.tasks:
            continue
        plan = _GroupClearing(spec, view, workers, losses).find_victims()
        if plan is not None and (best is None or plan.loss < best.loss):
            best = plan
    return best


class _GroupClearing:
    """Finds victims within one adjacency group."""

    def __init__(
        self, spec: JobSpec, view: ClusterView, workers: list[WorkerView], losses: dict[str, float]
    ) -> None:
        self._spec = spec
        self._view = view
        self._workers = workers
        self._losses = losses
        self._released: dict[str, list[tuple[WorkerView, int]]] = {}

    def find_victims(self) -> ClearingPlan | None:
        """Simulates preempting borrowers until the gang fits; leaves the view unchanged."""
        fitting_tasks_by_worker = {
            worker.worker_id: self._count_fitting(worker) for worker in self._workers
        }
        missing_tasks = self._spec.tasks - sum(fitting_tasks_by_worker.values())
        for job_id in self._sort_by_unit_loss():
            if missing_tasks <= 0:
                break
            missing_tasks -= self._release_borrower(job_id, fitting_tasks_by_worker)
        fits = missing_tasks <= 0
        if fits:
            self._restore_unneeded(fitting_tasks_by_worker, -missing_tasks)
        placement = self._assign_tasks(fitting_tasks_by_worker) if fits else []
        victims = [self._view.borrowers_by_id[job_id] for job_id in self._released]
        loss = sum(self._losses[job_id] for job_id in self._released)
        for job_id in list(self._released):
            self._restore_borrower(job_id)
        return ClearingPlan(placement, victims, loss) if fits else None

    def _sort_by_unit_loss(self) -> list[str]:
        """Returns the borrowers in the group by work lost per accelerator freed there."""
        freed: dict[str, int] = {}
        for worker in self._workers:
            for job_id, tasks in worker.tasks_by_job_id.items():
                if job_id in self._losses:
                    spec = self._view.borrowers_by_id[job_id].record.spec
                    size = max(1, spec.accelerators_per_task) * tasks
                    freed[job_id] = freed.get(job_id, 0) + size
        return sorted(freed, key=lambda job_id: (self._losses[job_id] / freed[job_id], job_id))

    def _release_borrower(self, job_id: str, fitting_tasks_by_worker: dict[str, int]) -> int:
        """Releases what a borrower holds in the group; returns how many more tasks fit."""
        spec = self._view.borrowers_by_id[job_id].record.spec
        released: list[tuple[WorkerView, int]] = []
        gained = 0
        for worker in self._workers:
            tasks = worker.tasks_by_job_id.get(job_id, 0)
            if not tasks:
                continue
            worker.release(spec, tasks)
            released.append((worker, tasks))
            gained += self._update_fit(worker, fitting_tasks_by_worker)
        self._released[job_id] = released
        return gained

    def _restore_borrower(self, job_id: str) -> None:
        spec = self._view.borrowers_by_id[job_id].record.spec
        for worker, tasks in self._released.pop(job_id):
            worker.allocate(spec, tasks)

    def _restore_unneeded(self, fitting_tasks_by_worker: dict[str, int], surplus: int) -> None:
        """Restores borrowers that need not be preempted for the gang to fit, costliest first."""
        for job_id in sorted(self._released, key=lambda job_id: -self._losses[job_id]):
            workers = [worker for worker, _ in self._released[job_id]]
            self._restore_borrower(job_id)
            change = sum(self._update_fit(worker, fitting_tasks_by_worker) for worker in workers)
            surplus += change
            if surplus < 0:
                surplus += self._release_borrower(job_id, fitting_tasks_by_worker)

    def _update_fit(self, worker: WorkerView, fitting_tasks_by_worker: dict[str, int]) -> int:
        before = fitting_tasks_by_worker[worker.worker_id]
        fitting_tasks_by_worker[worker.worker_id] = self._count_fitting(worker)
        return fitting_tasks_by_worker[worker.worker_id] - before

    def _count_fitting(self, worker: WorkerView) -> int:
        fit = max_fitting_tasks(
            self._spec, worker.free_accelerators, worker.free_cores, worker.free_memory_gb
        )
        return min(fit, worker.task_limit)

    def _assign_tasks(self, fitting_tasks_by_worker: dict[str, int]) -> list[TaskPlacement]:
        placement: list[TaskPlacement] = []
        order = sorted(
            self._workers, key=lambda w: (-fitting_tasks_by_worker[w.worker_id], w.worker_id)
        )
        for worker in order:
            for _ in range(
                min(fitting_tasks_by_worker[worker.worker_id], self._spec.tasks - len(placement))
            ):
                placement.append(TaskPlacement(len(placement), worker.worker_id))
        return placement
