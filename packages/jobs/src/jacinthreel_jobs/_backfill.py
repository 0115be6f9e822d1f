"""Reservations for gangs that don't fit yet, so that later and smaller ones don't starve them.

A blocked gang gets a reservation: the adjacency group, the workers there and the time at which,
by the learnt run times of what runs now, the whole gang will fit first.  Until then these workers
take only gangs that are expected to end before that time.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Final

from jacinthreel_common import JobSpec
from jacinthreel_jobs._cluster_view import ClusterView, WorkerView
from jacinthreel_jobs._fit import adjacency_group, tasks_that_fit
from jacinthreel_jobs._tables import JobEntry

OVERDUE_SHARE: Final = 0.3
"""A gang that outran its estimate is expected to go on for this share of its time so far."""
END_MARGIN: Final = 1.3
"""A gang is taken to end in time if its estimate, times this, says so."""
MIN_LEFT_S: Final = 2.0


def left_s(job: JobEntry, now_ms: int) -> float:
    """The time that a running gang is expected to go on, in seconds."""
    ran_s = max(0.0, (now_ms - job.started_ms) / 1000) if job.started_ms else 0.0
    done_s = job.record.run_s + ran_s
    return max(MIN_LEFT_S, job.expected_run_s - done_s, OVERDUE_SHARE * done_s)


@dataclass(slots=True)
class Reservation:
    """Workers kept for a gang from `at_ms` on."""

    job_id: str
    at_ms: float
    worker_ids: frozenset[str]


@dataclass(slots=True)
class Reservations:
    """The reservations of one plan, in the order in which they were made."""

    now_ms: int
    kept_workers: dict[str, frozenset[str]] = field(default_factory=dict)
    by_worker: dict[str, Reservation] = field(default_factory=dict)
    count: int = 0
    _ends: list[tuple[float, JobEntry]] = field(default_factory=list)

    def allows(self, worker: WorkerView, run_s: float) -> bool:
        """Whether a gang expected to run for `run_s` seconds may use a worker."""
        reservation = self.by_worker.get(worker.worker_id)
        if reservation is None:
            return True
        return self.now_ms + run_s * END_MARGIN * 1000 <= reservation.at_ms

    def add(self, reservation: Reservation) -> None:
        """Keeps the workers of a reservation; those kept already stay with the earlier one."""
        self.count += 1
        self.kept_workers[reservation.job_id] = reservation.worker_ids
        for worker_id in reservation.worker_ids:
            self.by_worker.setdefault(worker_id, reservation)

    def earliest(self, job: JobEntry, view: ClusterView) -> Reservation | None:
        """The earliest reservation for a gang beside the others, or None if none is in sight.

        A gang that had workers kept for it in the plan before (`kept_workers`) stays with them as
        long as they will hold it, since the room that has gathered there would be lost.
        """
        kept = self.kept_workers.get(job.job_id)
        if kept is not None:
            found = self._earliest(job, view, kept)
            if found is not None:
                return found
        return self._earliest(job, view, None)

    def _earliest(
        self, job: JobEntry, view: ClusterView, only: frozenset[str] | None
    ) -> Reservation | None:
        search = _Search(job, view, frozenset(self.by_worker), only)
        best = search.best_group()
        if best is not None:
            return self._reservation(job, 0.0, search, best)
        for after_s, other in self._ends_in_order(view):
            best = search.give_back(other)
            if best is not None:
                return self._reservation(job, after_s, search, best)
        return None

    def _ends_in_order(self, view: ClusterView) -> list[tuple[float, JobEntry]]:
        if not self._ends:
            self._ends = sorted(
                ((left_s(other, self.now_ms), other) for other in view.active),
                key=lambda item: (item[0], item[1].job_id),
            )
        return self._ends

    def _reservation(
        self, job: JobEntry, after_s: float, search: _Search, group: tuple[str, ...]
    ) -> Reservation:
        at_ms = self.now_ms + after_s * 1000
        return Reservation(job.job_id, at_ms, search.workers_for(group))


class _Search:
    """The room for one gang as running gangs end one after another."""

    def __init__(
        self,
        job: JobEntry,
        view: ClusterView,
        kept: frozenset[str],
        only: frozenset[str] | None,
    ) -> None:
        self._spec: JobSpec = job.record.spec
        self._tasks_by_group: dict[tuple[str, ...], int] = {}
        self._room_by_worker: dict[str, _FutureRoom] = {}
        avoided = view.avoided_by(job) | kept
        for worker in view.placeable():
            if worker.worker_id in avoided or (only is not None and worker.worker_id not in only):
                continue
            room = _FutureRoom(worker, self._spec)
            self._room_by_worker[worker.worker_id] = room
            self._count(room.group, room.tasks)

    def best_group(self) -> tuple[str, ...] | None:
        """A group that holds the gang, or None."""
        for group, tasks in self._tasks_by_group.items():
            if tasks >= self._spec.tasks:
                return group
        return None

    def give_back(self, other: JobEntry) -> tuple[str, ...] | None:
        """Notes that a running gang ended; returns a group that now holds the gang."""
        found: tuple[str, ...] | None = None
        for task in other.record.placement:
            room = self._room_by_worker.get(task.worker_id)
            if room is None:
                continue
            gained = room.give(other.record.spec, self._spec)
            self._count(room.group, gained)
            if self._tasks_by_group[room.group] >= self._spec.tasks:
                found = room.group
        return found

    def workers_for(self, group: tuple[str, ...]) -> frozenset[str]:
        """The workers of a group that would take the gang, those with most room first."""
        rooms = [r for r in self._room_by_worker.values() if r.group == group and r.tasks]
        rooms.sort(key=lambda room: (-room.tasks, room.worker_id))
        chosen: set[str] = set()
        tasks = 0
        for room in rooms:
            if tasks >= self._spec.tasks:
                break
            chosen.add(room.worker_id)
            tasks += room.tasks
        return frozenset(chosen)

    def _count(self, group: tuple[str, ...], tasks: int) -> None:
        self._tasks_by_group[group] = self._tasks_by_group.get(group, 0) + tasks


class _FutureRoom:
    """A worker's room as gangs end, in tasks of the gang that waits."""

    __slots__ = ("_accelerators", "_cores", "_memory_gb", "group", "tasks", "worker_id")

    def __init__(self, worker: WorkerView, spec: JobSpec) -> None:
        self.worker_id = worker.worker_id
        self.group = adjacency_group(spec.adjacency, worker.zone, worker.rack[1], worker.worker_id)
        self._accelerators = worker.free_accelerators
        self._cores = worker.free_cores
        self._memory_gb = worker.free_memory_gb
        self.tasks = worker.fits(spec)

    def give(self, ended: JobSpec, spec: JobSpec) -> int:
        """Adds the room of one task that ended; returns how many more tasks fit."""
        self._accelerators += ended.accelerators_per_task
        self._cores += ended.cores_per_task
        self._memory_gb += ended.memory_gb_per_task
        before = self.tasks
        self.tasks = tasks_that_fit(spec, self._accelerators, self._cores, self._memory_gb)
        return self.tasks - before
