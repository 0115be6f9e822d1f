"""Job records: the specification that callers submit and the row in the table service."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum
from typing import Annotated

import msgspec

from jacinthreel_common._codes import ResultCode
from jacinthreel_common._config import CellLevel, Name

MAX_GANG_TASKS = 256


class Adjacency(StrEnum):
    """The unit within which all tasks of a gang must be placed; `any` sets no constraint."""

    ANY = "any"
    ZONE = "zone"
    RACK = "rack"
    WORKER = "worker"


class JobState(StrEnum):
    """The lifecycle state of a job."""

    QUEUED = "queued"
    PLACED = "placed"
    RUNNING = "running"
    STOPPING = "stopping"
    FINISHED = "finished"
    FAILED = "failed"
    CANCELLED = "cancelled"


ENDED_STATES = frozenset({JobState.FINISHED, JobState.FAILED, JobState.CANCELLED})


@dataclass(frozen=True, slots=True)
class JobSpec:
    """The specification of a job: a gang of `tasks` identical tasks, which run all or none.

    `declared_run_s` is the caller's estimate in seconds; scheduling decisions do not rely on it.
    `adjacency` is a hard constraint.  A job that is not `checkpointable` restarts from the
    beginning after it has been stopped.
    """

    job_id: Name
    workspace: Name
    tasks: Annotated[int, msgspec.Meta(ge=1, le=MAX_GANG_TASKS)]
    accelerators_per_task: Annotated[int, msgspec.Meta(ge=0, le=64)]
    cores_per_task: Annotated[int, msgspec.Meta(ge=1, le=1024)] = 1
    memory_gb_per_task: Annotated[int, msgspec.Meta(ge=1, le=65_536)] = 1
    adjacency: Adjacency = Adjacency.ANY
    declared_run_s: Annotated[int, msgspec.Meta(ge=1, le=31_536_000)] = 3_600
    urgent: bool = False
    priority: Annotated[int, msgspec.Meta(ge=0, le=9)] = 5
    checkpointable: bool = False
    command: Annotated[str, msgspec.Meta(max_length=4096)] = ""

    @property
    def accelerators(self) -> int:
        """The total number of accelerators of the gang."""
        return self.tasks * self.accelerators_per_task


@dataclass(frozen=True, slots=True)
class TaskPlacement:
    """The worker on which a task of a gang is placed.

    `cell` is the level of the guaranteed cell that the task occupies, or None if it borrows.
    """

    task_index: int
    worker_id: str
    cell: CellLevel | None = None


@dataclass(frozen=True, slots=True)
class JobRecord:
    """The row of a job in the table service.

    `attempt` counts the placements; workers identify the tasks of a placement by this number.
    `borrowed` is true while the placement uses cells beyond the workspace's guarantee.  `run_s` is
    the work stored by checkpoints, in seconds of run time.  `failed_workers` are the workers on
    which the job failed.  `early_losses` counts the attempts in a row that lost a worker soon after
    their start.
    """

    spec: JobSpec
    state: JobState
    submitted_unix_ms: int
    attempt: int = 0
    placement: list[TaskPlacement] = field(default_factory=list)
    borrowed: bool = False
    started_unix_ms: int = 0
    ended_unix_ms: int = 0
    run_s: float = 0.0
    failed_workers: list[str] = field(default_factory=list)
    cancel_requested: bool = False
    result: ResultCode = ResultCode.OK
    detail: str = ""
    early_losses: int = 0
