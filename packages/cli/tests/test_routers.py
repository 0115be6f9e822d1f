"""Tests failover between routers and the exit statuses of commands."""

from __future__ import annotations

import asyncio
import socket
import struct
from typing import Any

import pytest

from jacinthreel_cli import _routers
from jacinthreel_cli.__main__ import run
from jacinthreel_cli._config_commands import find_outdated_processes
from jacinthreel_cli._exit import CommandError, ExitStatus
from jacinthreel_cli._routers import (
    ApiAnswer,
    ApiCall,
    NoAnswer,
    Refused,
    Routers,
    parse_routers,
)
from jacinthreel_common import Fault, HostState, ProcessLine, ResultCode, SystemStatus


def refused(code: ResultCode) -> Refused:
    return Refused(Fault(code, "", 1_000))


DONE = ApiAnswer(200, b"{}")
NOT_SENT = NoAnswer(False, "refused")
LOST = NoAnswer(True, "connection lost")
CONFLICT = refused(ResultCode.CONFIG_CONFLICT)
STORE_OUT = refused(ResultCode.STORE_UNAVAILABLE)
STOPPING = refused(ResultCode.SHUTTING_DOWN)
UNKNOWN = refused(ResultCode.CONFIG_OUTCOME_UNKNOWN)
BALANCER_ERROR = NoAnswer(True, "HTTP 502 without a result code")
Answer = ApiAnswer | Refused | NoAnswer
Answers = list[Answer]

CASES: dict[str, tuple[Answers, bool, ExitStatus, int]] = {
    "the first router answers": ([DONE, DONE], True, ExitStatus.DONE, 1),
    "the first router is down": ([NOT_SENT, DONE], False, ExitStatus.DONE, 2),
    "the first router is stopping": ([STOPPING, DONE], False, ExitStatus.DONE, 2),
    "a refusal is final": ([CONFLICT, DONE], True, ExitStatus.REFUSED, 1),
    "all routers are down": ([NOT_SENT, NOT_SENT], True, ExitStatus.UNKNOWN, 2),
    "a repeatable call is repeated after a lost answer": ([LOST, DONE], True, ExitStatus.DONE, 2),
    "any other call is not repeated after a lost answer": (
        [LOST, DONE],
        False,
        ExitStatus.UNKNOWN,
        1,
    ),
    "an inconclusive refusal after a lost answer": ([LOST, STORE_OUT], True, ExitStatus.UNKNOWN, 2),
    "a conclusive refusal after a lost answer": ([LOST, CONFLICT], True, ExitStatus.REFUSED, 2),
    "the router reports an unknown outcome": ([UNKNOWN, DONE], True, ExitStatus.UNKNOWN, 1),
    "a balancer's error, repeatable call": ([BALANCER_ERROR, DONE], True, ExitStatus.DONE, 2),
    "a balancer's error, other call": ([BALANCER_ERROR, DONE], False, ExitStatus.UNKNOWN, 1),
}


