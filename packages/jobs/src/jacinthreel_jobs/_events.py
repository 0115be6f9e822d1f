"""Events: the inputs of the shard core.

Times are monotonic milliseconds of the process that drives the core.
"""

from __future__ import annotations

from dataclasses import dataclass

from jacinthreel_common import CommandReply, Config, Host, JobSpec, Row, WriteOutcome


@dataclass(frozen=True, slots=True)
class OwnershipGained:
    """The process became the owner of the shard.

    `rows` are the job rows, read after the epoch row was written.  `lease_until_ms` is the end of
    the lease, counted from the time the lease write was sent.  `unix_ms` is the wall clock now.
    """

    epoch: int
    epoch_row_version: int
    lease_until_ms: int
    rows: list[Row]
    unix_ms: int


@dataclass(frozen=True, slots=True)
class LeaseRenewed:
    """The shard's lease was renewed."""

    lease_until_ms: int


@dataclass(frozen=True, slots=True)
class OwnershipLost:
    """Another process took the shard over, or this one released it."""


@dataclass(frozen=True, slots=True)
class ConfigApplied:
    """A configuration was applied in the process; `row_version` is the version of its row."""

    config: Config
    row_version: int


@dataclass(frozen=True, slots=True)
class HostsListed:
    """The platform's host list changed; the core uses only workers of the shard's region."""

    hosts: list[Host]


@dataclass(frozen=True, slots=True)
class JobSubmitted:
    """A caller submits a job; answered by a `Reply` effect with the same `call_id`."""

    call_id: int
    spec: JobSpec
    unix_ms: int


@dataclass(frozen=True, slots=True)
class JobCancelled:
    """A caller cancels a job; answered by a `Reply` effect with the same `call_id`."""

    call_id: int
    job_id: str


@dataclass(frozen=True, slots=True)
class WriteDone:
    """A `Write` effect ended; if it committed, `versions` has the new row versions.

    If it conflicted, `conflicts` has the keys whose conditions failed.
    """

    write_id: str
    outcome: WriteOutcome
    versions: dict[str, int]
    conflicts: list[str]


@dataclass(frozen=True, slots=True)
class RowsRead:
    """The result of a `ReadRows` effect; rows that don't exist are left out."""

    read_id: str
    rows: list[Row]


@dataclass(frozen=True, slots=True)
class WorkerReplied:
    """A worker answered the batch sent at `sent_ms`."""

    worker_id: str
    batch_id: int
    sent_ms: int
    reply: CommandReply


@dataclass(frozen=True, slots=True)
class WorkerUnreachable:
    """A batch got no reply.  `delivered` is False if it certainly did not reach the worker."""

    worker_id: str
    batch_id: int
    sent_ms: int
    delivered: bool


@dataclass(frozen=True, slots=True)
class Tick:
    """A periodic clock tick.  `unix_ms` is the wall clock, used only in records."""

    unix_ms: int


Event = (
    OwnershipGained
    | LeaseRenewed
    | OwnershipLost
    | ConfigApplied
    | HostsListed
    | JobSubmitted
    | JobCancelled
    | WriteDone
    | RowsRead
    | WorkerReplied
    | WorkerUnreachable
    | Tick
)
