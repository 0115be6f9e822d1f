"""What became of a transaction, told from the table service's reply or its failure."""

from __future__ import annotations

from returns.result import Failure, Result, Success

from jacinthreel_common import Fault, ResultCode, TransactionReply, WriteOutcome


def write_outcome(result: Result[TransactionReply, Fault]) -> WriteOutcome:
    """What became of a transaction."""
    match result:
        case Success(TransactionReply(committed=True)):
            return WriteOutcome.COMMITTED
        case Success(TransactionReply()):
            return WriteOutcome.CONFLICT
        case Failure(Fault(code=ResultCode.STORE_OUTCOME_UNKNOWN)):
            return WriteOutcome.UNKNOWN
    return WriteOutcome.FAILED


def reply_versions(result: Result[TransactionReply, Fault]) -> dict[str, int]:
    """The versions in a reply; empty where there is none."""
    match result:
        case Success(TransactionReply(versions=versions)):
            return versions
    return {}
