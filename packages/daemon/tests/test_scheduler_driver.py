"""The drivers of the shard core and of the election, with fakes of their dependencies."""

from __future__ import annotations

import asyncio
import io
import json
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import pytest
from returns.result import Failure, Result, Success

from jacinthreel_common import (
    CONFIG_KEY,
    CommandBatch,
    CommandReply,
    Condition,
    ReadQuery,
    ResultCode,
    RowWrite,
    StreamReply,
    Transaction,
    WriteOutcome,
    lease_key,
)
from jacinthreel_daemon._election_driver import ElectionDriver, OwnershipChange
from jacinthreel_daemon._http_pool import HttpFailure
from jacinthreel_daemon._logs import open_log
from jacinthreel_daemon._ownership import (
    LEASE_MS,
    Election,
    ShardGained,
    ShardLeaseRenewed,
    ShardLost,
)
from jacinthreel_daemon._row_poll import RowPoller
from jacinthreel_daemon._settings import LogLevel
from jacinthreel_daemon._shard_driver import ShardDriver
from jacinthreel_daemon._telemetry import MetricsRegistry
from jacinthreel_jobs import (
    JobCancelled,
    LogDecision,
    ReadRows,
    Reply,
    RowsRead,
    SendBatch,
    StepDown,
    Tick,
    WorkerReplied,
    WorkerUnreachable,
    Write,
    WriteDone,
    WritePriority,
)
from jacinthreel_standins import MemoryStore, StoreOutcome

BATCH = CommandBatch("r", 1, 1_000, 0)
REPLY = CommandReply("w1", ResultCode.OK, 1, 1)


@dataclass
class ManualClock:
    time_ms: int = 1_000

    def now_ms(self) -> int:
        return self.time_ms

    def unix_ms(self) -> int:
        return 0


class FakeCore:
    """Returns the given effects for a `Tick`, and records other events.

    A `Tick` without effects raises, to simulate a fault of the core.
    """

    epoch = 1

    def __init__(self, *effects: Any) -> None:
        self.effects = list(effects)
        self.events: list[Any] = []

    def handle(self, event: Any, now_ms: int) -> list[Any]:
        if isinstance(event, JobCancelled):
            return [Reply(event.call_id, ResultCode.OK, body={"job": event.job_id})]
        if not isinstance(event, Tick):
            self.events.append(event)
            return []
        if not self.effects:
            raise KeyError("broken invariant")
        return self.effects


class FakeWorkers:
    """Advances the clock by `connect_ms`, like a slow connection, before it calls `may_send`."""

    def __init__(self, clock: ManualClock, outcome: Result[CommandReply, HttpFailure]) -> None:
        self.clock = clock
        self.outcome = outcome
        self.connect_ms = 0
        self.sent = 0

    async def send(
        self, worker_id: str, batch: CommandBatch, may_send: Callable[[], bool]
    ) -> Result[CommandReply, HttpFailure]:
        self.clock.time_ms += self.connect_ms
        if not may_send():
            return Failure(HttpFailure(False, "too late"))
        self.sent += 1
        return self.outcome


class DriverHarness:
    def __init__(self, *effects: Any) -> None:
        self.clock = ManualClock()
        self.store = MemoryStore()
        self.core = FakeCore(*effects)
        self.workers = FakeWorkers(self.clock, Success(REPLY))
        self.output = io.StringIO()
        self.step_down_reasons: list[str] = []
        self.stale_config_count = 0
        self.tasks: list[asyncio.Task[None]] = []
        self.driver = ShardDriver(
            self.core,  # type: ignore[arg-type]
            self.store,
            self.workers,  # type: ignore[arg-type]
            self.clock,
            MetricsRegistry(),
            open_log("h1", "scheduler", LogLevel.INFO, self.output),
            random.Random(1),
            self.spawn,
            self.step_down_reasons.append,
            self.count_stale_config,
        )

    def spawn(self, coroutine: Any) -> asyncio.Task[None]:
        self.tasks.append(asyncio.get_running_loop().create_task(coroutine))
        return self.tasks[-1]

    def count_stale_config(self) -> None:
        self.stale_config_count += 1

    def tick(self) -> list[Any]:
        """Feeds a `Tick`, waits for the effects to end, and returns the events that they caused."""

        async def run() -> None:
            self.driver.feed(Tick(0))
            while pending := [task for task in self.tasks if not task.done()]:
                await asyncio.wait(pending)

        asyncio.run(run())
        return self.core.events


def write(*conditions: Condition) -> Write:
    return Write("w", list(conditions), [RowWrite("a", 1)], WritePriority.ACCEPT)


@pytest.mark.parametrize(
    ("outcome", "expected"),
    [
        (StoreOutcome.ANSWERED, WriteDone("w", WriteOutcome.COMMITTED, {"a": 1}, [])),
        (StoreOutcome.REFUSED, WriteDone("w", WriteOutcome.FAILED, {}, [])),
        (StoreOutcome.LOST_REPLY, WriteDone("w", WriteOutcome.UNKNOWN, {}, [])),
        (StoreOutcome.LOST_REQUEST, WriteDone("w", WriteOutcome.UNKNOWN, {}, [])),
    ],
)
def test_core_receives_the_outcome_of_a_write(outcome: StoreOutcome, expected: WriteDone) -> None:
    harness = DriverHarness(write())
    harness.store.outcomes.append(outcome)
    assert harness.tick() == [expected]


