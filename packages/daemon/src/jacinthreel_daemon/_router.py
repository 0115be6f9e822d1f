"""The router role: serves the HTTP API and exchanges in-flight counts with other routers.

Routers connect to every scheduler and to each other.  Each pair of processes shares one
connection for calls and notices in both directions.  Between two routers, the one with the lower
host id opens it; the other one also opens one as long as it has accepted none, since a new host
may not yet have been able to read the host list.
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

IN_FLIGHT_PERIOD_MS: Final = 200
PEER_UPDATE_PERIOD_MS: Final = 3_000


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
            log_event=self.log.info,
            rng=self.rng,
        )
        self.requests = RequestService(self.context)
        self.operators = OperatorService(self.context)
        self.state.not_ready["hosts"] = "no host list has been received yet"
        self._pacer = InFlightPacer()

    def start(self) -> None:
        """Starts following the owner and exchanging notices with peers."""
        self.rows.follow(self.owner)
        self.hosts.subscribe(lambda hosts: self._clear_not_ready("hosts"))
        self.hub.on_notice(InFlight, self._on_in_flight)
        self.hub.on_notice(OwnerNotice, self._on_owner_notice)
        self.timers.every(IN_FLIGHT_PERIOD_MS, self._send_in_flight)
        self.timers.every(PEER_UPDATE_PERIOD_MS, lambda now_ms: self._update_peers())

    async def shutdown(self, http: HttpService) -> None:
        """Serves for another `balancer_pause_ms`, then drains.

        During this time the load balancer detects that `/readyz` fails and stops sending requests.
        """
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
        """Returns the routes for requests, jobs and operators."""
        return [*self.requests.routes(), *self.operators.routes()]

    def http_port(self) -> int:
        """Returns the port on which HTTP is served."""
        return self.settings.router.http_port

    def stream_port(self) -> int:
        """Returns the port on which streams are accepted."""
        return self.settings.router.stream_port

    def peer_addresses(self, hosts: list[Host]) -> set[tuple[str, int]]:
        """Returns the addresses of all schedulers, and of the routers that this one connects to.

        Those are all other routers, except routers with a lower host id that have connected.
        """
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
        """Updates the gauges; called before `/metrics` is served."""
        super().refresh_metrics()
        self.metrics.gauge("requests_in_progress", self.state.active_requests)
        self.metrics.gauge("known_owner_epoch", self.owner.epoch)

    def _update_peers(self) -> None:
        self._set_peers(list(self.hosts.by_id().values()))

    def _send_in_flight(self, now_ms: int) -> None:
        notice = self._pacer.next_notice(self.requests.in_flight_notice())
        if notice is None:
            return
        for connection in self.hub.connections("router"):
            connection.notify(notice)

    def _on_in_flight(self, peer: Hello, notice: InFlight) -> None:
        self.requests.on_peer_in_flight(peer.host_id, notice)

    def _on_owner_notice(self, peer: Hello, notice: OwnerNotice) -> None:
        self.owner.apply_notice(notice)
