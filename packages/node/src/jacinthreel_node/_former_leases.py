"""When the leases that earlier owners gave have certainly lapsed.

Concerns executors that the present owner has never reached: it can't know what they were sent.  At
a takeover only the longest possible time is known.  The former owner is asked then; it stops
sending orders before it answers, and its answer says how long each executor's lease may stand.

Invariant: an end moves only towards the present.
"""

from __future__ import annotations

from jacinthreel_common import LeasesLeft


class FormerLeases:
    """The latest end of leases at each executor, on the clock of this process."""

    def __init__(self, default_end_ms: int) -> None:
        self._default_end_ms = default_end_ms
        self._end_ms_by_executor: dict[str, int] = {}

    def end_ms(self, executor_id: str) -> int:
        """When everything that earlier owners started at an executor has ended."""
        return self._end_ms_by_executor.get(executor_id, self._default_end_ms)

    @property
    def latest_end_ms(self) -> int:
        """When everything that earlier owners started anywhere has ended."""
        return max(self._default_end_ms, *self._end_ms_by_executor.values(), 0)

    def take(self, answer: LeasesLeft, now_ms: int) -> None:
        """Takes what the former owner says; it gives no leases any more."""
        for executor_id, left_ms in answer.left_ms_by_executor.items():
            end_ms = min(self.end_ms(executor_id), now_ms + left_ms)
            self._end_ms_by_executor[executor_id] = end_ms
        self._default_end_ms = min(self._default_end_ms, now_ms + answer.others_ms)

    def left(self, end_ms_by_executor: dict[str, int], now_ms: int) -> LeasesLeft:
        """What the next owner has to know.

        `end_ms_by_executor` holds the executors that the present owner has a link to.
        """
        ends = {**self._end_ms_by_executor, **end_ms_by_executor}
        left = {executor_id: max(0, end_ms - now_ms) for executor_id, end_ms in ends.items()}
        return LeasesLeft(left, max(0, self._default_end_ms - now_ms))
