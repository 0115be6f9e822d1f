"""Entity tables of a shard: workers, jobs and the configuration that they are judged by.

Systems read these tables each tick; only the shard core changes them.  A worker's `held` maps
each task that may occupy it to the resources taken, from the moment the placement is decided
until the task is known to be gone, so that nothing is ever handed out twice.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum

from jacinthreel_common import Config, JobRecord, JobState

TaskKey = tuple[str, int, int]
"""Job id, attempt and task index."""


class WorkerHealth(StrEnum):
    """What the shard's owner thinks of a worker.

    A `suspect` worker has not answered lately; a `lost` one for longer than its task leases, so
    that its tasks have lapsed; a `quarantined` one fails tasks that other workers run; one on
    `probation` takes a single task to prove itself.  `draining` workers are leaving.
    """

    HEALTHY = "healthy"
    SUSPECT = "suspect"
    LOST = "lost"
    QUARANTINED = "quarantined"
    PROBATION = "probation"
    DRAINING = "draining"


@dataclass(slots=True)
class HeldResources:
    """What one task takes of its worker."""

    accelerators: int
    cores: int
    memory_gb: int


@dataclass(slots=True)
class WorkerEntry:
    """A worker and what is known of it; times are monotonic milliseconds."""

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
        """Takes resources for a task; a task that holds them already is left as it is."""
        if key in self.held:
            return
        self.held[key] = resources
        self.free_accelerators -= resources.accelerators
        self.free_cores -= resources.cores
        self.free_memory_gb -= resources.memory_gb

    def free(self, key: TaskKey) -> None:
        """Gives back what a task held, if anything."""
        resources = self.held.pop(key, None)
        if resources is None:
            return
        self.free_accelerators += resources.accelerators
        self.free_cores += resources.cores
        self.free_memory_gb += resources.memory_gb


@dataclass(slots=True)
class JobEntry:
    """A job, its stored record and what is only kept in memory.

    `submitted_ms` and `started_ms` are monotonic milliseconds.  `expected_run_s` is the learnt
    estimate of the whole run time.  `preempting_for` is the job that this one makes room for.
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
    """All entities of a shard.  `config` is None until one has been seen."""

    shard: str
    config: Config | None = None
    workers_by_id: dict[str, WorkerEntry] = field(default_factory=dict)
    jobs_by_id: dict[str, JobEntry] = field(default_factory=dict)
    queued_by_id: dict[str, JobEntry] = field(default_factory=dict)
    active_by_id: dict[str, JobEntry] = field(default_factory=dict)
