"""The room reserved for jobs that have waited long (`_reservations`)."""

from __future__ import annotations

from collections.abc import Collection, Mapping
from dataclasses import dataclass
from typing import Final

from jacinthreel_steps._model import NO_RESOURCES, Resources
from jacinthreel_steps._tables import Job

SHARED_WITH_URGENT_MS: Final = 5_000  # From when the room was reserved.


@dataclass(slots=True)
class Reservation:
    """The room reserved for a step of a job: how many of its tasks on each executor.

    `shape` is what a task needs.  `made_ms` is when the job first got a reservation for the wait,
    `fit_ms` when it is predicted to fit.  Until `closed_until_ms` no guests come to the room: some
    were preempted.  From `evict_again_ms` on others may be.
    """

    service: str
    workspace: str
    step_index: int
    shape: Resources
    made_ms: int
    fit_ms: int
    count_by_executor: dict[str, int]
    closed_until_ms: int = 0
    evict_again_ms: int = 0


@dataclass(frozen=True, slots=True)
class QuotaHolder:
    """A job that has waited long, and how much of its workspace's quota is kept for it."""

    job_id: str
    accepted_ms: int
    amount: Resources


class ReservationTable:
    """All reservations, by job, and since when jobs have waited with no run.

    They are kept in memory only: the next owner makes new ones, because the time of acceptance is
    stored and most of the jobs have waited since then.

    `newest_placed_by_service` holds the time of acceptance of the newest job of which a run was
    placed: older jobs that wait have been passed.  `first_made_by_job` holds when a job that still
    waits first got a reservation.  `retry_by_job` holds when to look again for a
    job that does not fit on the executors that take tasks, `retry_by_service` when to look for any
    in a service where there was not enough beside other reservations.
    """

    def __init__(self) -> None:
        self.by_job: dict[str, Reservation] = {}
        self.since_by_job: dict[str, int] = {}
        self.first_made_by_job: dict[str, int] = {}
        self.retry_by_job: dict[str, int] = {}
        self.retry_by_service: dict[str, int] = {}
        self.newest_placed_by_service: dict[str, int] = {}
        self.quota_holder_by_workspace: dict[str, QuotaHolder] = {}
        self.checked_ms = 0
        self.improved_job = ""

    def note_placed(self, service: str, accepted_ms: int) -> None:
        """Records that a run was placed of a job that was accepted at a time."""
        newest = self.newest_placed_by_service
        if accepted_ms > newest.get(service, 0):
            newest[service] = accepted_ms

    def quota_kept_from(self, job: Job) -> Resources:
        """Returns how much of its workspace's quota a job leaves to one that has waited longer.

        Jobs of priority 0 leave none: their guarantee is within the quota.
        """
        holder = self.quota_holder_by_workspace.get(job.record.workspace)
        if holder is None or holder.job_id == job.job_id or job.queue.priority == 0:
            return NO_RESOURCES
        return holder.amount if job.accepted_ms >= holder.accepted_ms else NO_RESOURCES

    def job_ids(self, service: str) -> frozenset[str]:
        """Returns the jobs with reservations in a service."""
        return frozenset(key for key, item in self.by_job.items() if item.service == service)

    def job_ids_open_to_urgent(self, service: str, now_ms: int) -> frozenset[str]:
        """Returns the jobs whose reserved room urgent jobs may use."""
        return frozenset(
            job_id
            for job_id, item in self.by_job.items()
            if item.service == service
            and now_ms - item.made_ms < SHARED_WITH_URGENT_MS
            and now_ms >= item.closed_until_ms
        )

    def job_ids_open_to_overdue(self, service: str, run_ms: int, now_ms: int) -> frozenset[str]:
        """Returns the jobs that tasks of this run time on their reserved room don't delay."""
        return frozenset(
            job_id
            for job_id in self.job_ids_open_to_guests(service, now_ms)
            if self.by_job[job_id].fit_ms >= now_ms + run_ms
        )

    def job_ids_open_to_guests(self, service: str, now_ms: int) -> frozenset[str]:
        """Returns the jobs whose reserved room overdue jobs may use."""
        return frozenset(
            job_id
            for job_id, item in self.by_job.items()
            if item.service == service and now_ms >= item.closed_until_ms
        )

    def held_by_executor(
        self, service: str, open_ids: Collection[str] = ()
    ) -> Mapping[str, Resources]:
        """Returns the reserved room on the executors of a service that have some.

        That of the jobs in `open_ids` is left out.
        """
        held: dict[str, Resources] = {}
        for job_id, reservation in self.by_job.items():
            if reservation.service != service or job_id in open_ids:
                continue
            for executor_id, count in reservation.count_by_executor.items():
                amount = reservation.shape.times(count)
                held[executor_id] = held.get(executor_id, NO_RESOURCES).plus(amount)
        return held
