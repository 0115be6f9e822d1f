"""Metrics, the HTTP server, the host list and the timers of a process."""

from __future__ import annotations

import asyncio
import json
from typing import Any

import pytest
from tornado import web
from tornado.iostream import StreamClosedError
from tornado.tcpclient import TCPClient
from tornado.testing import bind_unused_port

from jacinthreel_common import Fault, Host, HostKind, HostListReply, ResultCode, encode_json
from jacinthreel_daemon._clock import LoopTimers, SystemClock
from jacinthreel_daemon._host_list import WARN_AFTER_FAILURES, HostListPoller
from jacinthreel_daemon._http_pool import HttpPool, HttpReply
from jacinthreel_daemon._http_server import (
    MAX_BODY_BYTES,
    HttpService,
    JsonHandler,
    ServingState,
    write_fault,
)
from jacinthreel_daemon._telemetry import MetricsRegistry


def test_each_metric_is_rendered_with_one_type_line() -> None:
    metrics = MetricsRegistry()
    metrics.count('a_total{code="1"}', 2)
    metrics.count("ab_total")
    metrics.count('a_total{code="0"}')
    for value_ms in range(1, 1001):
        metrics.observe_ms('wait_ms{kind="x"}', value_ms)
    lines = metrics.render().splitlines()
    assert lines[:5] == [
        "# TYPE a_total counter",
        'a_total{code="0"} 1',
        'a_total{code="1"} 2',
        "# TYPE ab_total counter",
        "ab_total 1",
    ]
    assert lines[-1] == 'wait_ms_count{kind="x"} 1000'
    name, value = lines[8].split(" ")
    assert name == 'wait_ms{kind="x",quantile="0.99"}' and abs(float(value) - 990) < 10


class ScriptedHandler(JsonHandler):
    """Waits for `gate`, raises an exception or refuses the request, as the request body says."""

    gate: asyncio.Event

    async def post(self) -> None:
        match json.loads(self.request.body):
            case "wait":
                await ScriptedHandler.gate.wait()
                self.finish("done")
            case "raise":
                raise ValueError("bug")
            case "refuse":
                write_fault(self, Fault(ResultCode.OVERLOADED, "full", 1_500))


class LoopbackService:
    """An HTTP service on loopback and a client of it."""

    def __init__(self, routes: Any = ((r"/sum", ScriptedHandler),)) -> None:
        ScriptedHandler.gate = asyncio.Event()
        self.state = ServingState()
        self.logged: list[dict[str, Any]] = []
        self.service = HttpService(
            self.state,
            MetricsRegistry(),
            list(routes),
            log=lambda event, fields: self.logged.append({"event": event, **fields}),
        )
        sock, self.port = bind_unused_port(address="127.0.0.1")
        self.service._server.add_sockets([sock])
        self.client = HttpPool("127.0.0.1", self.port, 1_000)

    async def post(self, body: object) -> HttpReply:
        return (await self.client.post("/sum", json.dumps(body).encode(), 10_000)).unwrap()

    async def get(self, path: str) -> HttpReply:
        return (await self.client.get(path, 10_000)).unwrap()


@pytest.mark.parametrize(
    ("method", "path", "body", "status", "code"),
    [
        ("GET", "/healthz", "", 200, None),
        ("GET", "/readyz", "", 200, None),
        ("GET", "/nowhere", "", 404, 1009),
        ("GET", "/sum", "", 404, 1009),
        ("POST", "/sum", '"raise"', 500, 1010),
        ("POST", "/sum", '"refuse"', 503, 2001),
        ("POST", "/sum", "x" * (MAX_BODY_BYTES + 1), 413, 1005),
    ],
)
def test_response_has_expected_status_and_result_code(
    method: str, path: str, body: str, status: int, code: int | None
) -> None:
    async def run() -> tuple[HttpReply, list[dict[str, Any]]]:
        loopback = LoopbackService()
        if method == "GET":
            return await loopback.get(path), loopback.logged
        return (await loopback.client.post(path, body.encode(), 10_000)).unwrap(), loopback.logged

    reply, logged = asyncio.run(run())
    assert reply.status == status
    assert json.loads(reply.body).get("code") == code
    assert [line["code"] for line in logged] == ([1005] if code == 1005 else [])


