"""Backfill reservations, which keep later and smaller gangs from starving a blocked one.

A reservation names workers of one adjacency group and the earliest time at which the whole gang
is expected to fit there, given the estimated run times of the running gangs.  Until then, these
workers accept only gangs that are expected to end before that time.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Final

from jacinthreel_common import JobSpec
from jacinthreel_jobs._cluster_view import ClusterView, WorkerView
from jacinthreel_jobs._fit import adjacency_group, max_fitting_tasks
from jacinthreel_jobs._tables import JobEntry

OVERDUE_EXTENSION_RATIO: Final = 0.3
"""A gang that exceeded its estimate is expected to run on for this share of its run time so far."""
RUN_ESTIMATE_MARGIN: Final = 1.3
"""Estimated run times are multiplied by this before they are compared with a reservation."""
MIN_REMAINING_S: Final = 2.0


def expected_remaining_s(job: JobEntry, now_ms: int) -> float:
    """Returns how much longer an active gang is expected to run, in seconds."""
    ran_s = max(0.0, (now_ms - job.started_ms) / 1000) if job.started_ms else 0.0
    done_s = job.record.run_s + ran_s
    return max(MIN_REMAINING_S, job.expected_run_s - done_s, OVERDUE_EXTENSION_RATIO * done_s)


@dataclass(slots=True)
class Reservation:
    """Workers reserved for a gang, which is expected to start on them at `at_ms`."""

    job_id: str
    at_ms: float
    worker_ids: frozenset[str]


@dataclass(slots=True)
class Reservations:
    """The reservations made in one plan.

    `reserved_workers_by_job_id` initially holds the reservations of the previous plan.
    `by_worker_id` holds only those of this plan; `count` is their number.
    """

    now_ms: int
    reserved_workers_by_job_id: dict[str, frozenset[str]] = field(default_factory=dict)
    by_worker_id: dict[str, Reservation] = field(default_factory=dict)
    count: int = 0
    _sorted_ends: list[tuple[float, JobEntry]] = field(default_factory=list)

    def allows(self, worker: WorkerView, run_s: float) -> bool:
        """Returns whether a gang that is expected to run for `run_s` seconds may use a worker."""
        reservation = self.by_worker_id.get(worker.worker_id)
        if reservation is None:
            return True
        return self.now_ms + run_s * RUN_ESTIMATE_MARGIN * 1000 <= reservation.at_ms

    def add(self, reservation: Reservation) -> None:
        """Adds a reservation; a worker that is already reserved stays with the earlier one."""
        self.count += 1
        self.reserved_workers_by_job_id[reservation.job_id] = reservation.worker_ids
        for worker_id in reservation.worker_ids:
            self.by_worker_id.setdefault(worker_id, reservation)

    def find_earliest(self, job: JobEntry, view: ClusterView) -> Reservation | None:
        """Returns the earliest possible reservation on unreserved workers, or None.

        A gang that had a reservation in the previous plan keeps those workers as long as it is
        expected to fit there; otherwise the capacity that has already become free would be lost.
        """
        previous_worker_ids = self.reserved_workers_by_job_id.get(job.job_id)
        if previous_worker_ids is not None:
            reservation = self._find_earliest_on(job, view, previous_worker_ids)
            if reservation is not None:
                return reservation
        return self._find_earliest_on(job, view, None)

    def _find_earliest_on(
        self, job: JobEntry, view: ClusterView, allowed_worker_ids: frozenset[str] | None
    ) -> Reservation | None:
        capacity = _CapacityForecast(job, view, frozenset(self.by_worker_id), allowed_worker_ids)
        fitting_group = capacity.find_fitting_group()
        if fitting_group is not None:
            return self._build_reservation(job, 0.0, capacity, fitting_group)
        for after_s, other in self._sort_expected_ends(view):
            fitting_group = capacity.release_gang(other)
            if fitting_group is not None:
                return self._build_reservation(job, after_s, capacity, fitting_group)
        return None

    def _sort_expected_ends(self, view: ClusterView) -> list[tuple[float, JobEntry]]:
        if not self._sorted_ends:
            self._sorted_ends = sorted(
                ((expected_remaining_s(other, self.now_ms), other) for other in view.active),
                key=lambda item: (item[0], item[1].job_id),
            )
        return self._sorted_ends

    def _build_reservation(
        self, job: JobEntry, after_s: float, capacity: _CapacityForecast, group: tuple[str, ...]
    ) -> Reservation:
        at_ms = self.now_ms + after_s * 1000
        return Reservation(job.job_id, at_ms, capacity.choose_workers(group))


class _CapacityForecast:
    """Forecasts how many tasks of one gang fit as running gangs end one after another."""

    def __init__(
        self,
        job: JobEntry,
        view: ClusterView,
        reserved_worker_ids: frozenset[str],
        allowed_worker_ids: frozenset[str] | None,
    ) -> None:
        self._spec: JobSpec = job.record.spec
        self._tasks_by_group: dict[tuple[str, ...], int] = {}
        self._forecasts_by_worker_id: dict[str, _WorkerForecast] = {}
        avoided = view.workers_to_avoid(job) | reserved_worker_ids
        for worker in view.placeable_workers():
            if worker.worker_id in avoided or (
                allowed_worker_ids is not None and worker.worker_id not in allowed_worker_ids
            ):
                continue
            forecast = _WorkerForecast(worker, self._spec)
            self._forecasts_by_worker_id[worker.worker_id] = forecast
            self._add_tasks(forecast.group, forecast.tasks)

    def find_fitting_group(self) -> tuple[str, ...] | None:
        """Returns an adjacency group in which the gang fits, or None."""
        for group, tasks in self._tasks_by_group.items():
            if tasks >= self._spec.tasks:
                return group
        return None

    def release_gang(self, other: JobEntry) -> tuple[str, ...] | None:
        """Releases the resources of a running gang; returns a group in which the gang now fits."""
        fitting_group: tuple[str, ...] | None = None
        for task in other.record.placement:
            forecast = self._forecasts_by_worker_id.get(task.worker_id)
            if forecast is None:
                continue
            gained = forecast.release(other.record.spec, self._spec)
            self._add_tasks(forecast.group, gained)
            if self._tasks_by_group[forecast.group] >= self._spec.tasks:
                fitting_group = forecast.group
        return fitting_group

    def choose_workers(self, group: tuple[str, ...]) -> frozenset[str]:
        """Chooses workers of a group for the gang, starting with those on which most tasks fit."""
        forecasts = [
            f for f in self._forecasts_by_worker_id.values() if f.group == group and f.tasks
        ]
        forecasts.sort(key=lambda forecast: (-forecast.tasks, forecast.worker_id))
        chosen: set[str] = set()
        tasks = 0
        for forecast in forecasts:
            if tasks >= self._spec.tasks:
                break
            chosen.add(forecast.worker_id)
            tasks += forecast.tasks
        return frozenset(chosen)

    def _add_tasks(self, group: tuple[str, ...], tasks: int) -> None:
        self._tasks_by_group[group] = self._tasks_by_group.get(group, 0) + tasks


class _WorkerForecast:
    """Forecast free resources of one worker; `tasks` is how many of the gang's tasks fit."""

    __slots__ = ("_accelerators", "_cores", "_memory_gb", "group", "tasks", "worker_id")

    def __init__(self, worker: WorkerView, spec: JobSpec) -> None:
        self.worker_id = worker.worker_id
        self.group = adjacency_group(spec.adjacency, worker.zone, worker.rack[1], worker.worker_id)
        self._accelerators = worker.free_accelerators
        self._cores = worker.free_cores
        self._memory_gb = worker.free_memory_gb
        self.tasks = worker.count_fitting_tasks(spec)

    def release(self, ended: JobSpec, spec: JobSpec) -> int:
        """Adds the resources of one ended task; returns how many more of the gang's tasks fit."""
        self._accelerators += ended.accelerators_per_task
        self._cores += ended.cores_per_task
        self._memory_gb += ended.memory_gb_per_task
        before = self.tasks
        self.tasks = max_fitting_tasks(spec, self._accelerators, self._cores, self._memory_gb)
        return self.tasks - before
