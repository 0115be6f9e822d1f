"""Judges the waits of a rehearsal by what callers and executors see.

A job is held while a task of it whose turn has come has no run, a resource is less than half in
use, and there is room twice over.  The terms can be read in several ways; each wait that reaches
`HELD_MS` is kept for each reading.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from enum import Enum, IntEnum
from typing import Final

from waiting_jobs_check import CALM_MS, HELD_MS, ROOM_FACTOR, ExecutorRoom

ACCELERATORS: Final = "gpu"


class RoomFor(Enum):
    """What there is room for twice over: all tasks that start together, or one task."""

    JOB = "job"
    TASK = "task"


class UseOf(Enum):
    """What is less than half in use: each resource, or the accelerators."""

    EACH_RESOURCE = "each resource"
    ACCELERATORS = "accelerators"


class Subject(Enum):
    """What waits: a job without any run, or a task, whatever runs beside it."""

    JOB = "job"
    TASK = "task"


class Calm(IntEnum):
    """The best time that a wait had: with faults, only with delayed processes, or with neither."""

    FAULTS = 0
    DELAYS = 1
    CALM = 2


@dataclass(frozen=True, slots=True)
class Reading:
    """One way to read the terms."""

    room_for: RoomFor
    use_of: UseOf
    subject: Subject

    def __str__(self) -> str:
        return (
            f"{self.subject.value} waits, room for {self.room_for.value}, use of "
            f"{self.use_of.value}"
        )


READINGS: Final = tuple(
    Reading(room_for, use_of, subject)
    for subject in Subject
    for room_for in RoomFor
    for use_of in UseOf
)


@dataclass(frozen=True, slots=True)
class PendingStep:
    """A step whose turn has come.

    `shape` are the amounts for a task, `gang_tasks` how many tasks start together, and
    `waiting_tasks` the names of the tasks that neither run nor are done.
    """

    job_id: str
    shape: Mapping[str, int]
    gang_tasks: int
    waiting_tasks: tuple[str, ...]
    has_run: bool


@dataclass(slots=True)
class HeldWait:
    """A subject that was held from `since_ms` to `until_ms`, the last observation of it."""

    name: str
    since_ms: int
    until_ms: int
    calm: Calm = Calm.FAULTS

    @property
    def duration_ms(self) -> int:
        """How long it was held."""
        return self.until_ms - self.since_ms


@dataclass(frozen=True, slots=True)
class FirstRun:
    """An accepted job's wait from acceptance to its first run, or to the end if it had none.

    `passed_by` counts later accepted jobs of its queue that began before it.
    """

    job_id: str
    queue: str
    tasks: int
    accelerators: int
    accepted_ms: int
    wait_ms: int
    has_begun: bool
    passed_by: int

    def __str__(self) -> str:
        end = "" if self.has_begun else ", not begun"
        return (
            f"{self.wait_ms / 1000:.1f} s{end}: {self.queue} {self.tasks} x {self.accelerators}, "
            f"passed by {self.passed_by}"
        )


@dataclass(slots=True)
class RehearsalJudge:
    """Takes observations at increasing times; `long_waits` are those that reached `HELD_MS`."""

    long_waits: dict[Reading, list[HeldWait]] = field(
        default_factory=lambda: {reading: [] for reading in READINGS}
    )
    _waits: dict[Reading, dict[str, HeldWait]] = field(
        default_factory=lambda: {reading: {} for reading in READINGS}
    )
    _fault_ms: int | None = None
    _delay_ms: int | None = None

    def note_fault(self, now_ms: int) -> None:
        """Records that an injected fault lasts."""
        self._fault_ms = now_ms

    def note_delay(self, now_ms: int) -> None:
        """Records that a process ran late."""
        self._delay_ms = now_ms

    def observe(
        self, now_ms: int, steps: Sequence[PendingStep], executors: Sequence[ExecutorRoom]
    ) -> None:
        """Takes the steps whose turn has come, of accepted jobs, and the executors."""
        shares = used_shares(executors)
        fitting = _FittingTasks(executors)
        for reading in READINGS:
            held: dict[str, HeldWait] = {}
            if _is_mostly_unused(reading.use_of, shares):
                for step in steps:
                    if _has_room(reading.room_for, step, fitting):
                        self._continue_waits(reading, step, now_ms, held)
            self._waits[reading] = held

    def _continue_waits(
        self, reading: Reading, step: PendingStep, now_ms: int, held: dict[str, HeldWait]
    ) -> None:
        for name in _subjects(reading.subject, step):
            wait = self._waits[reading].get(name) or HeldWait(name, now_ms, now_ms)
            wait.until_ms = now_ms
            held[name] = wait
            if wait.duration_ms < HELD_MS:
                continue
            if wait not in self.long_waits[reading]:
                self.long_waits[reading].append(wait)
            wait.calm = max(wait.calm, self._calm(now_ms))

    def _calm(self, now_ms: int) -> Calm:
        if _is_recent(self._fault_ms, now_ms):
            return Calm.FAULTS
        return Calm.DELAYS if _is_recent(self._delay_ms, now_ms) else Calm.CALM


def used_shares(executors: Sequence[ExecutorRoom]) -> dict[str, float]:
    """Returns the share of each resource that runs use."""
    names: Iterable[str] = {name for executor in executors for name in executor.capacity}
    shares: dict[str, float] = {}
    for name in names:
        capacity = sum(executor.capacity.get(name, 0) for executor in executors)
        shares[name] = sum(executor.used(name) for executor in executors) / max(1, capacity)
    return shares


class _FittingTasks:
    """How many tasks of a shape fit on all executors, computed once for each shape."""

    def __init__(self, executors: Sequence[ExecutorRoom]) -> None:
        self._free = [
            {name: amount - executor.used(name) for name, amount in executor.capacity.items()}
            for executor in executors
        ]
        self._count_by_shape: dict[tuple[tuple[str, int], ...], int] = {}

    def count(self, shape: Mapping[str, int]) -> int:
        key = tuple(sorted(shape.items()))
        if key not in self._count_by_shape:
            self._count_by_shape[key] = sum(
                max(0, min(free.get(name, 0) // amount for name, amount in key if amount))
                for free in self._free
            )
        return self._count_by_shape[key]


def _is_recent(time_ms: int | None, now_ms: int) -> bool:
    return time_ms is not None and now_ms - time_ms < HELD_MS + CALM_MS


def _is_mostly_unused(use_of: UseOf, shares: Mapping[str, float]) -> bool:
    match use_of:
        case UseOf.EACH_RESOURCE:
            return all(share < 0.5 for share in shares.values())
        case UseOf.ACCELERATORS:
            return shares.get(ACCELERATORS, 0.0) < 0.5


def _has_room(room_for: RoomFor, step: PendingStep, fitting: _FittingTasks) -> bool:
    match room_for:
        case RoomFor.JOB:
            return fitting.count(step.shape) >= ROOM_FACTOR * step.gang_tasks
        case RoomFor.TASK:
            return fitting.count(step.shape) >= ROOM_FACTOR


def _subjects(subject: Subject, step: PendingStep) -> tuple[str, ...]:
    match subject:
        case Subject.JOB:
            return () if step.has_run else (step.job_id,)
        case Subject.TASK:
            return step.waiting_tasks
