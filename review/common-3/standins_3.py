"""Stand-ins for the cases 11 to 15: the platform's store, executors, a client, and node processes.

Everything listens on 127.0.0.1 and uses the real clock.  The store and the executors follow
PROTOCOL.md; what a case makes them do beyond that is set by the case in its own script.  Only the
standard library is used, so there is nothing to build.
"""

from __future__ import annotations

import asyncio
import base64
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, urlsplit

ADDRESS = "127.0.0.1"
ROOT = Path(__file__).resolve().parents[2]
HEARTBEAT_MS = 1_500
HOLD_MAX_MS = 6_000
STOP_MS = 200
ROW_BYTES = 65_536
MAX_TX_ENTRIES = 100
MAX_TX_BYTES = 1_000_000
LISTED_ENDS = 500
KEY = "key-of-the-tenant"
HOST = "desk.example"
SILENT_S = 60.0
CLOSE = (0, None)  # A handler returns this to close the connection without an answer.

Answer = tuple[int, Any]
Handler = Callable[[str, str, dict[str, str], bytes], Awaitable[Answer]]


def now_ms() -> int:
    """Returns the steady clock in milliseconds."""
    return time.monotonic_ns() // 1_000_000


class Record:
    """Writes what was sent, answered and run to `record.txt`, with the seconds since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._start_ms = now_ms()

    @property
    def elapsed_s(self) -> float:
        """Seconds since the start."""
        return (now_ms() - self._start_ms) / 1000

    def line(self, text: str) -> None:
        """Writes a line."""
        self._file.write(f"{self.elapsed_s:8.3f}  {text}\n")
        self._file.flush()


def free_ports(count: int) -> int:
    """Returns the first of `count` consecutive free ports below the range for outgoing ones."""
    first = 14_000 + (os.getpid() * 37) % 15_000
    for start in range(first, first + 3_000, count):
        sockets: list[socket.socket] = []
        try:
            for port in range(start, start + count):
                probe = socket.socket()
                sockets.append(probe)
                probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                probe.bind((ADDRESS, port))
        except OSError:
            continue
        finally:
            for probe in sockets:
                probe.close()
        return start
    raise OSError("no free ports")


class HttpServer:
    """A small HTTP/1.1 server with persistent connections."""

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self.port = 0

    async def start(self, port: int = 0) -> None:
        """Listens on a port, a free one if it is 0."""
        self._server = await asyncio.start_server(self._serve, ADDRESS, port, limit=2**21)
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Stops listening and resets all connections, as the end of a process does."""
        if self._server is not None:
            self._server.close()
            self._server = None
        self.reset_connections()

    def reset_connections(self) -> None:
        """Resets all connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin1").split("\r\n")
                method, path, _ = lines[0].split(" ", 2)
                headers = {}
                for line in lines[1:]:
                    name, _, value = line.partition(":")
                    headers[name.strip().lower()] = value.strip()
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                status, value = await self._handler(method, path, headers, body)
                if status == 0:
                    break
                data = json.dumps(value).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode() + data
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
            pass
        except asyncio.CancelledError:
            pass  # The case ends, and with it all connections.
        finally:
            self._writers.discard(writer)
            writer.close()


class Store:
    """The platform's store: rows, transactions, pages and feeds.

    `plan_tx` is asked before each transaction.  It returns None to carry it out and answer, "lost"
    to carry it out without an answer, or a number of seconds after which it is carried out, without
    an answer, if its conditions hold then.
    """

    def __init__(self, record: Record) -> None:
        self.rows: dict[tuple[str, str, str], dict[str, Any]] = {}
        self.version = 0
        self.refused_rows = 0
        self.late_ms = 0  # When a write was last carried out late.
        self.plan_tx: Callable[[dict[str, Any]], None | str | float] = lambda body: None
        self._record = record
        self._changed = asyncio.Event()
        self._server = HttpServer(self._handle)
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Starts to listen."""
        await self._server.start()

    def stop(self) -> None:
        """Stops."""
        self._server.stop()

    @property
    def address(self) -> str:
        """The address of the store."""
        return f"{ADDRESS}:{self._server.port}"

    def put(self, table: str, key: str, value: bytes) -> None:
        """Writes a row of the operator or of an executor."""
        self.version += 1
        self._put(table, "", key, base64.b64encode(value).decode())
        self._notify()

    def remove(self, table: str, key: str) -> None:
        """Removes a row of the operator or of an executor."""
        self.version += 1
        self._delete(table, "", key)
        self._notify()

    def find(self, table: str, key: str) -> bytes | None:
        """Returns the value of a row in any part."""
        for (row_table, _, row_key), row in self.rows.items():
            if (row_table, row_key) == (table, key) and not row.get("deleted"):
                return base64.b64decode(row["value"])
        return None

    async def _handle(self, method: str, path: str, headers: dict[str, str], body: bytes) -> Answer:
        await asyncio.sleep(0.004)
        url = urlsplit(path)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        if url.path == "/v1/rows-tx":
            return await self._handle_tx(json.loads(body), len(body))
        if url.path == "/v1/rows-get":
            return 200, self._page(query)
        if url.path == "/v1/rows-feed":
            return 200, await self._feed(query)
        if url.path == "/v1/rows-parts":
            parts = sorted({part for table, part, _ in self.rows if table == query["table"]})
            return 200, {"parts": parts, "ver": self.version}
        return 404, {}

    async def _handle_tx(self, body: dict[str, Any], size: int) -> Answer:
        plan = self.plan_tx(body)
        if isinstance(plan, float | int):
            task = asyncio.get_running_loop().create_task(self._apply_late(body, plan))
            self._tasks.add(task)
            await asyncio.sleep(SILENT_S)  # The connection delivers nothing further.
            return CLOSE
        answer = self._apply(body, size)
        if plan == "lost":
            await asyncio.sleep(SILENT_S)
            return CLOSE
        return answer

    async def _apply_late(self, body: dict[str, Any], delay_s: float) -> None:
        await asyncio.sleep(delay_s)
        status, _ = self._apply(body, 0)
        self.late_ms = now_ms()
        keys = [row["key"] for row in body.get("writes", [])]
        self._record.line(f"store: carried out {delay_s} s late, status {status}: write of {keys}")

    def _apply(self, body: dict[str, Any], size: int) -> Answer:
        names = [*body.get("expected_rev", []), *body.get("writes", []), *body.get("remove", [])]
        too_large = [
            (row["key"], len(base64.b64decode(row["value"])))
            for row in body.get("writes", [])
            if len(base64.b64decode(row["value"])) > ROW_BYTES
        ]
        if len(names) > MAX_TX_ENTRIES or size > MAX_TX_BYTES or too_large:
            self.refused_rows += 1
            if self.refused_rows < 20 or self.refused_rows % 50 == 0:
                self._record.line(f"store: transaction refused with 400, too large: {too_large}")
            return 400, {"ver": self.version, "now_ms": now_ms()}
        if len({name["part"] for name in names}) > 1:
            return 400, {}
        if any(name["table"] in ("op", "servers") for name in names):
            return 403, {}
        for condition in body.get("expected_rev", []):
            row = self.rows.get((condition["table"], condition["part"], condition["key"]))
            version = 0 if row is None or row.get("deleted") else row["ver"]
            if version != condition["ver"]:
                return 412, {"rows": self._current(body), "ver": self.version, "now_ms": now_ms()}
        self.version += 1
        for write in body.get("writes", []):
            self._put(write["table"], write["part"], write["key"], write["value"])
        for name in body.get("remove", []):
            self._delete(name["table"], name["part"], name["key"])
        self._notify()
        return 200, {"ver": self.version, "now_ms": now_ms()}

    def _current(self, body: dict[str, Any]) -> list[dict[str, Any]]:
        rows = [
            self.rows.get((each["table"], each["part"], each["key"]))
            for each in body["expected_rev"]
        ]
        return [row for row in rows if row is not None and not row.get("deleted")]

    def _page(self, query: dict[str, str]) -> dict[str, Any]:
        start, end = query.get("from", ""), query.get("to")
        limit = min(500, int(query.get("limit", "500")))
        matching = [
            row
            for (table, part, key), row in sorted(self.rows.items())
            if table == query["table"]
            and part == query.get("part", "")
            and key >= start
            and (end is None or key < end)
            and not row.get("deleted")
        ]
        rows: list[dict[str, Any]] = []
        size = 0
        for row in matching[:limit]:
            size += len(row["value"])
            if rows and size > MAX_TX_BYTES:
                break
            rows.append(row)
        more = len(rows) < len(matching)
        return {"rows": rows, "more_pages": more, "ver": self.version, "now_ms": now_ms()}

    async def _feed(self, query: dict[str, str]) -> dict[str, Any]:
        table, after = query["table"], int(query["after"])
        end_s = time.monotonic() + min(30_000, int(query["wait_ms"])) / 1000
        while True:
            rows = sorted(
                (row for key, row in self.rows.items() if key[0] == table and row["ver"] > after),
                key=lambda row: row["ver"],
            )
            left_s = end_s - time.monotonic()
            if rows or left_s <= 0:
                return {"rows": rows, "ver": self.version, "now_ms": now_ms()}
            changed = self._changed
            try:
                await asyncio.wait_for(changed.wait(), left_s)
            except TimeoutError:
                pass

    def _put(self, table: str, part: str, key: str, value: str) -> None:
        self.rows[table, part, key] = {
            "table": table,
            "part": part,
            "key": key,
            "value": value,
            "ver": self.version,
        }

    def _delete(self, table: str, part: str, key: str) -> None:
        row = self.rows.get((table, part, key))
        if row is not None:
            row.update(value=None, deleted=True, ver=self.version)

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()


