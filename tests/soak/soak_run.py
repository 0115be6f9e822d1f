"""A randomized fault soak: real node processes, stand-ins of the platform, faults from outside.

Phases of a run: the stand-ins and nodes start; callers submit, show and cancel jobs while faults
come in series that overlap; then everything heals, nodes that are down are started, and every
accepted job has to end.  The promises are checked by the executors as they are told to start, and
by the callers from the answers that they get.  All choices come from the seed.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import signal
import socket
import subprocess
import sys
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from loopback_proxy import LoopbackProxy
from standin_platform import (
    CAPACITY,
    Ledger,
    StandinExecutor,
    StandinStore,
    now_ms,
    serve_executor,
    serve_store,
)
from tornado.httpclient import AsyncHTTPClient, HTTPClientError, HTTPRequest

KEY = "soak-key"
HOST = "soak.example"
TRIES = 8
SETTLE_S = 60.0
STOP_S = 8.0
FIRST_PORT = 12_000
PORT_WINDOWS = 30
WINDOW_PORTS = 600
REFUSALS = frozenset({429, 503})


@dataclass(slots=True)
class SoakSize:
    """How large a run is."""

    nodes: int = 3
    executors: int = 4
    jobs: int = 24
    faults_s: float = 9.0


@dataclass(slots=True)
class NodeProcess:
    """A node: its ports, its settings file, its process and its path to the store."""

    name: str
    front_port: int
    boot: Path
    log: Path
    store_proxy: LoopbackProxy
    process: subprocess.Popen[bytes] | None = None


@dataclass(slots=True)
class SubmittedJob:
    """A job as its caller knows it; `is_refused` where each attempt was told "not run"."""

    job_id: str
    is_accepted: bool = False
    is_refused: bool = True
    is_cancelled: bool = False


@dataclass(slots=True)
class SoakRun:
    """One run with one seed."""

    seed: int
    folder: Path
    size: SoakSize
    rng: random.Random = field(init=False)
    ledger: Ledger = field(default_factory=Ledger)
    store: StandinStore = field(default_factory=StandinStore)
    executors: list[StandinExecutor] = field(default_factory=list)
    executor_proxies: list[LoopbackProxy] = field(default_factory=list)
    nodes: list[NodeProcess] = field(default_factory=list)
    jobs: list[SubmittedJob] = field(default_factory=list)
    is_over: bool = False
    config_version: int = 1
    tasks: set[asyncio.Task[None]] = field(default_factory=set)

    def __post_init__(self) -> None:
        self.rng = random.Random(self.seed)
        ports.given.clear()

    async def play(self) -> list[str]:
        """Plays the run; returns the promises that were broken."""
        try:
            await self._set_up()
            callers = [asyncio.create_task(self._call(index)) for index in range(self.size.jobs)]
            await self._inject()
            await self._heal()
            await asyncio.gather(*callers)
            await self._settle()
        finally:
            self._end_processes()
        return self._verdict()

    async def _set_up(self) -> None:
        store_port = ports.take()
        serve_store(self.store, store_port)
        self._put_config()
        for index in range(self.size.executors):
            work_ms = self.rng.randint(150, 900)
            executor = StandinExecutor(f"e{index}", self.ledger, work_ms)
            port = ports.take()
            serve_executor(executor, port)
            self.executors.append(executor)
            self.executor_proxies.append(await LoopbackProxy.open(port))
            self._beat(index)
        for index in range(self.size.nodes):
            proxy = await LoopbackProxy.open(store_port)
            self.nodes.append(self._make_node(index, proxy))
            self._start_node(self.nodes[-1])
        self._spawn(self._tick_executors())
        await asyncio.sleep(1.5)

    def _make_node(self, index: int, proxy: LoopbackProxy) -> NodeProcess:
        front, ready, stream = ports.take(), ports.take(), ports.take(2)
        name = f"n{index}"
        boot = self.folder / f"{name}.json"
        settings = {
            "node": name,
            "ip": "127.0.0.1",
            "zone": f"z{index % 2}",
            "listen": {"front": f"127.0.0.1:{front}", "ready": f"127.0.0.1:{ready}"},
            "port_range": [stream, stream + 1],
            "limits": {"cpu_share": 1.0, "cores": 1, "link_mbps": 1000.0},
            "bounds": {"hold_max_ms": 6_000, "grace_s": 6, "status_s": 120},
            "platform": {"addr": f"127.0.0.1:{proxy.port}"},
        }
        boot.write_text(json.dumps(settings))
        return NodeProcess(name, front, boot, self.folder / f"{name}.log", proxy)

    def _start_node(self, node: NodeProcess) -> None:
        environment = {**os.environ, "JACINTHREEL_BOOT": str(node.boot)}
        with node.log.open("ab") as log:
            node.process = subprocess.Popen(
                [sys.executable, "-P", "-m", "jacinthreel_platform"],
                env=environment,
                stdout=log,
                stderr=log,
            )

    def _beat(self, index: int, state: str = "ready") -> None:
        executor, proxy = self.executors[index], self.executor_proxies[index]
        entry = {
            "service": "soak",
            "addr": f"127.0.0.1:{proxy.port}",
            "zone": f"z{index % 2}",
            "state": state,
            "labels": ["a", f"r{index % 2}"],
            "capacity": CAPACITY,
            "born": executor.born,
        }
        self.store.put("servers", executor.name, json.dumps(entry).encode())

    def _put_config(self) -> None:
        routes = [self._route("urgent", 0), self._route("batch", 1)]
        config = {
            "version": self.config_version,
            "routes": routes,
            "tenants": [{"name": "w", "api_keys": [KEY], "guaranteed": {"gpu": 8}}],
        }
        self.store.put("op", "config", json.dumps(config).encode())

    def _route(self, name: str, priority: int) -> dict[str, Any]:
        return {
            "name": name,
            "host": HOST,
            "path_prefix": f"/{name}/",
            "service": "soak",
            "priority": priority,
            "max_attempts": 3,
            "stretch": 3.0,
            "target_latency_ms": 1_000,
        }

    async def _call(self, index: int) -> None:
        await asyncio.sleep(self.rng.uniform(0, self.size.faults_s))
        job = SubmittedJob(f"{self.seed & 0xFFFFFFFF:08x}{index:08x}")
        self.jobs.append(job)
        steps = self._steps()
        self.ledger.shapes_by_job[job.job_id] = steps
        path = f"/{self.rng.choice(['urgent', 'batch'])}/{job.job_id}"
        body = json.dumps({"spec": "soak", "steps": steps})
        await self._submit(job, path, body)
        if job.is_accepted and self.rng.random() < 0.2:
            await asyncio.sleep(self.rng.uniform(0, 1.5))
            status = await self._ask("DELETE", path)
            if status in (200, 410):
                job.is_cancelled = True
                self.ledger.stopped_jobs_ms[job.job_id] = now_ms()
                if status == 410:
                    self.ledger.faults.append(f"{job.job_id} was accepted and isn't known")
        for _ in range(2):
            await asyncio.sleep(self.rng.uniform(0.1, 1.0))
            if job.is_accepted and await self._ask("GET", path) == 410:
                self.ledger.faults.append(f"{job.job_id} was accepted and isn't known")

    def _steps(self) -> list[dict[str, Any]]:
        is_gang = self.rng.random() < 0.5
        count = self.rng.randint(1, 5)
        first = {"count": count, "cpu": 500, "mem_mb": 500, "gpu": self.rng.choice([1, 2, 4])}
        steps: list[dict[str, Any]] = [{**first, "estimate_ms": 500, "gang": is_gang}]
        if self.rng.random() < 0.3:
            steps.append({"count": 2, "cpu": 500, "mem_mb": 500, "gpu": 1, "after": [0]})
        return steps

    async def _submit(self, job: SubmittedJob, path: str, body: str) -> None:
        for _ in range(TRIES):
            status = await self._ask("POST", path, body)
            if status == 200:
                job.is_accepted = True
                job.is_refused = False
                return
            if status not in REFUSALS:
                job.is_refused = False
            await asyncio.sleep(self.rng.uniform(0.1, 0.6))

    async def _ask(self, method: str, path: str, body: str | None = None) -> int:
        """Sends a call to some node; 0 stands for no whole answer."""
        node = self.rng.choice(self.nodes)
        request = HTTPRequest(
            f"http://127.0.0.1:{node.front_port}{path}",
            method,
            {"Host": HOST, "Authorization": f"Token {KEY}", "X-Deadline-Ms": "3000"},
            body=body,
            request_timeout=3.0,
            connect_timeout=1.0,
        )
        try:
            reply = await AsyncHTTPClient().fetch(request, raise_error=False)
        except (HTTPClientError, OSError):
            return 0
        return 0 if reply.code == 599 else reply.code

    async def _inject(self) -> None:
        end_ms = now_ms() + int(self.size.faults_s * 1000)
        while now_ms() < end_ms:
            self._spawn(self._one_fault())
            await asyncio.sleep(self.rng.uniform(0.3, 1.3))

    async def _one_fault(self) -> None:
        node = self.rng.choice(self.nodes)
        proxy = self.rng.choice(
            [*self.executor_proxies, *[each.store_proxy for each in self.nodes]]
        )
        span_s = self.rng.uniform(0.3, 3.0)
        match self.rng.randrange(8):
            case 0:
                await self._signal_and_restart(node, signal.SIGKILL)
            case 1:
                await self._signal_and_restart(node, signal.SIGTERM)
            case 2:
                self._send(node, signal.SIGSTOP)
                await asyncio.sleep(span_s)
                self._send(node, signal.SIGCONT)
            case 3:
                proxy.reset_all()
            case 4:
                await proxy.disturb("silent", span_s)
            case 5:
                await proxy.disturb("one_way", span_s)
            case 6:
                await proxy.disturb("slow", span_s)
            case _:
                index = self.rng.randrange(len(self.executors))
                self.executors[index].crash()
                self.executor_proxies[index].reset_all()
                self._beat(index)
                self.config_version += self.rng.randint(1, 3)
                self._put_config()

    async def _signal_and_restart(self, node: NodeProcess, number: signal.Signals) -> None:
        process = node.process
        if process is None:
            return
        self._send(node, number)
        end_ms = now_ms() + int(STOP_S * 1000)
        while process.poll() is None and now_ms() < end_ms:
            await asyncio.sleep(0.05)
        if process.poll() is not None and node.process is process:
            self._start_node(node)

    def _send(self, node: NodeProcess, number: signal.Signals) -> None:
        if node.process is not None and node.process.poll() is None:
            node.process.send_signal(number)

    async def _heal(self) -> None:
        while len(self.tasks) > 1:  # The executors' clockwork goes on.
            await asyncio.sleep(0.1)
        for node in self.nodes:
            self._send(node, signal.SIGCONT)
            if node.process is None or node.process.poll() is not None:
                self._start_node(node)

    async def _settle(self) -> None:
        """Waits until every accepted job has ended, as its callers see it."""
        end_ms = now_ms() + int(SETTLE_S * 1000)
        left = [job for job in self.jobs if job.is_accepted]
        while left and now_ms() < end_ms:
            await asyncio.sleep(0.3)
            left = [job for job in left if not await self._has_ended(job)]
        if left:
            for node in self.nodes:
                self._send(node, signal.SIGUSR1)  # The logs then say what the nodes wait for.
            await asyncio.sleep(1.0)
        for job in left:
            self.ledger.faults.append(f"{job.job_id} was accepted and never ended")
            self.ledger.faults += self._evidence(job.job_id)

    def _evidence(self, job_id: str) -> list[str]:
        """What the nodes' logs say of a job, and of the executors at the end."""
        lines: list[str] = []
        for node in self.nodes:
            text = node.log.read_text(errors="replace")
            lines += [line for line in text.splitlines() if job_id in line or "_held" in line]
        return sorted(lines)

    async def _has_ended(self, job: SubmittedJob) -> bool:
        node = self.rng.choice(self.nodes)
        url = f"http://127.0.0.1:{node.front_port}/batch/{job.job_id}"
        request = HTTPRequest(
            url, headers={"Host": HOST, "Authorization": f"Token {KEY}"}, request_timeout=3.0
        )
        try:
            reply = await AsyncHTTPClient().fetch(request, raise_error=False)
        except (HTTPClientError, OSError):
            return False
        if reply.code == 410:
            self.ledger.faults.append(f"{job.job_id} was accepted and isn't known")
            return True
        state = json.loads(reply.body).get("state") if reply.code == 200 else ""
        if state == "completed":
            self._check_completed(job)
        return state in ("completed", "cancelled")

    def _check_completed(self, job: SubmittedJob) -> None:
        for index, step in enumerate(self.ledger.shapes_by_job[job.job_id]):
            names = [f"{job.job_id}.0.{index}.{task}" for task in range(step["count"])]
            done = [name in self.ledger.done_tasks for name in names]
            if not (any(done) if step.get("gang") else all(done)):
                self.ledger.faults.append(f"{job.job_id} is completed and step {index} isn't")

    def _verdict(self) -> list[str]:
        faults = list(self.ledger.faults)
        for job in self.jobs:
            if job.is_refused and job.job_id in self.ledger.started_jobs:
                faults.append(f"{job.job_id} was refused each time and ran")
        for node in self.nodes:
            text = node.log.read_text(errors="replace")
            faults += [f"{node.name}: {line}" for line in text.splitlines() if "Traceback" in line]
        return faults

    async def _tick_executors(self) -> None:
        while not self.is_over:
            for executor in self.executors:
                executor.tick()
            await asyncio.sleep(0.02)

    def _spawn(self, coroutine: Any) -> None:
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def _end_processes(self) -> None:
        self.is_over = True
        for node in self.nodes:
            if node.process is not None and node.process.poll() is None:
                node.process.send_signal(signal.SIGCONT)
                node.process.kill()
                node.process.wait()


class PortWindow:
    """A range of ports that no other soak on this machine uses while this process lives.

    Without it, a soak beside this one could take the port of a node that is down for a moment.
    """

    def __init__(self) -> None:
        self.given: set[int] = set()
        self._guard = socket.socket()
        self._first = self._claim()

    def take(self, count: int = 1) -> int:
        """The first of `count` neighbouring free ports; none is given out twice in a run."""
        while True:
            port = random.randrange(self._first + 1, self._first + WINDOW_PORTS - count)
            wanted = set(range(port, port + count))
            if wanted & self.given or not all(_is_free(each) for each in wanted):
                continue
            self.given.update(wanted)
            return port

    def _claim(self) -> int:
        """Takes a window by listening on its first port."""
        for offset in range(PORT_WINDOWS):
            first = FIRST_PORT + (os.getpid() + offset) % PORT_WINDOWS * WINDOW_PORTS
            try:
                self._guard.bind(("127.0.0.1", first))
            except OSError:
                continue
            self._guard.listen()
            return first
        raise OSError("all windows of ports are in use")


ports = PortWindow()


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind(("127.0.0.1", port))
        except OSError:
            return False
        return True
