"""Stand-in of an executor, as PROTOCOL.md describes it; one process is one life.

Usage: executor.py CONFIG, a JSON file with `id`, `addr`, `store`, `service`, `zone`, `rack`,
`events`, `folder`, `hold_max_ms`, `stop_ms`, `gang_ms`, `checkpoint_s` and `capacity`.

The `spec` of a job tells the executor what its tasks are: JSON with `ms` (the work of a task),
`cpu`, `mem_mb`, `gpu`, `saves` and `gang`, the number of members of a gang (0 for none).  Members of a
gang see each other in the folder `gangs`: a file for each member that is present, with the id of its
executor, and a file `done`.  Executors that have crashed have a file in the folder `dead`.  Starts and ends of runs are appended to the file `events`, a
JSON array a line: monotonic seconds, executor, kind, task, run, detail.  `POST /standin/mode` makes
it unhealthy: it then answers starts with 503 and has done nothing.
"""

from __future__ import annotations

import asyncio
import base64
import json
import sys
import time
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from wire import request, serve

BEAT_S = 1.5
MAX_WAIT_MS = 2_000
PAGE_ENDS = 500


@dataclass(slots=True)
class Run:
    """A run; `done_ms` is the work that its checkpoint had saved, `begun_ms` when it began to work."""

    task: str
    number: int
    spec: dict[str, Any]
    started_ms: float
    done_ms: float
    begun_ms: float | None = None