class Executor:
    """An executor: runs under fences and leases, ends with numbers, an entry in the store.

    `work_ms` returns how long a run of a task takes, and `how` how it ends.  `plan_call` is asked
    before each call with its path and body.  It returns None to answer, "lost" to carry the call
    out without an answer, "hang" to do nothing and answer nothing, or a number of seconds after
    which the call is carried out without an answer.
    """

    def __init__(
        self,
        name: str,
        store: Store,
        record: Record,
        service: str = "desk",
        zone: str = "a",
        rack: str = "r1",
        capacity: dict[str, int] | None = None,
    ) -> None:
        self.name = name
        self.service = service
        self.zone = zone
        self.rack = rack
        self.capacity = capacity or {"cpu": 8_000, "mem_mb": 32_000, "gpu": 8}
        self.work_ms: Callable[[str, int], int] = lambda task, run: 1_000
        self.how: Callable[[str, int], str] = lambda task, run: "done"
        self.shape: Callable[[str], dict[str, int]] = lambda task: {"cpu": 1_000}
        self.plan_call: Callable[[str, dict[str, Any]], None | str | float] = (
            lambda path, body: None
        )
        self.on_start: Callable[[Executor, str, int], None] = lambda executor, task, run: None
        self.is_logged = True
        self.kind = "k"
        self.state = "ready"
        self.is_up = False
        self.is_cut = False
        self._store = store
        self._record = record
        self._server = HttpServer(self._handle)
        self._tasks: set[asyncio.Task[None]] = set()
        self._late_calls: set[asyncio.Task[None]] = set()  # They outlast a life.
        self._seq = 0
        self._begin_life()

    def _begin_life(self) -> None:
        self.born = time.time_ns() // 1_000_000
        self._clock_start_ms = now_ms() - 1_000
        self.fence = 0
        self.until_ms = 0
        self.runs: dict[str, tuple[int, int]] = {}  # Run and the time when it is done.
        self.latest_end: dict[str, int] = {}
        self.ended: list[list[Any]] = []
        self.end_count = 0
        self._used = {"cpu": 0, "mem_mb": 0, "gpu": 0}
        self._news = asyncio.Event()

    async def start(self) -> None:
        """Starts to listen, to work and to write heartbeats."""
        port = self._server.port
        self._server = HttpServer(self._handle)
        await self._server.start(port)
        self.is_up = True
        for loop in (self._work(), self._heartbeat()):
            task = asyncio.get_running_loop().create_task(loop)
            self._tasks.add(task)

    def crash(self) -> None:
        """Ends the executor's process: everything that runs there ends with it."""
        self._record.line(f"{self.name}: crashes with {len(self.runs)} runs")
        self.is_up = False
        self._server.stop()
        for task in self._tasks:
            task.cancel()
        self._tasks.clear()
        self._begin_life()

    async def restart(self, name: str | None = None) -> None:
        """Starts a new life at the same address, under a new id if `name` is given."""
        if name is not None:
            self.name = name
        self._begin_life()
        await self.start()
        self._record.line(f"{self.name}: has started again")

    def cut_off(self) -> None:
        """Cuts the executor off from all nodes, but not from the store; nothing is reset."""
        self._record.line(f"{self.name}: is cut off from all nodes")
        self.is_cut = True

    def begin_again_behind_cut(self) -> None:
        """Crashes and starts again under its id; behind the cut no node notices."""
        count = len(self.runs)
        self._record.line(f"{self.name}: crashes with {count} runs, starts again under its id")
        self._begin_life()
        self.publish()

    def mend_cut(self) -> None:
        """Ends the cut; connections to the earlier life are reset."""
        self.is_cut = False
        self._server.reset_connections()
        self._record.line(f"{self.name}: is reached by the nodes again")

    def leave(self) -> None:
        """Ends the executor as planned, and removes its entry."""
        self.crash()
        self._store.remove("servers", self.name)

    def publish(self) -> None:
        """Writes the entry."""
        self._seq += 1
        entry = {
            "service": self.service,
            "addr": f"{ADDRESS}:{self._server.port}",
            "zone": self.zone,
            "version": "1",
            "slots": 8,
            "state": self.state,
            "cold_left_ms": 0,
            "seq": self._seq,
            "born": self.born,
            "capacity": self.capacity,
            "labels": [self.kind, self.rack],
        }
        if self.state == "draining":
            entry["remaining_ms"] = 2_000
        self._store.put("servers", self.name, json.dumps(entry).encode())

    def clock_ms(self) -> int:
        """Returns the executor's own steady clock."""
        return now_ms() - self._clock_start_ms

    async def _heartbeat(self) -> None:
        while True:
            self.publish()
            await asyncio.sleep(HEARTBEAT_MS / 1000)

    async def _work(self) -> None:
        while True:
            await asyncio.sleep(0.02)
            self._tick()

    def _tick(self) -> None:
        now = now_ms()
        if self.runs and self.clock_ms() > self.until_ms:
            for task in list(self.runs):
                self._end(task, "lapsed")
            return
        for task, (run, due_ms) in list(self.runs.items()):
            if now >= due_ms:
                self._end(task, self.how(task, run))

    def _end(self, task: str, how: str) -> None:
        run, _ = self.runs.pop(task)
        for name, amount in self.shape(task).items():
            self._used[name] -= amount
        self.end_count += 1
        self.latest_end[task] = max(run, self.latest_end.get(task, 0))
        self.ended.append([self.end_count, task, run, how, ""])
        if self.is_logged:
            self._record.line(f"{self.name}: run {run} of {task} ended {how}")
        self._news.set()
        self._news = asyncio.Event()

    async def _handle(self, method: str, path: str, headers: dict[str, str], body: bytes) -> Answer:
        value = json.loads(body)
        if self.is_cut:
            await asyncio.sleep(SILENT_S)  # What is sent across the cut is lost.
            return CLOSE
        if headers.get("x-expect-instance", self.name) != self.name:
            return 421, {}
        born = self.born
        plan = self.plan_call(path, value)
        if plan == "hang":
            await asyncio.sleep(SILENT_S)
            return CLOSE
        if isinstance(plan, float | int):
            task = asyncio.get_running_loop().create_task(self._carry_out_late(path, value, plan))
            self._late_calls.add(task)
            await asyncio.sleep(SILENT_S)
            return CLOSE
        status, answer = self._carry_out(path, value)
        if plan == "lost":
            await asyncio.sleep(SILENT_S)
            return CLOSE
        if path == "/v1/hold" and status == 200:
            await self._wait_for_news(value, born)
            if self.is_cut:
                await asyncio.sleep(SILENT_S)
            if self.born != born or not self.is_up:
                return CLOSE
            answer = self._lists()
        return status, {**answer, "clock_ms": self.clock_ms(), "born": self.born}

    async def _carry_out_late(self, path: str, value: dict[str, Any], delay_s: float) -> None:
        await asyncio.sleep(delay_s)
        status, answer = self._carry_out(path, value)
        name = value.get("task", "")
        self._record.line(
            f"{self.name}: carried out {delay_s} s late: {path} {name} run {value.get('run', '')}, "
            f"status {status} {answer.get('reason', '')}"
        )

    async def _wait_for_news(self, value: dict[str, Any], born: int) -> None:
        end_s = time.monotonic() + min(2_000, value.get("wait_ms", 0)) / 1000
        while not self.ended and self.born == born:
            left_s = end_s - time.monotonic()
            if left_s <= 0:
                return
            news = self._news
            try:
                await asyncio.wait_for(news.wait(), left_s)
            except TimeoutError:
                return

    def _carry_out(self, path: str, value: dict[str, Any]) -> Answer:
        if value.get("fence", 0) < self.fence:
            return 409, {"reason": "fence"}
        self.fence = value.get("fence", 0)
        self._tick()
        if path == "/v1/hold":
            return self._hold(value)
        if path == "/v1/run-start":
            return self._start(value)
        if path == "/v1/run-stop":
            return self._stop(value)
        return 404, {}

    def _hold(self, value: dict[str, Any]) -> Answer:
        self._extend(value.get("until_ms", 0))
        acked = value.get("acked_upto", 0)
        self.ended = [end for end in self.ended if end[0] > acked]
        return 200, self._lists()

    def _lists(self) -> dict[str, Any]:
        now = now_ms()
        running: list[list[Any]] = []
        for task, (run, due_ms) in self.runs.items():
            left_percent = (due_ms - now) * 100 // max(1, self.work_ms(task, run))
            running.append([task, run, "", max(0, min(99, 100 - left_percent))])
        return {"running": running, "ended": self.ended[:LISTED_ENDS]}

    def _start(self, value: dict[str, Any]) -> Answer:
        task, run = value["task"], value["run"]
        if task in self.runs and self.runs[task][0] == run:
            return 200, {}
        if run <= self.latest_end.get(task, 0) or task in self.runs:
            self._extend(value["until_ms"])
            return 409, {"reason": "old"}
        if value["until_ms"] <= self.clock_ms():
            return 409, {"reason": "late"}
        shape = self.shape(task)
        if any(self._used[key] + amount > self.capacity[key] for key, amount in shape.items()):
            self._extend(value["until_ms"])
            return 409, {"reason": "room"}
        self._extend(value["until_ms"])
        for key, amount in shape.items():
            self._used[key] += amount
        self.runs[task] = (run, now_ms() + self.work_ms(task, run))
        if self.is_logged:
            self._record.line(f"{self.name}: run {run} of {task} starts")
        self.on_start(self, task, run)
        return 200, {}

    def _stop(self, value: dict[str, Any]) -> Answer:
        task, run = value["task"], value["run"]
        self.latest_end[task] = max(run, self.latest_end.get(task, 0))
        if task in self.runs and self.runs[task][0] <= run:
            self._end(task, "stopped")
        return 200, {}

    def _extend(self, until_ms: int) -> None:
        self.until_ms = max(self.until_ms, min(until_ms, self.clock_ms() + HOLD_MAX_MS))