def test_conflict_reports_its_rows_and_stale_configuration() -> None:
    harness = DriverHarness(write(Condition("b", 7), Condition(CONFIG_KEY, 3)))
    assert harness.tick() == [WriteDone("w", WriteOutcome.CONFLICT, {}, ["b", CONFIG_KEY])]
    assert harness.stale_config_count == 1


def test_read_is_retried_until_it_succeeds() -> None:
    harness = DriverHarness(ReadRows("r1", ["a"]))
    harness.store.reads_answered = deque([False, False])
    harness.store.table.transact(Transaction("t", [], [RowWrite("a", 1)]))
    (event,) = harness.tick()
    assert isinstance(event, RowsRead) and [row.value for row in event.rows] == [1]


def test_batch_that_expires_during_connect_is_not_sent() -> None:
    harness = DriverHarness(SendBatch(3, "w1", BATCH, not_after_ms=1_500))
    harness.workers.connect_ms = 500
    assert harness.tick() == [WorkerUnreachable("w1", 3, 1_000, delivered=False)]
    assert harness.workers.sent == 0
    harness = DriverHarness(SendBatch(3, "w1", BATCH, not_after_ms=1_500))
    harness.workers.connect_ms = 499
    assert harness.tick() == [WorkerReplied("w1", 3, 1_000, REPLY)]
    harness = DriverHarness(SendBatch(3, "w1", BATCH, not_after_ms=1_500))
    harness.workers.outcome = Failure(HttpFailure(True, "cut"))
    assert harness.tick() == [WorkerUnreachable("w1", 3, 1_000, delivered=True)]


def test_exception_of_the_core_and_step_down_effect_both_end_ownership() -> None:
    harness = DriverHarness()
    harness.tick()
    assert harness.step_down_reasons == ["internal error"]
    line = json.loads(harness.output.getvalue())
    assert (line["event"], line["level"], line["host"]) == ("core_failed", "error", "h1")
    assert "broken invariant" in line["exception"]
    harness = DriverHarness(
        StepDown("stale epoch"), LogDecision("place", {"job_id": "j", "host": "x"})
    )
    harness.tick()
    assert harness.step_down_reasons == ["stale epoch"]
    line = json.loads(harness.output.getvalue())
    assert (line["event"], line["job_id"], line["host"], line["host_"]) == ("place", "j", "h1", "x")


def test_each_caller_gets_its_own_reply() -> None:
    async def run() -> list[StreamReply]:
        harness = DriverHarness()
        calls = [
            harness.driver.submit(lambda call_id, job=job: JobCancelled(call_id, job))
            for job in "abc"
        ]
        return await asyncio.gather(*calls)

    assert [reply.body for reply in asyncio.run(run())] == [{"job": job} for job in "abc"]


class GatedStore(MemoryStore):
    """Delays transactions until `gate` is set, and then applies the newest first."""

    def __init__(self) -> None:
        super().__init__()
        self.gate = asyncio.Event()
        self.gate.set()
        self.transaction_count = 0

    async def transact(self, transaction: Transaction, priority: int) -> Any:
        self.transaction_count += 1
        number = self.transaction_count
        await self.gate.wait()
        for _ in range(10 * (self.transaction_count - number)):
            await asyncio.sleep(0)
        return await super().transact(transaction, priority)


def make_driver(
    host_id: str, store: MemoryStore, clock: ManualClock, changes: list[OwnershipChange]
) -> tuple[ElectionDriver, RowPoller]:
    election = Election("r", host_id, "127.0.0.1", 9, f"{host_id}-boot")
    spawn = asyncio.get_running_loop().create_task
    driver = ElectionDriver(election, "r", store, clock, spawn, changes.append)
    poller = RowPoller(store, clock)
    poller.follow(driver)
    return driver, poller


async def run_ready_callbacks() -> None:
    for _ in range(20):
        await asyncio.sleep(0)


def test_renewal_in_flight_does_not_restore_a_released_lease() -> None:
    async def run() -> None:
        clock, store = ManualClock(), GatedStore()
        driver, poller = make_driver("h1", store, clock, [])
        await poller.poll()
        await run_ready_callbacks()
        assert driver.election.is_owner
        store.gate.clear()
        driver.renew_lease(2_000)
        release = asyncio.create_task(driver.release())
        await run_ready_callbacks()
        store.gate.set()
        await release
        await asyncio.sleep(0.01)
        assert not (await store.read(ReadQuery([lease_key("r")]))).unwrap().rows

    asyncio.run(run())


def test_election_driver_acquires_renews_releases_and_takes_over() -> None:
    async def run() -> None:
        clock, store = ManualClock(), MemoryStore()
        changes: list[OwnershipChange] = []
        first, first_poll = make_driver("h1", store, clock, changes)
        second, second_poll = make_driver("h2", store, clock, changes)
        await first_poll.poll()
        await run_ready_callbacks()
        await second_poll.poll()
        assert changes == [ShardGained(1, 1, 1_000 + LEASE_MS)]
        clock.time_ms += 1_000
        first.renew_lease(clock.time_ms)
        await run_ready_callbacks()
        assert changes[1:] == [ShardLeaseRenewed(2_000 + LEASE_MS)]
        assert first.is_lease_valid() and not second.election.is_owner
        await first.release()
        assert not first.is_lease_valid() and isinstance(changes[2], ShardLost)
        await second_poll.poll()
        await run_ready_callbacks()
        assert second.is_lease_valid() and second.election.epoch == 2
        await first_poll.poll()
        assert (await store.read(ReadQuery([lease_key("r")]))).unwrap().rows
        assert not first.election.is_owner

    asyncio.run(run())
