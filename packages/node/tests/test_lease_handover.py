"""What a new owner learns of the leases that the former one gave."""

from __future__ import annotations

from typing import cast

from elector_stand import LEFT, TASK_LEASE_MS, EmptyOwnership, FedStore, Stand, other_owner, play
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


def test_former_owner_is_asked_for_its_leases_until_it_answers() -> None:
    async def scenario() -> None:
        stand = Stand()
        other_owner(stand.store, epoch=4)
        await stand.read_owner()
        stand.hub.replies = [
            Failure(Fault(ResultCode.PEER_UNREACHABLE, "no answer")),
            Success(StreamReply(ResultCode.OK, body=to_plain(LEFT))),
        ]
        await stand.check_owner()
        await stand.check_owner(LEASE_TIMEOUT_MS)
        assert stand.hub.queries == [LeaseQuery(4, 5)] * 2
        own = stand.elector.ownership
        assert own is not None
        now_ms = stand.clock.now_ms()
        ends = {key: own.former_leases.end_ms(key) - now_ms for key in ("e1", "e2", "e3")}
        assert ends == {"e1": 3_000, "e2": 400, "e3": 9_000}

    play(scenario)


def test_former_owner_is_known_where_the_own_row_is_read_before_the_commit_is_answered() -> None:
    async def scenario() -> None:
        store = FedStore()
        stand = Stand(store)
        store.feed = lambda row: stand.elector.apply_rows((row,))
        other_owner(store, epoch=4)
        await stand.read_owner()
        await stand.check_owner()
        await stand.check_owner(LEASE_TIMEOUT_MS)
        assert stand.hub.queries == [LeaseQuery(4, 5)]
        assert stand.log.decisions["took_over"]["former_owner"] == "other"

    play(scenario)


def test_owner_gives_the_jobs_up_before_it_tells_of_its_leases() -> None:
    async def scenario() -> None:
        stand = Stand()
        await stand.read_owner()
        await stand.check_owner()
        own = stand.elector.ownership
        reply = stand.elector.serve_lease_query(LeaseQuery(1, 2))
        assert stand.elector.ownership is None
        assert cast(EmptyOwnership, own).is_stopped
        assert convert(LeasesLeft, reply.body).unwrap() == LEFT
        stand.clock.time_ms += 1_000
        later = stand.elector.serve_lease_query(LeaseQuery(1, 2))
        assert convert(LeasesLeft, later.body).unwrap() == LeasesLeft({"e1": 2_000, "e2": 0}, 8_000)

    play(scenario)


def test_process_that_never_owned_the_jobs_says_that_its_earlier_life_has_ended() -> None:
    stand = Stand()
    reply = stand.elector.serve_lease_query(LeaseQuery(1, 2))
    left = convert(LeasesLeft, reply.body).unwrap()
    assert not left.left_ms_by_executor
    assert TASK_LEASE_MS < left.others_ms < 2 * TASK_LEASE_MS


def test_takeover_that_is_answered_after_a_newer_owner_has_asked_owns_nothing() -> None:
    async def scenario() -> None:
        stand = Stand()
        await stand.read_owner()
        stand.elector.serve_lease_query(LeaseQuery(1, 2))
        await stand.check_owner()
        assert stand.elector.ownership is None

    play(scenario)


def test_owner_tells_an_earlier_one_nothing() -> None:
    async def scenario() -> None:
        stand = Stand()
        await stand.read_owner()
        await stand.check_owner()
        reply = stand.elector.serve_lease_query(LeaseQuery(0, 1))
        assert reply.code is ResultCode.STALE_EPOCH
        assert stand.elector.ownership is not None

    play(scenario)
