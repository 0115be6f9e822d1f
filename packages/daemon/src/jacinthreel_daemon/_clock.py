"""The clocks of a process and its timers, which run on the event loop.

`now_ms` keeps counting while the machine is suspended, so that leases also expire during a
suspend, and is unaffected by changes to the wall clock.  All timers share one pending callback of
the event loop, scheduled for the earliest of them.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from typing import Final

from jacinthreel_common import Subscription, TimerService
from jacinthreel_daemon._ports import Clock

TimerCallback = Callable[[int], None]

MIN_SLEEP_MS: Final = 5  # Groups timers that are due within this interval into one wake-up.


class SystemClock:
    """Reads the clocks of the operating system."""

    def now_ms(self) -> int:
        """Returns monotonic milliseconds, including time spent in suspend."""
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000

    def unix_ms(self) -> int:
        """Returns the wall clock; only for stored records and display."""
        return time.time_ns() // 1_000_000


class LoopTimers:
    """Runs a `TimerService` on the event loop.

    An exception raised by a callback is passed to `on_error`; other timers keep running.
    """

    def __init__(self, clock: Clock, on_error: Callable[[Exception], None]) -> None:
        self._clock = clock
        self._on_error = on_error
        self._timers = TimerService()
        self._handle: asyncio.TimerHandle | None = None
        self._wakeup_ms: int | None = None

    def every(self, period_ms: int, callback: TimerCallback) -> Subscription:
        """Runs `callback(now_ms)` every `period_ms`."""
        subscription = self._timers.every(period_ms, callback, self._clock.now_ms())
        self._schedule_wakeup()
        return subscription

    def once(self, delay_ms: int, callback: TimerCallback) -> Subscription:
        """Runs `callback(now_ms)` once after `delay_ms`."""
        subscription = self._timers.once(delay_ms, callback, self._clock.now_ms())
        self._schedule_wakeup()
        return subscription

    def stop(self) -> None:
        """Cancels the pending wake-up; no callback runs until the next subscription."""
        if self._handle is not None:
            self._handle.cancel()
        self._handle = None
        self._wakeup_ms = None

    def _schedule_wakeup(self) -> None:
        due_ms = self._timers.next_due_ms()
        if due_ms is None or (self._wakeup_ms is not None and self._wakeup_ms <= due_ms):
            return
        self.stop()
        self._wakeup_ms = due_ms
        delay_ms = max(MIN_SLEEP_MS, due_ms - self._clock.now_ms())
        self._handle = asyncio.get_running_loop().call_later(delay_ms / 1000, self._run_due_timers)

    def _run_due_timers(self) -> None:
        self._handle = None
        self._wakeup_ms = None
        try:
            self._timers.advance(self._clock.now_ms())
        except Exception as error:
            self._on_error(error)
        finally:
            self._schedule_wakeup()