class Node:
    """A node process, started as the deploy file says."""

    def __init__(self, name: str, zone: str, folder: Path, store: Store) -> None:
        self.name = name
        self.folder = folder
        port = free_ports(20)
        self.front_port, self.ready_port = port, port + 1
        self.boot = folder / f"{name}.json"
        self.boot.write_text(json.dumps(self._settings(name, zone, port, store)))
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Starts the process."""
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": str(self.folder),
            "PYTHONPATH": str(ROOT / "target/deps"),
            "JACINTHREEL_BOOT": str(self.boot),
        }
        with (self.folder / f"{self.name}.log").open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-P", "-m", "jacinthreel_platform"],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    def send(self, number: int) -> None:
        """Sends a signal to the process, if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def end(self) -> None:
        """Kills the process and waits for it."""
        if self.process is not None:
            self.send(signal.SIGCONT)
            self.send(signal.SIGKILL)
            self.process.wait()

    def _settings(self, name: str, zone: str, port: int, store: Store) -> dict[str, Any]:
        return {
            "node": name,
            "role": "node",
            "class": "front",
            "serves": ["front"],
            "ip": ADDRESS,
            "zone": zone,
            "region": "region",
            "zones": {"a": "region", "b": "region", "c": "region"},
            "listen": {"front": f"{ADDRESS}:{port}", "ready": f"{ADDRESS}:{port + 1}"},
            "port_range": [port + 2, port + 17],
            "seeds": [],
            "bootstrap": True,
            "limits": {
                "cpu_share": 0.537,
                "cores": 2,
                "memory_mb": 300,
                "max_fds": 4100,
                "link_mbps": 1000.0,
                "disk_mb": 0,
            },
            "discovery": "platform",
            "entry": "vip",
            "heartbeat_ms": HEARTBEAT_MS,
            "contracts": ["base", "drain", "config", "cost", "recover", "sched", "tenants"],
            "tolerate": {"machines": 2, "zones": 1, "regions": 0},
            "bounds": {
                "contact_ms": 3000,
                "ack_ms": 4000,
                "drain_ms": 2000,
                "grace_s": 6,
                "config_apply_ms": 2000,
                "hold_max_ms": HOLD_MAX_MS,
                "stop_ms": STOP_MS,
                "gang_ms": 3000,
                "cancel_ms": 3000,
                "visible_ms": 3000,
                "finish_s": 14,
                "status_s": 120,
            },
            "orders": "rpc",
            "platform": {
                "addr": store.address,
                "writes_per_s": 800,
                "reads_per_s": 2000,
                "form": "table",
                "tx_ms": 5.0,
                "part_writes_s": 200,
                "row_bytes": ROW_BYTES,
                "across": False,
                "history_s": 20,
            },
        }


