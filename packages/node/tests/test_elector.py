"""Tests of the elector: when a node takes, keeps, hands over and loses ownership."""

from __future__ import annotations

import asyncio
from typing import Any, cast

from elector_harness import (
    EarlyFeedStore,
    ElectorHarness,
    FakeOwnership,
    SlowStore,
    put_other_owner,
    run_scenario,
)
from node_fakes import MemoryStore

from jacinthreel_common import Hello, OwnerHeartbeat, ResultCode
from jacinthreel_node import Row
from jacinthreel_node._election import HEARTBEAT_TIMEOUT_MS, LEASE_TIMEOUT_MS, MAX_FRESH_READ_MS
from jacinthreel_node._former_leases import OUTAGE_RENEWAL_LIMIT_MS
from jacinthreel_node._records import (
    LEASE_TABLE,
    OWNER_KEY,
    OWNER_TABLE,
    OwnerRow,
    decode_lease,
    encode_record,
)


def test_first_node_becomes_the_owner() -> None:
    async def scenario() -> None:
        harness = ElectorHarness()
        await harness.read_owner()
        await harness.check_owner()
        assert harness.elector.ownership is not None
        assert harness.elector.ownership.epoch == 1

    run_scenario(scenario)


def test_unreadable_owner_row_is_replaced_under_a_higher_epoch() -> None:
    # The takeover expected no row, and so conflicted with the unreadable one for ever.
    async def scenario() -> None:
        harness = ElectorHarness()
        for epoch in range(1, 4):
            put_other_owner(harness.store, epoch)
        harness.store.version += 1
        unreadable = Row(OWNER_TABLE, OWNER_KEY, b"\x91" * 3_000, harness.store.version)
        harness.store.rows[(OWNER_TABLE, OWNER_KEY)] = unreadable
        await harness.read_owner()
        await harness.check_owner()
        assert harness.elector.ownership is not None
        assert harness.elector.ownership.epoch > 3

    run_scenario(scenario)


def deliver_heartbeat(harness: ElectorHarness) -> None:
    """Delivers a heartbeat of an owner that has just renewed its lease."""
    heartbeat = OwnerHeartbeat(1, {}, lease_age_ms=0, policy_version=1, is_loaded=True)
    harness.owner.apply_heartbeat(Hello("other", "node", "z"), heartbeat)


def test_lease_is_watched_immediately_after_the_owner_stream_closes() -> None:
    async def scenario() -> None:
        harness = ElectorHarness()
        put_other_owner(harness.store)
        await harness.read_owner()
        deliver_heartbeat(harness)
        await harness.check_owner()
        assert harness.elector.is_owner_reachable()

        harness.hub.is_stream_open = False
        await harness.check_owner(100)
        await harness.check_owner(LEASE_TIMEOUT_MS)
        assert harness.elector.ownership is not None

    run_scenario(scenario)


def deliver_renewal_heartbeat(harness: ElectorHarness, count: int, age_ms: int) -> None:
    """Delivers a heartbeat naming renewal number `count`, made `age_ms` ago."""
    heartbeat = OwnerHeartbeat(1, {}, lease_age_ms=age_ms, lease_count=count)
    harness.owner.apply_heartbeat(Hello("other", "node", "z"), heartbeat)


def test_lease_age_counts_from_the_renewal_named_in_the_last_heartbeat() -> None:
    async def scenario() -> None:
        harness = ElectorHarness()
        put_other_owner(harness.store)
        await harness.read_owner()
        deliver_renewal_heartbeat(harness, count=1, age_ms=400)
        await harness.check_owner(HEARTBEAT_TIMEOUT_MS)
        assert harness.elector.ownership is None
        await harness.check_owner(LEASE_TIMEOUT_MS - HEARTBEAT_TIMEOUT_MS - 400)
        assert harness.elector.ownership is not None

    run_scenario(scenario)


def test_lease_age_counts_from_the_first_read_if_renewed_after_the_last_heartbeat() -> None:
    async def scenario() -> None:
        harness = ElectorHarness()
        put_other_owner(harness.store)
        await harness.read_owner()
        deliver_renewal_heartbeat(harness, count=0, age_ms=400)
        await harness.check_owner(HEARTBEAT_TIMEOUT_MS)
        await harness.check_owner(LEASE_TIMEOUT_MS - 1)
        assert harness.elector.ownership is None
        await harness.check_owner(1)
        assert harness.elector.ownership is not None

    run_scenario(scenario)


def test_lease_age_ignores_renewals_before_a_store_outage() -> None:
    async def scenario() -> None:
        harness = ElectorHarness()
        put_other_owner(harness.store)
        await harness.read_owner()
        deliver_renewal_heartbeat(harness, count=1, age_ms=5_000)
        harness.store.read_faults = [ResultCode.STORE_UNAVAILABLE]
        await harness.check_owner()
        await harness.check_owner(LEASE_TIMEOUT_MS - 1)
        assert harness.elector.ownership is None
        await harness.check_owner(1)
        assert harness.elector.ownership is not None

    run_scenario(scenario)


