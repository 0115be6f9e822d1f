"""Derives the outcome of a transaction from the table service's reply or failure."""

from __future__ import annotations

from returns.result import Failure, Result, Success

from jacinthreel_common import Fault, ResultCode, TransactionReply, WriteOutcome


def classify_write_result(result: Result[TransactionReply, Fault]) -> WriteOutcome:
    """Returns the outcome of a transaction."""
    match result:
        case Success(TransactionReply(committed=True)):
            return WriteOutcome.COMMITTED
        case Success(TransactionReply()):
            return WriteOutcome.CONFLICT
        case Failure(Fault(code=ResultCode.STORE_OUTCOME_UNKNOWN)):
            return WriteOutcome.UNKNOWN
    return WriteOutcome.FAILED


def extract_row_versions(result: Result[TransactionReply, Fault]) -> dict[str, int]:
    """Returns the row versions in a reply, or an empty dictionary for a failure.

    These are the versions of the written rows, or after a conflict those of the conflicting rows.
    """
    match result:
        case Success(TransactionReply(versions=versions)):
            return versions
    return {}
