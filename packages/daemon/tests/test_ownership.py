"""The election: at most one valid lease under freezes and with slow, lost and late messages."""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from jacinthreel_common import (
    ReadQuery,
    Row,
    Transaction,
    TransactionReply,
    WriteOutcome,
    epoch_key,
    lease_key,
)
from jacinthreel_daemon._ownership import (
    LEASE_MS,
    WATCH_MARGIN_MS,
    Election,
    ElectionEffect,
    ElectionEvent,
    ElectionRowsRead,
    ReadFailed,
    RenewalDone,
    RenewalDue,
    Role,
    SendRelease,
    SendRenewal,
    SendTakeover,
    ShardGained,
    ShardLeaseRenewed,
    ShardLost,
    StopRequested,
    TakeoverDone,
)
from jacinthreel_standins import TableModel

SHARD = "r"
TIMEOUT_MS = 6_000
FAULTS_UNTIL_MS = 60_000
END_MS = 90_000


@dataclass(frozen=True)
class Faults:
    """The longest message delay, and the probabilities of loss, freeze, outage and planned stop."""

    delay_ms: int
    loss: float
    freeze: float
    outage: float
    stop: float


@dataclass
class Process:
    election: Election
    clock_offset_ms: int
    frozen_until_ms: int = 0
    is_reading: bool = False


@dataclass
class World:
    """Processes and a table service in simulated time."""

    faults: Faults
    rng: random.Random
    table: TableModel = field(default_factory=TableModel)
    processes: list[Process] = field(default_factory=list)
    now_ms: int = 0
    queue: list[tuple[int, int, Callable[[], None]]] = field(default_factory=list)
    sequence: int = 0
    outage_until_ms: int = 0
    epochs: list[int] = field(default_factory=list)
    max_valid_leases: int = 0

    def new_election(self) -> Election:
        self.sequence += 1
        name = f"h{self.sequence}"
        return Election(SHARD, name, "127.0.0.1", 1, name)

    def schedule(self, delay_ms: int, action: Callable[[], None]) -> None:
        self.sequence += 1
        heapq.heappush(self.queue, (self.now_ms + delay_ms, self.sequence, action))

    def run(self) -> None:
        while self.queue and self.queue[0][0] <= END_MS:
            self.now_ms, _, action = heapq.heappop(self.queue)
            action()
            self.max_valid_leases = max(self.max_valid_leases, len(self.valid_holders()))

    def valid_holders(self) -> list[str]:
        return [
            process.election._host_id
            for process in self.processes
            if process.election.is_owner
            and self.now_ms + process.clock_offset_ms < process.election.lease_until_ms
        ]

    @property
    def faults_active(self) -> bool:
        return self.now_ms < FAULTS_UNTIL_MS

    def draw_fault(self, probability: float) -> bool:
        return self.faults_active and self.rng.random() < probability

    def draw_delay_ms(self) -> int:
        """Returns a random delay; most are short, so that fast messages overtake slow ones."""
        slow = self.draw_fault(0.3)
        return self.rng.randint(0, self.faults.delay_ms if slow else 5)

    def crash_owner(self) -> None:
        """Freezes the newest owner until the end; a stale owner of a lower epoch keeps running."""
        newest = max(self.processes, key=lambda process: process.election.epoch)
        if newest.election.is_owner:
            newest.frozen_until_ms = 2 * END_MS

    def tick(self, process: Process) -> None:
        self.schedule(1_000 + self.rng.randint(-50, 50), lambda: self.tick(process))
        if process.frozen_until_ms > END_MS:
            return
        if self.draw_fault(self.faults.stop) and self.now_ms >= process.frozen_until_ms:
            self.deliver(process, StopRequested())
            process.election = self.new_election()
        if self.draw_fault(self.faults.freeze):
            process.frozen_until_ms = self.now_ms + self.rng.randint(500, 12_000)
        if self.draw_fault(self.faults.outage):
            self.outage_until_ms = self.now_ms + self.rng.randint(500, 8_000)
        self.deliver(process, RenewalDue())
        if not process.election.is_owner and not process.is_reading:
            process.is_reading = True
            self.exchange(lambda: self.read(), lambda rows: self.deliver_rows(process, rows))

    def read(self) -> ElectionRowsRead:
        rows = {row.key: row for row in self.table.read(ReadQuery([KEYS[0], KEYS[1]])).rows}
        return ElectionRowsRead(rows.get(KEYS[0]), rows.get(KEYS[1]))

    def deliver_rows(self, process: Process, rows: ElectionRowsRead | WriteOutcome) -> None:
        process.is_reading = False
        self.deliver(process, rows if isinstance(rows, ElectionRowsRead) else ReadFailed())

    def exchange(self, apply: Callable[[], Any], reply: Callable[[Any], None]) -> None:
        """Simulates one exchange with the table service under the configured faults."""

        def arrive() -> None:
            if self.now_ms < self.outage_until_ms:
                self.schedule(self.draw_delay_ms(), lambda: reply(WriteOutcome.FAILED))
                return
            result = apply()
            if self.draw_fault(self.faults.loss):
                self.schedule(TIMEOUT_MS, lambda: reply(WriteOutcome.UNKNOWN))
            else:
                self.schedule(self.draw_delay_ms(), lambda: reply(result))

        if self.draw_fault(self.faults.loss):
            # The table applies the request only after the caller's timeout.
            self.schedule(TIMEOUT_MS, lambda: reply(WriteOutcome.UNKNOWN))
            self.schedule(TIMEOUT_MS + self.draw_delay_ms(), lambda: apply() and None)
            return
        self.schedule(self.draw_delay_ms(), arrive)

    def deliver(self, process: Process, event: ElectionEvent) -> None:
        if self.now_ms < process.frozen_until_ms:
            wait_ms = process.frozen_until_ms - self.now_ms
            self.schedule(wait_ms, lambda: self.deliver(process, event))
            return
        for effect in process.election.handle(event, self.now_ms + process.clock_offset_ms):
            self.perform(process, effect)

    def perform(self, process: Process, effect: ElectionEffect) -> None:
        match effect:
            case SendTakeover(transaction=sent) | SendRenewal(transaction=sent):
                is_renewal = isinstance(effect, SendRenewal)
                self.exchange(
                    lambda: self.table.transact(sent),
                    lambda reply: self.deliver(process, make_done_event(sent, is_renewal, reply)),
                )
            case SendRelease(transaction=sent):
                self.exchange(lambda: self.table.transact(sent), lambda reply: None)
            case ShardGained(epoch=epoch):
                self.epochs.append(epoch)


