"""Input types of the scheduler: jobs, queues, executors and policy.

A job has steps; all tasks of a step need the same resources (its shape).  A step may start once all
steps listed in its `after` are done.  The tasks of a gang run all at once or not at all.  All types
here are immutable values that are decoded once, where the process receives them.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import IntEnum, StrEnum


@dataclass(frozen=True, slots=True)
class Resources:
    """An amount of CPU (thousandths of a core), memory (MB) and accelerators."""

    cpu_milli: int
    memory_mb: int
    accelerators: int

    def minus(self, other: Resources) -> Resources:
        """Returns this amount less `other`; fields may be negative."""
        return Resources(
            self.cpu_milli - other.cpu_milli,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )

    def plus(self, other: Resources) -> Resources:
        """Returns the sum of both amounts."""
        return Resources(
            self.cpu_milli + other.cpu_milli,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def overlap(self, other: Resources) -> Resources:
        """Returns the smaller of both in each field, at least 0.

        >>> Resources(5, -1, 3).overlap(Resources(4, 2, 8))
        Resources(cpu_milli=4, memory_mb=0, accelerators=3)
        """
        return Resources(
            max(0, min(self.cpu_milli, other.cpu_milli)),
            max(0, min(self.memory_mb, other.memory_mb)),
            max(0, min(self.accelerators, other.accelerators)),
        )

    def times(self, count: int) -> Resources:
        """Returns the sum of `count` such amounts."""
        return Resources(self.cpu_milli * count, self.memory_mb * count, self.accelerators * count)

    def count_fitting_into(self, free: Resources) -> int:
        """Returns how many times this amount fits into `free`, at least 0.

        An amount of zero fits `UNBOUNDED_FIT` times.

        >>> Resources(2_000, 100, 1).count_fitting_into(Resources(7_000, 1_000, 8))
        3
        """
        count = UNBOUNDED_FIT
        if self.cpu_milli:
            count = min(count, free.cpu_milli // self.cpu_milli)
        if self.memory_mb:
            count = min(count, free.memory_mb // self.memory_mb)
        if self.accelerators:
            count = min(count, free.accelerators // self.accelerators)
        return max(0, count)


def sum_resources(amounts: Iterable[Resources]) -> Resources:
    """Returns the sum of amounts; faster than `plus` for those of thousands of runs.

    >>> sum_resources([Resources(1, 2, 0), Resources(10, 20, 1)])
    Resources(cpu_milli=11, memory_mb=22, accelerators=1)
    """
    cpu_milli = memory_mb = accelerators = 0
    for amount in amounts:
        cpu_milli += amount.cpu_milli
        memory_mb += amount.memory_mb
        accelerators += amount.accelerators
    return Resources(cpu_milli, memory_mb, accelerators)


CORES_PER_ACCELERATOR = 8  # Cores that cost as much as one accelerator.
UNBOUNDED_FIT = 1_000_000
NO_RESOURCES = Resources(0, 0, 0)


def weighted_cores(amount: Resources) -> float:
    """Returns the cores of an amount, an accelerator counted as `CORES_PER_ACCELERATOR`."""
    return amount.cpu_milli / 1000 + amount.accelerators * CORES_PER_ACCELERATOR


@dataclass(frozen=True, slots=True)
class StepSpec:
    """A step of a job.

    `shape` is what each of the `count` tasks needs.  `estimate_ms` is the submitter's rough
    estimate of a task's run time.  `rack_near_data` is the rack on which tasks run at full speed,
    "" for any.  `max_per_executor` limits the step's tasks per executor; 0 means no limit.
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
    """A submitted job; `payload` is opaque and passed to each task unchanged."""

    payload: str
    steps: tuple[StepSpec, ...]


@dataclass(frozen=True, slots=True)
class QueueTerms:
    """The scheduling terms of a queue.

    Priority 0 is the highest.  A job's latency objective is `stretch` times its longest chain of
    steps plus `target_latency_ms`.  A task that has failed `max_attempts` times fails its job.
    """

    name: str
    service: str
    priority: int
    max_attempts: int
    stretch: float
    target_latency_ms: int


@dataclass(frozen=True, slots=True)
class JobRecord:
    """An accepted job as it is stored; `accepted_unix_ms` is wall clock time.

    `queue` holds the terms at the acceptance, from the configuration of `policy_version`; it is 0
    in rows of earlier versions.  Scheduling follows `Job.queue`.
    """

    job_id: str
    queue: QueueTerms
    workspace: str
    spec: JobSpec
    accepted_unix_ms: int
    policy_version: int = 0


