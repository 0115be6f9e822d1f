"""The executor client against a server that fails at each step of an HTTP exchange."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import pytest

from jacinthreel_daemon._executor_client import ExecutorClient
from jacinthreel_requests import AttemptEnded, Dispatch, Lost, NotSent, Refused, WholeAnswer

BODY = b"x" * 300_000
WHOLE = (
    b"HTTP/1.1 200 OK\r\nContent-Type: text/x\r\nContent-Length: 4\r\nX-Busy-Slots: 3\r\n\r\ndone"
)
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n"
NOT_RUN = b"HTTP/1.1 503 Busy\r\nX-Not-Run: true\r\nX-Refusal: %s\r\nX-Busy-Slots: 8\r\n"


@dataclass
class Peer:
    """The server's side of one connection."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    async def read_headers(self) -> None:
        await self.reader.readuntil(b"\r\n\r\n")

    async def read_part_of_body(self) -> None:
        await self.read_headers()
        await self.reader.readexactly(1_000)

    async def read_all(self) -> None:
        await self.read_headers()
        await self.reader.readexactly(len(BODY))

    async def send(self, data: bytes) -> None:
        self.writer.write(data)
        await self.writer.drain()

    def abort(self) -> None:
        self.writer.transport.abort()


Script = Callable[[Peer], Awaitable[None]]


@dataclass
class ScriptedExecutor:
    """A server that runs a script on each connection and then closes the connection."""

    script: Script
    connections: int = 0
    port: int = 0
    _server: asyncio.Server | None = field(default=None)

    async def __aenter__(self) -> ScriptedExecutor:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    async def __aexit__(self, *details: object) -> None:
        assert self._server is not None
        self._server.close()
        await self._server.wait_closed()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        try:
            await self.script(Peer(reader, writer))
        finally:
            writer.close()


def reply_after_reading(data: bytes) -> Script:
    async def script(peer: Peer) -> None:
        await peer.read_all()
        await peer.send(data)

    return script


async def close_after_accept(peer: Peer) -> None:
    peer.abort()


async def abort_after_headers(peer: Peer) -> None:
    await peer.read_headers()
    peer.abort()


async def abort_mid_body(peer: Peer) -> None:
    await peer.read_part_of_body()
    peer.abort()


async def abort_after_run(peer: Peer) -> None:
    await peer.read_all()
    peer.abort()


async def close_after_run(peer: Peer) -> None:
    await peer.read_all()


async def never_reply(peer: Peer) -> None:
    await peer.read_all()
    await peer.reader.read()


async def reply_before_reading(peer: Peer) -> None:
    await peer.send(WHOLE[:-2])
    peer.abort()


