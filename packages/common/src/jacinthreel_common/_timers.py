"""A timer service for one-shot and periodic callbacks.

The service does not read a clock: the caller passes in the current time, which comes from the event
loop in a daemon and from a virtual clock in tests and benchmarks.  Times are milliseconds on any
monotonic scale.

Invariants: callbacks with the same due time run in subscription order; a late periodic callback
runs once, not once for each missed period; a cancelled subscription never runs.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field

TimerCallback = Callable[[int], None]


@dataclass(slots=True, order=True)
class Subscription:
    """A pending callback; `period_ms` is 0 if it runs only once."""

    due_ms: int
    sequence: int
    period_ms: int = field(compare=False)
    callback: TimerCallback = field(compare=False)
    cancelled: bool = field(default=False, compare=False)

    def cancel(self) -> None:
        """Prevents all further runs of the callback."""
        self.cancelled = True


class TimerService:
    """Runs callbacks that are due at the time passed to `advance`.

    >>> timers = TimerService()
    >>> run_times_ms: list[int] = []
    >>> _ = timers.every(10, run_times_ms.append, now_ms=0)
    >>> timers.advance(9); timers.advance(10); timers.advance(45)
    >>> run_times_ms, timers.next_due_ms()
    ([10, 45], 55)
    """

    __slots__ = ("_heap", "_sequence")

    def __init__(self) -> None:
        self._heap: list[Subscription] = []
        self._sequence = 0

    def every(self, period_ms: int, callback: TimerCallback, now_ms: int) -> Subscription:
        """Schedules `callback(now_ms)` every `period_ms`, first at `now_ms + period_ms`."""
        return self._schedule(now_ms + period_ms, period_ms, callback)

    def once(self, delay_ms: int, callback: TimerCallback, now_ms: int) -> Subscription:
        """Schedules one `callback(now_ms)` at `now_ms + delay_ms`."""
        return self._schedule(now_ms + delay_ms, 0, callback)

    def advance(self, now_ms: int) -> None:
        """Runs the callbacks that are due at `now_ms`."""
        while self._heap and self._heap[0].due_ms <= now_ms:
            subscription = heapq.heappop(self._heap)
            if subscription.cancelled:
                continue
            if subscription.period_ms:
                subscription.due_ms = now_ms + subscription.period_ms
                heapq.heappush(self._heap, subscription)
            subscription.callback(now_ms)

    def next_due_ms(self) -> int | None:
        """Returns the due time of the next callback, or None if none is pending."""
        while self._heap and self._heap[0].cancelled:
            heapq.heappop(self._heap)
        return self._heap[0].due_ms if self._heap else None

    def _schedule(self, due_ms: int, period_ms: int, callback: TimerCallback) -> Subscription:
        self._sequence += 1
        subscription = Subscription(due_ms, self._sequence, period_ms, callback)
        heapq.heappush(self._heap, subscription)
        return subscription
