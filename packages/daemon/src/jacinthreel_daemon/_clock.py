"""The clocks of a process, and the timer service driven by the event loop.

`now_ms` counts on while the machine sleeps, so that a lease lapses during a suspend as well; it
is not moved when somebody sets the time.  One pending call of the loop stands for all timers.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from typing import Final

from jacinthreel_common import Subscription, TimerService
from jacinthreel_daemon._ports import Clock

TimerCallback = Callable[[int], None]

MIN_SLEEP_MS: Final = 5  # Timers that are due closer together than this share one wake-up.


class SystemClock:
    """Time sources of the operating system."""

    def now_ms(self) -> int:
        """Monotonic milliseconds."""
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000

    def unix_ms(self) -> int:
        """Wall clock, for records and people only."""
        return time.time_ns() // 1_000_000


class LoopTimers:
    """Runs a `TimerService` on the event loop.

    A callback that raises is passed to `on_error` and doesn't stop the others.
    """

    def __init__(self, clock: Clock, on_error: Callable[[Exception], None]) -> None:
        self._clock = clock
        self._on_error = on_error
        self._timers = TimerService()
        self._handle: asyncio.TimerHandle | None = None
        self._armed_ms: int | None = None

    def every(self, period_ms: int, callback: TimerCallback) -> Subscription:
        """Runs `callback(now_ms)` each `period_ms`."""
        subscription = self._timers.every(period_ms, callback, self._clock.now_ms())
        self._arm()
        return subscription

    def once(self, delay_ms: int, callback: TimerCallback) -> Subscription:
        """Runs `callback(now_ms)` once after `delay_ms`."""
        subscription = self._timers.once(delay_ms, callback, self._clock.now_ms())
        self._arm()
        return subscription

    def stop(self) -> None:
        """Runs no more callbacks until the next subscription."""
        if self._handle is not None:
            self._handle.cancel()
        self._handle = None
        self._armed_ms = None

    def _arm(self) -> None:
        due_ms = self._timers.next_due_ms()
        if due_ms is None or (self._armed_ms is not None and self._armed_ms <= due_ms):
            return
        self.stop()
        self._armed_ms = due_ms
        delay_ms = max(MIN_SLEEP_MS, due_ms - self._clock.now_ms())
        self._handle = asyncio.get_running_loop().call_later(delay_ms / 1000, self._fire)

    def _fire(self) -> None:
        self._handle = None
        self._armed_ms = None
        try:
            self._timers.advance(self._clock.now_ms())
        except Exception as error:
            self._on_error(error)
        finally:
            self._arm()
