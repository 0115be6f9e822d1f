"""Stream connections on loopback: calls, notices, invalid input and lost connections."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

import msgpack
import pytest
from returns.result import Success
from tornado.iostream import IOStream, StreamClosedError
from tornado.tcpclient import TCPClient
from tornado.testing import bind_unused_port

from jacinthreel_common import (
    MAX_FRAME_BYTES,
    CancelJob,
    Hello,
    InFlight,
    ListJobs,
    ResultCode,
    StreamReply,
)
from jacinthreel_daemon import _stream_hub, _streams
from jacinthreel_daemon._frames import Frame, encode_frame, read_frame
from jacinthreel_daemon._stream_hub import StreamHub

TEST_TIMEOUT_S = 20.0


@dataclass
class ManualClock:
    time_ms: int = 1_000

    def now_ms(self) -> int:
        return self.time_ms

    def unix_ms(self) -> int:
        return 0


class Node:
    """A listening hub, with the log lines that it wrote and the notices that it received."""

    def __init__(self, host_id: str, role: str = "router") -> None:
        self.clock = ManualClock()
        self.logged: list[tuple[str, dict[str, Any]]] = []
        self.notices: list[tuple[str, object]] = []
        hello = Hello(host_id, role, "za")
        log = lambda event, fields: self.logged.append((event, fields))  # noqa: E731
        self.hub = StreamHub(hello, self.clock, random.Random(1), log)
        sock, self.port = bind_unused_port(address="127.0.0.1")
        self.hub._listener.add_sockets([sock])
        self.hub.on_notice(InFlight, lambda peer, n: self.notices.append((peer.host_id, n)))

    def events(self) -> list[str]:
        return [event for event, _ in self.logged]

    async def call(self, other: Node, message: object, timeout_ms: int = 5_000) -> Any:
        return await self.hub.call("127.0.0.1", other.port, message, timeout_ms)


async def wait_until(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(TEST_TIMEOUT_S):
        while not condition():
            await asyncio.sleep(0.005)


def run(test: Callable[[Node, Node], Awaitable[None]]) -> None:
    async def main() -> None:
        a, b = Node("a"), Node("b")
        try:
            await test(a, b)
        finally:
            a.hub.close()
            b.hub.close()
            await asyncio.sleep(0)

    asyncio.run(main())


async def echo(message: CancelJob) -> StreamReply:
    return StreamReply(ResultCode.OK, message.job_id)


def test_concurrent_calls_get_their_own_replies() -> None:
    async def test(a: Node, b: Node) -> None:
        gates = {f"j{n}": asyncio.Event() for n in range(10)}

        async def serve(message: CancelJob) -> StreamReply:
            await gates[message.job_id].wait()
            return await echo(message)

        b.hub.on_call(CancelJob, serve)
        calls = [asyncio.create_task(a.call(b, CancelJob(job_id))) for job_id in gates]
        for gate in reversed(gates.values()):
            gate.set()
            await asyncio.sleep(0.005)
        replies = [(await call).unwrap().detail for call in calls]
        assert replies == list(gates)

    run(test)


def test_late_reply_is_not_delivered_to_another_call() -> None:
    async def test(a: Node, b: Node) -> None:
        gate = asyncio.Event()

        async def serve(message: CancelJob) -> StreamReply:
            if message.job_id == "slow":
                await gate.wait()
            return await echo(message)

        b.hub.on_call(CancelJob, serve)
        timed_out = await a.call(b, CancelJob("slow"), timeout_ms=30)
        assert timed_out.failure().code is ResultCode.PEER_TIMEOUT
        gate.set()
        assert (await a.call(b, CancelJob("next"))).unwrap().detail == "next"

    run(test)


def test_refused_connection_is_not_sent_and_interrupted_call_is_unknown() -> None:
    async def test(a: Node, b: Node) -> None:
        async def serve(message: CancelJob) -> StreamReply:
            b.hub.close()
            return await echo(message)

        b.hub.on_call(CancelJob, serve)
        interrupted = await a.call(b, CancelJob("j"))
        assert interrupted.failure().code is ResultCode.PEER_TIMEOUT
        # Concurrent calls share one connection attempt and fail immediately if it is refused.
        calls = [a.call(b, CancelJob("j"), timeout_ms=600_000) for _ in range(50)]
        refused, *others = await asyncio.gather(*calls)
        assert all(other == refused for other in others)
        assert refused.failure().code is ResultCode.PEER_UNREACHABLE
        name = await a.hub.call("localhost", b.port, CancelJob("j"), 300)
        assert name.failure().code is ResultCode.PEER_UNREACHABLE

    run(test)


def test_failing_handler_and_unserved_call_get_result_codes() -> None:
    async def test(a: Node, b: Node) -> None:
        async def fail(message: object) -> StreamReply:
            raise ValueError("bug")

        b.hub.on_call(CancelJob, fail)
        assert (await a.call(b, CancelJob("j"))).unwrap().code is ResultCode.INTERNAL
        unserved = (await a.call(b, ListJobs())).unwrap()
        assert unserved.code is ResultCode.NO_SUCH_RESOURCE
        b.hub.on_call(ListJobs, lambda m: echo_of_size(MAX_FRAME_BYTES))
        assert (await a.call(b, ListJobs())).unwrap().code is ResultCode.OUT_OF_RANGE
        assert "call_failed" in b.events() and "frame_too_large" in b.events()

    run(test)


async def echo_of_size(size: int) -> StreamReply:
    return StreamReply(ResultCode.OK, "x" * size)


def test_peers_share_one_bidirectional_connection_and_reconnect() -> None:
    async def test(a: Node, b: Node) -> None:
        a.hub.set_peers({("127.0.0.1", b.port)})
        await wait_until(lambda: len(a.hub.connections()) == len(b.hub.connections()) == 1)
        a.hub.notify_all(InFlight({"x1": 1}))
        b.hub.notify_all(InFlight({"x1": 2}))
        await wait_until(lambda: bool(a.notices and b.notices))
        assert (a.notices, b.notices) == (
            [("b", InFlight({"x1": 2}))],
            [("a", InFlight({"x1": 1}))],
        )
        b.hub.connections()[0].close()
        await wait_until(lambda: not a.hub.connections())
        await wait_until(lambda: len(a.hub.connections("router")) == 1)
        a.hub.set_peers(set())
        await wait_until(lambda: not b.hub.connections())

    run(test)


def test_unresponsive_connection_is_closed_and_idle_one_sends_heartbeats() -> None:
    async def test(a: Node, b: Node) -> None:
        a.hub.set_peers({("127.0.0.1", b.port)})
        await wait_until(lambda: len(b.hub.connections()) == 1)
        for _ in range(10):
            for node in (a, b):
                node.clock.time_ms += _streams.HEARTBEAT_MS
                node.hub.check_liveness(node.clock.time_ms)
            await asyncio.sleep(0.01)
        assert len(a.hub.connections()) == len(b.hub.connections()) == 1
        b.clock.time_ms += _streams.IDLE_LIMIT_MS
        b.hub.check_liveness(b.clock.time_ms)
        await wait_until(lambda: "stream_closed" in b.events())

    run(test)


def frame_of(data: object) -> bytes:
    body = msgpack.packb(data)
    return len(body).to_bytes(4, "big") + body


def envelope(kind: str, body: object, version: int = 1) -> bytes:
    return frame_of({"version": version, "kind": kind, "call_id": 1, "body": body})


HELLO = encode_frame(Hello("z", "router", "za"), 0)
INVALID_INPUTS = {
    "garbage": (b"\x00\x00\x00\x05hello", ResultCode.BAD_FRAME),
    "an HTTP request": (b"GET / HTTP/1.1\r\n\r\n", ResultCode.BAD_FRAME),
    "oversize": ((MAX_FRAME_BYTES + 1).to_bytes(4, "big"), ResultCode.BAD_FRAME),
    "not a mapping": (frame_of([1]), ResultCode.BAD_FRAME),
    "another version": (envelope("Hello", {}, version=2), ResultCode.UNKNOWN_VERSION),
    "an unknown kind": (envelope("Shutdown", {}), ResultCode.BAD_FRAME),
    "an unknown field": (envelope("CancelJob", {"job_id": "j", "x": 1}), ResultCode.BAD_FRAME),
    "a wrong type": (envelope("CancelJob", {"job_id": 5}), ResultCode.BAD_FRAME),
    "deep nesting": (b"\x00\x00\x10\x00" + b"\x91" * 4096, ResultCode.BAD_FRAME),
}


async def read_to_end(stream: IOStream) -> list[Any]:
    messages: list[Any] = []
    try:
        async with asyncio.timeout(TEST_TIMEOUT_S):
            while True:
                match await read_frame(stream):
                    case Success(Frame(message=message)):
                        messages.append(message)
    except StreamClosedError:
        return messages


@pytest.mark.parametrize("name", INVALID_INPUTS)
@pytest.mark.parametrize("after_hello", [False, True])
def test_invalid_input_is_answered_logged_and_closes_only_its_connection(
    name: str, after_hello: bool
) -> None:
    async def test(a: Node, b: Node) -> None:
        b.hub.on_call(CancelJob, echo)
        assert (await a.call(b, CancelJob("before"))).unwrap().code is ResultCode.OK
        data, code = INVALID_INPUTS[name]
        stream = await TCPClient().connect("127.0.0.1", b.port)
        await stream.write((HELLO if after_hello else b"") + data)
        messages = await read_to_end(stream)
        assert isinstance(messages[0], Hello)
        assert messages[-1].code is code
        assert "bad_frame" in b.events()
        assert (await a.call(b, CancelJob("after"))).unwrap().detail == "after"
        assert len(b.hub.connections()) == 1

    run(test)


def test_a_peer_that_sends_nothing_is_closed(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(_streams, "HELLO_TIMEOUT_MS", 50)

    async def test(a: Node, b: Node) -> None:
        stream = await TCPClient().connect("127.0.0.1", b.port)
        assert [type(m) for m in await read_to_end(stream)] == [Hello]
        assert b.logged[0][0] == "stream_closed"

    run(test)


def test_a_peer_that_reads_nothing_is_closed(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(_stream_hub, "MAX_BACKLOG_BYTES", 1_000_000)

    async def test(a: Node, b: Node) -> None:
        stream = await TCPClient().connect("127.0.0.1", b.port)
        await stream.write(HELLO)
        await wait_until(lambda: len(b.hub.connections()) == 1)
        big = InFlight({f"x{n:06d}": n for n in range(20_000)})
        for _ in range(200):
            b.hub.notify_all(big)
        await wait_until(lambda: not b.hub.connections())
        assert ("stream_closed", {"peer": "z", "reason": "the peer reads too slowly"}) in b.logged
        stream.close()

    run(test)


def test_too_many_calls_on_a_connection_are_refused() -> None:
    async def test(a: Node, b: Node) -> None:
        gate = asyncio.Event()

        async def serve(message: CancelJob) -> StreamReply:
            await gate.wait()
            return await echo(message)

        b.hub.on_call(CancelJob, serve)
        count = _streams.MAX_CALLS_PER_CONNECTION
        calls = [asyncio.create_task(a.call(b, CancelJob("j"))) for _ in range(count)]
        await asyncio.sleep(0)
        await wait_until(lambda: any(len(c._call_tasks) == count for c in b.hub._accepted))
        refused = (await a.call(b, CancelJob("j"))).unwrap()
        assert refused.code is ResultCode.OVERLOADED and refused.retry_after_ms
        gate.set()
        codes = [(await call).unwrap().code for call in calls]
        assert set(codes) == {ResultCode.OK}

    run(test)
