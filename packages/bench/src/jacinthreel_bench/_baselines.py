"""Baseline planners: what an operator would write with the same duty towards guarantees.

Both reclaim guaranteed cells as the product does, from the cheapest borrowers and at once, but
without its ways to save borrowed work (`sparing`).  Both take urgent jobs first and stay off
workers on which a job failed.  They differ in how everyone else is served:

- `FifoFirstFit` serves in order of arrival whatever fits; what does not fit is passed over.
- `BackfillBestFit` is EASY backfill: the first gang that does not fit gets a reservation at the
  earliest time that the declared run times allow, and later gangs may run before it if by their
  declared run times they don't delay it.  Gangs go where the least room is left.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from jacinthreel_common import JobSpec, TaskPlacement
from jacinthreel_jobs import Decision, Place, PlanTrigger, Tables
from jacinthreel_jobs._cluster_view import ClusterView, WorkerView, build_view
from jacinthreel_jobs._fit import adjacency_group
from jacinthreel_jobs._guaranteed_pass import Claims, GuaranteedPass
from jacinthreel_jobs._tables import JobEntry

WorkerOrder = Callable[[WorkerView], tuple[int, str]]


class _Baseline:
    """What both baselines share."""

    def __init__(self) -> None:
        self._claims = Claims()

    def observe_finished(self, spec: JobSpec, run_s: float) -> None:
        """Learns nothing."""

    def expect_run_s(self, spec: JobSpec) -> float:
        """The declared run time, in seconds."""
        return float(spec.declared_run_s)

    def plan(self, tables: Tables, trigger: PlanTrigger, now_ms: int) -> list[Decision]:
        """Guaranteed gangs, then the others in order of arrival."""
        if tables.config is None:
            return []
        view = build_view(tables)
        jobs = waiting_in_order(tables, trigger, now_ms)
        guaranteed = GuaranteedPass(
            tables, tables.config, view, self._claims, now_ms, limits_borrower_loss=False
        )
        guaranteed.place_all(job for job in jobs if job.job_id not in guaranteed.handled_job_ids)
        others = [job for job in jobs if job.job_id not in guaranteed.handled_job_ids]
        if tables.config.settings.borrowing:
            self.place_others(others, view, guaranteed.decisions, now_ms)
        return guaranteed.decisions

    def place_others(
        self, jobs: list[JobEntry], view: ClusterView, decisions: list[Decision], now_ms: int
    ) -> None:
        """Places gangs in free room."""
        raise NotImplementedError


class FifoFirstFit(_Baseline):
    """In order of arrival, each gang on the first workers that hold it."""

    def place_others(
        self, jobs: list[JobEntry], view: ClusterView, decisions: list[Decision], now_ms: int
    ) -> None:
        """Places every gang that fits, in order."""
        failed: set[tuple[object, ...]] = set()
        for job in jobs:
            shape = _shape(job, ends_in_time=True)
            if shape in failed:
                continue
            placement = fit(job, view, lambda w: (0, w.worker_id), _always)
            if placement is None:
                failed.add(shape)
                continue
            _place(job, placement, view, decisions)


class BackfillBestFit(_Baseline):
    """EASY backfill on declared run times, each gang where the least room is left."""

    def place_others(
        self, jobs: list[JobEntry], view: ClusterView, decisions: list[Decision], now_ms: int
    ) -> None:
        """Places gangs in order, and later ones around the reservation of the first blocked."""
        reservation: _Reservation | None = None
        failed: set[tuple[object, ...]] = set()
        for job in jobs:
            spec = job.record.spec
            allowed = _always
            ends_in_time = True
            if reservation is not None:
                end_ms = now_ms + spec.declared_run_s * 1000
                ends_in_time = end_ms <= reservation.at_ms
                if not ends_in_time:
                    allowed = reservation.spares
            shape = _shape(job, ends_in_time)
            if shape in failed:
                continue
            placement = fit(job, view, _best_fit, allowed)
            if placement is not None:
                _place(job, placement, view, decisions)
                continue
            failed.add(shape)
            if reservation is None:
                reservation = reserve(job, view, now_ms)
                failed.clear()


def _shape(job: JobEntry, ends_in_time: bool) -> tuple[object, ...]:
    spec = job.record.spec
    return (
        spec.tasks,
        spec.accelerators_per_task,
        spec.cores_per_task,
        spec.memory_gb_per_task,
        spec.adjacency,
        tuple(job.record.failed_workers),
        ends_in_time,
    )


def _always(worker: WorkerView) -> bool:
    return True


def _best_fit(worker: WorkerView) -> tuple[int, str]:
    return (worker.free_accelerators, worker.worker_id)


@dataclass(frozen=True, slots=True)
class _Reservation:
    """Workers kept for a blocked gang from a time on."""

    at_ms: int
    worker_ids: frozenset[str]

    def spares(self, worker: WorkerView) -> bool:
        """Whether a worker is not kept."""
        return worker.worker_id not in self.worker_ids


def waiting_in_order(tables: Tables, trigger: PlanTrigger, now_ms: int) -> list[JobEntry]:
    """Queued gangs that may run now: urgent ones first, then in order of arrival."""
    jobs: list[JobEntry] = []
    for job in tables.queued_by_id.values():
        if job.record.cancel_requested or job.not_before_ms > now_ms:
            continue
        if trigger is PlanTrigger.URGENT and not job.record.spec.urgent:
            continue
        jobs.append(job)
    jobs.sort(key=lambda job: (not job.record.spec.urgent, job.submitted_ms, job.job_id))
    return jobs


def fit(
    job: JobEntry, view: ClusterView, order: WorkerOrder, allowed: Callable[[WorkerView], bool]
) -> list[TaskPlacement] | None:
    """The first adjacency group that holds a gang, filled in the order of its workers."""
    spec = job.record.spec
    avoided = view.workers_to_avoid(job)
    count_fitting_tasks: dict[tuple[str, ...], list[tuple[WorkerView, int]]] = {}
    for worker in sorted(view.placeable_workers(), key=order):
        tasks = worker.count_fitting_tasks(spec)
        if not tasks or worker.worker_id in avoided or not allowed(worker):
            continue
        key = adjacency_group(spec.adjacency, worker.zone, worker.rack[1], worker.worker_id)
        group = count_fitting_tasks.setdefault(key, [])
        group.append((worker, tasks))
        if sum(count for _, count in group) >= spec.tasks:
            return _spread(spec, group)
    return None


def _spread(spec: JobSpec, group: list[tuple[WorkerView, int]]) -> list[TaskPlacement]:
    placement: list[TaskPlacement] = []
    for worker, tasks in group:
        for _ in range(min(tasks, spec.tasks - len(placement))):
            placement.append(TaskPlacement(len(placement), worker.worker_id))
    return placement


def reserve(job: JobEntry, view: ClusterView, now_ms: int) -> _Reservation | None:
    """The earliest start of a blocked gang if running gangs end as declared."""
    ends: list[tuple[int, JobEntry]] = []
    for other in view.active:
        declared_ms = int(other.record.spec.declared_run_s * 1000)
        ends.append((max(now_ms + 1_000, other.started_ms + declared_ms), other))
    ends.sort(key=lambda item: (item[0], item[1].job_id))
    given: list[tuple[WorkerView, JobSpec]] = []
    reservation: _Reservation | None = None
    for at_ms, other in ends:
        for task in other.record.placement:
            worker = view.workers_by_id.get(task.worker_id)
            if worker is not None:
                worker.release(other.record.spec, 1)
                given.append((worker, other.record.spec))
        placement = fit(job, view, _best_fit, _always)
        if placement is not None:
            reservation = _Reservation(at_ms, frozenset(t.worker_id for t in placement))
            break
    for worker, other_spec in given:
        worker.allocate(other_spec, 1)
    return reservation


def _place(
    job: JobEntry, placement: list[TaskPlacement], view: ClusterView, decisions: list[Decision]
) -> None:
    view.allocate(job.record.spec, placement)
    reason = "free room"
    decisions.append(Place(job.job_id, placement, True, reason, len(view.workers_by_id)))
