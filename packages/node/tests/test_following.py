"""Following a table, and who is taken for the owner."""

from __future__ import annotations

import asyncio

from node_fakes import HandClock, MemoryStore
from returns.result import Failure, Result, Success

from jacinthreel_common import Fault, Hello, OwnerHeartbeat, ResultCode
from jacinthreel_node import Row, RowWrite, Snapshot
from jacinthreel_node._election import LeaseWatch
from jacinthreel_node._owner_view import OwnerView
from jacinthreel_node._records import (
    CANCEL_PREFIX,
    INTAKE_GROUPS,
    INTAKE_TABLE,
    JOB_PREFIX,
    OwnerRow,
    transaction_group,
)
from jacinthreel_node._store_health import (
    LOST_AFTER_MS,
    PROBE_AFTER_MS,
    PROBE_KEYS,
    RECENT_ANSWER_MS,
    MonitoredStore,
    StoreHealth,
)
from jacinthreel_node._table_follower import TableFollower

PEER = Hello("other", "node", "z")
JOB_KEY, OTHER_KEY = PROBE_KEYS[0], PROBE_KEYS[1]
KEY_PREFIXES = (JOB_PREFIX, CANCEL_PREFIX)


class CountingStore(MemoryStore):
    """Counts whole reads; changes fail as they are told to."""

    def __init__(self) -> None:
        super().__init__()
        self.whole_reads = 0
        self.change_faults: list[ResultCode] = []

    async def read(
        self, table: str, timeout_ms: int, key: str | None = None
    ) -> Result[Snapshot, Fault]:
        self.whole_reads += 1
        return await super().read(table, timeout_ms, key)

    async def changes(self, table: str, after: int, wait_ms: int) -> Result[Snapshot, Fault]:
        await asyncio.sleep(0.001)
        if self.change_faults:
            return Failure(Fault(self.change_faults.pop(0), "told to fail"))
        return await super().changes(table, after, wait_ms)


def test_table_that_changes_all_the_time_is_read_in_steps() -> None:
    store = CountingStore()
    calls = 0

    async def changes(table: str, after: int, wait_ms: int) -> Result[Snapshot, Fault]:
        nonlocal calls
        calls += 1
        await asyncio.sleep(0.001)
        return Success(Snapshot((Row(table, "k", b"v", after + 1),), after + 1))

    store.changes = changes  # type: ignore[method-assign]

    async def run() -> None:
        follower = TableFollower(
            store,
            "t",
            10,
            lambda rows: None,
            lambda rows: None,
            lambda e, f: None,
            read_pause_ms=10_000,
        )
        task = asyncio.create_task(follower.run())
        await asyncio.sleep(0.2)
        task.cancel()

    asyncio.run(run())
    assert calls == 1


def follow(store: CountingStore, rereads_after_failure: bool) -> list[Row]:
    """Follows a table until the row `last` is there; returns what was seen."""
    seen: list[Row] = []

    async def run() -> None:
        follower = TableFollower(
            store, "t", 10, seen.extend, seen.extend, lambda e, f: None, rereads_after_failure
        )
        task = asyncio.create_task(follower.run())
        async with asyncio.timeout(10):
            await asyncio.sleep(0.05)
            await store.commit([], [RowWrite("t", "last", b"v")], 100)
            while not any(row.key == "last" for row in seen):
                await asyncio.sleep(0.005)
        task.cancel()

    asyncio.run(run())
    return seen


def test_small_table_is_read_anew_after_a_failure() -> None:
    store = CountingStore()
    store.change_faults = [ResultCode.STORE_UNAVAILABLE]
    follow(store, rereads_after_failure=True)
    assert store.whole_reads == 2


def test_large_table_is_followed_on_from_where_it_failed() -> None:
    store = CountingStore()
    store.change_faults = [ResultCode.STORE_UNAVAILABLE]
    follow(store, rereads_after_failure=False)
    assert store.whole_reads == 1


def test_lost_history_is_read_anew() -> None:
    store = CountingStore()
    store.change_faults = [ResultCode.STORE_HISTORY_LOST]
    follow(store, rereads_after_failure=False)
    assert store.whole_reads == 2


def test_owner_that_has_not_loaded_is_heard_but_counts_nothing() -> None:
    owner = OwnerView(HandClock())
    owner.apply_row(OwnerRow(1, "other", "10.0.0.2", 7000, "n"), 1)
    owner.apply_heartbeat(PEER, OwnerHeartbeat(1, {}, is_loaded=False))
    assert owner.heartbeat_age_ms() == 0
    assert owner.waiting_job_count("q", 1_000) is None

    owner.apply_heartbeat(PEER, OwnerHeartbeat(1, {"q": 3}))
    assert owner.waiting_job_count("q", 1_000) == 3


def test_heartbeat_of_an_earlier_owner_is_passed_over() -> None:
    clock = HandClock()
    owner = OwnerView(clock)
    owner.apply_row(OwnerRow(2, "other", "10.0.0.2", 7000, "n"), 5)
    owner.apply_heartbeat(PEER, OwnerHeartbeat(1, {"q": 3}))
    assert owner.heartbeat_age_ms() is None


def test_resigned_owner_is_silent_at_once() -> None:
    owner = OwnerView(HandClock())
    owner.apply_row(OwnerRow(1, "other", "10.0.0.2", 7000, "n"), 1)
    owner.apply_heartbeat(PEER, OwnerHeartbeat(1))
    owner.apply_heartbeat(PEER, OwnerHeartbeat(1, resigned=True))
    assert owner.heartbeat_age_ms() is None


