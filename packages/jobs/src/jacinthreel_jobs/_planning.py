"""The interface between the shard core and a planner.

A planner reads the tables and proposes decisions; it changes nothing.  The core checks each
decision against the tables again, stores it and carries it out.  `PlanTrigger` says why the
planner is asked, so that urgent work need not wait for a whole plan.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from jacinthreel_common import JobSpec, TaskPlacement
from jacinthreel_jobs._tables import Tables


class PlanTrigger(StrEnum):
    """Why a plan is wanted."""

    TICK = "tick"
    URGENT = "urgent"


class PreemptMode(StrEnum):
    """How a running job makes room.

    `checkpoint` allows `checkpoint_grace_ms` before a stop; `stop` acts at once.
    """

    CHECKPOINT = "checkpoint"
    STOP = "stop"


@dataclass(frozen=True, slots=True)
class Place:
    """Run a queued gang on these workers.  `candidates` counts the arrangements looked at."""

    job_id: str
    placement: list[TaskPlacement]
    borrowed: bool
    reason: str
    candidates: int


@dataclass(frozen=True, slots=True)
class Preempt:
    """Take a running gang down, to be queued again, so that `for_job_id` can run."""

    job_id: str
    for_job_id: str
    mode: PreemptMode
    reason: str


@dataclass(frozen=True, slots=True)
class Promote:
    """Count a running gang that borrows as within its workspace's guarantee, where it stands.

    `placement` names the same workers with the cells that the tasks occupy from now on.
    """

    job_id: str
    placement: list[TaskPlacement]
    reason: str


Decision = Place | Preempt | Promote


class Planner(Protocol):
    """Proposes placements and preemptions."""

    def plan(self, tables: Tables, trigger: PlanTrigger, now_ms: int) -> list[Decision]:
        """Decisions in the order in which they are to be carried out.

        Later decisions may assume earlier ones.  A job that was asked to make room keeps its
        workers until they are known to be free, so the job it made room for is placed by a later
        plan.
        """

    def observe_finished(self, spec: JobSpec, run_s: float) -> None:
        """Learns that a gang finished after `run_s` seconds of running."""

    def expect_run_s(self, spec: JobSpec) -> float:
        """The run time that the planner expects of a gang, in seconds."""
