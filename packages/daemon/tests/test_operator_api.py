"""The operators' HTTP API: paths, headers, and result codes of errors."""

from __future__ import annotations

import asyncio
import json
from typing import Any

import pytest
from router_fakes import FakeProcess
from tornado.httpclient import AsyncHTTPClient
from tornado.httpserver import HTTPServer
from tornado.testing import bind_unused_port
from tornado.web import Application

from jacinthreel_common import (
    JobRecord,
    JobSpec,
    JobState,
    RowWrite,
    Transaction,
    job_key,
    to_plain,
)
from jacinthreel_daemon._operator_api import OperatorService

Call = tuple[str, str, Any, dict[str, str]]


def make_calls(process: FakeProcess, *calls: Call) -> list[tuple[int, Any]]:
    """Makes the calls in sequence and returns their HTTP statuses and decoded bodies."""

    async def run() -> list[tuple[int, Any]]:
        socket, port = bind_unused_port()
        server = HTTPServer(Application(OperatorService(process.context()).routes()))
        server.add_sockets([socket])
        answers: list[tuple[int, Any]] = []
        for method, path, body, headers in calls:
            payload = body if isinstance(body, bytes | None) else json.dumps(body).encode()
            answer = await AsyncHTTPClient().fetch(
                f"http://127.0.0.1:{port}{path}",
                method=method,
                body=payload,
                headers=headers,
                raise_error=False,
                allow_nonstandard_methods=True,
            )
            answers.append((answer.code, json.loads(answer.body)))
        server.stop()
        return answers

    return asyncio.run(run())


INIT: Call = ("POST", "/v1/config", None, {})

INVALID_CALLS: dict[str, tuple[Call, int, int]] = {
    "broken JSON": (("PUT", "/v1/workspaces/x", b"{", {}), 400, 1001),
    "unknown field": (("PUT", "/v1/workspaces/x", {"colour": 1}, {}), 400, 1002),
    "wrong type": (("PUT", "/v1/workspaces/x", {"weight": "1"}, {}), 400, 1003),
    "out of range": (("PUT", "/v1/workspaces/x", {"weight": 0}, {}), 400, 1004),
    "bad name": (("PUT", "/v1/workspaces/X", {}, {}), 400, 1004),
    "cell level twice": (
        ("PUT", "/v1/workspaces/x", {"guarantee": [{"cell": "pair", "count": 1}] * 2}, {}),
        422,
        4006,
    ),
    "guarantee too large": (
        ("PUT", "/v1/workspaces/x", {"guarantee": [{"cell": "rack", "count": 1}]}, {}),
        422,
        4002,
    ),
    "bad version": (("POST", "/v1/presets/peak/activate", None, {"If-Match": "x"}), 400, 1003),
    "old version": (("POST", "/v1/presets/peak/activate", None, {"If-Match": "7"}), 409, 4001),
    "bad change id": (("POST", "/v1/zones/a/in", None, {"X-Change-Id": "a b"}), 400, 1004),
    "unknown zone": (("POST", "/v1/zones/x/out", {"reason": "r"}, {}), 404, 4003),
    "unknown preset": (("GET", "/v1/presets/x", None, {}), 404, 4004),
    "preset setting out of range": (
        ("PUT", "/v1/presets/peak", {"retry_budget_ratio": 2.0}, {}),
        400,
        1004,
    ),
    "unknown workspace": (("DELETE", "/v1/workspaces/x", None, {}), 404, 3002),
    "bad history limit": (("GET", "/v1/config/history?limit=0", None, {}), 400, 1004),
    "bad job state": (("GET", "/v1/jobs?state=lost", None, {}), 400, 1004),
    "bad job": (("POST", "/v1/jobs", {"job_id": "j"}, {}), 400, 1003),
    "unknown job": (("GET", "/v1/jobs/j", None, {}), 404, 3005),
    "wrong method": (("DELETE", "/v1/zones", None, {}), 404, 1009),
}


