"""A fake of the ports that a router uses, backed by a `MemoryStore`."""

from __future__ import annotations

import asyncio
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from returns.result import Failure, Result, Success

from jacinthreel_common import Config, Fault, Host, HostKind, ResultCode, StreamReply
from jacinthreel_daemon._context import RouterContext
from jacinthreel_daemon._ports import AppliedConfig
from jacinthreel_standins import MemoryStore

NO_REPLY = Failure(Fault(ResultCode.PEER_TIMEOUT, "no answer"))
NOT_REACHED = Failure(Fault(ResultCode.PEER_UNREACHABLE, "nothing was sent"))


def make_hosts() -> list[Host]:
    """Returns two workers with 8 accelerators each, in zones a and b, and an entry host."""
    workers = [
        Host(f"w{n}", HostKind.WORKER, "127.0.0.1", n + 1, zone, "r", accelerators=8)
        for n, zone in enumerate(["a", "b"])
    ]
    entry = Host("h1", HostKind.ENTRY, "127.0.0.1", 10, "a", "r", stream_port=11, scheduler_port=12)
    return [*workers, entry]


@dataclass
class FakeProcess:
    """Implements every port of a router.  `replies` holds the results of the next calls."""

    store: MemoryStore = field(default_factory=MemoryStore)
    hosts: list[Host] = field(default_factory=make_hosts)
    owner: tuple[str, int] | None = ("127.0.0.1", 12)
    replies: deque[Result[StreamReply, Fault]] = field(default_factory=deque)
    applied: AppliedConfig | None = None
    applied_versions: list[int] = field(default_factory=list)
    pushed_messages: list[Any] = field(default_factory=list)
    sent_messages: list[object] = field(default_factory=list)
    decisions: list[str] = field(default_factory=list)
    time_ms: int = 0

    def now_ms(self) -> int:
        return self.time_ms

    def unix_ms(self) -> int:
        return 1_000

    def by_id(self) -> dict[str, Host]:
        return {host.host_id: host for host in self.hosts}

    def subscribe(self, callback: Callable[[Any], None]) -> None:
        raise NotImplementedError

    def current(self) -> AppliedConfig | None:
        return self.applied

    def apply(self, config: Config, row_version: int) -> bool:
        self.applied_versions.append(config.version)
        self.applied = AppliedConfig(config, row_version, 0)
        return True

    def notify_all(self, message: object) -> None:
        self.pushed_messages.append(message)

    async def call(
        self, address: str, port: int, message: object, timeout_ms: int
    ) -> Result[StreamReply, Fault]:
        self.sent_messages.append(message)
        return self.replies.popleft() if self.replies else NOT_REACHED

    def owner_address(self) -> tuple[str, int] | None:
        return self.owner

    def count(self, name: str, amount: int = 1) -> None:
        pass

    def observe_ms(self, name: str, value_ms: float) -> None:
        pass

    def gauge(self, name: str, value: float) -> None:
        pass

    def log_event(self, event: str, fields: dict[str, Any]) -> None:
        self.decisions.append(event)

    async def sleep(self, seconds: float) -> None:
        self.time_ms += int(seconds * 1000)
        await asyncio.sleep(0)

    def context(self) -> RouterContext:
        return RouterContext(
            host_id="h1",
            zone="a",
            region="r",
            clock=self,
            store=self.store,
            config=self,
            hosts=self,
            streams=self,
            owner=self,
            telemetry=self,
            log_event=self.log_event,
            rng=random.Random(1),
        )


def owner_reply(code: ResultCode, body: Any = None) -> Result[StreamReply, Fault]:
    """Returns the result of a call that the owner answered."""
    return Success(StreamReply(code, body=body))
