"""Tests of executor speeds and run-time models that one owner stores for the next."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from typing import Any

import msgspec
import pytest
from node_fakes import MemoryStore

from jacinthreel_common import ResultCode
from jacinthreel_node import RowWrite
from jacinthreel_node._records import SPEEDS_KEY, SPEEDS_TABLE, SpeedsRow, encode_record
from jacinthreel_node._speed_store import ExecutorSpeedStore
from jacinthreel_steps import ExecutorListing, Resources, Scheduler

LISTING = ExecutorListing(
    "", 1, "10.0.0.1:80", "s", "z", "r", frozenset(), Resources(8_000, 8_000, 8)
)
SPEEDS = {"e1": 0.8, "e2": 1.25}
RUN_TIMES = {"q1": (20.0, 1.5, 4.25, 9.75, 0.5, 0.375)}


class Owner:
    """A scheduler with executor speeds, and its `ExecutorSpeedStore`."""

    def __init__(self, store: MemoryStore, speeds: dict[str, float] | None = None) -> None:
        self.events: list[str] = []
        self.scheduler = Scheduler(self._log)
        for name in SPEEDS:
            self.scheduler.apply_listing(replace(LISTING, executor_id=name), 0)
        self.scheduler.restore_speeds(speeds or {})
        self.speed_store = ExecutorSpeedStore(store, self.scheduler, self._log)

    def _log(self, event: str, fields: dict[str, Any]) -> None:
        self.events.append(event)

    def load(self) -> None:
        asyncio.run(self.speed_store.load())

    def write(self) -> None:
        asyncio.run(self.speed_store.write())


def test_next_owner_restores_the_speeds_of_the_former_owner() -> None:
    store = MemoryStore()
    Owner(store, SPEEDS).write()
    next_owner = Owner(store)
    next_owner.load()
    assert next_owner.scheduler.speeds() == SPEEDS


def test_next_owner_restores_the_run_time_models_of_the_former_owner() -> None:
    store = MemoryStore()
    former = Owner(store)
    former.scheduler.restore_run_times(RUN_TIMES)
    former.write()
    next_owner = Owner(store)
    next_owner.load()
    assert next_owner.scheduler.run_times() == RUN_TIMES
    next_owner.write()
    assert store.commits == 1


def test_row_of_an_earlier_version_without_run_times_restores_the_speeds() -> None:
    store = MemoryStore()
    value = msgspec.msgpack.encode({"speed_by_executor": SPEEDS})
    asyncio.run(store.commit([], [RowWrite(SPEEDS_TABLE, SPEEDS_KEY, value)], 100))
    owner = Owner(store)
    owner.load()
    assert owner.scheduler.speeds() == SPEEDS


def test_speeds_are_written_only_when_they_have_changed() -> None:
    store = MemoryStore()
    owner = Owner(store, SPEEDS)
    owner.write()
    owner.write()
    assert store.commits == 1
    owner.scheduler.restore_speeds({"e1": 0.5})
    owner.write()
    assert store.commits == 2


def test_failed_write_is_retried() -> None:
    store = MemoryStore()
    store.faults = [ResultCode.STORE_UNAVAILABLE]
    owner = Owner(store, SPEEDS)
    owner.write()
    owner.write()
    assert (SPEEDS_TABLE, SPEEDS_KEY) in store.rows


UNUSABLE_ROWS = {
    "no row": None,
    "malformed row": b"\xc1",
    "row of another type": b"\x93\x01\x02\x03",
    "row without a usable speed": encode_record(SpeedsRow({"e1": 0.0})),
}


@pytest.mark.parametrize("name", UNUSABLE_ROWS)
def test_unusable_row_restores_no_speeds(name: str) -> None:
    store = MemoryStore()
    value = UNUSABLE_ROWS[name]
    if value is not None:
        asyncio.run(store.commit([], [RowWrite(SPEEDS_TABLE, SPEEDS_KEY, value)], 100))
    owner = Owner(store)
    owner.load()
    assert owner.scheduler.speeds() == {}


def test_unavailable_store_restores_no_speeds() -> None:
    store = MemoryStore()
    store.read_faults = [ResultCode.STORE_UNAVAILABLE]
    owner = Owner(store)
    owner.load()
    assert owner.events == ["speeds_not_restored"]
