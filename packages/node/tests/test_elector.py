"""Standing for the ownership: when it is taken, kept, handed over and lost."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any, cast

from node_fakes import HandClock, MemoryStore
from returns.result import Failure, Result, Success

from jacinthreel_common import (
    Fault,
    Hello,
    LeaseQuery,
    LeasesLeft,
    OwnerHeartbeat,
    ResultCode,
    StreamReply,
    convert,
    to_plain,
)
from jacinthreel_daemon.plumbing import EventLog, StreamHub
from jacinthreel_node import (
    Committed,
    Conflict,
    NodeSettings,
    Row,
    RowCondition,
    RowWrite,
    Snapshot,
)
from jacinthreel_node._election import (
    LEASE_MS,
    PROMPT_READ_MS,
    SILENCE_MS,
)
from jacinthreel_node._elector import Elector
from jacinthreel_node._former_leases import FormerLeases
from jacinthreel_node._owner_view import OwnerView
from jacinthreel_node._ownership import OUTAGE_RENEWAL_LIMIT_MS, Ownership
from jacinthreel_node._records import (
    LEASE_TABLE,
    OWNER_KEY,
    OWNER_TABLE,
    LeaseRow,
    OwnerRow,
    encode_record,
)

ADDRESS = ("10.0.0.1", 7000)
TASK_LEASE_MS = 5_000
LONGEST_MS = 20_000
LEFT = LeasesLeft({"e1": 3_000, "e2": 400}, 9_000)


class KeptLog:
    """Keeps the fields of each decision."""

    def __init__(self) -> None:
        self.decisions: dict[str, dict[str, Any]] = {}

    def decision(self, event: str, fields: dict[str, Any]) -> None:
        self.decisions[event] = fields

    def warning(self, event: str, fields: dict[str, Any]) -> None:
        return


class SilentHub:
    """Peers that hear nothing; the stream to the owner stands or not.

    `replies` are taken off one by one; without any, the former owner has given no leases.
    """

    def __init__(self) -> None:
        self.stands = True
        self.replies: list[Result[StreamReply, Fault]] = []
        self.queries: list[object] = []

    async def call(
        self, address: str, port: int, message: object, timeout_ms: int
    ) -> Result[StreamReply, Fault]:
        self.queries.append(message)
        if self.replies:
            return self.replies.pop(0)
        return Success(StreamReply(ResultCode.OK, body=to_plain(LeasesLeft({}, 0))))

    def is_connected(self, address: str, port: int) -> bool:
        return self.stands

    def set_peers(self, peers: set[tuple[str, int]]) -> None:
        return

    def notify_all(self, message: object) -> None:
        return


class EmptyOwnership:
    """An ownership without jobs."""

    def __init__(self, owner: OwnerRow, now_ms: int) -> None:
        self.epoch = owner.epoch
        self.is_stopped = False
        self.former_leases = FormerLeases(now_ms + LONGEST_MS)

    def leases_left(self) -> LeasesLeft:
        return LEFT

    def start(self) -> None:
        return

    def stop(self) -> None:
        self.is_stopped = True

    async def flush(self, timeout_ms: int) -> None:
        return


class FedStore(MemoryStore):
    """A store whose feed shows a row before the commit that wrote it is answered."""

    feed: Callable[[Row], None]

    async def commit(
        self, conditions: list[RowCondition], writes: list[RowWrite], timeout_ms: int
    ) -> Result[Committed | Conflict, Fault]:
        outcome = await super().commit(conditions, writes, timeout_ms)
        for write in writes:
            if write.table == OWNER_TABLE:
                self.feed(self.rows[(OWNER_TABLE, write.key)])
        return outcome


class SlowStore(MemoryStore):
    """A store that lets time pass before it answers a read."""

    on_read: Callable[[], None] = staticmethod(lambda: None)

    async def read(
        self, table: str, timeout_ms: int, key: str | None = None
    ) -> Result[Snapshot, Fault]:
        self.on_read()
        return await super().read(table, timeout_ms, key)


class Stand:
    """One candidate with a store in memory; `gone` keeps what was said of each former owner."""

    def __init__(self, store: MemoryStore | None = None, host_id: str = "me") -> None:
        self.clock = HandClock()
        self.store = store or MemoryStore()
        self.owner = OwnerView(self.clock)
        self.log = KeptLog()
        self.hub = SilentHub()
        self.gone: list[bool] = []
        self.tasks: list[asyncio.Task[None]] = []
        settings = NodeSettings(
            host_id,
            "z",
            ADDRESS,
            ADDRESS,
            ADDRESS,
            ADDRESS,
            ADDRESS,
            2.0,
            1_000,
            TASK_LEASE_MS,
            5_000,
            1,
        )
        self.elector = Elector(
            settings,
            self.store,
            cast(StreamHub, self.hub),
            self.owner,
            self.clock,
            random.Random(1),
            cast(EventLog, self.log),
            self._spawn,
            self._make,
        )

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        self.tasks.append(asyncio.create_task(coroutine))

    def _make(self, owner: OwnerRow, version: int, is_former_owner_gone: bool) -> Ownership:
        self.gone.append(is_former_owner_gone)
        return cast(Ownership, EmptyOwnership(owner, self.clock.now_ms()))

    async def read_owner(self) -> None:
        """Takes the owner's row as the follower would."""
        snapshot = (await self.store.read(OWNER_TABLE, 100)).unwrap()
        self.elector.take_snapshot(snapshot.rows)

    async def watch(self, passing_ms: int = 0) -> None:
        """Looks after the owner, with everything that follows."""
        self.clock.time_ms += passing_ms
        self.elector.watch()
        while self.tasks:
            await self.tasks.pop(0)


