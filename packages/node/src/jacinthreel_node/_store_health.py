"""Detects store outages from the outcomes of this process's own calls.

A group of rows is suspect from the time at which a call is sent or fails, until a call sent at this
time or later is answered.  Groups that stay suspect are probed with small reads a few times a
second.

The store as a whole is judged in the same way by all calls of the process together: a process that
is cut off from it learns so from any call, and not for each group anew.

The owner's heartbeats tell how long it has not reached the store.  Once it counts as cut off, each
process probes all groups, and a group that doesn't answer this process either counts as lost much
sooner.  An owner that is cut off alone therefore makes no other process refuse jobs.
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
PROBE_AFTER_MS: Final = 200  # Long enough to recover from a single lost connection.
RECENT_ANSWER_MS: Final = 300
SLOW_CALL_MS: Final = 100
MAX_CALL_MS: Final = 600  # A longer call has waited for changes.
PROBE_TIMEOUT_MS: Final = 400  # Shorter than the time for which peers wait for an insert.
OWNER_REPORT_MAX_AGE_MS: Final = 600


def _probe_key(group: str) -> str:
    """Returns a key in a transaction group of the intake table that is never written."""
    return next(
        key
        for key in (f"probe/{index}" for index in range(1_000))
        if transaction_group(INTAKE_TABLE, key) == group
    )


PROBE_KEYS: Final = tuple(_probe_key(group) for group in INTAKE_GROUPS)


class StoreAvailability(Protocol):
    """Whether the store can accept intake rows; `key` is the key of such a row."""

    @property
    def is_slow(self) -> bool:
        """Whether a call of the store takes a noticeable part of callers' latency objectives."""

    def is_lost(self, key: str) -> bool:
        """Whether calls for the row are expected to fail."""

    async def is_answering(self, key: str, timeout_ms: int) -> bool:
        """Whether the store currently answers calls for the row's group.

        Returns false if no answer arrives within `timeout_ms`.
        """


