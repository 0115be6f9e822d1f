"""Input events of the request router.

Times are monotonic milliseconds of the process that drives the router.
"""

from __future__ import annotations

from dataclasses import dataclass

from jacinthreel_common import Config, Host, Row, WriteOutcome


@dataclass(frozen=True, slots=True)
class RequestArrived:
    """A caller sent a request.

    The router answers it with exactly one `Answer` effect with the same `call_id`.

    If `requires_claim` is true, the request id must be claimed in the table service before the
    request is sent; it is set for non-idempotent requests whose id was supplied by the caller.
    `body_hash` identifies the payload.
    """

    call_id: int
    workspace: str
    request_id: str
    idempotent: bool
    requires_claim: bool
    deadline_ms: int
    body_hash: str
    unix_ms: int


@dataclass(frozen=True, slots=True)
class CallerDisconnected:
    """The caller closed its connection, so an answer can no longer be delivered."""

    call_id: int


@dataclass(frozen=True, slots=True)
class WholeAnswer:
    """The complete answer of an executor; `status` is its HTTP status."""

    status: int
    content_type: str
    body: bytes


@dataclass(frozen=True, slots=True)
class Refused:
    """The executor refused the request before running it."""

    leaving: bool


@dataclass(frozen=True, slots=True)
class NotSent:
    """The attempt failed before any byte of the request left this host."""

    detail: str


@dataclass(frozen=True, slots=True)
class Lost:
    """The request may have reached the executor, but no complete answer was received."""

    detail: str


# The class names are values of the `outcome` label of the metric `request_attempts_total`.
AttemptOutcome = WholeAnswer | Refused | NotSent | Lost


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """A `Dispatch` effect ended.

    `busy_slots` is the number of busy slots that the executor reported, or None.
    """

    attempt_id: int
    outcome: AttemptOutcome
    busy_slots: int | None = None


@dataclass(frozen=True, slots=True)
class ConfigApplied:
    """A new configuration was applied by this process."""

    config: Config


@dataclass(frozen=True, slots=True)
class HostsListed:
    """The platform's host list changed; the router uses its entry hosts and executors."""

    hosts: list[Host]


@dataclass(frozen=True, slots=True)
class PeerInFlight:
    """Another router reported its requests in flight by executor and its queued requests."""

    host_id: str
    by_executor: dict[str, int]
    waiting: int = 0


@dataclass(frozen=True, slots=True)
class DrainStarted:
    """The process is stopping: the router refuses new requests and completes admitted ones."""


@dataclass(frozen=True, slots=True)
class Tick:
    """Periodic timer event.  `unix_ms` is the wall clock time, for records only."""

    unix_ms: int


@dataclass(frozen=True, slots=True)
class WriteDone:
    """A `WriteRow` effect ended; `version` is the row's new version if it committed."""

    write_id: str
    outcome: WriteOutcome
    version: int = 0


@dataclass(frozen=True, slots=True)
class RowRead:
    """A `ReadRow` effect ended.

    `row` is None if it is absent; `store_unavailable` is true if the table service did not answer.
    """

    write_id: str
    row: Row | None
    store_unavailable: bool = False


Event = (
    RequestArrived
    | CallerDisconnected
    | AttemptEnded
    | ConfigApplied
    | HostsListed
    | PeerInFlight
    | DrainStarted
    | Tick
    | WriteDone
    | RowRead
)
