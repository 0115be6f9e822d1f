"""Small stand-ins of the users' platform for tests: its store and its executors, in one event loop.

The store keeps rows with versions, serves conditional transactions, reads and waiting feeds.  An
executor starts runs under fences and leases, ends them after a while and lists the ends.  Both keep
just what the product's promises are checked against.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import time
from dataclasses import dataclass, field
from typing import Any

from tornado import httpserver, web
from tornado.iostream import StreamClosedError

CAPACITY = {"cpu": 8_000, "mem_mb": 32_000, "gpu": 8}
HOLD_MAX_MS = 6_000
GANG_MS = 3_000


def now_ms() -> int:
    return time.monotonic_ns() // 1_000_000


class StandinStore:
    """The rows of all tables, with a version for the whole store."""

    def __init__(self) -> None:
        self.rows: dict[tuple[str, str, str], dict[str, Any]] = {}
        self.version = 0
        self.changed = asyncio.Event()

    def put(self, table: str, key: str, value: bytes, part: str = "") -> None:
        """Writes a row as the operator or an executor does."""
        self.version += 1
        self._set(table, part, key, base64.b64encode(value).decode())
        self._wake()

    def remove(self, table: str, key: str) -> None:
        """Removes a row of the operator or an executor."""
        self.version += 1
        row = self.rows.get((table, "", key))
        if row is not None:
            row.update(value=None, deleted=True, ver=self.version)
        self._wake()

    def transact(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        """Applies a transaction, or returns the rows of its conditions."""
        for condition in body.get("expected_rev", []):
            row = self.rows.get((condition["table"], condition["part"], condition["key"]))
            version = 0 if row is None or row.get("deleted") else row["ver"]
            if version != condition["ver"]:
                return 412, self._conflict(body)
        self.version += 1
        for write in body.get("writes", []):
            self._set(write["table"], write["part"], write["key"], write["value"])
        for name in body.get("remove", []):
            row = self.rows.get((name["table"], name["part"], name["key"]))
            if row is not None:
                row.update(value=None, deleted=True, ver=self.version)
        self._wake()
        return 200, {"ver": self.version, "now_ms": now_ms()}

    def read(self, table: str, part: str, start: str, limit: int) -> dict[str, Any]:
        """The rows of a part from a key on."""
        found = [
            row
            for (where, piece, key), row in sorted(self.rows.items())
            if where == table and piece == part and key >= start and not row.get("deleted")
        ]
        more = len(found) > limit
        return {"rows": found[:limit], "more_pages": more, "ver": self.version}

    def changes(self, table: str, after: int) -> list[dict[str, Any]]:
        """The rows of a table that changed after a version."""
        rows = [row for (where, _, _), row in self.rows.items() if where == table]
        return sorted((row for row in rows if row["ver"] > after), key=lambda row: row["ver"])

    def _set(self, table: str, part: str, key: str, value: str) -> None:
        row = {"table": table, "part": part, "key": key, "value": value, "ver": self.version}
        self.rows[(table, part, key)] = row

    def _conflict(self, body: dict[str, Any]) -> dict[str, Any]:
        names = [(each["table"], each["part"], each["key"]) for each in body["expected_rev"]]
        rows = [self.rows[name] for name in names if name in self.rows]
        return {"rows": [row for row in rows if not row.get("deleted")], "ver": self.version}

    def _wake(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()


class _StoreHandler(web.RequestHandler):
    def initialize(self, store: StandinStore) -> None:
        self.store = store

    def post(self, verb: str) -> None:
        status, reply = self.store.transact(json.loads(self.request.body))
        self.set_status(status)
        self.finish(reply)

    async def get(self, verb: str) -> None:
        table = self.get_query_argument("table")
        if verb == "rows-get":
            part, start = self.get_query_argument("part"), self.get_query_argument("from", "")
            limit = int(self.get_query_argument("limit", "500"))
            self.finish(self.store.read(table, part, start, limit))
            return
        after = int(self.get_query_argument("after"))
        end_s = time.monotonic() + int(self.get_query_argument("wait_ms")) / 1000
        while not self.store.changes(table, after) and time.monotonic() < end_s:
            changed = self.store.changed
            try:
                await asyncio.wait_for(changed.wait(), max(0.001, end_s - time.monotonic()))
            except TimeoutError:
                break
        rows = self.store.changes(table, after)
        _finish(self, {"rows": rows, "ver": self.store.version})


def _finish(handler: web.RequestHandler, reply: dict[str, Any]) -> None:
    with contextlib.suppress(StreamClosedError):  # Who asked has gone.
        handler.finish(reply)


@dataclass(slots=True)
class StandinRun:
    """A run; `due_ms` is when it is done, None for a gang that is not whole yet."""

    task: str
    number: int
    shape: dict[str, int]
    started_ms: int
    due_ms: int | None
    gang: str


@dataclass(slots=True)
class Ledger:
    """What all executors have seen, for the checks; `faults` are broken promises.

    A done task may start again only if its end was lost with its executor, not acknowledged;
    `noted_done_tasks` are those whose end was.
    """

    shapes_by_job: dict[str, list[dict[str, Any]]] = field(default_factory=dict)
    running_by_task: dict[str, str] = field(default_factory=dict)
    done_tasks: set[str] = field(default_factory=set)
    noted_done_tasks: set[str] = field(default_factory=set)
    started_ms_by_task: dict[str, int] = field(default_factory=dict)
    started_jobs: set[str] = field(default_factory=set)
    gang_members: dict[str, set[str]] = field(default_factory=dict)
    stopped_jobs_ms: dict[str, int] = field(default_factory=dict)
    faults: list[str] = field(default_factory=list)


class StandinExecutor:
    """One executor: fences, leases, capacity, gangs, and the list of ends."""

    def __init__(self, name: str, ledger: Ledger, work_ms: int) -> None:
        self.name = name
        self.ledger = ledger
        self.work_ms = work_ms
        self.born = time.time_ns() // 1_000_000
        self.fence = 0
        self.lease_ms = 0
        self.runs: dict[str, StandinRun] = {}
        self.floor_by_task: dict[str, int] = {}
        self.ended: list[list[Any]] = []
        self.done_ms_by_task: dict[str, int] = {}
        self.sequence = 0

    def start(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        """Starts a run, or says why not."""
        if not self._take_fence(body):
            return 409, {"reason": "fence"}
        self.tick()
        task, number = body["task"], body["run"]
        if task in self.runs and self.runs[task].number == number:
            return 200, {}
        if number <= self.floor_by_task.get(task, 0) or task in self.runs:
            return 409, {"reason": "old"}
        if body["until_ms"] <= now_ms():
            return 409, {"reason": "late"}
        job_id, _, step_index, _ = task.split(".")
        step = self.ledger.shapes_by_job[job_id][int(step_index)]
        if not self._has_room(step):
            return 409, {"reason": "room"}
        self._extend(body["until_ms"])
        self._begin(task, number, job_id, step, f"{job_id}.{step_index}#{number}")
        return 200, {}

    def stop(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        """Stops a run and never starts it any more."""
        if not self._take_fence(body):
            return 409, {"reason": "fence"}
        self.tick()
        task, number = body["task"], body["run"]
        self.floor_by_task[task] = max(number, self.floor_by_task.get(task, 0))
        if task in self.runs and self.runs[task].number <= number:
            self._end(task, "stopped")
        return 200, {}

    def report(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        """Lists what runs and what has ended."""
        if not self._take_fence(body):
            return 409, {"reason": "fence"}
        self.tick()
        self._extend(body.get("until_ms", 0))
        for end in self.ended:
            if end[0] <= body["acked_upto"] and end[3] == "done":
                self._note_done(end[1])
        self.ended = [end for end in self.ended if end[0] > body["acked_upto"]]
        running = [[r.task, r.number, "", self._percent(r)] for r in self.runs.values()]
        return 200, {"born": self.born, "running": running, "ended": self.ended[:500]}

    def tick(self) -> None:
        """Ends what is due, lapsed, or a gang that did not become whole."""
        for task, run in list(self.runs.items()):
            if task not in self.runs:
                continue
            if now_ms() > self.lease_ms:
                self._end(task, "lapsed")
            elif run.due_ms is not None and now_ms() >= run.due_ms:
                self._end(task, "done")
            elif run.due_ms is None:
                self._check_gang(run)

    def crash(self) -> None:
        """Starts a new life that holds nothing and knows nothing."""
        for task in list(self.runs):
            self._forget(task)
        self.__init__(self.name, self.ledger, self.work_ms)  # type: ignore[misc]

    def _begin(self, task: str, number: int, job: str, step: dict[str, Any], gang: str) -> None:
        if task in self.ledger.running_by_task:
            other = self.ledger.running_by_task[task]
            self.ledger.faults.append(f"{task} runs on {other} and on {self.name}")
        if task in self.ledger.noted_done_tasks:
            self.ledger.faults.append(f"{task} starts after its end was acknowledged")
        self.ledger.started_ms_by_task[task] = now_ms()
        stopped_ms = self.ledger.stopped_jobs_ms.get(job)
        if stopped_ms is not None and now_ms() - stopped_ms > 3_000:
            self.ledger.faults.append(f"{task} starts after its job was cancelled")
        self.ledger.running_by_task[task] = self.name
        self.ledger.started_jobs.add(job)
        is_gang = bool(step.get("gang"))
        due_ms = None if is_gang else now_ms() + self.work_ms
        self.runs[task] = StandinRun(task, number, step, now_ms(), due_ms, gang)
        if is_gang:
            self.ledger.gang_members.setdefault(gang, set()).add(task)
            self._check_gang(self.runs[task])

    def _note_done(self, task: str) -> None:
        if self.ledger.started_ms_by_task[task] > self.done_ms_by_task.get(task, 0):
            self.ledger.faults.append(f"{task} has started since it was done")
        self.ledger.noted_done_tasks.add(task)

    def _check_gang(self, run: StandinRun) -> None:
        if len(self.ledger.gang_members.get(run.gang, ())) >= run.shape["count"]:
            run.due_ms = now_ms() + self.work_ms
        elif now_ms() - run.started_ms > GANG_MS:
            self._end(run.task, "alone")

    def _end(self, task: str, how: str) -> None:
        run = self.runs[task]
        self._forget(task)
        self.floor_by_task[task] = max(run.number, self.floor_by_task.get(task, 0))
        if how == "done":
            self.ledger.done_tasks.add(task)
            self.done_ms_by_task[task] = now_ms()
        self.sequence += 1
        self.ended.append([self.sequence, task, run.number, how, ""])

    def _forget(self, task: str) -> None:
        run = self.runs.pop(task)
        self.ledger.running_by_task.pop(task, None)
        if run.due_ms is None:
            self.ledger.gang_members.get(run.gang, set()).discard(task)

    def _percent(self, run: StandinRun) -> int:
        if run.due_ms is None:
            return 0
        left = max(0, run.due_ms - now_ms())
        return min(100, 100 - 100 * left // max(1, self.work_ms))

    def _has_room(self, step: dict[str, Any]) -> bool:
        for name, amount in CAPACITY.items():
            used = sum(run.shape.get(name, 0) for run in self.runs.values())
            if used + step.get(name, 0) > amount:
                return False
        return True

    def _take_fence(self, body: dict[str, Any]) -> bool:
        if body["fence"] < self.fence:
            return False
        self.fence = body["fence"]
        return True

    def _extend(self, until_ms: int) -> None:
        self.lease_ms = max(self.lease_ms, min(until_ms, now_ms() + HOLD_MAX_MS))


class _ExecutorHandler(web.RequestHandler):
    def initialize(self, executor: StandinExecutor) -> None:
        self.executor = executor

    async def post(self, verb: str) -> None:
        executor, body = self.executor, json.loads(self.request.body)
        match verb:
            case "run-start":
                status, reply = executor.start(body)
            case "run-stop":
                status, reply = executor.stop(body)
            case _:
                life = executor.born
                end_ms = now_ms() + body.get("wait_ms", 0)
                status, reply = executor.report(body)
                while status == 200 and not reply["ended"] and now_ms() < end_ms:
                    await asyncio.sleep(0.02)
                    if executor.born != life:  # A life that has ended answers nothing.
                        self.detach().close()
                        return
                    status, reply = executor.report(body)
        self.set_status(status)
        _finish(self, {"clock_ms": now_ms(), **reply})


def serve_store(store: StandinStore, port: int) -> httpserver.HTTPServer:
    """Serves the store on loopback."""
    application = web.Application([(r"/v1/(rows-\w+)", _StoreHandler, {"store": store})])
    return application.listen(port, "127.0.0.1")


def serve_executor(executor: StandinExecutor, port: int) -> httpserver.HTTPServer:
    """Serves an executor on loopback."""
    application = web.Application([(r"/v1/([\w-]+)", _ExecutorHandler, {"executor": executor})])
    return application.listen(port, "127.0.0.1")
