"""Early refusal: whether a request is worth queueing, and when to come back if it is not.

The drain rate of the queue is the greater of two measures: requests that ended in the last
second, and, by Little's law, the requests in flight divided by how long each takes.  The second
is right from the first moments of a burst; the first counts capacity that the second misses.
"""

from __future__ import annotations

import random
from collections import deque
from dataclasses import dataclass
from typing import Final

from jacinthreel_common import ResultCode
from jacinthreel_requests._effects import NotRun
from jacinthreel_requests._queue import DeadlineQueue
from jacinthreel_requests._tables import MAX_DEADLINE_LEAD_MS

RATE_WINDOW_MS: Final = 1_000
LATENCY_SMOOTHING: Final = 0.02
BURST_MS: Final = 500
STANDING_WAIT_MS: Final = 200
MIN_RETRY_AFTER_MS: Final = 1_000
MAX_RETRY_AFTER_MS: Final = 60_000


class Admission:
    """Decides on new requests and says when to come back.

    `latency_ms` is a moving average over answered requests; `empty_ms` is when the queue was last
    known to be empty.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._ended_ms: deque[int] = deque()
        self.latency_ms = 0.0
        self.empty_ms = 0

    def observe(self, latency_ms: float, now_ms: int) -> None:
        """Counts a request that an executor answered."""
        weight = LATENCY_SMOOTHING if self.latency_ms else 1.0
        self.latency_ms += weight * (latency_ms - self.latency_ms)
        self._ended_ms.append(now_ms)

    def wait_ms(self, ahead: int, in_flight: int, now_ms: int) -> float:
        """How long until `ahead` requests have left; 0 before any was answered."""
        while self._ended_ms and self._ended_ms[0] <= now_ms - RATE_WINDOW_MS:
            self._ended_ms.popleft()
        if not self.latency_ms or ahead == 0:
            return 0.0
        rate = max(len(self._ended_ms) / RATE_WINDOW_MS, in_flight / self.latency_ms)
        return ahead / rate if rate > 0 else float(MAX_RETRY_AFTER_MS)

    def retry_after_ms(self, wait_ms: float) -> int:
        """When to come back, spread out so that refused callers don't return together."""
        spread_ms = max(wait_ms, MIN_RETRY_AFTER_MS) * self._rng.uniform(1.0, 1.5)
        return int(min(spread_ms, MAX_RETRY_AFTER_MS))

    def refuse(
        self, queue: DeadlineQueue, load: Load, deadline_ms: int, now_ms: int
    ) -> NotRun | None:
        """Refuses a request that finds the queue full or can't be answered in time, or None.

        A queue that has stood for longer than `BURST_MS` is no burst: it only makes everyone wait,
        so it is kept to `STANDING_WAIT_MS`.
        """
        if now_ms >= deadline_ms:
            return NotRun(ResultCode.DEADLINE_UNREACHABLE, "the deadline has passed")
        total_ms = self.wait_ms(load.waiting, load.in_flight, now_ms)
        standing_ms = now_ms - self.empty_ms
        stands = len(queue) and standing_ms > BURST_MS and total_ms > STANDING_WAIT_MS
        if load.waiting >= load.limit or stands:
            detail = f"{load.waiting} requests wait for an expected {total_ms:.0f} ms"
            return NotRun(ResultCode.OVERLOADED, detail, self.retry_after_ms(total_ms))
        if not len(queue):
            return None
        due_ms = min(deadline_ms, now_ms + MAX_DEADLINE_LEAD_MS)
        wait_ms = self.wait_ms(queue.ahead_of(due_ms), load.in_flight, now_ms)
        if now_ms + wait_ms + self.latency_ms <= deadline_ms:
            return None
        detail = f"an answer is expected after {wait_ms + self.latency_ms:.0f} ms"
        return NotRun(ResultCode.DEADLINE_UNREACHABLE, detail, self.retry_after_ms(wait_ms))


@dataclass(frozen=True, slots=True)
class Load:
    """What a router has to do: requests waiting, as many as may wait, and requests in flight."""

    waiting: int
    limit: int
    in_flight: int
