"""Base class of both roles of `jacinthreeld`: listeners, polls, streams, health and shutdown.

The first SIGTERM or SIGINT starts a graceful shutdown: `/readyz` fails from then on, and the
role's own `shutdown` drains its work.  A second signal exits the process immediately.
"""

from __future__ import annotations

import asyncio
import os
import random
import signal
from abc import ABC, abstractmethod
from collections.abc import Coroutine, Sequence
from typing import Any, Final

from returns.result import Success

from jacinthreel_common import (
    ConfigPull,
    ConfigPush,
    Hello,
    Host,
    HostKind,
    ProcessStatus,
    ProcessStatusReply,
    ResultCode,
    StreamReply,
    convert,
    to_plain,
)
from jacinthreel_daemon._budget import RowBudget
from jacinthreel_daemon._clock import LoopTimers, SystemClock
from jacinthreel_daemon._config_watch import ConfigWatch
from jacinthreel_daemon._host_list import HOST_POLL_MS, HostListPoller
from jacinthreel_daemon._http_pool import HttpPool
from jacinthreel_daemon._http_server import HttpService, ServingState
from jacinthreel_daemon._logs import open_log
from jacinthreel_daemon._row_poll import ROW_POLL_MS, RowPoller
from jacinthreel_daemon._settings import Settings
from jacinthreel_daemon._store_client import CONNECT_TIMEOUT_MS, StoreClient
from jacinthreel_daemon._stream_hub import StreamHub
from jacinthreel_daemon._streams import StreamConnection
from jacinthreel_daemon._telemetry import MetricsRegistry

LIVENESS_CHECK_PERIOD_MS: Final = 1_000
CONFIG_PULL_TIMEOUT_MS: Final = 1_500
KILLED_EXIT_STATUS: Final = 1
LISTEN_FAILED_EXIT_STATUS: Final = 3


