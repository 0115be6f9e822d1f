"""Test harness for `Elector`: one candidate with an in-memory store and scripted peers."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any, cast

from node_fakes import ManualClock, MemoryStore
from returns.result import Result, Success

from jacinthreel_common import (
    Fault,
    LeasesLeft,
    ResultCode,
    StreamReply,
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
from jacinthreel_node._elector import Elector
from jacinthreel_node._former_leases import FormerLeases, FormerOwner
from jacinthreel_node._owner_view import OwnerView
from jacinthreel_node._ownership import Ownership
from jacinthreel_node._records import (
    LEASE_TABLE,
    OWNER_KEY,
    OWNER_TABLE,
    EarlierLeases,
    LeaseRow,
    OwnerRow,
    encode_record,
)
from jacinthreel_steps import LeaseLimits

ADDRESS = ("10.0.0.1", 7000)
TASK_LEASE_MS = 5_000  # The longest one.
MAX_FORMER_LEASE_MS = 20_000
REMAINING_LEASES = LeasesLeft({"e1": 3_000, "e2": 400}, 9_000, True)
EARLIER_LEASES = EarlierLeases({"e3": 7_000}, 0)


class RecordingLog:
    """Records the fields of the last decision logged for each event."""

    def __init__(self) -> None:
        self.decisions: dict[str, dict[str, Any]] = {}

    def info(self, event: str, fields: dict[str, Any]) -> None:
        self.decisions[event] = fields

    def warning(self, event: str, fields: dict[str, Any]) -> None:
        return


class FakeStreamHub:
    """Peers that only record notices; `is_stream_open` is the state of the stream to the owner.

    Each call consumes one of `replies`; without any, the reply is that no lease is left.
    """

    def __init__(self) -> None:
        self.is_stream_open = True
        self.replies: list[Result[StreamReply, Fault]] = []
        self.queries: list[object] = []
        self.notices: list[tuple[tuple[str, int], object]] = []
        self.broadcasts: list[object] = []

    async def call(
        self, address: str, port: int, message: object, timeout_ms: int
    ) -> Result[StreamReply, Fault]:
        self.queries.append(message)
        if self.replies:
            return self.replies.pop(0)
        return Success(StreamReply(ResultCode.OK, body=to_plain(LeasesLeft({}, 0, True))))

    def is_connected(self, address: str, port: int) -> bool:
        return self.is_stream_open

    def set_peers(self, peers: set[tuple[str, int]]) -> None:
        return

    def notify(self, address: str, port: int, message: object) -> bool:
        self.notices.append(((address, port), message))
        return True

    def notify_all(self, message: object) -> None:
        self.broadcasts.append(message)


class FakeOwnership:
    """Replaces `Ownership`; has no jobs."""

    def __init__(self, owner: OwnerRow, now_ms: int) -> None:
        self.epoch = owner.epoch
        self.is_stopped = False
        self.former_leases = FormerLeases(now_ms + MAX_FORMER_LEASE_MS, TASK_LEASE_MS)

    def remaining_leases(self) -> LeasesLeft:
        return REMAINING_LEASES

    def earlier_leases(self) -> EarlierLeases:
        return EARLIER_LEASES

    def start(self) -> None:
        return

    def stop(self) -> None:
        self.is_stopped = True

    async def flush(self, timeout_ms: int) -> None:
        return


class EarlyFeedStore(MemoryStore):
    """Passes a written owner row to `feed` before the commit returns."""

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
    """Calls `on_read` before each read, and delays the next commits by `commit_delays_s`."""

    commit_delays_s: list[float] = []
    on_read: Callable[[], None] = staticmethod(lambda: None)

    async def read(
        self, table: str, timeout_ms: int, key: str | None = None
    ) -> Result[Snapshot, Fault]:
        self.on_read()
        return await super().read(table, timeout_ms, key)

    async def commit(
        self, conditions: list[RowCondition], writes: list[RowWrite], timeout_ms: int
    ) -> Result[Committed | Conflict, Fault]:
        if self.commit_delays_s:
            await asyncio.sleep(self.commit_delays_s.pop(0))
        return await super().commit(conditions, writes, timeout_ms)


class ElectorHarness:
    """One candidate for ownership.

    `former_owners` records the replaced owner, each time the elector gained ownership.
    """

    def __init__(self, store: MemoryStore | None = None, host_id: str = "me") -> None:
        self.clock = ManualClock()
        self.store = store or MemoryStore()
        self.owner = OwnerView(self.clock)
        self.log = RecordingLog()
        self.hub = FakeStreamHub()
        self.former_owners: list[FormerOwner | None] = []
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
            LeaseLimits(TASK_LEASE_MS // 2, TASK_LEASE_MS),
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
            self._make_ownership,
        )

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        self.tasks.append(asyncio.create_task(coroutine))

    def _make_ownership(
        self, owner: OwnerRow, version: int, former: FormerOwner | None
    ) -> Ownership:
        self.former_owners.append(former)
        return cast(Ownership, FakeOwnership(owner, self.clock.now_ms()))

    def former_owner(self) -> FormerOwner:
        """Returns the owner that the only takeover so far has replaced."""
        [former] = self.former_owners
        assert former is not None
        return former

    async def read_owner(self) -> None:
        """Passes the stored owner row to the elector, as the table follower does."""
        snapshot = (await self.store.read(OWNER_TABLE, 100)).unwrap()
        self.elector.apply_snapshot(snapshot.rows)

    async def check_owner(self, elapsed_ms: int = 0) -> None:
        """Advances the clock, runs one check of the owner and completes the tasks it spawns."""
        self.clock.time_ms += elapsed_ms
        self.elector.check_owner()
        while self.tasks:
            await self.tasks.pop(0)


def put_other_owner(store: MemoryStore, epoch: int = 1, resigned: bool = False) -> None:
    """Stores the owner and lease rows of host `other`."""
    row = OwnerRow(epoch, "other", "10.0.0.2", 7000, "n")
    store.version += 1
    store.rows[(OWNER_TABLE, OWNER_KEY)] = Row(
        OWNER_TABLE, OWNER_KEY, encode_record(row), store.version
    )
    lease = encode_record(LeaseRow(epoch, 1, resigned))
    store.rows[(LEASE_TABLE, "other")] = Row(LEASE_TABLE, "other", lease, store.version)


def run_scenario(scenario: Callable[[], Awaitable[None]]) -> None:
    async def run() -> None:
        await scenario()

    asyncio.run(run())
