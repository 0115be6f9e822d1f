"""Tests of the HTTP connection pool."""

from __future__ import annotations

import asyncio
import time
from typing import Any

from returns.result import Result

from jacinthreel_daemon.plumbing import HttpFailure, HttpPool, HttpReply

REPLY = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"


def test_delay_of_the_event_loop_does_not_fail_a_request_that_was_answered() -> None:
    # Timers that are due run before the replies that arrived meanwhile: all polls failed together.
    async def answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"{}")
        writer.write(REPLY)
        time.sleep(0.4)  # Blocks the event loop beyond the time limit of the request.
        writer.close()

    async def run() -> Result[HttpReply, HttpFailure]:
        server = await asyncio.start_server(answer, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        async with server:
            pool = HttpPool("127.0.0.1", port, 1_000)
            reply = await pool.post("/x", b"{}", 200)
            pool.close()
            return reply

    assert asyncio.run(run()).unwrap().status == 200


def test_late_check_leaves_a_timeout_alone_that_ran_out_before_the_request() -> None:
    errors: list[dict[str, Any]] = []
    is_closed = asyncio.Event()

    async def answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.read()
        writer.close()
        await writer.wait_closed()
        is_closed.set()

    def pause() -> bool:
        time.sleep(0.4)  # Beyond the time limit of the request, which has connected by then.
        return True

    async def run() -> Result[HttpReply, HttpFailure]:
        asyncio.get_running_loop().set_exception_handler(lambda _, error: errors.append(error))
        server = await asyncio.start_server(answer, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        async with server:
            pool = HttpPool("127.0.0.1", port, 1_000)
            reply = await pool.post("/x", b"{}", 200, pause)
            pool.close()
            await is_closed.wait()
            return reply

    assert asyncio.run(run()).failure().detail == "timed out while waiting for the reply"
    assert errors == []
