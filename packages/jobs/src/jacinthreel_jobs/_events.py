"""Inputs of the shard core: everything that it learns arrives as one of these.

Times are monotonic milliseconds of the process that drives the core.
"""

from __future__ import annotations

from dataclasses import dataclass

from jacinthreel_common import CommandReply, Config, Host, JobSpec, Row, WriteOutcome


@dataclass(frozen=True, slots=True)
class OwnershipGained:
    """The process became the owner of the shard.

    `rows` are the job rows, read after the epoch row was written.  `lease_until_ms` counts from
    the moment the lease write was sent.  `unix_ms` is the wall clock now.
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
    """A configuration came into force here; `row_version` is its row's version."""

    config: Config
    row_version: int


@dataclass(frozen=True, slots=True)
class HostsListed:
    """The platform's host list changed; only workers of the shard's region matter."""

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
    """A `Write` effect ended; `versions` has the new row versions where it committed.

    `conflicts` holds the keys whose conditions failed where it conflicted.
    """

    write_id: str
    outcome: WriteOutcome
    versions: dict[str, int]
    conflicts: list[str]


@dataclass(frozen=True, slots=True)
class RowsRead:
    """The rows that a `ReadRows` effect asked for; absent rows are left out."""

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
    """A batch got no answer.  `delivered` is false where it certainly never arrived."""

    worker_id: str
    batch_id: int
    sent_ms: int
    delivered: bool


@dataclass(frozen=True, slots=True)
class Tick:
    """Time passed.  `unix_ms` is the wall clock, for records only."""

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
