"""Effects: the outputs of the shard core, which the driver carries out."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from typing import Any

from jacinthreel_common import CommandBatch, Condition, ResultCode, RowWrite


class WritePriority(IntEnum):
    """Order in which writes use the budget of table operations; lower values go first."""

    START_STOP = 0
    ACCEPT = 1
    BOOKKEEPING = 2


@dataclass(frozen=True, slots=True)
class Write:
    """Sends a transaction to the table service; its outcome arrives as `WriteDone`."""

    write_id: str
    conditions: list[Condition]
    writes: list[RowWrite]
    priority: WritePriority


@dataclass(frozen=True, slots=True)
class ReadRows:
    """Reads rows by key; the rows arrive as `RowsRead`.  The driver retries until it succeeds."""

    read_id: str
    keys: list[str]


@dataclass(frozen=True, slots=True)
class SendBatch:
    """Sends commands to a worker; ends with `WorkerReplied` or `WorkerUnreachable`.

    The driver drops the batch, and reports it as not delivered, once `not_after_ms` has passed.
    """

    batch_id: int
    worker_id: str
    batch: CommandBatch
    not_after_ms: int


@dataclass(frozen=True, slots=True)
class Reply:
    """Answers the call with this id."""

    call_id: int
    code: ResultCode
    detail: str = ""
    retry_after_ms: int | None = None
    body: Any = None


@dataclass(frozen=True, slots=True)
class LogDecision:
    """Writes a log line for a decision; `fields` become fields of the line."""

    event: str
    fields: dict[str, Any]


@dataclass(frozen=True, slots=True)
class StepDown:
    """The core detected that it no longer owns the shard; the driver stops renewing its lease."""

    reason: str


Effect = Write | ReadRows | SendBatch | Reply | LogDecision | StepDown
