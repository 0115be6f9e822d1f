"""Output effects of the request router, carried out by the process that drives it."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from typing import Any

from jacinthreel_common import ResultCode
from jacinthreel_requests._events import WholeAnswer


class WritePriority(IntEnum):
    """Priority of a write for the rate limit of table operations; lower values go first."""

    CLAIM = 1
    BOOKKEEPING = 2


@dataclass(frozen=True, slots=True)
class Dispatch:
    """Command to send a request to an executor once; `AttemptEnded` reports the result.

    `remaining_ms` is the time left until the request's deadline.
    """

    attempt_id: int
    call_id: int
    executor_id: str
    address: str
    port: int
    workspace: str
    request_id: str
    remaining_ms: int


@dataclass(frozen=True, slots=True)
class Answered:
    """The complete answer of an executor.

    `replayed` is true if it was read from the record of an earlier request with the same id.
    """

    answer: WholeAnswer
    replayed: bool = False


@dataclass(frozen=True, slots=True)
class NotRun:
    """The request certainly did not run and never will."""

    code: ResultCode
    detail: str
    retry_after_ms: int | None = None


@dataclass(frozen=True, slots=True)
class Unknown:
    """The request may or may not have run."""

    code: ResultCode
    detail: str
    retry_after_ms: int | None = None


Outcome = Answered | NotRun | Unknown


@dataclass(frozen=True, slots=True)
class Answer:
    """Command to send a caller its final answer; issued once per request."""

    call_id: int
    outcome: Outcome


@dataclass(frozen=True, slots=True)
class WriteRow:
    """Command to write one row if it has the required version; `WriteDone` reports the result.

    `required_version` 0 requires that the row is absent.  `value` None deletes the row.  The router
    may issue the same effect again with the same `write_id`.
    """

    write_id: str
    key: str
    required_version: int
    value: Any
    priority: WritePriority


@dataclass(frozen=True, slots=True)
class ReadRow:
    """Command to read the row of a write; `RowRead` with the same `write_id` reports it."""

    write_id: str
    key: str


@dataclass(frozen=True, slots=True)
class LogDecision:
    """Command to log a decision; `fields` become keys of the line."""

    event: str
    fields: dict[str, Any]


Effect = Dispatch | Answer | WriteRow | ReadRow | LogDecision
