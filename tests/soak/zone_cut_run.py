"""A soak run with a zone that is cut off together with the owner, while the next owners are killed.

Each node has links of its own to the store, to every executor and to every other node, so that a
cut separates one zone from the others and from the store, but not the owner from the executors of
its zone.
"""

from __future__ import annotations

import asyncio
import base64
import json
import signal
from dataclasses import dataclass, field
from typing import Any

import msgspec
from loopback_proxy import LoopbackProxy
from port_window import ports
from soak_run import SoakRun
from standin_platform import serve_store

from jacinthreel_node._records import OWNER_KEY, OWNER_TABLE, decode_owner, encode_record

ZONES = 2
SLOWEST_CLOCK_RATE = 0.98
OWNER_TIMEOUT_S = 20.0


@dataclass(slots=True)
class ZoneCutTerms:
    """What a run does: the length of the cut, and when after it which faults follow, in seconds.

    `stall_s` is the longest pause of a process, 0 for none.
    """

    cut_s: float = 12.0
    kills_s: tuple[float, ...] = (2.2,)
    executor_crashes: int = 0
    stall_s: float = 0.0
    work_ms: tuple[int, int] = (1_500, 9_000)


@dataclass(slots=True)
class ZoneCutRun(SoakRun):
    """One run; faults are those of `terms` in place of random ones."""

    terms: ZoneCutTerms = field(default_factory=ZoneCutTerms)
    links: dict[tuple[int, str], LoopbackProxy] = field(default_factory=dict)
    former_owners: list[str] = field(default_factory=list)

    def _store_port_of(self, index: int, store_port: int) -> int:
        port = ports.allocate()
        serve_store(self.store, port, lambda row: self._view(index, row))
        return port

    async def _connect_nodes(self) -> None:
        for index in range(len(self.nodes)):
            for executor, proxy in zip(self.executors, self.executor_proxies, strict=True):
                self.links[index, executor.name] = await LoopbackProxy.open(proxy.port)
            for other in self.nodes:
                self.links[index, other.name] = await LoopbackProxy.open(other.stream_port)
        for index, executor in enumerate(self.executors):
            executor.work_ms = self.rng.randint(*self.terms.work_ms)
            executor.clock_rate = self.rng.uniform(SLOWEST_CLOCK_RATE, 1.0)
            self._publish_executor(index)

    def _view(self, node: int, row: dict[str, Any]) -> dict[str, Any]:
        """Returns a row with the addresses replaced by those of the node's own links."""
        if row.get("deleted"):
            return row
        value = base64.b64decode(row["value"])
        if row["table"] == "servers":
            entry = json.loads(value)
            entry["addr"] = f"127.0.0.1:{self.links[node, row['key']].port}"
            value = json.dumps(entry).encode()
        elif row["table"] == OWNER_TABLE and row["key"] == OWNER_KEY:
            owner = decode_owner(value)
            assert owner is not None
            if owner.host_id != self.nodes[node].name:
                port = self.links[node, owner.host_id].port
                value = encode_record(msgspec.structs.replace(owner, port=port))
        return {**row, "value": base64.b64encode(value).decode()}

    async def _inject_faults(self) -> None:
        await asyncio.sleep(self.size.fault_phase_s / 2)
        owner = self._owner()
        assert owner is not None
        cut_zone = int(owner.host_id[1:]) % ZONES
        cuts = [asyncio.create_task(self._cut_zone(cut_zone))]
        cuts += [asyncio.create_task(self._kill_owner(at_s)) for at_s in self.terms.kills_s]
        cuts += [
            asyncio.create_task(self._crash_behind_cut(cut_zone))
            for _ in range(self.terms.executor_crashes)
        ]
        if self.terms.stall_s:
            cuts.append(asyncio.create_task(self._stall_nodes()))
        await asyncio.gather(*cuts)

    async def _cut_zone(self, zone: int) -> None:
        cut = [
            link.inject_fault("silent", self.terms.cut_s)
            for (node, name), link in self.links.items()
            if (node % ZONES == zone) != (int(name[1:]) % ZONES == zone)
        ]
        cut += [
            node.store_proxy.inject_fault("silent", self.terms.cut_s)
            for index, node in enumerate(self.nodes)
            if index % ZONES == zone
        ]
        await asyncio.gather(*cut)

    async def _kill_owner(self, at_s: float) -> None:
        await asyncio.sleep(at_s)
        owner = self._owner()
        assert owner is not None
        self.former_owners.append(owner.host_id)
        await self._signal_and_restart(self.nodes[int(owner.host_id[1:])], signal.SIGKILL)

    async def _crash_behind_cut(self, zone: int) -> None:
        await asyncio.sleep(self.rng.uniform(0.5, self.terms.cut_s))
        index = self.rng.choice([i for i in range(len(self.executors)) if i % ZONES == zone])
        await self._restart_executor(index)

    async def _stall_nodes(self) -> None:
        for _ in range(6):
            await asyncio.sleep(self.rng.uniform(0.3, self.terms.cut_s / 4))
            node = self.rng.choice(self.nodes)
            self._send_signal(node, signal.SIGSTOP)
            await asyncio.sleep(self.rng.uniform(0.2, self.terms.stall_s))
            self._send_signal(node, signal.SIGCONT)
