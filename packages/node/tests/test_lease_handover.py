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
    ResultCode,
    StreamReply,
    convert,
    to_plain,
)
from jacinthreel_node._election import LEASE_TIMEOUT_MS


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
        assert convert(LeasesLeft, later.body).unwrap() == LeasesLeft({"e1": 2_000, "e2": 0}, 8_000)

    run_scenario(scenario)


def test_process_that_never_was_the_owner_answers_with_the_longest_possible_lease() -> None:
    # The former owner was an earlier incarnation here; the leases it granted may still be valid.
    harness = ElectorHarness()
    reply = harness.elector.serve_lease_query(LeaseQuery(1, 2))
    leases = convert(LeasesLeft, reply.body).unwrap()
    assert not leases.left_ms_by_executor
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
