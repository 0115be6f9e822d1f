"""The node's own rows: accepted jobs, cancellations, ownership, its lease and learnt speeds."""

from __future__ import annotations

import zlib
from typing import Final

import msgspec

from jacinthreel_steps import JobRecord

INTAKE_TABLE: Final = "intake"
PROGRESS_TABLE: Final = "progress"
OWNER_TABLE: Final = "owner"
LEASE_TABLE: Final = "lease"
OWNER_KEY: Final = "owner"
SPEEDS_TABLE: Final = "speeds"
SPEEDS_KEY: Final = "speeds"
INTAKE_GROUPS: Final = tuple(f"intake-{index}" for index in range(8))
"""Jobs are spread over these: a slow store takes only a few transactions a second for each."""
_GROUPS_BY_TABLE: Final = {
    PROGRESS_TABLE: "progress",
    OWNER_TABLE: "progress",
    LEASE_TABLE: "lease",
    SPEEDS_TABLE: "speeds",
}
JOB_PREFIX: Final = "job/"
CANCEL_PREFIX: Final = "cancel/"


def transaction_group(table: str, key: str) -> str:
    """The group of a row of ours: only rows of one group are written in one transaction.

    All rows of a job in the intake are in one group.

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
    """All groups of a table of ours."""
    return INTAKE_GROUPS if table == INTAKE_TABLE else (_GROUPS_BY_TABLE[table],)


class OwnerRow(msgspec.Struct, frozen=True):
    """Who owns the jobs; `nonce` tells one takeover from all others."""

    epoch: int
    host_id: str
    address: str
    port: int
    nonce: str


class LeaseRow(msgspec.Struct, frozen=True):
    """An owner's sign of life, under the id of its host.

    `is_resigned` is set where it has given the jobs up.
    """

    epoch: int
    count: int
    is_resigned: bool = False


class SpeedsRow(msgspec.Struct, frozen=True):
    """How fast executors are relative to the usual one, without those that are as fast."""

    speed_by_executor: dict[str, float]


_job_decoder = msgspec.msgpack.Decoder(JobRecord)
_owner_decoder = msgspec.msgpack.Decoder(OwnerRow)
_lease_decoder = msgspec.msgpack.Decoder(LeaseRow)
_speeds_decoder = msgspec.msgpack.Decoder(SpeedsRow)


def encode_record(record: JobRecord | OwnerRow | LeaseRow | SpeedsRow) -> bytes:
    """Writes a record."""
    return msgspec.msgpack.encode(record)


def decode_job(value: bytes) -> JobRecord | None:
    """Reads an accepted job, or None if it can't be read."""
    try:
        return _job_decoder.decode(value)
    except msgspec.DecodeError:
        return None


def decode_owner(value: bytes) -> OwnerRow | None:
    """Reads the owner's row, or None if it can't be read."""
    try:
        return _owner_decoder.decode(value)
    except msgspec.DecodeError:
        return None


def decode_lease(value: bytes) -> LeaseRow | None:
    """Reads the lease row, or None if it can't be read."""
    try:
        return _lease_decoder.decode(value)
    except msgspec.DecodeError:
        return None


def decode_speeds(value: bytes) -> SpeedsRow | None:
    """Reads the row of speeds, or None if it can't be read."""
    try:
        return _speeds_decoder.decode(value)
    except msgspec.DecodeError:
        return None