def other_owner(store: MemoryStore, epoch: int = 1, resigned: bool = False) -> None:
    row = OwnerRow(epoch, "other", "10.0.0.2", 7000, "n")
    store.version += 1
    store.rows[(OWNER_TABLE, OWNER_KEY)] = Row(
        OWNER_TABLE, OWNER_KEY, encode_record(row), store.version
    )
    lease = encode_record(LeaseRow(epoch, 1, resigned))
    store.rows[(LEASE_TABLE, "other")] = Row(LEASE_TABLE, "other", lease, store.version)


def play(scenario: Callable[[], Awaitable[None]]) -> None:
    async def run() -> None:
        await scenario()

    asyncio.run(run())


def test_first_node_takes_the_jobs() -> None:
    async def scenario() -> None:
        stand = Stand()
        await stand.read_owner()
        await stand.watch()
        assert stand.elector.ownership is not None
        assert stand.elector.ownership.epoch == 1

    play(scenario)


def heard(stand: Stand) -> None:
    """The owner has just been heard."""
    heartbeat = OwnerHeartbeat(1, {}, lease_age_ms=0, policy_version=1, is_loaded=True)
    stand.owner.take_heartbeat(Hello("other", "node", "z"), heartbeat)


def test_lease_of_an_owner_whose_stream_has_ended_is_watched_at_once() -> None:
    async def scenario() -> None:
        stand = Stand()
        other_owner(stand.store)
        await stand.read_owner()
        heard(stand)
        await stand.watch()
        assert stand.elector.hears_owner()

        stand.hub.stands = False
        await stand.watch(100)
        await stand.watch(LEASE_MS)
        assert stand.elector.ownership is not None

    play(scenario)


def heard_of_renewal(stand: Stand, count: int, age_ms: int) -> None:
    """The owner has just been heard, and has renewed its lease some time ago."""
    heartbeat = OwnerHeartbeat(1, {}, lease_age_ms=age_ms, lease_count=count)
    stand.owner.take_heartbeat(Hello("other", "node", "z"), heartbeat)


def test_lease_that_still_shows_the_renewal_heard_of_counts_from_that_renewal() -> None:
    async def scenario() -> None:
        stand = Stand()
        other_owner(stand.store)
        await stand.read_owner()
        heard_of_renewal(stand, count=1, age_ms=400)
        await stand.watch(SILENCE_MS)
        assert stand.elector.ownership is None
        await stand.watch(LEASE_MS - SILENCE_MS - 400)
        assert stand.elector.ownership is not None

    play(scenario)


def test_lease_that_was_renewed_since_counts_from_the_first_look() -> None:
    async def scenario() -> None:
        stand = Stand()
        other_owner(stand.store)
        await stand.read_owner()
        heard_of_renewal(stand, count=0, age_ms=400)
        await stand.watch(SILENCE_MS)
        await stand.watch(LEASE_MS - 1)
        assert stand.elector.ownership is None
        await stand.watch(1)
        assert stand.elector.ownership is not None

    play(scenario)


def test_renewal_from_before_an_outage_of_the_store_does_not_count() -> None:
    async def scenario() -> None:
        stand = Stand()
        other_owner(stand.store)
        await stand.read_owner()
        heard_of_renewal(stand, count=1, age_ms=5_000)
        stand.store.read_faults = [ResultCode.STORE_UNAVAILABLE]
        await stand.watch()
        await stand.watch(LEASE_MS - 1)
        assert stand.elector.ownership is None
        await stand.watch(1)
        assert stand.elector.ownership is not None

    play(scenario)


def test_answer_of_the_store_that_took_long_shows_nothing_of_before() -> None:
    async def scenario() -> None:
        store = SlowStore()
        stand = Stand(store)
        other_owner(store)
        await stand.read_owner()
        heard_of_renewal(stand, count=1, age_ms=5_000)
        store.on_read = lambda: stand.clock.advance(PROMPT_READ_MS + 1)
        await stand.watch()
        assert stand.elector.ownership is None

    play(scenario)


def test_takeover_says_how_long_the_former_owner_was_silent() -> None:
    async def scenario() -> None:
        stand = Stand()
        other_owner(stand.store)
        await stand.read_owner()
        heard(stand)
        await stand.watch(LEASE_MS)
        await stand.watch(LEASE_MS)
        taken = stand.log.decisions["took_over"]
        assert taken["former_owner"] == "other"
        assert taken["former_owner_silent_ms"] == 2 * LEASE_MS

    play(scenario)


