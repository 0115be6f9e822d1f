"""The budget of table operations of one process, and the circuit that notices an outage.

Budget: a token bucket of rows.  Who finds it empty waits in order of priority and then of
arrival, at most `MAX_WAIT_MS`; operations of priority `LEASE_PRIORITY` take their tokens at once,
also beyond the budget, and the others pay for them.

Circuit: after `FAILURES_TO_OPEN` failures in a row it is open, and operations fail at once.  When
the backoff has passed, one operation at a time is let through as a probe; a success closes the
circuit.  So a process sends at most one operation a backoff to a store that is out, and its
return meets one probe from each process and not all that waited.
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
BURST_S: Final = 1.0
MAX_DEBT_S: Final = 1.0
FAILURES_TO_OPEN: Final = 2
OPEN_BASE_MS: Final = 500
OPEN_CAP_MS: Final = 2_000


@dataclass(slots=True, order=True)
class _Waiter:
    priority: int
    sequence: int
    rows: int = field(compare=False)
    deadline_ms: int = field(compare=False)
    future: asyncio.Future[bool] = field(compare=False)


class RowBudget:
    """A token bucket of rows with a priority queue in front of it."""

    def __init__(self, rows_per_s: int, clock: Clock) -> None:
        self._rows_per_s = rows_per_s
        self._burst = rows_per_s * BURST_S
        self._clock = clock
        self._tokens = self._burst
        self._filled_ms = clock.now_ms()
        self._waiters: list[_Waiter] = []
        self._sequence = 0
        self._handle: asyncio.TimerHandle | None = None

    async def take(self, rows: int, priority: int) -> bool:
        """Waits for the tokens; false where they do not come in time."""
        self._fill()
        if priority <= LEASE_PRIORITY or (not self._waiters and self._covers(rows)):
            self._tokens -= rows
            return True
        future: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        self._sequence += 1
        deadline_ms = self._clock.now_ms() + MAX_WAIT_MS
        heapq.heappush(self._waiters, _Waiter(priority, self._sequence, rows, deadline_ms, future))
        self._arm()
        return await future

    def charge(self, rows: int) -> None:
        """Takes tokens for rows that were not foreseen; the debt is bounded."""
        self._fill()
        self._tokens = max(-MAX_DEBT_S * self._rows_per_s, self._tokens - rows)

    def _covers(self, rows: int) -> bool:
        """Whether there are tokens; a transaction beyond the burst needs a full bucket."""
        return self._tokens >= min(rows, self._burst)

    def _fill(self) -> None:
        now_ms = self._clock.now_ms()
        added = max(0, now_ms - self._filled_ms) / 1000 * self._rows_per_s
        self._tokens = min(self._burst, self._tokens + added)
        self._filled_ms = now_ms

    def _arm(self) -> None:
        if self._handle is not None or not self._waiters:
            return
        missing = min(self._waiters[0].rows, self._burst) - self._tokens
        delay_s = min(max(0.005, missing / self._rows_per_s), MAX_WAIT_MS / 1000)
        self._handle = asyncio.get_running_loop().call_later(delay_s, self._serve)

    def _serve(self) -> None:
        self._handle = None
        self._fill()
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
            if not self._covers(waiter.rows):
                break
            heapq.heappop(self._waiters)
            self._tokens -= waiter.rows
            waiter.future.set_result(True)
        self._arm()


class Admission(Enum):
    """Whether an operation may be sent; a probe finds out whether the store is back."""

    REFUSED = auto()
    NORMAL = auto()
    PROBE = auto()


class Circuit:
    """Whether the store is worth asking."""

    def __init__(self, clock: Clock, rng: random.Random) -> None:
        self._clock = clock
        self._backoff = Backoff(rng, OPEN_BASE_MS, OPEN_CAP_MS)
        self._failures = 0
        self._closed_until_ms = 0
        self._probing = False

    @property
    def is_open(self) -> bool:
        """Whether the store is regarded as out."""
        return self._failures >= FAILURES_TO_OPEN

    def retry_after_ms(self) -> int:
        """How long a caller had better wait."""
        return max(OPEN_BASE_MS, self._closed_until_ms - self._clock.now_ms())

    def admit(self) -> Admission:
        """Whether an operation may be sent now; `leave` follows unless it was refused."""
        if not self.is_open:
            return Admission.NORMAL
        if self._probing or self._clock.now_ms() < self._closed_until_ms:
            return Admission.REFUSED
        self._probing = True
        return Admission.PROBE

    def leave(self, admission: Admission) -> None:
        """An admitted operation has ended, whether it was sent or not."""
        if admission is Admission.PROBE:
            self._probing = False

    def succeeded(self) -> None:
        """The store answered."""
        self._failures = 0
        self._backoff.reset()

    def failed(self) -> None:
        """The store did not answer."""
        self._failures += 1
        if self.is_open:
            self._closed_until_ms = self._clock.now_ms() + self._backoff.next_ms()
