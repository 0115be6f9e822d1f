"""Runs an `Election` against the table service."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, Final, assert_never

from jacinthreel_common import (
    Row,
    Transaction,
    epoch_key,
    lease_key,
)
from jacinthreel_daemon._budget import LEASE_PRIORITY
from jacinthreel_daemon._ownership import (
    ClaimDone,
    Election,
    ElectionEffect,
    ElectionEvent,
    ElectionRowsRead,
    ReadFailed,
    RenewalDone,
    RenewalDue,
    SendClaim,
    SendRelease,
    SendRenewal,
    ShardGained,
    ShardLeaseRenewed,
    ShardLost,
    StepDownRequested,
    StopRequested,
)
from jacinthreel_daemon._ports import Clock, TableStore
from jacinthreel_daemon._write_outcomes import classify_write_result, extract_row_versions

RELEASE_TIMEOUT_S: Final = 3.0

OwnershipChange = ShardGained | ShardLeaseRenewed | ShardLost


class ElectionDriver:
    """Feeds the election and carries out its effects; a `RowFollower`.

    `on_change` learns of ownership gained, renewed and lost.
    """

    def __init__(
        self,
        election: Election,
        shard: str,
        store: TableStore,
        clock: Clock,
        spawn: Callable[[Coroutine[Any, Any, None]], asyncio.Task[None]],
        on_change: Callable[[OwnershipChange], None],
    ) -> None:
        self.election = election
        self._shard = shard
        self._store = store
        self._clock = clock
        self._spawn = spawn
        self._on_change = on_change
        self._writing: asyncio.Task[None] | None = None
        self._releasing = False

    def lease_valid(self) -> bool:
        """Whether this process owns the shard and its lease has not run out."""
        return self.election.is_owner and self._clock.now_ms() < self.election.lease_until_ms

    def renewal_due(self, now_ms: int) -> None:
        """Renews the lease, where there is one; called each `RENEW_PERIOD_MS`."""
        if not self._releasing:
            self._feed(RenewalDue())

    def step_down(self, reason: str) -> None:
        """Gives the shard up without releasing it."""
        self._feed(StepDownRequested(reason))

    async def release(self) -> None:
        """Gives the shard up for good, so that a candidate takes over at once.

        A renewal on its way is waited for, since it would write the deleted lease row anew; so is
        a takeover, since nobody would hold the shard after it.
        """
        self._releasing = True
        if self._writing is not None and not self._writing.done():
            await asyncio.wait({self._writing}, timeout=RELEASE_TIMEOUT_S)
        for effect in self.election.handle(StopRequested(), self._clock.now_ms()):
            match effect:
                case SendRelease(transaction=transaction):
                    await self._release(transaction)
                case ShardGained() | ShardLeaseRenewed() | ShardLost():
                    self._on_change(effect)

    def keys_to_read(self) -> list[str]:
        """Both rows, while this process is a candidate."""
        if self.election.is_owner:
            return []
        return [epoch_key(self._shard), lease_key(self._shard)]

    def on_rows_read(self, keys: list[str], rows_by_key: dict[str, Row], sent_ms: int) -> None:
        """Shows the rows to the election."""
        epoch_row = rows_by_key.get(epoch_key(self._shard))
        self._feed(ElectionRowsRead(epoch_row, rows_by_key.get(lease_key(self._shard))))

    def on_read_failed(self) -> None:
        """Tells the election that it saw nothing."""
        self._feed(ReadFailed())

    def _feed(self, event: ElectionEvent) -> None:
        for effect in self.election.handle(event, self._clock.now_ms()):
            self._perform(effect)

    def _perform(self, effect: ElectionEffect) -> None:
        match effect:
            case SendClaim(transaction=transaction):
                self._writing = self._spawn(self._claim(transaction))
            case SendRenewal(transaction=transaction):
                self._writing = self._spawn(self._renew(transaction))
            case SendRelease(transaction=transaction):
                self._spawn(self._release(transaction))
            case ShardGained() | ShardLeaseRenewed() | ShardLost():
                self._on_change(effect)
            case _:
                assert_never(effect)

    async def _claim(self, transaction: Transaction) -> None:
        result = await self._store.transact(transaction, LEASE_PRIORITY)
        outcome = classify_write_result(result)
        self._feed(ClaimDone(transaction.write_id, outcome, extract_row_versions(result)))

    async def _renew(self, transaction: Transaction) -> None:
        result = await self._store.transact(transaction, LEASE_PRIORITY)
        self._feed(RenewalDone(transaction.write_id, classify_write_result(result)))

    async def _release(self, transaction: Transaction) -> None:
        try:
            async with asyncio.timeout(RELEASE_TIMEOUT_S):
                await self._store.transact(transaction, LEASE_PRIORITY)
        except TimeoutError:
            return  # Candidates take over when the lease has run out.
