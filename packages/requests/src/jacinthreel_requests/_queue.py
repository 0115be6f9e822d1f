"""The queue of requests that wait for a slot, ordered by deadline.

Deadlines that are far away all count as `MAX_DEADLINE_LEAD_MS` after arrival.  Without that bound
the earliest deadline first starves requests that allow much time whenever there is more work than
slots: each newcomer with a closer deadline would go before them until their own was near.
"""

from __future__ import annotations

from sortedcontainers import SortedKeyList

from jacinthreel_requests._tables import RequestEntry


class DeadlineQueue:
    """Waiting requests; the one that is due first goes first, then the earliest arrival."""

    __slots__ = ("_entries",)

    def __init__(self) -> None:
        self._entries: SortedKeyList = SortedKeyList(key=_deadline_order)

    def __len__(self) -> int:
        return len(self._entries)

    def add(self, entry: RequestEntry) -> None:
        """Puts a request in its place."""
        self._entries.add(entry)

    def remove(self, entry: RequestEntry) -> None:
        """Takes a request out; it must be in the queue."""
        self._entries.remove(entry)

    def __contains__(self, entry: object) -> bool:
        return entry in self._entries

    def first(self, count: int) -> list[RequestEntry]:
        """Up to `count` requests that are due first."""
        return list(self._entries.islice(0, min(count, len(self._entries))))

    def ahead_of(self, due_ms: int) -> int:
        """How many waiting requests go before one that is due then."""
        return int(self._entries.bisect_key_right((due_ms, float("inf"))))


def _deadline_order(entry: RequestEntry) -> tuple[int, int]:
    return (entry.due_ms, entry.call_id)
