"""Admission control: refuses requests that would wait too long, with a time to retry after.

The service rate is estimated as the greater of two measures: the requests answered in the last
second, and, by Little's law, the requests in flight divided by the average latency.  The second
is accurate from the start of a burst; the first includes capacity that the second misses.
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
MAX_BURST_MS: Final = 500
MAX_STANDING_QUEUE_WAIT_MS: Final = 200
MIN_RETRY_AFTER_MS: Final = 1_000
MAX_RETRY_AFTER_MS: Final = 60_000


class Admission:
    """Decides whether to admit new requests and when refused callers should retry.

    `latency_ms` is a moving average over answered requests; `last_empty_ms` is the last time at
    which the queue was empty.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._completed_at_ms: deque[int] = deque()
        self.latency_ms = 0.0
        self.last_empty_ms = 0

    def record_completion(self, latency_ms: float, now_ms: int) -> None:
        """Records the latency of a request that an executor answered."""
        weight = LATENCY_SMOOTHING if self.latency_ms else 1.0
        self.latency_ms += weight * (latency_ms - self.latency_ms)
        self._completed_at_ms.append(now_ms)

    def estimate_wait_ms(self, requests_ahead: int, in_flight: int, now_ms: int) -> float:
        """Returns the expected time to serve `requests_ahead`; 0 before the first answer."""
        while self._completed_at_ms and self._completed_at_ms[0] <= now_ms - RATE_WINDOW_MS:
            self._completed_at_ms.popleft()
        if not self.latency_ms or requests_ahead == 0:
            return 0.0
        rate = max(len(self._completed_at_ms) / RATE_WINDOW_MS, in_flight / self.latency_ms)
        return requests_ahead / rate if rate > 0 else float(MAX_RETRY_AFTER_MS)

    def retry_after_ms(self, wait_ms: float) -> int:
        """Returns the retry delay, with jitter so that refused callers don't retry together."""
        jittered_ms = max(wait_ms, MIN_RETRY_AFTER_MS) * self._rng.uniform(1.0, 1.5)
        return int(min(jittered_ms, MAX_RETRY_AFTER_MS))

    def check(
        self, queue: DeadlineQueue, load: RouterLoad, deadline_ms: int, now_ms: int
    ) -> NotRun | None:
        """Returns a refusal if the queue is full or the deadline can't be met, otherwise None.

        A queue that has not been empty for more than `MAX_BURST_MS` is a standing queue: it absorbs
        no burst and only adds latency to every request.  New requests are then refused while the
        expected wait exceeds `MAX_STANDING_QUEUE_WAIT_MS`.
        """
        if now_ms >= deadline_ms:
            return NotRun(ResultCode.DEADLINE_UNREACHABLE, "the deadline has passed")
        total_wait_ms = self.estimate_wait_ms(load.unsent, load.in_flight, now_ms)
        nonempty_ms = now_ms - self.last_empty_ms
        is_standing_queue = (
            len(queue) and nonempty_ms > MAX_BURST_MS and total_wait_ms > MAX_STANDING_QUEUE_WAIT_MS
        )
        if load.unsent >= load.queue_limit or is_standing_queue:
            detail = (
                f"{load.unsent} requests are waiting; the expected wait is {total_wait_ms:.0f} ms"
            )
            return NotRun(ResultCode.OVERLOADED, detail, self.retry_after_ms(total_wait_ms))
        if not len(queue):
            return None
        due_ms = min(deadline_ms, now_ms + MAX_DEADLINE_LEAD_MS)
        wait_ms = self.estimate_wait_ms(queue.count_ahead_of(due_ms), load.in_flight, now_ms)
        if now_ms + wait_ms + self.latency_ms <= deadline_ms:
            return None
        detail = f"the expected time to an answer is {wait_ms + self.latency_ms:.0f} ms"
        return NotRun(ResultCode.DEADLINE_UNREACHABLE, detail, self.retry_after_ms(wait_ms))


@dataclass(frozen=True, slots=True)
class RouterLoad:
    """Load of a router: unsent requests, their limit, and requests in flight.

    `unsent` counts requests that are queued or waiting for their claim.
    """

    unsent: int
    queue_limit: int
    in_flight: int
