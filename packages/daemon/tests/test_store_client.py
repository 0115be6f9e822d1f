"""The table client against a scripted server: result codes, row budget, circuit breaker."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import pytest
from returns.pipeline import is_successful
from tornado.iostream import IOStream
from tornado.tcpserver import TCPServer
from tornado.testing import bind_unused_port

from jacinthreel_common import ReadQuery, ResultCode, RowWrite, Transaction
from jacinthreel_daemon import _store_client
from jacinthreel_daemon._budget import LEASE_PRIORITY, Admission, CircuitBreaker, RowBudget
from jacinthreel_daemon._http_pool import HttpPool
from jacinthreel_daemon._store_client import READ_PRIORITY, StoreClient
from jacinthreel_daemon._telemetry import MetricsRegistry

WRITE = Transaction("w", [], [RowWrite("a", 1)])
OK_BODY = b'{"committed": true, "versions": {"a": 1}}'
Script = Callable[[IOStream], Awaitable[None]]


@dataclass
class ManualClock:
    time_ms: int = 1_000

    def now_ms(self) -> int:
        return self.time_ms

    def unix_ms(self) -> int:
        return 0


class ScriptedServer(TCPServer):
    """Reads each request, runs the next script, and counts requests and connections."""

    def __init__(self, *scripts: Script) -> None:
        super().__init__()
        self.scripts = list(scripts)
        self.requests = 0
        self.connections = 0
        sock, self.port = bind_unused_port(address="127.0.0.1")
        self.add_sockets([sock])

    async def handle_stream(self, stream: IOStream, address: object) -> None:
        self.connections += 1
        while not stream.closed():
            try:
                head = (await stream.read_until(b"\r\n\r\n")).lower()
                length = head.split(b"content-length: ")[1].split(b"\r\n")[0]
                await stream.read_bytes(int(length))
                self.requests += 1
                await self.scripts.pop(0)(stream)
            except Exception:
                stream.close()


def reply_with(status: int, body: bytes, cut: int = 0) -> Script:
    """Returns a script that replies; if `cut` is not 0, it closes before the last `cut` bytes."""

    async def run(stream: IOStream) -> None:
        head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n\r\n".encode()
        await stream.write((head + body)[: -cut or None])
        if cut:
            stream.close()

    return run


async def close_connection(stream: IOStream) -> None:
    stream.close()


async def hang(stream: IOStream) -> None:
    await asyncio.sleep(30)


def make_client(port: int, clock: ManualClock | None = None) -> StoreClient:
    clock = clock or ManualClock()
    rng = random.Random(1)
    pool = HttpPool("127.0.0.1", port, 1_000)
    metrics = MetricsRegistry()
    return StoreClient(pool, clock, RowBudget(100, clock), RowBudget(100, clock), metrics, rng)


async def code_of_write(*scripts: Script) -> ResultCode:
    server = ScriptedServer(*scripts)
    result = await make_client(server.port).transact(WRITE, 0)
    server.stop()
    assert server.requests == 1, "a transaction has to be sent once"
    return ResultCode.OK if is_successful(result) else result.failure().code


@pytest.mark.parametrize(
    ("script", "code"),
    [
        (reply_with(200, OK_BODY), ResultCode.OK),
        (reply_with(409, b'{"committed": false, "versions": {"a": 7}}'), ResultCode.OK),
        (reply_with(503, b""), ResultCode.STORE_UNAVAILABLE),
        (reply_with(400, b""), ResultCode.STORE_UNAVAILABLE),
        (reply_with(500, b""), ResultCode.STORE_OUTCOME_UNKNOWN),
        (reply_with(200, b"{}"), ResultCode.STORE_OUTCOME_UNKNOWN),
        (reply_with(200, OK_BODY, cut=1), ResultCode.STORE_OUTCOME_UNKNOWN),
        (reply_with(200, OK_BODY, cut=len(OK_BODY) + 9), ResultCode.STORE_OUTCOME_UNKNOWN),
        (close_connection, ResultCode.STORE_OUTCOME_UNKNOWN),
        (hang, ResultCode.STORE_OUTCOME_UNKNOWN),
    ],
)
def test_outcome_of_a_write(
    script: Script, code: ResultCode, monkeypatch: pytest.MonkeyPatch
) -> None:
    if script is hang:
        monkeypatch.setattr(_store_client, "STORE_TIMEOUT_MS", 50)
    assert asyncio.run(code_of_write(script)) is code


def test_refused_connection_is_unavailable_and_not_unknown() -> None:
    async def run() -> ResultCode:
        sock, port = bind_unused_port(address="127.0.0.1")
        sock.close()
        return (await make_client(port).transact(WRITE, 0)).failure().code

    assert asyncio.run(run()) is ResultCode.STORE_UNAVAILABLE


def test_connections_are_reused_and_a_closed_one_is_replaced() -> None:
    async def run() -> tuple[int, int]:
        server = ScriptedServer(*[reply_with(200, OK_BODY)] * 4)
        client = make_client(server.port)
        for _ in range(3):
            assert is_successful(await client.transact(WRITE, 0))
        connections_before = server.connections
        client._pool._idle[0].close()
        assert is_successful(await client.transact(WRITE, 0))
        server.stop()
        return connections_before, server.connections

    assert asyncio.run(run()) == (1, 2)


def test_outage_opens_the_circuit_and_is_probed_by_one_operation_at_a_time() -> None:
    async def run() -> None:
        clock = ManualClock()
        server = ScriptedServer(*[reply_with(503, b"")] * 3, reply_with(200, OK_BODY))
        client = make_client(server.port, clock)
        for _ in range(20):
            assert not is_successful(await client.transact(WRITE, 0))
        assert server.requests == 2 and client.is_unavailable
        clock.time_ms += 60_000
        waiting = [client.transact(WRITE, 0) for _ in range(20)]
        faults = [result.failure() for result in await asyncio.gather(*waiting)]
        assert server.requests == 3
        assert all(fault.retry_after_ms for fault in faults)
        clock.time_ms += 60_000
        assert is_successful(await client.transact(WRITE, 0))
        assert not client.is_unavailable
        server.stop()

    asyncio.run(run())


def test_lease_writes_are_sent_while_the_circuit_is_open() -> None:
    """An owner that waited for a probe had no lease for up to 3 s after the store's return."""

    async def run() -> None:
        server = ScriptedServer(*[reply_with(503, b"")] * 3, reply_with(200, OK_BODY))
        client = make_client(server.port, ManualClock())
        for _ in range(3):
            assert not is_successful(await client.transact(WRITE, LEASE_PRIORITY))
        assert server.requests == 3 and client.is_unavailable
        assert is_successful(await client.transact(WRITE, LEASE_PRIORITY))
        assert not client.is_unavailable
        server.stop()

    asyncio.run(run())


