"""The node's own rows: accepted jobs, cancellations, ownership and its lease."""

from __future__ import annotations

from typing import Final

import msgspec

from jacinthreel_steps import JobRecord

INTAKE_TABLE: Final = "intake"
PROGRESS_TABLE: Final = "progress"
OWNER_TABLE: Final = "owner"
LEASE_TABLE: Final = "lease"
OWNER_KEY: Final = "owner"
TRANSACTION_GROUPS: Final = {
    INTAKE_TABLE: "intake",
    PROGRESS_TABLE: "progress",
    OWNER_TABLE: "progress",
    LEASE_TABLE: "lease",
}
"""Tables with the same name here may be written in one transaction; the others don't queue up."""
JOB_PREFIX: Final = "job/"
CANCEL_PREFIX: Final = "cancel/"


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


_job_decoder = msgspec.msgpack.Decoder(JobRecord)
_owner_decoder = msgspec.msgpack.Decoder(OwnerRow)
_lease_decoder = msgspec.msgpack.Decoder(LeaseRow)


def encode_record(record: JobRecord | OwnerRow | LeaseRow) -> bytes:
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
