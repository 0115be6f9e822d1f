"""Runs an `Election` against the table service: performs its writes and reports the results."""

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
    Election,
    ElectionEffect,
    ElectionEvent,
    ElectionRowsRead,
    ReadFailed,
    RenewalDone,
    RenewalDue,
    SendRelease,
    SendRenewal,
    SendTakeover,
    ShardGained,
    ShardLeaseRenewed,
    ShardLost,
    StepDownRequested,
    StopRequested,
    TakeoverDone,
)
from jacinthreel_daemon._ports import Clock, TableStore
from jacinthreel_daemon._write_outcomes import classify_write_result, extract_row_versions

RELEASE_TIMEOUT_S: Final = 3.0

OwnershipChange = ShardGained | ShardLeaseRenewed | ShardLost


class ElectionDriver:
    """Passes events to the election and executes its effects; implements `RowFollower`.

    `on_change` is called when ownership is gained, renewed or lost.
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
        self._write_tasks: set[asyncio.Task[None]] = set()
        self._releasing = False

    def is_lease_valid(self) -> bool:
        """Whether this process owns the shard and its lease has not expired."""
        return self.election.is_owner and self._clock.now_ms() < self.election.lease_until_ms

    def renew_lease(self, now_ms: int) -> None:
        """Renews the lease if this process owns the shard; called every `RENEW_PERIOD_MS`."""
        if not self._releasing:
            self._handle_event(RenewalDue())

    def step_down(self, reason: str) -> None:
        """Ends the ownership of this process without deleting the lease row."""
        self._handle_event(StepDownRequested(reason))

    async def release(self) -> None:
        """Ends the ownership and deletes the lease row, so that a candidate takes over immediately.

        Waits first for the writes in flight, for at most `RELEASE_TIMEOUT_S`.  A renewal that took
        effect after the deletion would recreate the lease row; a takeover that did would leave a
        lease that no running process holds.
        """
        self._releasing = True
        if self._write_tasks:
            await asyncio.wait(self._write_tasks, timeout=RELEASE_TIMEOUT_S)
        for effect in self.election.handle(StopRequested(), self._clock.now_ms()):
            match effect:
                case SendRelease(transaction=transaction):
                    await self._release(transaction)
                case ShardGained() | ShardLeaseRenewed() | ShardLost():
                    self._on_change(effect)

    def keys_to_read(self) -> list[str]:
        """Returns the keys of the epoch and lease rows, or none while this process is the owner."""
        if self.election.is_owner:
            return []
        return [epoch_key(self._shard), lease_key(self._shard)]

    def on_rows_read(self, keys: list[str], rows_by_key: dict[str, Row], sent_ms: int) -> None:
        """Passes the rows to the election."""
        epoch_row = rows_by_key.get(epoch_key(self._shard))
        self._handle_event(ElectionRowsRead(epoch_row, rows_by_key.get(lease_key(self._shard))))

    def on_read_failed(self) -> None:
        """Passes the failed read to the election."""
        self._handle_event(ReadFailed())

    def _handle_event(self, event: ElectionEvent) -> None:
        for effect in self.election.handle(event, self._clock.now_ms()):
            self._execute_effect(effect)

    def _execute_effect(self, effect: ElectionEffect) -> None:
        match effect:
            case SendTakeover(transaction=transaction):
                self._spawn_write(self._take_over(transaction))
            case SendRenewal(transaction=transaction):
                self._spawn_write(self._renew(transaction))
            case SendRelease(transaction=transaction):
                self._spawn(self._release(transaction))
            case ShardGained() | ShardLeaseRenewed() | ShardLost():
                self._on_change(effect)
            case _:
                assert_never(effect)

    def _spawn_write(self, write: Coroutine[Any, Any, None]) -> None:
        task = self._spawn(write)
        self._write_tasks.add(task)
        task.add_done_callback(self._write_tasks.discard)

    async def _take_over(self, transaction: Transaction) -> None:
        result = await self._store.transact(transaction, LEASE_PRIORITY)
        outcome = classify_write_result(result)
        self._handle_event(
            TakeoverDone(transaction.write_id, outcome, extract_row_versions(result))
        )

    async def _renew(self, transaction: Transaction) -> None:
        result = await self._store.transact(transaction, LEASE_PRIORITY)
        self._handle_event(RenewalDone(transaction.write_id, classify_write_result(result)))

    async def _release(self, transaction: Transaction) -> None:
        try:
            async with asyncio.timeout(RELEASE_TIMEOUT_S):
                await self._store.transact(transaction, LEASE_PRIORITY)
        except TimeoutError:
            return  # Candidates take over when the lease has expired.
