"""Claim writes on a table store: grouping, and what each member of a group hears."""

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


def close(number: int, version: int = 0) -> WriteRow:
    return WriteRow(f"w{number}", f"k{number}", version, {"n": number}, WritePriority.BOOKKEEPING)


async def perform(store: MemoryStore, effects: list[WriteRow]) -> list[WriteDone]:
    heard: list[WriteDone | RowRead] = []
    claims = ClaimStore(store, heard.append)
    for effect in effects:
        claims.write(effect)
    while len(heard) < len(effects):
        await asyncio.sleep(0.001)
    return [event for event in heard if isinstance(event, WriteDone)]


CASES: dict[str, tuple[list[StoreOutcome], list[int], list[WriteOutcome]]] = {
    "all commit": ([], [0, 0, 0], [COMMITTED, COMMITTED, COMMITTED]),
    "one conflicts": ([], [0, 9, 0], [COMMITTED, CONFLICT, COMMITTED]),
    "reply lost": ([StoreOutcome.LOST_REPLY], [0, 0], [UNKNOWN, UNKNOWN]),
    "refused": ([StoreOutcome.REFUSED], [0, 0], [FAILED, FAILED]),
}


@pytest.mark.parametrize("name", CASES)
def test_each_member_of_a_group_hears_its_own_outcome(name: str) -> None:
    outcomes, versions, expected = CASES[name]
    store = MemoryStore()
    store.outcomes.extend(outcomes)
    effects = [close(number, version) for number, version in enumerate(versions)]
    done = asyncio.run(perform(store, effects))
    assert [event.outcome for event in sorted(done, key=lambda e: e.write_id)] == expected


class CountingStore(MemoryStore):
    """Keeps the count of rows of each transaction."""

    rows: list[int]

    async def transact(
        self, transaction: Transaction, priority: int
    ) -> Result[TransactionReply, Fault]:
        self.rows.append(len(transaction.writes))
        return await super().transact(transaction, priority)


def test_bookkeeping_goes_in_one_transaction() -> None:
    store = CountingStore()
    store.rows = []
    asyncio.run(perform(store, [close(number) for number in range(5)]))
    assert store.rows == [5]


def test_reads_tell_absent_rows_from_a_store_that_is_out() -> None:
    table = TableModel()
    table.transact(Transaction("w", [Condition("k", 0)], [RowWrite("k", 1)]))

    async def scenario(store: MemoryStore, key: str) -> RowRead:
        heard: list[WriteDone | RowRead] = []
        ClaimStore(store, heard.append).read(ReadRow("w1", key))
        while not heard:
            await asyncio.sleep(0.001)
        assert isinstance(heard[0], RowRead)
        return heard[0]

    present = asyncio.run(scenario(MemoryStore(table), "k"))
    absent = asyncio.run(scenario(MemoryStore(table), "other"))
    out = asyncio.run(scenario(MemoryStore(table, down=True), "k"))
    assert present.row is not None and present.row.value == 1
    assert (absent.row, absent.store_unavailable) == (None, False)
    assert (out.row, out.store_unavailable) == (None, True)
