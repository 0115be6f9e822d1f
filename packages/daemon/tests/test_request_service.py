"""The callers' HTTP API, with executor models served on loopback."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from tornado import httpserver, web
from tornado.httpclient import AsyncHTTPClient, HTTPResponse
from tornado.testing import AsyncHTTPTestCase, bind_unused_port, gen_test

from jacinthreel_common import Config, Host, HostKind, PresetName, Workspace
from jacinthreel_daemon._context import RouterContext
from jacinthreel_daemon._ports import AppliedConfig
from jacinthreel_daemon._request_api import RequestService
from jacinthreel_standins import ExecutorModel, MemoryStore, StoreOutcome, expected_answer
from jacinthreel_standins._executor_server import ServedExecutor, make_executor_application


class LoopClock:
    def now_ms(self) -> int:
        return int(asyncio.get_event_loop().time() * 1000)

    def unix_ms(self) -> int:
        return 1_000


@dataclass
class FixedConfig:
    config: Config

    def current(self) -> AppliedConfig | None:
        return AppliedConfig(self.config, 1, 0)

    def subscribe(self, callback: Callable[[AppliedConfig], None]) -> None:
        pass

    def apply(self, config: Config, row_version: int) -> bool:
        return False


@dataclass
class FixedHosts:
    hosts: list[Host]

    def by_id(self) -> dict[str, Host]:
        return {host.host_id: host for host in self.hosts}

    def subscribe(self, callback: Callable[[list[Host]], None]) -> None:
        pass


@dataclass
class CountingTelemetry:
    counts: dict[str, int] = field(default_factory=dict)

    def count(self, name: str, amount: int = 1) -> None:
        self.counts[name] = self.counts.get(name, 0) + amount

    def observe_ms(self, name: str, value_ms: float) -> None:
        pass

    def gauge(self, name: str, value: float) -> None:
        pass


class RequestServiceTest(AsyncHTTPTestCase):
    """One router, and two executors with two slots each."""

    def get_app(self) -> web.Application:
        self.store = MemoryStore()
        self.models = [ExecutorModel(f"x{n}", slots=2) for n in (1, 2)]
        self.servers: list[httpserver.HTTPServer] = []
        self.decisions: list[tuple[str, dict[str, Any]]] = []
        self.telemetry = CountingTelemetry()
        hosts = [self.serve_executor(model) for model in self.models]
        config = Config(1, PresetName.ORDINARY, workspaces={"labels": Workspace("labels")})
        context = RouterContext(
            host_id="h1",
            zone="za",
            region="r",
            clock=LoopClock(),
            store=self.store,
            config=FixedConfig(config),
            hosts=FixedHosts(hosts),
            streams=None,  # type: ignore[arg-type]
            owner=None,  # type: ignore[arg-type]
            telemetry=self.telemetry,
            log_event=lambda event, fields: self.decisions.append((event, fields)),
            rng=random.Random(1),
        )
        self.service = RequestService(context)
        return web.Application(self.service.routes())

    def serve_executor(self, model: ExecutorModel) -> Host:
        sock, port = bind_unused_port()
        server = httpserver.HTTPServer(make_executor_application(ServedExecutor(model)))
        server.add_socket(sock)
        self.servers.append(server)
        return Host(
            model.executor_id,
            HostKind.EXECUTOR,
            "127.0.0.1",
            port,
            "za",
            "r",
            slots=model.slots,
            connections=60,
        )

    def tearDown(self) -> None:
        for server in self.servers:
            server.stop()
        super().tearDown()

    async def post(self, body: bytes, workspace: str = "labels", **headers: str) -> HTTPResponse:
        http_headers = {name.replace("_", "-"): value for name, value in headers.items()}
        url = self.get_url(f"/v1/requests/{workspace}")
        client = AsyncHTTPClient(force_instance=True)
        try:
            return await client.fetch(
                url, method="POST", body=body, headers=http_headers, raise_error=False
            )
        finally:
            client.close()

    async def wait_until(self, condition: Callable[[], bool]) -> None:
        while not condition():
            await asyncio.sleep(0.005)

    def in_flight(self) -> int:
        return sum(self.service.in_flight_notice().by_executor.values())

    def count_runs(self, request_id: str) -> int:
        return sum(model.count_runs(request_id) for model in self.models)

    @gen_test
    async def test_each_caller_gets_its_own_whole_answer(self) -> None:
        bodies = {f"id-{n}": b"n=%d run=%d" % (n, 30 - n) for n in range(12)}
        replies = await asyncio.gather(
            *(self.post(body, X_Request_Id=name) for name, body in bodies.items())
        )
        for (name, body), reply in zip(bodies.items(), replies, strict=True):
            assert reply.code == 200
            assert reply.body == expected_answer(name, "labels", body)
            assert reply.headers["X-Outcome"] == "answered"
            assert reply.headers["X-Result-Code"] == "0"
            assert self.count_runs(name) == 1
        routes = [fields for event, fields in self.decisions if event == "route"]
        assert routes[0].keys() >= {"reason", "candidates", "config_version", "executor"}

    @gen_test
    async def test_invalid_requests_are_refused_with_result_codes(self) -> None:
        cases: list[tuple[dict[str, str], int]] = [
            ({"X_Deadline_Ms": "soon"}, 1003),
            ({"X_Deadline_Ms": "0"}, 1004),
            ({"X_Deadline_Ms": "9999999999"}, 1004),
            ({"X_Idempotent": "maybe"}, 1003),
            ({"X_Request_Id": "a/b"}, 1004),
            ({"X_Request_Id": ""}, 1004),
            ({"workspace": "absent"}, 3002),
        ]
        for headers, code in cases:
            reply = await self.post(b"x", **headers)
            assert reply.headers["X-Result-Code"] == str(code), headers
            assert reply.headers["X-Outcome"] == "not-run"
        reply = await self.post(b"x" * (1024 * 1024 + 1))
        assert reply.headers["X-Result-Code"] == "1005"
        assert not any(model.runs for model in self.models)

    @gen_test
    async def test_repeated_request_gets_the_recorded_answer(self) -> None:
        first = await self.post(b"order run=5", X_Request_Id="o1")
        await self.wait_until(self.service.core.is_idle)
        again = await self.post(b"order run=5", X_Request_Id="o1")
        other = await self.post(b"other order", X_Request_Id="o1")
        assert (first.code, again.code, other.code) == (200, 200, 409)
        assert again.body == first.body
        assert again.headers["X-Replayed"] == "true"
        assert other.headers["X-Result-Code"] == "2008"
        assert self.count_runs("o1") == 1

    @gen_test
    async def test_claims_during_a_store_outage_are_refused_immediately(self) -> None:
        self.store.down = True
        refused = await self.post(b"x", X_Request_Id="c1", X_Deadline_Ms="60000")
        assert refused.headers["X-Result-Code"] == "2004"
        assert int(refused.headers["Retry-After"]) >= 1
        for headers in ({}, {"X_Idempotent": "true", "X_Request_Id": "c2"}):
            served = await self.post(b"x run=1", **headers)
            assert served.code == 200

    @gen_test
    async def test_lost_claim_reply_is_resolved(self) -> None:
        for outcome in (StoreOutcome.LOST_REPLY, StoreOutcome.LOST_REQUEST, StoreOutcome.LATE):
            self.store.outcomes.append(outcome)
            name = f"lost-{outcome.value.replace('_', '-')}"
            reply = await self.post(b"x run=1", X_Request_Id=name)
            assert reply.code == 200, outcome
            assert self.count_runs(name) == 1

    @gen_test
    async def test_expired_request_is_unknown_if_in_flight_and_not_run_if_queued(self) -> None:
        running = [asyncio.ensure_future(self.post(b"run=400")) for _ in range(4)]
        await self.wait_until(lambda: self.in_flight() == 4)
        queued = await self.post(b"run=1", X_Deadline_Ms="50", X_Request_Id="q1")
        assert queued.headers["X-Outcome"] == "not-run"
        assert queued.headers["X-Result-Code"] == "2003"
        assert "Retry-After" in queued.headers
        assert self.count_runs("q1") == 0
        await asyncio.gather(*running)
        late = await self.post(b"run=300", X_Deadline_Ms="100", X_Request_Id="l1")
        assert late.headers["X-Outcome"] == "unknown"
        assert self.count_runs("l1") == 1

    @gen_test
    async def test_drain_completes_all_accepted_requests(self) -> None:
        accepted = [asyncio.ensure_future(self.post(b"run=100")) for _ in range(6)]
        await self.wait_until(lambda: len(self.service.core.queue) == 2)
        drain = asyncio.ensure_future(self.service.drain())
        await asyncio.sleep(0)
        refused = await self.post(b"run=1")
        assert refused.headers["X-Result-Code"] == "2005"
        await drain
        assert [reply.code for reply in await asyncio.gather(*accepted)] == [200] * 6
