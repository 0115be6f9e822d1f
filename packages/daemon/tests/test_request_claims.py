"""Writes of request claims: batching, and the outcome of each write of a batch."""

from __future__ import annotations

import asyncio

import pytest
from returns.result import Result

from jacinthreel_common import (
    Condition,
    Fault,
    RowWrite,
    Transaction,
    TransactionReply,
    WriteOutcome,
)
from jacinthreel_daemon._request_claims import ClaimStore
from jacinthreel_requests import (
    ReadRow,
    RowRead,
    WriteDone,
    WritePriority,
    WriteRow,
)
from jacinthreel_standins import MemoryStore, StoreOutcome, TableModel

COMMITTED = WriteOutcome.COMMITTED
CONFLICT = WriteOutcome.CONFLICT
FAILED = WriteOutcome.FAILED
UNKNOWN = WriteOutcome.UNKNOWN


def make_write(number: int, version: int = 0) -> WriteRow:
    return WriteRow(f"w{number}", f"k{number}", version, {"n": number}, WritePriority.BOOKKEEPING)


async def perform(store: MemoryStore, effects: list[WriteRow]) -> list[WriteDone]:
    events: list[WriteDone | RowRead] = []
    claims = ClaimStore(store, events.append)
    for effect in effects:
        claims.write(effect)
    while len(events) < len(effects):
        await asyncio.sleep(0.001)
    return [event for event in events if isinstance(event, WriteDone)]


CASES: dict[str, tuple[list[StoreOutcome], list[int], list[WriteOutcome]]] = {
    "all commit": ([], [0, 0, 0], [COMMITTED, COMMITTED, COMMITTED]),
    "one conflicts": ([], [0, 9, 0], [COMMITTED, CONFLICT, COMMITTED]),
    "reply lost": ([StoreOutcome.LOST_REPLY], [0, 0], [UNKNOWN, UNKNOWN]),
    "refused": ([StoreOutcome.REFUSED], [0, 0], [FAILED, FAILED]),
}


@pytest.mark.parametrize("name", CASES)
def test_each_write_of_a_batch_gets_its_own_outcome(name: str) -> None:
    outcomes, versions, expected = CASES[name]
    store = MemoryStore()
    store.outcomes.extend(outcomes)
    effects = [make_write(number, version) for number, version in enumerate(versions)]
    done = asyncio.run(perform(store, effects))
    assert [event.outcome for event in sorted(done, key=lambda e: e.write_id)] == expected


class CountingStore(MemoryStore):
    """Records the number of written rows of each transaction."""

    row_counts: list[int]

    async def transact(
        self, transaction: Transaction, priority: int
    ) -> Result[TransactionReply, Fault]:
        self.row_counts.append(len(transaction.writes))
        return await super().transact(transaction, priority)


def test_bookkeeping_writes_share_one_transaction() -> None:
    store = CountingStore()
    store.row_counts = []
    asyncio.run(perform(store, [make_write(number) for number in range(5)]))
    assert store.row_counts == [5]


def test_reads_distinguish_absent_rows_from_a_store_outage() -> None:
    table = TableModel()
    table.transact(Transaction("w", [Condition("k", 0)], [RowWrite("k", 1)]))

    async def scenario(store: MemoryStore, key: str) -> RowRead:
        events: list[WriteDone | RowRead] = []
        ClaimStore(store, events.append).read(ReadRow("w1", key))
        while not events:
            await asyncio.sleep(0.001)
        assert isinstance(events[0], RowRead)
        return events[0]

    present = asyncio.run(scenario(MemoryStore(table), "k"))
    absent = asyncio.run(scenario(MemoryStore(table), "other"))
    unavailable = asyncio.run(scenario(MemoryStore(table, down=True), "k"))
    assert present.row is not None and present.row.value == 1
    assert (absent.row, absent.store_unavailable) == (None, False)
    assert (unavailable.row, unavailable.store_unavailable) == (None, True)
