"""HTTP servers for stand-in workers: several `WorkerModel`s in one process, one port for each.

Paths on each port: `POST /v1/commands`, `POST /v1/faults`, `GET /v1/log` (task starts and tasks,
for test assertions), `GET /healthz`.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

from tornado.web import Application

from jacinthreel_common import CommandBatch, TaskState
from jacinthreel_standins._faults import WorkerFaults, set_faults
from jacinthreel_standins._serving import HealthHandler, JsonHandler, discard_access_log, now_ms
from jacinthreel_standins._worker_model import TaskStart, WorkerModel


@dataclass(slots=True)
class ServedWorker:
    """A worker model with the faults that are injected into its server."""

    model: WorkerModel
    faults: WorkerFaults = field(default_factory=WorkerFaults)


@dataclass(frozen=True, slots=True)
class TaskLogEntry:
    """A task on a worker, as listed in `WorkerLog`."""

    job_id: str
    attempt: int
    task_index: int
    state: TaskState
    run_s: float


@dataclass(frozen=True, slots=True)
class WorkerLog:
    """The body of `GET /v1/log`: a worker's task starts and tasks.  Times are as in `now_ms`."""

    worker_id: str
    now_ms: int
    starts: list[TaskStart]
    tasks: list[TaskLogEntry]


class _WorkerHandler(JsonHandler):
    worker: ServedWorker

    def initialize(self, worker: ServedWorker) -> None:
        self.worker = worker


class _CommandsHandler(_WorkerHandler):
    async def post(self) -> None:
        faults = self.worker.faults
        if faults.unreachable:
            self.close_without_reply()
            return
        batch = self.read_body(CommandBatch)
        if faults.delay_ms:
            await asyncio.sleep(faults.delay_ms / 1000)
        reply = self.worker.model.handle(batch, now_ms())
        if faults.lose_replies > 0:
            faults.lose_replies -= 1
            self.close_without_reply()
            return
        self.reply(reply)


class _FaultsHandler(_WorkerHandler):
    def post(self) -> None:
        worker = self.worker
        set_faults(worker.faults, self)
        worker.model.fails_everything = worker.faults.fails_everything
        if worker.faults.restart:
            worker.faults.restart = False
            worker.model.restart()


class _LogHandler(_WorkerHandler):
    def get(self) -> None:
        model, at_ms = self.worker.model, now_ms()
        model.advance(at_ms)
        tasks = [
            TaskLogEntry(*key, state=task.state, run_s=round(task.run_s, 3))
            for key, task in model.tasks_by_key.items()
        ]
        self.reply(WorkerLog(model.worker_id, at_ms, model.starts, tasks))


def make_worker_application(worker: ServedWorker) -> Application:
    """Returns the web application that serves one worker."""
    shared = {"worker": worker}
    return Application(
        [
            (r"/healthz", HealthHandler),
            (r"/v1/commands", _CommandsHandler, shared),
            (r"/v1/faults", _FaultsHandler, shared),
            (r"/v1/log", _LogHandler, shared),
        ],
        log_function=discard_access_log,
    )
