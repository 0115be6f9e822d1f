"""Early refusal: whether a request is worth queueing, and when to come back if it is not.

The drain rate of the queue is the greater of two measures: requests that ended in the last
second, and, by Little's law, the requests in flight divided by how long each takes.  The second
is right from the first moments of a burst; the first counts capacity that the second misses.
"""

from __future__ import annotations

import random
from collections import deque
from dataclasses import dataclass, field
from typing import Final

from jacinthreel_common import ResultCode
from jacinthreel_requests._effects import NotRun
from jacinthreel_requests._queue import DeadlineQueue
from jacinthreel_requests._tables import MAX_DEADLINE_LEAD_MS

RATE_WINDOW_MS: Final = 1_000
LATENCY_SMOOTHING: Final = 0.02
BURST_MS: Final = 1_000
STANDING_WAIT_MS: Final = 200
MIN_RETRY_AFTER_MS: Final = 1_000
MAX_RETRY_AFTER_MS: Final = 60_000


@dataclass(slots=True)
class DrainRate:
    """How fast requests leave this router for good; `latency_ms` is a moving average."""

    ended_ms: deque[int] = field(default_factory=deque)
    latency_ms: float = 0.0

    def observe(self, latency_ms: float, now_ms: int) -> None:
        """Counts a request that an executor answered."""
        weight = LATENCY_SMOOTHING if self.latency_ms else 1.0
        self.latency_ms += weight * (latency_ms - self.latency_ms)
        self.ended_ms.append(now_ms)

    def per_ms(self, in_flight: int, now_ms: int) -> float | None:
        """Requests a millisecond, or None before any was answered."""
        while self.ended_ms and self.ended_ms[0] <= now_ms - RATE_WINDOW_MS:
            self.ended_ms.popleft()
        if not self.latency_ms:
            return None
        return max(len(self.ended_ms) / RATE_WINDOW_MS, in_flight / self.latency_ms)


def estimate_wait_ms(ahead: int, rate: float | None) -> float:
    """How long until `ahead` requests have left; 0 where the rate is not known."""
    if rate is None or ahead == 0:
        return 0.0
    return ahead / rate if rate > 0 else float(MAX_RETRY_AFTER_MS)


def retry_after_ms(wait_ms: float, rng: random.Random) -> int:
    """When to come back, spread out so that refused callers don't return together."""
    spread_ms = max(wait_ms, MIN_RETRY_AFTER_MS) * rng.uniform(1.0, 1.5)
    return int(min(spread_ms, MAX_RETRY_AFTER_MS))


def refuse_early(
    queue: DeadlineQueue,
    waiting: int,
    limit: int,
    deadline_ms: int,
    rate: float | None,
    latency_ms: float,
    standing_ms: int,
    rng: random.Random,
    now_ms: int,
) -> NotRun | None:
    """Refuses a request that finds the queue full or can't be answered before its deadline.

    `standing_ms` is how long requests have waited without a break.  A queue that stands for longer
    than `BURST_MS` is no burst: it only makes everyone wait, so it is kept to `STANDING_WAIT_MS`.
    """
    if now_ms >= deadline_ms:
        return NotRun(ResultCode.DEADLINE_UNREACHABLE, "the deadline has passed")
    if waiting == 0:
        return None
    if waiting >= limit:
        wait_ms = estimate_wait_ms(waiting, rate)
        detail = f"{waiting} requests wait, as many as may"
        return NotRun(ResultCode.OVERLOADED, detail, retry_after_ms(wait_ms, rng))
    total_ms = estimate_wait_ms(waiting, rate)
    if standing_ms > BURST_MS and total_ms > STANDING_WAIT_MS:
        detail = f"requests have waited for {standing_ms} ms without a break"
        return NotRun(ResultCode.OVERLOADED, detail, retry_after_ms(total_ms, rng))
    due_ms = min(deadline_ms, now_ms + MAX_DEADLINE_LEAD_MS)
    wait_ms = estimate_wait_ms(queue.ahead_of(due_ms), rate)
    if now_ms + wait_ms + latency_ms <= deadline_ms:
        return None
    detail = f"an answer is expected after {wait_ms + latency_ms:.0f} ms"
    return NotRun(ResultCode.DEADLINE_UNREACHABLE, detail, retry_after_ms(wait_ms, rng))
