"""Room kept free for urgent jobs while they keep coming.

Each claim shows that jobs of priority 0 had to wait for others to be stopped.  For `RECENT_MS`
after a claim, as many accelerators as were claimed are kept free, on the executors with the most
free room, so that the next urgent jobs start at once and less work is thrown away.

Answers the load of bursts of urgent jobs on a full system: without this, the room that one of them
leaves is taken by tasks that are stopped for the next one a moment later.
"""

from __future__ import annotations

from collections import deque
from typing import Final

from jacinthreel_steps._tables import Executor

RECENT_MS: Final = 4_000
MAX_KEPT_SHARE: Final = 0.35  # Of all accelerators; the rest always goes on.


class Headroom:
    """Remembers recent claims and says which executors are kept free."""

    def __init__(self) -> None:
        self._claims: deque[tuple[int, int]] = deque()

    def note_claim(self, accelerators: int, now_ms: int) -> None:
        """Jobs of priority 0 had to claim this much."""
        self._claims.append((now_ms, accelerators))

    def kept_ids(self, executors: list[Executor], now_ms: int) -> set[str]:
        """The executors that take no work of lower priority now."""
        while self._claims and now_ms - self._claims[0][0] >= RECENT_MS:
            self._claims.popleft()
        if not self._claims:
            return set()
        capacity = sum(executor.listing.capacity.accelerators for executor in executors)
        claimed = sum(accelerators for _, accelerators in self._claims)
        left = min(claimed, MAX_KEPT_SHARE * capacity)
        kept: set[str] = set()
        for executor in sorted(executors, key=_freest_first):
            if left <= 0 or executor.room.accelerators <= 0:
                break
            kept.add(executor.executor_id)
            left -= executor.room.accelerators
        return kept


def _freest_first(executor: Executor) -> tuple[int, str]:
    return (-executor.room.accelerators, executor.executor_id)
