"""Standing for the ownership: when it is taken, kept, handed over and lost."""

from __future__ import annotations

from typing import Any, cast

from elector_stand import EmptyOwnership, SlowStore, Stand, other_owner, play
from node_fakes import MemoryStore

from jacinthreel_common import Hello, OwnerHeartbeat, ResultCode
from jacinthreel_node import Row
from jacinthreel_node._election import HEARTBEAT_TIMEOUT_MS, LEASE_TIMEOUT_MS, MAX_FRESH_READ_MS
from jacinthreel_node._ownership import OUTAGE_RENEWAL_LIMIT_MS
from jacinthreel_node._records import OWNER_KEY, OWNER_TABLE, OwnerRow, encode_record


def test_first_node_takes_the_jobs() -> None:
    async def scenario() -> None:
        stand = Stand()
        await stand.read_owner()
        await stand.check_owner()
        assert stand.elector.ownership is not None
        assert stand.elector.ownership.epoch == 1

    play(scenario)


def heard(stand: Stand) -> None:
    """The owner has just been heard."""
    heartbeat = OwnerHeartbeat(1, {}, lease_age_ms=0, policy_version=1, is_loaded=True)
    stand.owner.apply_heartbeat(Hello("other", "node", "z"), heartbeat)


def test_lease_of_an_owner_whose_stream_has_ended_is_watched_at_once() -> None:
    async def scenario() -> None:
        stand = Stand()
        other_owner(stand.store)
        await stand.read_owner()
        heard(stand)
        await stand.check_owner()
        assert stand.elector.is_owner_reachable()

        stand.hub.stands = False
        await stand.check_owner(100)
        await stand.check_owner(LEASE_TIMEOUT_MS)
        assert stand.elector.ownership is not None

    play(scenario)


def heard_of_renewal(stand: Stand, count: int, age_ms: int) -> None:
    """The owner has just been heard, and has renewed its lease some time ago."""
    heartbeat = OwnerHeartbeat(1, {}, lease_age_ms=age_ms, lease_count=count)
    stand.owner.apply_heartbeat(Hello("other", "node", "z"), heartbeat)


def test_lease_that_still_shows_the_renewal_heard_of_counts_from_that_renewal() -> None:
    async def scenario() -> None:
        stand = Stand()
        other_owner(stand.store)
        await stand.read_owner()
        heard_of_renewal(stand, count=1, age_ms=400)
        await stand.check_owner(HEARTBEAT_TIMEOUT_MS)
        assert stand.elector.ownership is None
        await stand.check_owner(LEASE_TIMEOUT_MS - HEARTBEAT_TIMEOUT_MS - 400)
        assert stand.elector.ownership is not None

    play(scenario)


def test_lease_that_was_renewed_since_counts_from_the_first_look() -> None:
    async def scenario() -> None:
        stand = Stand()
        other_owner(stand.store)
        await stand.read_owner()
        heard_of_renewal(stand, count=0, age_ms=400)
        await stand.check_owner(HEARTBEAT_TIMEOUT_MS)
        await stand.check_owner(LEASE_TIMEOUT_MS - 1)
        assert stand.elector.ownership is None
        await stand.check_owner(1)
        assert stand.elector.ownership is not None

    play(scenario)


def test_renewal_from_before_an_outage_of_the_store_does_not_count() -> None:
    async def scenario() -> None:
        stand = Stand()
        other_owner(stand.store)
        await stand.read_owner()
        heard_of_renewal(stand, count=1, age_ms=5_000)
        stand.store.read_faults = [ResultCode.STORE_UNAVAILABLE]
        await stand.check_owner()
        await stand.check_owner(LEASE_TIMEOUT_MS - 1)
        assert stand.elector.ownership is None
        await stand.check_owner(1)
        assert stand.elector.ownership is not None

    play(scenario)


def test_answer_of_the_store_that_took_long_shows_nothing_of_before() -> None:
    async def scenario() -> None:
        store = SlowStore()
        stand = Stand(store)
        other_owner(store)
        await stand.read_owner()
        heard_of_renewal(stand, count=1, age_ms=5_000)
        store.on_read = lambda: stand.clock.advance(MAX_FRESH_READ_MS + 1)
        await stand.check_owner()
        assert stand.elector.ownership is None

    play(scenario)


