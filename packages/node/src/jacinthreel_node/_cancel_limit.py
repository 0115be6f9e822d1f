"""Limits how many cancellations of unknown jobs a node stores for each workspace.

Each of them is a row of about 100 bytes that is kept for a minute, so a caller that cancels made-up
ids without end would fill the store.
"""

from __future__ import annotations

from collections import deque
from typing import Final

MAX_UNKNOWN_CANCELS: Final = 250  # For each workspace and node in `PERIOD_MS`.
PERIOD_MS: Final = 60_000


class CancelLimit:
    """The times of the cancellations of unknown jobs in the last period, by workspace."""

    def __init__(self) -> None:
        self._times_by_workspace: dict[str, deque[int]] = {}

    def admit(self, workspace: str, now_ms: int) -> int:
        """Counts a cancellation; returns 0 if it may be stored, else when to come back, in ms."""
        times = self._times_by_workspace.setdefault(workspace, deque())
        while times and now_ms - times[0] >= PERIOD_MS:
            times.popleft()
        if len(times) >= MAX_UNKNOWN_CANCELS:
            return times[0] + PERIOD_MS - now_ms
        times.append(now_ms)
        return 0