def test_lease_age_ignores_renewals_before_a_slow_store_read() -> None:
    async def scenario() -> None:
        store = SlowStore()
        harness = ElectorHarness(store)
        put_other_owner(store)
        await harness.read_owner()
        deliver_renewal_heartbeat(harness, count=1, age_ms=5_000)
        store.on_read = lambda: harness.clock.advance(MAX_FRESH_READ_MS + 1)
        await harness.check_owner()
        assert harness.elector.ownership is None

    run_scenario(scenario)


def test_lease_expires_after_its_full_duration_with_slow_store_reads() -> None:
    async def scenario() -> None:
        store = SlowStore()
        harness = ElectorHarness(store)
        put_other_owner(store)
        await harness.read_owner()
        store.on_read = lambda: harness.clock.advance(MAX_FRESH_READ_MS + 100)
        for _ in range(1 + LEASE_TIMEOUT_MS // (MAX_FRESH_READ_MS + 100)):
            await harness.check_owner()
            assert harness.elector.ownership is None
        await harness.check_owner()
        assert harness.elector.ownership is not None

    run_scenario(scenario)


def test_takeover_logs_how_long_the_former_owner_was_unresponsive() -> None:
    async def scenario() -> None:
        harness = ElectorHarness()
        put_other_owner(harness.store)
        await harness.read_owner()
        deliver_heartbeat(harness)
        await harness.check_owner(LEASE_TIMEOUT_MS)
        await harness.check_owner(LEASE_TIMEOUT_MS)
        fields = harness.log.decisions["took_over"]
        assert fields["former_owner"] == "other"
        assert fields["former_owner_silent_ms"] == 2 * LEASE_TIMEOUT_MS

    run_scenario(scenario)


def test_unresponsive_owner_is_replaced_only_after_its_lease_expires() -> None:
    async def scenario() -> None:
        harness = ElectorHarness()
        put_other_owner(harness.store)
        await harness.read_owner()
        await harness.check_owner()
        await harness.check_owner(LEASE_TIMEOUT_MS - 100)
        assert harness.elector.ownership is None
        await harness.check_owner(200)
        assert harness.elector.ownership is not None
        assert harness.elector.ownership.epoch == 2
        assert harness.former_owner().has_stopped is False

    run_scenario(scenario)


def test_store_outage_causes_no_takeover() -> None:
    async def scenario() -> None:
        harness = ElectorHarness()
        put_other_owner(harness.store)
        await harness.read_owner()
        await harness.check_owner()
        harness.store.read_faults = [ResultCode.STORE_UNAVAILABLE]
        await harness.check_owner(LEASE_TIMEOUT_MS)
        await harness.check_owner(100)
        assert harness.elector.ownership is None

    run_scenario(scenario)


def test_owner_with_heartbeats_and_renewals_keeps_ownership() -> None:
    async def scenario() -> None:
        harness = ElectorHarness()
        put_other_owner(harness.store)
        await harness.read_owner()
        for _ in range(10):
            harness.owner.apply_heartbeat(Hello("other", "node", "z"), OwnerHeartbeat(1))
            await harness.check_owner(500)
        assert harness.elector.ownership is None

    run_scenario(scenario)


def test_owner_that_reports_an_overdue_lease_is_replaced() -> None:
    async def scenario() -> None:
        harness = ElectorHarness()
        put_other_owner(harness.store)
        await harness.read_owner()
        for _ in range(4):
            overdue = OwnerHeartbeat(1, lease_age_ms=5_000)
            harness.owner.apply_heartbeat(Hello("other", "node", "z"), overdue)
            await harness.check_owner(300)
        assert harness.elector.ownership is not None

    run_scenario(scenario)


def test_resigned_owner_is_replaced_immediately() -> None:
    async def scenario() -> None:
        harness = ElectorHarness()
        put_other_owner(harness.store, resigned=True)
        await harness.read_owner()
        await harness.check_owner()
        assert harness.elector.ownership is not None
        assert harness.former_owner().has_stopped

    run_scenario(scenario)


def test_no_takeover_if_another_node_replaced_the_resigned_owner_first() -> None:
    async def scenario() -> None:
        store = SlowStore()
        harness = ElectorHarness(store)
        put_other_owner(store, resigned=True)
        await harness.read_owner()
        newer = _make_owner_row(store, "third")
        store.rows[(OWNER_TABLE, OWNER_KEY)] = newer
        store.on_read = lambda: harness.elector.apply_rows((newer,))
        await harness.check_owner()
        assert harness.elector.ownership is None
        assert harness.owner.row is not None
        assert harness.owner.row.host_id == "third"

    run_scenario(scenario)


def test_owner_row_of_an_earlier_incarnation_is_replaced_immediately() -> None:
    async def scenario() -> None:
        harness = ElectorHarness(host_id="other")
        put_other_owner(harness.store, epoch=4)
        await harness.read_owner()
        await harness.check_owner()
        assert harness.elector.ownership is not None
        assert harness.elector.ownership.epoch == 5

    run_scenario(scenario)


def test_takeover_with_a_stale_row_fails_and_adopts_the_newer_owner() -> None:
    async def scenario() -> None:
        harness = ElectorHarness(host_id="other")
        put_other_owner(harness.store, epoch=4)
        await harness.read_owner()
        put_other_owner(harness.store, epoch=7)
        harness.store.rows[(OWNER_TABLE, OWNER_KEY)] = _make_owner_row(harness.store, "third")
        await harness.check_owner()
        assert harness.elector.ownership is None
        assert harness.owner.row is not None
        assert harness.owner.row.host_id == "third"

    run_scenario(scenario)


def test_owner_that_cannot_renew_its_lease_for_too_long_stops() -> None:
    async def scenario() -> None:
        harness = ElectorHarness()
        await harness.read_owner()
        await harness.check_owner()
        ownership = harness.elector.ownership
        harness.store.faults = [ResultCode.STORE_UNAVAILABLE] * 5
        harness.clock.time_ms += OUTAGE_RENEWAL_LIMIT_MS + 1
        harness.elector.renew_lease()
        assert harness.elector.ownership is None
        assert cast(FakeOwnership, ownership).is_stopped

    run_scenario(scenario)


def test_stopping_owner_records_its_resignation() -> None:
    async def scenario() -> None:
        first = ElectorHarness(host_id="first")
        await first.read_owner()
        await first.check_owner()
        await first.elector.resign()
        second = ElectorHarness(first.store, host_id="second")
        await second.read_owner()
        await second.check_owner()
        assert second.elector.ownership is not None
        assert second.former_owner().has_stopped

    run_scenario(scenario)


def _make_owner_row(store: MemoryStore, host_id: str) -> Any:
    owner = OwnerRow(7, host_id, "10.0.0.3", 7000, "m")
    store.version += 1
    return Row(OWNER_TABLE, OWNER_KEY, encode_record(owner), store.version)


def test_lease_is_unusable_after_a_pause_before_any_timer_has_run() -> None:
    async def scenario() -> None:
        harness = ElectorHarness()
        await harness.read_owner()
        await harness.check_owner()
        assert harness.elector.is_lease_usable
        harness.clock.time_ms += OUTAGE_RENEWAL_LIMIT_MS + 1
        assert harness.elector.ownership is not None
        assert not harness.elector.is_lease_usable

    run_scenario(scenario)


def test_renewals_alone_do_not_keep_an_owner_that_cannot_read_the_owner_row() -> None:
    # The lease row says nothing about a takeover, and the next owner counts from its takeover.
    async def scenario() -> None:
        harness = ElectorHarness()
        await harness.read_owner()
        await harness.check_owner()
        for _ in range(OUTAGE_RENEWAL_LIMIT_MS // 1_000):
            harness.store.read_faults = [ResultCode.STORE_UNAVAILABLE]
            harness.elector.renew_lease()
            await harness.check_owner(1_000)
            assert harness.elector.lease_age_ms <= 1_000
        assert harness.elector.is_lease_usable
        harness.clock.time_ms += 1
        assert not harness.elector.is_lease_usable

    run_scenario(scenario)


def test_owner_that_still_renews_learns_of_its_successor_with_the_next_renewal() -> None:
    async def scenario() -> None:
        harness = ElectorHarness()
        await harness.read_owner()
        await harness.check_owner()
        newer = _make_owner_row(harness.store, "third")
        harness.store.rows[(OWNER_TABLE, OWNER_KEY)] = newer
        harness.elector.renew_lease()
        await harness.check_owner()
        assert harness.elector.ownership is None

    run_scenario(scenario)


def test_takeover_counts_from_its_commit_if_the_process_was_paused_before_the_reply() -> None:
    # Another node may have taken over during the pause, and allows for 12 s of renewals only.
    async def scenario() -> None:
        store = EarlyFeedStore()
        harness = ElectorHarness(store)

        def pause(row: Row) -> None:
            harness.clock.time_ms += OUTAGE_RENEWAL_LIMIT_MS + 1

        store.feed = pause
        await harness.read_owner()
        await harness.check_owner()
        assert not harness.elector.is_lease_usable
        harness.elector.renew_lease()
        assert harness.elector.ownership is None

    run_scenario(scenario)


def test_renewal_on_its_way_does_not_undo_a_resignation() -> None:
    # The next owner would wait for the lease to expire, and for all that a living owner may grant.
    async def scenario() -> None:
        store = SlowStore()
        harness = ElectorHarness(store)
        await harness.read_owner()
        await harness.check_owner()
        store.commit_delays_s = [0.02]
        harness.elector.renew_lease()
        await asyncio.sleep(0)
        await harness.elector.resign()
        await asyncio.gather(*harness.tasks)
        lease = decode_lease(store.rows[(LEASE_TABLE, "me")].value or b"")
        assert lease is not None
        assert lease.is_resigned

    run_scenario(scenario)