def test_drain_fails_readiness_and_waits_for_requests_in_progress() -> None:
    async def run() -> None:
        loopback = LoopbackService()
        waiting = [asyncio.create_task(loopback.post("wait")) for _ in range(3)]
        while loopback.state.active_requests < 3:
            await asyncio.sleep(0.005)
        loopback.state.draining = True
        unready = await loopback.get("/readyz")
        assert (unready.status, json.loads(unready.body)["code"]) == (503, 2005)
        drain = asyncio.create_task(loopback.service.drain(60_000))
        await loopback.service.stop_listening()
        assert not drain.done()
        ScriptedHandler.gate.set()
        assert [(await reply).body for reply in waiting] == [b"done"] * 3
        assert await drain is True
        assert not (await loopback.client.get("/healthz", 1_000)).value_or(None)

    asyncio.run(run())


def test_drain_times_out_and_requests_of_closed_connections_end() -> None:
    async def run() -> None:
        loopback = LoopbackService()
        stream = await TCPClient().connect("127.0.0.1", loopback.port)
        await stream.write(b'POST /sum HTTP/1.1\r\nHost: x\r\nContent-Length: 6\r\n\r\n"wait"')
        while loopback.state.active_requests < 1:
            await asyncio.sleep(0.005)
        assert await loopback.service.drain(50) is False
        with pytest.raises(StreamClosedError):
            await stream.read_until(b"\r\n")
        while loopback.state.active_requests:
            await asyncio.sleep(0.005)

    asyncio.run(run())


class HostsHandler(web.RequestHandler):
    replies: list[bytes]
    requested_revisions: list[str]

    def get(self) -> None:
        HostsHandler.requested_revisions.append(self.get_argument("revision"))
        body = HostsHandler.replies.pop(0)
        self.set_status(200 if body else 503)
        self.finish(body)


def test_host_list_is_polled_by_revision_and_kept_during_an_outage() -> None:
    async def run() -> None:
        loopback = LoopbackService([(r"/v1/hosts", HostsHandler)])
        logged: list[str] = []
        poller = HostListPoller(loopback.client, lambda event, fields: logged.append(event))
        received_lists: list[list[str]] = []
        poller.subscribe(lambda hosts: received_lists.append([host.host_id for host in hosts]))
        hosts = [Host("w1", HostKind.WORKER, "127.0.0.1", 1, "za", "r")]
        first = encode_json(HostListReply(4, hosts))
        HostsHandler.requested_revisions = []
        HostsHandler.replies = [b"", first, encode_json(HostListReply(4, [])), b"{}"]
        HostsHandler.replies += [b""] * WARN_AFTER_FAILURES + [encode_json(HostListReply(5, []))]
        for _ in range(len(HostsHandler.replies) - 1):
            await poller.poll()
        assert list(poller.by_id()) == ["w1"]
        assert logged == ["host_list_unavailable"]
        await poller.poll()
        assert received_lists == [["w1"], []]
        assert HostsHandler.requested_revisions == ["0", "0"] + ["4"] * (WARN_AFTER_FAILURES + 3)

    asyncio.run(run())


def test_timers_continue_after_a_callback_raises() -> None:
    async def run() -> list[str]:
        errors: list[Exception] = []
        calls: list[str] = []
        done = asyncio.Event()
        timers = LoopTimers(SystemClock(), errors.append)

        def fail(now_ms: int) -> None:
            calls.append("failed")
            raise ValueError("bug")

        def succeed(now_ms: int) -> None:
            calls.append("ran")
            if len(calls) >= 4:
                done.set()

        timers.every(10, fail)
        timers.every(10, succeed)
        await asyncio.wait_for(done.wait(), 20)
        timers.stop()
        assert len(errors) == calls.count("failed")
        return calls

    assert set(asyncio.run(run())) == {"failed", "ran"}
