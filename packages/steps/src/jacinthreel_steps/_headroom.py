"""Capacity reserved for urgent jobs after recent claims.

Each claim means that a job of priority 0 had to wait until other runs were stopped.  For
`CLAIM_WINDOW_MS` after a claim, as many accelerators as were claimed are reserved on the executors
with the most free accelerators, so that the next urgent jobs start at once and less work is lost to
preemption.

Targets bursts of urgent jobs on a full cluster: without the reservation, capacity released by an
urgent job goes to tasks that are preempted for the next urgent job a moment later.
"""

from __future__ import annotations

from collections import deque
from typing import Final

from jacinthreel_steps._tables import Executor

CLAIM_WINDOW_MS: Final = 4_000
MAX_RESERVED_SHARE: Final = 0.35  # Of all accelerators; lower priorities can use the rest.


class Headroom:
    """Tracks recent claims and selects the executors to reserve for urgent jobs."""

    def __init__(self) -> None:
        self._claims: deque[tuple[int, int]] = deque()

    def record_claim(self, accelerators: int, now_ms: int) -> None:
        """Records that a job of priority 0 claimed this many accelerators."""
        self._claims.append((now_ms, accelerators))

    def select_reserved_ids(self, executors: list[Executor], now_ms: int) -> set[str]:
        """Returns the ids of the executors that take no tasks of lower priority now."""
        while self._claims and now_ms - self._claims[0][0] >= CLAIM_WINDOW_MS:
            self._claims.popleft()
        if not self._claims:
            return set()
        capacity = sum(executor.listing.capacity.accelerators for executor in executors)
        claimed = sum(accelerators for _, accelerators in self._claims)
        remaining = min(claimed, MAX_RESERVED_SHARE * capacity)
        reserved: set[str] = set()
        for executor in sorted(executors, key=_most_free_first_key):
            if remaining <= 0 or executor.free_resources.accelerators <= 0:
                break
            reserved.add(executor.executor_id)
            remaining -= executor.free_resources.accelerators
        return reserved


def _most_free_first_key(executor: Executor) -> tuple[int, str]:
    return (-executor.free_resources.accelerators, executor.executor_id)
