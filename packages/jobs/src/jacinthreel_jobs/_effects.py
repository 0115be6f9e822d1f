"""Outputs of the shard core: everything that it wants done leaves as one of these."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from typing import Any

from jacinthreel_common import CommandBatch, Condition, ResultCode, RowWrite


class WritePriority(IntEnum):
    """Order in which writes spend the budget of table operations; lower goes first."""

    START_STOP = 0
    ACCEPT = 1
    BOOKKEEPING = 2


@dataclass(frozen=True, slots=True)
class Write:
    """Send a transaction to the table service; answered by `WriteDone`."""

    write_id: str
    conditions: list[Condition]
    writes: list[RowWrite]
    priority: WritePriority


@dataclass(frozen=True, slots=True)
class ReadRows:
    """Read rows by key; answered by `RowsRead`.  Retried by the driver until it succeeds."""

    read_id: str
    keys: list[str]


@dataclass(frozen=True, slots=True)
class SendBatch:
    """Send commands to a worker; answered by `WorkerReplied` or `WorkerUnreachable`.

    The driver drops the batch, and reports it as not delivered, once `not_after_ms` has passed.
    """

    batch_id: int
    worker_id: str
    batch: CommandBatch
    not_after_ms: int


@dataclass(frozen=True, slots=True)
class Reply:
    """Answer a caller."""

    call_id: int
    code: ResultCode
    detail: str = ""
    retry_after_ms: int | None = None
    body: Any = None


@dataclass(frozen=True, slots=True)
class LogDecision:
    """Write a log line for a decision; `fields` become keys of the line."""

    event: str
    fields: dict[str, Any]


@dataclass(frozen=True, slots=True)
class StepDown:
    """The core found that it no longer owns the shard; the driver stops renewing its lease."""

    reason: str


Effect = Write | ReadRows | SendBatch | Reply | LogDecision | StepDown