CASES: dict[str, tuple[Script, type]] = {
    "closed after accept": (close_after_accept, Lost),
    "aborted after the headers": (abort_after_headers, Lost),
    "aborted in the body": (abort_mid_body, Lost),
    "aborted after the run": (abort_after_run, Lost),
    "closed after the run": (close_after_run, Lost),
    "no reply": (never_reply, Lost),
    "reply cut in its headers": (reply_after_reading(WHOLE[:30]), Lost),
    "reply cut in its body": (reply_after_reading(WHOLE[:-2]), Lost),
    "chunked reply cut short": (reply_after_reading(CHUNKED), Lost),
    "reply cut before the request was read": (reply_before_reading, Lost),
    "reply without a length": (reply_after_reading(b"HTTP/1.1 200 OK\r\n\r\ndo"), Lost),
    "reply that is not HTTP": (reply_after_reading(b"\x00garbage\r\n\r\n"), Lost),
    "error": (reply_after_reading(b"HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n"), Lost),
    "overload by another program": (
        reply_after_reading(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"),
        Lost,
    ),
    "error that claims not to have run": (
        reply_after_reading(b"HTTP/1.1 500 Oops\r\nX-Not-Run: true\r\nContent-Length: 0\r\n\r\n"),
        Lost,
    ),
    "refusal cut short": (
        reply_after_reading(NOT_RUN % b"busy" + b"Content-Length: 9\r\n\r\nno"),
        Lost,
    ),
    "refusal": (reply_after_reading(NOT_RUN % b"busy" + b"Content-Length: 0\r\n\r\n"), Refused),
    "whole answer": (reply_after_reading(WHOLE), WholeAnswer),
    "whole chunked answer": (reply_after_reading(CHUNKED + b"0\r\n\r\n"), WholeAnswer),
    "bad payload": (
        reply_after_reading(b"HTTP/1.1 422 Bad\r\nContent-Length: 3\r\n\r\nbad"),
        WholeAnswer,
    ),
}


async def execute(port: int, remaining_ms: int = 10_000) -> AttemptEnded:
    client = ExecutorClient(connect_timeout_ms=1_000, late_response_grace_ms=100)
    dispatch = Dispatch(7, 1, "x1", "127.0.0.1", port, "labels", "r1", remaining_ms)
    return await client.execute(dispatch, BODY)


@pytest.mark.parametrize("name", CASES)
def test_each_exchange_gives_the_expected_outcome(name: str) -> None:
    script, expected = CASES[name]

    async def scenario() -> None:
        async with ScriptedExecutor(script) as executor:
            remaining_ms = 100 if script is never_reply else 10_000
            ended = await execute(executor.port, remaining_ms)
            assert isinstance(ended.outcome, expected), ended
            assert ended.attempt_id == 7
            if isinstance(ended.outcome, Lost) and script is not never_reply:
                assert "Timeout" not in ended.outcome.detail, "ended only by its timeout"
            assert executor.connections == 1, "the request was sent twice"

    asyncio.run(scenario())


def test_refused_connection_is_reported_as_not_sent() -> None:
    with socket.socket() as unused:
        unused.bind(("127.0.0.1", 0))
        ended = asyncio.run(execute(unused.getsockname()[1]))
    assert isinstance(ended.outcome, NotSent)


def test_executor_closed_before_accept_is_reported_as_lost() -> None:
    """The kernel completes the TCP handshake before `accept`, so bytes have left this host."""

    async def scenario() -> AttemptEnded:
        with socket.socket() as listener:
            listener.bind(("127.0.0.1", 0))
            listener.listen(1)
            attempt = asyncio.ensure_future(execute(listener.getsockname()[1]))
            loop = asyncio.get_running_loop()
            listener.setblocking(False)
            readable = asyncio.Event()
            loop.add_reader(listener.fileno(), readable.set)
            await readable.wait()
            loop.remove_reader(listener.fileno())
            listener.close()
            return await attempt

    assert isinstance(asyncio.run(scenario()).outcome, Lost)


def test_redirects_are_not_followed() -> None:
    async def scenario() -> None:
        async with ScriptedExecutor(reply_after_reading(WHOLE)) as other:
            target = f"Location: http://127.0.0.1:{other.port}/v1/execute\r\n"
            head = f"HTTP/1.1 307 There\r\n{target}Content-Length: 0\r\n\r\n"
            async with ScriptedExecutor(reply_after_reading(head.encode())) as executor:
                ended = await execute(executor.port)
                assert isinstance(ended.outcome, Lost)
                assert (executor.connections, other.connections) == (1, 0)

    asyncio.run(scenario())


def test_replies_report_busy_slots_and_leaving() -> None:
    async def scenario() -> list[AttemptEnded]:
        refusal = NOT_RUN % b"leaving" + b"Content-Length: 0\r\n\r\n"
        ended: list[AttemptEnded] = []
        for reply in (WHOLE, refusal):
            async with ScriptedExecutor(reply_after_reading(reply)) as executor:
                ended.append(await execute(executor.port))
        return ended

    whole, refused = asyncio.run(scenario())
    assert (whole.outcome, whole.busy_slots) == (WholeAnswer(200, "text/x", b"done"), 3)
    assert (refused.outcome, refused.busy_slots) == (Refused(leaving=True), 8)


def test_answer_after_the_deadline_is_still_returned() -> None:
    async def reply_late(peer: Peer) -> None:
        await peer.read_all()
        await asyncio.sleep(0.05)
        await peer.send(WHOLE)

    async def scenario() -> AttemptEnded:
        async with ScriptedExecutor(reply_late) as executor:
            client = ExecutorClient(late_response_grace_ms=10_000)
            dispatch = Dispatch(7, 1, "x1", "127.0.0.1", executor.port, "labels", "r1", 1)
            return await client.execute(dispatch, BODY)

    assert isinstance(asyncio.run(scenario()).outcome, WholeAnswer)
