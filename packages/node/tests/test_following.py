"""Tests of the table follower, the owner view, the lease watch and the store health."""

from __future__ import annotations

import asyncio

from node_fakes import ManualClock, MemoryStore
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
    """Counts full reads; each call of `changes` consumes one of `change_faults`."""

    def __init__(self) -> None:
        super().__init__()
        self.full_reads = 0
        self.change_faults: list[ResultCode] = []

    async def read(
        self, table: str, timeout_ms: int, key: str | None = None
    ) -> Result[Snapshot, Fault]:
        self.full_reads += 1
        return await super().read(table, timeout_ms, key)

    async def changes(self, table: str, after: int, wait_ms: int) -> Result[Snapshot, Fault]:
        await asyncio.sleep(0.001)
        if self.change_faults:
            return Failure(Fault(self.change_faults.pop(0), "injected failure"))
        return await super().changes(table, after, wait_ms)


def test_constantly_changing_table_is_read_once_per_gap() -> None:
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


def follow_until_last_row(store: CountingStore, rereads_after_failure: bool) -> list[Row]:
    """Follows a table until the row `last` arrives; returns all rows received."""
    received: list[Row] = []

    async def run() -> None:
        follower = TableFollower(
            store,
            "t",
            10,
            received.extend,
            received.extend,
            lambda e, f: None,
            rereads_after_failure,
        )
        task = asyncio.create_task(follower.run())
        async with asyncio.timeout(10):
            await asyncio.sleep(0.05)
            await store.commit([], [RowWrite("t", "last", b"v")], 100)
            while not any(row.key == "last" for row in received):
                await asyncio.sleep(0.005)
        task.cancel()

    asyncio.run(run())
    return received


def test_table_is_reread_after_a_failure_if_configured() -> None:
    store = CountingStore()
    store.change_faults = [ResultCode.STORE_UNAVAILABLE]
    follow_until_last_row(store, rereads_after_failure=True)
    assert store.full_reads == 2


def test_table_feed_resumes_after_a_failure_by_default() -> None:
    store = CountingStore()
    store.change_faults = [ResultCode.STORE_UNAVAILABLE]
    follow_until_last_row(store, rereads_after_failure=False)
    assert store.full_reads == 1


def test_table_is_reread_after_its_history_is_lost() -> None:
    store = CountingStore()
    store.change_faults = [ResultCode.STORE_HISTORY_LOST]
    follow_until_last_row(store, rereads_after_failure=False)
    assert store.full_reads == 2


def test_owner_that_has_not_loaded_is_responsive_but_has_no_queue_counts() -> None:
    owner = OwnerView(ManualClock())
    owner.apply_row(OwnerRow(1, "other", "10.0.0.2", 7000, "n"), 1)
    owner.apply_heartbeat(PEER, OwnerHeartbeat(1, {}, is_loaded=False))
    assert owner.heartbeat_age_ms() == 0
    assert owner.waiting_job_count("q", 1_000) is None

    owner.apply_heartbeat(PEER, OwnerHeartbeat(1, {"q": 3}))
    assert owner.waiting_job_count("q", 1_000) == 3


def test_heartbeat_of_an_earlier_owner_is_ignored() -> None:
    clock = ManualClock()
    owner = OwnerView(clock)
    owner.apply_row(OwnerRow(2, "other", "10.0.0.2", 7000, "n"), 5)
    owner.apply_heartbeat(PEER, OwnerHeartbeat(1, {"q": 3}))
    assert owner.heartbeat_age_ms() is None


def test_resigned_owner_counts_as_unresponsive_immediately() -> None:
    owner = OwnerView(ManualClock())
    owner.apply_row(OwnerRow(1, "other", "10.0.0.2", 7000, "n"), 1)
    owner.apply_heartbeat(PEER, OwnerHeartbeat(1))
    owner.apply_heartbeat(PEER, OwnerHeartbeat(1, resigned=True))
    assert owner.heartbeat_age_ms() is None


def test_lease_age_restarts_after_a_reset_or_a_new_version() -> None:
    watch = LeaseWatch()
    watch.record_read(7, 1_000)
    assert watch.record_read(7, 2_500) == 1_500
    watch.reset()
    assert watch.record_read(7, 2_600) == 0
    assert watch.record_read(8, 2_700) == 0


