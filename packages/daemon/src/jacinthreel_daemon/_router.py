"""The router role: serves callers and operators, and tells its peers what it has in flight.

Routers connect to every scheduler and to each other, and each pair of processes shares one
connection for calls and notices both ways.  Between routers it is opened by the one with the
lower host id; the other one opens it as well while none is there, since a new host may not have
been able to read the host list yet.
"""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from typing import Any, Final

from jacinthreel_common import Hello, Host, InFlight, OwnerNotice
from jacinthreel_daemon._context import RouterContext
from jacinthreel_daemon._http_server import HttpService
from jacinthreel_daemon._in_flight import InFlightPacer
from jacinthreel_daemon._operator_api import OperatorService
from jacinthreel_daemon._owner_view import OwnerWatch
from jacinthreel_daemon._process import DaemonProcess
from jacinthreel_daemon._request_api import RequestService
from jacinthreel_daemon._settings import Settings

IN_FLIGHT_MS: Final = 200
LINK_CHECK_MS: Final = 3_000


class RouterProcess(DaemonProcess):
    """One router process."""

    role = "router"

    def __init__(self, settings: Settings) -> None:
        super().__init__(settings, settings.budgets.router_writes_per_s)
        self.owner = OwnerWatch(settings.region, self.log.info)
        self.context = RouterContext(
            host_id=settings.host_id,
            zone=settings.zone,
            region=settings.region,
            clock=self.clock,
            store=self.store,
            config=self.config,
            hosts=self.hosts,
            streams=self.hub,
            owner=self.owner,
            telemetry=self.metrics,
            log_decision=self.log.info,
            rng=self.rng,
        )
        self.requests = RequestService(self.context)
        self.operators = OperatorService(self.context)
        self.state.not_ready["hosts"] = "no host list has been read"
        self._pacer = InFlightPacer()

    def start(self) -> None:
        """Begins the exchange with the peers."""
        self.rows.follow(self.owner)
        self.hosts.subscribe(lambda hosts: self._clear_not_ready("hosts"))
        self.hub.on_notice(InFlight, self._take_in_flight)
        self.hub.on_notice(OwnerNotice, self._take_owner_notice)
        self.timers.every(IN_FLIGHT_MS, self._tell_in_flight)
        self.timers.every(LINK_CHECK_MS, lambda now_ms: self._check_links())

    async def shutdown(self, http: HttpService) -> None:
        """Serves on until the balancer has noticed, then drains."""
        limits = self.settings.shutdown
        await asyncio.sleep(limits.balancer_pause_ms / 1000)
        await http.stop_listening()
        try:
            async with asyncio.timeout(limits.drain_limit_ms / 1000):
                await self.requests.drain()
        except TimeoutError:
            self.log.warning("requests_pending", {"count": self.state.active_requests})
        if not await http.drain(limits.drain_limit_ms):
            self.log.warning("requests_cut_off", {"count": self.state.active_requests})

    def routes(self) -> Sequence[Any]:
        """The callers' and the operators' interfaces."""
        return [*self.requests.routes(), *self.operators.routes()]

    def http_port(self) -> int:
        """Where HTTP is served."""
        return self.settings.router.http_port

    def stream_port(self) -> int:
        """Where streams are accepted."""
        return self.settings.router.stream_port

    def peers_of(self, hosts: list[Host]) -> set[tuple[str, int]]:
        """All schedulers, and the other routers that have not connected to this one."""
        own_id = self.settings.host_id
        connected = self.hub.accepted_peers()
        peers = {(host.address, host.scheduler_port) for host in hosts}
        for host in hosts:
            if host.host_id < own_id and (host.host_id, self.role) in connected:
                continue
            if host.host_id != own_id:
                peers.add((host.address, host.stream_port))
        return peers

    def refresh_metrics(self) -> None:
        """Sets the gauges before they are served."""
        super().refresh_metrics()
        self.metrics.gauge("requests_in_progress", self.state.active_requests)
        self.metrics.gauge("known_owner_epoch", self.owner.epoch)

    def _check_links(self) -> None:
        self._set_peers(list(self.hosts.by_id().values()))

    def _tell_in_flight(self, now_ms: int) -> None:
        notice = self._pacer.next_notice(self.requests.in_flight_notice())
        if notice is None:
            return
        for connection in self.hub.connections("router"):
            connection.notify(notice)

    def _take_in_flight(self, peer: Hello, notice: InFlight) -> None:
        self.requests.on_in_flight(peer.host_id, notice)

    def _take_owner_notice(self, peer: Hello, notice: OwnerNotice) -> None:
        self.owner.take_notice(notice)
