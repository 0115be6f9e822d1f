"""Outputs of the request router: everything that it wants done leaves as one of these."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from typing import Any

from jacinthreel_common import ResultCode
from jacinthreel_requests._events import WholeAnswer


class WritePriority(IntEnum):
    """Order in which writes spend the budget of table operations; lower goes first."""

    CLAIM = 1
    BOOKKEEPING = 2


@dataclass(frozen=True, slots=True)
class Dispatch:
    """Send a request to an executor once; answered by `AttemptEnded`.

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
    """The executor's whole answer; `replayed` where it was on record."""

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
    """Answer a caller; final, and sent once."""

    call_id: int
    outcome: Outcome


@dataclass(frozen=True, slots=True)
class WriteRow:
    """Write one row on condition of its version; answered by `WriteDone`.

    `value` None deletes the row.  The same effect may be issued again with the same `write_id`.
    """

    write_id: str
    key: str
    required_version: int
    value: Any
    priority: WritePriority


@dataclass(frozen=True, slots=True)
class ReadRow:
    """Read the row that a write was for; answered by `RowRead` with the same `write_id`."""

    write_id: str
    key: str


@dataclass(frozen=True, slots=True)
class LogDecision:
    """Write a log line for a decision; `fields` become keys of the line."""

    event: str
    fields: dict[str, Any]


Effect = Dispatch | Answer | WriteRow | ReadRow | LogDecision
