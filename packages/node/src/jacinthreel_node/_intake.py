"""Inserts rows into the intake table: accepted jobs and cancellations."""

from __future__ import annotations

from returns.result import Failure, Result, Success

from jacinthreel_common import Fault
from jacinthreel_node._ports import Committed, Conflict, KeyedStore, RowCondition, RowWrite
from jacinthreel_node._records import INTAKE_TABLE


async def insert_intake_row(
    store: KeyedStore, key: str, value: bytes, timeout_ms: int, is_retry: bool = False
) -> Result[int | None, Fault]:
    """Inserts a row if absent; returns its version, or None if another row already existed.

    `is_retry` is set after an attempt with an unknown outcome.  A row with the same value was then
    inserted by that attempt, because the value of a job's row holds the time of its acceptance.
    Errors: STORE_UNAVAILABLE, STORE_OUTCOME_UNKNOWN.
    """
    conditions = [RowCondition(INTAKE_TABLE, key, 0)]
    writes = [RowWrite(INTAKE_TABLE, key, value)]
    match await store.commit(conditions, writes, timeout_ms):
        case Success(Committed(version=version)):
            return Success(version)
        case Success(Conflict(rows=rows)):
            for row in rows:
                if is_retry and row.key == key and row.value == value:
                    return Success(row.version)
            return Success(None)
        case Failure(Fault() as fault):
            return Failure(fault)
        case _:
            raise AssertionError("a Result is Success or Failure")
