"""Tables and row formats that nodes write: intake, progress, owner, lease and executor speeds."""

from __future__ import annotations

import zlib
from typing import Annotated, Final

import msgspec

from jacinthreel_common import MALFORMED_INPUT, compress_row, expand_row
from jacinthreel_steps import JobRecord, is_record_usable

INTAKE_TABLE: Final = "intake"
PROGRESS_TABLE: Final = "progress"
OWNER_TABLE: Final = "owner"
LEASE_TABLE: Final = "lease"
OWNER_KEY: Final = "owner"
RELAYS_KEY: Final = "relays"
"""Key of the row of the lease table that is written before the first use of relays."""
GRANTS_KEY: Final = "grants"
"""Key of the row of the owner table that tells where an owner may have granted leases."""
SPEEDS_TABLE: Final = "speeds"
SPEEDS_KEY: Final = "speeds"
INTAKE_GROUPS: Final = tuple(f"intake-{index}" for index in range(8))
"""Transaction groups that spread the jobs, as a slow store does few transactions/s per group."""
_GROUPS_BY_TABLE: Final = {
    PROGRESS_TABLE: "progress",
    OWNER_TABLE: "progress",
    LEASE_TABLE: "lease",
    SPEEDS_TABLE: "speeds",
}
JOB_PREFIX: Final = "job/"
CANCEL_PREFIX: Final = "cancel/"


def transaction_group(table: str, key: str) -> str:
    """Returns the transaction group of a row; a transaction writes rows of one group only.

    All intake rows of a job are in the same group.

    >>> transaction_group("intake", "job/5c0e7a21d94b36f8")
    'intake-0'
    >>> transaction_group("intake", "cancel/5c0e7a21d94b36f8")
    'intake-0'
    >>> transaction_group("progress", "5c0e7a21d94b36f8")
    'progress'
    """
    if table != INTAKE_TABLE:
        return _GROUPS_BY_TABLE[table]
    job_id = key.rpartition("/")[2]
    return INTAKE_GROUPS[zlib.crc32(job_id.encode()) % len(INTAKE_GROUPS)]


def transaction_groups(table: str) -> tuple[str, ...]:
    """Returns all transaction groups of a table."""
    return INTAKE_GROUPS if table == INTAKE_TABLE else (_GROUPS_BY_TABLE[table],)


# A number beyond these bounds can't be stored again, or connected to.
Number = Annotated[int, msgspec.Meta(ge=0, le=2**53)]
Port = Annotated[int, msgspec.Meta(ge=1, le=2**16 - 1)]


class OwnerRow(msgspec.Struct, frozen=True):
    """The owner of the jobs; `nonce` is unique to each takeover."""

    epoch: Number
    host_id: str
    address: str
    port: Port
    nonce: str


class CancelRow(msgspec.Struct, frozen=True):
    """A cancellation; rows of earlier versions are empty and name no workspace.

    `has_job` is set if the job was accepted before; otherwise it may come before the job's row, or
    without one.
    """

    workspace: str
    queue: str
    has_job: bool


class EarlierLeases(msgspec.Struct, frozen=True):
    """The longest remaining lease times of earlier owners in ms, by executor and for all others."""

    left_ms_by_executor: dict[str, Number]
    others_ms: Number


class LeaseRow(msgspec.Struct, frozen=True):
    """An owner's lease, stored under the id of its host and rewritten at each renewal.

    `count` is the number of the renewal.  `is_resigned` is set once the owner has resigned.
    `earlier_leases` holds what owners before this one may still have granted when the row was
    written; None in rows of earlier versions, and in the row `RELAYS_KEY`.  `validity_ms` is for
    how long after a later takeover leases of this owner may be valid at most, without those that
    its relays renew; None in rows of earlier versions.  `records_grants` is set if the owner grants
    leases only as its `GrantsRow` allows, and `earlier_leases` names all other executors with runs.
    """

    epoch: Number
    count: Number
    is_resigned: bool = False
    earlier_leases: EarlierLeases | None = None
    validity_ms: Number | None = None
    records_grants: bool = False


class GrantsRow(msgspec.Struct, frozen=True):
    """The only executors at which the owner of an epoch may have granted leases; None for any.

    `count` is the number of the write.  The row is written under the condition that the owner row
    is unchanged, so that it doesn't change after another takeover.
    """

    epoch: Number
    count: Number
    executor_ids: list[str] | None


class SpeedsRow(msgspec.Struct, frozen=True):
    """Speeds of executors relative to the usual speed, and run-time models.

    Executors of the usual speed are omitted.  `run_time_by_queue` holds the numbers that
    `Scheduler.run_times` returns; it is empty in rows of earlier versions.
    """

    speed_by_executor: dict[str, float]
    run_time_by_queue: dict[str, tuple[float, ...]] = {}


_job_decoder = msgspec.msgpack.Decoder(JobRecord)
_owner_decoder = msgspec.msgpack.Decoder(OwnerRow)
_lease_decoder = msgspec.msgpack.Decoder(LeaseRow)
_cancel_decoder = msgspec.msgpack.Decoder(CancelRow)
_grants_decoder = msgspec.msgpack.Decoder(GrantsRow)
_speeds_decoder = msgspec.msgpack.Decoder(SpeedsRow)


def encode_record(
    record: JobRecord | CancelRow | OwnerRow | LeaseRow | GrantsRow | SpeedsRow,
) -> bytes:
    """Encodes a record as MessagePack; a large job is compressed."""
    value = msgspec.msgpack.encode(record)
    return compress_row(value) if isinstance(record, JobRecord) else value


def decode_job(value: bytes) -> JobRecord | None:
    """Decodes an accepted job; returns None if malformed or impossible to schedule."""
    try:
        record = _job_decoder.decode(expand_row(value))
    except MALFORMED_INPUT:
        return None
    return record if is_record_usable(record) else None


def decode_cancel(value: bytes | None) -> CancelRow | None:
    """Decodes a cancellation; returns None if it names no workspace."""
    try:
        return _cancel_decoder.decode(value or b"")
    except MALFORMED_INPUT:
        return None


def keeps_job_out(cancel: CancelRow | None, record: JobRecord) -> bool:
    """Whether a job is not to be accepted any more after a cancellation that was stored before.

    Ids are chosen by callers: the cancellation of another workspace must not keep a job out.
    """
    return cancel is None or cancel.workspace == record.workspace


def cancels_job(cancel: CancelRow | None, record: JobRecord) -> bool:
    """Whether a cancellation applies to an accepted job with its id."""
    return cancel is None or cancel.has_job or cancel.workspace == record.workspace


def decode_owner(value: bytes) -> OwnerRow | None:
    """Decodes the owner row; returns None if malformed."""
    try:
        return _owner_decoder.decode(value)
    except MALFORMED_INPUT:
        return None


def decode_lease(value: bytes) -> LeaseRow | None:
    """Decodes a lease row; returns None if malformed."""
    try:
        return _lease_decoder.decode(value)
    except MALFORMED_INPUT:
        return None


def decode_grants(value: bytes) -> GrantsRow | None:
    """Decodes the row of grants; returns None if malformed."""
    try:
        return _grants_decoder.decode(value)
    except MALFORMED_INPUT:
        return None


def decode_speeds(value: bytes) -> SpeedsRow | None:
    """Decodes the speeds row; returns None if malformed."""
    try:
        return _speeds_decoder.decode(value)
    except MALFORMED_INPUT:
        return None
