"""Interfaces of a node to the outside: the store, executors and the platform's rows.

All calls are coroutines on the one event loop.  Failures of the outside world come back as values;
nothing here raises for them.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from returns.result import Result

from jacinthreel_common import Fault
from jacinthreel_node._routing import RoutingPolicy
from jacinthreel_steps import (
    ExecutorListing,
    ReportedEnd,
    ReportedRun,
    RunId,
    StartOutcome,
)


@dataclass(frozen=True, slots=True)
class Row:
    """A row of the store; `value` is None for a row that was deleted."""

    table: str
    key: str
    value: bytes | None
    version: int


@dataclass(frozen=True, slots=True)
class RowCondition:
    """Requires a row to have `version`; 0 requires it to be absent."""

    table: str
    key: str
    version: int


@dataclass(frozen=True, slots=True)
class RowWrite:
    """Sets a row, or deletes it where `value` is None."""

    table: str
    key: str
    value: bytes | None


@dataclass(frozen=True, slots=True)
class Committed:
    """A transaction took effect; all its rows have `version`."""

    version: int


@dataclass(frozen=True, slots=True)
class Conflict:
    """A transaction did nothing; `rows` are those of its conditions as they are."""

    rows: tuple[Row, ...]


@dataclass(frozen=True, slots=True)
class Snapshot:
    """The rows of a table at `version`."""

    rows: tuple[Row, ...]
    version: int


class KeyedStore(Protocol):
    """The platform's transactional rows."""

    async def commit(
        self, conditions: list[RowCondition], writes: list[RowWrite], timeout_ms: int
    ) -> Result[Committed | Conflict, Fault]:
        """Sends a transaction once.

        Errors: STORE_UNAVAILABLE (certainly not applied), STORE_OUTCOME_UNKNOWN (may have been
        applied or may be later).
        """

    async def read(
        self, table: str, timeout_ms: int, key: str | None = None
    ) -> Result[Snapshot, Fault]:
        """Reads a table, or one row of it.  Errors: STORE_UNAVAILABLE."""

    async def changes(self, table: str, after: int, wait_ms: int) -> Result[Snapshot, Fault]:
        """Waits for rows changed after a version.

        Errors: STORE_UNAVAILABLE, STORE_HISTORY_LOST (read the table anew).
        """


@dataclass(frozen=True, slots=True)
class ExecutorTarget:
    """Which executor an order is for, and where it is reached."""

    executor_id: str
    address: str


@dataclass(frozen=True, slots=True)
class ReportQuestion:
    """Asks for a report, renews the leases until `lease_until_ms` of the executor's clock.

    `acknowledged_upto` is the highest end that the executor may forget.  The executor answers
    after `wait_ms` or with the next end.
    """

    epoch: int
    acknowledged_upto: int
    lease_until_ms: int | None
    wait_ms: int


@dataclass(frozen=True, slots=True)
class ReportAnswer:
    """What an executor holds; `clock_ms` is its own clock."""

    clock_ms: int
    incarnation: int
    running: tuple[ReportedRun, ...]
    ended: tuple[ReportedEnd, ...]


@dataclass(frozen=True, slots=True)
class StartCommand:
    """Starts a run that holds its lease until `lease_until_ms` of the executor's clock."""

    run_id: RunId
    payload: str
    lease_until_ms: int
    epoch: int
    checkpoint: str


@dataclass(frozen=True, slots=True)
class StartAnswer:
    """What came of a start; `is_fenced` where the executor knows a newer owner."""

    outcome: StartOutcome
    is_fenced: bool = False
    detail: str = ""


class ExecutorGateway(Protocol):
    """Orders to executors."""

    async def report(
        self, target: ExecutorTarget, question: ReportQuestion
    ) -> Result[ReportAnswer, Fault]:
        """Errors: WORKER_UNREACHABLE, STALE_EPOCH (it knows a newer owner), WORKER_RESTARTED."""

    async def start(self, target: ExecutorTarget, command: StartCommand) -> StartAnswer:
        """Orders a start once."""

    async def stop(self, target: ExecutorTarget, run_id: RunId, epoch: int) -> Result[None, Fault]:
        """Orders a stop once.  Errors: WORKER_UNREACHABLE, STALE_EPOCH, WORKER_RESTARTED."""

    def forget(self, executor_id: str) -> None:
        """Closes the connections to an executor."""


@dataclass(frozen=True, slots=True)
class PolicyPut:
    """The operator has put a configuration."""

    policy: RoutingPolicy


@dataclass(frozen=True, slots=True)
class ZoneChanged:
    """The operator takes a zone out of service or back."""

    zone: str
    is_out: bool


@dataclass(frozen=True, slots=True)
class Unusable:
    """A row that says nothing to this process; `reason` is empty where that is expected."""

    reason: str


OperatorEvent = PolicyPut | ZoneChanged | Unusable


class PlatformRows(Protocol):
    """Reads the rows that the operator and the executors write."""

    operator_table: str
    executor_table: str

    def operator_event(self, row: Row) -> OperatorEvent:
        """What a row of the operator says."""

    def executor_listing(self, row: Row) -> ExecutorListing | None:
        """What a row of an executor says, or None where it names no executor to use."""