def test_store_is_lost_after_failures_until_any_reply() -> None:
    clock = ManualClock()
    health = StoreHealth(clock)
    health.record_outcome(Failure(Fault(ResultCode.STORE_UNAVAILABLE, "")), clock.now_ms())
    assert not health.is_lost
    clock.time_ms += LOST_AFTER_MS
    assert health.is_lost
    health.record_outcome(Failure(Fault(ResultCode.STORE_HISTORY_LOST, "")), clock.now_ms())
    assert not health.is_lost


def test_reply_to_a_long_poll_does_not_clear_the_suspicion_of_later_calls() -> None:
    clock = ManualClock()
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
    assert not health.has_recent_answer  # It accepted the call, but `LOST_AFTER_MS` ago.


def test_slow_store_is_not_asked_before_each_write_while_it_answers() -> None:
    """An answer that took 200 ms never counted as recent: each submission waited for a probe."""
    clock = ManualClock()
    health = StoreHealth(clock)
    sent_ms = clock.now_ms()
    clock.time_ms += 200
    health.record_outcome(Success(None), sent_ms)
    clock.time_ms += RECENT_ANSWER_MS
    assert health.has_recent_answer
    clock.time_ms += 201
    assert not health.has_recent_answer


def test_store_is_probed_before_it_counts_as_lost() -> None:
    clock = ManualClock()
    health = StoreHealth(clock)
    health.record_outcome(Failure(Fault(ResultCode.STORE_UNAVAILABLE, "reset")), clock.now_ms())
    assert not health.needs_probe
    clock.time_ms += PROBE_AFTER_MS
    assert health.needs_probe
    assert not health.is_lost


def make_suspect_store(
    clock: ManualClock, key: str = PROBE_KEYS[0]
) -> tuple[CountingStore, MonitoredStore]:
    """Makes a store whose last read of an intake row has failed."""
    inner = CountingStore()
    store = MonitoredStore(inner, clock)
    inner.read_faults = [ResultCode.STORE_UNAVAILABLE]
    asyncio.run(store.read(INTAKE_TABLE, 100, key))
    return inner, store


def test_store_is_probed_only_if_its_last_reply_is_stale() -> None:
    clock = ManualClock()
    inner = CountingStore()
    store = MonitoredStore(inner, clock)

    assert asyncio.run(store.is_answering(JOB_KEY, 500))
    assert asyncio.run(store.is_answering(JOB_KEY, 500))
    assert inner.full_reads == 1

    clock.time_ms += RECENT_ANSWER_MS + 1
    inner.read_faults = [ResultCode.STORE_UNAVAILABLE]
    assert not asyncio.run(store.is_answering(JOB_KEY, 500))
    clock.time_ms += LOST_AFTER_MS
    assert store.is_lost(JOB_KEY)
    assert not asyncio.run(store.is_answering(JOB_KEY, 500))
    assert inner.full_reads == 2


def test_process_that_is_cut_off_from_the_store_knows_it_for_all_groups() -> None:
    clock = ManualClock()
    inner, store = make_suspect_store(clock, JOB_KEY)
    clock.time_ms += LOST_AFTER_MS
    assert all(store.is_lost(key) for key in PROBE_KEYS)
    assert store.is_intake_lost

    asyncio.run(store.probe_suspect_groups())
    assert not any(store.is_lost(key) for key in PROBE_KEYS)


def test_process_that_is_cut_off_is_probed_until_the_store_answers() -> None:
    clock = ManualClock()
    inner = CountingStore()
    store = MonitoredStore(inner, clock)
    inner.change_faults = [ResultCode.STORE_UNAVAILABLE]
    asyncio.run(store.changes("operator", 0, 100))
    clock.time_ms += LOST_AFTER_MS
    assert store.is_lost(JOB_KEY)
    asyncio.run(store.probe_suspect_groups())
    assert inner.full_reads == 1
    assert not store.is_lost(JOB_KEY)


def make_silent_store(clock: ManualClock) -> MonitoredStore:
    """Makes a store that leaves all probes unanswered."""
    inner = CountingStore()
    inner.read_faults = [ResultCode.STORE_UNAVAILABLE] * 20
    return MonitoredStore(inner, clock)


