"""Inserts rows into the intake table: accepted jobs and cancellations."""

from __future__ import annotations

from returns.result import Failure, Result, Success

from jacinthreel_common import Fault
from jacinthreel_node._ports import Committed, Conflict, KeyedStore, RowCondition, RowWrite
from jacinthreel_node._records import INTAKE_TABLE


async def insert_intake_row(
    store: KeyedStore, key: str, value: bytes, timeout_ms: int
) -> Result[int | None, Fault]:
    """Inserts a row if absent; returns its version, or None if the row already existed.

    Errors: STORE_UNAVAILABLE, STORE_OUTCOME_UNKNOWN.
    """
    conditions = [RowCondition(INTAKE_TABLE, key, 0)]
    writes = [RowWrite(INTAKE_TABLE, key, value)]
    match await store.commit(conditions, writes, timeout_ms):
        case Success(Committed(version=version)):
            return Success(version)
        case Success(Conflict()):
            return Success(None)
        case Failure(Fault() as fault):
            return Failure(fault)
        case _:
            raise AssertionError("a Result is Success or Failure")
