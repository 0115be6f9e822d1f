"""State shared by all parts of the scheduler: the tables, the orders to send and the log."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Final

from jacinthreel_steps._executors._executor_losses import ExecutorLosses
from jacinthreel_steps._executors._run_time_model import RunTimeModel
from jacinthreel_steps._executors._speed_model import SpeedModel
from jacinthreel_steps._model import RunId
from jacinthreel_steps._planning._headroom import Headroom
from jacinthreel_steps._planning._passed_jobs import PassedJobs
from jacinthreel_steps._planning._reservation_table import ReservationTable
from jacinthreel_steps._planning._waiting_jobs import WaitingJobs
from jacinthreel_steps._tables import Run, Tables
from jacinthreel_steps._workspaces._arrivals import ArrivalRates
from jacinthreel_steps._workspaces._held_jobs import HeldJobs
from jacinthreel_steps._workspaces._usage import WorkspaceUsage

DEFAULT_STOP_LIMIT_MS: Final = 200

DecisionLog = Callable[[str, dict[str, Any]], None]
"""Writes one structured log line: the name of the event and its fields."""


@dataclass(frozen=True, slots=True)
class StopOrder:
    """Orders an executor to end a run, and not to start it if it has not started yet."""

    executor_id: str
    incarnation: int
    run_id: RunId


@dataclass(slots=True)
class Orders:
    """Pending orders; the driver removes and sends them."""

    starts: list[Run] = field(default_factory=list)
    stops: list[StopOrder] = field(default_factory=list)


@dataclass(slots=True)
class Context:
    """The tables, pending orders and log, and models and counters that events update.

    `stop_limit_ms` is the longest time that a responsive executor takes to stop a run.
    """

    tables: Tables
    orders: Orders
    log: DecisionLog
    stop_limit_ms: int = DEFAULT_STOP_LIMIT_MS
    headroom: Headroom = field(default_factory=Headroom)
    speeds: SpeedModel = field(default_factory=SpeedModel)
    usage: WorkspaceUsage = field(default_factory=WorkspaceUsage)
    held_jobs: HeldJobs = field(default_factory=HeldJobs)
    waiting_jobs: WaitingJobs = field(default_factory=WaitingJobs)
    passed_jobs: PassedJobs = field(default_factory=PassedJobs)
    reservations: ReservationTable = field(default_factory=ReservationTable)
    arrivals: ArrivalRates = field(default_factory=ArrivalRates)
    run_times: RunTimeModel = field(default_factory=RunTimeModel)
    executor_losses: ExecutorLosses = field(default_factory=ExecutorLosses)


def run_name(run_id: RunId) -> str:
    """Returns the name of a run in log lines: job, step, task and run number."""
    task = run_id.task
    return f"{task.job_id}.{task.step_index}.{task.task_index}#{run_id.number}"
