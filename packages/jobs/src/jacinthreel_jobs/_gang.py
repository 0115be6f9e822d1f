"""The state of a gang from its placement until none of its tasks can run any more.

A gang goes through the phases `placing`, `reserving`, `starting` and `running`.  From each of them
it may go `down`: every task that a worker may hold is stopped, and once all tasks are settled the
job's row is written as queued again or ended.  `recovering` is the first phase of a gang that a new
owner loads from the rows.  A gang in phase `leaving` writes a checkpoint before it goes down.

A task is `planned` until a batch with its `reserve` command has been sent.  From then on the worker
may hold it, until a report or an expired lease shows that it is settled: `finished`, or `gone` if
it ended in any other way or never ran.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from jacinthreel_common import JobRecord
from jacinthreel_jobs._tables import JobEntry, TaskKey


class GangPhase(StrEnum):
    """The phase of a gang; see the module's description."""

    PLACING = "placing"
    RESERVING = "reserving"
    STARTING = "starting"
    RUNNING = "running"
    LEAVING = "leaving"
    RECOVERING = "recovering"
    DOWN = "down"


class TaskPhase(StrEnum):
    """The phase of a task; `unknown` until its worker has first reported to a new owner."""

    PLANNED = "planned"
    RESERVING = "reserving"
    RESERVED = "reserved"
    STARTING = "starting"
    RUNNING = "running"
    UNKNOWN = "unknown"
    FINISHED = "finished"
    GONE = "gone"


class DownCause(StrEnum):
    """Why all tasks of a gang were stopped.

    `NO_REPLY`: a batch with a reserve or start command got no reply, so the outcome may be unknown.
    `TASK_LOST`: a task that should run is missing from its worker's report or has ended there.
    `START_EXPIRED`: the gang did not start within the start window, or the lease expired.
    `RECOVERY`: a new owner found that not all tasks were running.
    """

    TASK_FAILED = "task_failed"
    REFUSED = "refused"
    NO_REPLY = "doubtful"
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
    """One task of a gang; `run_s` and `checkpointed_s` are seconds of work done and saved."""

    index: int
    worker_id: str
    phase: TaskPhase
    run_s: float = 0.0
    checkpointed_s: float = 0.0
    used_memory_gb: float = 0.0
    throttled: bool = False


@dataclass(slots=True)
class Gang:
    """One placement of a job.

    `previous` is the stored record before the placement, which is restored if the placement is
    not stored.  No reserve or start command is sent after `start_deadline_ms`.  `has_early_loss` is
    set if the placement was stopped because a worker was lost soon after the start.
    """

    job: JobEntry
    attempt: int
    phase: GangPhase
    tasks: list[GangTask]
    previous: JobRecord
    start_deadline_ms: int = 0
    cause: DownCause | None = None
    detail: str = ""
    has_early_loss: bool = False

    @property
    def job_id(self) -> str:
        """The job's id."""
        return self.job.record.spec.job_id

    def key(self, task: GangTask) -> TaskKey:
        """Returns the key of a task in its worker's entry."""
        return (self.job_id, self.attempt, task.index)

    def all_tasks_in(self, phases: frozenset[TaskPhase]) -> bool:
        """Returns whether every task is in one of `phases`."""
        return all(task.phase in phases for task in self.tasks)
