"""Rate limit and circuit breaker for the table operations of one process.

Rate limit: a token bucket that counts rows.  If there are too few tokens, operations wait in
order of priority, then of arrival, for at most `MAX_WAIT_MS`.  Operations of priority
`LEASE_PRIORITY` never wait: they may overdraw the bucket, which delays the other operations.

Circuit breaker: it opens after `FAILURES_TO_OPEN` consecutive failures, and operations then fail
immediately.  After each backoff one operation is admitted as a probe; a success closes the
breaker.  During an outage each process therefore sends at most one operation per backoff, and a
store that recovers receives one probe from each process instead of all pending operations.
Operations of priority `LEASE_PRIORITY` are always admitted, because the owner's lease has to be
valid as soon as the store is back; there is one such operation each second from one process.
"""

from __future__ import annotations

import asyncio
import heapq
import random
from dataclasses import dataclass, field
from enum import Enum, auto
from typing import Final

from jacinthreel_daemon._backoff import Backoff
from jacinthreel_daemon._ports import Clock

LEASE_PRIORITY: Final = -1
MAX_WAIT_MS: Final = 2_000
BURST_S: Final = 1.0  # Capacity of the token bucket, in seconds of refill.
MAX_DEBT_S: Final = 1.0  # Largest debt of the bucket after `charge`, in seconds of refill.
FAILURES_TO_OPEN: Final = 2
PROBE_BACKOFF_BASE_MS: Final = 500
PROBE_BACKOFF_CAP_MS: Final = 2_000


@dataclass(slots=True, order=True)
class _Waiter:
    """An operation that waits for tokens; the future's result is whether they were granted."""

    priority: int
    sequence: int
    rows: int = field(compare=False)
    deadline_ms: int = field(compare=False)
    future: asyncio.Future[bool] = field(compare=False)


class RowBudget:
    """A token bucket of rows with a priority queue of waiting operations."""

    def __init__(self, rows_per_s: int, clock: Clock) -> None:
        self._rows_per_s = rows_per_s
        self._burst = rows_per_s * BURST_S
        self._clock = clock
        self._tokens = self._burst
        self._refilled_ms = clock.now_ms()
        self._waiters: list[_Waiter] = []
        self._sequence = 0
        self._timer: asyncio.TimerHandle | None = None

    async def acquire(self, rows: int, priority: int) -> bool:
        """Takes `rows` tokens, waiting if necessary; returns false after `MAX_WAIT_MS`."""
        self._refill()
        if priority <= LEASE_PRIORITY or (not self._waiters and self._has_tokens_for(rows)):
            self._tokens -= rows
            return True
        future: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        self._sequence += 1
        deadline_ms = self._clock.now_ms() + MAX_WAIT_MS
        heapq.heappush(self._waiters, _Waiter(priority, self._sequence, rows, deadline_ms, future))
        self._schedule_grants()
        return await future

    def charge(self, rows: int) -> None:
        """Takes tokens for rows beyond those acquired, without waiting.

        The bucket may become negative by at most `MAX_DEBT_S` seconds of refill.
        """
        self._refill()
        self._tokens = max(-MAX_DEBT_S * self._rows_per_s, self._tokens - rows)

    def _has_tokens_for(self, rows: int) -> bool:
        """Whether `rows` can be granted; more rows than the burst size need a full bucket."""
        return self._tokens >= min(rows, self._burst)

    def _refill(self) -> None:
        now_ms = self._clock.now_ms()
        added = max(0, now_ms - self._refilled_ms) / 1000 * self._rows_per_s
        self._tokens = min(self._burst, self._tokens + added)
        self._refilled_ms = now_ms

    def _schedule_grants(self) -> None:
        if self._timer is not None or not self._waiters:
            return
        missing = min(self._waiters[0].rows, self._burst) - self._tokens
        delay_s = min(max(0.005, missing / self._rows_per_s), MAX_WAIT_MS / 1000)
        self._timer = asyncio.get_running_loop().call_later(delay_s, self._grant_waiters)

    def _grant_waiters(self) -> None:
        self._timer = None
        self._refill()
        now_ms = self._clock.now_ms()
        while self._waiters:
            waiter = self._waiters[0]
            if waiter.future.done():
                heapq.heappop(self._waiters)
                continue
            if now_ms >= waiter.deadline_ms:
                heapq.heappop(self._waiters)
                waiter.future.set_result(False)
                continue
            if not self._has_tokens_for(waiter.rows):
                break
            heapq.heappop(self._waiters)
            self._tokens -= waiter.rows
            waiter.future.set_result(True)
        self._schedule_grants()


class Admission(Enum):
    """Whether an operation may be sent; a probe tests whether the store has recovered."""

    REFUSED = auto()
    NORMAL = auto()
    PROBE = auto()


class CircuitBreaker:
    """Rejects operations during an outage of the store, except for occasional probes."""

    def __init__(self, clock: Clock, rng: random.Random) -> None:
        self._clock = clock
        self._backoff = Backoff(rng, PROBE_BACKOFF_BASE_MS, PROBE_BACKOFF_CAP_MS)
        self._failures = 0
        self._next_probe_ms = 0
        self._probing = False

    @property
    def is_open(self) -> bool:
        """Whether the store is considered unavailable."""
        return self._failures >= FAILURES_TO_OPEN

    def retry_after_ms(self) -> int:
        """Returns the retry delay to suggest to callers, at least `PROBE_BACKOFF_BASE_MS`."""
        return max(PROBE_BACKOFF_BASE_MS, self._next_probe_ms - self._clock.now_ms())

    def admit(self, priority: int) -> Admission:
        """Returns whether an operation of a priority may be sent now.

        Unless the result is `REFUSED`, the caller must call `finish_operation` afterwards.
        """
        if not self.is_open or priority <= LEASE_PRIORITY:
            return Admission.NORMAL
        if self._probing or self._clock.now_ms() < self._next_probe_ms:
            return Admission.REFUSED
        self._probing = True
        return Admission.PROBE

    def finish_operation(self, admission: Admission) -> None:
        """Records the end of an admitted operation, whether or not it was sent."""
        if admission is Admission.PROBE:
            self._probing = False

    def record_success(self) -> None:
        """Records that the store responded: resets the failure count and the backoff."""
        self._failures = 0
        self._backoff.reset()

    def record_failure(self) -> None:
        """Records a failed operation; while the breaker is open, schedules the next probe."""
        self._failures += 1
        if self.is_open:
            self._next_probe_ms = self._clock.now_ms() + self._backoff.next_ms()
