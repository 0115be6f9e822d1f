"""Whether this process reaches the store, from the outcomes of its own calls."""

from __future__ import annotations

from typing import Final, Protocol

from returns.result import Failure, Result, Success

from jacinthreel_common import Fault, ResultCode
from jacinthreel_daemon.plumbing import Clock
from jacinthreel_node._ports import (
    Committed,
    Conflict,
    KeyedStore,
    RowCondition,
    RowWrite,
    Snapshot,
)
from jacinthreel_node._records import OWNER_KEY, OWNER_TABLE

LOST_AFTER_MS: Final = 800
PROBE_AFTER_MS: Final = 200  # So that a single lost connection is cleared up before.
FRESH_MS: Final = 300
PROBE_TIMEOUT_MS: Final = 400  # Shorter than peers wait for an insert.


class StoreState(Protocol):
    """What callers' calls have to know of the store."""

    @property
    def is_lost(self) -> bool:
        """Whether calls are expected to fail."""

    async def answers(self) -> bool:
        """Whether the store answers now."""


class StoreHealth:
    """The store is lost once calls have waited or failed for `LOST_AFTER_MS` without a success.

    An answer shows that the store took calls when its own was sent: that of a waiting read, which
    was sent seconds ago, says nothing of calls that were sent later.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._doubtful_since_ms: int | None = None
        self._took_call_ms: int | None = None

    @property
    def has_just_answered(self) -> bool:
        """Whether a call that was sent within `FRESH_MS` was answered."""
        took_ms = self._took_call_ms
        return took_ms is not None and self._clock.now_ms() - took_ms <= FRESH_MS

    @property
    def is_lost(self) -> bool:
        """Whether calls are expected to fail."""
        return self._is_doubtful_for(LOST_AFTER_MS)

    @property
    def needs_probe(self) -> bool:
        """Whether a small read should tell if the store answers."""
        return self._is_doubtful_for(PROBE_AFTER_MS)

    def _is_doubtful_for(self, span_ms: int) -> bool:
        since_ms = self._doubtful_since_ms
        return since_ms is not None and self._clock.now_ms() - since_ms >= span_ms

    def now_ms(self) -> int:
        """The time by the clock that calls are dated with."""
        return self._clock.now_ms()

    def note_sent(self) -> int:
        """A call that is answered at once was sent; returns when."""
        now_ms = self._clock.now_ms()
        if self._doubtful_since_ms is None:
            self._doubtful_since_ms = now_ms
        return now_ms

    def note(self, outcome: Result[object, Fault], sent_ms: int) -> None:
        """Takes the outcome of a call that was sent at `sent_ms`."""
        match outcome:
            case Failure(Fault(code=ResultCode.STORE_HISTORY_LOST)):
                self._note_answered(sent_ms)
            case Failure(_):
                self.note_sent()
            case _:
                self._note_answered(sent_ms)

    def _note_answered(self, sent_ms: int) -> None:
        since_ms = self._doubtful_since_ms
        if since_ms is not None and sent_ms >= since_ms:
            self._doubtful_since_ms = None
        if self._took_call_ms is None or sent_ms > self._took_call_ms:
            self._took_call_ms = sent_ms


class WatchedStore:
    """A `KeyedStore` that tells a `StoreHealth` of each outcome."""

    def __init__(self, store: KeyedStore, health: StoreHealth) -> None:
        self._store = store
        self._health = health

    @property
    def is_lost(self) -> bool:
        """Whether calls are expected to fail."""
        return self._health.is_lost

    async def answers(self) -> bool:
        """Whether the store answers now: it has just done so, or a small read shows it.

        A write that is sent to a silent store has an unknown outcome; after this, it rarely has.
        """
        if self._health.is_lost:
            return False
        if self._health.has_just_answered:
            return True
        outcome = await self.read(OWNER_TABLE, PROBE_TIMEOUT_MS, OWNER_KEY)
        return isinstance(outcome, Success)

    async def commit(
        self, conditions: list[RowCondition], writes: list[RowWrite], timeout_ms: int
    ) -> Result[Committed | Conflict, Fault]:
        """See the port."""
        sent_ms = self._health.note_sent()
        outcome = await self._store.commit(conditions, writes, timeout_ms)
        self._health.note(outcome, sent_ms)
        return outcome

    async def read(
        self, table: str, timeout_ms: int, key: str | None = None
    ) -> Result[Snapshot, Fault]:
        """See the port."""
        sent_ms = self._health.note_sent()
        outcome = await self._store.read(table, timeout_ms, key)
        self._health.note(outcome, sent_ms)
        return outcome

    async def changes(self, table: str, after: int, wait_ms: int) -> Result[Snapshot, Fault]:
        """See the port."""
        sent_ms = self._health.now_ms()
        outcome = await self._store.changes(table, after, wait_ms)
        self._health.note(outcome, sent_ms)
        return outcome
