"""Runs shard cores against models of the table service and of workers in virtual time.

`Cluster` holds one table, its workers and one or more scheduler nodes.  A node does what the
driver in the daemon does: it acquires the shard's lease through the epoch and lease rows, performs
the effects of the core as calls of the models, and feeds the results back as events.  Tests inject
faults through attributes of the cluster (store), of each worker's link and of each node.
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
TICK_PERIOD_MS = 100
STORE_DELAY_MS = 5
LATE_WRITE_DELAY_MS = 9_000
SLOW_STORE_DELAY_MS = 5_000
LINK_DELAY_MS = 2
LINK_TIMEOUT_MS = 2_000
SHARD_LEASE_MS = 4_000
RENEW_PERIOD_MS = 1_000


def has_command(effect: Effect, kind: CommandKind) -> bool:
    """Whether the effect sends a batch that contains a command of this kind."""
    if not isinstance(effect, SendBatch):
        return False
    return any(command.kind is kind for command in effect.batch.commands)


@dataclass(slots=True)
class Link:
    """The faults and the one-way delay of the connection to one worker."""

    refuses_connections: bool = False
    loses_requests: bool = False
    loses_replies: bool = False
    lost_command: CommandKind | None = None
    duplicates_replies: bool = False
    delay_ms: int = LINK_DELAY_MS


@dataclass(slots=True)
class Node:
    """One scheduler process."""

    name: str
    core: ShardCore
    is_alive: bool = True
    frozen_until_ms: int = 0
    deferred_events: list[Event] = field(default_factory=list)
    deferred_sends: list[SendBatch] = field(default_factory=list)
    epoch: int = 0
    lease_row_version: int = 0
    # Version of the lease row when this node last read a changed one, and the time of that read.
    lease_last_change: tuple[int, int] = (-1, 0)
    freeze_on_start_ms: int = 0
    is_owner: bool = False


class Cluster:
    """A table, workers and scheduler nodes, driven by a queue of timed actions."""

    def __init__(self, workers: int = 4, zones: int = 2, nodes: int = 1, seed: int = 1) -> None:
        self.now_ms = 0
        self.rng = random.Random(seed)
        self.table = TableModel()
        # "up", "down", "slow", "late", "loses_requests" or "loses_replies".
        self.store_state = "up"
        self.links: dict[str, Link] = {}
        self.workers: dict[str, WorkerModel] = {}
        self.hosts: list[Host] = []
        self.nodes: list[Node] = []
        self.replies_by_call_id: dict[int, Reply] = {}
        self.logged_decisions: list[LogDecision] = []
        self.writes: list[Write] = []
        self.closed_ms_by_zone: dict[str, int] = {}
        self.past_closures: list[tuple[str, int, int]] = []
        self.crash_before: Callable[[Effect], bool] | None = None
        self._queue: list[tuple[int, int, Callable[[], None]]] = []
        self._sequence = 0
        self._records: dict[str, tuple[int, JobRecord | None]] = {}
        self.last_call_id = 0
        self.partial_since_ms: dict[str, int] = {}
        self.longest_partial_ms = 0
        self.schedule(TICK_PERIOD_MS, self._measure_partial_gangs)
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

    # Virtual time.

    def schedule(self, delay_ms: int, action: Callable[[], None]) -> None:
        self._sequence += 1
        heapq.heappush(self._queue, (self.now_ms + delay_ms, self._sequence, action))

    def run(self, duration_ms: int) -> None:
        end_ms = self.now_ms + duration_ms
        while self._queue and self._queue[0][0] <= end_ms:
            self.now_ms, _, action = heapq.heappop(self._queue)
            action()
        self.now_ms = end_ms

    def run_until(self, condition: Callable[[], bool], limit_ms: int = 60_000) -> bool:
        """Runs until the condition holds or the time limit is reached.

        Checks the condition every 20 ms.  Returns whether it holds at the end.
        """
        end_ms = self.now_ms + limit_ms
        while not condition() and self.now_ms < end_ms:
            self.run(20)
        return condition()

    # Scheduler nodes.

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
        """Returns the owner with the highest epoch that has not crashed."""
        owners = [node for node in self.nodes if node.is_owner and node.is_alive]
        return max(owners, key=lambda node: node.epoch, default=None)

    def crash(self, node: Node) -> None:
        node.is_alive = node.is_owner = False

    def freeze(self, node: Node, duration_ms: int) -> None:
        """Pauses a node; its events and batches are deferred until the end of the pause."""
        node.frozen_until_ms = max(node.frozen_until_ms, self.now_ms + duration_ms)
        self.schedule(duration_ms, lambda: self._unfreeze(node))

    def _unfreeze(self, node: Node) -> None:
        if self.now_ms < node.frozen_until_ms:
            return
        sends, node.deferred_sends = node.deferred_sends, []
        for effect in sends:
            self._send_batch(node, effect, check_limit=False)
        events, node.deferred_events = node.deferred_events, []
        for event in events:
            self.feed(node, event)

    def feed(self, node: Node, event: Event) -> None:
        if not node.is_alive:
            return
        if self.now_ms < node.frozen_until_ms:
            node.deferred_events.append(event)
            return
        for effect in node.core.handle(event, self.now_ms):
            if self.crash_before is not None and self.crash_before(effect):
                self.crash_before = None
                self.crash(node)
                return
            self._perform(node, effect)

    def _tick(self, node: Node) -> None:
        if not node.is_alive:
            return
        if self.now_ms >= node.frozen_until_ms:
            self.feed(node, Tick(self.now_ms))
        self.schedule(TICK_PERIOD_MS, lambda: self._tick(node))

    def _elect(self, node: Node) -> None:
        """Acquires or renews the lease of the shard for a node, and schedules the next attempt."""
        if not node.is_alive:
            return
        self.schedule(RENEW_PERIOD_MS, lambda: self._elect(node))
        if self.store_state not in ("up", "slow") or self.now_ms < node.frozen_until_ms:
            return
        rows = {
            row.key: row
            for row in self.table.read(ReadQuery([lease_key(SHARD), epoch_key(SHARD)])).rows
        }
        lease, epoch = rows.get(lease_key(SHARD)), rows.get(epoch_key(SHARD))
        lease_version = lease.version if lease else 0
        if node.is_owner:
            self._renew(node)
            return
        if lease is not None and lease_version != node.lease_last_change[0]:
            node.lease_last_change = (lease_version, self.now_ms)
            return
        if lease is not None and self.now_ms - node.lease_last_change[1] < SHARD_LEASE_MS:
            return
        new_epoch = epoch.value["epoch"] + 1 if epoch else 1
        conditions = [
            Condition(lease_key(SHARD), lease_version),
            Condition(epoch_key(SHARD), epoch.version if epoch else 0),
        ]
        writes = [
            RowWrite(lease_key(SHARD), {"at": self.now_ms}),
            RowWrite(epoch_key(SHARD), {"epoch": new_epoch, "owner": node.name}),
        ]
        reply = self.table.transact(Transaction("elect", conditions, writes))
        node.epoch, node.is_owner = new_epoch, True
        node.lease_row_version = reply.versions[lease_key(SHARD)]
        job_rows = self.table.read(ReadQuery(prefixes=[job_prefix(SHARD)])).rows
        lease_until_ms = self.now_ms + SHARD_LEASE_MS
        epoch_version = reply.versions[epoch_key(SHARD)]
        self.feed(
            node, OwnershipGained(new_epoch, epoch_version, lease_until_ms, job_rows, self.now_ms)
        )

    def _renew(self, node: Node) -> None:
        conditions = [Condition(lease_key(SHARD), node.lease_row_version)]
        writes = [RowWrite(lease_key(SHARD), {"at": self.now_ms})]
        reply = self.table.transact(Transaction("renew", conditions, writes))
        if reply.committed:
            node.lease_row_version = reply.versions[lease_key(SHARD)]
            self.feed(node, LeaseRenewed(self.now_ms + SHARD_LEASE_MS))
            return
        node.is_owner = False
        self.feed(node, OwnershipLost())

    # Effects of the cores.

    def _perform(self, node: Node, effect: Effect) -> None:
        match effect:
            case Write():
                self.writes.append(effect)
                self.schedule(STORE_DELAY_MS, lambda: self._perform_write(node, effect))
            case ReadRows():
                self.schedule(STORE_DELAY_MS, lambda: self._perform_read(node, effect))
            case SendBatch():
                self._send_batch(node, effect)
            case Reply():
                assert effect.call_id not in self.replies_by_call_id, "the call was answered twice"
                self.replies_by_call_id[effect.call_id] = effect
            case LogDecision():
                self.logged_decisions.append(effect)
            case StepDown():
                self._check_step_down(node, effect)
                node.is_owner = False
                self.schedule(0, lambda: self.feed(node, OwnershipLost()))

    def _check_step_down(self, node: Node, effect: StepDown) -> None:
        """Checks that an owner steps down only if a newer epoch exists."""
        newest = self.table.rows_by_key[epoch_key(SHARD)].value["epoch"]
        assert newest > node.epoch, f"step-down without a newer epoch: {effect.reason}"

    def _perform_write(self, node: Node, effect: Write) -> None:
        unknown = WriteDone(effect.write_id, WriteOutcome.UNKNOWN, {}, [])
        transaction = Transaction(effect.write_id, effect.conditions, effect.writes)
        match self.store_state:
            case "down":
                self.feed(node, replace(unknown, outcome=WriteOutcome.FAILED))
                return
            case "loses_requests":
                self.feed(node, unknown)
                return
            case "late":
                self.schedule(LATE_WRITE_DELAY_MS, lambda: self.table.transact(transaction))
                self.feed(node, unknown)
                return
        reply = self.table.transact(transaction)
        if reply.committed:
            answer = replace(unknown, outcome=WriteOutcome.COMMITTED, versions=reply.versions)
        else:
            conflicts = list(reply.versions)
            answer = replace(unknown, outcome=WriteOutcome.CONFLICT, conflicts=conflicts)
        if self.store_state == "loses_replies":
            answer = unknown
        delay_ms = SLOW_STORE_DELAY_MS if self.store_state == "slow" else 0
        self.schedule(delay_ms, lambda: self.feed(node, answer))

    def _perform_read(self, node: Node, effect: ReadRows) -> None:
        if self.store_state in ("down", "loses_requests"):
            self.schedule(500, lambda: self._perform_read(node, effect))
            return
        rows = self.table.read(ReadQuery(effect.keys)).rows
        self.feed(node, RowsRead(effect.read_id, rows))

    def _send_batch(self, node: Node, effect: SendBatch, check_limit: bool = True) -> None:
        if node.freeze_on_start_ms and has_command(effect, CommandKind.START):
            self.freeze(node, node.freeze_on_start_ms)
            node.freeze_on_start_ms = 0
        if self.now_ms < node.frozen_until_ms:
            node.deferred_sends.append(effect)
            return
        link, sent_ms = self.links[effect.worker_id], self.now_ms

        def unreachable(delivered: bool) -> None:
            self.feed(
                node, WorkerUnreachable(effect.worker_id, effect.batch_id, sent_ms, delivered)
            )

        if link.refuses_connections or (check_limit and self.now_ms > effect.not_after_ms):
            self.schedule(1, lambda: unreachable(False))
            return
        lost = link.loses_requests or (
            link.lost_command is not None and has_command(effect, link.lost_command)
        )
        if not lost:
            self.schedule(link.delay_ms, lambda: self._deliver_batch(node, effect, sent_ms))
        if lost or link.loses_replies or link.delay_ms >= LINK_TIMEOUT_MS:
            self.schedule(LINK_TIMEOUT_MS, lambda: unreachable(True))

    def _deliver_batch(self, node: Node, effect: SendBatch, sent_ms: int) -> None:
        link = self.links[effect.worker_id]
        reply = self.workers[effect.worker_id].handle(effect.batch, self.now_ms)
        self.check_no_task_runs_twice()
        if link.loses_replies:
            self.schedule(LINK_TIMEOUT_MS, lambda: self._report_lost_reply(node, effect, sent_ms))
            return
        event = WorkerReplied(effect.worker_id, effect.batch_id, sent_ms, reply)
        self.schedule(link.delay_ms, lambda: self.feed(node, event))
        if link.duplicates_replies:
            self.schedule(link.delay_ms + 30, lambda: self.feed(node, event))

    def _report_lost_reply(self, node: Node, effect: SendBatch, sent_ms: int) -> None:
        self.feed(node, WorkerUnreachable(effect.worker_id, effect.batch_id, sent_ms, True))

    # Operator changes and job requests.

    def store_config(self, config: Config) -> None:
        """Stores a configuration; `apply_config` has to be called to deliver it to a node."""
        self.config = config
        transaction = Transaction("config", [], [RowWrite(CONFIG_KEY, to_plain(config))])
        self._config_version = self.table.transact(transaction).versions[CONFIG_KEY]

    def apply_config(self, node: Node) -> None:
        self.feed(node, ConfigApplied(self.config, self._config_version))

    def close_zone(self, zone: str, drain_ms: int = 10_000, after_ms: int = 50) -> None:
        outage = ZoneOutage(zone, "repairs", self.now_ms, drain_ms)
        self.change_config(after_ms, zones_out={**self.config.zones_out, zone: outage})
        self.closed_ms_by_zone.setdefault(zone, self.now_ms)

    def open_zone(self, zone: str, after_ms: int = 50) -> None:
        zones = {name: out for name, out in self.config.zones_out.items() if name != zone}
        self.change_config(after_ms, zones_out=zones)
        if zone in self.closed_ms_by_zone:
            self.past_closures.append((zone, self.closed_ms_by_zone.pop(zone), self.now_ms))

    def change_config(self, after_ms: int = 50, **changes: Any) -> None:
        """Stores a changed configuration and delivers it to all nodes `after_ms` later."""
        self.store_config(replace(self.config, version=self.config.version + 1, **changes))
        for node in self.nodes:
            self.schedule(after_ms, lambda node=node: self.apply_config(node))

    def mark_leaving(self, worker_id: str) -> None:
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

    def _call(self, make_event: Callable[[int], Event], node: Node | None) -> int:
        self.last_call_id += 1
        target = node or self.owner()
        if target is not None:
            self.feed(target, make_event(self.last_call_id))
        return self.last_call_id

    # State of the cluster and checks.

    def record(self, job_id: str) -> JobRecord | None:
        """Returns the stored record of a job; decodes a row again only if its version changed."""
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

    def running_tasks(self, job_id: str = "") -> list[tuple[str, int, int]]:
        """Returns the keys of the running tasks of one job, or of all jobs if `job_id` is empty."""
        keys: list[tuple[str, int, int]] = []
        for worker in self.workers.values():
            worker.advance(self.now_ms)
            keys += [key for key in worker.running() if job_id in ("", key[0])]
        return keys

    def check_no_task_runs_twice(self) -> None:
        """Checks that no task runs twice at the same time, in the same or in two attempts."""
        tasks = [(key[0], key[2]) for key in self.running_tasks()]
        assert len(tasks) == len(set(tasks)), f"a task runs twice: {sorted(self.running_tasks())}"

    def _measure_partial_gangs(self) -> None:
        """Updates the longest time for which a gang has run with only some of its tasks."""
        partial = self.partial_gangs()
        since = {job_id: self.partial_since_ms.get(job_id, self.now_ms) for job_id in partial}
        self.partial_since_ms = since
        for started_ms in since.values():
            self.longest_partial_ms = max(self.longest_partial_ms, self.now_ms - started_ms)
        self.schedule(TICK_PERIOD_MS, self._measure_partial_gangs)

    def check_no_start_in_closed_zones(self, limit_ms: int = 3_000) -> None:
        """Checks that no task starts in a zone later than `limit_ms` after its closure."""
        zones = {host.host_id: host.zone for host in self.hosts}
        open_ended = [
            (zone, since, self.now_ms + 1) for zone, since in self.closed_ms_by_zone.items()
        ]
        for zone, closed_ms, opened_ms in [*self.past_closures, *open_ended]:
            for worker in self.workers.values():
                for start in worker.starts if zones[worker.worker_id] == zone else []:
                    late = closed_ms + limit_ms < start.at_ms < opened_ms
                    assert not late, f"{start} in {zone}, which was closed at {closed_ms}"

    def partial_gangs(self) -> list[str]:
        """Returns the jobs of which only some of the unfinished tasks are running."""
        partial: list[str] = []
        for job_id in {key[0] for key in self.running_tasks()}:
            record = self.record(job_id)
            if record is None:
                continue
            finished = sum(
                key[0] == job_id and task.state == "finished" and key[1] == record.attempt
                for worker in self.workers.values()
                for key, task in worker.tasks_by_key.items()
            )
            if len(self.running_tasks(job_id)) + finished < record.spec.tasks:
                partial.append(job_id)
        return partial