@pytest.mark.parametrize("name", CASES)
def test_failover_ends_with_the_expected_status(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    answers, repeatable, status, attempts = CASES[name]
    sent: list[str] = []

    async def send(address: str, call: ApiCall) -> Answer:
        sent.append(address)
        return answers[len(sent) - 1]

    monkeypatch.setattr(_routers, "_send", send)
    call = ApiCall("POST", "/v1/x", repeatable=repeatable)
    try:
        Routers(["10.0.0.1:80", "10.0.0.2:80"]).call(call)
        ended = ExitStatus.DONE
    except CommandError as error:
        ended = error.status
    assert (ended, len(sent)) == (status, attempts)


@pytest.mark.parametrize(
    ("text", "code"),
    [
        ("localhost:80", ResultCode.NOT_AN_IP),
        ("10.0.0.1", ResultCode.BAD_SETTINGS),
        ("10.0.0.1:0", ResultCode.BAD_SETTINGS),
        ("10.0.0.1:70000", ResultCode.BAD_SETTINGS),
    ],
)
def test_invalid_router_address_is_a_usage_error(text: str, code: ResultCode) -> None:
    with pytest.raises(CommandError) as caught:
        parse_routers([text])
    assert (caught.value.fault.code, caught.value.status) == (code, ExitStatus.USAGE)


def test_routers_are_read_from_the_environment_by_default(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setenv("JACINTHREEL_ROUTERS", "10.0.0.1:80, [::1]:81")
    assert parse_routers([]) == ["10.0.0.1:80", "[::1]:81"]
    assert parse_routers(["10.0.0.3:80"]) == ["10.0.0.3:80"]


def test_outdated_processes_exclude_unreachable_leaving_hosts() -> None:
    def line(host_id: str, version: int, state: HostState, code: ResultCode) -> ProcessLine:
        return ProcessLine(host_id, "router", "a", state, code, config_version=version)

    unreachable = ResultCode.PEER_UNREACHABLE
    lines = [
        line("h1", 5, HostState.LIVE, ResultCode.OK),
        line("h2", 4, HostState.LIVE, ResultCode.OK),
        line("h3", 0, HostState.LIVE, unreachable),
        line("h4", 0, HostState.LEAVING, unreachable),
    ]
    status = SystemStatus("r", "h1", None, None, lines)
    assert find_outdated_processes(status, 5) == ["h2/router", "h3/router"]


USAGE_CASES: dict[str, list[str]] = {
    "no router": ["status"],
    "unknown command": ["reboot"],
    "unknown cell": ["workspace", "set", "x", "--guarantee", "shelf=1", "--router", "10.0.0.1:1"],
    "unknown preset": ["preset", "activate", "holiday", "--router", "10.0.0.1:1"],
    "unknown code": ["codes", "explain", "42"],
    "job out of range": (
        ["job", "submit", "--workspace", "x", "--tasks", "0", "--accelerators", "1"]
        + ["--router", "10.0.0.1:1"]
    ),
}


@pytest.mark.parametrize("name", USAGE_CASES)
def test_bad_usage_ends_with_status_2(
    name: str, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    monkeypatch.delenv("JACINTHREEL_ROUTERS", raising=False)
    assert run(USAGE_CASES[name]) is ExitStatus.USAGE
    captured: Any = capsys.readouterr()
    assert captured.err or captured.out


def test_codes_explain_prints_the_name_of_a_code(capsys: pytest.CaptureFixture[str]) -> None:
    assert run(["codes", "explain", "4001"]) is ExitStatus.DONE
    assert "CONFIG_CONFLICT" in capsys.readouterr().out


@pytest.mark.parametrize(
    ("behaviour", "may_have_arrived"),
    [("refuse", False), ("close", True), ("reset", True), ("half an answer", True)],
)
def test_only_a_refused_connection_rules_out_arrival(
    behaviour: str, may_have_arrived: bool
) -> None:
    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        if behaviour == "reset":
            connection = writer.get_extra_info("socket")
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        if behaviour == "half an answer":
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf")
            await writer.drain()
        writer.close()

    async def run() -> ApiAnswer | Refused | NoAnswer:
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        if behaviour == "refuse":
            server.close()
            await server.wait_closed()
        try:
            return await _routers._send(f"127.0.0.1:{port}", ApiCall("GET", "/v1/x"))
        finally:
            server.close()

    answer = asyncio.run(run())
    assert isinstance(answer, NoAnswer)
    assert answer.may_have_arrived == may_have_arrived


@pytest.mark.parametrize(
    ("head", "kind"),
    [
        (b"HTTP/1.1 500 X\r\nX-Outcome: answered\r\n", ApiAnswer),
        (b"HTTP/1.1 500 X\r\n", NoAnswer),
        (b"HTTP/1.1 302 X\r\nLocation: http://127.0.0.1:9/\r\n", NoAnswer),
    ],
)
def test_only_an_executors_answer_is_returned_with_an_error_status(head: bytes, kind: type) -> None:
    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(head + b"Content-Length: 4\r\n\r\nbody")
        await writer.drain()
        writer.close()

    async def run() -> ApiAnswer | Refused | NoAnswer:
        async with await asyncio.start_server(serve, "127.0.0.1", 0) as server:
            port = server.sockets[0].getsockname()[1]
            return await _routers._send(f"127.0.0.1:{port}", ApiCall("GET", "/v1/x"))

    assert isinstance(asyncio.run(run()), kind)