@pytest.mark.parametrize("name", INVALID_CALLS)
def test_invalid_calls_get_result_codes_and_are_logged(name: str) -> None:
    call, status, code = INVALID_CALLS[name]
    process = FakeProcess()
    answers = make_calls(process, INIT, call, ("GET", "/v1/config", None, {}))
    assert (answers[1][0], answers[1][1]["code"]) == (status, code)
    assert answers[2][1]["version"] == 1
    assert name == "wrong method" or "operator_request_refused" in process.decisions


def test_a_workspace_with_jobs_is_not_deleted() -> None:
    process = FakeProcess(owner=None)
    job = JobRecord(JobSpec("j1", "labels", 1, 8), JobState.RUNNING, 1_000)
    write = RowWrite(job_key("r", "j1"), to_plain(job))
    process.store.table.transact(Transaction("w", [], [write]))
    answers = make_calls(
        process,
        INIT,
        ("PUT", "/v1/workspaces/labels", {}, {}),
        ("DELETE", "/v1/workspaces/labels", None, {}),
    )
    assert (answers[2][0], answers[2][1]["code"]) == (409, 4007)


def test_guarantees_that_do_not_fit_during_a_zone_outage_are_reported() -> None:
    two_workers = {"guarantee": [{"cell": "worker", "count": 2}]}
    answers = make_calls(
        FakeProcess(),
        ("PUT", "/v1/workspaces/labels", two_workers, {}),
        ("POST", "/v1/zones/a/out", {}, {}),
        ("GET", "/v1/status", None, {}),
        ("POST", "/v1/zones/a/in", None, {}),
    )
    assert [body["unheld"] for _, body in answers] == [
        "",
        "no room for 1 x worker of workspace labels",
        "no room for 1 x worker of workspace labels",
        "",
    ]


def test_configuration_is_unavailable_until_it_is_created_once() -> None:
    answers = make_calls(FakeProcess(), ("GET", "/v1/config", None, {}), INIT, INIT)
    assert (answers[0][0], answers[0][1]["code"]) == (503, 4008)
    assert [body["changed"] for _, body in answers[1:]] == [True, False]


def test_changes_appear_in_configuration_and_history() -> None:
    author = {"X-Author": "ana"}
    answers = make_calls(
        FakeProcess(),
        INIT,
        ("POST", "/v1/zones/a/out", {"reason": "power"}, author),
        ("PUT", "/v1/presets/peak", {"borrowing": False}, {}),
        ("GET", "/v1/zones", None, {}),
        ("GET", "/v1/presets/peak", None, {}),
        ("GET", "/v1/config/history?limit=2", None, {}),
    )
    assert [body["version"] for _, body in answers[:3]] == [1, 2, 3]
    assert answers[3][1]["zones"][0]["outage"]["reason"] == "power"
    assert answers[4][1]["borrowing"] is False
    lines = answers[5][1]["history"]
    assert [(line["version"], line["author"]) for line in lines] == [(3, ""), (2, "ana")]


def test_status_lists_processes_that_do_not_answer() -> None:
    answers = make_calls(FakeProcess(), INIT, ("GET", "/v1/status", None, {}))
    lines = answers[1][1]["processes"]
    assert [(line["role"], line["code"]) for line in lines] == [
        ("router", 7002),
        ("scheduler", 7002),
    ]
    assert answers[1][1]["shard"] is None


def test_changes_during_a_store_outage_are_refused_immediately() -> None:
    process = FakeProcess()
    make_calls(process, INIT)
    process.store.down = True
    answers = make_calls(
        process, ("POST", "/v1/zones/a/out", {}, {}), ("GET", "/v1/config", None, {})
    )
    assert (answers[0][0], answers[0][1]["code"]) == (503, 5001)
    assert answers[0][1]["retry_after_ms"] > 0
    assert answers[1][0] == 200
