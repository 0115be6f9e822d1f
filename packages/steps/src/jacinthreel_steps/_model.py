"""Types that the scheduling of stepped jobs takes in: jobs, queues, executors and policy.

A job has steps; a step has tasks of one shape.  A step may start once all steps that it names in
`after` are done.  The tasks of a gang run all at once or not at all.  All types here are values:
they are decoded once at the edge of the process and never changed.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import IntEnum


@dataclass(frozen=True, slots=True)
class Resources:
    """An amount of processor (thousandths of a core), memory (MB) and accelerators."""

    cpu_milli: int
    memory_mb: int
    accelerators: int

    def minus(self, other: Resources) -> Resources:
        """What is left after `other` is taken; may be negative."""
        return Resources(
            self.cpu_milli - other.cpu_milli,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )

    def plus(self, other: Resources) -> Resources:
        """The sum of both."""
        return Resources(
            self.cpu_milli + other.cpu_milli,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def times_within(self, room: Resources) -> int:
        """How often this amount fits into `room`.

        >>> Resources(2_000, 100, 1).times_within(Resources(7_000, 1_000, 8))
        3
        """
        fits = UNBOUNDED_FIT
        if self.cpu_milli:
            fits = min(fits, room.cpu_milli // self.cpu_milli)
        if self.memory_mb:
            fits = min(fits, room.memory_mb // self.memory_mb)
        if self.accelerators:
            fits = min(fits, room.accelerators // self.accelerators)
        return max(0, fits)


UNBOUNDED_FIT = 1_000_000
NOTHING = Resources(0, 0, 0)


@dataclass(frozen=True, slots=True)
class StepSpec:
    """A step of a job.

    `estimate_ms` is the submitter's rough guess of a task's run time.  `rack_near_data` names the
    rack on which tasks run at full speed; `max_per_executor` of 0 means no limit.
    """

    count: int
    shape: Resources
    estimate_ms: int = 0
    after: tuple[int, ...] = ()
    is_gang: bool = False
    wants_one_rack: bool = False
    saves_progress: bool = False
    required_label: str = ""
    rack_near_data: str = ""
    max_per_executor: int = 0


@dataclass(frozen=True, slots=True)
class JobSpec:
    """What a caller submits; `payload` is handed to each task unread."""

    payload: str
    steps: tuple[StepSpec, ...]


@dataclass(frozen=True, slots=True)
class QueueTerms:
    """How the jobs of a queue are treated.

    Priority 0 comes first.  A job's latency objective is `stretch` times its longest chain of work
    and `target_latency_ms` more.  A task that has failed `max_attempts` times fails its job.
    """

    name: str
    service: str
    priority: int
    max_attempts: int
    stretch: float
    target_latency_ms: int


@dataclass(frozen=True, slots=True)
class JobRecord:
    """An accepted job as it is stored; `accepted_unix_ms` is wall clock time."""

    job_id: str
    queue: QueueTerms
    workspace: str
    spec: JobSpec
    accepted_unix_ms: int


class JobState(IntEnum):
    """The state of a job as its callers see it."""

    QUEUED = 1
    RUNNING = 2
    COMPLETED = 3
    FAILED = 4
    CANCELLED = 5

    @property
    def is_final(self) -> bool:
        """Whether the state never changes again."""
        return self >= JobState.COMPLETED


@dataclass(frozen=True, slots=True)
class ExecutorListing:
    """What an executor says of itself in the registry.

    `incarnation` is different for each life of the executor and grows.  A draining executor takes
    no new work and leaves after `remaining_ms` or later.
    """

    executor_id: str
    incarnation: int
    address: str
    service: str
    zone: str
    rack: str
    labels: frozenset[str]
    capacity: Resources
    is_draining: bool = False
    remaining_ms: int | None = None


@dataclass(frozen=True, slots=True)
class Policy:
    """The part of the configuration in force that decides about jobs.

    `guaranteed_accelerators_by_workspace` belongs to the workspace's jobs of priority 0 at all
    times.  `queues_by_name` has the queues that exist now.
    """

    version: int
    queues_by_name: dict[str, QueueTerms] = field(default_factory=dict)
    guaranteed_accelerators_by_workspace: dict[str, int] = field(default_factory=dict)
    zones_out_of_service: frozenset[str] = frozenset()


class EndReason(IntEnum):
    """Why a run ended.

    `FAILED` may be the task's own fault or the executor's.  `BROKEN` means that another task of
    the gang ended, `ALONE` that the others did not come in time, `LAPSED` that the lease ran out.
    """

    DONE = 1
    FAILED = 2
    STOPPED = 3
    LAPSED = 4
    BROKEN = 5
    ALONE = 6


@dataclass(frozen=True, slots=True)
class TaskId:
    """Names a task of a job."""

    job_id: str
    step_index: int
    task_index: int


@dataclass(frozen=True, slots=True)
class RunId:
    """Names a run of a task; the number grows with each run."""

    task: TaskId
    number: int


@dataclass(frozen=True, slots=True)
class ReportedRun:
    """A run that an executor holds; `percent` is its progress, `checkpoint` what it has saved."""

    run_id: RunId
    checkpoint: str
    percent: int


@dataclass(frozen=True, slots=True)
class ReportedEnd:
    """The end of a run; `sequence` counts the ends of one incarnation of the executor."""

    sequence: int
    run_id: RunId
    reason: EndReason
    checkpoint: str


@dataclass(frozen=True, slots=True)
class ExecutorReport:
    """All that an executor holds and the ends that have not been acknowledged.

    `sent_ms` is when the question was sent: an order that was answered before then is reflected.
    """

    incarnation: int
    sent_ms: int
    running: tuple[ReportedRun, ...]
    ended: tuple[ReportedEnd, ...]


class StartOutcome(IntEnum):
    """What came of an order to start a run.

    `REFUSED_*` means that this order did nothing.  `UNKNOWN` means that the run may have started or
    may start later.
    """

    STARTED = 1
    REFUSED_NO_ROOM = 2
    REFUSED_UNHEALTHY = 3
    REFUSED_OTHER = 4
    REFUSED_INCARNATION = 5
    UNKNOWN = 6