class World:
    """The store, the executors and the nodes of a case."""

    def __init__(self, record: Record, node_count: int = 3) -> None:
        self.record = record
        self.store = Store(record)
        self.executors: list[Executor] = []
        self.nodes: list[Node] = []
        self._node_count = node_count
        self._folder = tempfile.TemporaryDirectory()
        self._config_version = 0

    @property
    def folder(self) -> Path:
        """The temporary folder, with settings files and logs of the nodes."""
        return Path(self._folder.name)

    def configure(self, routes: list[dict[str, Any]], services: list[str]) -> None:
        """Writes a configuration."""
        self._config_version += 3
        config = {
            "version": self._config_version,
            "routes": routes,
            "services": [{"name": name, "enforces_capacity": True} for name in services],
            "tenants": [{"name": "tenant", "api_keys": [KEY], "guaranteed": {"gpu": 2}}],
            "limits": {"max_body_bytes": 262_144},
        }
        self.store.put("op", "config", json.dumps(config).encode())

    async def start_nodes(self) -> None:
        """Starts the nodes and waits until one reports ready and executors are known."""
        zones = ("a", "b", "c")
        for index in range(self._node_count):
            self.nodes.append(
                Node(f"front-{zones[index % 3]}-{index}", zones[index % 3], self.folder, self.store)
            )
            self.nodes[-1].start()
        await self.wait_ready()

    async def wait_ready(self, limit_s: float = 15.0) -> None:
        """Waits until all nodes that run report ready."""
        end_s = time.monotonic() + limit_s
        while time.monotonic() < end_s:
            answers = [await call(node.ready_port, "GET", "/v1/readiness") for node in self.nodes]
            if all(status == 200 for status, _ in answers):
                return
            await asyncio.sleep(0.2)
        raise RuntimeError("the nodes are not ready")

    def close(self) -> None:
        """Ends everything."""
        for node in self.nodes:
            node.end()
        for executor in self.executors:
            executor.is_logged = False
            if executor.is_up:
                executor._server.stop()
        self.store.stop()
        self._folder.cleanup()

    def owner_name(self) -> str:
        """Returns the name of the node that wrote the row of the owner last."""
        value = self.store.find("owner", "owner") or b""
        for node in self.nodes:
            if node.name.encode() in value:
                return node.name
        return ""


