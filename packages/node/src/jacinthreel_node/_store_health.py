"""Whether this process reaches the store, from the outcomes of its own calls.

A doubt begins with a call that fails or waits, and ends with the answer to a later one.  While
there is a doubt, a small read is sent a few times a second.
"""

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
from jacinthreel_node._records import INTAKE_TABLE, TRANSACTION_GROUPS

LOST_AFTER_MS: Final = 800
PROBE_AFTER_MS: Final = 200  # So that a single lost connection is cleared up before.
FRESH_MS: Final = 300
PROBE_TIMEOUT_MS: Final = 400  # Shorter than peers wait for an insert.
PROBE_KEY: Final = "probe"
OTHER_GROUP: Final = "other"


class StoreState(Protocol):
    """What callers' calls have to know of the store."""

    @property
    def is_lost(self) -> bool:
        """Whether calls are expected to fail."""

    async def answers(self) -> bool:
        """Whether the store answers now."""


class StoreHealth:
    """What the outcomes of calls tell of one group of tables.

    The group is lost once calls have waited or failed for `LOST_AFTER_MS` without a success.  An
    answer shows that the store took calls when its own was sent: that of a waiting read, which was
    sent seconds ago, says nothing of calls that were sent later.
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

    def _is_doubtful_for(self, span_ms: int) -> bool:
        since_ms = self._doubtful_since_ms
        return since_ms is not None and self._clock.now_ms() - since_ms >= span_ms

    def _note_answered(self, sent_ms: int) -> None:
        since_ms = self._doubtful_since_ms
        if since_ms is not None and sent_ms >= since_ms:
            self._doubtful_since_ms = None
        if self._took_call_ms is None or sent_ms > self._took_call_ms:
            self._took_call_ms = sent_ms


class WatchedStore:
    """A `KeyedStore` that keeps the health of each group of tables.

    The store may take calls for some groups and leave those for others without an answer, so
    an answer counts for its own group only.
    """

    def __init__(self, store: KeyedStore, clock: Clock) -> None:
        self._store = store
        self._clock = clock
        self._health_by_group: dict[str, StoreHealth] = {}

    def health_of(self, table: str) -> StoreHealth:
        """The health of a table's group."""
        group = TRANSACTION_GROUPS.get(table, OTHER_GROUP)
        health = self._health_by_group.get(group)
        if health is None:
            health = StoreHealth(self._clock)
            self._health_by_group[group] = health
        return health

    @property
    def is_lost(self) -> bool:
        """Whether new jobs can't be stored."""
        return self.health_of(INTAKE_TABLE).is_lost

    @property
    def needs_probe(self) -> bool:
        """Whether calls for the intake have waited or failed for a while, or others just now."""
        if self.is_lost:
            return True
        return any(
            health.needs_probe and not health.is_lost for health in self._health_by_group.values()
        )

    async def answers(self) -> bool:
        """Whether new jobs can be stored: a call has just shown it, or a small read does.

        A write that is sent to a silent store has an unknown outcome; after this, it rarely has.
        """
        health = self.health_of(INTAKE_TABLE)
        if health.is_lost:
            return False
        return health.has_just_answered or await self.probe()

    async def probe(self) -> bool:
        """Reads a row of the intake that is never there; the health takes note of the outcome."""
        outcome = await self.read(INTAKE_TABLE, PROBE_TIMEOUT_MS, PROBE_KEY)
        return isinstance(outcome, Success)

    async def commit(
        self, conditions: list[RowCondition], writes: list[RowWrite], timeout_ms: int
    ) -> Result[Committed | Conflict, Fault]:
        """See the port."""
        health = self.health_of(writes[0].table)
        sent_ms = health.note_sent()
        outcome = await self._store.commit(conditions, writes, timeout_ms)
        health.note(outcome, sent_ms)
        return outcome

    async def read(
        self, table: str, timeout_ms: int, key: str | None = None
    ) -> Result[Snapshot, Fault]:
        """See the port."""
        health = self.health_of(table)
        sent_ms = health.note_sent()
        outcome = await self._store.read(table, timeout_ms, key)
        health.note(outcome, sent_ms)
        return outcome

    async def changes(self, table: str, after: int, wait_ms: int) -> Result[Snapshot, Fault]:
        """See the port."""
        health = self.health_of(table)
        sent_ms = health.now_ms()
        outcome = await self._store.changes(table, after, wait_ms)
        health.note(outcome, sent_ms)
        return outcome
