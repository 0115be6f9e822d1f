"""Records that describe jobs: what callers submit and what the table service keeps."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum
from typing import Annotated

import msgspec

from jacinthreel_common._codes import ResultCode
from jacinthreel_common._config import CellLevel, Name

MAX_GANG_TASKS = 256


class Adjacency(StrEnum):
    """How close together the tasks of a gang want to be."""

    ANY = "any"
    ZONE = "zone"
    RACK = "rack"
    WORKER = "worker"


class JobState(StrEnum):
    """Where a job stands."""

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
    """A gang of `tasks` equal tasks that run together or not at all.

    `declared_run_s` is the caller's estimate in seconds; decisions do not rely on it.
    `adjacency` is a hard limit.  A job that is not `checkpointable` starts again from nothing
    when it is stopped.
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
        """The accelerators of the whole gang."""
        return self.tasks * self.accelerators_per_task


@dataclass(frozen=True, slots=True)
class TaskPlacement:
    """Which worker one task of a gang runs on.

    `cell` is the level of the guaranteed cell that the task occupies, None where it borrows.
    """

    task_index: int
    worker_id: str
    cell: CellLevel | None = None


@dataclass(frozen=True, slots=True)
class JobRecord:
    """The row of a job in the table service.

    `attempt` counts placements and names the tasks of one placement on the workers.  `borrowed`
    is true while the placement uses cells beyond the workspace's guarantee.  `run_s` is the work
    kept by checkpoints, in seconds of running.  `failed_workers` are workers on which it failed.
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
