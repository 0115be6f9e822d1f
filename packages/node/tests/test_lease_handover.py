"""Tests of the lease handover: a new owner queries the leases that the former owner granted."""

from __future__ import annotations

from typing import cast

from elector_harness import (
    REMAINING_LEASES,
    TASK_LEASE_MS,
    EarlyFeedStore,
    ElectorHarness,
    FakeOwnership,
    put_other_owner,
    run_scenario,
)
from returns.result import Failure, Success

from jacinthreel_common import (
    Fault,
    LeaseQuery,
    LeasesLeft,
    OwnerAnnouncement,
    ResultCode,
    StreamReply,
    convert,
    to_plain,
)
from jacinthreel_node._election import LEASE_TIMEOUT_MS
from jacinthreel_node._records import OWNER_KEY, OWNER_TABLE


def test_lease_query_is_repeated_until_the_former_owner_answers() -> None:
    async def scenario() -> None:
        harness = ElectorHarness()
        put_other_owner(harness.store, epoch=4)
        await harness.read_owner()
        harness.hub.replies = [
            Failure(Fault(ResultCode.PEER_UNREACHABLE, "no answer")),
            Success(StreamReply(ResultCode.OK, body=to_plain(REMAINING_LEASES))),
        ]
        await harness.check_owner()
        await harness.check_owner(LEASE_TIMEOUT_MS)
        assert harness.hub.queries == [LeaseQuery(4, 5)] * 2
        ownership = harness.elector.ownership
        assert ownership is not None
        now_ms = harness.clock.now_ms()
        ends = {key: ownership.former_leases.end_ms(key) - now_ms for key in ("e1", "e2", "e3")}
        assert ends == {"e1": 3_000, "e2": 400, "e3": 9_000}

    run_scenario(scenario)


def test_former_owner_is_queried_if_the_feed_shows_the_new_row_before_the_commit_reply() -> None:
    async def scenario() -> None:
        store = EarlyFeedStore()
        harness = ElectorHarness(store)
        store.feed = lambda row: harness.elector.apply_rows((row,))
        put_other_owner(store, epoch=4)
        await harness.read_owner()
        await harness.check_owner()
        await harness.check_owner(LEASE_TIMEOUT_MS)
        assert harness.hub.queries == [LeaseQuery(4, 5)]
        assert harness.log.decisions["took_over"]["former_owner"] == "other"

    run_scenario(scenario)


ANNOUNCEMENT = OwnerAnnouncement(7, "new", "10.0.0.3", 7000, "m", row_version=50)


def test_new_owner_announces_its_row_to_the_former_owner() -> None:
    async def scenario() -> None:
        harness = ElectorHarness()
        put_other_owner(harness.store, epoch=4)
        await harness.read_owner()
        await harness.check_owner()
        await harness.check_owner(LEASE_TIMEOUT_MS)
        [(address, announcement)] = harness.hub.notices
        assert address == ("10.0.0.2", 7000)
        assert isinstance(announcement, OwnerAnnouncement)
        assert (announcement.epoch, announcement.host_id) == (5, "me")
        assert announcement.row_version == harness.store.rows[(OWNER_TABLE, OWNER_KEY)].version

    run_scenario(scenario)


def test_host_that_the_store_rejects_learns_the_new_owner_from_a_peer() -> None:
    async def scenario() -> None:
        harness = ElectorHarness()
        put_other_owner(harness.store)
        await harness.read_owner()
        harness.elector.apply_announcement(ANNOUNCEMENT)
        assert harness.owner.row is not None
        assert harness.owner.row.host_id == "new"
        assert harness.owner.row_version == 50

    run_scenario(scenario)


def test_former_owner_passes_an_announcement_on_once_even_if_it_knows_the_row() -> None:
    async def scenario() -> None:
        harness = ElectorHarness()
        harness.elector.apply_announcement(ANNOUNCEMENT)
        harness.elector.apply_announcement(ANNOUNCEMENT)
        assert harness.hub.broadcasts == [ANNOUNCEMENT]

    run_scenario(scenario)


def test_former_owner_that_learns_of_its_successor_does_not_take_over_again() -> None:
    async def scenario() -> None:
        harness = ElectorHarness()
        await harness.read_owner()
        await harness.check_owner()
        harness.elector.serve_lease_query(LeaseQuery(1, 7))
        harness.elector.apply_announcement(ANNOUNCEMENT)
        commits = harness.store.commits
        await harness.check_owner()
        assert harness.elector.ownership is None
        assert harness.store.commits == commits

    run_scenario(scenario)


def test_announcement_of_an_older_row_changes_nothing() -> None:
    async def scenario() -> None:
        harness = ElectorHarness()
        harness.store.version = 60
        put_other_owner(harness.store, epoch=8)
        await harness.read_owner()
        harness.elector.apply_announcement(ANNOUNCEMENT)
        assert harness.owner.row is not None
        assert harness.owner.row.host_id == "other"

    run_scenario(scenario)


def test_owner_stops_before_it_answers_a_lease_query() -> None:
    async def scenario() -> None:
        harness = ElectorHarness()
        await harness.read_owner()
        await harness.check_owner()
        ownership = harness.elector.ownership
        reply = harness.elector.serve_lease_query(LeaseQuery(1, 2))
        assert harness.elector.ownership is None
        assert cast(FakeOwnership, ownership).is_stopped
        assert convert(LeasesLeft, reply.body).unwrap() == REMAINING_LEASES
        harness.clock.time_ms += 1_000
        later = harness.elector.serve_lease_query(LeaseQuery(1, 2))
        assert convert(LeasesLeft, later.body).unwrap() == LeasesLeft(
            {"e1": 2_000, "e2": 0}, 8_000, True
        )

    run_scenario(scenario)


def test_process_that_never_was_the_owner_answers_with_the_longest_possible_lease() -> None:
    # The former owner was an earlier incarnation here; the leases it granted may still be valid.
    harness = ElectorHarness()
    reply = harness.elector.serve_lease_query(LeaseQuery(1, 2))
    leases = convert(LeasesLeft, reply.body).unwrap()
    assert not leases.left_ms_by_executor
    assert not leases.covers_earlier_owners
    assert TASK_LEASE_MS < leases.others_ms < 2 * TASK_LEASE_MS


def test_takeover_is_abandoned_after_a_query_from_a_newer_owner() -> None:
    async def scenario() -> None:
        harness = ElectorHarness()
        await harness.read_owner()
        harness.elector.serve_lease_query(LeaseQuery(1, 2))
        await harness.check_owner()
        assert harness.elector.ownership is None

    run_scenario(scenario)


def test_lease_query_with_a_stale_epoch_is_refused() -> None:
    async def scenario() -> None:
        harness = ElectorHarness()
        await harness.read_owner()
        await harness.check_owner()
        reply = harness.elector.serve_lease_query(LeaseQuery(0, 1))
        assert reply.code is ResultCode.STALE_EPOCH
        assert harness.elector.ownership is not None

    run_scenario(scenario)
