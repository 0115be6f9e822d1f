"""Collects the status of a region from every process over the streams.

The routers and schedulers of all listed entry hosts are queried concurrently; a process that does
not answer is listed with the failure's result code.  Nothing is cached.
"""

from __future__ import annotations

import asyncio
from typing import Final, TypeVar

from returns.result import Failure, Result

from jacinthreel_common import (
    Config,
    Fault,
    Host,
    HostKind,
    ProcessLine,
    ProcessStatus,
    ProcessStatusReply,
    ResultCode,
    ShardStatus,
    ShardStatusReply,
    SystemStatus,
    ZoneLine,
    convert,
)
from jacinthreel_daemon._config_rules import describe_unmet_guarantees
from jacinthreel_daemon._context import RouterContext

STATUS_TIMEOUT_MS: Final = 1_500
T = TypeVar("T")


class StatusGatherer:
    """Queries the processes of a region for their status."""

    def __init__(self, context: RouterContext) -> None:
        self._context = context

    async def gather(self) -> SystemStatus:
        """Returns the current status of the region."""
        context = self._context
        entry_hosts = [h for h in context.hosts.by_id().values() if h.kind is HostKind.ENTRY]
        lines: list[asyncio.Future[ProcessLine]] = []
        for host in sorted(entry_hosts, key=lambda entry: entry.host_id):
            for role, port in (("router", host.stream_port), ("scheduler", host.scheduler_port)):
                lines.append(asyncio.ensure_future(self._query_process(host, role, port)))
        shard = await self.fetch_shard_status()
        processes = list(await asyncio.gather(*lines))
        applied = context.config.current()
        config = applied.config if applied else None
        return SystemStatus(
            region=context.region,
            answered_by=context.host_id,
            config=config,
            shard=shard.value_or(None),
            processes=processes,
            zones=self.list_zones(config, shard.value_or(None)),
            unheld=(
                describe_unmet_guarantees(config, context.hosts.by_id().values()) if config else ""
            ),
        )

    async def fetch_shard_status(self) -> Result[ShardStatusReply, Fault]:
        """Returns the shard's status from its owner.

        Errors: NO_OWNER, those of a stream call, and those of converting the reply.
        """
        owner = self._context.owner.owner_address()
        if owner is None:
            return Failure(Fault(ResultCode.NO_OWNER, "no scheduler is known to own the shard"))
        return await self._query(*owner, ShardStatus(), ShardStatusReply)

    def list_zones(self, config: Config | None, shard: ShardStatusReply | None) -> list[ZoneLine]:
        """Returns the region's availability zones, sorted by name."""
        hosts = [h for h in self._context.hosts.by_id().values() if h.kind is not HostKind.ENTRY]
        outages = config.zones_out if config else {}
        lines: list[ZoneLine] = []
        for zone in sorted({host.zone for host in hosts} | set(outages)):
            zone_hosts = [host for host in hosts if host.zone == zone]
            workers = [host for host in zone_hosts if host.kind is HostKind.WORKER]
            free = None
            if shard is not None:
                free = sum(w.free_accelerators for w in shard.workers if w.zone == zone)
            line = ZoneLine(
                zone=zone,
                workers=len(workers),
                accelerators=sum(worker.accelerators for worker in workers),
                executors=len(zone_hosts) - len(workers),
                free_accelerators=free,
                outage=outages.get(zone),
            )
            lines.append(line)
        return lines

    async def _query_process(self, host: Host, role: str, port: int) -> ProcessLine:
        answer = await self._query(host.address, port, ProcessStatus(), ProcessStatusReply)
        if isinstance(answer, Failure):
            code = answer.failure().code
            return ProcessLine(host.host_id, role, host.zone, host.state, code)
        reply = answer.unwrap()
        return ProcessLine(
            host.host_id,
            role,
            host.zone,
            host.state,
            ResultCode.OK,
            config_version=reply.config_version,
            epoch=reply.epoch,
            draining=reply.draining,
        )

    async def _query(
        self, address: str, port: int, message: object, kind: type[T]
    ) -> Result[T, Fault]:
        called = await self._context.streams.call(address, port, message, STATUS_TIMEOUT_MS)
        if isinstance(called, Failure):
            return called
        reply = called.unwrap()
        if reply.code is not ResultCode.OK:
            return Failure(Fault(reply.code, reply.detail))
        return convert(kind, reply.body)
