"""The state that the modules of the shard core share besides the tables.

`ShardContext.effects` collects the effects of the event being handled.  `ShardContext.epoch` is 0
while the process does not own the shard.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from typing import Any

from jacinthreel_common import (
    CommandKind,
    Fault,
    Host,
    JobRecord,
    TaskCommand,
    TaskState,
    TimerService,
    ZoneOutage,
)
from jacinthreel_jobs._effects import Effect, LogDecision, StepDown, WritePriority
from jacinthreel_jobs._gang import Gang
from jacinthreel_jobs._tables import JobEntry, Tables, TaskKey, WorkerEntry


@dataclass(slots=True)
class RowChange:
    """A requested change of one job's row whose outcome is not known yet.

    `expected_version` is the row's version before the change; 0 inserts it.  A record of None
    deletes the row.  If `config_version` is not 0, the write is conditional on the configuration
    row having that version.  `write_ids` has every write that attempted the change.
    `maybe_applied` is set once an attempt ended with an unknown outcome.  `call_ids` are the calls
    to answer.
    """

    job_id: str
    record: JobRecord | None
    expected_version: int
    priority: WritePriority
    config_version: int = 0
    write_ids: list[str] = field(default_factory=list)
    in_flight: bool = False
    maybe_applied: bool = False
    tries: int = 0
    call_ids: list[int] = field(default_factory=list)


@dataclass(slots=True)
class SentBatch:
    """A batch whose reply is pending.

    `renewal_before_ms` is the worker's previous `last_renewal_sent_ms`, which is restored if the
    batch was not delivered.
    """

    batch_id: int
    sent_ms: int
    commands: list[TaskCommand]
    seen_version: int
    renewal_before_ms: int


@dataclass(slots=True)
class WorkerLink:
    """The exchange with one worker: at most one batch is in flight, further commands are queued.

    `state_by_key` has the task states that the worker last reported.  While `sending_suspended` is
    set, regular batches are withheld so that the task leases on the worker expire.
    """

    worker: WorkerEntry
    outstanding: SentBatch | None = None
    queue: dict[tuple[TaskKey, CommandKind], TaskCommand] = field(default_factory=dict)
    state_by_key: dict[TaskKey, TaskState] = field(default_factory=dict)
    paused_until_ms: int = 0
    sending_suspended: bool = False


@dataclass(slots=True)
class WorkerEvidence:
    """What is known about a worker's health beyond whether it replies.

    `failed_job_ids` are the jobs whose tasks failed there since a task last succeeded there, and
    that have not failed on another worker.  `confirmed_failures` counts those that later finished
    on other workers.  `quarantines` counts quarantines since the last passed probation.
    `on_probation` is set from the start of a quarantine until a task succeeds there.  `leaving`
    tells whether the worker is leaving according to the host list.
    """

    failed_job_ids: dict[str, None] = field(default_factory=dict)
    confirmed_failures: int = 0
    quarantines: int = 0
    quarantined_until_ms: int = 0
    on_probation: bool = False
    leaving: bool = False
    listed: bool = True


@dataclass(slots=True)
class ShardContext:
    """State of a shard's owner besides the tables.

    Times are monotonic milliseconds.  `config_row_version` is 0 if the version of the configuration
    row is not known.  `due_links` are the links that get a batch after the current event, and
    `unsent_by_priority` the row changes that wait to be written.  `cancel_call_ids_by_job_id`
    has the calls to answer once a cancellation is stored.  `unreadable_job_ids` are jobs whose row
    could not be decoded.  `fit_fault_by_shape` caches the results of `check_job_fits`.
    `outages_by_zone` are the outages that have been applied, and `urgent_job_ids` the ids of queued
    urgent jobs.
    """

    tables: Tables
    rng: random.Random
    now_ms: int = 0
    unix_offset_ms: int = 0
    effects: list[Effect] = field(default_factory=list)
    timers: TimerService = field(default_factory=TimerService)
    epoch: int = 0
    epoch_row_version: int = 0
    ownership_gained_ms: int = 0
    lease_until_ms: int = 0
    config_row_version: int = 0
    gangs_by_job_id: dict[str, Gang] = field(default_factory=dict)
    links_by_worker_id: dict[str, WorkerLink] = field(default_factory=dict)
    due_links: dict[str, WorkerLink] = field(default_factory=dict)
    evidence_by_worker_id: dict[str, WorkerEvidence] = field(default_factory=dict)
    changes_by_job_id: dict[str, RowChange] = field(default_factory=dict)
    unsent_by_priority: dict[WritePriority, dict[str, RowChange]] = field(
        default_factory=lambda: {priority: {} for priority in WritePriority}
    )
    changes_by_write_id: dict[str, list[RowChange]] = field(default_factory=dict)
    changes_by_read_id: dict[str, RowChange] = field(default_factory=dict)
    writes_in_flight: dict[WritePriority, int] = field(
        default_factory=lambda: dict.fromkeys(WritePriority, 0)
    )
    unreadable_job_ids: set[str] = field(default_factory=set)
    cancel_call_ids_by_job_id: dict[str, list[int]] = field(default_factory=dict)
    hosts: list[Host] = field(default_factory=list)
    fit_fault_by_shape: dict[tuple[object, ...], Fault | None] = field(default_factory=dict)
    outages_by_zone: dict[str, ZoneOutage] = field(default_factory=dict)
    urgent_job_ids: set[str] = field(default_factory=set)
    plan_requested: bool = False
    urgent_plan_requested: bool = False
    planned_ms: int = 0
    sequence: int = 0

    @property
    def owns(self) -> bool:
        """Whether this process owns the shard, according to the events handled so far."""
        return self.epoch > 0

    @property
    def lease_valid(self) -> bool:
        """Whether the shard's lease is valid, so that tasks may be placed and started."""
        return self.epoch > 0 and self.now_ms < self.lease_until_ms

    @property
    def unix_ms(self) -> int:
        """The wall clock in Unix milliseconds, used only in records."""
        return self.now_ms + self.unix_offset_ms

    def next_id(self) -> int:
        """Returns a number that is unique within this process."""
        self.sequence += 1
        return self.sequence

    def request_plan(self, _now_ms: int = 0) -> None:
        """Requests a plan of urgent jobs after the current event, and of all jobs at a tick."""
        self.plan_requested = True
        self.urgent_plan_requested = True

    def emit(self, effect: Effect) -> None:
        """Adds an effect of the current event."""
        self.effects.append(effect)

    def log(self, event: str, **fields: Any) -> None:
        """Logs a decision with the current epoch and configuration version."""
        version = self.tables.config.version if self.tables.config else 0
        self.emit(LogDecision(event, {**fields, "epoch": self.epoch, "config_version": version}))

    def step_down(self, reason: str) -> None:
        """Stops acting as the owner; the driver confirms this with `OwnershipLost`."""
        if not self.epoch:
            return
        self.log("step_down", reason=reason)
        self.emit(StepDown(reason))
        self.epoch = 0

    def enqueue_job(self, job: JobEntry) -> None:
        """Adds a job to the queue."""
        self.tables.queued_by_id[job.job_id] = job
        if job.record.spec.urgent:
            self.urgent_job_ids.add(job.job_id)
        self.request_plan()

    def dequeue_job(self, job_id: str) -> None:
        """Removes a job from the queue, if it is queued."""
        self.tables.queued_by_id.pop(job_id, None)
        self.urgent_job_ids.discard(job_id)

    def is_zone_closed(self, zone: str) -> bool:
        """Returns whether operators took `zone` out of service."""
        return self.tables.config is not None and zone in self.tables.config.zones_out
