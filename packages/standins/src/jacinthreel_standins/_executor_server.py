"""Stand-in executors: several `ExecutorModel`s in one process, each on a port of its own.

`POST /v1/execute` is the executors' interface; the payload's word `run=MILLISECONDS` sets the run
time.  Further paths on each port: `POST /v1/faults`, `GET /v1/log` (all runs, for checks),
`GET /healthz`.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

from tornado.web import Application

from jacinthreel_common import (
    BUSY_SLOTS_HEADER,
    EXECUTE_PATH,
    NOT_RUN_HEADER,
    REFUSAL_HEADER,
    REQUEST_ID_HEADER,
    WORKSPACE_HEADER,
    Fault,
    ResultCode,
)
from jacinthreel_standins._executor_model import (
    ANSWER_CONTENT_TYPE,
    ExecutorModel,
    ExecutorRefusal,
    ExecutorRun,
)
from jacinthreel_standins._faults import ExecutorFaults, set_faults
from jacinthreel_standins._serving import (
    AbortError,
    HealthHandler,
    JsonHandler,
    log_no_access,
    now_ms,
)


@dataclass(frozen=True, slots=True)
class RunLine:
    """A request that an executor ran or runs, for checks."""

    request_id: str
    workspace: str
    started_ms: float


@dataclass(frozen=True, slots=True)
class ExecutorLog:
    """What an executor did; `refused` counts requests that it did not run."""

    executor_id: str
    now_ms: int
    busy_slots: int
    refused: int
    runs: list[RunLine]


@dataclass(slots=True)
class ServedExecutor:
    """An executor model and its faults."""

    model: ExecutorModel
    faults: ExecutorFaults = field(default_factory=ExecutorFaults)
    refused: int = 0


class _ExecutorHandler(JsonHandler):
    executor: ServedExecutor

    def initialize(self, executor: ServedExecutor) -> None:
        self.executor = executor


class _ExecuteHandler(_ExecutorHandler):
    async def post(self) -> None:
        if self.executor.faults.unreachable:
            self.cut_connection()
            return
        model, headers = self.executor.model, self.request.headers
        admitted = model.admit(
            headers.get(REQUEST_ID_HEADER, ""),
            headers.get(WORKSPACE_HEADER, ""),
            self.request.body,
            now_ms(),
        )
        if isinstance(admitted, ExecutorRefusal):
            self._refuse(admitted)
            return
        try:
            await asyncio.sleep((admitted.ends_ms - admitted.started_ms) / 1000)
        finally:
            model.finish(admitted.run_id)
        self._answer(admitted)

    def _refuse(self, refusal: ExecutorRefusal) -> None:
        self.executor.refused += 1
        self.set_header(NOT_RUN_HEADER, "true")
        self.set_header(REFUSAL_HEADER, refusal.reason.value)
        self.set_header(BUSY_SLOTS_HEADER, str(self.executor.model.busy_slots))
        self.reply({"code": int(ResultCode.OVERLOADED), "detail": "not run"}, 503)

    def _answer(self, run: ExecutorRun) -> None:
        faults = self.executor.faults
        if faults.lose_replies > 0:
            faults.lose_replies -= 1
            self.cut_connection()
            return
        self.set_header(BUSY_SLOTS_HEADER, str(self.executor.model.busy_slots))
        if faults.fail_runs > 0:
            faults.fail_runs -= 1
            raise AbortError(Fault(ResultCode.INTERNAL, "the run failed"))
        self.set_header("Content-Type", ANSWER_CONTENT_TYPE)
        self.finish(run.answer)


class _FaultsHandler(_ExecutorHandler):
    def post(self) -> None:
        executor = self.executor
        set_faults(executor.faults, self)
        executor.model.leaving = executor.faults.leaving
        executor.model.speed = executor.faults.speed


class _LogHandler(_ExecutorHandler):
    def get(self) -> None:
        model = self.executor.model
        runs = [RunLine(run.request_id, run.workspace, run.started_ms) for run in model.runs]
        log = ExecutorLog(
            model.executor_id, now_ms(), model.busy_slots, self.executor.refused, runs
        )
        self.reply(log)


def make_executor(executor: ServedExecutor) -> Application:
    """The application that serves one executor."""
    shared = {"executor": executor}
    return Application(
        [
            (r"/healthz", HealthHandler),
            (EXECUTE_PATH, _ExecuteHandler, shared),
            (r"/v1/faults", _FaultsHandler, shared),
            (r"/v1/log", _LogHandler, shared),
        ],
        log_function=log_no_access,
    )
