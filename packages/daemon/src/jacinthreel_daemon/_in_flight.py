"""Decides when a router sends its peers the counts of its requests in flight and waiting.

A notice is sent when it differs from the last one.  While any count is positive, the notice is
repeated every `REPEAT_PERIODS` periods, so that peers that connect later receive it.
"""

from __future__ import annotations

from typing import Final

from jacinthreel_common import InFlight

REPEAT_PERIODS: Final = 5


class InFlightPacer:
    """Selects the notices to send; `next_notice` is called once per period.

    >>> pacer = InFlightPacer()
    >>> pacer.next_notice(InFlight({"x1": 0})) is None
    True
    >>> pacer.next_notice(InFlight({"x1": 2}))
    InFlight(by_executor={'x1': 2}, waiting=0)
    """

    def __init__(self) -> None:
        self._last_sent = InFlight()
        self._periods_since_sent = 0

    def next_notice(self, current: InFlight) -> InFlight | None:
        """Returns the notice to send now, or None; omits executors with nothing in flight."""
        in_flight = {name: count for name, count in current.by_executor.items() if count}
        notice = InFlight(in_flight, current.waiting)
        self._periods_since_sent += 1
        has_content = bool(notice.by_executor) or notice.waiting > 0
        is_repeat_due = has_content and self._periods_since_sent >= REPEAT_PERIODS
        if notice == self._last_sent and not is_repeat_due:
            return None
        self._last_sent = notice
        self._periods_since_sent = 0
        return notice
