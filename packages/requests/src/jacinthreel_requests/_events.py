"""Inputs of the request router: everything that it learns arrives as one of these.

Times are monotonic milliseconds of the process that drives the router.
"""

from __future__ import annotations

from dataclasses import dataclass

from jacinthreel_common import Config, Host, Row, WriteOutcome


@dataclass(frozen=True, slots=True)
class RequestArrived:
    """A caller sent a request; answered by exactly one `Answer` effect with the same `call_id`.

    `claimed` asks that the request id is claimed in the table service before the request is
    sent; it is set for non-idempotent requests with an id of the caller's own.  `body_hash`
    identifies the payload.
    """

    call_id: int
    workspace: str
    request_id: str
    idempotent: bool
    claimed: bool
    deadline_ms: int
    body_hash: str
    unix_ms: int


@dataclass(frozen=True, slots=True)
class CallerGone:
    """The caller closed its connection and can't be answered any more."""

    call_id: int


@dataclass(frozen=True, slots=True)
class WholeAnswer:
    """The executor's whole answer; `status` is its HTTP status."""

    status: int
    content_type: str
    body: bytes


@dataclass(frozen=True, slots=True)
class Refused:
    """The executor refused the request before running it."""

    leaving: bool


@dataclass(frozen=True, slots=True)
class NotSent:
    """No byte of the request left this host."""

    detail: str


@dataclass(frozen=True, slots=True)
class Lost:
    """The request may have reached the executor and no whole answer came."""

    detail: str


AttemptOutcome = WholeAnswer | Refused | NotSent | Lost


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """A `Dispatch` effect ended.  `busy_slots` is what the executor told, or None."""

    attempt_id: int
    outcome: AttemptOutcome
    busy_slots: int | None = None


@dataclass(frozen=True, slots=True)
class ConfigApplied:
    """A configuration came into force here."""

    config: Config


@dataclass(frozen=True, slots=True)
class HostsListed:
    """The platform's host list changed; entry hosts and executors matter."""

    hosts: list[Host]


@dataclass(frozen=True, slots=True)
class PeerInFlight:
    """Another router told what it has in flight at each executor, and how many requests wait."""

    host_id: str
    by_executor: dict[str, int]
    waiting: int = 0


@dataclass(frozen=True, slots=True)
class DrainStarted:
    """The process is stopping: refuse what is new, finish what was taken."""


@dataclass(frozen=True, slots=True)
class Tick:
    """Time passed.  `unix_ms` is the wall clock, for records only."""

    unix_ms: int


@dataclass(frozen=True, slots=True)
class WriteDone:
    """A `WriteRow` effect ended; `version` is the row's new version where it committed."""

    write_id: str
    outcome: WriteOutcome
    version: int = 0


@dataclass(frozen=True, slots=True)
class RowRead:
    """A `ReadRow` effect ended.

    `row` is None where it is absent; `store_out` is true where the store did not answer.
    """

    write_id: str
    row: Row | None
    store_out: bool = False


Event = (
    RequestArrived
    | CallerGone
    | AttemptEnded
    | ConfigApplied
    | HostsListed
    | PeerInFlight
    | DrainStarted
    | Tick
    | WriteDone
    | RowRead
)
