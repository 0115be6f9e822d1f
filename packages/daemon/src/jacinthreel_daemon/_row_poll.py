"""One grouped read of the table service a period, for all parts that follow rows.

Each part names the keys that it wants to know now; all keys of a process go into one read.
"""

from __future__ import annotations

from typing import Final, Protocol

from returns.result import Failure, Success

from jacinthreel_common import Fault, ReadQuery, ReadReply, Row
from jacinthreel_daemon._ports import Clock, TableStore

ROW_POLL_MS: Final = 1_000


class RowFollower(Protocol):
    """A part that follows rows."""

    def wanted_keys(self) -> list[str]:
        """The keys to read next."""

    def rows_read(self, keys: list[str], rows_by_key: dict[str, Row], sent_ms: int) -> None:
        """Takes what a read of `keys`, sent at `sent_ms`, found; absent rows are left out."""

    def read_failed(self) -> None:
        """A read failed."""


class RowPoller:
    """Reads for all followers."""

    def __init__(self, store: TableStore, clock: Clock) -> None:
        self._store = store
        self._clock = clock
        self._followers: list[RowFollower] = []
        self._polling = False

    def follow(self, follower: RowFollower) -> None:
        """Adds a follower."""
        self._followers.append(follower)

    async def poll(self) -> None:
        """Reads once; does nothing while an earlier read goes on."""
        if self._polling:
            return
        wanted = [(follower, follower.wanted_keys()) for follower in self._followers]
        keys = sorted({key for _, keys in wanted for key in keys})
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
                for follower, follower_keys in wanted:
                    if follower_keys:
                        follower.rows_read(follower_keys, rows_by_key, sent_ms)
            case Failure(Fault()):
                for follower, _ in wanted:
                    follower.read_failed()
