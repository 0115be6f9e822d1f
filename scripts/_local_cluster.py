"""Runs stand-ins and entry hosts on loopback as separate processes.

The demo, the slope measurements and the tests on real processes share this module.  Ports are
chosen below the range of ephemeral ports, so that no outgoing connection can occupy a port between
its choice and its use.  Each process writes its output to its own file in the cluster's directory.
"""

from __future__ import annotations

import http.client
import json
import os
import random
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, Final

from jacinthreel_common import RACK_WORKERS, Host, HostKind, to_plain

ADDRESS: Final = "127.0.0.1"
FIRST_PORT: Final = 12_000
LAST_PORT: Final = 32_000
POLL_S: Final = 0.05
HTTP_TIMEOUT_S: Final = 30.0
STOP_TIMEOUT_S: Final = 15.0


class ClusterError(Exception):
    """Raised if a step fails or a condition does not hold in time."""


@dataclass(frozen=True, slots=True)
class ClusterShape:
    """The size of a cluster; `workers` and `executors` are per zone, `accelerators` per worker."""

    region: str = "kyushu"
    zones: tuple[str, ...] = ("fukuoka", "kumamoto", "kagoshima")
    workers: int = 2
    executors: int = 2
    entry_hosts: int = 6
    accelerators: int = 8
    balancer_pause_ms: int = 300


@dataclass(frozen=True, slots=True)
class HttpAnswer:
    """An HTTP response; header names are in lower case."""

    status: int
    body: bytes
    headers: dict[str, str]

    def json(self) -> Any:
        """Returns the body decoded from JSON."""
        return json.loads(self.body)


