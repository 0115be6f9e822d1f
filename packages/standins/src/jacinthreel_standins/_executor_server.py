"""Stand-in executors: several in one process, each on a port of its own.

`POST /v1/execute` runs a request in one of the executor's slots.  Headers: `X-Request-Id`,
`X-Workspace`, `X-Deadline-Ms` (time left, milliseconds).  Answers 200 with an `ExecuteAnswer`
that names the request and the hash of its body, so that a test sees whose answer it got; 503 with
`X-Not-Run: true` where all slots are busy or the executor is leaving.  Every answer carries
`X-Busy-Slots`.  A body word `work_ms=N` sets the service time of that request.

Other paths: `POST /v1/faults`, `GET /v1/log` (all runs, for checks), `GET /healthz`.
"""

from __future__ import annotations

import asyncio
import hashlib
import random
import re
from dataclasses import dataclass, field

from tornado.web import Application

from jacinthreel_common import Fault, ResultCode
from jacinthreel_standins._faults import ExecutorFaults, set_faults
from jacinthreel_standins._serving import (
    AbortError,
    HealthHandler,
    JsonHandler,
    log_no_access,
    now_ms,
)

NOT_RUN_HEADER = "X-Not-Run"
BUSY_SLOTS_HEADER = "X-Busy-Slots"
_WORK_MS = re.compile(rb"work_ms=(\d{1,6})")


@dataclass(frozen=True, slots=True)
class Run:
    """A request that an executor began to run, for checks; `ended_ms` is 0 while it runs."""

    request_id: str
    workspace: str
    payload_sha256: str
    started_ms: int


@dataclass(frozen=True, slots=True)
class ExecuteAnswer:
    """The body of a 200 answer."""

    request_id: str
    workspace: str
    executor_id: str
    payload_sha256: str
    payload_bytes: int


@dataclass(frozen=True, slots=True)
class ExecutorLog:
    """What an executor did; `refused` counts requests that it did not run."""

    executor_id: str
    now_ms: int
    busy_slots: int
    refused: int
    runs: list[Run]


@dataclass(slots=True)
class ServedExecutor:
    """One executor: `slots` requests run at once, each for about `mean_service_ms`."""

    executor_id: str
    slots: int
    mean_service_ms: float
    rng: random.Random
    faults: ExecutorFaults = field(default_factory=ExecutorFaults)
    busy_slots: int = 0
    refused: int = 0
    runs: list[Run] = field(default_factory=list)

    def service_ms(self, body: bytes) -> float:
        """How long a request will run: what its body says, else exponentially distributed."""
        named = _WORK_MS.search(body)
        if named is not None:
            return int(named.group(1)) * self.faults.service_factor
        return self.rng.expovariate(1 / self.mean_service_ms) * self.faults.service_factor


class _ExecutorHandler(JsonHandler):
    executor: ServedExecutor

    def initialize(self, executor: ServedExecutor) -> None:
        self.executor = executor


class _ExecuteHandler(_ExecutorHandler):
    async def post(self) -> None:
        executor, faults = self.executor, self.executor.faults
        if faults.unreachable:
            self.cut_connection()
            return
        if faults.leaving or executor.busy_slots >= executor.slots:
            self._refuse()
            return
        run = self._begin()
        executor.busy_slots += 1
        try:
            await asyncio.sleep(executor.service_ms(self.request.body) / 1000)
        finally:
            executor.busy_slots -= 1
        self._answer(run)

    def _begin(self) -> Run:
        headers = self.request.headers
        run = Run(
            request_id=headers.get("X-Request-Id", ""),
            workspace=headers.get("X-Workspace", ""),
            payload_sha256=hashlib.sha256(self.request.body).hexdigest(),
            started_ms=now_ms(),
        )
        self.executor.runs.append(run)
        return run

    def _refuse(self) -> None:
        self.executor.refused += 1
        self.set_header(NOT_RUN_HEADER, "true")
        self.set_header(BUSY_SLOTS_HEADER, str(self.executor.busy_slots))
        self.reply({"code": int(ResultCode.OVERLOADED), "detail": "not run"}, 503)

    def _answer(self, run: Run) -> None:
        faults = self.executor.faults
        if faults.lose_replies > 0:
            faults.lose_replies -= 1
            self.cut_connection()
            return
        self.set_header(BUSY_SLOTS_HEADER, str(self.executor.busy_slots))
        if faults.fail_runs > 0:
            faults.fail_runs -= 1
            raise AbortError(Fault(ResultCode.INTERNAL, "the run failed"))
        answer = ExecuteAnswer(
            run.request_id,
            run.workspace,
            self.executor.executor_id,
            run.payload_sha256,
            len(self.request.body),
        )
        self.reply(answer)


class _FaultsHandler(_ExecutorHandler):
    def post(self) -> None:
        set_faults(self.executor.faults, self)


class _LogHandler(_ExecutorHandler):
    def get(self) -> None:
        executor = self.executor
        log = ExecutorLog(
            executor.executor_id, now_ms(), executor.busy_slots, executor.refused, executor.runs
        )
        self.reply(log)


def make_executor(executor: ServedExecutor) -> Application:
    """The application that serves one executor."""
    shared = {"executor": executor}
    return Application(
        [
            (r"/healthz", HealthHandler),
            (r"/v1/execute", _ExecuteHandler, shared),
            (r"/v1/faults", _FaultsHandler, shared),
            (r"/v1/log", _LogHandler, shared),
        ],
        log_function=log_no_access,
    )
