"""Tests of the stand-in servers over HTTP: conditional writes, fault injection and run logs."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable
from typing import Any

import pytest
from tornado.httpclient import AsyncHTTPClient, HTTPClientError, HTTPRequest, HTTPResponse
from tornado.httpserver import HTTPServer
from tornado.testing import bind_unused_port
from tornado.web import Application

from jacinthreel_common import Host, HostKind
from jacinthreel_standins import ExecutorModel, expected_answer
from jacinthreel_standins._executor_server import ServedExecutor, make_executor_application
from jacinthreel_standins._platform_server import Platform, make_platform_application
from jacinthreel_standins._worker_model import WorkerModel
from jacinthreel_standins._worker_server import ServedWorker, make_worker_application

Fetch = Callable[..., Awaitable[HTTPResponse]]
INSERT = {
    "write_id": "w1",
    "conditions": [{"key": "a", "version": 0}],
    "writes": [{"key": "a", "value": 1}],
}


def run_scenario(application: Application, scenario: Callable[[Fetch], Awaitable[None]]) -> None:
    """Serves `application` on a free port and runs `scenario` against it."""

    async def serve() -> None:
        socket, port = bind_unused_port()
        server = HTTPServer(application)
        server.add_sockets([socket])

        async def fetch(path: str, body: Any = None, **headers: str) -> HTTPResponse:
            encoded = body if isinstance(body, bytes | None) else json.dumps(body).encode()
            method = "GET" if body is None else "POST"
            url = f"http://127.0.0.1:{port}{path}"
            try:
                return await AsyncHTTPClient().fetch(
                    url, method=method, body=encoded, headers=headers, raise_error=False
                )
            except HTTPClientError as error:
                return HTTPResponse(HTTPRequest(url), error.code)

        await scenario(fetch)
        server.stop()

    asyncio.run(serve())


def make_platform_with_one_worker() -> Application:
    platform = Platform()
    platform.set_hosts([Host("w1", HostKind.WORKER, "127.0.0.1", 1, "a", "r")], at_ms=0)
    return make_platform_application(platform)


def test_second_insert_of_a_row_conflicts() -> None:
    async def scenario(fetch: Fetch) -> None:
        assert (await fetch("/v1/transact", INSERT)).code == 200
        second = await fetch("/v1/transact", INSERT)
        assert second.code == 409
        assert json.loads(second.body) == {"committed": False, "versions": {"a": 1}}

    run_scenario(make_platform_with_one_worker(), scenario)


@pytest.mark.parametrize(
    ("faults", "status", "applied"),
    [
        ({"down": True}, 503, False),
        ({"refuse": 1}, 503, False),
        ({"lose_requests": 1}, 599, False),
        ({"lose_replies": 1}, 599, True),
        ({"lose_replies": 1, "only_prefix": "b"}, 200, True),
    ],
)
def test_store_fault_sets_the_reply_status_and_whether_the_write_applies(
    faults: dict[str, Any], status: int, applied: bool
) -> None:
    async def scenario(fetch: Fetch) -> None:
        assert (await fetch("/v1/faults", faults)).code == 200
        assert (await fetch("/v1/transact", INSERT)).code == status
        rows = json.loads((await fetch("/v1/rows?prefix=a")).body)["rows"]
        assert bool(rows) == applied

    run_scenario(make_platform_with_one_worker(), scenario)


@pytest.mark.parametrize(
    ("path", "body", "code"),
    [
        ("/v1/transact", b"{", 1001),
        ("/v1/transact", {**INSERT, "extra": 1}, 1002),
        ("/v1/faults", {"down": 3}, 1003),
        ("/v1/faults", {"delay_ms": -1}, 1004),
        ("/v1/hosts/w9/state", {"state": "leaving"}, 1009),
    ],
)
def test_invalid_input_returns_its_result_code(path: str, body: Any, code: int) -> None:
    async def scenario(fetch: Fetch) -> None:
        answer = await fetch(path, body)
        assert json.loads(answer.body)["code"] == code
        assert (await fetch("/healthz")).code == 200

    run_scenario(make_platform_with_one_worker(), scenario)


def test_host_list_returns_a_change_only_after_the_lag() -> None:
    async def scenario(fetch: Fetch) -> None:
        await fetch("/v1/faults", {"host_list_lag_ms": 60_000})
        await fetch("/v1/hosts/w1/state", {"state": "leaving"})
        assert json.loads((await fetch("/v1/hosts")).body)["hosts"][0]["state"] == "live"
        await fetch("/v1/faults", {"host_list_lag_ms": 0})
        assert json.loads((await fetch("/v1/hosts")).body)["hosts"][0]["state"] == "leaving"
        assert json.loads((await fetch("/v1/hosts?revision=2")).body)["hosts"] == []

    run_scenario(make_platform_with_one_worker(), scenario)


def test_executor_refuses_requests_without_a_free_slot_and_logs_those_it_ran() -> None:
    executor = ServedExecutor(ExecutorModel("e1", slots=1))

    async def scenario(fetch: Fetch) -> None:
        first = asyncio.ensure_future(fetch("/v1/execute", b"run=300", **{"X-Request-Id": "one"}))
        while not executor.model.runs:
            await asyncio.sleep(0.005)
        second = await fetch("/v1/execute", b"other", **{"X-Request-Id": "two"})
        assert (second.code, second.headers["X-Not-Run"]) == (503, "true")
        assert (await first).body == expected_answer("one", "", b"run=300")
        await fetch("/v1/faults", {"lose_replies": 1})
        assert (await fetch("/v1/execute", b"run=0", **{"X-Request-Id": "three"})).code == 599
        log = json.loads((await fetch("/v1/log")).body)
        assert [entry["request_id"] for entry in log["runs"]] == ["one", "three"]
        assert log["refused"] == 1

    run_scenario(make_executor_application(executor), scenario)


def test_worker_executes_a_batch_whose_reply_is_lost_exactly_once() -> None:
    worker = ServedWorker(WorkerModel("w1", 8, 130, 500))
    task = {"job_id": "j", "attempt": 1, "task_index": 0}
    commands = [{"kind": "reserve", **task}, {"kind": "start", **task}]
    batch = {"shard": "r", "epoch": 1, "lease_ms": 60_000, "seen_version": 0, "commands": commands}

    async def scenario(fetch: Fetch) -> None:
        await fetch("/v1/faults", {"lose_replies": 1})
        assert (await fetch("/v1/commands", batch)).code == 599
        second_reply = json.loads((await fetch("/v1/commands", batch)).body)
        assert second_reply["results"] == [6007, 0]
        log = json.loads((await fetch("/v1/log")).body)
        assert len(log["starts"]) == 1
        await fetch("/v1/faults", {"unreachable": True})
        assert (await fetch("/v1/commands", batch)).code == 599

    run_scenario(make_worker_application(worker), scenario)