KEYS = (epoch_key(SHARD), lease_key(SHARD))


def make_done_event(
    sent: Transaction, is_renewal: bool, reply: TransactionReply | WriteOutcome
) -> TakeoverDone | RenewalDone:
    versions: dict[str, int] = {}
    if isinstance(reply, TransactionReply):
        versions = reply.versions
        reply = WriteOutcome.COMMITTED if reply.committed else WriteOutcome.CONFLICT
    if is_renewal:
        return RenewalDone(sent.write_id, reply)
    return TakeoverDone(sent.write_id, reply, versions)


def make_world(seed: int, faults: Faults, count: int) -> World:
    world = World(faults, random.Random(seed))
    for _ in range(count):
        world.processes.append(Process(world.new_election(), world.rng.randint(0, 10**9)))
        process = world.processes[-1]
        world.schedule(world.rng.randint(0, 1_000), lambda process=process: world.tick(process))
    world.schedule(FAULTS_UNTIL_MS, world.crash_owner)
    return world


@settings(derandomize=True, deadline=None, database=None, max_examples=80)
@given(
    seed=st.integers(0, 2**32),
    count=st.integers(2, 3),
    faults=st.builds(
        Faults,
        delay_ms=st.sampled_from([5, 500, 3_000, 5_000]),
        loss=st.sampled_from([0.0, 0.1, 0.3]),
        freeze=st.sampled_from([0.0, 0.05, 0.2]),
        outage=st.sampled_from([0.0, 0.05]),
        stop=st.sampled_from([0.0, 0.05]),
    ),
)
def test_at_most_one_lease_is_valid_and_a_crashed_owner_is_replaced(
    seed: int, count: int, faults: Faults
) -> None:
    world = make_world(seed, faults, count)
    world.run()
    assert world.max_valid_leases <= 1
    assert len(set(world.epochs)) == len(world.epochs) >= 1
    assert (
        len(world.valid_holders()) == 1
    ), "one process has to hold a valid lease after the owner crashed"


def row(key: str, version: int, value: object = None, write_id: str = "") -> Row:
    return Row(key, version, write_id, value)


def make_election() -> Election:
    return Election(SHARD, "h1", "127.0.0.1", 9, "n")


def takeover_transaction(effects: list[ElectionEffect]) -> Transaction:
    assert isinstance(effects[0], SendTakeover)
    return effects[0].transaction


def test_unrenewed_lease_is_taken_over_after_lease_time_and_margin() -> None:
    election = make_election()
    rows = ElectionRowsRead(row(KEYS[0], 1), row(KEYS[1], 2))
    limit_ms = LEASE_MS + WATCH_MARGIN_MS
    assert election.handle(rows, 0) == []
    assert election.handle(rows, limit_ms - 1) == []
    takeover = takeover_transaction(election.handle(rows, limit_ms))
    assert {c.key: c.version for c in takeover.conditions} == {KEYS[0]: 1, KEYS[1]: 2}


def test_a_failed_read_restarts_the_watch() -> None:
    election = make_election()
    rows = ElectionRowsRead(row(KEYS[0], 1), row(KEYS[1], 2))
    election.handle(rows, 0)
    election.handle(ReadFailed(), 3_000)
    assert election.handle(rows, 60_000) == []
    assert election.handle(rows, 60_000 + LEASE_MS) == []
    takeover_transaction(election.handle(rows, 60_000 + LEASE_MS + WATCH_MARGIN_MS))


