"""Messages exchanged with the outer platform: table service, host list and workers.

The platform defines these interfaces; the project's stand-ins serve them over HTTP with JSON
bodies.

Table service, `POST /v1/transact` and `POST /v1/read`: row versions come from one increasing
sequence for the whole table and are never reused; version 0 denotes an absent row.  A transaction
is atomic: all its writes take effect if every condition holds, otherwise none does.  Each row
stores the id of the transaction that wrote it, so that a client whose reply was lost can read the
row to find out whether the transaction took effect.

Host list, `GET /v1/hosts`: all hosts at a revision.  The list is eventually consistent and can be
stale.

Workers, `POST /v1/commands`: one batch carries all commands for a worker, renews the leases of the
shard's tasks on that worker and returns all of the shard's task reports if any changed.  Workers
enforce fencing: they reject a batch whose epoch is lower than the highest epoch received for its
shard, reject a start more than `RESERVATION_TTL_MS` after the reservation was granted, and stop a
task when its lease expires.
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
    """Sets a row to a JSON value, or deletes it if `value` is None."""

    key: str
    value: Any


@dataclass(frozen=True, slots=True)
class Transaction:
    """An atomic conditional write of several rows, identified by `write_id`."""

    write_id: str
    conditions: list[Condition]
    writes: list[RowWrite]


@dataclass(frozen=True, slots=True)
class TransactionReply:
    """The result of a transaction.

    If `committed`, `versions` holds the new version of each written row, 0 for a deleted one;
    otherwise the current version of each row whose condition failed.
    """

    committed: bool
    versions: dict[str, int] = field(default_factory=dict)


class WriteOutcome(StrEnum):
    """The outcome of a transaction.

    `failed` means that it did not take effect and will not take effect later; `unknown` means that
    the store did not reply, so the transaction may or may not take effect, possibly later.
    """

    COMMITTED = "committed"
    CONFLICT = "conflict"
    FAILED = "failed"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class ReadQuery:
    """Selects rows by exact key and by key prefix."""

    keys: list[str] = field(default_factory=list)
    prefixes: list[str] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class Row:
    """A row in a read reply; absent rows are omitted from the reply."""

    key: str
    version: int
    write_id: str
    value: Any


@dataclass(frozen=True, slots=True)
class ReadReply:
    """The rows found, as one consistent snapshot."""

    rows: list[Row]


class HostKind(StrEnum):
    """The kind of a host in the platform's host list."""

    WORKER = "worker"
    EXECUTOR = "executor"
    ENTRY = "entry"


class HostState(StrEnum):
    """The state of a host in the platform's host list."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class Host:
    """A host in the platform's host list.

    `cores`, `memory_gb` and `accelerators` are set for workers; `slots` and `connections` for
    executors.  For an entry host `port` is the router's HTTP port, `stream_port` its stream port
    and `scheduler_port` the stream port of its scheduler.
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
    """All hosts at a revision; `hosts` is empty if the revision given in the query is current."""

    revision: int
    hosts: list[Host]


class CommandKind(StrEnum):
    """The operations that a worker can execute on a task."""

    RESERVE = "reserve"
    START = "start"
    CHECKPOINT = "checkpoint"
    THROTTLE = "throttle"
    STOP = "stop"
    RELEASE = "release"


class TaskState(StrEnum):
    """The state of a task on its worker.

    `checkpointed` means that the task was stopped after its checkpoint was stored; `lapsed` that
    the worker stopped it because its lease or reservation expired.  Ended tasks are reported until
    they are released.
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
    """A command for one task; workers use the resource fields for `reserve` only.

    `resume_s` is the work stored in the checkpoint to resume from, in seconds.
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
    """The state of a task as reported by its worker.

    `run_s` is the work done and `checkpoint_s` the work stored by checkpoints, both in seconds.
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
    """The commands of a shard's owner for one worker, executed in order.

    Renews the leases of all tasks of `shard` on the worker for `lease_ms`.  `seen_version` is the
    report version that the owner received last.
    """

    shard: str
    epoch: int
    lease_ms: int
    seen_version: int
    commands: list[TaskCommand] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class CommandReply:
    """A worker's reply to a batch.

    `results` holds a code for each command.  `reports` covers all of the shard's tasks on the
    worker if `version` differs from the batch's `seen_version`, and is empty otherwise.  `code` is
    not OK if the whole batch was rejected, for example because of a stale epoch.
    """

    worker_id: str
    code: ResultCode
    epoch: int
    version: int
    results: list[ResultCode] = field(default_factory=list)
    reports: list[TaskReport] = field(default_factory=list)
