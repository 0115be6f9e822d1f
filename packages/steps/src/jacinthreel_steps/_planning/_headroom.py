"""Capacity kept free for the urgent jobs that are expected next.

An urgent job that finds no free capacity waits until other runs have stopped, and their work is
lost.  As many accelerators are therefore reserved as urgent jobs have recently asked for in
`ARRIVAL_SPAN_MS`, and at least as many as were claimed by preemption within `CLAIM_WINDOW_MS`.
Reserved executors take no tasks of lower priority.  They are the ones with the most free
accelerators, the fastest first, preferably on the same racks: most urgent gangs want one rack.

Targets a stream or bursts of urgent jobs on a full cluster: without the reservation, capacity
released by an urgent job goes to tasks that are preempted for the next urgent job a moment later.
"""

from __future__ import annotations

from collections import deque
from typing import Final

from jacinthreel_steps._tables import Executor

CLAIM_WINDOW_MS: Final = 4_000
ARRIVAL_WINDOW_MS: Final = 4_000  # Over which the demand of urgent jobs is averaged.
ARRIVAL_SPAN_MS: Final = 1_500
MAX_RESERVED_SHARE: Final = 0.35  # Of all accelerators; lower priorities can use the rest.


class _RecentSum:
    """The sum of amounts that were recorded within a time window."""

    def __init__(self, window_ms: int) -> None:
        self._window_ms = window_ms
        self._entries: deque[tuple[int, int]] = deque()
        self._sum = 0

    def add(self, amount: int, now_ms: int) -> None:
        self._entries.append((now_ms, amount))
        self._sum += amount

    def value(self, now_ms: int) -> int:
        while self._entries and now_ms - self._entries[0][0] >= self._window_ms:
            self._sum -= self._entries.popleft()[1]
        return self._sum


class Headroom:
    """Tracks the demand of urgent jobs and selects the executors to reserve for them."""

    def __init__(self) -> None:
        self._claimed = _RecentSum(CLAIM_WINDOW_MS)
        self._arrived = _RecentSum(ARRIVAL_WINDOW_MS)

    def record_claim(self, accelerators: int, now_ms: int) -> None:
        """Records that a job of priority 0 claimed this many accelerators."""
        self._claimed.add(accelerators, now_ms)

    def record_arrival(self, accelerators: int, now_ms: int) -> None:
        """Records that a job of priority 0 arrived, and what its first steps need."""
        self._arrived.add(accelerators, now_ms)

    def needed_accelerators(self, now_ms: int) -> float:
        """Returns how many free accelerators the next urgent jobs are expected to need."""
        expected = self._arrived.value(now_ms) * ARRIVAL_SPAN_MS / ARRIVAL_WINDOW_MS
        return max(expected, self._claimed.value(now_ms))

    def select_reserved_ids(self, executors: list[Executor], now_ms: int) -> set[str]:
        """Returns the ids of the executors that take no tasks of lower priority now."""
        needed = self.needed_accelerators(now_ms)
        if needed <= 0:
            return set()
        capacity = sum(executor.listing.capacity.accelerators for executor in executors)
        remaining = min(needed, MAX_RESERVED_SHARE * capacity)
        reserved: set[str] = set()
        for executor in _most_free_first(executors):
            if remaining <= 0 or executor.free_resources.accelerators <= 0:
                break
            reserved.add(executor.executor_id)
            remaining -= executor.free_resources.accelerators
        return reserved


def _most_free_first(executors: list[Executor]) -> list[Executor]:
    """Returns the executors by free accelerators, speed and free accelerators of the rack."""
    free_by_rack: dict[str, int] = {}
    for executor in executors:
        rack = executor.listing.rack
        free_by_rack[rack] = free_by_rack.get(rack, 0) + executor.free_resources.accelerators

    def sort_key(executor: Executor) -> tuple[int, int, int, str]:
        free = executor.free_resources.accelerators
        rack_free = free_by_rack[executor.listing.rack]
        return (-free, -executor.health.speed_class, -rack_free, executor.executor_id)

    return sorted(executors, key=sort_key)
