"""The state of a gang between its placement and the moment all its tasks are known to be gone.

A gang goes `placing` → `reserving` → `starting` → `running`.  From any of these it may go `down`:
every task that a worker may hold is stopped, and once all are known to be gone the job's row is
written as queued again or ended.  `recovering` is the first phase of a gang that a new owner finds
in the rows.  `leaving` is a running gang that was asked to keep a checkpoint first.

A task is `planned` until a `reserve` for it is in a batch that was sent; from then on a worker may
hold it, until a report, or a lapsed lease, shows it `finished` or `gone`.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from jacinthreel_common import JobRecord
from jacinthreel_jobs._tables import JobEntry, TaskKey


class GangPhase(StrEnum):
    """How far a gang has come."""

    PLACING = "placing"
    RESERVING = "reserving"
    STARTING = "starting"
    RUNNING = "running"
    LEAVING = "leaving"
    RECOVERING = "recovering"
    DOWN = "down"


class TaskPhase(StrEnum):
    """What is known of a task on its worker."""

    PLANNED = "planned"
    RESERVING = "reserving"
    RESERVED = "reserved"
    STARTING = "starting"
    RUNNING = "running"
    UNKNOWN = "unknown"
    FINISHED = "finished"
    GONE = "gone"


class DownCause(StrEnum):
    """Why a gang was taken down."""

    TASK_FAILED = "task_failed"
    REFUSED = "refused"
    DOUBTFUL = "doubtful"
    TASK_LOST = "task_lost"
    WORKER_LOST = "worker_lost"
    WORKER_LEAVING = "worker_leaving"
    START_EXPIRED = "start_expired"
    PREEMPTED = "preempted"
    ZONE_OUT = "zone_out"
    CANCELLED = "cancelled"
    RECOVERY = "recovery"


SETTLED_TASK_PHASES = frozenset({TaskPhase.FINISHED, TaskPhase.GONE})


@dataclass(slots=True)
class GangTask:
    """One task of a gang; `run_s` and `kept_s` are seconds of work done and kept."""

    index: int
    worker_id: str
    phase: TaskPhase
    run_s: float = 0.0
    kept_s: float = 0.0
    used_memory_gb: float = 0.0
    throttled: bool = False


@dataclass(slots=True)
class Gang:
    """One placement of a job.

    `previous` is the stored record before the placement, to fall back to while the placement is
    not written.  `start_deadline_ms` bounds the sending of starts.
    """

    job: JobEntry
    attempt: int
    phase: GangPhase
    tasks: list[GangTask]
    previous: JobRecord
    start_deadline_ms: int = 0
    cause: DownCause | None = None
    detail: str = ""

    @property
    def job_id(self) -> str:
        """The job's id."""
        return self.job.record.spec.job_id

    def key(self, task: GangTask) -> TaskKey:
        """The key of a task in its worker's tables."""
        return (self.job_id, self.attempt, task.index)

    def all_in(self, phases: frozenset[TaskPhase]) -> bool:
        """Whether every task is in one of `phases`."""
        return all(task.phase in phases for task in self.tasks)
