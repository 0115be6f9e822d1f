"""A small deployment on loopback for the scripts: the store, executors, nodes and callers.

Everything runs as a process of its own, in a temporary folder.  The nodes are started with the
command of `deploy/system.toml` and with settings like those of a small deployment.
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
import tomllib
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from wire import request

STAND = Path(__file__).resolve().parent
ROOT = STAND.parent.parent
ZONES = ("zone-a", "zone-b", "zone-c")
QUEUE_HOST = "queue.example"
PREFIX = "/jobs/"
KEY = "key-of-the-tenant"
SERVICE = "desk"
CAPACITY = {"cpu": 128_000, "mem_mb": 524_288, "gpu": 8}
DEADLINE_MS = 3_000
ATTEMPTS = 5  # The first and four retries, as the site files say of clients.
BOUNDS = {
    "seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "ack_ms": 4000, "catch_up_s": 4,
    "drain_ms": 2000, "grace_s": 6, "loss_slack_ms": 200, "config_apply_ms": 2000,
    "rollback_slack_ms": 250, "max_stretch_ms": 5000, "evacuate_ms": 5000, "recovery_s": 12,
    "hold_max_ms": 6000, "stop_ms": 200, "gang_ms": 3000, "cancel_ms": 3000, "visible_ms": 3000,
    "early_ms": 250, "finish_s": 14, "status_s": 120, "checkpoint_s": 1, "restore_ms": 250,
    "lease_ms": 3000, "reclaim_ms": 2700,
}  # fmt: skip


class CannotRun(Exception):
    """The case could not be played; exit status 2."""


@dataclass(slots=True)
class Node:
    """A node: its address, its settings file, its log and its process."""

    name: str
    ip: str
    boot: Path
    log: Path
    process: subprocess.Popen[bytes] | None = None


@dataclass(slots=True)
class Job:
    """A job as its caller sees it; times are monotonic seconds."""

    job_id: str
    sent_s: float
    accepted_s: float | None = None
    answers: list[str] = field(default_factory=list)


class Deployment:
    """Starts, records and ends everything."""

    def __init__(self, folder: Path, record: Path, max_attempts: int = 3) -> None:
        self.folder = folder
        self.record = open(record, "w", buffering=1)
        self.started_s = time.monotonic()
        self.max_attempts = max_attempts
        self.events_path = folder / "events"
        self.events_path.touch()
        self.store = f"127.0.0.1:{free_port('127.0.0.1')}"
        self.nodes: list[Node] = []
        self.processes: list[subprocess.Popen[bytes]] = []
        self.life_count = 0
        number = os.getpid() % 50_000
        self.network = f"127.{20 + number // 250}.{number % 250}"

    def say(self, text: str) -> None:
        """Writes a line of the record."""
        self.record.write(f"{time.monotonic() - self.started_s:8.3f}  {text}\n")

    def spawn(self, command: list[str], log: Path, env: dict[str, str]) -> subprocess.Popen[bytes]:
        """Starts a process that is ended with the deployment."""
        with open(log, "ab") as output:
            process = subprocess.Popen(
                command, stdin=subprocess.DEVNULL, stdout=output, stderr=output, env=env, cwd=ROOT
            )
        self.processes.append(process)
        return process

    async def start_store(self, version: int = 1) -> None:
        """Starts the store and writes the first configuration."""
        self.spawn_standin("store.py", [self.store])
        for _ in range(100):
            try:
                await self.put("op", "config", self.configuration(version))
                return
            except (OSError, TimeoutError):
                await asyncio.sleep(0.1)
        raise CannotRun("the store does not start")

    def spawn_standin(self, name: str, arguments: list[str]) -> subprocess.Popen[bytes]:
        """Starts a stand-in."""
        command = [sys.executable, str(STAND / name), *arguments]
        return self.spawn(command, self.folder / f"{name}.log", dict(os.environ))

    def configuration(self, version: int) -> dict[str, Any]:
        """Returns a configuration with one queue and one tenant."""
        route = {
            "name": "r-jobs", "host": QUEUE_HOST, "path_prefix": PREFIX, "kind": "unsafe",
            "timeout_ms": 3000, "target_latency_ms": 1000, "priority": 1, "service": SERVICE,
            "max_attempts": self.max_attempts, "stretch": 3.0, "public": False,
        }  # fmt: skip
        service = {"name": SERVICE, "health_path": "/health", "enforces_capacity": True}
        tenant = {"name": "tenant", "api_keys": [KEY], "guaranteed": {"gpu": 8}}
        limits = {"max_header_bytes": 16384, "max_body_bytes": 262144}
        return {
            "version": version, "routes": [route], "services": [service], "limits": limits,
            "tenants": [tenant],
        }  # fmt: skip

    async def put(
        self, table: str, key: str, value: dict[str, Any] | bytes, how: str = "put"
    ) -> None:
        """Writes a row on behalf of the operator, or as another writer's heartbeat (`beat`)."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        row = {"table": table, "part": "", "key": key, "value": base64.b64encode(data).decode()}
        address, _, port = self.store.rpartition(":")
        body = json.dumps(row).encode()
        status, _, _ = await request(address, int(port), "POST", f"/standin/{how}", None, body)
        if status != 200:
            raise CannotRun(f"the store answers {status}")

    async def set_store_down(self, is_down: bool) -> None:
        """Takes the store down or brings it back."""
        address, _, port = self.store.rpartition(":")
        body = json.dumps({"down": is_down}).encode()
        await request(address, int(port), "POST", "/standin/mode", None, body)
        self.say("the store is down: it answers 503" if is_down else "the store is back")

    def start_executor(self, address: str, zone: str, rack: str) -> subprocess.Popen[bytes]:
        """Starts a life of an executor at an address, under an id of its own."""
        self.life_count += 1
        executor_id = f"i-{self.life_count:08x}"
        config = {
            "id": executor_id, "addr": address, "store": self.store, "service": SERVICE,
            "zone": zone, "rack": rack, "events": str(self.events_path), "capacity": CAPACITY,
            "hold_max_ms": BOUNDS["hold_max_ms"], "stop_ms": BOUNDS["stop_ms"],
            "checkpoint_s": BOUNDS["checkpoint_s"], "gang_ms": BOUNDS["gang_ms"],
            "folder": str(self.folder),
        }  # fmt: skip
        path = self.folder / f"{executor_id}.json"
        path.write_text(json.dumps(config))
        self.say(f"executor {executor_id} starts at {address} in {zone}")
        return self.spawn_standin("executor.py", [str(path)])

    def crash_executor(self, executor_id: str, process: subprocess.Popen[bytes]) -> None:
        """Kills an executor; the other members of its gangs see that it is gone."""
        process.send_signal(signal.SIGKILL)
        process.wait()
        dead = self.folder / "dead"
        dead.mkdir(exist_ok=True)
        (dead / executor_id).touch()

    def add_node(self, index: int, front: int, ready: int, port_range: int) -> None:
        """Prepares a node; the ports are the same on all nodes, the addresses differ."""
        ip = f"{self.network}.{10 + index}"
        zone = ZONES[index % len(ZONES)]
        name = f"front-{zone}-1"
        settings = {
            "node": name, "role": "node", "class": "front", "serves": ["front"], "ip": ip,
            "zone": zone, "region": "region", "zones": {zone: "region" for zone in ZONES},
            "listen": {"front": f"{ip}:{front}", "ready": f"{ip}:{ready}"},
            "port_range": [port_range, port_range + 15], "seeds": [], "bootstrap": True,
            "fault_counted": False, "data_dir": None, "discovery": "platform", "entry": "vip",
            "limits": {"cpu_share": 0.537, "cores": 2, "memory_mb": 300, "max_fds": 4100,
                       "link_mbps": 1000.0, "disk_mb": 0},
            "heartbeat_ms": 1500, "tolerate": {"machines": 2, "zones": 1, "regions": 0},
            "bounds": BOUNDS, "orders": "rpc",
            "platform": {"addr": self.store, "form": "table", "writes_per_s": 600,
                         "reads_per_s": 2000, "tx_ms": 5.0, "part_writes_s": 200,
                         "row_bytes": 65536, "across": False, "history_s": 20},
        }  # fmt: skip
        boot = self.folder / f"{name}.json"
        boot.write_text(json.dumps(settings))
        self.nodes.append(Node(name, ip, boot, self.folder / f"{name}.log"))

    def start_node(self, node: Node) -> None:
        """Starts a node with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = deploy["roles"]["node"]["run"].split()
        names = ("PATH", "HOME", "LANG")
        env = {name: os.environ[name] for name in names if name in os.environ}
        env["PYTHONPATH"] = str(ROOT / "target/deps")
        env["JACINTHREEL_BOOT"] = str(node.boot)
        node.process = self.spawn(command, node.log, env)
        self.say(f"node {node.name} starts, pid {node.process.pid}")

    async def start_nodes(self, count: int) -> None:
        """Starts the nodes and waits until all are ready and one owns the jobs."""
        if not (ROOT / "target/deps/jacinthreel_platform").is_dir():
            raise CannotRun("the build of the deploy file has not run")
        self.front = free_port(f"{self.network}.10")
        self.ready = free_port(f"{self.network}.10")
        port_range = free_range(f"{self.network}.10", 16)
        for index in range(count):
            self.add_node(index, self.front, self.ready, port_range)
        for node in self.nodes:
            self.start_node(node)
        end_s = time.monotonic() + 20
        while time.monotonic() < end_s:
            ready = [await self.is_ready(node) for node in self.nodes]
            if all(ready) and self.owner() is not None:
                self.say(f"all nodes are ready; {self.owner().name} owns the jobs")
                return
            await asyncio.sleep(0.1)
        raise CannotRun("the nodes do not become ready")

    async def is_ready(self, node: Node) -> bool:
        """Whether the readiness check of a node answers 200."""
        try:
            status, _, _ = await request(
                node.ip, self.ready, "GET", "/v1/readiness", timeout_s=1.0
            )
        except (OSError, TimeoutError):
            return False
        return status == 200

    def log_events(self, node: Node, *names: str) -> list[dict[str, Any]]:
        """Returns the events of these names in the log of a node."""
        found: list[dict[str, Any]] = []
        for line in node.log.read_text(errors="replace").splitlines():
            try:
                event = json.loads(line)
            except ValueError:
                continue
            if isinstance(event, dict) and event.get("event") in names:
                found.append(event)
        return found

    def owner(self) -> Node | None:
        """Returns the node that took over last, from the logs; only used to choose a node."""
        best: tuple[int, Node] | None = None
        for node in self.nodes:
            for event in self.log_events(node, "owner_ready"):
                if best is None or event["epoch"] > best[0]:
                    best = (event["epoch"], node)
        return best[1] if best is not None else None

    async def call(
        self, node: Node, method: str, path: str, body: bytes = b""
    ) -> tuple[int, dict[str, str], bytes]:
        """Sends a caller's request to a node."""
        headers = {
            "Host": QUEUE_HOST,
            "Authorization": f"Token {KEY}",
            "Content-Type": "application/json",
            "X-Deadline-Ms": str(DEADLINE_MS),
        }
        return await request(
            node.ip, self.front, method, path, headers, body, DEADLINE_MS / 1000
        )

    async def submit(self, job_id: str, spec: dict[str, Any], steps: list[dict[str, Any]]) -> Job:
        """Hands a job in, with retries at other nodes."""
        body = json.dumps({"spec": json.dumps(spec), "steps": steps}).encode()
        job = Job(job_id, time.monotonic())
        self.say(f"POST {job_id}: {len(steps)} steps, {[step['count'] for step in steps]} tasks")
        for attempt in range(ATTEMPTS):
            ready = [node for node in self.nodes if await self.is_ready(node)]
            node = (ready or self.nodes)[attempt % len(ready or self.nodes)]
            try:
                status, headers, reply = await self.call(node, "POST", PREFIX + job_id, body)
            except (OSError, TimeoutError) as error:
                status, headers, reply = 0, {}, type(error).__name__.encode()
            job.answers.append(str(status))
            self.say(f"POST {job_id} at {node.name}: {status} {reply[:120].decode()}")
            if 200 <= status < 300:
                job.accepted_s = time.monotonic()
                return job
            await asyncio.sleep(float(headers.get("retry-after", "1")))
        return job

    async def state(self, job_id: str) -> tuple[int, str]:
        """Asks for the state of a job; returns status and state of the first answer below 500."""
        status, reply = 0, b""
        for node in [node for node in self.nodes if node.process.poll() is None]:
            try:
                status, _, reply = await self.call(node, "GET", PREFIX + job_id)
            except (OSError, TimeoutError):
                status = 0
                continue
            if status < 500:
                break
        state = json.loads(reply).get("state", "") if status == 200 else ""
        self.say(f"GET {job_id}: {status} {state}")
        return status, state

    def events(self) -> list[list[Any]]:
        """Returns what the executors have recorded."""
        lines = self.events_path.read_text().splitlines()
        return [json.loads(line) for line in lines if line.endswith("]")]

    def jobs_running_since(self, since_s: float) -> dict[str, int]:
        """Returns how many runs of each job were in progress at some time since `since_s`."""
        active: dict[tuple[str, str, int], bool] = {}
        for seconds, executor_id, kind, task, run, _ in sorted(self.events()):
            key = (executor_id, task, run)
            if kind == "start":
                active[key] = True
            elif kind == "end" and seconds < since_s:
                active.pop(key, None)
            elif kind == "born":
                active = {item: True for item in active if item[0] != executor_id}
        counts: dict[str, int] = {}
        for _, task, _ in active:
            job_id = task.partition(".")[0]
            counts[job_id] = counts.get(job_id, 0) + 1
        return counts

    def write_events(self, limit: int = 4_000) -> None:
        """Appends the executors' records to the record."""
        events = sorted(self.events())
        self.record.write(f"-- what the executors ran: {len(events)} entries\n")
        for seconds, executor_id, kind, task, run, detail in events[:limit]:
            line = f"{kind} {task}#{run} {detail}" if task else kind
            self.record.write(f"{seconds - self.started_s:8.3f}  {executor_id} {line}\n")
        if len(events) > limit:
            self.record.write(f"-- {len(events) - limit} more entries are left out\n")

    def close(self) -> None:
        """Ends all processes that were started."""
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes:
            process.wait()
        self.record.close()


