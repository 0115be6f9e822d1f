"""HTTP servers for stand-in executors: several `ExecutorModel`s in one process, one port for each.

`POST /v1/execute` is the executors' interface; the word `run=MILLISECONDS` in the payload sets the
run time.  Further paths on each port: `POST /v1/faults`, `GET /v1/log` (all runs, for test
assertions), `GET /healthz`.
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
    discard_access_log,
    now_ms,
)


@dataclass(frozen=True, slots=True)
class RunLogEntry:
    """A request that an executor has started, as listed in `ExecutorLog`."""

    request_id: str
    workspace: str
    started_ms: float


@dataclass(frozen=True, slots=True)
class ExecutorLog:
    """The body of `GET /v1/log`: an executor's runs; `refused` counts the requests not run."""

    executor_id: str
    now_ms: int
    busy_slots: int
    refused: int
    runs: list[RunLogEntry]


@dataclass(slots=True)
class ServedExecutor:
    """An executor model with the faults that are injected into its server."""

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
            self.close_without_reply()
            return
        model, headers = self.executor.model, self.request.headers
        admission = model.admit(
            headers.get(REQUEST_ID_HEADER, ""),
            headers.get(WORKSPACE_HEADER, ""),
            self.request.body,
            now_ms(),
        )
        if isinstance(admission, ExecutorRefusal):
            self._refuse(admission)
            return
        try:
            await asyncio.sleep((admission.ends_ms - admission.started_ms) / 1000)
        finally:
            model.finish(admission.run_id)
        self._answer(admission)

    def _refuse(self, refusal: ExecutorRefusal) -> None:
        self.executor.refused += 1
        self.set_header(NOT_RUN_HEADER, "true")
        self.set_header(REFUSAL_HEADER, refusal.reason.value)
        self.set_header(BUSY_SLOTS_HEADER, str(self.executor.model.busy_slots))
        self.reply(
            {"code": int(ResultCode.OVERLOADED), "detail": "not run: executor is busy or leaving"},
            503,
        )

    def _answer(self, run: ExecutorRun) -> None:
        faults = self.executor.faults
        if faults.lose_replies > 0:
            faults.lose_replies -= 1
            self.close_without_reply()
            return
        self.set_header(BUSY_SLOTS_HEADER, str(self.executor.model.busy_slots))
        if faults.fail_runs > 0:
            faults.fail_runs -= 1
            raise AbortError(Fault(ResultCode.INTERNAL, "fault 'fail_runs' is set"))
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
        runs = [RunLogEntry(run.request_id, run.workspace, run.started_ms) for run in model.runs]
        log = ExecutorLog(
            model.executor_id, now_ms(), model.busy_slots, self.executor.refused, runs
        )
        self.reply(log)


def make_executor_application(executor: ServedExecutor) -> Application:
    """Returns the web application that serves one executor."""
    shared = {"executor": executor}
    return Application(
        [
            (r"/healthz", HealthHandler),
            (EXECUTE_PATH, _ExecuteHandler, shared),
            (r"/v1/faults", _FaultsHandler, shared),
            (r"/v1/log", _LogHandler, shared),
        ],
        log_function=discard_access_log,
    )
