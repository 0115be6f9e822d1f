"""Tests of the HTTP connection pool."""

from __future__ import annotations

import asyncio
import time

from returns.pipeline import is_successful
from returns.result import Result

from jacinthreel_daemon.plumbing import HttpFailure, HttpPool, HttpReply

REPLY = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"


def test_delay_of_the_event_loop_does_not_fail_a_request_that_was_answered() -> None:
    # Timers that are due run before the replies that arrived meanwhile: all polls failed together.
    async def answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"{}")
        writer.write(REPLY)
        time.sleep(0.4)  # Blocks the event loop beyond the time limit of the request.

    async def run() -> Result[HttpReply, HttpFailure]:
        server = await asyncio.start_server(answer, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        async with server:
            return await HttpPool("127.0.0.1", port, 1_000).post("/x", b"{}", 200)

    assert asyncio.run(run()).unwrap().status == 200


def test_lost_connection_makes_the_other_idle_ones_unused() -> None:
    """A server that was away resets each connection that was open before on its next use."""
    is_away = False

    async def answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connections.append(writer)
        while True:
            await reader.readuntil(b"{}")
            if is_away:
                writer.transport.abort()
                return
            await both_arrived.wait()
            writer.write(REPLY)

    async def run() -> list[Result[HttpReply, HttpFailure]]:
        nonlocal is_away
        server = await asyncio.start_server(answer, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        async with server:
            pool = HttpPool("127.0.0.1", port, 1_000)
            first = asyncio.gather(*(pool.post("/x", b"{}", 1_000) for _ in range(2)))
            while len(connections) < 2:
                await asyncio.sleep(0.01)
            both_arrived.set()
            await first
            is_away = True
            lost = await pool.post("/x", b"{}", 1_000)
            is_away = False
            next_ones = [await pool.post("/x", b"{}", 1_000) for _ in range(2)]
            assert len(connections) == 3, "the second idle connection must not be used again"
            return [lost, *next_ones]

    connections: list[asyncio.StreamWriter] = []
    both_arrived = asyncio.Event()
    lost, *next_ones = asyncio.run(run())
    assert not is_successful(lost)
    assert [outcome.unwrap().status for outcome in next_ones] == [200, 200]