def free_port(address: str) -> int:
    """Returns a port that is free at an address."""
    with socket.socket() as probe:
        probe.bind((address, 0))
        return int(probe.getsockname()[1])


def free_range(address: str, count: int) -> int:
    """Returns the first of `count` ports of which the first two are free at an address."""
    for start in range(21_000, 31_000, count):
        try:
            with socket.socket() as first, socket.socket() as second:
                first.bind((address, start))
                second.bind((address, start + 1))
            return start
        except OSError:
            continue
    raise CannotRun("no free ports")


def play(case: Any, folder_of_case: str, max_attempts: int = 3) -> None:
    """Plays a case and exits: 1 if the rule was broken, 0 if it held, 2 if it could not run.

    `case` is a coroutine function of the deployment and of whether the disruption is played; it
    returns how the rule was broken, "" if it held.
    """
    is_disturbed = os.environ.get("TROUBLE", "1") != "0"
    status = 2
    with tempfile.TemporaryDirectory() as folder:
        record = Path(folder_of_case) / "record.txt"
        deployment = Deployment(Path(folder), record, max_attempts)
        deployment.say(f"the disruption is {'played' if is_disturbed else 'left out'}")
        try:
            finding = asyncio.run(asyncio.wait_for(case(deployment, is_disturbed), 112))
            deployment.say(f"BROKEN: {finding}" if finding else "the rule held")
            print(f"broken: {finding}" if finding else "held")
            status = 1 if finding else 0
        except Exception as error:  # Whatever it is, the rule was not checked.
            deployment.say(f"could not run: {error!r}")
            print(f"could not run: {error!r}")
        finally:
            if os.environ.get("KEEP_LOGS"):
                for node in deployment.nodes:
                    target = Path(os.environ["KEEP_LOGS"]) / node.log.name
                    target.write_bytes(node.log.read_bytes())
            deployment.write_events()
            deployment.close()
    sys.exit(status)
