"""The queue of requests that wait for a slot, in earliest-deadline-first order.

A request is ordered by its deadline or by `MAX_DEADLINE_LEAD_MS` after its arrival, whichever is
earlier.  Without this bound, requests with distant deadlines starve under overload: every new
request with an earlier deadline is placed ahead of them until their own deadline is near.
"""

from __future__ import annotations

from sortedcontainers import SortedKeyList

from jacinthreel_requests._tables import RequestEntry


class DeadlineQueue:
    """Queued requests ordered by `RequestEntry.due_ms`, then by arrival."""

    __slots__ = ("_entries",)

    def __init__(self) -> None:
        self._entries: SortedKeyList = SortedKeyList(key=_deadline_order)

    def __len__(self) -> int:
        return len(self._entries)

    def add(self, entry: RequestEntry) -> None:
        """Inserts a request in order."""
        self._entries.add(entry)

    def remove(self, entry: RequestEntry) -> None:
        """Removes a request, which must be in the queue."""
        self._entries.remove(entry)

    def __contains__(self, entry: object) -> bool:
        return entry in self._entries

    def peek_first(self, count: int) -> list[RequestEntry]:
        """Returns up to `count` requests from the head of the queue, without removing them."""
        return list(self._entries.islice(0, min(count, len(self._entries))))

    def count_ahead_of(self, due_ms: int) -> int:
        """Returns how many queued requests precede a new one with the given due time."""
        return int(self._entries.bisect_key_right((due_ms, float("inf"))))


def _deadline_order(entry: RequestEntry) -> tuple[int, int]:
    return (entry.due_ms, entry.call_id)