class DaemonProcess(ABC):
    """One daemon process; `run` serves until a signal and returns the exit status."""

    role: str

    def __init__(self, settings: Settings, writes_per_s: int) -> None:
        self.settings = settings
        self.clock = SystemClock()
        self.log = open_log(settings.host_id, self.role, settings.log_level)
        self.metrics = MetricsRegistry()
        self.rng = random.Random()
        self.state = ServingState(not_ready={"config": "no configuration has been received yet"})
        self.timers = LoopTimers(self.clock, lambda error: self.log.error("timer_failed", error))
        self.store = self._make_store(writes_per_s)
        hosts = settings.platform.hosts
        pool = HttpPool(hosts.address, hosts.port, CONNECT_TIMEOUT_MS)
        self.hosts = HostListPoller(pool, self.log.warning)
        self.config = ConfigWatch(self.clock, self.log.info)
        self.rows = RowPoller(self.store, self.clock)
        self.rows.follow(self.config)
        hello = Hello(settings.host_id, self.role, settings.zone)
        self.hub = StreamHub(hello, self.clock, self.rng, self.log.warning)
        self._tasks: set[asyncio.Task[None]] = set()
        self._stop_requested = asyncio.Event()

    async def run(self) -> int:
        """Serves until SIGTERM or SIGINT, then shuts down and returns the exit status."""
        loop = asyncio.get_running_loop()
        for signum in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signum, self._on_signal, signum)
        http = HttpService(
            self.state, self.metrics, self.routes(), self.refresh_metrics, self.log.warning
        )
        try:
            http.listen(self.settings.bind_address, self.http_port())
            self.hub.listen(self.settings.bind_address, self.stream_port())
        except OSError as error:
            self.log.error("listen_failed", error)
            return LISTEN_FAILED_EXIT_STATUS
        self._register_handlers()
        self.start()
        self.log.info("started", {"pid": os.getpid()})
        await self._stop_requested.wait()
        await self.shutdown(http)
        self.hub.close()
        self.timers.stop()
        self.log.info("stopped", {})
        return 0

    @abstractmethod
    def start(self) -> None:
        """Starts the work specific to the role."""

    @abstractmethod
    async def shutdown(self, http: HttpService) -> None:
        """Drains the work of the role before the process exits."""

    @abstractmethod
    def routes(self) -> Sequence[Any]:
        """Returns the HTTP routes of the role, without health and metrics."""

    @abstractmethod
    def http_port(self) -> int:
        """Returns the port on which HTTP is served."""

    @abstractmethod
    def stream_port(self) -> int:
        """Returns the port on which streams are accepted."""

    @abstractmethod
    def peer_addresses(self, hosts: list[Host]) -> set[tuple[str, int]]:
        """Returns the stream addresses to connect to; `hosts` are the region's entry hosts."""

    def owned_epoch(self) -> int:
        """Returns the epoch in which this process owns the shard, or 0 if it does not own it."""
        return 0

    def refresh_metrics(self) -> None:
        """Updates the gauges; called before `/metrics` is served."""
        applied = self.config.current()
        self.metrics.gauge("config_version", applied.config.version if applied else 0)
        self.metrics.gauge("stream_peers", len(self.hub.connections()))
        self.metrics.gauge("store_out", int(self.store.is_unavailable))
        self.metrics.gauge("listed_hosts", len(self.hosts.by_id()))

    def spawn(self, coroutine: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Runs a coroutine as a background task; an exception is logged."""
        task = asyncio.get_running_loop().create_task(self._log_exceptions(coroutine))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def entry_hosts(self, hosts: list[Host]) -> list[Host]:
        """Returns the entry hosts of this region."""
        region = self.settings.region
        return [host for host in hosts if host.kind is HostKind.ENTRY and host.region == region]

    def _make_store(self, writes_per_s: int) -> StoreClient:
        table = self.settings.platform.table
        return StoreClient(
            HttpPool(table.address, table.port, CONNECT_TIMEOUT_MS),
            self.clock,
            RowBudget(writes_per_s, self.clock),
            RowBudget(self.settings.budgets.reads_per_s, self.clock),
            self.metrics,
            self.rng,
        )

    def _register_handlers(self) -> None:
        self.hub.on_call(ConfigPull, self._serve_config_pull)
        self.hub.on_call(ProcessStatus, self._serve_status)
        self.hub.on_notice(ConfigPush, self._on_config_push)
        self.hub.on_open(self._on_connection)
        self.config.subscribe(lambda applied: self._clear_not_ready("config"))
        self.hosts.subscribe(lambda hosts: self._set_peers(hosts))
        self.timers.every(HOST_POLL_MS, lambda now_ms: self._poll_hosts())
        self.timers.every(ROW_POLL_MS, lambda now_ms: self._poll_rows())
        self.timers.every(LIVENESS_CHECK_PERIOD_MS, self.hub.check_liveness)
        self._poll_hosts()
        self._poll_rows()

    def _poll_hosts(self) -> None:
        self.spawn(self.hosts.poll())

    def _poll_rows(self) -> None:
        self.spawn(self.poll_rows())

    async def poll_rows(self) -> None:
        """Polls the followed rows, and again if the first poll revealed a newer configuration.

        Without any configuration, also requests it from the region's entry hosts.
        """
        await self.rows.poll()
        if self.config.is_behind:
            await self.rows.poll()
        if self.config.current() is None:
            for host in self.entry_hosts(list(self.hosts.by_id().values())):
                self.spawn(self._pull_config_from(host))

    async def _pull_config_from(self, host: Host) -> None:
        if host.host_id == self.settings.host_id and self.role == "router":
            return
        reply = await self.hub.call(
            host.address, host.stream_port, ConfigPull(), CONFIG_PULL_TIMEOUT_MS
        )
        self._apply_pull_reply(reply.value_or(None), host.host_id)

    def _on_connection(self, connection: StreamConnection) -> None:
        if self.config.current() is None or self.store.is_unavailable:
            self.spawn(self._pull_config_on(connection))

    async def _pull_config_on(self, connection: StreamConnection) -> None:
        reply = await connection.call(ConfigPull(), CONFIG_PULL_TIMEOUT_MS)
        peer = connection.peer.host_id if connection.peer else ""
        self._apply_pull_reply(reply.value_or(None), peer)

    def _apply_pull_reply(self, reply: StreamReply | None, source: str) -> None:
        if reply is None or reply.code is not ResultCode.OK or reply.body is None:
            return
        match convert(ConfigPush, reply.body):
            case Success(ConfigPush() as push):
                self.config.apply_push(push, source)

    def _on_config_push(self, peer: Hello, push: ConfigPush) -> None:
        self.config.apply_push(push, peer.host_id)

    async def _serve_config_pull(self, message: ConfigPull) -> StreamReply:
        push = self.config.build_push()
        return StreamReply(ResultCode.OK, body=to_plain(push) if push is not None else None)

    async def _serve_status(self, message: ProcessStatus) -> StreamReply:
        applied = self.config.current()
        reply = ProcessStatusReply(
            self.settings.host_id,
            self.role,
            self.settings.zone,
            applied.config.version if applied else 0,
            applied.config.preset.value if applied else "",
            self.owned_epoch(),
            self.state.draining,
        )
        return StreamReply(ResultCode.OK, body=to_plain(reply))

    def _set_peers(self, hosts: list[Host]) -> None:
        self.hub.set_peers(self.peer_addresses(self.entry_hosts(hosts)))

    def _clear_not_ready(self, component: str) -> None:
        self.state.not_ready.pop(component, None)

    async def _log_exceptions(self, coroutine: Coroutine[Any, Any, None]) -> None:
        try:
            await coroutine
        except Exception as error:
            self.log.error("task_failed", error)

    def _on_signal(self, signum: int) -> None:
        if self._stop_requested.is_set():
            self.log.warning("killed", {"signal": signum})
            os._exit(KILLED_EXIT_STATUS)
        self.log.info("shutdown_started", {"signal": signum})
        self.state.draining = True
        self._stop_requested.set()
