"""Room that borrowing gangs could give up for another gang, at the least work lost.

For each adjacency group, borrowers are taken in order of the work lost for each accelerator that
they free in the group, until the gang fits; those that turn out needless are left alone.  The
group where the least work is lost wins.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from jacinthreel_common import JobSpec, TaskPlacement
from jacinthreel_jobs._cluster_view import ClusterView, WorkerView
from jacinthreel_jobs._fit import adjacency_group, tasks_that_fit
from jacinthreel_jobs._tables import JobEntry

MovableLoss = Callable[[JobEntry], float | None]
"""The accelerator seconds lost when a borrower is taken down, None if it has to stay."""


@dataclass(frozen=True, slots=True)
class ClearedRoom:
    """Where a gang would go, who would make room, and the accelerator seconds lost."""

    placement: list[TaskPlacement]
    victims: list[JobEntry]
    loss: float


def find_clearable(
    spec: JobSpec, view: ClusterView, avoided: frozenset[str], loss_of: MovableLoss
) -> ClearedRoom | None:
    """The cheapest room for a gang if borrowers make way, or None."""
    groups: dict[tuple[str, ...], list[WorkerView]] = {}
    for worker in view.placeable():
        if worker.worker_id in avoided:
            continue
        key = adjacency_group(spec.adjacency, worker.zone, worker.rack[1], worker.worker_id)
        groups.setdefault(key, []).append(worker)
    losses: dict[str, float] = {}
    for job in view.borrowers_by_id.values():
        loss = loss_of(job)
        if loss is not None:
            losses[job.job_id] = loss
    best: ClearedRoom | None = None
    for workers in groups.values():
        if sum(worker.fits_when_empty(spec) for worker in workers) < spec.tasks:
            continue
        room = _Clearing(spec, view, workers, losses).clear()
        if room is not None and (best is None or room.loss < best.loss):
            best = room
    return best


class _Clearing:
    """Clears one adjacency group."""

    def __init__(
        self, spec: JobSpec, view: ClusterView, workers: list[WorkerView], losses: dict[str, float]
    ) -> None:
        self._spec = spec
        self._view = view
        self._workers = workers
        self._losses = losses
        self._given: dict[str, list[tuple[WorkerView, int]]] = {}

    def clear(self) -> ClearedRoom | None:
        """Takes borrowers down in thought until the gang fits; the view is left as it was."""
        fits = {worker.worker_id: self._fits(worker) for worker in self._workers}
        missing = self._spec.tasks - sum(fits.values())
        for job_id in self._by_price():
            if missing <= 0:
                break
            missing -= self._give(job_id, fits)
        found = missing <= 0
        if found:
            self._take_back_needless(fits, -missing)
        placement = self._fill(fits) if found else []
        victims = [self._view.borrowers_by_id[job_id] for job_id in self._given]
        loss = sum(self._losses[job_id] for job_id in self._given)
        for job_id in list(self._given):
            self._take(job_id)
        return ClearedRoom(placement, victims, loss) if found else None

    def _by_price(self) -> list[str]:
        """Borrowers in the group, by work lost for each accelerator freed there."""
        freed: dict[str, int] = {}
        for worker in self._workers:
            for job_id, tasks in worker.tasks_by_gang.items():
                if job_id in self._losses:
                    spec = self._view.borrowers_by_id[job_id].record.spec
                    size = max(1, spec.accelerators_per_task) * tasks
                    freed[job_id] = freed.get(job_id, 0) + size
        return sorted(freed, key=lambda job_id: (self._losses[job_id] / freed[job_id], job_id))

    def _give(self, job_id: str, fits: dict[str, int]) -> int:
        """Frees what a borrower holds in the group; returns how many more tasks fit."""
        spec = self._view.borrowers_by_id[job_id].record.spec
        rooms: list[tuple[WorkerView, int]] = []
        gained = 0
        for worker in self._workers:
            tasks = worker.tasks_by_gang.get(job_id, 0)
            if not tasks:
                continue
            worker.give(spec, tasks)
            rooms.append((worker, tasks))
            gained += self._refit(worker, fits)
        self._given[job_id] = rooms
        return gained

    def _take(self, job_id: str) -> None:
        spec = self._view.borrowers_by_id[job_id].record.spec
        for worker, tasks in self._given.pop(job_id):
            worker.take(spec, tasks)

    def _take_back_needless(self, fits: dict[str, int], surplus: int) -> None:
        """Spares the dearest borrowers without which the gang fits all the same."""
        for job_id in sorted(self._given, key=lambda job_id: -self._losses[job_id]):
            workers = [worker for worker, _ in self._given[job_id]]
            self._take(job_id)
            change = sum(self._refit(worker, fits) for worker in workers)
            surplus += change
            if surplus < 0:
                surplus += self._give(job_id, fits)

    def _refit(self, worker: WorkerView, fits: dict[str, int]) -> int:
        before = fits[worker.worker_id]
        fits[worker.worker_id] = self._fits(worker)
        return fits[worker.worker_id] - before

    def _fits(self, worker: WorkerView) -> int:
        fit = tasks_that_fit(
            self._spec, worker.free_accelerators, worker.free_cores, worker.free_memory_gb
        )
        return min(fit, worker.task_limit)

    def _fill(self, fits: dict[str, int]) -> list[TaskPlacement]:
        placement: list[TaskPlacement] = []
        order = sorted(self._workers, key=lambda w: (-fits[w.worker_id], w.worker_id))
        for worker in order:
            for _ in range(min(fits[worker.worker_id], self._spec.tasks - len(placement))):
                placement.append(TaskPlacement(len(placement), worker.worker_id))
        return placement
