"""Protocol classes between the parts of a daemon, so that each part can be tested with small fakes.

All coroutines run on the process's single event loop.  Failures of external systems are returned
as `Failure(Fault)`, not raised.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any, Protocol

from returns.result import Result

from jacinthreel_common import (
    Config,
    Fault,
    Host,
    ReadQuery,
    ReadReply,
    StreamReply,
    Transaction,
    TransactionReply,
)


class Clock(Protocol):
    """Time sources of a process."""

    def now_ms(self) -> int:
        """Returns the monotonic time in milliseconds."""

    def unix_ms(self) -> int:
        """Returns the wall clock in Unix milliseconds; only for stored records and display."""


class TableStore(Protocol):
    """Client of the platform's table service."""

    async def transact(
        self, transaction: Transaction, priority: int
    ) -> Result[TransactionReply, Fault]:
        """Sends a transaction once, without retries.

        Errors: STORE_UNAVAILABLE (not applied), STORE_BUDGET_SPENT (not sent),
        STORE_OUTCOME_UNKNOWN (may have been applied).
        """

    async def read(self, query: ReadQuery) -> Result[ReadReply, Fault]:
        """Reads rows.  Errors: STORE_UNAVAILABLE, STORE_BUDGET_SPENT."""


@dataclass(frozen=True, slots=True)
class AppliedConfig:
    """The configuration applied in this process.

    `confirmed_ms` is the monotonic time at which it was last confirmed to be the newest.
    """

    config: Config
    row_version: int
    confirmed_ms: int


class ConfigView(Protocol):
    """The configuration applied in this process."""

    def current(self) -> AppliedConfig | None:
        """Returns the applied configuration, or None if there is none yet."""

    def subscribe(self, callback: Callable[[AppliedConfig], None]) -> None:
        """Calls `callback` with each applied configuration, immediately if one is applied."""

    def apply(self, config: Config, row_version: int) -> bool:
        """Applies a configuration if its version is higher; returns whether it was applied."""


class HostView(Protocol):
    """The platform's host list as received by this process."""

    def by_id(self) -> dict[str, Host]:
        """Returns all listed hosts by host id."""

    def subscribe(self, callback: Callable[[list[Host]], None]) -> None:
        """Calls `callback` with each new list, immediately if one has been read."""


class PeerStreams(Protocol):
    """Streams to the routers and schedulers on all hosts, including this one."""

    async def call(
        self, address: str, port: int, message: object, timeout_ms: int
    ) -> Result[StreamReply, Fault]:
        """Calls a peer and waits for its reply.

        Errors: PEER_UNREACHABLE (nothing was sent), PEER_TIMEOUT (outcome unknown).
        """

    def notify_all(self, message: object) -> None:
        """Sends a notice to every connected peer; does not block."""


CallHandler = Callable[[Any], Awaitable[StreamReply]]
"""Serves the calls of one message type that arrive on a stream."""


class OwnerView(Protocol):
    """The owner of the shard as received by this process."""

    def owner_address(self) -> tuple[str, int] | None:
        """Returns the address and stream port of the owner, or None if no owner is known."""


class Telemetry(Protocol):
    """Counters, gauges and latency histograms that `GET /metrics` serves."""

    def count(self, name: str, amount: int = 1) -> None:
        """Increments a counter; `name` may include labels as `name{key="value"}`."""

    def observe_ms(self, name: str, value_ms: float) -> None:
        """Adds a latency to a histogram."""

    def gauge(self, name: str, value: float) -> None:
        """Sets a gauge."""
