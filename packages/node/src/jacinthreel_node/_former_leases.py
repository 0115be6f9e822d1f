"""Tracks by when the leases granted by earlier owners have certainly expired.

This matters for executors that the current owner has not reached yet, because it can't know which
leases they hold.  At a takeover only the longest possible lease is known.  The current owner then
queries the former one, which stops sending orders before it responds with the remaining lease time
of each executor.

Invariant: a lease end is only ever moved earlier.
"""

from __future__ import annotations

from jacinthreel_common import LeasesLeft


class FormerLeases:
    """The latest lease end at each executor, on the clock of this process.

    `default_end_ms` applies to executors without an end of their own; it is later by
    `relay_extension_ms` while earlier owners may have used relays.
    """

    def __init__(self, default_end_ms: int, relay_extension_ms: int = 0) -> None:
        self._direct_end_ms = default_end_ms
        self._relay_extension_ms = relay_extension_ms
        self._end_ms_by_executor: dict[str, int] = {}

    @property
    def _default_end_ms(self) -> int:
        return self._direct_end_ms + self._relay_extension_ms

    def exclude_relays(self) -> None:
        """Records that no earlier owner has used relays."""
        self._relay_extension_ms = 0

    def end_ms(self, executor_id: str) -> int:
        """Returns the time by which all runs of earlier owners at the executor have ended."""
        return self._end_ms_by_executor.get(executor_id, self._default_end_ms)

    @property
    def latest_end_ms(self) -> int:
        """The time by which all runs started by earlier owners have ended at every executor."""
        return max(self._default_end_ms, *self._end_ms_by_executor.values(), 0)

    def apply_response(self, response: LeasesLeft, now_ms: int) -> None:
        """Applies the response of the former owner, which grants no more leases."""
        for executor_id, remaining_ms in response.left_ms_by_executor.items():
            end_ms = min(self.end_ms(executor_id), now_ms + remaining_ms)
            self._end_ms_by_executor[executor_id] = end_ms
        self._direct_end_ms = min(self._direct_end_ms, now_ms + response.others_ms)

    def remaining(self, end_ms_by_executor: dict[str, int], now_ms: int) -> LeasesLeft:
        """Returns the remaining lease times to hand over to the next owner.

        `end_ms_by_executor` holds the lease ends at executors that the current owner has a link to.
        The next owner allows for relays itself, as this one does.
        """
        ends = {**self._end_ms_by_executor, **end_ms_by_executor}
        remaining_ms_by_executor = {
            executor_id: max(0, end_ms - now_ms) for executor_id, end_ms in ends.items()
        }
        return LeasesLeft(remaining_ms_by_executor, max(0, self._direct_end_ms - now_ms))
