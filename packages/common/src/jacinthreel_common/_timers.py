"""A timer service that parts of a process subscribe to.

The service reads no clock: whoever drives it passes the time in.  In a daemon the event loop
drives it; in tests and measurements a virtual clock does.  Times are milliseconds on any
monotonic scale.

Invariants: callbacks due at the same time run in order of subscription; a callback that runs
late runs once, not once for each period that was missed; a cancelled subscription never runs.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field

TimerCallback = Callable[[int], None]


@dataclass(slots=True, order=True)
class Subscription:
    """A pending callback.  `period_ms` is 0 for one that runs once."""

    due_ms: int
    sequence: int
    period_ms: int = field(compare=False)
    callback: TimerCallback = field(compare=False)
    cancelled: bool = field(default=False, compare=False)

    def cancel(self) -> None:
        """Stops the callback from running again."""
        self.cancelled = True


class TimerService:
    """Runs subscribed callbacks when the time passed in reaches them.

    >>> timers = TimerService()
    >>> seen: list[int] = []
    >>> _ = timers.every(10, seen.append, now_ms=0)
    >>> timers.advance(9); timers.advance(10); timers.advance(45)
    >>> seen, timers.next_due_ms()
    ([10, 45], 55)
    """

    __slots__ = ("_heap", "_sequence")

    def __init__(self) -> None:
        self._heap: list[Subscription] = []
        self._sequence = 0

    def every(self, period_ms: int, callback: TimerCallback, now_ms: int) -> Subscription:
        """Runs `callback(now_ms)` each `period_ms`, first one period from `now_ms`."""
        return self._add(now_ms + period_ms, period_ms, callback)

    def once(self, delay_ms: int, callback: TimerCallback, now_ms: int) -> Subscription:
        """Runs `callback(now_ms)` once, `delay_ms` from `now_ms`."""
        return self._add(now_ms + delay_ms, 0, callback)

    def advance(self, now_ms: int) -> None:
        """Runs what is due at `now_ms`."""
        while self._heap and self._heap[0].due_ms <= now_ms:
            subscription = heapq.heappop(self._heap)
            if subscription.cancelled:
                continue
            if subscription.period_ms:
                subscription.due_ms = now_ms + subscription.period_ms
                heapq.heappush(self._heap, subscription)
            subscription.callback(now_ms)

    def next_due_ms(self) -> int | None:
        """The time of the next callback, or None if there is none."""
        while self._heap and self._heap[0].cancelled:
            heapq.heappop(self._heap)
        return self._heap[0].due_ms if self._heap else None

    def _add(self, due_ms: int, period_ms: int, callback: TimerCallback) -> Subscription:
        self._sequence += 1
        subscription = Subscription(due_ms, self._sequence, period_ms, callback)
        heapq.heappush(self._heap, subscription)
        return subscription
