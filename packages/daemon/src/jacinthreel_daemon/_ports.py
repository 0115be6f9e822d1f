"""Interfaces between the parts of a daemon, so that each part is tested with small fakes.

All calls are coroutines on the one event loop.  Errors come back as `Failure(Fault)`; nothing
here raises for a failure of the outside world.
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
        """Monotonic milliseconds."""

    def unix_ms(self) -> int:
        """Wall clock, for records and people only."""


class TableStore(Protocol):
    """The platform's table service."""

    async def transact(
        self, transaction: Transaction, priority: int
    ) -> Result[TransactionReply, Fault]:
        """Sends a transaction once.

        Errors: STORE_UNAVAILABLE (certainly not applied), STORE_BUDGET_SPENT (not sent),
        STORE_OUTCOME_UNKNOWN.
        """

    async def read(self, query: ReadQuery) -> Result[ReadReply, Fault]:
        """Reads rows.  Errors: STORE_UNAVAILABLE, STORE_BUDGET_SPENT."""


@dataclass(frozen=True, slots=True)
class AppliedConfig:
    """The configuration in force in this process.

    `confirmed_ms` is when it was last known to be the newest.
    """

    config: Config
    row_version: int
    confirmed_ms: int


class ConfigView(Protocol):
    """The configuration as this process knows it."""

    def current(self) -> AppliedConfig | None:
        """The newest configuration seen, or None."""

    def subscribe(self, callback: Callable[[AppliedConfig], None]) -> None:
        """Calls back for each newer configuration."""

    def apply(self, config: Config, row_version: int) -> bool:
        """Applies a configuration if its version is higher; says whether it was."""


class HostView(Protocol):
    """The platform's host list as this process knows it."""

    def by_id(self) -> dict[str, Host]:
        """All listed hosts."""

    def subscribe(self, callback: Callable[[list[Host]], None]) -> None:
        """Calls back when the list changes."""


class PeerStreams(Protocol):
    """Streams to the routers and schedulers on other hosts (and on this one)."""

    async def call(
        self, address: str, port: int, message: object, timeout_ms: int
    ) -> Result[StreamReply, Fault]:
        """Calls a peer.  Errors: PEER_UNREACHABLE (nothing was sent), PEER_TIMEOUT (unknown)."""

    def notify_all(self, message: object) -> None:
        """Sends a notice to every connected peer; never waits."""


CallHandler = Callable[[Any], Awaitable[StreamReply]]
"""Serves one kind of call that arrives on a stream."""


class OwnerView(Protocol):
    """Who owns the shard, as far as this process knows."""

    def owner_address(self) -> tuple[str, int] | None:
        """Address and stream port of the owner's scheduler, or None."""


class Telemetry(Protocol):
    """Counts and latency histograms that `GET /metrics` serves."""

    def count(self, name: str, amount: int = 1) -> None:
        """Adds to a counter; `name` may carry labels as `name{key="value"}`."""

    def observe_ms(self, name: str, value_ms: float) -> None:
        """Records a latency."""

    def gauge(self, name: str, value: float) -> None:
        """Sets a gauge."""
