"""Ports of a node, implemented by platform adapters: the store, executors and platform rows.

All I/O methods are coroutines on a single event loop.  Failures of the remote side are returned as
values, not raised.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from returns.result import Result

from jacinthreel_common import Fault
from jacinthreel_node._routing import RoutingPolicy
from jacinthreel_steps import (
    ExecutorListing,
    ExecutorReport,
    ReportedEnd,
    ReportedRun,
    RunId,
    StartOutcome,
    TaskId,
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
    """Sets a row, or deletes it if `value` is None."""

    table: str
    key: str
    value: bytes | None


@dataclass(frozen=True, slots=True)
class Committed:
    """A transaction took effect; all its rows have `version`."""

    version: int


@dataclass(frozen=True, slots=True)
class Conflict:
    """A transaction was not applied; `rows` holds the current rows of its conditions."""

    rows: tuple[Row, ...]


@dataclass(frozen=True, slots=True)
class Snapshot:
    """The rows of a table at `version`."""

    rows: tuple[Row, ...]
    version: int


class KeyedStore(Protocol):
    """The platform's transactional row store."""

    async def commit(
        self, conditions: list[RowCondition], writes: list[RowWrite], timeout_ms: int
    ) -> Result[Committed | Conflict, Fault]:
        """Sends a transaction without retries.

        Errors: STORE_UNAVAILABLE (certainly not applied), STORE_OUTCOME_UNKNOWN (may have been
        applied or may still be applied later).
        """

    async def read(
        self, table: str, timeout_ms: int, key: str | None = None
    ) -> Result[Snapshot, Fault]:
        """Reads a whole table, or one row of it.  Errors: STORE_UNAVAILABLE."""

    async def changes(self, table: str, after: int, wait_ms: int) -> Result[Snapshot, Fault]:
        """Waits up to `wait_ms` for rows that changed after version `after`.

        Errors: STORE_UNAVAILABLE, STORE_HISTORY_LOST (the whole table must be read again).
        """


@dataclass(frozen=True, slots=True)
class ExecutorTarget:
    """The executor that a request is for, and its network address."""

    executor_id: str
    address: str


@dataclass(frozen=True, slots=True)
class ReportRequest:
    """Requests a report and renews leases until `lease_until_ms` on the executor's clock.

    The executor does nothing for a request with a lower `fence` than it has seen.  Leases are not
    renewed if `lease_until_ms` is None.  Ended runs are numbered; the executor may
    discard ends up to number `acknowledged_upto`.  It responds when a run ends, at the latest after
    `wait_ms`.
    """

    fence: int
    acknowledged_upto: int
    lease_until_ms: int | None
    wait_ms: int


@dataclass(frozen=True, slots=True)
class ReportResponse:
    """The running and ended runs of an executor; `clock_ms` is the time on its own clock.

    `may_omit_ends` and `unclear_tasks` are those of `ExecutorReport`.  `has_unreadable_ends` is set
    if ends were listed that are not in `ended`.
    """

    clock_ms: int
    incarnation: int
    running: tuple[ReportedRun, ...]
    ended: tuple[ReportedEnd, ...]
    may_omit_ends: bool = False
    unclear_tasks: frozenset[TaskId] = frozenset()
    has_unreadable_ends: bool = False

    @property
    def lists_ends(self) -> bool:
        """Whether ends were listed, readable or not; until then the executor waits to answer."""
        return bool(self.ended) or self.has_unreadable_ends

    def to_report(self, sent_ms: int) -> ExecutorReport:
        """Returns the report, which was requested at `sent_ms`, for the scheduler."""
        return ExecutorReport(
            self.incarnation,
            sent_ms,
            self.running,
            self.ended,
            may_omit_ends=self.may_omit_ends,
            unclear_tasks=self.unclear_tasks,
        )


@dataclass(frozen=True, slots=True)
class StartCommand:
    """Starts a run with a lease until `lease_until_ms` on the executor's clock."""

    run_id: RunId
    payload: str
    lease_until_ms: int
    fence: int
    checkpoint: str


@dataclass(frozen=True, slots=True)
class StartResponse:
    """The outcome of a start; `is_fenced` if the executor has seen a higher fence."""

    outcome: StartOutcome
    is_fenced: bool = False
    detail: str = ""


class ExecutorGateway(Protocol):
    """Sends requests to executors."""

    async def report(
        self, target: ExecutorTarget, request: ReportRequest
    ) -> Result[ReportResponse, Fault]:
        """Requests a report from an executor.

        Errors: WORKER_UNREACHABLE, STALE_EPOCH (the executor has seen a higher fence),
        WORKER_RESTARTED.
        """

    async def start(self, target: ExecutorTarget, command: StartCommand) -> StartResponse:
        """Sends a start once, without retries."""

    async def stop(self, target: ExecutorTarget, run_id: RunId, fence: int) -> Result[None, Fault]:
        """Sends a stop once.  Errors: WORKER_UNREACHABLE, STALE_EPOCH, WORKER_RESTARTED."""

    def close_connections(self, executor_id: str) -> None:
        """Closes the connections to an executor."""


@dataclass(frozen=True, slots=True)
class PolicyPut:
    """The operator has stored a configuration.

    `ignored_values` describes the values that are bad and treated as absent.
    """

    policy: RoutingPolicy
    ignored_values: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class ZoneChanged:
    """The operator has taken a zone out of service or returned it to service."""

    zone: str
    is_out: bool


@dataclass(frozen=True, slots=True)
class UnusableRow:
    """A row that this process can't use; `reason` is empty if that is expected."""

    reason: str


OperatorEvent = PolicyPut | ZoneChanged | UnusableRow


class PlatformRowDecoder(Protocol):
    """Decodes the rows that the operator and the executors write."""

    operator_table: str
    executor_table: str

    def decode_operator_row(self, row: Row) -> OperatorEvent:
        """Decodes a row of the operator."""

    def decode_executor_listing(self, row: Row) -> ExecutorListing | UnusableRow:
        """Decodes a row of an executor.

        The reason of an `UnusableRow` is empty if the row describes an executor that isn't in use.
        """
