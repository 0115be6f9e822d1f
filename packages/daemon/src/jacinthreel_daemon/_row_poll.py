"""Polls rows of the table service, with one combined read per period for all followers.

Each follower returns the keys that it needs at the moment; all keys of a process go into one read.
"""

from __future__ import annotations

from typing import Final, Protocol

from returns.result import Failure, Success

from jacinthreel_common import Fault, ReadQuery, ReadReply, Row
from jacinthreel_daemon._ports import Clock, TableStore

ROW_POLL_MS: Final = 1_000


class RowFollower(Protocol):
    """A component that follows rows."""

    def keys_to_read(self) -> list[str]:
        """Returns the keys to read in the next poll; may be empty."""

    def on_rows_read(self, keys: list[str], rows_by_key: dict[str, Row], sent_ms: int) -> None:
        """Handles the result of a read of `keys` that was sent at `sent_ms`.

        Absent rows are missing from `rows_by_key`.
        """

    def on_read_failed(self) -> None:
        """Handles a failed read."""


class RowPoller:
    """Reads the rows of all followers together."""

    def __init__(self, store: TableStore, clock: Clock) -> None:
        self._store = store
        self._clock = clock
        self._followers: list[RowFollower] = []
        self._polling = False

    def follow(self, follower: RowFollower) -> None:
        """Adds a follower."""
        self._followers.append(follower)

    async def poll(self) -> None:
        """Reads once; does nothing while an earlier read is in flight."""
        if self._polling:
            return
        followers_and_keys = [(follower, follower.keys_to_read()) for follower in self._followers]
        keys = sorted({key for _, keys in followers_and_keys for key in keys})
        if not keys:
            return
        self._polling = True
        sent_ms = self._clock.now_ms()
        try:
            outcome = await self._store.read(ReadQuery(keys=keys))
        finally:
            self._polling = False
        match outcome:
            case Success(ReadReply(rows=rows)):
                rows_by_key = {row.key: row for row in rows}
                for follower, follower_keys in followers_and_keys:
                    if follower_keys:
                        follower.on_rows_read(follower_keys, rows_by_key, sent_ms)
            case Failure(Fault()):
                for follower, _ in followers_and_keys:
                    follower.on_read_failed()
