"""Baseline planners: common scheduling policies, with the same guarantees as the product.

The product is `GuaranteePlanner`.  Both baselines reclaim guaranteed cells as it does, immediately
and from the borrowers with the lowest cost, but without its measures against the loss of
borrowers' work (`limits_borrower_loss`).  Both place urgent jobs first and avoid workers on which a
job failed.  They differ in how they place the other jobs:

- `FifoFirstFit` places every job that fits, in order of arrival, and skips the others.
- `BackfillBestFit` is EASY backfill: the first gang that does not fit gets a reservation at the
  earliest start that the declared run times allow.  A later gang may start if it ends before the
  reservation by its declared run time, or if it uses no reserved worker.  Workers with the fewest
  free accelerators are filled first.
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

WorkerSortKey = Callable[[WorkerView], tuple[int, str]]


class _BaselinePlanner:
    """Base class of the baselines: guaranteed gangs are placed as in the product."""

    def __init__(self) -> None:
        self._claims = Claims()

    def observe_finished(self, spec: JobSpec, run_s: float) -> None:
        """Does nothing: the baselines don't learn from past run times."""

    def expect_run_s(self, spec: JobSpec) -> float:
        """Returns the declared run time, in seconds."""
        return float(spec.declared_run_s)

    def plan(self, tables: Tables, trigger: PlanTrigger, now_ms: int) -> list[Decision]:
        """Returns decisions for the guaranteed gangs, then for the others in order of arrival."""
        if tables.config is None:
            return []
        view = build_view(tables)
        jobs = list_queued_jobs(tables, trigger, now_ms)
        guaranteed = GuaranteedPass(
            tables, tables.config, view, self._claims, now_ms, limits_borrower_loss=False
        )
        guaranteed.place_all(job for job in jobs if job.job_id not in guaranteed.handled_job_ids)
        unguaranteed_jobs = [job for job in jobs if job.job_id not in guaranteed.handled_job_ids]
        if tables.config.settings.borrowing:
            self.place_unguaranteed(unguaranteed_jobs, view, guaranteed.decisions, now_ms)
        return guaranteed.decisions

    def place_unguaranteed(
        self, jobs: list[JobEntry], view: ClusterView, decisions: list[Decision], now_ms: int
    ) -> None:
        """Places gangs outside their guarantee on free resources."""
        raise NotImplementedError


class FifoFirstFit(_BaselinePlanner):
    """Places gangs in order of arrival, each on the first workers on which it fits."""

    def place_unguaranteed(
        self, jobs: list[JobEntry], view: ClusterView, decisions: list[Decision], now_ms: int
    ) -> None:
        """Places every gang that fits, in order."""
        unplaceable_keys: set[tuple[object, ...]] = set()
        for job in jobs:
            key = _placement_key(job, ends_before_reservation=True)
            if key in unplaceable_keys:
                continue
            placement = find_placement(job, view, lambda w: (0, w.worker_id), _allow_all)
            if placement is None:
                unplaceable_keys.add(key)
                continue
            _place_gang(job, placement, view, decisions)


class BackfillBestFit(_BaselinePlanner):
    """EASY backfill by declared run times, on the workers with the fewest free accelerators."""

    def place_unguaranteed(
        self, jobs: list[JobEntry], view: ClusterView, decisions: list[Decision], now_ms: int
    ) -> None:
        """Places gangs in order; after the first that does not fit, without delaying that one."""
        reservation: _Reservation | None = None
        unplaceable_keys: set[tuple[object, ...]] = set()
        for job in jobs:
            spec = job.record.spec
            is_allowed = _allow_all
            ends_before_reservation = True
            if reservation is not None:
                end_ms = now_ms + spec.declared_run_s * 1000
                ends_before_reservation = end_ms <= reservation.start_ms
                if not ends_before_reservation:
                    is_allowed = reservation.is_unreserved
            key = _placement_key(job, ends_before_reservation)
            if key in unplaceable_keys:
                continue
            placement = find_placement(job, view, _free_accelerators_key, is_allowed)
            if placement is not None:
                _place_gang(job, placement, view, decisions)
                continue
            unplaceable_keys.add(key)
            if reservation is None:
                reservation = find_reservation(job, view, now_ms)
                unplaceable_keys.clear()


