"""Entity tables of a router: requests, executors and attempts.

Only the router core changes them; the systems for choice, health and expiry run over them.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum
from typing import Final

LATENCY_SMOOTHING: Final = 0.03
HEADER_FRESH_MS: Final = 100
PEER_SILENCE_MS: Final = 2_500  # Unchanged notices are repeated each second.
MAX_DEADLINE_LEAD_MS: Final = 500  # Later deadlines count as this, so that they don't starve.


class RequestState(StrEnum):
    """Where a request stands.

    `claiming` waits for its claim row; `queued` for a slot; `in_flight` for an executor.
    """

    CLAIMING = "claiming"
    QUEUED = "queued"
    IN_FLIGHT = "in_flight"


@dataclass(slots=True, eq=False)
class RequestEntry:
    """A request that this router took.  Times are monotonic milliseconds.

    `answered` is true once the caller has its final answer or is gone; an entry in flight stays
    until its attempt ends, so that its slot stays counted.  `may_have_run` is true once an
    attempt was lost.  `failed_executors` are not asked again.
    """

    call_id: int
    workspace: str
    request_id: str
    idempotent: bool
    claimed: bool
    arrived_ms: int
    deadline_ms: int
    body_hash: str
    state: RequestState = RequestState.QUEUED
    attempts: int = 0
    failures: int = 0
    may_have_run: bool = False
    answered: bool = False
    failed_executors: set[str] = field(default_factory=set)

    @property
    def due_ms(self) -> int:
        """The place in the queue: the deadline, but no later than `MAX_DEADLINE_LEAD_MS` on."""
        return min(self.deadline_ms, self.arrived_ms + MAX_DEADLINE_LEAD_MS)

    def count_failure(self, executor_id: str) -> None:
        """Counts a failed attempt at an executor."""
        self.failures += 1
        self.failed_executors.add(executor_id)


class ExecutorHealth(StrEnum):
    """What this router thinks of an executor.

    An `ejected` one gets no work until its time is over; one on `trial` gets a request at a time.
    """

    HEALTHY = "healthy"
    EJECTED = "ejected"
    TRIAL = "trial"


@dataclass(slots=True)
class ExecutorEntry:
    """An executor and what is known of it.

    `in_flight` counts this router's own requests, `share` is how many it may have at once, and
    `peers_in_flight` is what the other routers told of theirs.  `header_others` is how many slots
    others used by the last reply, `header_ms` when it came; None before the first.  `listed` is
    false once the host list no longer names it.  `latency_ms` is a moving average of answered
    requests.  `trial_attempt` is the attempt on trial, if one is.
    """

    executor_id: str
    zone: str
    address: str
    port: int
    slots: int
    connections: int
    listed: bool = True
    leaving: bool = False
    refused_leaving_ms: int | None = None
    in_flight: int = 0
    share: int = 1
    peers_in_flight: int = 0
    header_others: int = 0
    header_ms: int | None = None
    full_until_ms: int = 0
    latency_ms: float = 0.0
    latency_samples: int = 0
    health: ExecutorHealth = ExecutorHealth.HEALTHY
    consecutive_failures: int = 0
    ejections: int = 0
    ejected_until_ms: int = 0
    trial_attempt: int | None = None
    last_reply_ms: int = 0

    def observe_latency(self, value_ms: float) -> None:
        """Adds an answered request to the moving average."""
        self.latency_samples += 1
        weight = max(LATENCY_SMOOTHING, 1.0 / self.latency_samples)
        self.latency_ms += weight * (value_ms - self.latency_ms)


@dataclass(slots=True)
class PeerEntry:
    """What another router last told of its requests; `in_flight` is their count."""

    by_executor: dict[str, int]
    in_flight: int
    waiting: int
    heard_ms: int


@dataclass(slots=True)
class AttemptEntry:
    """A request on its way to an executor and back.

    A `detached` attempt hangs at a stalled executor and its request was sent elsewhere.
    """

    attempt_id: int
    call_id: int
    executor_id: str
    sent_ms: int
    detached: bool = False


@dataclass(slots=True)
class Tables:
    """All entities of a router."""

    requests_by_call: dict[int, RequestEntry] = field(default_factory=dict)
    executors_by_id: dict[str, ExecutorEntry] = field(default_factory=dict)
    peers_by_host: dict[str, PeerEntry] = field(default_factory=dict)
    attempts_by_id: dict[int, AttemptEntry] = field(default_factory=dict)
    entry_hosts: int = 1

    def count_peers(self, now_ms: int) -> None:
        """Adds up what the other routers told; those that fell silent count no more."""
        heard = [p for p in self.peers_by_host.values() if now_ms - p.heard_ms <= PEER_SILENCE_MS]
        for executor in self.executors_by_id.values():
            executor.peers_in_flight = sum(
                peer.by_executor.get(executor.executor_id, 0) for peer in heard
            )

    def busy_elsewhere(self, executor: ExecutorEntry, now_ms: int) -> int:
        """Slots that other routers use at an executor, by the freshest news of it."""
        if executor.header_ms is not None and now_ms - executor.header_ms <= HEADER_FRESH_MS:
            return executor.header_others
        return executor.peers_in_flight

    def estimated_busy(self, executor: ExecutorEntry, now_ms: int) -> int:
        """Slots in use at an executor, as far as this router can tell."""
        return executor.in_flight + self.busy_elsewhere(executor, now_ms)

    def oldest_sent_ms(self, executor_id: str) -> int | None:
        """When the oldest request in flight at an executor was sent, or None."""
        return min(
            (a.sent_ms for a in self.attempts_by_id.values() if a.executor_id == executor_id),
            default=None,
        )
