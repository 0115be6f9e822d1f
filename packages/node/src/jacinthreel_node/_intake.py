"""Inserts rows into the intake table: accepted jobs and cancellations.

An insert without an answer may take effect seconds later, so "no such row" doesn't tell that there
will be none.  The row `cancel/ID` settles the order: a job is inserted under the condition that it
is absent, and a cancellation of an unknown job is stored there, under the condition that the job is
absent.  Whichever of the two transactions takes effect first makes the other one fail.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

import msgspec
from returns.result import Failure, Result, Success

from jacinthreel_common import Fault, ResultCode
from jacinthreel_node._ports import Committed, Conflict, KeyedStore, Row, RowCondition, RowWrite
from jacinthreel_node._records import (
    CANCEL_PREFIX,
    INTAKE_TABLE,
    JOB_PREFIX,
    decode_cancel,
    decode_job,
    encode_record,
    keeps_job_out,
)

MAX_ATTEMPTS: Final = 3  # A row that another caller changes meanwhile causes another attempt.
CANCELLED_RETRY_AFTER_MS: Final = 60_000


@dataclass(frozen=True, slots=True)
class CancelStored:
    """A cancellation is stored; `has_job` is false if there is no job, and none follows late.

    `row` is None if the cancellation was stored before.
    """

    has_job: bool
    row: Row | None


async def insert_intake_row(
    store: KeyedStore, key: str, value: bytes, timeout_ms: int, is_retry: bool = False
) -> Result[int | None, Fault]:
    """Inserts the row of a job if absent; returns its version, or None if one already existed.

    `is_retry` is set after an attempt with an unknown outcome.  A row with the same value was then
    inserted by that attempt, because the value of a job's row holds the time of its acceptance.
    A cancellation that another workspace stored for this id is replaced.
    Errors: STORE_UNAVAILABLE, STORE_OUTCOME_UNKNOWN, JOB_CANCELLED (the job never runs).
    """
    cancel_key = CANCEL_PREFIX + key.removeprefix(JOB_PREFIX)
    cancel_version = 0
    for _ in range(MAX_ATTEMPTS):
        conditions = [
            RowCondition(INTAKE_TABLE, key, 0),
            RowCondition(INTAKE_TABLE, cancel_key, cancel_version),
        ]
        writes = [RowWrite(INTAKE_TABLE, key, value)]
        if cancel_version:
            writes.append(RowWrite(INTAKE_TABLE, cancel_key, None))
        match await store.commit(conditions, writes, timeout_ms):
            case Success(Committed(version=version)):
                return Success(version)
            case Success(Conflict(rows=rows)):
                job, cancel = _find_row(rows, key), _find_row(rows, cancel_key)
            case Failure(Fault() as fault):
                return Failure(fault)
        if job is not None:
            return Success(job.version if is_retry and job.value == value else None)
        if cancel is not None and _is_cancelled(cancel, value):
            return Failure(_cancelled_fault())
        cancel_version = cancel.version if cancel is not None else 0
    return Failure(Fault(ResultCode.STORE_UNAVAILABLE, "the job's rows keep changing"))


async def insert_known_cancellation(
    store: KeyedStore, key: str, value: bytes, timeout_ms: int
) -> Result[CancelStored, Fault]:
    """Stores the cancellation of a job that is known to be accepted.

    Errors: STORE_UNAVAILABLE, STORE_OUTCOME_UNKNOWN.
    """
    conditions = [RowCondition(INTAKE_TABLE, key, 0)]
    match await store.commit(conditions, [RowWrite(INTAKE_TABLE, key, value)], timeout_ms):
        case Success(Committed(version=version)):
            return Success(CancelStored(True, Row(INTAKE_TABLE, key, value, version)))
        case Success(Conflict()):
            return Success(CancelStored(True, None))
        case Failure(Fault() as fault):
            return Failure(fault)
        case _:
            raise AssertionError("a Result is Success or Failure")


async def insert_cancellation(
    store: KeyedStore, key: str, value: bytes, timeout_ms: int
) -> Result[CancelStored, Fault]:
    """Stores the cancellation of a job that may be unknown, and tells whether it is.

    For an unknown job the row is written anew each time, so that it is kept long enough after each
    call.  Errors: STORE_UNAVAILABLE, STORE_OUTCOME_UNKNOWN.
    """
    job_key, cancel_key = JOB_PREFIX + key.removeprefix(CANCEL_PREFIX), key
    job_version = cancel_version = 0
    for _ in range(MAX_ATTEMPTS):
        conditions = [
            RowCondition(INTAKE_TABLE, job_key, job_version),
            RowCondition(INTAKE_TABLE, cancel_key, cancel_version),
        ]
        writes = [RowWrite(INTAKE_TABLE, cancel_key, value)]
        match await store.commit(conditions, writes, timeout_ms):
            case Success(Committed(version=version)):
                row = Row(INTAKE_TABLE, cancel_key, value, version)
                return Success(CancelStored(job_version > 0, row))
            case Success(Conflict(rows=rows)):
                job, cancelled = _find_row(rows, job_key), _find_row(rows, cancel_key)
            case Failure(Fault() as fault):
                return Failure(fault)
        if job is not None and cancelled is not None:
            return Success(CancelStored(True, None))
        if job is not None:
            job_version, value = job.version, _mark_job(value)
        cancel_version = cancelled.version if cancelled is not None else 0
    return Failure(Fault(ResultCode.STORE_UNAVAILABLE, "the job's rows keep changing"))


def _find_row(rows: tuple[Row, ...], key: str) -> Row | None:
    for row in rows:
        if row.key == key and row.value is not None:
            return row
    return None


def _is_cancelled(cancel: Row, job_value: bytes) -> bool:
    """Whether a cancellation is by the workspace of the job that is to be inserted."""
    record = decode_job(job_value)
    return record is None or keeps_job_out(decode_cancel(cancel.value), record)


def _mark_job(value: bytes) -> bytes:
    """Returns the value of a cancellation's row with the mark that its job is accepted."""
    cancel = decode_cancel(value)
    return value if cancel is None else encode_record(msgspec.structs.replace(cancel, has_job=True))


def _cancelled_fault() -> Fault:
    detail = "the job was cancelled before it was accepted; it has not run and will not run"
    return Fault(ResultCode.JOB_CANCELLED, detail, CANCELLED_RETRY_AFTER_MS)