class Executor:
    """The runs, the lease, the ends and the fence of one life."""

    def __init__(self, config: dict[str, Any]) -> None:
        self.config = config
        self.id = config["id"]
        self.born = time.time_ns() // 1_000_000
        self.origin_s = time.monotonic()
        self.events = open(config["events"], "a", buffering=1)
        self.runs: dict[str, Run] = {}
        self.used = {"cpu": 0, "mem_mb": 0, "gpu": 0}
        self.closed_run_by_task: dict[str, int] = {}
        self.ended: list[list[Any]] = []
        self.sequence = 0
        self.fence = 0
        self.lease_ms = 0.0
        self.has_lapsed = False
        self.is_unhealthy = False
        self.ended_event = asyncio.Event()

    def clock_ms(self) -> int:
        return int((time.monotonic() - self.origin_s) * 1000)

    def log(self, kind: str, task: str, run: int, detail: str = "") -> None:
        line = [round(time.monotonic(), 4), self.id, kind, task, run, detail]
        self.events.write(json.dumps(line) + "\n")

    def accepts(self, body: dict[str, Any]) -> bool:
        fence = body.get("fence", 0)
        if fence < self.fence:
            return False
        self.fence = fence
        return True

    def extend_lease(self, until_ms: int | None) -> None:
        if until_ms is not None:
            limit_ms = self.clock_ms() + self.config["hold_max_ms"]
            self.lease_ms = max(self.lease_ms, min(until_ms, limit_ms))

    def start(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        if self.is_unhealthy:
            return 503, {"clock_ms": self.clock_ms()}
        if not self.accepts(body):
            return self.refuse("fence")
        self.tick()
        task, number = body["task"], body["run"]
        running = self.runs.get(task)
        if running is not None and running.number == number:
            return 200, {"clock_ms": self.clock_ms()}
        if running is not None or number <= self.closed_run_by_task.get(task, 0):
            self.extend_lease(body["until_ms"])
            return self.refuse("old")
        if body["until_ms"] <= self.clock_ms():
            return self.refuse("late")
        spec = json.loads(body["spec"])
        capacity = self.config["capacity"]
        if any(self.used[name] + spec.get(name, 0) > capacity[name] for name in capacity):
            self.extend_lease(body["until_ms"])
            return self.refuse("room")
        self.extend_lease(body["until_ms"])
        checkpoint = body.get("checkpoint", "")
        done_ms = int(checkpoint, 16) if checkpoint else 0
        run = Run(task, number, spec, self.clock_ms(), done_ms)
        self.runs[task] = run
        if spec.get("gang"):
            self.gang_folder(run).mkdir(parents=True, exist_ok=True)
            self.gang_file(run).write_text(self.id)
        else:
            run.begun_ms = run.started_ms
        for name in self.used:
            self.used[name] += spec.get(name, 0)
        self.log("start", task, number, checkpoint)
        return 200, {"clock_ms": self.clock_ms()}

    def refuse(self, reason: str) -> tuple[int, dict[str, Any]]:
        return 409, {"clock_ms": self.clock_ms(), "reason": reason}

    async def stop(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        if not self.accepts(body):
            return self.refuse("fence")
        task, number = body["task"], body["run"]
        self.closed_run_by_task[task] = max(number, self.closed_run_by_task.get(task, 0))
        run = self.runs.get(task)
        if run is not None and run.number <= number:
            loop = asyncio.get_running_loop()
            loop.call_later(self.config["stop_ms"] / 2000, self.end_stopped, run)
        return 200, {"clock_ms": self.clock_ms()}

    def end_stopped(self, run: Run) -> None:
        if self.runs.get(run.task) is run:
            self.end(run, "stopped")

    def work_ms(self, run: Run) -> float:
        if run.begun_ms is None:
            return run.done_ms
        return run.done_ms + self.clock_ms() - run.begun_ms

    def gang_folder(self, run: Run) -> Path:
        name = f"{run.task.rpartition('.')[0]}#{run.number}"
        return Path(self.config["folder"]) / "gangs" / name

    def gang_file(self, run: Run) -> Path:
        return self.gang_folder(run) / run.task.rpartition(".")[2]

    def check_gang(self, run: Run) -> None:
        """Begins the work of a gang that is whole, and ends the run where that is due."""
        if (self.gang_folder(run) / "done").exists():
            self.end(run, "done")
            return
        dead = Path(self.config["folder"]) / "dead"
        members = [path for path in self.gang_folder(run).iterdir() if path.name != "done"]
        alive = sum(not (dead / path.read_text()).exists() for path in members)
        if alive == run.spec["gang"]:
            if run.begun_ms is None:
                run.begun_ms = self.clock_ms()
                self.log("whole", run.task, run.number)
        elif run.begun_ms is not None:
            self.end(run, "broken")
        elif self.clock_ms() - run.started_ms > self.config["gang_ms"]:
            self.end(run, "alone")

    def checkpoint(self, run: Run, is_stop: bool = False) -> str:
        if not run.spec.get("saves"):
            return ""
        period_ms = self.config["checkpoint_s"] * 1000
        work_ms = self.work_ms(run)
        saved_ms = work_ms if is_stop else work_ms // period_ms * period_ms
        return f"{int(saved_ms):016x}" if saved_ms >= 1 else ""

    def end(self, run: Run, how: str) -> None:
        del self.runs[run.task]
        if run.spec.get("gang"):
            if how == "done":
                (self.gang_folder(run) / "done").touch()
            self.gang_file(run).unlink(missing_ok=True)
        for name in self.used:
            self.used[name] -= run.spec.get(name, 0)
        closed = self.closed_run_by_task.get(run.task, 0)
        self.closed_run_by_task[run.task] = max(run.number, closed)
        self.sequence += 1
        saved = "" if how == "done" else self.checkpoint(run, how == "stopped")
        self.ended.append([self.sequence, run.task, run.number, how, saved])
        self.log("end", run.task, run.number, how)
        self.ended_event.set()

    def tick(self) -> None:
        """Ends the runs that are done, and all once the lease has expired."""
        is_lapsed = self.clock_ms() > self.lease_ms
        if is_lapsed and not self.has_lapsed and self.lease_ms:
            self.log("lease-lapsed", "", 0)
        self.has_lapsed = is_lapsed
        for run in list(self.runs.values()):
            if is_lapsed:
                self.end(run, "lapsed")
            elif self.work_ms(run) >= run.spec["ms"]:
                self.end(run, "done")
            elif run.spec.get("gang"):
                try:
                    self.check_gang(run)
                except FileNotFoundError:  # A member has just ended; seen at the next tick.
                    continue

    async def hold(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        if not self.accepts(body):
            return self.refuse("fence")
        self.tick()
        acked_upto = body.get("acked_upto", 0)
        for end in self.ended:
            if end[0] <= acked_upto:
                self.log("acked", end[1], end[2], end[3])
        self.ended = [end for end in self.ended if end[0] > acked_upto]
        self.extend_lease(body.get("until_ms"))
        end_s = time.monotonic() + min(MAX_WAIT_MS, body.get("wait_ms", 0)) / 1000
        while not self.ended and time.monotonic() < end_s:
            self.ended_event.clear()
            try:
                left_s = max(0.001, end_s - time.monotonic())
                await asyncio.wait_for(self.ended_event.wait(), left_s)
            except TimeoutError:
                break
        running = [
            [run.task, run.number, self.checkpoint(run), self.percent(run)]
            for run in self.runs.values()
        ]
        return 200, {
            "clock_ms": self.clock_ms(),
            "born": self.born,
            "running": running,
            "ended": self.ended[:PAGE_ENDS],
        }

    def percent(self, run: Run) -> int:
        return min(100, int(100 * self.work_ms(run) / max(1, run.spec["ms"])))

    async def handle(
        self, method: str, path: str, query: dict[str, str], headers: dict[str, str], body: bytes
    ) -> tuple[int, Any]:
        if path == "/standin/mode":
            self.is_unhealthy = json.loads(body)["unhealthy"]
            self.log("unhealthy" if self.is_unhealthy else "healthy", "", 0)
            return 200, {}
        if headers.get("x-expect-instance", self.id) != self.id:
            return 421, {}
        if path == "/health":
            return (503 if self.is_unhealthy else 200), {}
        call = json.loads(body)
        match path:
            case "/v1/run-start":
                return self.start(call)
            case "/v1/run-stop":
                return await self.stop(call)
            case "/v1/hold":
                return await self.hold(call)
        return 404, {}

    async def beat(self) -> None:
        """Registers the executor in the store and repeats that."""
        address, _, port = self.config["store"].rpartition(":")
        entry = {
            "service": self.config["service"],
            "addr": self.config["addr"],
            "zone": self.config["zone"],
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold_left_ms": 0,
            "capacity": self.config["capacity"],
            "labels": ["a", self.config["rack"]],
            "born": self.born,
            "seq": 1,
        }
        value = base64.b64encode(json.dumps(entry).encode()).decode()
        row = {"table": "servers", "part": "", "key": self.id, "value": value}
        while True:
            try:
                body = json.dumps(row).encode()
                await request(address, int(port), "POST", "/standin/beat", None, body, 1.0)
            except (OSError, TimeoutError):
                pass
            await asyncio.sleep(BEAT_S)

    async def run(self) -> None:
        address, _, port = self.config["addr"].rpartition(":")
        server = await serve(address, int(port), self.handle)
        self.log("born", "", 0)
        beats = asyncio.create_task(self.beat())
        async with server:
            while True:
                self.tick()
                await asyncio.sleep(0.01)
        beats.cancel()


async def main() -> None:
    await Executor(json.loads(Path(sys.argv[1]).read_text())).run()


if __name__ == "__main__":
    asyncio.run(main())