def _placement_key(job: JobEntry, ends_before_reservation: bool) -> tuple[object, ...]:
    """Returns a key that is equal for jobs that fit on the same free resources."""
    spec = job.record.spec
    return (
        spec.tasks,
        spec.accelerators_per_task,
        spec.cores_per_task,
        spec.memory_gb_per_task,
        spec.adjacency,
        tuple(job.record.failed_workers),
        ends_before_reservation,
    )


def _allow_all(worker: WorkerView) -> bool:
    return True


def _free_accelerators_key(worker: WorkerView) -> tuple[int, str]:
    return (worker.free_accelerators, worker.worker_id)


@dataclass(frozen=True, slots=True)
class _Reservation:
    """Workers that are reserved for a blocked gang from its expected start."""

    start_ms: int
    worker_ids: frozenset[str]

    def is_unreserved(self, worker: WorkerView) -> bool:
        """Whether a worker is not part of the reservation."""
        return worker.worker_id not in self.worker_ids


def list_queued_jobs(tables: Tables, trigger: PlanTrigger, now_ms: int) -> list[JobEntry]:
    """Returns the queued jobs that may run now: urgent ones first, then in order of arrival."""
    jobs: list[JobEntry] = []
    for job in tables.queued_by_id.values():
        if job.record.cancel_requested or job.not_before_ms > now_ms:
            continue
        if trigger is PlanTrigger.URGENT and not job.record.spec.urgent:
            continue
        jobs.append(job)
    jobs.sort(key=lambda job: (not job.record.spec.urgent, job.submitted_ms, job.job_id))
    return jobs


def find_placement(
    job: JobEntry,
    view: ClusterView,
    sort_key: WorkerSortKey,
    is_allowed: Callable[[WorkerView], bool],
) -> list[TaskPlacement] | None:
    """Returns a placement in the first adjacency group that can hold the gang, or None."""
    spec = job.record.spec
    avoided = view.workers_to_avoid(job)
    groups_by_key: dict[tuple[str, ...], list[tuple[WorkerView, int]]] = {}
    for worker in sorted(view.placeable_workers(), key=sort_key):
        fitting_tasks = worker.count_fitting_tasks(spec)
        if not fitting_tasks or worker.worker_id in avoided or not is_allowed(worker):
            continue
        key = adjacency_group(spec.adjacency, worker.zone, worker.rack[1], worker.worker_id)
        group = groups_by_key.setdefault(key, [])
        group.append((worker, fitting_tasks))
        if sum(count for _, count in group) >= spec.tasks:
            return _fill_workers(spec, group)
    return None


def _fill_workers(spec: JobSpec, group: list[tuple[WorkerView, int]]) -> list[TaskPlacement]:
    placement: list[TaskPlacement] = []
    for worker, fitting_tasks in group:
        for _ in range(min(fitting_tasks, spec.tasks - len(placement))):
            placement.append(TaskPlacement(len(placement), worker.worker_id))
    return placement


def find_reservation(job: JobEntry, view: ClusterView, now_ms: int) -> _Reservation | None:
    """Returns a reservation at the earliest start of a blocked gang, or None if it never fits.

    It assumes that active gangs end after their declared run times.
    """
    ends: list[tuple[int, JobEntry]] = []
    for other in view.active:
        declared_ms = int(other.record.spec.declared_run_s * 1000)
        ends.append((max(now_ms + 1_000, other.started_ms + declared_ms), other))
    ends.sort(key=lambda item: (item[0], item[1].job_id))
    released: list[tuple[WorkerView, JobSpec]] = []
    reservation: _Reservation | None = None
    for at_ms, other in ends:
        for task in other.record.placement:
            worker = view.workers_by_id.get(task.worker_id)
            if worker is not None:
                worker.release(other.record.spec, 1)
                released.append((worker, other.record.spec))
        placement = find_placement(job, view, _free_accelerators_key, _allow_all)
        if placement is not None:
            reservation = _Reservation(at_ms, frozenset(t.worker_id for t in placement))
            break
    for worker, other_spec in released:
        worker.allocate(other_spec, 1)
    return reservation


def _place_gang(
    job: JobEntry, placement: list[TaskPlacement], view: ClusterView, decisions: list[Decision]
) -> None:
    view.allocate(job.record.spec, placement)
    reason = "free capacity"
    decisions.append(Place(job.job_id, placement, True, reason, len(view.workers_by_id)))
