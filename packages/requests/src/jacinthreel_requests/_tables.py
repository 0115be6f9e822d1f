"""State of a request router: requests, executors, attempts and peer routers.

`RequestRouter` owns the tables.  The modules for executor choice, executor updates and health read
and update them on its behalf.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum
from typing import Final

LATENCY_SMOOTHING: Final = 0.03
REPORTED_BUSY_MAX_AGE_MS: Final = 100
PEER_NOTICE_MAX_AGE_MS: Final = 2_500  # Routers repeat unchanged notices each second.
MAX_DEADLINE_LEAD_MS: Final = 500  # Caps queue deadlines, so that distant ones don't starve.


class RequestState(StrEnum):
    """State of an admitted request.

    `claiming`: the request id is being claimed.  `queued`: the request waits for a slot.
    `in_flight`: the request was sent to an executor and its attempt has not ended.
    """

    CLAIMING = "claiming"
    QUEUED = "queued"
    IN_FLIGHT = "in_flight"


@dataclass(slots=True, eq=False)
class RequestEntry:
    """A request that this router admitted.  Times are monotonic milliseconds.

    `answered` is true once the caller was sent its final answer or has disconnected; an entry in
    flight is kept until its attempt ends, so that its slot remains counted.  `may_have_run` is
    true once an attempt was lost or superseded.  Retries avoid `failed_executors` while another
    healthy executor is available.
    """

    call_id: int
    workspace: str
    request_id: str
    idempotent: bool
    requires_claim: bool
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
        """The queue key: the deadline, but at most `MAX_DEADLINE_LEAD_MS` after arrival."""
        return min(self.deadline_ms, self.arrived_ms + MAX_DEADLINE_LEAD_MS)

    def count_failure(self, executor_id: str) -> None:
        """Counts a failed attempt at an executor."""
        self.failures += 1
        self.failed_executors.add(executor_id)


class ExecutorHealth(StrEnum):
    """Health of an executor according to this router's own attempts.

    `ejected`: gets no requests until `ejected_until_ms`.  `trial`: gets one request at a time.
    """

    HEALTHY = "healthy"
    EJECTED = "ejected"
    TRIAL = "trial"


@dataclass(slots=True)
class ExecutorEntry:
    """An executor and this router's state for it.

    `in_flight` counts this router's own requests and is limited to `max_in_flight`.
    `peers_in_flight` is the sum that other routers reported.  `reported_busy_elsewhere` is the
    number of slots used by others according to the executor's last reply, received at
    `reported_busy_ms`, which is None before the first reply.  `refused_as_leaving_ms` is when the
    executor last refused a request because it is leaving.  After a refusal the executor counts as
    full until `full_until_ms`.  `listed` is false once the host list no longer contains it.
    `latency_ms` is a moving average over answered requests.  `trial_attempt_id` is the attempt in
    flight while the executor is on trial, or None.
    """

    executor_id: str
    zone: str
    address: str
    port: int
    slots: int
    connections: int
    listed: bool = True
    leaving: bool = False
    refused_as_leaving_ms: int | None = None
    in_flight: int = 0
    max_in_flight: int = 1
    peers_in_flight: int = 0
    reported_busy_elsewhere: int = 0
    reported_busy_ms: int | None = None
    full_until_ms: int = 0
    latency_ms: float = 0.0
    latency_samples: int = 0
    health: ExecutorHealth = ExecutorHealth.HEALTHY
    consecutive_failures: int = 0
    ejections: int = 0
    ejected_until_ms: int = 0
    trial_attempt_id: int | None = None
    last_reply_ms: int = 0

    def observe_latency(self, value_ms: float) -> None:
        """Adds the latency of an answered request to the moving average."""
        self.latency_samples += 1
        weight = max(LATENCY_SMOOTHING, 1.0 / self.latency_samples)
        self.latency_ms += weight * (value_ms - self.latency_ms)


@dataclass(slots=True)
class PeerEntry:
    """The last load notice of another router.

    `in_flight` is the sum over all executors; `waiting` counts queued requests.
    """

    by_executor: dict[str, int]
    in_flight: int
    waiting: int
    received_ms: int


@dataclass(slots=True)
class AttemptEntry:
    """An attempt in flight to run a request at an executor.

    A `superseded` attempt is in flight at a stalled executor, and its request was queued again for
    another executor.
    """

    attempt_id: int
    call_id: int
    executor_id: str
    sent_ms: int
    superseded: bool = False


@dataclass(slots=True)
class Tables:
    """All tables of a router; `entry_host_count` is the number of hosts that run a router."""

    requests_by_call_id: dict[int, RequestEntry] = field(default_factory=dict)
    executors_by_id: dict[str, ExecutorEntry] = field(default_factory=dict)
    peers_by_host_id: dict[str, PeerEntry] = field(default_factory=dict)
    attempts_by_id: dict[int, AttemptEntry] = field(default_factory=dict)
    entry_host_count: int = 1

    def update_peers_in_flight(self, now_ms: int) -> None:
        """Recomputes `peers_in_flight` of all executors, ignoring stale notices."""
        fresh_peers = [
            p
            for p in self.peers_by_host_id.values()
            if now_ms - p.received_ms <= PEER_NOTICE_MAX_AGE_MS
        ]
        for executor in self.executors_by_id.values():
            executor.peers_in_flight = sum(
                peer.by_executor.get(executor.executor_id, 0) for peer in fresh_peers
            )

    def busy_elsewhere(self, executor: ExecutorEntry, now_ms: int) -> int:
        """Returns the slots that others use at an executor.

        Prefers the executor's own report unless it is stale; otherwise uses the peers' notices.
        """
        if (
            executor.reported_busy_ms is not None
            and now_ms - executor.reported_busy_ms <= REPORTED_BUSY_MAX_AGE_MS
        ):
            return executor.reported_busy_elsewhere
        return executor.peers_in_flight

    def estimated_busy_slots(self, executor: ExecutorEntry, now_ms: int) -> int:
        """Returns the estimated number of busy slots at an executor."""
        return executor.in_flight + self.busy_elsewhere(executor, now_ms)

    def oldest_sent_ms(self, executor_id: str) -> int | None:
        """Returns when the oldest attempt in flight at an executor was sent, or None."""
        return min(
            (a.sent_ms for a in self.attempts_by_id.values() if a.executor_id == executor_id),
            default=None,
        )