@dataclass(slots=True)
class LocalCluster:
    """A cluster of local processes.

    The processes are named `platform`, `workers-ZONE`, `executors-ZONE`, `HOST/router` and
    `HOST/scheduler`.
    """

    directory: Path
    shape: ClusterShape = field(default_factory=ClusterShape)
    hosts_by_id: dict[str, Host] = field(default_factory=dict)
    processes_by_name: dict[str, subprocess.Popen[bytes]] = field(default_factory=dict)
    platform_port: int = 0
    _scheduler_http_ports_by_id: dict[str, int] = field(default_factory=dict)

    def start(self) -> None:
        """Starts all processes, creates the first configuration and waits for a shard owner."""
        self.directory.mkdir(parents=True, exist_ok=True)
        self._write_host_files()
        self.start_stand_ins()
        for host in self.entry_hosts():
            self.start_role(host.host_id, "router")
            self.start_role(host.host_id, "scheduler")
        for host in self.entry_hosts():
            self.wait_serving(host, "/healthz")
        wait_until("first configuration", self._accept_first_config)
        for host in self.entry_hosts():
            self.wait_serving(host, "/readyz")
        self.wait_for("a shard owner", lambda: self.owner_id() is not None)

    def start_stand_ins(self) -> None:
        """Starts the stand-ins of the platform, the workers and the executors."""
        hosts = str(self.directory / "hosts.json")
        port = str(self.platform_port)
        self._spawn(
            "platform",
            ["jacinthreel_standins", "platform"]
            + ["--address", ADDRESS, "--port", port, "--hosts", hosts],
        )
        for zone in self.shape.zones:
            for kind in ("workers", "executors"):
                command = ["jacinthreel_standins", kind, "--hosts", hosts, "--zone", zone]
                self._spawn(f"{kind}-{zone}", command)
        self.wait_for("the platform", lambda: self._is_serving(self.platform_port, "/healthz"))
        for host in self.hosts_by_id.values():
            if host.kind is HostKind.ENTRY:
                continue
            self.wait_serving(host, "/healthz")

    def start_role(self, host_id: str, role: str) -> None:
        """Starts the process of one role, `router` or `scheduler`, of an entry host."""
        settings = str(self.directory / f"{host_id}.toml")
        self._spawn(f"{host_id}/{role}", ["jacinthreel_daemon", role, settings])

    def stop(self) -> dict[str, int]:
        """Stops all processes, the daemons before the stand-ins; returns exit statuses by name."""
        names = sorted(self.processes_by_name, key=lambda name: "/" not in name)
        daemons = [name for name in names if "/" in name]
        statuses = self._stop_group(daemons)
        return statuses | self._stop_group([name for name in names if name not in daemons])

    def signal(self, name: str, number: int) -> None:
        """Sends a signal to a process, given by its name."""
        os.kill(self.processes_by_name[name].pid, number)

    def kill_host(self, host_id: str) -> None:
        """Kills both processes of an entry host with SIGKILL."""
        for role in ("router", "scheduler"):
            name = f"{host_id}/{role}"
            self.processes_by_name[name].kill()
            self.processes_by_name.pop(name).wait()

    def entry_hosts(self) -> list[Host]:
        """Returns the entry hosts in order of their numbers."""
        return [host for host in self.hosts_by_id.values() if host.kind is HostKind.ENTRY]

    def router_addresses(self) -> list[str]:
        """Returns the addresses, IP:PORT, of the routers that `router_ports` returns."""
        return [f"{ADDRESS}:{port}" for port in self.router_ports()]

    def router_ports(self) -> list[int]:
        """Returns HTTP ports of routers that this cluster started and has not stopped or killed."""
        return [
            host.port
            for host in self.entry_hosts()
            if f"{host.host_id}/router" in self.processes_by_name
        ]

    def owner_id(self) -> str | None:
        """Returns the entry host whose scheduler owns the shard, according to the first router."""
        try:
            shard = call(self.router_ports()[0], "GET", "/v1/status").json().get("shard")
        except (OSError, ValueError, http.client.HTTPException):
            return None
        return str(shard["host_id"]) if shard else None

    def has_valid_lease(self) -> bool:
        """Whether there is a shard owner and its lease is valid."""
        owner_id = self.owner_id()
        if owner_id is None or f"{owner_id}/scheduler" not in self.processes_by_name:
            return False
        return self.has_metric(self._scheduler_http_ports_by_id[owner_id], "shard_lease_valid 1")

    def has_metric(self, port: int, line: str) -> bool:
        """Whether a process serves a metric with a value, given as the line of its metrics page."""
        try:
            return line in call(port, "GET", "/metrics").body.decode().splitlines()
        except (OSError, http.client.HTTPException):
            return False

    def call_platform(self, method: str, path: str, body: object = None) -> Any:
        """Calls the platform stand-in and returns the decoded answer."""
        return call(self.platform_port, method, path, body).json()

    def set_faults(self, host_id: str, faults: dict[str, Any]) -> None:
        """Injects faults into a worker or executor; with an empty id, into the platform."""
        port = self.hosts_by_id[host_id].port if host_id else self.platform_port
        answer = call(port, "POST", "/v1/faults", faults)
        if answer.status != 200:
            raise ClusterError(f"the stand-in refused the faults: {answer.body!r}")

    def read_stand_in_log(self, host_id: str) -> Any:
        """Returns the operations that a worker or executor stand-in has recorded."""
        return call(self.hosts_by_id[host_id].port, "GET", "/v1/log").json()

    def host_ids(self, kind: HostKind, zone: str = "") -> list[str]:
        """Returns the ids of the hosts of a kind in a zone, or in all zones if it is empty."""
        return [
            host.host_id
            for host in self.hosts_by_id.values()
            if host.kind is kind and zone in ("", host.zone)
        ]

    def task_starts(self, job_id: str = "") -> list[dict[str, Any]]:
        """Returns the task starts on all workers, of one job or of all, oldest first."""
        starts: list[dict[str, Any]] = []
        for worker_id in self.host_ids(HostKind.WORKER):
            starts.extend(self.read_stand_in_log(worker_id)["starts"])
        chosen = [start for start in starts if job_id in ("", start["job_id"])]
        return sorted(chosen, key=lambda start: (start["at_ms"], start["task_index"]))

    def version_accepted_ms(self, version: int) -> int:
        """Returns when a configuration version was accepted, on the clock of `task_starts`."""
        history = call(self.router_ports()[0], "GET", "/v1/config/history").json()["history"]
        changed_unix_ms = next(
            int(line["changed_unix_ms"]) for line in history if line["version"] == version
        )
        return changed_unix_ms - time.time_ns() // 1_000_000 + time.monotonic_ns() // 1_000_000

    def wait_for(
        self, description: str, condition: Callable[[], bool], timeout_s: float = HTTP_TIMEOUT_S
    ) -> None:
        """Waits until a condition holds; raises `ClusterError` early if a process has ended."""
        wait_until(description, condition, timeout_s, self._check_processes_running)

    def _check_processes_running(self) -> None:
        for name, process in self.processes_by_name.items():
            if process.poll() is not None:
                log = self.directory / f"{name.replace('/', '-')}.log"
                tail = log.read_text(errors="replace")[-2_000:]
                raise ClusterError(f"{name} ended with status {process.returncode}:\n{tail}")

    def _accept_first_config(self) -> bool:
        return call(self.entry_hosts()[0].port, "POST", "/v1/config").status == 200

    def wait_serving(self, host: Host, path: str) -> None:
        """Waits until a GET of a path on a host returns status 200."""
        self.wait_for(f"{host.host_id} {path}", lambda: self._is_serving(host.port, path))

    def _is_serving(self, port: int, path: str) -> bool:
        try:
            return call(port, "GET", path).status == 200
        except (OSError, http.client.HTTPException):
            return False

    def _spawn(self, name: str, command: list[str]) -> None:
        log = self.directory / f"{name.replace('/', '-')}.log"
        with log.open("ab") as output:
            self.processes_by_name[name] = subprocess.Popen(
                [sys.executable, "-m", *command],
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
                start_new_session=True,
            )

    def _stop_group(self, names: list[str]) -> dict[str, int]:
        for name in names:
            process = self.processes_by_name[name]
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.terminate()
        deadline_s = time.monotonic() + STOP_TIMEOUT_S
        statuses: dict[str, int] = {}
        for name in names:
            process = self.processes_by_name.pop(name)
            try:
                statuses[name] = process.wait(max(0.1, deadline_s - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()
                statuses[name] = process.wait()
        return statuses

    def _write_host_files(self) -> None:
        shape = self.shape
        per_zone = shape.workers + shape.executors
        ports = iter(find_free_ports(1 + per_zone * len(shape.zones) + 4 * shape.entry_hosts))
        self.platform_port = next(ports)
        for zone in shape.zones:
            for number in range(1, shape.workers + 1):
                self._add_worker(zone, number, next(ports))
            for number in range(1, shape.executors + 1):
                self._add_executor(zone, number, next(ports))
        for number in range(shape.entry_hosts):
            self._add_entry_host(number, [next(ports) for _ in range(4)])
        plain = to_plain(list(self.hosts_by_id.values()))
        (self.directory / "hosts.json").write_text(json.dumps(plain, indent=1))

    def _add_worker(self, zone: str, number: int, port: int) -> None:
        host_id = f"worker-{zone}-{number}"
        self.hosts_by_id[host_id] = Host(
            host_id,
            HostKind.WORKER,
            ADDRESS,
            port,
            zone,
            self.shape.region,
            rack=f"{zone}-rack-{(number - 1) // RACK_WORKERS + 1}",
            cores=130,
            memory_gb=500,
            accelerators=self.shape.accelerators,
        )

    def _add_executor(self, zone: str, number: int, port: int) -> None:
        host_id = f"executor-{zone}-{number}"
        self.hosts_by_id[host_id] = Host(
            host_id,
            HostKind.EXECUTOR,
            ADDRESS,
            port,
            zone,
            self.shape.region,
            slots=8,
            connections=60,
        )

    def _add_entry_host(self, number: int, ports: list[int]) -> None:
        zone = self.shape.zones[number % len(self.shape.zones)]
        host_id = f"entry-{number + 1}"
        http_port, stream_port, scheduler_http_port, scheduler_port = ports
        self._scheduler_http_ports_by_id[host_id] = scheduler_http_port
        host = Host(
            host_id,
            HostKind.ENTRY,
            ADDRESS,
            http_port,
            zone,
            self.shape.region,
            stream_port=stream_port,
            scheduler_port=scheduler_port,
        )
        self.hosts_by_id[host_id] = host
        text = self._settings_text(host, scheduler_http_port)
        (self.directory / f"{host_id}.toml").write_text(text)

    def _settings_text(self, host: Host, scheduler_http_port: int) -> str:
        endpoint = f'{{ address = "{ADDRESS}", port = {self.platform_port} }}'
        return (
            f'host_id = "{host.host_id}"\nregion = "{host.region}"\nzone = "{host.zone}"\n'
            f'bind_address = "{ADDRESS}"\n\n'
            f"[router]\nhttp_port = {host.port}\nstream_port = {host.stream_port}\n\n"
            f"[scheduler]\nhttp_port = {scheduler_http_port}\n"
            f"stream_port = {host.scheduler_port}\n\n"
            f"[platform]\ntable = {endpoint}\nobjects = {endpoint}\nhosts = {endpoint}\n\n"
            f"[shutdown]\nbalancer_pause_ms = {self.shape.balancer_pause_ms}\n"
        )


def wait_until(
    description: str,
    condition: Callable[[], bool],
    timeout_s: float = HTTP_TIMEOUT_S,
    check: Callable[[], None] = lambda: None,
) -> None:
    """Polls until a condition holds; raises `ClusterError` after `timeout_s`.

    `check` runs before each pause and may raise to end the wait early.
    """
    deadline_s = time.monotonic() + timeout_s
    while not condition():
        check()
        if time.monotonic() >= deadline_s:
            raise ClusterError(f"timed out after {timeout_s:g} s: {description}")
        time.sleep(POLL_S)


def call(
    port: int,
    method: str,
    path: str,
    body: object = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = HTTP_TIMEOUT_S,
) -> HttpAnswer:
    """Makes an HTTP call to a port on loopback; a body that is not bytes is sent as JSON."""
    payload = body if isinstance(body, bytes) or body is None else json.dumps(body).encode()
    connection = http.client.HTTPConnection(ADDRESS, port, timeout=timeout_s)
    try:
        connection.request(method, path, body=payload, headers=headers or {})
        answer = connection.getresponse()
        lower_headers = {name.lower(): value for name, value in answer.getheaders()}
        return HttpAnswer(answer.status, answer.read(), lower_headers)
    finally:
        connection.close()


def find_free_ports(count: int) -> list[int]:
    """Returns ports that are currently free, searched upwards from a random port.

    Raises `ClusterError` if there are fewer than `count`.
    """
    start = random.SystemRandom().randrange(FIRST_PORT, LAST_PORT)
    ports: list[int] = []
    for offset in range(LAST_PORT - FIRST_PORT):
        port = FIRST_PORT + (start - FIRST_PORT + offset) % (LAST_PORT - FIRST_PORT)
        with socket.socket() as candidate:
            candidate.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                candidate.bind((ADDRESS, port))
            except OSError:
                continue
        ports.append(port)
        if len(ports) == count:
            return ports
    raise ClusterError(f"fewer than {count} free ports")
