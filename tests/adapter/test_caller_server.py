"""Tests of the caller server: its graceful stop, over loopback, and the status of refusals."""

from __future__ import annotations

import asyncio
import socket
import time
from typing import Any, cast

from jacinthreel_common import Fault, ResultCode
from jacinthreel_daemon.plumbing import MetricsRegistry
from jacinthreel_node import Node, NodeSettings, PolicyView
from jacinthreel_platform._caller_server import (
    LAST_REQUEST_PAUSE_S,
    PlatformCallerServer,
    fault_response,
)
from jacinthreel_steps import LeaseLimits

STOP_LIMIT_MS = 2_000
REQUEST = b"GET /q/ HTTP/1.1\r\nHost: h\r\n\r\n"


class FakeNode:
    """A node without a configuration, which refuses each call."""

    is_ready = True

    def __init__(self) -> None:
        self.policy = PolicyView()
        self.log = self

    def info(self, event: str, fields: dict[str, Any]) -> None:
        return


def free_addresses(count: int) -> list[tuple[str, int]]:
    sockets = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
    addresses = [item.getsockname() for item in sockets]
    for item in sockets:
        item.close()
    return addresses


LEASES = LeaseLimits(5_000, 5_000)


def make_server() -> tuple[PlatformCallerServer, tuple[str, int]]:
    caller, ready, stream, store, metrics = free_addresses(5)
    settings = NodeSettings(
        "n", "z", caller, ready, stream, store, metrics, 1.0, 100, LEASES, 5_000, 1_000
    )
    server = PlatformCallerServer(settings, cast(Node, FakeNode()), MetricsRegistry())
    return server, caller


def test_request_that_arrives_while_the_loop_is_blocked_is_answered_before_the_stop() -> None:
    async def scenario() -> bytes:
        server, address = make_server()
        server.start()
        reader, writer = await asyncio.open_connection(*address)
        writer.write(REQUEST)
        await reader.readuntil(b"\r\n\r\n")  # The connection is accepted and idle.
        stop = asyncio.create_task(server.stop(STOP_LIMIT_MS))
        await asyncio.sleep(LAST_REQUEST_PAUSE_S / 2)
        writer.write(REQUEST)
        time.sleep(LAST_REQUEST_PAUSE_S)  # Blocks the loop beyond the end of the pause.
        await stop
        return await reader.read()

    assert b"HTTP/1.1 503" in asyncio.run(scenario())


def test_refusal_under_overload_is_a_429_with_the_time_to_retry() -> None:
    """With another status, callers would retry at once or count the job as broken."""
    response = fault_response(Fault(ResultCode.JOB_TOO_LATE, "overloaded", 7_000))
    assert (response.status, response.retry_after_ms) == (429, 7_000)
    assert response.value["code"] == 3012
