"""Entity tables of a shard: workers, jobs and the applied configuration.

Planners read these tables; only the shard core changes them.  A worker's `held` maps each task
that may occupy it to the task's resources, from the time the placement is decided until the task
is known not to run any more, so that resources are never allocated twice.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum

from jacinthreel_common import Config, JobRecord, JobState

TaskKey = tuple[str, int, int]
"""Job id, attempt and task index."""


class WorkerHealth(StrEnum):
    """The health of a worker as determined by the shard's owner.

    suspect: has not replied for `SUSPECT_AFTER_MS`, or not yet to this owner; gets no new tasks.
    lost: has not replied for longer than its task leases last, so that its tasks have ended.
    quarantined: tasks of several jobs failed there; gets no new tasks.
    probation: its quarantine is over; gets one task at a time until one succeeds.
    draining: is leaving according to the host list; gets no new tasks.
    """

    HEALTHY = "healthy"
    SUSPECT = "suspect"
    LOST = "lost"
    QUARANTINED = "quarantined"
    PROBATION = "probation"
    DRAINING = "draining"


@dataclass(slots=True)
class HeldResources:
    """The resources that one task holds on its worker."""

    accelerators: int
    cores: int
    memory_gb: int


@dataclass(slots=True)
class WorkerEntry:
    """A worker, its health and the resources that tasks hold on it.

    `seen_version` is the version of the worker's last applied report.  `confirmed_epoch` is the
    owner's epoch when the worker last replied.  Times are monotonic milliseconds.
    """

    worker_id: str
    zone: str
    rack: str
    address: str
    port: int
    accelerators: int
    cores: int
    memory_gb: int
    health: WorkerHealth = WorkerHealth.HEALTHY
    held: dict[TaskKey, HeldResources] = field(default_factory=dict)
    free_accelerators: int = 0
    free_cores: int = 0
    free_memory_gb: int = 0
    seen_version: int = 0
    confirmed_epoch: int = 0
    last_reply_ms: int = 0
    last_renewal_sent_ms: int = 0

    def hold(self, key: TaskKey, resources: HeldResources) -> None:
        """Allocates resources to a task; does nothing if the task already holds some."""
        if key in self.held:
            return
        self.held[key] = resources
        self.free_accelerators -= resources.accelerators
        self.free_cores -= resources.cores
        self.free_memory_gb -= resources.memory_gb

    def free(self, key: TaskKey) -> None:
        """Frees the resources that a task holds, if any."""
        resources = self.held.pop(key, None)
        if resources is None:
            return
        self.free_accelerators += resources.accelerators
        self.free_cores += resources.cores
        self.free_memory_gb += resources.memory_gb


@dataclass(slots=True)
class JobEntry:
    """A job, its stored record and the state that is only kept in memory.

    `submitted_ms`, `started_ms` and `not_before_ms`, the earliest time of the next placement, are
    monotonic milliseconds.  `expected_run_s` is the estimate of the total run time.
    `reported_run_s` and `reported_checkpoint_s` are seconds of work done and checkpointed, as
    reported by workers.  `preempting_for` is the id of the job that this one is preempted for.
    """

    record: JobRecord
    row_version: int
    submitted_ms: int
    started_ms: int = 0
    expected_run_s: float = 0.0
    reported_run_s: float = 0.0
    reported_checkpoint_s: float = 0.0
    preempting_for: str = ""
    not_before_ms: int = 0

    @property
    def job_id(self) -> str:
        """The job's id."""
        return self.record.spec.job_id

    @property
    def state(self) -> JobState:
        """The job's state."""
        return self.record.state


@dataclass(slots=True)
class Tables:
    """All entities of a shard.  `config` is None until a configuration has been applied."""

    shard: str
    config: Config | None = None
    workers_by_id: dict[str, WorkerEntry] = field(default_factory=dict)
    jobs_by_id: dict[str, JobEntry] = field(default_factory=dict)
    queued_by_id: dict[str, JobEntry] = field(default_factory=dict)
    active_by_id: dict[str, JobEntry] = field(default_factory=dict)
