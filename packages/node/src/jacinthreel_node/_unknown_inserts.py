"""The jobs that a recent call of this node may have stored without knowing it.

A later call for the same job finds no row while the insert is still under way, and must not
conclude from that that the job never runs.
"""

from __future__ import annotations

from typing import Final

KEEP_MS: Final = 30_000  # The store may carry out an unanswered write seconds later.
MAX_JOBS: Final = 10_000


class UnknownInserts:
    """Until when a job may be stored late, by id."""

    def __init__(self) -> None:
        self._until_ms_by_id: dict[str, int] = {}

    def add(self, job_id: str, now_ms: int) -> None:
        """Records an insert whose outcome is unknown; the oldest are forgotten first."""
        self._until_ms_by_id.pop(job_id, None)
        self._until_ms_by_id[job_id] = now_ms + KEEP_MS
        while len(self._until_ms_by_id) > MAX_JOBS or self._is_first_expired(now_ms):
            del self._until_ms_by_id[next(iter(self._until_ms_by_id))]

    def contains(self, job_id: str, now_ms: int) -> bool:
        """Whether the job may still be stored by an earlier call."""
        return self._until_ms_by_id.get(job_id, 0) > now_ms

    def _is_first_expired(self, now_ms: int) -> bool:
        return next(iter(self._until_ms_by_id.values())) <= now_ms
