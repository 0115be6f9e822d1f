"""Fakes of a node's ports: a clock, a store in memory and executors, all told what to do."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from returns.result import Failure, Result, Success

from jacinthreel_common import Fault, ResultCode
from jacinthreel_node import (
    Committed,
    Conflict,
    ExecutorTarget,
    ReportRequest,
    ReportResponse,
    Row,
    RowCondition,
    RowWrite,
    Snapshot,
    StartCommand,
    StartResponse,
)
from jacinthreel_steps import RunId, StartOutcome


class HandClock:
    """A clock that moves when it is told to."""

    def __init__(self, now_ms: int = 1_000_000) -> None:
        self.time_ms = now_ms

    def now_ms(self) -> int:
        return self.time_ms

    def unix_ms(self) -> int:
        return self.time_ms

    def advance(self, duration_ms: int) -> None:
        self.time_ms += duration_ms


class MemoryStore:
    """Rows with versions; `faults` are taken off before each commit, one by one.

    A fault of None lets the commit through.  `applied_without_answer` says whether a commit whose
    outcome is unknown takes effect.
    """

    def __init__(self) -> None:
        self.rows: dict[tuple[str, str], Row] = {}
        self.version = 0
        self.faults: list[ResultCode | None] = []
        self.read_faults: list[ResultCode | None] = []
        self.applied_without_answer = False
        self.commits = 0
        self.timeouts_ms: list[int] = []

    async def commit(
        self, conditions: list[RowCondition], writes: list[RowWrite], timeout_ms: int
    ) -> Result[Committed | Conflict, Fault]:
        self.commits += 1
        self.timeouts_ms.append(timeout_ms)
        code = self.faults.pop(0) if self.faults else None
        if code is None:
            return Success(self._apply(conditions, writes))
        if code is ResultCode.STORE_OUTCOME_UNKNOWN and self.applied_without_answer:
            self._apply(conditions, writes)
        return Failure(Fault(code, "told to fail"))

    async def read(
        self, table: str, timeout_ms: int, key: str | None = None
    ) -> Result[Snapshot, Fault]:
        code = self.read_faults.pop(0) if self.read_faults else None
        if code is not None:
            return Failure(Fault(code, "told to fail"))
        rows = [row for (where, _), row in sorted(self.rows.items()) if where == table]
        found = tuple(row for row in rows if key is None or row.key == key)
        return Success(Snapshot(found, self.version))

    async def changes(self, table: str, after: int, wait_ms: int) -> Result[Snapshot, Fault]:
        rows = [row for (where, _), row in self.rows.items() if where == table]
        return Success(Snapshot(tuple(row for row in rows if row.version > after), self.version))

    def _apply(
        self, conditions: list[RowCondition], writes: list[RowWrite]
    ) -> Committed | Conflict:
        for condition in conditions:
            row = self.rows.get((condition.table, condition.key))
            if (row.version if row is not None else 0) != condition.version:
                names = [(each.table, each.key) for each in conditions]
                return Conflict(tuple(self.rows[name] for name in names if name in self.rows))
        self.version += 1
        for write in writes:
            name = (write.table, write.key)
            if write.value is None:
                self.rows.pop(name, None)
                continue
            self.rows[name] = Row(write.table, write.key, write.value, self.version)
        return Committed(self.version)


class ToldExecutors:
    """Executors that answer a question as `on_report` says and start whatever they are told."""

    def __init__(self, on_report: Callable[[ReportRequest], Result[ReportResponse, Fault]]) -> None:
        self._on_report = on_report
        self.questions: list[ReportRequest] = []
        self.starts: list[StartCommand] = []
        self.stops: list[RunId] = []

    async def report(
        self, target: ExecutorTarget, question: ReportRequest
    ) -> Result[ReportResponse, Fault]:
        self.questions.append(question)
        await asyncio.sleep(0.001)  # As any answer from outside, this one takes a turn of the loop.
        return self._on_report(question)

    async def start(self, target: ExecutorTarget, command: StartCommand) -> StartResponse:
        self.starts.append(command)
        return StartResponse(StartOutcome.STARTED)

    async def stop(self, target: ExecutorTarget, run_id: RunId, epoch: int) -> Result[None, Fault]:
        self.stops.append(run_id)
        return Success(None)

    def forget(self, executor_id: str) -> None:
        return
