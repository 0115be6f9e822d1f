"""The room reserved for jobs that have waited long (`_reservations`)."""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Final

from jacinthreel_steps._model import NO_RESOURCES, Resources

SHARED_WITH_URGENT_MS: Final = 5_000  # From when the room was reserved, like the next one.
SHARED_WITH_OVERDUE_MS: Final = 10_000


@dataclass(slots=True)
class Reservation:
    """The room reserved for a step of a job: how many of its tasks on each executor.

    `shape` is what a task needs.  `made_ms` is when the job first got a reservation for the wait.
    """

    service: str
    workspace: str
    step_index: int
    shape: Resources
    made_ms: int
    count_by_executor: dict[str, int]


class ReservationTable:
    """All reservations, by job, and since when jobs have waited with no run.

    They are kept in memory only: the next owner makes new ones, because the time of acceptance is
    stored and most of the jobs have waited since then.

    `newest_placed_by_service` holds the time of acceptance of the newest job of which a run was
    placed: older jobs that wait have been passed.  `first_made_by_job` holds when a job that still
    waits first got a reservation.  `retry_by_job` holds when to look again for room
    for a job that fits on no executors, `retry_by_service` when to look for any in a service where
    there was not enough beside other reservations.
    """

    def __init__(self) -> None:
        self.by_job: dict[str, Reservation] = {}
        self.since_by_job: dict[str, int] = {}
        self.first_made_by_job: dict[str, int] = {}
        self.retry_by_job: dict[str, int] = {}
        self.retry_by_service: dict[str, int] = {}
        self.newest_placed_by_service: dict[str, int] = {}
        self.checked_ms = 0
        self.improved_job = ""

    def note_placed(self, service: str, accepted_ms: int) -> None:
        """Records that a run was placed of a job that was accepted at a time."""
        newest = self.newest_placed_by_service
        if accepted_ms > newest.get(service, 0):
            newest[service] = accepted_ms

    def held_by_executor(
        self, service: str, except_job: str = "", made_before_ms: float = math.inf
    ) -> Mapping[str, Resources]:
        """Returns the reserved room on the executors of a service that have some.

        That of `except_job`, and what was reserved after a time, is left out.
        """
        held: dict[str, Resources] = {}
        for job_id, reservation in self.by_job.items():
            if reservation.service != service or job_id == except_job:
                continue
            if reservation.made_ms > made_before_ms:
                continue
            for executor_id, count in reservation.count_by_executor.items():
                amount = reservation.shape.times(count)
                held[executor_id] = held.get(executor_id, NO_RESOURCES).plus(amount)
        return held
