"""Finds accepted jobs that could run and don't, from what callers and executors see.

The scheduler logs such jobs from its own tables, and misses those about which its tables are wrong.
A job is held while it has a task whose turn has come, no run of it is at work, less than half of
the capacity is in use, and the executors' own lists leave room for what it needs `ROOM_FACTOR`
times.  It is a violation to hold a job for `HELD_MS` if neither that time nor the `CALM_MS` before
had a disruption.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import Final

HELD_MS: Final = 3_000
CALM_MS: Final = 4_000
ROOM_FACTOR: Final = 2
Amounts = Mapping[str, int]


@dataclass(frozen=True, slots=True)
class WaitingStep:
    """A step whose turn has come: the amounts for a task, and how many tasks start together."""

    shape: Amounts
    tasks: int


@dataclass(frozen=True, slots=True)
class ExecutorRoom:
    """The capacity of an executor that takes tasks, and the amounts for its runs."""

    capacity: Amounts
    runs: Sequence[Amounts]

    def used(self, name: str) -> int:
        """Returns how much of a resource its runs use."""
        return sum(run.get(name, 0) for run in self.runs)

    def count_fitting(self, shape: Amounts) -> int:
        """Returns how many tasks of a shape, which is not empty, fit beside its runs."""
        counts = [
            (self.capacity.get(name, 0) - self.used(name)) // amount
            for name, amount in shape.items()
            if amount
        ]
        return max(0, min(counts))


@dataclass(slots=True)
class Wait:
    """A job that was held from `since_ms` to `until_ms`, the last observation of it."""

    job_id: str
    since_ms: int
    until_ms: int
    is_violation: bool = False

    def __str__(self) -> str:
        held_ms = self.until_ms - self.since_ms
        return f"{self.job_id} could run and had no run for {held_ms} ms since {self.since_ms}"


class WaitingJobsCheck:
    """Takes observations at increasing times.

    `long_waits` are those that reached `HELD_MS`; they are violations only in calm periods.
    """

    def __init__(self) -> None:
        self.long_waits: list[Wait] = []
        self._wait_by_job: dict[str, Wait] = {}
        self._disrupted_ms: int | None = None

    @property
    def violations(self) -> list[str]:
        return [str(wait) for wait in self.long_waits if wait.is_violation]

    def note_disruption(self, now_ms: int) -> None:
        """Records a disruption; one that lasts is to be recorded with each observation."""
        self._disrupted_ms = now_ms

    def observe(
        self,
        now_ms: int,
        steps_by_job: Mapping[str, Sequence[WaitingStep]],
        executors: Sequence[ExecutorRoom],
    ) -> None:
        """Takes the ready steps of the accepted jobs that have no run, and the executors."""
        is_idle = _is_mostly_unused(executors)
        waits: dict[str, Wait] = {}
        for job_id, steps in steps_by_job.items():
            if not is_idle or not any(_has_room(step, executors) for step in steps):
                continue
            wait = waits[job_id] = self._wait_by_job.get(job_id) or Wait(job_id, now_ms, now_ms)
            wait.until_ms = now_ms
            if now_ms - wait.since_ms < HELD_MS:
                continue
            if wait not in self.long_waits:
                self.long_waits.append(wait)
            wait.is_violation |= self._is_calm(now_ms)
        self._wait_by_job = waits

    def _is_calm(self, now_ms: int) -> bool:
        return self._disrupted_ms is None or now_ms - self._disrupted_ms >= HELD_MS + CALM_MS


def _is_mostly_unused(executors: Sequence[ExecutorRoom]) -> bool:
    names: Iterable[str] = {name for executor in executors for name in executor.capacity}
    return all(
        2 * sum(executor.used(name) for executor in executors)
        < sum(executor.capacity.get(name, 0) for executor in executors)
        for name in names
    )


def _has_room(step: WaitingStep, executors: Sequence[ExecutorRoom]) -> bool:
    fitting = sum(executor.count_fitting(step.shape) for executor in executors)
    return fitting >= ROOM_FACTOR * step.tasks