def test_silent_owner_is_followed_only_after_its_lease() -> None:
    async def scenario() -> None:
        stand = Stand()
        other_owner(stand.store)
        await stand.read_owner()
        await stand.watch()
        await stand.watch(LEASE_MS - 100)
        assert stand.elector.ownership is None
        await stand.watch(200)
        assert stand.elector.ownership is not None
        assert stand.elector.ownership.epoch == 2
        assert stand.gone == [False]

    play(scenario)


def test_outage_of_the_store_moves_nothing() -> None:
    async def scenario() -> None:
        stand = Stand()
        other_owner(stand.store)
        await stand.read_owner()
        await stand.watch()
        stand.store.read_faults = [ResultCode.STORE_UNAVAILABLE]
        await stand.watch(LEASE_MS)
        await stand.watch(100)
        assert stand.elector.ownership is None

    play(scenario)


def test_owner_that_is_heard_and_renews_keeps_the_jobs() -> None:
    async def scenario() -> None:
        stand = Stand()
        other_owner(stand.store)
        await stand.read_owner()
        for _ in range(10):
            stand.owner.take_heartbeat(Hello("other", "node", "z"), OwnerHeartbeat(1))
            await stand.watch(500)
        assert stand.elector.ownership is None

    play(scenario)


def test_owner_that_says_its_lease_is_overdue_is_followed() -> None:
    async def scenario() -> None:
        stand = Stand()
        other_owner(stand.store)
        await stand.read_owner()
        for _ in range(4):
            overdue = OwnerHeartbeat(1, lease_age_ms=5_000)
            stand.owner.take_heartbeat(Hello("other", "node", "z"), overdue)
            await stand.watch(300)
        assert stand.elector.ownership is not None

    play(scenario)


def test_resigned_owner_is_followed_at_once() -> None:
    async def scenario() -> None:
        stand = Stand()
        other_owner(stand.store, resigned=True)
        await stand.read_owner()
        await stand.watch()
        assert stand.elector.ownership is not None
        assert stand.gone == [True]

    play(scenario)


def test_own_earlier_life_is_followed_at_once() -> None:
    async def scenario() -> None:
        stand = Stand(host_id="other")
        other_owner(stand.store, epoch=4)
        await stand.read_owner()
        await stand.watch()
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
        await stand.watch()
        assert stand.elector.ownership is None
        assert stand.owner.row is not None
        assert stand.owner.row.host_id == "third"

    play(scenario)


def test_owner_without_its_lease_for_too_long_gives_up() -> None:
    async def scenario() -> None:
        stand = Stand()
        await stand.read_owner()
        await stand.watch()
        own = stand.elector.ownership
        stand.store.faults = [ResultCode.STORE_UNAVAILABLE] * 5
        stand.clock.time_ms += OUTAGE_RENEWAL_LIMIT_MS + 1
        stand.elector.renew()
        assert stand.elector.ownership is None
        assert cast(EmptyOwnership, own).is_stopped

    play(scenario)


def test_stopping_owner_leaves_word_that_it_has_resigned() -> None:
    async def scenario() -> None:
        first = Stand(host_id="first")
        await first.read_owner()
        await first.watch()
        await first.elector.resign()
        second = Stand(first.store, host_id="second")
        await second.read_owner()
        await second.watch()
        assert second.elector.ownership is not None
        assert second.gone == [True]

    play(scenario)


def test_former_owner_is_asked_for_its_leases_until_it_answers() -> None:
    async def scenario() -> None:
        stand = Stand()
        other_owner(stand.store, epoch=4)
        await stand.read_owner()
        stand.hub.replies = [
            Failure(Fault(ResultCode.PEER_UNREACHABLE, "no answer")),
            Success(StreamReply(ResultCode.OK, body=to_plain(LEFT))),
        ]
        await stand.watch()
        await stand.watch(LEASE_MS)
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
        store.feed = lambda row: stand.elector.take_rows((row,))
        other_owner(store, epoch=4)
        await stand.read_owner()
        await stand.watch()
        await stand.watch(LEASE_MS)
        assert stand.hub.queries == [LeaseQuery(4, 5)]
        assert stand.log.decisions["took_over"]["former_owner"] == "other"

    play(scenario)


def test_owner_gives_the_jobs_up_before_it_tells_of_its_leases() -> None:
    async def scenario() -> None:
        stand = Stand()
        await stand.read_owner()
        await stand.watch()
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
        await stand.watch()
        assert stand.elector.ownership is None

    play(scenario)


def test_owner_tells_an_earlier_one_nothing() -> None:
    async def scenario() -> None:
        stand = Stand()
        await stand.read_owner()
        await stand.watch()
        reply = stand.elector.serve_lease_query(LeaseQuery(0, 1))
        assert reply.code is ResultCode.STALE_EPOCH
        assert stand.elector.ownership is not None

    play(scenario)


def _renamed(store: MemoryStore, host_id: str) -> Any:
    owner = OwnerRow(7, host_id, "10.0.0.3", 7000, "m")
    store.version += 1
    return Row(OWNER_TABLE, OWNER_KEY, encode_record(owner), store.version)