class StoreHealth:
    """The health of the store for one group of rows, from the outcomes of calls.

    The group is lost after calls have been pending or failing for `LOST_AFTER_MS` without success.
    An answer only shows that the store accepted calls at the time when the answered call was sent.
    A long-poll read that was sent seconds ago therefore proves nothing about later calls.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._suspect_since_ms: int | None = None
        self._last_answered_sent_ms: int | None = None
        self._last_answer_took_ms = 0

    @property
    def has_recent_answer(self) -> bool:
        """Whether the last answered call was sent recently, as far as its duration allows.

        That is within `RECENT_ANSWER_MS` and twice the time that the call took: the calls of a slow
        store were sent long ago when they are answered.
        """
        sent_ms = self._last_answered_sent_ms
        if sent_ms is None:
            return False
        limit_ms = RECENT_ANSWER_MS
        if self._last_answer_took_ms <= MAX_CALL_MS:
            limit_ms += 2 * self._last_answer_took_ms
        return self._clock.now_ms() - sent_ms <= limit_ms

    @property
    def is_lost(self) -> bool:
        """Whether calls are expected to fail."""
        return self._is_suspect_for(LOST_AFTER_MS)

    @property
    def needs_probe(self) -> bool:
        """Whether the group should be probed with a small read."""
        return self._is_suspect_for(PROBE_AFTER_MS)

    def now_ms(self) -> int:
        """Returns the current time on the clock that timestamps calls."""
        return self._clock.now_ms()

    def mark_suspect(self) -> int:
        """Marks the group as suspect from now, unless it is already; returns the current time.

        Called when a call is sent that should be answered immediately.
        """
        now_ms = self._clock.now_ms()
        if self._suspect_since_ms is None:
            self._suspect_since_ms = now_ms
        return now_ms

    def record_outcome(self, outcome: Result[object, Fault], sent_ms: int) -> None:
        """Records the outcome of a call that was sent at `sent_ms`."""
        match outcome:
            case Failure(Fault(code=ResultCode.STORE_HISTORY_LOST)):
                self._record_answer(sent_ms)
            case Failure(_):
                self.mark_suspect()
            case _:
                self._record_answer(sent_ms)

    def _is_suspect_for(self, span_ms: int) -> bool:
        since_ms = self._suspect_since_ms
        return since_ms is not None and self._clock.now_ms() - since_ms >= span_ms

    def _record_answer(self, sent_ms: int) -> None:
        since_ms = self._suspect_since_ms
        if since_ms is not None and sent_ms >= since_ms:
            self._suspect_since_ms = None
        if self._last_answered_sent_ms is None or sent_ms > self._last_answered_sent_ms:
            self._last_answered_sent_ms = sent_ms
            self._last_answer_took_ms = self._clock.now_ms() - sent_ms


class MonitoredStore:
    """A `KeyedStore` wrapper that tracks the health of each transaction group and table.

    The store may answer calls for some groups and not for others, so an answer counts only for its
    own group.
    """

    def __init__(self, store: KeyedStore, clock: Clock) -> None:
        self._store = store
        self._clock = clock
        self._health_by_group: dict[str, StoreHealth] = {}
        self._health_of_all = StoreHealth(clock)
        self._probe_count = 0
        self._last_call_took_ms = 0
        self._owner_reported_ms: int | None = None
        self._are_groups_probed = False

    def health_of(self, table: str, key: str | None = None) -> StoreHealth:
        """Returns the health of a row's group; without `key`, of whole-table reads and feeds."""
        group = table if key is None else transaction_group(table, key)
        health = self._health_by_group.get(group)
        if health is None:
            health = StoreHealth(self._clock)
            self._health_by_group[group] = health
        return health

    def is_lost(self, key: str) -> bool:
        """Whether the intake row can't be stored."""
        health = self.health_of(INTAKE_TABLE, key)
        if health.is_lost or self._health_of_all.is_lost:
            return True
        return health.needs_probe and self._is_owner_cut_off

    def record_owner_silence(self, silent_ms: int) -> None:
        """Records how long the store has not answered the owner, according to its heartbeat."""
        if silent_ms < LOST_AFTER_MS:
            self._owner_reported_ms = None
            self._are_groups_probed = False
            return
        self._owner_reported_ms = self._clock.now_ms()

    @property
    def _is_owner_cut_off(self) -> bool:
        """Whether a recent heartbeat says that the store doesn't answer the owner."""
        reported_ms = self._owner_reported_ms
        if reported_ms is None:
            return False
        return self._clock.now_ms() - reported_ms <= OWNER_REPORT_MAX_AGE_MS

    @property
    def is_slow(self) -> bool:
        """Whether the last read or commit that was answered took `SLOW_CALL_MS` or longer."""
        return self._last_call_took_ms >= SLOW_CALL_MS

    @property
    def is_intake_lost(self) -> bool:
        """Whether new jobs can't be stored; one group is checked as representative of all."""
        return self.is_lost(PROBE_KEYS[0])

    async def is_answering(self, key: str, timeout_ms: int) -> bool:
        """Whether the intake row can be stored, judged by a recent answer or else by a probe.

        A write to an unresponsive store has an unknown outcome; checking first makes this rare.
        """
        health = self.health_of(INTAKE_TABLE, key)
        if self.is_lost(key):
            return False
        return health.has_recent_answer or await self._probe(key, timeout_ms)

    async def probe_suspect_groups(self) -> None:
        """Probes one suspect group of the intake, and the other suspect ones if it answers.

        If no intake group is suspect, one is probed while another group is suspect but not lost.
        All are probed once the owner is cut off.
        """
        if self._is_owner_cut_off and not self._are_groups_probed:
            self._are_groups_probed = True
            await asyncio.gather(*(self._probe(key) for key in PROBE_KEYS))
            return
        suspect_keys = [key for key in PROBE_KEYS if self.health_of(INTAKE_TABLE, key).needs_probe]
        if not suspect_keys and (self._has_new_suspect_group() or self._health_of_all.needs_probe):
            suspect_keys = [PROBE_KEYS[0]]
        if not suspect_keys:
            return
        self._probe_count += 1
        chosen = suspect_keys[self._probe_count % len(suspect_keys)]
        if not await self._probe(chosen):
            return
        await asyncio.gather(*(self._probe(key) for key in suspect_keys if key != chosen))

    def _has_new_suspect_group(self) -> bool:
        healths = self._health_by_group.values()
        return any(health.needs_probe and not health.is_lost for health in healths)

    async def _probe(self, key: str, timeout_ms: int = PROBE_TIMEOUT_MS) -> bool:
        outcome = await self.read(INTAKE_TABLE, min(timeout_ms, PROBE_TIMEOUT_MS), key)
        return isinstance(outcome, Success)

    async def commit(
        self, conditions: list[RowCondition], writes: list[RowWrite], timeout_ms: int
    ) -> Result[Committed | Conflict, Fault]:
        """See `KeyedStore`."""
        health = self.health_of(writes[0].table, writes[0].key)
        sent_ms = self._mark_suspect(health)
        outcome = await self._store.commit(conditions, writes, timeout_ms)
        self._record_call(health, outcome, sent_ms)
        return outcome

    async def read(
        self, table: str, timeout_ms: int, key: str | None = None
    ) -> Result[Snapshot, Fault]:
        """See `KeyedStore`."""
        health = self.health_of(table, key)
        sent_ms = self._mark_suspect(health)
        outcome = await self._store.read(table, timeout_ms, key)
        self._record_call(health, outcome, sent_ms)
        return outcome

    async def changes(self, table: str, after: int, wait_ms: int) -> Result[Snapshot, Fault]:
        """See `KeyedStore`."""
        health = self.health_of(table)
        sent_ms = health.now_ms()
        outcome = await self._store.changes(table, after, wait_ms)
        self._record_outcome(health, outcome, sent_ms)
        return outcome

    def _mark_suspect(self, health: StoreHealth) -> int:
        self._health_of_all.mark_suspect()
        return health.mark_suspect()

    def _record_call(
        self, health: StoreHealth, outcome: Result[object, Fault], sent_ms: int
    ) -> None:
        """Records the outcome of a call that the store answers at once."""
        if isinstance(outcome, Success):
            self._last_call_took_ms = self._clock.now_ms() - sent_ms
        self._record_outcome(health, outcome, sent_ms)

    def _record_outcome(
        self, health: StoreHealth, outcome: Result[object, Fault], sent_ms: int
    ) -> None:
        self._health_of_all.record_outcome(outcome, sent_ms)
        health.record_outcome(outcome, sent_ms)
