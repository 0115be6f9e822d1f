"""Clock, lease and acknowledgement rules of the exchange with one executor.

Used where the owner exchanges messages with an executor itself, and by relays.

Clocks: a lease ends at a time on the executor's clock, which may run slow by up to
`CLOCK_SLOWNESS`.  Each response gives a lower bound for the executor's clock, and lease end times
are computed from this bound.  All runs on an unreachable executor have ended once its clock must
have passed the latest lease end that was sent to it.  For this bound to stay fixed, the requests
that follow one without an answer, a report request or a start, don't renew leases until the next
response.  Leases vary in length (`choose_lease`), so the first
renewal doesn't cover what an earlier owner has granted; that is bounded separately, by the longest
lease after the first response.

Acknowledgements: a restarted executor numbers the ends of its runs from 1 again.  If it received an
acknowledgement meant for the earlier process, it would discard ends that the owner has not read.
Ends are therefore acknowledged only while the executor reports them, with a request that returns
immediately, and not after a failed request or a pause of more than `MIN_RESTART_MS`.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Final

from jacinthreel_node._ports import ReportResponse

CLOCK_SLOWNESS: Final = 0.02
LEASE_MARGIN_MS: Final = 200
MIN_RESTART_MS: Final = 600  # An executor takes longer than this to restart.


def max_lease_validity_ms(lease_ms: int) -> int:
    """Returns the longest time, on the local clock, for which a lease granted now may be valid.

    `lease_ms` is the duration of the lease on the executor's clock, which may run slow.
    """
    return int(lease_ms / (1 - CLOCK_SLOWNESS)) + LEASE_MARGIN_MS


@dataclass(slots=True)
class ExecutorClock:
    """A reading of an executor's clock, the local time of the reading, and the latest lease end.

    `lease_until_ms` is the latest lease end that was sent, on the executor's clock.
    """

    executor_time_ms: int = 0
    local_time_ms: int | None = None
    lease_until_ms: int = 0

    def record_reading(self, executor_time_ms: int, local_time_ms: int) -> None:
        """Records the clock reading of a response that arrived at `local_time_ms`."""
        self.executor_time_ms = executor_time_ms
        self.local_time_ms = local_time_ms

    def earliest_time_ms(self, now_ms: int) -> int | None:
        """Returns a lower bound for the executor's clock now, or None before the first reading."""
        if self.local_time_ms is None:
            return None
        return self.executor_time_ms + int((now_ms - self.local_time_ms) * (1 - CLOCK_SLOWNESS))

    def lease_end_ms(self, default_ms: int) -> int:
        """Returns the local time by which the latest lease has certainly ended.

        `default_ms` is returned before the first reading.
        """
        if self.local_time_ms is None:
            return default_ms
        remaining_ms = max(0, self.lease_until_ms - self.executor_time_ms)
        return self.local_time_ms + int(remaining_ms / (1 - CLOCK_SLOWNESS)) + LEASE_MARGIN_MS


@dataclass(slots=True)
class ExecutorExchange:
    """The state of the exchange with one executor, from its responses.

    `incarnation` is that of the last response, or the listed one before the first.
    """

    incarnation: int = 0
    is_unreachable: bool = False
    clock: ExecutorClock = field(default_factory=ExecutorClock)
    _has_unanswered_start: bool = False
    _last_response_ms: int = 0
    _lowest_reported_end: int | None = None

    def set_incarnation(self, incarnation: int) -> None:
        """Discards the clock reading if the incarnation differs from the current one."""
        if incarnation != self.incarnation:
            self.incarnation = incarnation
            self.clock = ExecutorClock()

    @property
    def is_clock_known(self) -> bool:
        """Whether the executor's clock has been read."""
        return self.clock.local_time_ms is not None

    def has_restarted(self, response: ReportResponse) -> bool:
        """Whether a response is of another incarnation than the one whose clock is known."""
        return self.is_clock_known and response.incarnation != self.incarnation

    def record_response(self, response: ReportResponse, now_ms: int) -> bool:
        """Records a response; returns whether the executor was unreachable before it."""
        self.set_incarnation(response.incarnation)
        self.clock.record_reading(response.clock_ms, now_ms)
        self._last_response_ms = now_ms
        self._lowest_reported_end = min((end.sequence for end in response.ended), default=None)
        was_unreachable = self.is_unreachable
        self.is_unreachable = False
        self._has_unanswered_start = False
        return was_unreachable

    def record_failure(self) -> bool:
        """Records a request without a usable response; returns whether it is the first one."""
        is_first = not self.is_unreachable
        self.is_unreachable = True
        return is_first

    def record_unanswered_start(self) -> None:
        """Records a start without an answer: no lease is extended before the next response."""
        self._has_unanswered_start = True

    def acknowledged_upto(self, stored_upto: int, now_ms: int) -> int:
        """Returns the highest end that the executor may discard, if all up to `stored_upto` are.

        The result is 0 if the executor reported no stored end or may have restarted.
        """
        if self.is_unreachable or now_ms - self._last_response_ms > MIN_RESTART_MS:
            return 0
        if self._lowest_reported_end is None or self._lowest_reported_end > stored_upto:
            return 0
        return stored_upto

    def extend_lease(self, lease_ms: int, now_ms: int) -> int | None:
        """Returns the lease end to request, on the executor's clock; None before the first reading.

        The caller must send it: it counts as granted from here on.  After an unanswered start it is
        the latest one that was sent, so that repeated starts don't prolong the wait for its end.
        """
        clock_ms = self.clock.earliest_time_ms(now_ms)
        if clock_ms is None:
            return None
        if self._has_unanswered_start:
            return self.clock.lease_until_ms
        until_ms = clock_ms + lease_ms
        self.clock.lease_until_ms = max(self.clock.lease_until_ms, until_ms)
        return until_ms

    def response_age_ms(self, now_ms: int) -> int:
        """Returns the time since the last response."""
        return now_ms - self._last_response_ms
