"""The interface between the shard core and a planner.

A planner reads the tables and returns decisions; it does not change the tables.  The core
validates each decision against the tables, stores it and carries it out.  `PlanTrigger` tells the
planner whether to plan only urgent jobs, so that these need not wait for a plan of all jobs.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from jacinthreel_common import JobSpec, TaskPlacement
from jacinthreel_jobs._tables import Tables


class PlanTrigger(StrEnum):
    """Which jobs to plan: all jobs at a tick, or only urgent ones after an event."""

    TICK = "tick"
    URGENT = "urgent"


class PreemptMode(StrEnum):
    """How a running job is preempted.

    checkpoint: it may write a checkpoint for `checkpoint_grace_ms` before it is stopped.
    stop: it is stopped at once.
    """

    CHECKPOINT = "checkpoint"
    STOP = "stop"


@dataclass(frozen=True, slots=True)
class Place:
    """Runs a queued gang on these workers; `candidates` is the number of workers considered."""

    job_id: str
    placement: list[TaskPlacement]
    borrowed: bool
    reason: str
    candidates: int


@dataclass(frozen=True, slots=True)
class Preempt:
    """Stops a running gang and queues it again, so that `for_job_id` can run."""

    job_id: str
    for_job_id: str
    mode: PreemptMode
    reason: str


@dataclass(frozen=True, slots=True)
class Promote:
    """Counts a borrowing gang towards its workspace's guarantee; it keeps running on its workers.

    `placement` has the same workers, and the cells that the tasks occupy from now on.
    """

    job_id: str
    placement: list[TaskPlacement]
    reason: str


Decision = Place | Preempt | Promote


class Planner(Protocol):
    """Decides on placements, preemptions and promotions."""

    def plan(self, tables: Tables, trigger: PlanTrigger, now_ms: int) -> list[Decision]:
        """Returns decisions in the order in which they must be carried out.

        Later decisions may depend on earlier ones.  A preempted job holds its workers until its
        tasks are known to have ended, so the job that needs them is placed by a later plan.
        """

    def observe_finished(self, spec: JobSpec, run_s: float) -> None:
        """Updates the run time estimates with a gang that finished after `run_s` seconds."""

    def expect_run_s(self, spec: JobSpec) -> float:
        """Returns the estimated run time of a gang in seconds."""