def route(name: str, service: str, priority: int = 1, **more: Any) -> dict[str, Any]:
    """Returns a route of a configuration."""
    return {
        "name": name,
        "host": HOST,
        "path_prefix": f"/{name}/",
        "service": service,
        "priority": priority,
        "max_attempts": 3,
        "stretch": 3.0,
        "target_latency_ms": 1000,
        **more,
    }


async def call(
    port: int, method: str, path: str, value: Any = None, deadline_ms: int = 3_000
) -> tuple[int, Any]:
    """Calls a node; returns status 0 without an answer."""
    data = b"" if value is None else json.dumps(value).encode()
    head = (
        f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nAuthorization: Token {KEY}\r\n"
        f"X-Deadline-Ms: {deadline_ms}\r\nContent-Type: application/json\r\n"
        f"Content-Length: {len(data)}\r\nConnection: close\r\n\r\n"
    )
    try:
        async with asyncio.timeout(deadline_ms / 1000 + 1):
            reader, writer = await asyncio.open_connection(ADDRESS, port)
            try:
                writer.write(head.encode() + data)
                answer = await reader.read()
            finally:
                writer.close()
    except (OSError, TimeoutError):
        return 0, None
    top, _, body = answer.partition(b"\r\n\r\n")
    if not top.startswith(b"HTTP/1.1 "):
        return 0, None
    try:
        return int(top.split(b" ")[1]), json.loads(body or b"null")
    except ValueError:
        return 0, None


def run_case(main: Callable[[Record, bool], Awaitable[int]], folder: Path) -> None:
    """Runs a case and exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run."""
    record = Record(folder / "record.txt")
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record.line(f"the case runs {'with' if has_trouble else 'without'} the disruption")
    try:
        status = asyncio.run(main(record, has_trouble))
    except Exception as error:
        record.line(f"the case couldn't run: {error!r}")
        status = 2
    record.line({0: "the rule held", 1: "the rule was broken"}.get(status, "no result"))
    sys.exit(status)
