"""Tests of the record that tells a next owner where this one may have granted leases."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any

import pytest
from node_fakes import MemoryStore

from jacinthreel_common import ResultCode
from jacinthreel_node import RowWrite
from jacinthreel_node._executor_grants import ExecutorGrants
from jacinthreel_node._records import (
    GRANTS_KEY,
    OWNER_KEY,
    OWNER_TABLE,
    GrantsRow,
    OwnerRow,
    decode_grants,
    encode_record,
)

OWNER = RowWrite(OWNER_TABLE, OWNER_KEY, encode_record(OwnerRow(3, "h", "10.0.0.1", 7000, "n")))


class Harness:
    """The grants of an owner whose row is in a store in memory."""

    def __init__(self) -> None:
        self.store = MemoryStore()
        version = self.store.apply([], [OWNER]).version  # type: ignore[union-attr]
        self.lost: list[str] = []
        self.grants = ExecutorGrants(
            self.store, 3, version, self.lost.append, lambda event, fields: None
        )

    def stored_ids(self) -> list[str] | None:
        value = self.store.rows[(OWNER_TABLE, GRANTS_KEY)].value
        row = decode_grants(value) if value is not None else None
        assert row is not None and row.epoch == 3
        return row.executor_ids

    async def begin_narrowed(self, *executor_ids: str) -> None:
        assert all(self.grants.may_grant(executor_id) for executor_id in executor_ids)
        await self.grants.narrow()


def run(scenario: Coroutine[Any, Any, None]) -> None:
    asyncio.run(asyncio.wait_for(scenario, 5))


async def run_for_a_moment(grants: ExecutorGrants) -> None:
    with pytest.raises(TimeoutError):
        await asyncio.wait_for(grants.run(), 0.05)


def test_row_of_an_earlier_owner_is_replaced() -> None:
    async def scenario() -> None:
        harness = Harness()
        earlier = RowWrite(OWNER_TABLE, GRANTS_KEY, encode_record(GrantsRow(2, 1, ["e9"])))
        harness.store.apply([], [earlier])
        harness.grants.record_stored(harness.store.rows[(OWNER_TABLE, GRANTS_KEY)])
        await harness.begin_narrowed("e1")
        assert harness.stored_ids() == ["e1"] and not harness.lost

    run(scenario())


def test_executor_that_answers_after_the_row_was_narrowed_is_stored_before_its_first_lease() -> (
    None
):
    # Guards against a lease that a next owner doesn't allow for.
    async def scenario() -> None:
        harness = Harness()
        await harness.begin_narrowed("e2", "e1")
        assert harness.stored_ids() == ["e1", "e2"]
        assert harness.grants.may_grant("e1") and not harness.grants.may_grant("e3")
        await run_for_a_moment(harness.grants)
        assert harness.stored_ids() == ["e1", "e2", "e3"]
        assert harness.grants.may_grant("e3") and not harness.grants.may_grant("e4")

    run(scenario())


def test_executors_of_leases_that_begin_during_a_write_are_in_no_row_without_them() -> None:
    # Guards against a narrow row that is stored after a lease was granted elsewhere.
    async def scenario() -> None:
        harness = Harness()
        harness.store.faults = [ResultCode.STORE_OUTCOME_UNKNOWN]
        narrowing = asyncio.create_task(harness.grants.narrow())
        await asyncio.sleep(0.01)
        assert not harness.grants.may_grant("e1")
        await narrowing
        assert harness.stored_ids() == []

    run(scenario())


def test_write_whose_answer_was_lost_counts_as_stored() -> None:
    async def scenario() -> None:
        harness = Harness()
        harness.store.faults = [ResultCode.STORE_OUTCOME_UNKNOWN]
        harness.store.applied_without_answer = True
        await harness.begin_narrowed("e1")
        assert harness.stored_ids() == ["e1"] and not harness.lost

    run(scenario())


def test_nothing_more_is_granted_after_another_takeover() -> None:
    # Guards against a former owner that wakes late and grants leases that its row doesn't show.
    async def scenario() -> None:
        harness = Harness()
        await harness.begin_narrowed("e1")
        harness.store.apply([], [OWNER])
        assert not harness.grants.may_grant("e2")
        await run_for_a_moment(harness.grants)
        assert harness.lost == ["the owner row has changed"]
        assert harness.stored_ids() == ["e1"] and not harness.grants.may_grant("e2")

    run(scenario())


def test_row_allows_all_executors_for_good_once_relays_may_grant_leases() -> None:
    async def scenario() -> None:
        harness = Harness()
        await harness.begin_narrowed("e1")
        await harness.grants.keep_all()
        assert harness.stored_ids() is None and harness.grants.may_grant("e2")
        await harness.grants.narrow()
        assert harness.stored_ids() is None

    run(scenario())