def test_slow_store_still_shows_that_a_lease_stands() -> None:
    async def scenario() -> None:
        store = SlowStore()
        stand = Stand(store)
        other_owner(store)
        await stand.read_owner()
        store.on_read = lambda: stand.clock.advance(MAX_FRESH_READ_MS + 100)
        for _ in range(1 + LEASE_TIMEOUT_MS // (MAX_FRESH_READ_MS + 100)):
            await stand.check_owner()
            assert stand.elector.ownership is None
        await stand.check_owner()
        assert stand.elector.ownership is not None

    play(scenario)


def test_takeover_says_how_long_the_former_owner_was_silent() -> None:
    async def scenario() -> None:
        stand = Stand()
        other_owner(stand.store)
        await stand.read_owner()
        heard(stand)
        await stand.check_owner(LEASE_TIMEOUT_MS)
        await stand.check_owner(LEASE_TIMEOUT_MS)
        taken = stand.log.decisions["took_over"]
        assert taken["former_owner"] == "other"
        assert taken["former_owner_silent_ms"] == 2 * LEASE_TIMEOUT_MS

    play(scenario)


def test_silent_owner_is_followed_only_after_its_lease() -> None:
    async def scenario() -> None:
        stand = Stand()
        other_owner(stand.store)
        await stand.read_owner()
        await stand.check_owner()
        await stand.check_owner(LEASE_TIMEOUT_MS - 100)
        assert stand.elector.ownership is None
        await stand.check_owner(200)
        assert stand.elector.ownership is not None
        assert stand.elector.ownership.epoch == 2
        assert stand.gone == [False]

    play(scenario)


def test_outage_of_the_store_moves_nothing() -> None:
    async def scenario() -> None:
        stand = Stand()
        other_owner(stand.store)
        await stand.read_owner()
        await stand.check_owner()
        stand.store.read_faults = [ResultCode.STORE_UNAVAILABLE]
        await stand.check_owner(LEASE_TIMEOUT_MS)
        await stand.check_owner(100)
        assert stand.elector.ownership is None

    play(scenario)


def test_owner_that_is_heard_and_renews_keeps_the_jobs() -> None:
    async def scenario() -> None:
        stand = Stand()
        other_owner(stand.store)
        await stand.read_owner()
        for _ in range(10):
            stand.owner.apply_heartbeat(Hello("other", "node", "z"), OwnerHeartbeat(1))
            await stand.check_owner(500)
        assert stand.elector.ownership is None

    play(scenario)


def test_owner_that_says_its_lease_is_overdue_is_followed() -> None:
    async def scenario() -> None:
        stand = Stand()
        other_owner(stand.store)
        await stand.read_owner()
        for _ in range(4):
            overdue = OwnerHeartbeat(1, lease_age_ms=5_000)
            stand.owner.apply_heartbeat(Hello("other", "node", "z"), overdue)
            await stand.check_owner(300)
        assert stand.elector.ownership is not None

    play(scenario)


def test_resigned_owner_is_followed_at_once() -> None:
    async def scenario() -> None:
        stand = Stand()
        other_owner(stand.store, resigned=True)
        await stand.read_owner()
        await stand.check_owner()
        assert stand.elector.ownership is not None
        assert stand.gone == [True]

    play(scenario)


def test_owner_that_follows_a_resigned_one_meanwhile_is_left_alone() -> None:
    async def scenario() -> None:
        store = SlowStore()
        stand = Stand(store)
        other_owner(store, resigned=True)
        await stand.read_owner()
        newer = _renamed(store, "third")
        store.rows[(OWNER_TABLE, OWNER_KEY)] = newer
        store.on_read = lambda: stand.elector.apply_rows((newer,))
        await stand.check_owner()
        assert stand.elector.ownership is None
        assert stand.owner.row is not None
        assert stand.owner.row.host_id == "third"

    play(scenario)


def test_own_earlier_life_is_followed_at_once() -> None:
    async def scenario() -> None:
        stand = Stand(host_id="other")
        other_owner(stand.store, epoch=4)
        await stand.read_owner()
        await stand.check_owner()
        assert stand.elector.ownership is not None
        assert stand.elector.ownership.epoch == 5

    play(scenario)


def test_takeover_with_an_outdated_row_finds_the_newer_owner() -> None:
    async def scenario() -> None:
        stand = Stand(host_id="other")
        other_owner(stand.store, epoch=4)
        await stand.read_owner()
        other_owner(stand.store, epoch=7)
        stand.store.rows[(OWNER_TABLE, OWNER_KEY)] = _renamed(stand.store, "third")
        await stand.check_owner()
        assert stand.elector.ownership is None
        assert stand.owner.row is not None
        assert stand.owner.row.host_id == "third"

    play(scenario)


def test_owner_without_its_lease_for_too_long_gives_up() -> None:
    async def scenario() -> None:
        stand = Stand()
        await stand.read_owner()
        await stand.check_owner()
        own = stand.elector.ownership
        stand.store.faults = [ResultCode.STORE_UNAVAILABLE] * 5
        stand.clock.time_ms += OUTAGE_RENEWAL_LIMIT_MS + 1
        stand.elector.renew_lease()
        assert stand.elector.ownership is None
        assert cast(EmptyOwnership, own).is_stopped

    play(scenario)


def test_stopping_owner_leaves_word_that_it_has_resigned() -> None:
    async def scenario() -> None:
        first = Stand(host_id="first")
        await first.read_owner()
        await first.check_owner()
        await first.elector.resign()
        second = Stand(first.store, host_id="second")
        await second.read_owner()
        await second.check_owner()
        assert second.elector.ownership is not None
        assert second.gone == [True]

    play(scenario)


def _renamed(store: MemoryStore, host_id: str) -> Any:
    owner = OwnerRow(7, host_id, "10.0.0.3", 7000, "m")
    store.version += 1
    return Row(OWNER_TABLE, OWNER_KEY, encode_record(owner), store.version)