def test_failed_read_restarts_the_watch_of_the_lease() -> None:
    watch = LeaseWatch()
    watch.record_read(7, 1_000)
    assert watch.record_read(7, 2_500) == 1_500
    watch.reset()
    assert watch.record_read(7, 2_600) == 0
    assert watch.record_read(8, 2_700) == 0


def test_store_is_lost_only_without_any_success() -> None:
    clock = HandClock()
    health = StoreHealth(clock)
    health.record_outcome(Failure(Fault(ResultCode.STORE_UNAVAILABLE, "")), clock.now_ms())
    assert not health.is_lost
    clock.time_ms += LOST_AFTER_MS
    assert health.is_lost
    health.record_outcome(Failure(Fault(ResultCode.STORE_HISTORY_LOST, "")), clock.now_ms())
    assert not health.is_lost


def test_answer_to_a_read_that_waited_says_nothing_of_later_calls() -> None:
    clock = HandClock()
    health = StoreHealth(clock)
    read_ms = clock.now_ms()
    clock.time_ms += 1_000
    sent_ms = health.mark_suspect()
    clock.time_ms += LOST_AFTER_MS
    health.record_outcome(Success(None), read_ms)
    assert health.is_lost
    assert not health.has_recent_answer

    health.record_outcome(Success(None), sent_ms)
    assert not health.is_lost
    assert not health.has_recent_answer  # It took the call, but that was a while ago.


def test_doubt_is_looked_into_before_the_store_counts_as_lost() -> None:
    clock = HandClock()
    health = StoreHealth(clock)
    health.record_outcome(Failure(Fault(ResultCode.STORE_UNAVAILABLE, "reset")), clock.now_ms())
    assert not health.needs_probe
    clock.time_ms += PROBE_AFTER_MS
    assert health.needs_probe
    assert not health.is_lost


def in_doubt(clock: HandClock, key: str = PROBE_KEYS[0]) -> tuple[CountingStore, MonitoredStore]:
    """A store whose last call for a row of the intake has failed."""
    inner = CountingStore()
    store = MonitoredStore(inner, clock)
    inner.read_faults = [ResultCode.STORE_UNAVAILABLE]
    asyncio.run(store.read(INTAKE_TABLE, 100, key))
    return inner, store


def test_store_is_asked_whether_it_answers_only_after_some_silence() -> None:
    clock = HandClock()
    counted = CountingStore()
    store = MonitoredStore(counted, clock)

    assert asyncio.run(store.is_answering(JOB_KEY))
    assert asyncio.run(store.is_answering(JOB_KEY))
    assert counted.whole_reads == 1

    clock.time_ms += RECENT_ANSWER_MS + 1
    counted.read_faults = [ResultCode.STORE_UNAVAILABLE]
    assert not asyncio.run(store.is_answering(JOB_KEY))
    clock.time_ms += LOST_AFTER_MS
    assert store.is_lost(JOB_KEY)
    assert not asyncio.run(store.is_answering(JOB_KEY))
    assert counted.whole_reads == 2


def test_answers_for_others_say_nothing_of_a_row() -> None:
    clock = HandClock()
    _, store = in_doubt(clock, JOB_KEY)
    clock.time_ms += LOST_AFTER_MS

    asyncio.run(store.read("executors", 100))
    asyncio.run(store.read(INTAKE_TABLE, 100, OTHER_KEY))

    assert store.is_lost(JOB_KEY)
    assert not store.is_lost(OTHER_KEY)
    assert not asyncio.run(store.is_answering(JOB_KEY))


def test_lost_group_is_looked_at_until_it_answers() -> None:
    clock = HandClock()
    inner, store = in_doubt(clock, JOB_KEY)
    clock.time_ms += LOST_AFTER_MS
    inner.read_faults = [ResultCode.STORE_UNAVAILABLE]
    asyncio.run(store.probe_suspect_groups())
    assert store.is_lost(JOB_KEY)

    asyncio.run(store.probe_suspect_groups())
    assert not store.is_lost(JOB_KEY)


def test_all_doubtful_groups_are_looked_at_once_one_answers() -> None:
    clock = HandClock()
    inner, store = in_doubt(clock, JOB_KEY)
    inner.read_faults = [ResultCode.STORE_UNAVAILABLE]
    asyncio.run(store.read(INTAKE_TABLE, 100, OTHER_KEY))
    clock.time_ms += LOST_AFTER_MS

    asyncio.run(store.probe_suspect_groups())

    assert not store.is_lost(JOB_KEY)
    assert not store.is_lost(OTHER_KEY)


def test_new_doubt_about_other_tables_makes_the_intake_be_looked_at() -> None:
    clock = HandClock()
    inner = CountingStore()
    store = MonitoredStore(inner, clock)
    inner.read_faults = [ResultCode.STORE_UNAVAILABLE, ResultCode.STORE_UNAVAILABLE]
    asyncio.run(store.read("executors", 100))
    asyncio.run(store.probe_suspect_groups())
    assert inner.whole_reads == 1

    clock.time_ms += PROBE_AFTER_MS
    asyncio.run(store.probe_suspect_groups())
    assert inner.whole_reads == 2

    clock.time_ms += LOST_AFTER_MS
    assert store.is_intake_lost


def test_rows_of_a_job_share_a_group_and_jobs_are_spread() -> None:
    ids = [f"{index:016x}" for index in range(200)]
    groups = {transaction_group(INTAKE_TABLE, JOB_PREFIX + job_id) for job_id in ids}
    assert groups == set(INTAKE_GROUPS)
    for job_id in ids:
        names = {transaction_group(INTAKE_TABLE, prefix + job_id) for prefix in KEY_PREFIXES}
        assert len(names) == 1