def test_store_that_is_silent_for_the_owner_too_is_lost_soon() -> None:
    clock = ManualClock()
    store = make_silent_store(clock)
    store.record_owner_silence(LOST_AFTER_MS)
    asyncio.run(store.probe_suspect_groups())
    clock.time_ms += PROBE_AFTER_MS
    assert all(store.is_lost(key) for key in PROBE_KEYS)
    assert not asyncio.run(store.is_answering(JOB_KEY, 500))


def test_owner_that_is_cut_off_alone_does_not_make_others_refuse() -> None:
    clock = ManualClock()
    store = MonitoredStore(CountingStore(), clock)
    store.record_owner_silence(LOST_AFTER_MS)
    asyncio.run(store.probe_suspect_groups())
    clock.time_ms += PROBE_AFTER_MS
    assert not any(store.is_lost(key) for key in PROBE_KEYS)
    assert asyncio.run(store.is_answering(JOB_KEY, 500))


def test_old_report_of_the_owner_proves_nothing() -> None:
    clock = ManualClock()
    store = make_silent_store(clock)
    store.record_owner_silence(LOST_AFTER_MS)
    asyncio.run(store.probe_suspect_groups())
    clock.time_ms += LOST_AFTER_MS - 1
    assert not store.is_lost(JOB_KEY)


def test_store_that_answers_the_owner_again_is_not_lost() -> None:
    clock = ManualClock()
    store = make_silent_store(clock)
    store.record_owner_silence(LOST_AFTER_MS)
    asyncio.run(store.probe_suspect_groups())
    clock.time_ms += PROBE_AFTER_MS
    store.record_owner_silence(0)
    assert not store.is_lost(JOB_KEY)


def test_replies_for_other_rows_leave_a_group_lost() -> None:
    clock = ManualClock()
    _, store = make_suspect_store(clock, JOB_KEY)
    clock.time_ms += LOST_AFTER_MS

    asyncio.run(store.read("executors", 100))
    asyncio.run(store.read(INTAKE_TABLE, 100, OTHER_KEY))

    assert store.is_lost(JOB_KEY)
    assert not store.is_lost(OTHER_KEY)
    assert not asyncio.run(store.is_answering(JOB_KEY, 500))


def test_lost_group_is_probed_until_it_replies() -> None:
    clock = ManualClock()
    inner, store = make_suspect_store(clock, JOB_KEY)
    clock.time_ms += LOST_AFTER_MS
    inner.read_faults = [ResultCode.STORE_UNAVAILABLE]
    asyncio.run(store.probe_suspect_groups())
    assert store.is_lost(JOB_KEY)

    asyncio.run(store.probe_suspect_groups())
    assert not store.is_lost(JOB_KEY)


def test_all_suspect_groups_are_probed_once_one_replies() -> None:
    clock = ManualClock()
    inner, store = make_suspect_store(clock, JOB_KEY)
    inner.read_faults = [ResultCode.STORE_UNAVAILABLE]
    asyncio.run(store.read(INTAKE_TABLE, 100, OTHER_KEY))
    clock.time_ms += LOST_AFTER_MS

    asyncio.run(store.probe_suspect_groups())

    assert not store.is_lost(JOB_KEY)
    assert not store.is_lost(OTHER_KEY)


def test_failed_read_of_another_table_triggers_a_probe_of_the_intake() -> None:
    clock = ManualClock()
    inner = CountingStore()
    store = MonitoredStore(inner, clock)
    inner.read_faults = [ResultCode.STORE_UNAVAILABLE, ResultCode.STORE_UNAVAILABLE]
    asyncio.run(store.read("executors", 100))
    asyncio.run(store.probe_suspect_groups())
    assert inner.full_reads == 1

    clock.time_ms += PROBE_AFTER_MS
    asyncio.run(store.probe_suspect_groups())
    assert inner.full_reads == 2

    clock.time_ms += LOST_AFTER_MS
    assert store.is_intake_lost


def test_rows_of_a_job_share_a_group_and_jobs_use_all_groups() -> None:
    ids = [f"{index:016x}" for index in range(200)]
    groups = {transaction_group(INTAKE_TABLE, JOB_PREFIX + job_id) for job_id in ids}
    assert groups == set(INTAKE_GROUPS)
    for job_id in ids:
        names = {transaction_group(INTAKE_TABLE, prefix + job_id) for prefix in KEY_PREFIXES}
        assert len(names) == 1
