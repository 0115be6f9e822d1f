"""Whether this process reaches the store, from the outcomes of its own calls.

A doubt begins with a call that fails or waits, and ends with the answer to a later one.  While
there is a doubt, a small read is sent a few times a second.
"""

from __future__ import annotations

import asyncio
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
from jacinthreel_node._records import INTAKE_GROUPS, INTAKE_TABLE, transaction_group

LOST_AFTER_MS: Final = 800
PROBE_AFTER_MS: Final = 200  # So that a single lost connection is cleared up before.
FRESH_MS: Final = 300
PROBE_TIMEOUT_MS: Final = 400  # Shorter than peers wait for an insert.


def _probe_key(group: str) -> str:
    """A key that is never there, in a group of the intake."""
    return next(
        key
        for key in (f"probe/{index}" for index in range(1_000))
        if transaction_group(INTAKE_TABLE, key) == group
    )


PROBE_KEYS: Final = tuple(_probe_key(group) for group in INTAKE_GROUPS)


class StoreState(Protocol):
    """What callers' calls have to know of the store; `key` is that of a row of the intake."""

    def is_lost(self, key: str) -> bool:
        """Whether calls for the row are expected to fail."""

    async def answers(self, key: str) -> bool:
        """Whether the store answers for the row now."""


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
        self._probes = 0

    def health_of(self, table: str, key: str | None = None) -> StoreHealth:
        """The health of a row's group, or that of reads and feeds of the whole table."""
        group = table if key is None else transaction_group(table, key)
        health = self._health_by_group.get(group)
        if health is None:
            health = StoreHealth(self._clock)
            self._health_by_group[group] = health
        return health

    def is_lost(self, key: str) -> bool:
        """Whether a row of the intake can't be stored."""
        return self.health_of(INTAKE_TABLE, key).is_lost

    @property
    def is_intake_lost(self) -> bool:
        """Whether new jobs can't be stored, by a group that stands for all."""
        return self.is_lost(PROBE_KEYS[0])

    async def answers(self, key: str) -> bool:
        """Whether a row of the intake can be stored: a call has just shown it, or a read does.

        A write that is sent to a silent store has an unknown outcome; after this, it rarely has.
        """
        health = self.health_of(INTAKE_TABLE, key)
        if health.is_lost:
            return False
        return health.has_just_answered or await self._probe(key)

    async def probe_doubtful(self) -> None:
        """Reads for one group of the intake that is in doubt; and for all of them if that works.

        A doubt about other tables that has just begun makes the intake be looked at.
        """
        doubtful = [key for key in PROBE_KEYS if self.health_of(INTAKE_TABLE, key).needs_probe]
        if not doubtful and self._is_doubt_new():
            doubtful = [PROBE_KEYS[0]]
        if not doubtful:
            return
        self._probes += 1
        chosen = doubtful[self._probes % len(doubtful)]
        if not await self._probe(chosen):
            return
        await asyncio.gather(*(self._probe(key) for key in doubtful if key != chosen))

    def _is_doubt_new(self) -> bool:
        healths = self._health_by_group.values()
        return any(health.needs_probe and not health.is_lost for health in healths)

    async def _probe(self, key: str) -> bool:
        outcome = await self.read(INTAKE_TABLE, PROBE_TIMEOUT_MS, key)
        return isinstance(outcome, Success)

    async def commit(
        self, conditions: list[RowCondition], writes: list[RowWrite], timeout_ms: int
    ) -> Result[Committed | Conflict, Fault]:
        """See the port."""
        health = self.health_of(writes[0].table, writes[0].key)
        sent_ms = health.note_sent()
        outcome = await self._store.commit(conditions, writes, timeout_ms)
        health.note(outcome, sent_ms)
        return outcome

    async def read(
        self, table: str, timeout_ms: int, key: str | None = None
    ) -> Result[Snapshot, Fault]:
        """See the port."""
        health = self.health_of(table, key)
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