def test_claim_with_lost_reply_is_recognized_by_its_write_id() -> None:
    election = make_election()
    takeover = takeover_transaction(election.handle(ElectionRowsRead(None, None), 1_000))
    election.handle(TakeoverDone(takeover.write_id, WriteOutcome.UNKNOWN, {}), 7_000)
    own_row = Row(KEYS[0], 5, takeover.write_id, takeover.writes[0].value)
    gained = election.handle(ElectionRowsRead(own_row, row(KEYS[1], 6)), 7_500)
    assert gained == [ShardGained(1, 5, 1_000 + LEASE_MS)]


def test_slow_reply_does_not_extend_the_lease() -> None:
    election = make_election()
    takeover = takeover_transaction(election.handle(ElectionRowsRead(None, None), 0))
    election.handle(
        TakeoverDone(takeover.write_id, WriteOutcome.COMMITTED, {KEYS[0]: 1, KEYS[1]: 2}), 1
    )
    (renewal,) = election.handle(RenewalDue(), 1_000)
    assert isinstance(renewal, SendRenewal)
    renewal_done = RenewalDone(renewal.transaction.write_id, WriteOutcome.COMMITTED)
    assert election.handle(renewal_done, 3_500) == [ShardLeaseRenewed(1_000 + LEASE_MS)]
    assert election.handle(renewal_done, 3_600) == [], "a duplicate reply is ignored"


def own_shard() -> Election:
    """Returns an election whose process has owned the shard since 0 ms."""
    election = make_election()
    takeover = takeover_transaction(election.handle(ElectionRowsRead(None, None), 0))
    election.handle(
        TakeoverDone(takeover.write_id, WriteOutcome.COMMITTED, {KEYS[0]: 1, KEYS[1]: 2}), 1
    )
    return election


def renewals_sent_each_second(election: Election, until_ms: int) -> list[str]:
    """Lets renewals fall due each second up to `until_ms`; returns the ids of those sent."""
    write_ids: list[str] = []
    for now_ms in range(1_000, until_ms + 1, 1_000):
        for effect in election.handle(RenewalDue(), now_ms):
            assert isinstance(effect, SendRenewal)
            write_ids.append(effect.transaction.write_id)
    return write_ids


def test_a_silent_store_that_answers_again_renews_the_lease_for_more_than_a_moment() -> None:
    """With one renewal at a time the lease expired again 0.9 s after the store's return."""
    election = own_shard()
    write_ids = renewals_sent_each_second(election, until_ms=4_000)
    for write_id in write_ids:
        election.handle(RenewalDone(write_id, WriteOutcome.COMMITTED), 4_100)
    assert election.lease_until_ms == 4_000 + LEASE_MS


def test_a_store_that_never_answers_old_renewals_gets_new_ones() -> None:
    """Waiting for the timeout of a lost renewal kept the lease invalid after the store's return."""
    election = own_shard()
    write_ids = renewals_sent_each_second(election, until_ms=20_000)
    assert len(write_ids) == 20
    (renewed,) = election.handle(RenewalDone(write_ids[-1], WriteOutcome.COMMITTED), 20_010)
    assert renewed == ShardLeaseRenewed(20_000 + LEASE_MS)


def test_an_early_renewal_that_ends_last_does_not_shorten_the_lease() -> None:
    election = own_shard()
    first, second = renewals_sent_each_second(election, until_ms=2_000)
    election.handle(RenewalDone(second, WriteOutcome.COMMITTED), 2_100)
    assert election.handle(RenewalDone(first, WriteOutcome.COMMITTED), 2_200) == []
    assert election.lease_until_ms == 2_000 + LEASE_MS


def test_renewals_that_can_no_longer_extend_the_lease_are_forgotten() -> None:
    election = own_shard()
    renewals_sent_each_second(election, until_ms=60_000)
    assert len(election._renewals_sent_ms_by_id) <= LEASE_MS // 1_000


def test_stopping_owner_deletes_its_lease_on_condition_of_its_epoch() -> None:
    election = make_election()
    takeover = takeover_transaction(election.handle(ElectionRowsRead(None, None), 0))
    election.handle(
        TakeoverDone(takeover.write_id, WriteOutcome.COMMITTED, {KEYS[0]: 1, KEYS[1]: 2}), 1
    )
    lost, release = election.handle(StopRequested(), 2)
    assert isinstance(lost, ShardLost) and isinstance(release, SendRelease)
    assert [(w.key, w.value) for w in release.transaction.writes] == [(KEYS[1], None)]
    assert [c.key for c in release.transaction.conditions] == [KEYS[0]]
    assert election.role is Role.STOPPED
    assert election.handle(ElectionRowsRead(None, None), 10_000) == []
