"""Simulates a shard core on a workload in virtual time, with models of the outside systems.

The models are the table and worker models of the stand-ins, behind constant delays.  The simulation
performs the core's effects and feeds the outcomes back as events.  It also submits and cancels
jobs, takes zones out of service and back in, and calls a sampling function each second.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Final

from jacinthreel_bench._job_records import RecordedWorker
from jacinthreel_bench._workloads import (
    REGION,
    ZONE_DRAIN_MS,
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
STORE_LATENCY_MS: Final = 5
LINK_LATENCY_MS: Final = 3
CONFIG_DELAY_MS: Final = 300
UNREACHABLE_TIMEOUT_MS: Final = 2_000
LEASE_MS: Final = 10_000
SAMPLE_MS: Final = 1_000


@dataclass(slots=True)
class JobTimes:
    """A submission, and the times when its gang first ran and the job ended (-1 if not yet)."""

    submission: Submission
    started_ms: int = -1
    ended_ms: int = -1
    end_state: str = ""
    refused: bool = False


@dataclass(slots=True)
class JobSimulation:
    """Simulates one policy on one workload.

    `zone_history` has the zone, the time when it was taken out and the time of its return for each
    zone change.  `open_job_count` is the number of submitted jobs that are neither refused nor
    ended.
    """

    deployment: Deployment
    workload: Workload
    planner: Planner
    on_sample: Callable[[JobSimulation], None]
    now_ms: int = 0
    core: ShardCore = field(init=False)
    table: TableModel = field(default_factory=TableModel)
    workers_by_id: dict[str, RecordedWorker] = field(default_factory=dict)
    times_by_id: dict[str, JobTimes] = field(default_factory=dict)
    zones_out: dict[str, ZoneOutage] = field(default_factory=dict)
    zone_history: list[tuple[str, int, int]] = field(default_factory=list)
    config: Config = field(init=False)
    open_job_count: int = 0
    submitted_count: int = 0
    preemptions: int = 0
    _config_row_version: int = 0
    _scheduled_actions: list[tuple[int, int, Callable[[], None]]] = field(default_factory=list)
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
        while self._scheduled_actions and self.now_ms < limit_ms:
            if self.now_ms > last_submit_ms + 5_000 and not self.open_job_count:
                return
            self.now_ms, _, action = heapq.heappop(self._scheduled_actions)
            action()

    def schedule_at(self, at_ms: int, action: Callable[[], None]) -> None:
        """Schedules an action at a time."""
        self._sequence += 1
        heapq.heappush(self._scheduled_actions, (at_ms, self._sequence, action))

    def _schedule_after(self, delay_ms: int, action: Callable[[], None]) -> None:
        self.schedule_at(self.now_ms + delay_ms, action)

    def _start(self) -> None:
        self._feed(HostsListed(self.deployment.hosts()))
        self._store_config(self.config)
        self._feed(ConfigApplied(self.config, self._config_row_version))
        epoch_write = RowWrite(epoch_key(REGION), {"epoch": 1})
        reply = self.table.transact(Transaction("epoch", [], [epoch_write]))
        version = reply.versions[epoch_key(REGION)]
        self._feed(OwnershipGained(1, version, LEASE_MS, [], 0))
        self._tick()
        self._sample()
        for submission in self.workload.submissions:
            self.schedule_at(submission.at_ms, lambda s=submission: self._submit(s))  # type: ignore[misc]
        for job_id, at_ms in self.workload.cancel_ms_by_id.items():
            self.schedule_at(at_ms, lambda j=job_id: self._feed(JobCancelled(-1, j)))  # type: ignore[misc]
        for change in self.deployment.zone_changes:
            self.schedule_at(int(change.out_s * 1000), lambda c=change: self._take_zone_out(c))  # type: ignore[misc]
        for fault in self.workload.task_failure_faults:
            self._schedule_task_failures(fault)
        for fault in self.workload.crash_faults:
            self._schedule_crash(fault)

    def _schedule_task_failures(self, fault: WorkerFault) -> None:
        worker = self.workers_by_id[fault.worker_id]

        def set_failing(failing: bool) -> None:
            worker.advance(self.now_ms)
            worker.model.fails_everything = failing

        self.schedule_at(fault.from_ms, lambda: set_failing(True))
        self.schedule_at(fault.until_ms, lambda: set_failing(False))

    def _schedule_crash(self, fault: WorkerFault) -> None:
        worker = self.workers_by_id[fault.worker_id]

        def crash() -> None:
            worker.is_unreachable = True
            worker.restart(self.now_ms)

        def recover() -> None:
            worker.is_unreachable = False

        self.schedule_at(fault.from_ms, crash)
        self.schedule_at(fault.until_ms, recover)

    def _submit(self, submission: Submission) -> None:
        self.submitted_count += 1
        self.open_job_count += 1
        self.times_by_id[submission.spec.job_id] = JobTimes(submission)
        self._feed(JobSubmitted(self.submitted_count, submission.spec, self.now_ms))

    def _take_zone_out(self, change: ZoneChange) -> None:
        self.zones_out[change.zone] = ZoneOutage(change.zone, "power", self.now_ms, ZONE_DRAIN_MS)
        back_ms = int(change.back_s * 1000)
        self.zone_history.append((change.zone, self.now_ms, back_ms))
        self.schedule_at(back_ms, lambda: self._bring_zone_in(change.zone))
        self._apply_zone_change()

    def _bring_zone_in(self, zone: str) -> None:
        del self.zones_out[zone]
        self._apply_zone_change()

    def _apply_zone_change(self) -> None:
        """Stores a configuration with the current outages and applies it after a delay."""
        version = self.config.version + 1
        self.config = replace(self.config, version=version, zones_out=dict(self.zones_out))
        self._store_config(self.config)
        event = ConfigApplied(self.config, self._config_row_version)
        self._schedule_after(CONFIG_DELAY_MS, lambda: self._feed(event))

    def _store_config(self, config: Config) -> None:
        write = RowWrite(CONFIG_KEY, to_plain(config))
        reply = self.table.transact(Transaction(f"config-{config.version}", [], [write]))
        self._config_row_version = reply.versions[CONFIG_KEY]

    def _tick(self) -> None:
        self._feed(Tick(self.now_ms))
        if self.now_ms % 1_000 == 0:
            self._feed(LeaseRenewed(self.now_ms + LEASE_MS))
        self._schedule_after(TICK_MS, self._tick)

    def _sample(self) -> None:
        for worker in self.workers_by_id.values():
            worker.advance(self.now_ms)
        self.on_sample(self)
        self._schedule_after(SAMPLE_MS, self._sample)

    def _feed(self, event: Event) -> None:
        for effect in self.core.handle(event, self.now_ms):
            self._perform_effect(effect)

    def _perform_effect(self, effect: Effect) -> None:
        match effect:
            case Write():
                self._schedule_after(STORE_LATENCY_MS, lambda: self._write(effect))
            case ReadRows():
                self._schedule_after(STORE_LATENCY_MS, lambda: self._read(effect))
            case SendBatch():
                self._send_batch(effect)
            case Reply():
                self._record_refusal(effect)
            case LogDecision():
                self._record_decision(effect)

    def _write(self, effect: Write) -> None:
        conditions: list[Condition] = effect.conditions
        reply = self.table.transact(Transaction(effect.write_id, conditions, effect.writes))
        if reply.committed:
            done = WriteDone(effect.write_id, WriteOutcome.COMMITTED, reply.versions, [])
        else:
            conflicts = list(reply.versions)
            done = WriteDone(effect.write_id, WriteOutcome.CONFLICT, {}, conflicts)
        self._schedule_after(STORE_LATENCY_MS, lambda: self._feed(done))

    def _read(self, effect: ReadRows) -> None:
        rows = self.table.read(ReadQuery(effect.keys)).rows
        self._schedule_after(STORE_LATENCY_MS, lambda: self._feed(RowsRead(effect.read_id, rows)))

    def _send_batch(self, effect: SendBatch) -> None:
        worker = self.workers_by_id[effect.worker_id]
        sent_ms = self.now_ms
        if worker.is_unreachable:
            unreachable = WorkerUnreachable(effect.worker_id, effect.batch_id, sent_ms, False)
            self._schedule_after(UNREACHABLE_TIMEOUT_MS, lambda: self._feed(unreachable))
            return

        def deliver() -> None:
            reply = worker.handle(effect.batch, self.now_ms)
            event = WorkerReplied(effect.worker_id, effect.batch_id, sent_ms, reply)
            self._schedule_after(LINK_LATENCY_MS, lambda: self._feed(event))

        self._schedule_after(LINK_LATENCY_MS, deliver)

    def _record_refusal(self, reply: Reply) -> None:
        """Marks a job as refused; call ids of submissions count from 1, others are not positive."""
        if reply.call_id <= 0 or reply.code is ResultCode.OK:
            return
        job_id = self.workload.submissions[reply.call_id - 1].spec.job_id
        self.times_by_id[job_id].refused = True
        self.open_job_count -= 1

    def _record_decision(self, log: LogDecision) -> None:
        """Updates job times and counters from a log event of the core."""
        times = self.times_by_id.get(str(log.fields.get("job_id", "")))
        match log.event:
            case "gang_running" if times is not None and times.started_ms < 0:
                times.started_ms = self.now_ms
            case "job_ended" if times is not None:
                times.ended_ms = self.now_ms
                times.end_state = str(log.fields["state"])
                self.open_job_count -= 1
            case "preempt":
                self.preemptions += 1