def test_rejected_request_does_not_open_the_circuit() -> None:
    async def run() -> None:
        server = ScriptedServer(*[reply_with(400, b"")] * 5)
        client = make_client(server.port)
        for _ in range(5):
            fault = (await client.transact(WRITE, 0)).failure()
            assert fault.code is ResultCode.STORE_UNAVAILABLE
        assert server.requests == 5 and not client.is_unavailable
        server.stop()

    asyncio.run(run())


def test_probe_of_a_circuit_is_released_only_by_its_holder() -> None:
    clock = ManualClock()
    circuit = CircuitBreaker(clock, random.Random(1))
    early = circuit.admit(READ_PRIORITY)
    circuit.record_failure()
    circuit.record_failure()
    clock.time_ms += 60_000
    assert circuit.admit(READ_PRIORITY) is Admission.PROBE
    circuit.finish_operation(early)
    assert circuit.admit(READ_PRIORITY) is Admission.REFUSED
    circuit.finish_operation(Admission.PROBE)
    assert circuit.admit(READ_PRIORITY) is Admission.PROBE


def test_budget_serves_by_priority_and_lease_renewals_never_wait() -> None:
    async def run() -> None:
        clock = ManualClock()
        budget = RowBudget(10, clock)
        assert await budget.acquire(10, 2)
        order: list[str] = []

        async def acquire_and_record(name: str, priority: int) -> None:
            assert await budget.acquire(1, priority)
            order.append(name)

        tasks = [asyncio.create_task(acquire_and_record("bookkeeping", 2)) for _ in range(2)]
        tasks.append(asyncio.create_task(acquire_and_record("start", 0)))
        await asyncio.sleep(0)
        assert await budget.acquire(1, -1), "a lease renewal"
        assert order == []
        clock.time_ms += 400
        await asyncio.gather(*tasks)
        assert order == ["start", "bookkeeping", "bookkeeping"]
        clock.time_ms += 100_000
        assert await budget.acquire(10, 2)
        late = asyncio.create_task(budget.acquire(1, 2))
        await asyncio.sleep(0)
        clock.time_ms += 5_000
        budget._tokens, budget._filled_ms = -10.0, clock.time_ms
        assert await late is False, "a caller that waits too long gets False"

    asyncio.run(run())


def test_rows_returned_by_a_read_are_charged_up_to_a_limit() -> None:
    async def run() -> None:
        clock = ManualClock()
        rows = b", ".join(
            b'{"key": "k%d", "version": 1, "write_id": "", "value": 1}' % n for n in range(999)
        )
        server = ScriptedServer(reply_with(200, b'{"rows": [' + rows + b"]}"))
        client = make_client(server.port, clock)
        assert is_successful(await client.read(ReadQuery(prefixes=["k"])))
        assert client._read_budget._tokens == -100
        server.stop()

    asyncio.run(run())
