"""Stand-in of an executor, one process a life.

    executor.py SETTINGS_JSON

Settings: id, address, port, store, service, zone, kind, rack, capacity, events (a file to which
each start and end is appended), and register_after_s (how long after its start the entry in the
store is written first; afterwards each heartbeat).  A task's spec is a JSON text with `work_ms`
and the shape of the step (`cpu`, `mem_mb`, `gpu`).  A lease lasts for `hold_max_ms` at most,
on a clock that runs at `clock_rate`.  The file named by `unhealthy`, while it is
there, makes the executor refuse starts with 503.
"""

from __future__ import annotations

import asyncio
import base64
import json
import os
import sys
import time
from typing import Any

from http11 import Request, call, serve

HEARTBEAT_S = 1.5
TICK_S = 0.02


def now_ms() -> int:
    return time.monotonic_ns() // 1_000_000


class Executor:
    def __init__(self, settings: dict[str, Any]) -> None:
        self.settings = settings
        self.born = time.time_ns() // 1_000_000
        self.began_ms = now_ms()
        self.fence = 0
        self.lease_until_ms = 0
        self.runs: dict[str, dict[str, Any]] = {}
        self.highest: dict[str, int] = {}
        self.ended: list[list[Any]] = []
        self.sequence = 0
        self.lapsed_ends: set[int] = set()  # Of those listed when the lease lapsed.
        self.beats = 0

    def clock_ms(self) -> int:
        return int((now_ms() - self.began_ms) * self.settings.get("clock_rate", 1.0))

    def note(self, what: str, **fields: Any) -> None:
        line = {
            "at_ms": now_ms(),
            "who": f"{self.settings['id']} ({self.settings['kind']}, born {self.born})",
            "what": what,
            **fields,
        }
        with open(self.settings["events"], "a") as file:
            file.write(json.dumps(line) + "\n")

    def end(self, task: str, how: str) -> None:
        run = self.runs.pop(task)
        self.highest[task] = max(run["run"], self.highest.get(task, 0))
        self.sequence += 1
        self.ended.append([self.sequence, task, run["run"], how, ""])
        self.note("end", task=task, run=run["run"], how=how)

    def tick(self) -> None:
        if self.clock_ms() > self.lease_until_ms:
            self.lapsed_ends.update(end[0] for end in self.ended)
        for task, run in list(self.runs.items()):
            if self.clock_ms() > self.lease_until_ms:
                self.end(task, "lapsed")
            elif now_ms() >= run["due_ms"]:
                self.end(task, "done")

    def extend(self, until_ms: int) -> None:
        longest = self.clock_ms() + self.settings["hold_max_ms"]
        self.lease_until_ms = max(self.lease_until_ms, min(until_ms, longest))

    def has_room(self, shape: dict[str, int]) -> bool:
        for name, amount in self.settings["capacity"].items():
            used = sum(run["shape"].get(name, 0) for run in self.runs.values())
            if used + shape.get(name, 0) > amount:
                return False
        return True

    async def handle(self, request: Request) -> tuple[int, Any] | None:
        wanted = request.headers.get("x-expect-instance", self.settings["id"])
        if wanted != self.settings["id"]:
            return 421, {}
        body = request.json()
        if body.get("fence", 0) < self.fence:
            return 409, {"clock_ms": self.clock_ms(), "reason": "fence"}
        self.fence = body.get("fence", 0)
        self.tick()
        match request.path:
            case "/v1/run-start":
                status, reply = self.start(body)
            case "/v1/run-stop":
                status, reply = self.stop(body)
            case "/v1/hold":
                status, reply = await self.hold(body)
            case _:
                return 404, {}
        return status, {"clock_ms": self.clock_ms(), **reply}

    def start(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        if os.path.exists(self.settings.get("unhealthy", "") or "/nonexistent"):
            self.note("start refused (503)", task=body["task"], run=body["run"])
            return 503, {}
        task, number = body["task"], body["run"]
        if task in self.runs and self.runs[task]["run"] == number:
            return 200, {}
        if task in self.runs or number <= self.highest.get(task, 0):
            self.extend(body["until_ms"])
            return 409, {"reason": "old"}
        if body["until_ms"] <= self.clock_ms():
            return 409, {"reason": "late"}
        spec = json.loads(body["spec"])
        if not self.has_room(spec):
            self.extend(body["until_ms"])
            return 409, {"reason": "room"}
        self.extend(body["until_ms"])
        self.runs[task] = {"run": number, "shape": spec, "due_ms": now_ms() + spec["work_ms"]}
        self.note("start", task=task, run=number, fence=body.get("fence", 0))
        return 200, {}

    def stop(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        task, number = body["task"], body["run"]
        if task in self.runs and self.runs[task]["run"] <= number:
            self.end(task, "stopped")
        self.highest[task] = max(number, self.highest.get(task, 0))
        return 200, {}

    async def hold(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        self.extend(body.get("until_ms", 0))
        for end in self.ended:
            if end[0] <= body.get("acked_upto", 0):
                lapsed = end[0] in self.lapsed_ends
                self.note("end acknowledged", task=end[1], run=end[2], how=end[3], lapsed=lapsed)
        self.ended = [end for end in self.ended if end[0] > body.get("acked_upto", 0)]
        until = now_ms() + min(2_000, body.get("wait_ms", 0))
        while not self.ended and now_ms() < until:
            await asyncio.sleep(TICK_S)
        self.tick()
        running = []
        for task, run in self.runs.items():
            work_ms = max(1, run["shape"]["work_ms"])
            done = 100 - 100 * max(0, run["due_ms"] - now_ms()) // work_ms
            running.append([task, run["run"], "", min(99, max(0, done)), run["shape"]["cpu"]])
        return 200, {"born": self.born, "running": running, "ended": self.ended[:500]}

    async def register(self) -> None:
        settings = self.settings
        host, _, port = settings["store"].rpartition(":")
        await asyncio.sleep(settings.get("register_after_s", 0.0))
        while True:
            self.beats += 1
            entry = {
                "service": settings["service"],
                "addr": f"{settings['address']}:{settings.get('public_port') or settings['port']}",
                "zone": settings["zone"],
                "version": "1",
                "slots": 8,
                "state": "ready",
                "cold_left_ms": 0,
                "seq": self.beats,
                "born": self.born,
                "capacity": settings["capacity"],
                "labels": [settings["kind"], settings["rack"]],
            }
            value = base64.b64encode(json.dumps(entry).encode()).decode()
            row = {"table": "servers", "key": settings["id"], "value": value}
            status, _ = await call(host, int(port), "POST", "/standin/put", row)
            if self.beats == 1:
                self.note("entry written", status=status)
            await asyncio.sleep(HEARTBEAT_S)


async def main() -> None:
    executor = Executor(json.loads(sys.argv[1]))
    settings = executor.settings
    server = await serve(settings["address"], settings["port"], executor.handle)
    executor.note("began")
    register = asyncio.create_task(executor.register())

    async def tick() -> None:
        while True:
            executor.tick()
            await asyncio.sleep(TICK_S)

    await asyncio.gather(server.serve_forever(), register, tick())


if __name__ == "__main__":
    asyncio.run(main())
