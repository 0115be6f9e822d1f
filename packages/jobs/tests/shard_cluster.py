"""Drives shard cores against table and worker models in virtual time.

`Cluster` holds one table, some workers and one or more nodes.  A node does what a live driver
does: it elects itself through the epoch and lease rows, turns effects into calls of the models
and feeds the outcomes back as events.  Faults are settings: of the store, of each worker's link
and of each node.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Any

from first_fit_planner import FirstFitPlanner

from jacinthreel_common import (
    CONFIG_KEY,
    CommandKind,
    Condition,
    Config,
    Host,
    HostKind,
    HostState,
    JobRecord,
    JobSpec,
    JobState,
    PresetName,
    ReadQuery,
    RowWrite,
    Transaction,
    Workspace,
    WriteOutcome,
    ZoneOutage,
    convert,
    epoch_key,
    job_key,
    job_prefix,
    lease_key,
    to_plain,
)
from jacinthreel_jobs import (
    ConfigApplied,
    Effect,
    Event,
    HostsListed,
    JobCancelled,
    JobSubmitted,
    LeaseRenewed,
    LogDecision,
    OwnershipGained,
    OwnershipLost,
    ReadRows,
    Reply,
    RowsRead,
    SendBatch,
    ShardCore,
    StepDown,
    Tick,
    WorkerReplied,
    WorkerUnreachable,
    Write,
    WriteDone,
)
from jacinthreel_standins import TableModel, WorkerModel

SHARD = "kyushu"
TICK_MS = 100
STORE_MS = 5
LATE_WRITE_MS = 9_000
SLOW_STORE_MS = 5_000
LINK_MS = 2
LINK_TIMEOUT_MS = 2_000
SHARD_LEASE_MS = 4_000
RENEW_MS = 1_000


def has_command(effect: Effect, kind: CommandKind) -> bool:
    """Whether an effect is a batch with a command of this kind."""
    if not isinstance(effect, SendBatch):
        return False
    return any(command.kind is kind for command in effect.batch.commands)


@dataclass(slots=True)
class Link:
    """How messages to one worker fare."""

    refuses: bool = False
    loses_requests: bool = False
    loses_replies: bool = False
    loses: CommandKind | None = None
    repeats_replies: bool = False
    delay_ms: int = LINK_MS


@dataclass(slots=True)
class Node:
    """One scheduler process."""

    name: str
    core: ShardCore
    alive: bool = True
    frozen_until_ms: int = 0
    held_events: list[Event] = field(default_factory=list)
    held_sends: list[SendBatch] = field(default_factory=list)
    epoch: int = 0
    lease_row_version: int = 0
    lease_seen: tuple[int, int] = (-1, 0)
    freeze_on_start_ms: int = 0
    owner: bool = False


class Cluster:
    """All of it, with a queue of what happens next."""

    def __init__(self, workers: int = 4, zones: int = 2, nodes: int = 1, seed: int = 1) -> None:
        self.now_ms = 0
        self.rng = random.Random(seed)
        self.table = TableModel()
        self.store = "up"
        self.links: dict[str, Link] = {}
        self.workers: dict[str, WorkerModel] = {}
        self.hosts: list[Host] = []
        self.nodes: list[Node] = []
        self.replies: dict[int, Reply] = {}
        self.logs: list[LogDecision] = []
        self.writes: list[Write] = []
        self.closed_since: dict[str, int] = {}
        self.closures: list[tuple[str, int, int]] = []
        self.stop_before: Callable[[Effect], bool] | None = None
        self._queue: list[tuple[int, int, Callable[[], None]]] = []
        self._sequence = 0
        self._records: dict[str, tuple[int, JobRecord | None]] = {}
        self.last_call = 0
        self.partial_since: dict[str, int] = {}
        self.longest_partial_ms = 0
        self.at(TICK_MS, self._watch_partial)
        self.config = Config(1, PresetName.ORDINARY, workspaces={"lab": Workspace("lab")})
        self._config_version = 0
        for index in range(workers):
            worker_id = f"w{index}"
            self.workers[worker_id] = WorkerModel(worker_id, 8, 64, 512)
            self.links[worker_id] = Link()
            zone, rack = f"z{index % zones}", f"r{index % zones}"
            host = Host(worker_id, HostKind.WORKER, "127.0.0.1", 1, zone, SHARD, rack)
            self.hosts.append(replace(host, accelerators=8, cores=64, memory_gb=512))
        self.store_config(self.config)
        for index in range(nodes):
            self.add_node(f"n{index}")

    # Time.

    def at(self, delay_ms: int, action: Callable[[], None]) -> None:
        self._sequence += 1
        heapq.heappush(self._queue, (self.now_ms + delay_ms, self._sequence, action))

    def run(self, duration_ms: int) -> None:
        end_ms = self.now_ms + duration_ms
        while self._queue and self._queue[0][0] <= end_ms:
            self.now_ms, _, action = heapq.heappop(self._queue)
            action()
        self.now_ms = end_ms

    def run_until(self, condition: Callable[[], bool], limit_ms: int = 60_000) -> bool:
        end_ms = self.now_ms + limit_ms
        while not condition() and self.now_ms < end_ms:
            self.run(20)
        return condition()

    # Nodes.

    def add_node(self, name: str, planner: object = None) -> Node:
        self.planner = planner or FirstFitPlanner()
        core = ShardCore(SHARD, self.planner, random.Random(len(self.nodes)))
        node = Node(name, core)
        self.nodes.append(node)
        self.feed(node, HostsListed(self.hosts))
        self.feed(node, ConfigApplied(self.config, self._config_version))
        self._tick(node)
        self._elect(node)
        return node

    def owner(self) -> Node | None:
        owners = [node for node in self.nodes if node.owner and node.alive]
        return max(owners, key=lambda node: node.epoch, default=None)

    def crash(self, node: Node) -> None:
        node.alive = node.owner = False

    def freeze(self, node: Node, duration_ms: int) -> None:
        node.frozen_until_ms = max(node.frozen_until_ms, self.now_ms + duration_ms)
        self.at(duration_ms, lambda: self._thaw(node))

    def _thaw(self, node: Node) -> None:
        if self.now_ms < node.frozen_until_ms:
            return
        sends, node.held_sends = node.held_sends, []
        for effect in sends:
            self._send(node, effect, check_limit=False)
        held, node.held_events = node.held_events, []
        for event in held:
            self.feed(node, event)

    def feed(self, node: Node, event: Event) -> None:
        if not node.alive:
            return
        if self.now_ms < node.frozen_until_ms:
            node.held_events.append(event)
            return
        for effect in node.core.handle(event, self.now_ms):
            if self.stop_before is not None and self.stop_before(effect):
                self.stop_before = None
                self.crash(node)
                return
            self._perform(node, effect)

    def _tick(self, node: Node) -> None:
        if not node.alive:
            return
        if self.now_ms >= node.frozen_until_ms:
            self.feed(node, Tick(self.now_ms))
        self.at(TICK_MS, lambda: self._tick(node))

    def _elect(self, node: Node) -> None:
        if not node.alive:
            return
        self.at(RENEW_MS, lambda: self._elect(node))
        if self.store not in ("up", "slow") or self.now_ms < node.frozen_until_ms:
            return
        rows = {
            row.key: row
            for row in self.table.read(ReadQuery([lease_key(SHARD), epoch_key(SHARD)])).rows
        }
        lease, epoch = rows.get(lease_key(SHARD)), rows.get(epoch_key(SHARD))
        lease_version = lease.version if lease else 0
        if node.owner:
            self._renew(node)
            return
        if lease is not None and lease_version != node.lease_seen[0]:
            node.lease_seen = (lease_version, self.now_ms)
            return
        if lease is not None and self.now_ms - node.lease_seen[1] < SHARD_LEASE_MS:
            return
        number = epoch.value["epoch"] + 1 if epoch else 1
        conditions = [
            Condition(lease_key(SHARD), lease_version),
            Condition(epoch_key(SHARD), epoch.version if epoch else 0),
        ]
        writes = [
            RowWrite(lease_key(SHARD), {"at": self.now_ms}),
            RowWrite(epoch_key(SHARD), {"epoch": number, "owner": node.name}),
        ]
        reply = self.table.transact(Transaction("elect", conditions, writes))
        node.epoch, node.owner = number, True
        node.lease_row_version = reply.versions[lease_key(SHARD)]
        job_rows = self.table.read(ReadQuery(prefixes=[job_prefix(SHARD)])).rows
        lease_until_ms = self.now_ms + SHARD_LEASE_MS
        epoch_version = reply.versions[epoch_key(SHARD)]
        self.feed(
            node, OwnershipGained(number, epoch_version, lease_until_ms, job_rows, self.now_ms)
        )

    def _renew(self, node: Node) -> None:
        conditions = [Condition(lease_key(SHARD), node.lease_row_version)]
        writes = [RowWrite(lease_key(SHARD), {"at": self.now_ms})]
        reply = self.table.transact(Transaction("renew", conditions, writes))
        if reply.committed:
            node.lease_row_version = reply.versions[lease_key(SHARD)]
            self.feed(node, LeaseRenewed(self.now_ms + SHARD_LEASE_MS))
            return
        node.owner = False
        self.feed(node, OwnershipLost())

    # Effects.

    def _perform(self, node: Node, effect: Effect) -> None:
        match effect:
            case Write():
                self.writes.append(effect)
                self.at(STORE_MS, lambda: self._write(node, effect))
            case ReadRows():
                self.at(STORE_MS, lambda: self._read(node, effect))
            case SendBatch():
                self._send(node, effect)
            case Reply():
                assert effect.call_id not in self.replies, "answered twice"
                self.replies[effect.call_id] = effect
            case LogDecision():
                self.logs.append(effect)
            case StepDown():
                self._check_step_down(node, effect)
                node.owner = False
                self.at(0, lambda: self.feed(node, OwnershipLost()))

    def _check_step_down(self, node: Node, effect: StepDown) -> None:
        """An owner gives up only because there is a newer one."""
        newest = self.table.rows_by_key[epoch_key(SHARD)].value["epoch"]
        assert newest > node.epoch, f"needless step-down: {effect.reason}"

    def _write(self, node: Node, effect: Write) -> None:
        done = WriteDone(effect.write_id, WriteOutcome.UNKNOWN, {}, [])
        transaction = Transaction(effect.write_id, effect.conditions, effect.writes)
        match self.store:
            case "down":
                self.feed(node, replace(done, outcome=WriteOutcome.FAILED))
                return
            case "loses_requests":
                self.feed(node, done)
                return
            case "late":
                self.at(LATE_WRITE_MS, lambda: self.table.transact(transaction))
                self.feed(node, done)
                return
        reply = self.table.transact(transaction)
        if reply.committed:
            answer = replace(done, outcome=WriteOutcome.COMMITTED, versions=reply.versions)
        else:
            conflicts = list(reply.versions)
            answer = replace(done, outcome=WriteOutcome.CONFLICT, conflicts=conflicts)
        if self.store == "loses_replies":
            answer = done
        delay_ms = SLOW_STORE_MS if self.store == "slow" else 0
        self.at(delay_ms, lambda: self.feed(node, answer))

    def _read(self, node: Node, effect: ReadRows) -> None:
        if self.store in ("down", "loses_requests"):
            self.at(500, lambda: self._read(node, effect))
            return
        rows = self.table.read(ReadQuery(effect.keys)).rows
        self.feed(node, RowsRead(effect.read_id, rows))

    def _send(self, node: Node, effect: SendBatch, check_limit: bool = True) -> None:
        if node.freeze_on_start_ms and has_command(effect, CommandKind.START):
            self.freeze(node, node.freeze_on_start_ms)
            node.freeze_on_start_ms = 0
        if self.now_ms < node.frozen_until_ms:
            node.held_sends.append(effect)
            return
        link, sent_ms = self.links[effect.worker_id], self.now_ms

        def unreachable(delivered: bool) -> None:
            self.feed(
                node, WorkerUnreachable(effect.worker_id, effect.batch_id, sent_ms, delivered)
            )

        if link.refuses or (check_limit and self.now_ms > effect.not_after_ms):
            self.at(1, lambda: unreachable(False))
            return
        lost = link.loses_requests or (link.loses is not None and has_command(effect, link.loses))
        if not lost:
            self.at(link.delay_ms, lambda: self._arrive(node, effect, sent_ms))
        if lost or link.loses_replies or link.delay_ms >= LINK_TIMEOUT_MS:
            self.at(LINK_TIMEOUT_MS, lambda: unreachable(True))

    def _arrive(self, node: Node, effect: SendBatch, sent_ms: int) -> None:
        link = self.links[effect.worker_id]
        reply = self.workers[effect.worker_id].handle(effect.batch, self.now_ms)
        self.check_running()
        if link.loses_replies:
            self.at(LINK_TIMEOUT_MS, lambda: self._late(node, effect, sent_ms))
            return
        event = WorkerReplied(effect.worker_id, effect.batch_id, sent_ms, reply)
        self.at(link.delay_ms, lambda: self.feed(node, event))
        if link.repeats_replies:
            self.at(link.delay_ms + 30, lambda: self.feed(node, event))

    def _late(self, node: Node, effect: SendBatch, sent_ms: int) -> None:
        self.feed(node, WorkerUnreachable(effect.worker_id, effect.batch_id, sent_ms, True))

    # Operators and callers.

    def store_config(self, config: Config) -> None:
        """Accepts a configuration; nodes hear of it when `announce` is called."""
        self.config = config
        transaction = Transaction("config", [], [RowWrite(CONFIG_KEY, to_plain(config))])
        self._config_version = self.table.transact(transaction).versions[CONFIG_KEY]

    def announce(self, node: Node) -> None:
        self.feed(node, ConfigApplied(self.config, self._config_version))

    def close_zone(self, zone: str, drain_ms: int = 10_000, after_ms: int = 50) -> None:
        outage = ZoneOutage(zone, "repairs", self.now_ms, drain_ms)
        self.change_config(after_ms, zones_out={**self.config.zones_out, zone: outage})
        self.closed_since.setdefault(zone, self.now_ms)

    def open_zone(self, zone: str, after_ms: int = 50) -> None:
        zones = {name: out for name, out in self.config.zones_out.items() if name != zone}
        self.change_config(after_ms, zones_out=zones)
        if zone in self.closed_since:
            self.closures.append((zone, self.closed_since.pop(zone), self.now_ms))

    def change_config(self, after_ms: int = 50, **changes: Any) -> None:
        """Accepts a changed configuration; nodes hear of it `after_ms` later."""
        self.store_config(replace(self.config, version=self.config.version + 1, **changes))
        for node in self.nodes:
            self.at(after_ms, lambda node=node: self.announce(node))

    def list_leaving(self, worker_id: str) -> None:
        self.hosts = [
            replace(host, state=HostState.LEAVING) if host.host_id == worker_id else host
            for host in self.hosts
        ]
        for node in self.nodes:
            self.feed(node, HostsListed(self.hosts))

    def submit(self, spec: JobSpec, node: Node | None = None) -> int:
        return self._call(lambda call: JobSubmitted(call, spec, self.now_ms), node)

    def cancel(self, job_id: str, node: Node | None = None) -> int:
        return self._call(lambda call: JobCancelled(call, job_id), node)

    def _call(self, event: Callable[[int], Event], node: Node | None) -> int:
        self.last_call += 1
        target = node or self.owner()
        if target is not None:
            self.feed(target, event(self.last_call))
        return self.last_call

    # What is true.

    def record(self, job_id: str) -> JobRecord | None:
        row = self.table.rows_by_key.get(job_key(SHARD, job_id))
        if row is None:
            return None
        version, record = self._records.get(job_id, (0, None))
        if version != row.version:
            record = convert(JobRecord, row.value).unwrap()
            self._records[job_id] = (row.version, record)
        return record

    def state(self, job_id: str) -> JobState | None:
        record = self.record(job_id)
        return record.state if record else None

    def running(self, job_id: str = "") -> list[tuple[str, int, int]]:
        """The tasks that run now, of one job or of all."""
        keys: list[tuple[str, int, int]] = []
        for worker in self.workers.values():
            worker.advance(self.now_ms)
            keys += [key for key in worker.running() if job_id in ("", key[0])]
        return keys

    def check_running(self) -> None:
        """No task runs under two attempts, or twice, at once."""
        tasks = [(key[0], key[2]) for key in self.running()]
        assert len(tasks) == len(set(tasks)), f"a task runs twice: {sorted(self.running())}"

    def _watch_partial(self) -> None:
        """Measures for how long gangs run in part."""
        partial = self.partial_gangs()
        since = {job_id: self.partial_since.get(job_id, self.now_ms) for job_id in partial}
        self.partial_since = since
        for started_ms in since.values():
            self.longest_partial_ms = max(self.longest_partial_ms, self.now_ms - started_ms)
        self.at(TICK_MS, self._watch_partial)

    def check_closed_zones(self, limit_ms: int = 3_000) -> None:
        """No start in a zone later than `limit_ms` after its closure was accepted."""
        zones = {host.host_id: host.zone for host in self.hosts}
        open_ended = [(zone, since, self.now_ms + 1) for zone, since in self.closed_since.items()]
        for zone, closed_ms, opened_ms in [*self.closures, *open_ended]:
            for worker in self.workers.values():
                for start in worker.starts if zones[worker.worker_id] == zone else []:
                    late = closed_ms + limit_ms < start.at_ms < opened_ms
                    assert not late, f"{start} in {zone}, closed at {closed_ms}"

    def partial_gangs(self) -> list[str]:
        """Jobs of which some but not all tasks that have not finished run now."""
        partial: list[str] = []
        for job_id in {key[0] for key in self.running()}:
            record = self.record(job_id)
            if record is None:
                continue
            finished = sum(
                key[0] == job_id and task.state == "finished" and key[1] == record.attempt
                for worker in self.workers.values()
                for key, task in worker.tasks_by_key.items()
            )
            if len(self.running(job_id)) + finished < record.spec.tasks:
                partial.append(job_id)
        return partial
