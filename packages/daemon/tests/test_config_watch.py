"""The applied configuration and the known owner: versions and epochs never decrease.

Polls make up for missed pushes and notices.  The property test simulates a configuration row, a
process that polls it, and peers that push old and new versions in any order.
"""

from __future__ import annotations

import asyncio
from collections import deque
from dataclasses import dataclass, field

from hypothesis import given, settings
from hypothesis import strategies as st

from jacinthreel_common import (
    CONFIG_KEY,
    Config,
    ConfigPush,
    OwnerNotice,
    PresetName,
    Row,
    RowWrite,
    Transaction,
    config_history_key,
    epoch_key,
    to_plain,
)
from jacinthreel_daemon._config_watch import ConfigWatch
from jacinthreel_daemon._owner_view import OwnerWatch
from jacinthreel_daemon._ports import AppliedConfig
from jacinthreel_daemon._row_poll import RowPoller
from jacinthreel_standins import MemoryStore


@dataclass
class ManualClock:
    time_ms: int = 0

    def now_ms(self) -> int:
        return self.time_ms

    def unix_ms(self) -> int:
        return 0


@dataclass
class Follower:
    """A process that follows the configuration, and the versions that it has applied."""

    store: MemoryStore = field(default_factory=MemoryStore)
    clock: ManualClock = field(default_factory=ManualClock)
    applied: list[int] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.watch = ConfigWatch(self.clock, lambda event, fields: None)
        self.watch.subscribe(lambda applied: self.applied.append(applied.config.version))
        self.poller = RowPoller(self.store, self.clock)
        self.poller.follow(self.watch)

    def store_version(self, version: int) -> ConfigPush:
        config = Config(version, PresetName.ORDINARY)
        value = to_plain(config)
        writes = [RowWrite(CONFIG_KEY, value), RowWrite(config_history_key(version), value)]
        reply = self.store.table.transact(Transaction(f"w{version}", [], writes))
        return ConfigPush(config, reply.versions[CONFIG_KEY])

    def poll(self) -> None:
        asyncio.run(self.poller.poll())
        if self.watch.is_behind:
            asyncio.run(self.poller.poll())

    def current(self) -> AppliedConfig:
        current = self.watch.current()
        assert current is not None
        return current


@settings(derandomize=True, deadline=None, database=None, max_examples=60)
@given(st.data())
def test_applied_versions_only_increase_and_a_poll_applies_the_newest(data: st.DataObject) -> None:
    follower = Follower()
    pushes: list[ConfigPush] = [follower.store_version(1)]
    for _ in range(data.draw(st.integers(1, 25))):
        follower.clock.time_ms += 100
        match data.draw(st.sampled_from(["accept", "push", "poll", "lost read"])):
            case "accept":
                pushes.append(follower.store_version(len(pushes) + 1))
            case "push":
                follower.watch.apply_push(data.draw(st.sampled_from(pushes)), "peer")
            case "poll":
                follower.poll()
                assert follower.current().config.version == len(pushes)
            case "lost read":
                follower.store.reads_answered = deque([False])
                follower.poll()
                follower.store.reads_answered.clear()
        assert follower.applied == sorted(set(follower.applied))
        current = follower.watch.current()
        if current is not None:
            assert current.row_version == pushes[current.config.version - 1].row_version
    follower.poll()
    assert follower.current().config.version == len(pushes)


def test_poll_confirms_unchanged_configuration_without_reading_it_again() -> None:
    follower = Follower()
    follower.store_version(1)
    follower.poll()
    for second in range(1, 10):
        follower.clock.time_ms = second * 1_000
        assert follower.watch.keys_to_read() == [config_history_key(2)]
        follower.poll()
        assert follower.current().confirmed_ms == second * 1_000


def test_invalid_configuration_row_is_ignored() -> None:
    follower = Follower()
    follower.store_version(1)
    follower.poll()
    bad = [RowWrite(CONFIG_KEY, {"version": "x"}), RowWrite(config_history_key(2), 1)]
    follower.store.table.transact(Transaction("bad", [], bad))
    follower.poll()
    assert follower.current().config.version == 1
    follower.store_version(2)
    follower.poll()
    follower.poll()
    assert follower.current().config.version == 2


def test_highest_epoch_wins_from_rows_and_notices() -> None:
    owner = OwnerWatch("r", lambda event, fields: None)
    key = epoch_key("r")

    def read(epoch: int) -> None:
        value = {"epoch": epoch, "host_id": "h", "address": "127.0.0.1", "port": epoch}
        owner.on_rows_read([key], {key: Row(key, epoch, "w", value)}, 0)

    assert owner.owner_address() is None
    read(2)
    owner.apply_notice(OwnerNotice("r", 1, "127.0.0.1", 1))
    owner.apply_notice(OwnerNotice("another", 9, "127.0.0.1", 9))
    assert owner.owner_address() == ("127.0.0.1", 2)
    owner.apply_notice(OwnerNotice("r", 4, "127.0.0.1", 4))
    read(3)
    owner.on_rows_read([key], {key: Row(key, 9, "w", {"epoch": "x"})}, 0)
    assert (owner.owner_address(), owner.epoch) == (("127.0.0.1", 4), 4)
