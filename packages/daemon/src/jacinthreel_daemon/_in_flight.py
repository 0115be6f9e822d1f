"""Decides when a router tells its peers what it has in flight and waiting.

A notice is sent when it differs from the last one, and repeated every `REPEAT_PERIODS` while there
is anything to tell, so that a peer that connects later hears of it.
"""

from __future__ import annotations

from typing import Final

from jacinthreel_common import InFlight

REPEAT_PERIODS: Final = 5


class InFlightPacer:
    """Called once a period with the current notice.

    >>> pacer = InFlightPacer()
    >>> pacer.next_notice(InFlight({"x1": 0})) is None
    True
    >>> pacer.next_notice(InFlight({"x1": 2}))
    InFlight(by_executor={'x1': 2}, waiting=0)
    """

    def __init__(self) -> None:
        self._told = InFlight()
        self._quiet_periods = 0

    def next_notice(self, current: InFlight) -> InFlight | None:
        """The notice to send now, without executors that have nothing in flight, or None."""
        in_flight = {name: count for name, count in current.by_executor.items() if count}
        notice = InFlight(in_flight, current.waiting)
        self._quiet_periods += 1
        anything = bool(notice.by_executor) or notice.waiting > 0
        repeat = anything and self._quiet_periods >= REPEAT_PERIODS
        if notice == self._told and not repeat:
            return None
        self._told = notice
        self._quiet_periods = 0
        return notice
