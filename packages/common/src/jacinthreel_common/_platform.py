"""Messages of the platform: table service, host list and workers.

The platform defines these interfaces; the project's stand-ins serve them over HTTP with JSON
bodies.

Table service, `POST /v1/transact` and `POST /v1/read`: rows have versions that grow over the
whole table and are never used twice; version 0 stands for an absent row.  A transaction takes
effect as a whole if every condition holds.  Each row keeps the id of the write that made it, so
that a lost reply is resolved by reading.

Host list, `GET /v1/hosts`: all hosts with a revision; it lags behind the truth.

Workers, `POST /v1/commands`: one message carries all commands for a worker, renews the leases
of the shard's tasks there and returns the reports that changed.  Workers guard their tasks: they
refuse a command whose epoch is lower than the highest seen for its shard, refuse a start later
than `RESERVATION_TTL_MS` after they granted the reservation, and stop a task whose lease lapses.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

from jacinthreel_common._codes import ResultCode


@dataclass(frozen=True, slots=True)
class Condition:
    """Requires a row to have `version`; 0 requires it to be absent."""

    key: str
    version: int


@dataclass(frozen=True, slots=True)
class RowWrite:
    """Sets a row to a JSON value, or deletes it where `value` is None."""

    key: str
    value: Any


@dataclass(frozen=True, slots=True)
class Transaction:
    """A conditional write of several rows, identified by `write_id`."""

    write_id: str
    conditions: list[Condition]
    writes: list[RowWrite]


@dataclass(frozen=True, slots=True)
class TransactionReply:
    """`committed` with the new version of each row, or the versions of the rows that conflict."""

    committed: bool
    versions: dict[str, int] = field(default_factory=dict)


class WriteOutcome(StrEnum):
    """What became of a transaction.

    `failed` means that it certainly did not take effect and never will; `unknown` that the store
    did not answer, so that it may or may not take effect.
    """

    COMMITTED = "committed"
    CONFLICT = "conflict"
    FAILED = "failed"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class ReadQuery:
    """Rows by exact key and by key prefix."""

    keys: list[str] = field(default_factory=list)
    prefixes: list[str] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class Row:
    """A row as read; absent rows are left out of replies."""

    key: str
    version: int
    write_id: str
    value: Any


@dataclass(frozen=True, slots=True)
class ReadReply:
    """The rows found, all from one moment."""

    rows: list[Row]


class HostKind(StrEnum):
    """What a host of the platform's list does."""

    WORKER = "worker"
    EXECUTOR = "executor"
    ENTRY = "entry"


class HostState(StrEnum):
    """What the platform says of a host."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class Host:
    """A host of the platform's list.

    Workers fill in `cores`, `memory_gb` and `accelerators`; executors `slots` and `connections`.
    For an entry host `port` is the router's HTTP port, `stream_port` its stream port and
    `scheduler_port` the stream port of its scheduler.
    """

    host_id: str
    kind: HostKind
    address: str
    port: int
    zone: str
    region: str
    rack: str = ""
    state: HostState = HostState.LIVE
    cores: int = 0
    memory_gb: int = 0
    accelerators: int = 0
    slots: int = 0
    connections: int = 0
    stream_port: int = 0
    scheduler_port: int = 0


@dataclass(frozen=True, slots=True)
class HostListReply:
    """All hosts at a revision; empty `hosts` where the revision asked with is still current."""

    revision: int
    hosts: list[Host]


class CommandKind(StrEnum):
    """What a worker can be told to do with a task."""

    RESERVE = "reserve"
    START = "start"
    CHECKPOINT = "checkpoint"
    THROTTLE = "throttle"
    STOP = "stop"
    RELEASE = "release"


class TaskState(StrEnum):
    """The state of a task on its worker.

    `checkpointed` means stopped after its checkpoint was kept; `lapsed` that the worker stopped it
    because its lease ran out.  Ended tasks stay in reports until they are released.
    """

    RESERVED = "reserved"
    RUNNING = "running"
    CHECKPOINTED = "checkpointed"
    STOPPED = "stopped"
    FINISHED = "finished"
    FAILED = "failed"
    LAPSED = "lapsed"


ENDED_TASK_STATES = frozenset(
    {
        TaskState.CHECKPOINTED,
        TaskState.STOPPED,
        TaskState.FINISHED,
        TaskState.FAILED,
        TaskState.LAPSED,
    }
)
RESERVATION_TTL_MS = 1_000


@dataclass(frozen=True, slots=True)
class TaskCommand:
    """A command for one task; the resource fields are read for `reserve` only.

    `resume_s` is the work that a checkpoint kept, in seconds.
    """

    kind: CommandKind
    job_id: str
    attempt: int
    task_index: int
    accelerators: int = 0
    cores: int = 0
    memory_gb: int = 0
    resume_s: float = 0.0
    command: str = ""


@dataclass(frozen=True, slots=True)
class TaskReport:
    """What a worker says of a task.  `run_s` is work done, `checkpoint_s` work kept; seconds.

    `used_memory_gb` and `run_s` lag by up to the worker's report period.
    """

    job_id: str
    attempt: int
    task_index: int
    state: TaskState
    run_s: float = 0.0
    checkpoint_s: float = 0.0
    used_memory_gb: float = 0.0
    code: ResultCode = ResultCode.OK
    detail: str = ""


@dataclass(frozen=True, slots=True)
class CommandBatch:
    """All that an owner tells one worker at a time; commands are carried out in order.

    Renews the leases of all tasks of `shard` on the worker for `lease_ms`.  `seen_version` is the
    report version that the owner has.
    """

    shard: str
    epoch: int
    lease_ms: int
    seen_version: int
    commands: list[TaskCommand] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class CommandReply:
    """A worker's answer: a code for each command, and all its reports if the version moved on.

    `code` is not OK where the whole batch was refused, as with a stale epoch.
    """

    worker_id: str
    code: ResultCode
    epoch: int
    version: int
    results: list[ResultCode] = field(default_factory=list)
    reports: list[TaskReport] = field(default_factory=list)