class JobState(IntEnum):
    """The state of a job as reported to callers."""

    QUEUED = 1
    RUNNING = 2
    COMPLETED = 3
    FAILED = 4
    CANCELLED = 5

    @property
    def is_final(self) -> bool:
        """Whether the job has ended; a final state never changes."""
        return self >= JobState.COMPLETED


@dataclass(frozen=True, slots=True)
class ExecutorListing:
    """An executor's entry in the registry.

    `incarnation` differs after each restart of the executor.  A draining executor takes no new
    work and shuts down no earlier than `remaining_ms` from now.
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
    """The part of the active configuration that affects the scheduling of jobs.

    `guaranteed_accelerators_by_workspace` holds the accelerators that are guaranteed to each
    workspace's jobs of priority 0 at all times.  `queues_by_name` holds the queues that currently
    exist.

    `quota_by_workspace` limits what each workspace may have running at the same time; an amount of
    0 is not limited.  `weight_by_workspace` holds each workspace's share of a full system, relative
    to the others.  Workspaces without an entry have no quota, or no weight.  The executors of
    `unguarded_services` start what they are ordered to, whatever their capacity.
    """

    version: int
    queues_by_name: dict[str, QueueTerms] = field(default_factory=dict)
    guaranteed_accelerators_by_workspace: dict[str, int] = field(default_factory=dict)
    zones_out_of_service: frozenset[str] = frozenset()
    quota_by_workspace: dict[str, Resources] = field(default_factory=dict)
    weight_by_workspace: dict[str, float] = field(default_factory=dict)
    unguarded_services: frozenset[str] = frozenset()


class EndReason(IntEnum):
    """Why a run ended.

    `FAILED` may be caused by the task or by the executor.  `BROKEN` means that another task of the
    gang ended, `ALONE` that the other tasks of the gang did not start in time, `LAPSED` that the
    lease expired.
    """

    DONE = 1
    FAILED = 2
    STOPPED = 3
    LAPSED = 4
    BROKEN = 5
    ALONE = 6


class StopCause(StrEnum):
    """Why a run was ordered to stop."""

    JOB_ENDED = "job ended"
    PREEMPTED = "preempted"
    GANG_ENDED = "gang member ended"
    GANG_MOVED = "gang moved"
    EXECUTOR_LEAVING = "executor leaving"
    EXECUTOR_STALLED = "executor stalled"
    START_FAILED = "start failed"
    CLAIM_EXPIRED = "claim expired"
    WITHDRAWN = "placement withdrawn"
    EARLIER_RUN_DONE = "earlier run done"


@dataclass(frozen=True, slots=True)
class StopReason:
    """Why a run was ordered to stop; `source` names the job, run or executor that led to it."""

    cause: StopCause
    source: str = ""


@dataclass(frozen=True, slots=True)
class TaskId:
    """Identifies a task of a job."""

    job_id: str
    step_index: int
    task_index: int


@dataclass(frozen=True, slots=True)
class RunId:
    """Identifies a run of a task; `number` increases with each run."""

    task: TaskId
    number: int


@dataclass(frozen=True, slots=True)
class ReportedRun:
    """A run in progress on an executor; `checkpoint` is its newest checkpoint, "" for none."""

    run_id: RunId
    checkpoint: str
    percent: int


@dataclass(frozen=True, slots=True)
class ReportedEnd:
    """The end of a run; `sequence` numbers the ends within one incarnation of the executor."""

    sequence: int
    run_id: RunId
    reason: EndReason
    checkpoint: str


@dataclass(frozen=True, slots=True)
class ExecutorReport:
    """All runs in progress on an executor, and the ends that were not acknowledged yet.

    `sent_ms` is when the request for the report was sent: the report reflects every order that was
    answered before then.  `age_ms` is the time since the report arrived at the process that
    requested it.  `may_omit_ends` is set if the executor may have more ends than it listed.
    `unclear_tasks` are those of entries that name no run: it may be in progress.
    """

    incarnation: int
    sent_ms: int
    running: tuple[ReportedRun, ...]
    ended: tuple[ReportedEnd, ...]
    age_ms: int = 0
    may_omit_ends: bool = False
    unclear_tasks: frozenset[TaskId] = frozenset()


class StartOutcome(IntEnum):
    """The outcome of an order to start a run.

    `REFUSED_*` means that this order had no effect.  `UNKNOWN` means that the run may have started
    or may start later.
    """

    STARTED = 1
    REFUSED_NO_ROOM = 2
    REFUSED_UNHEALTHY = 3
    REFUSED_OTHER = 4
    REFUSED_INCARNATION = 5
    UNKNOWN = 6
