"""Drives a shard core over a workload in virtual time, with small fakes at its interfaces.

The fakes are the table and worker models of the stand-ins behind constant delays.  The world
carries out effects, feeds their outcomes back, submits and cancels jobs, closes and opens zones,
and lets a meter look at the state each second.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Final

from jacinthreel_bench._job_records import RecordedWorker
from jacinthreel_bench._workloads import (
    DRAIN_MS,
    REGION,
    Deployment,
    Submission,
    WorkerFault,
    Workload,
    ZoneChange,
)
from jacinthreel_common import (
    CONFIG_KEY,
    Condition,
    Config,
    PresetName,
    ReadQuery,
    ResultCode,
    RowWrite,
    Transaction,
    WriteOutcome,
    ZoneOutage,
    epoch_key,
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
    Planner,
    ReadRows,
    Reply,
    RowsRead,
    SendBatch,
    ShardCore,
    Tick,
    WorkerReplied,
    WorkerUnreachable,
    Write,
    WriteDone,
)
from jacinthreel_standins import TableModel, WorkerModel

TICK_MS: Final = 200
STORE_MS: Final = 5
LINK_MS: Final = 3
CONFIG_DELAY_MS: Final = 300
UNREACHABLE_MS: Final = 2_000
LEASE_MS: Final = 10_000
SAMPLE_MS: Final = 1_000


@dataclass(slots=True)
class JobTimes:
    """When a job was submitted, first ran and ended; -1 where it did not yet."""

    submission: Submission
    started_ms: int = -1
    ended_ms: int = -1
    end_state: str = ""
    refused: bool = False


@dataclass(slots=True)
class World:
    """One run of a policy over a workload."""

    deployment: Deployment
    workload: Workload
    planner: Planner
    sampler: Callable[[World], None]
    now_ms: int = 0
    core: ShardCore = field(init=False)
    table: TableModel = field(default_factory=TableModel)
    workers_by_id: dict[str, RecordedWorker] = field(default_factory=dict)
    times_by_id: dict[str, JobTimes] = field(default_factory=dict)
    zones_out: dict[str, ZoneOutage] = field(default_factory=dict)
    zone_history: list[tuple[str, int, int]] = field(default_factory=list)
    config: Config = field(init=False)
    unended: int = 0
    submitted: int = 0
    preemptions: int = 0
    _config_row: int = 0
    _queue: list[tuple[int, int, Callable[[], None]]] = field(default_factory=list)
    _sequence: int = 0

    def __post_init__(self) -> None:
        self.core = ShardCore(REGION, self.planner, random.Random(1))
        workspaces = {w.name: w for w in self.deployment.workspaces}
        self.config = Config(1, PresetName.ORDINARY, workspaces=workspaces)
        for host in self.deployment.hosts():
            model = WorkerModel(host.host_id, host.accelerators, host.cores, host.memory_gb)
            self.workers_by_id[host.host_id] = RecordedWorker(model, host.zone)

    def run(self, limit_ms: int) -> None:
        """Runs until all jobs have ended, or until the limit."""
        self._start()
        last_submit_ms = self.workload.submissions[-1].at_ms
        while self._queue and self.now_ms < limit_ms:
            if self.now_ms > last_submit_ms + 5_000 and not self.unended:
                return
            self.now_ms, _, action = heapq.heappop(self._queue)
            action()

    def at(self, at_ms: int, action: Callable[[], None]) -> None:
        """Does something at a time."""
        self._sequence += 1
        heapq.heappush(self._queue, (at_ms, self._sequence, action))

    def _after(self, delay_ms: int, action: Callable[[], None]) -> None:
        self.at(self.now_ms + delay_ms, action)

    def _start(self) -> None:
        self._feed(HostsListed(self.deployment.hosts()))
        self._store_config(self.config)
        self._feed(ConfigApplied(self.config, self._config_row))
        epoch_write = RowWrite(epoch_key(REGION), {"epoch": 1})
        reply = self.table.transact(Transaction("epoch", [], [epoch_write]))
        version = reply.versions[epoch_key(REGION)]
        self._feed(OwnershipGained(1, version, LEASE_MS, [], 0))
        self._tick()
        self._sample()
        for submission in self.workload.submissions:
            self.at(submission.at_ms, lambda s=submission: self._submit(s))  # type: ignore[misc]
        for job_id, at_ms in self.workload.cancel_ms_by_id.items():
            self.at(at_ms, lambda j=job_id: self._feed(JobCancelled(-1, j)))  # type: ignore[misc]
        for change in self.deployment.zone_changes:
            self.at(int(change.out_s * 1000), lambda c=change: self._close(c))  # type: ignore[misc]
        for fault in self.workload.failing:
            self._schedule_failing(fault)
        for fault in self.workload.away:
            self._schedule_away(fault)

    def _schedule_failing(self, fault: WorkerFault) -> None:
        worker = self.workers_by_id[fault.worker_id]

        def set_failing(failing: bool) -> None:
            worker.advance(self.now_ms)
            worker.model.fails_everything = failing

        self.at(fault.from_ms, lambda: set_failing(True))
        self.at(fault.until_ms, lambda: set_failing(False))

    def _schedule_away(self, fault: WorkerFault) -> None:
        worker = self.workers_by_id[fault.worker_id]

        def leave() -> None:
            worker.away = True
            worker.restart(self.now_ms)

        def come_back() -> None:
            worker.away = False

        self.at(fault.from_ms, leave)
        self.at(fault.until_ms, come_back)

    def _submit(self, submission: Submission) -> None:
        self.submitted += 1
        self.unended += 1
        self.times_by_id[submission.spec.job_id] = JobTimes(submission)
        self._feed(JobSubmitted(self.submitted, submission.spec, self.now_ms))

    def _close(self, change: ZoneChange) -> None:
        self.zones_out[change.zone] = ZoneOutage(change.zone, "power", self.now_ms, DRAIN_MS)
        back_ms = int(change.back_s * 1000)
        self.zone_history.append((change.zone, self.now_ms, back_ms))
        self.at(back_ms, lambda: self._open(change.zone))
        self._change_zones()

    def _open(self, zone: str) -> None:
        del self.zones_out[zone]
        self._change_zones()

    def _change_zones(self) -> None:
        version = self.config.version + 1
        self.config = replace(self.config, version=version, zones_out=dict(self.zones_out))
        self._store_config(self.config)
        event = ConfigApplied(self.config, self._config_row)
        self._after(CONFIG_DELAY_MS, lambda: self._feed(event))

    def _store_config(self, config: Config) -> None:
        write = RowWrite(CONFIG_KEY, to_plain(config))
        reply = self.table.transact(Transaction(f"config-{config.version}", [], [write]))
        self._config_row = reply.versions[CONFIG_KEY]

    def _tick(self) -> None:
        self._feed(Tick(self.now_ms))
        if self.now_ms % 1_000 == 0:
            self._feed(LeaseRenewed(self.now_ms + LEASE_MS))
        self._after(TICK_MS, self._tick)

    def _sample(self) -> None:
        for worker in self.workers_by_id.values():
            worker.advance(self.now_ms)
        self.sampler(self)
        self._after(SAMPLE_MS, self._sample)

    def _feed(self, event: Event) -> None:
        for effect in self.core.handle(event, self.now_ms):
            self._perform(effect)

    def _perform(self, effect: Effect) -> None:
        match effect:
            case Write():
                self._after(STORE_MS, lambda: self._write(effect))
            case ReadRows():
                self._after(STORE_MS, lambda: self._read(effect))
            case SendBatch():
                self._send(effect)
            case Reply():
                self._replied(effect)
            case LogDecision():
                self._logged(effect)

    def _write(self, effect: Write) -> None:
        conditions: list[Condition] = effect.conditions
        reply = self.table.transact(Transaction(effect.write_id, conditions, effect.writes))
        if reply.committed:
            done = WriteDone(effect.write_id, WriteOutcome.COMMITTED, reply.versions, [])
        else:
            conflicts = list(reply.versions)
            done = WriteDone(effect.write_id, WriteOutcome.CONFLICT, {}, conflicts)
        self._after(STORE_MS, lambda: self._feed(done))

    def _read(self, effect: ReadRows) -> None:
        rows = self.table.read(ReadQuery(effect.keys)).rows
        self._after(STORE_MS, lambda: self._feed(RowsRead(effect.read_id, rows)))

    def _send(self, effect: SendBatch) -> None:
        worker = self.workers_by_id[effect.worker_id]
        sent_ms = self.now_ms
        if worker.away:
            lost = WorkerUnreachable(effect.worker_id, effect.batch_id, sent_ms, False)
            self._after(UNREACHABLE_MS, lambda: self._feed(lost))
            return

        def arrive() -> None:
            reply = worker.handle(effect.batch, self.now_ms)
            event = WorkerReplied(effect.worker_id, effect.batch_id, sent_ms, reply)
            self._after(LINK_MS, lambda: self._feed(event))

        self._after(LINK_MS, arrive)

    def _replied(self, reply: Reply) -> None:
        if reply.call_id <= 0 or reply.code is ResultCode.OK:
            return
        job_id = self.workload.submissions[reply.call_id - 1].spec.job_id
        self.times_by_id[job_id].refused = True
        self.unended -= 1

    def _logged(self, log: LogDecision) -> None:
        times = self.times_by_id.get(str(log.fields.get("job_id", "")))
        match log.event:
            case "gang_running" if times is not None and times.started_ms < 0:
                times.started_ms = self.now_ms
            case "job_ended" if times is not None:
                times.ended_ms = self.now_ms
                times.end_state = str(log.fields["state"])
                self.unended -= 1
            case "preempt":
                self.preemptions += 1
