"""The streams of a process: its listener, its links to peers, and calls to any address.

A `PeerLink` reconnects until it is closed, with backoff and jitter between attempts.  A call on a
link that is not connected requests an immediate attempt, and fails with PEER_UNREACHABLE if that
attempt fails or takes longer than `CONNECT_TIMEOUT_MS`.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from typing import Any, Final

from returns.result import Failure, Result
from tornado.iostream import StreamClosedError

from jacinthreel_common import Fault, Hello, ResultCode, StreamReply
from jacinthreel_daemon._backoff import Backoff
from jacinthreel_daemon._dial import dial
from jacinthreel_daemon._frames import encode_frame
from jacinthreel_daemon._intake import Intake, IntakeLimits, IntakeStream, Listener
from jacinthreel_daemon._ports import CallHandler, Clock
from jacinthreel_daemon._streams import (
    MAX_BACKLOG_BYTES,
    NoticeHandler,
    StreamConnection,
    StreamHandlers,
    StreamLog,
)
from jacinthreel_daemon._telemetry import MetricsRegistry

CONNECT_TIMEOUT_MS: Final = 1_000
RECONNECT_BASE_MS: Final = 100
RECONNECT_CAP_MS: Final = 3_000
MIN_RECONNECT_DELAY_MS: Final = 50  # Limits the rate of attempts that calls request.
UNREACHABLE_RETRY_AFTER_MS: Final = 1_000
UNUSED_LINK_TIMEOUT_MS: Final = 60_000
DEFAULT_LIMITS: Final = IntakeLimits(32_000_000, 1_024)

Address = tuple[str, int]


class PeerLink:
    """A connection that this process opens to one address and reopens when it is lost."""

    def __init__(
        self,
        address: Address,
        connect: Callable[[Address], Any],
        on_open: Callable[[StreamConnection], None],
        rng: random.Random,
    ) -> None:
        self._address = address
        self._connect = connect
        self._on_open = on_open
        self._backoff = Backoff(rng, RECONNECT_BASE_MS, RECONNECT_CAP_MS)
        self._connect_requested = asyncio.Event()
        self._waiters: list[asyncio.Future[StreamConnection | None]] = []
        self.connection: StreamConnection | None = None
        self._task = asyncio.create_task(self._run())

    async def wait_open(self, timeout_ms: int) -> StreamConnection | None:
        """Returns the open connection, or None if an attempt fails or the timeout expires."""
        if self.connection is not None:
            return self.connection
        waiter: asyncio.Future[StreamConnection | None] = asyncio.Future()
        self._waiters.append(waiter)
        self._connect_requested.set()
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                return await waiter
        except TimeoutError:
            return None

    def close(self) -> None:
        """Closes the connection and stops reconnecting."""
        self._task.cancel()
        if self.connection is not None:
            self.connection.close()

    async def _run(self) -> None:
        while True:
            waiters, self._waiters = self._waiters, []
            connection = await self._connect(self._address)
            if connection is None:
                _resolve_waiters(waiters, None)
                await self._wait_to_reconnect()
                continue
            self.connection = connection
            _resolve_waiters(waiters + self._waiters, connection)
            self._waiters = []
            self._backoff.reset()
            self._on_open(connection)
            try:
                await connection.serve()
            finally:
                self.connection = None
            await self._wait_to_reconnect()

    async def _wait_to_reconnect(self) -> None:
        await asyncio.sleep(MIN_RECONNECT_DELAY_MS / 1000)
        if not self._waiters:
            self._connect_requested.clear()
        try:
            async with asyncio.timeout(self._backoff.next_ms() / 1000):
                await self._connect_requested.wait()
        except TimeoutError:
            return


def _resolve_waiters(
    waiters: list[asyncio.Future[StreamConnection | None]], connection: StreamConnection | None
) -> None:
    for waiter in waiters:
        if not waiter.done():
            waiter.set_result(connection)


class StreamHub:
    """All streams of a process; implements `PeerStreams`.

    `limits` bound what the accepted connections hold.
    """

    def __init__(
        self,
        hello: Hello,
        clock: Clock,
        rng: random.Random,
        log: StreamLog,
        limits: IntakeLimits = DEFAULT_LIMITS,
        metrics: MetricsRegistry | None = None,
    ) -> None:
        self._hello = hello
        self._clock = clock
        self._rng = rng
        self._handlers = StreamHandlers({}, {}, log)
        self._intake = Intake(
            "streams", limits, metrics or MetricsRegistry(), log, keeps_served=True
        )
        self._listener = Listener(self._intake, MAX_BACKLOG_BYTES, self._accept)
        self._accept_tasks: set[asyncio.Task[None]] = set()
        self._links_by_address: dict[Address, PeerLink] = {}
        self._peer_addresses: set[Address] = set()
        self._last_call_ms_by_address: dict[Address, int] = {}
        self._accepted: set[StreamConnection] = set()
        self._on_open: Callable[[StreamConnection], None] = lambda connection: None

    def on_call(self, kind: type, handler: CallHandler) -> None:
        """Registers the handler for calls of one message type."""
        self._handlers.call_handlers_by_type[kind] = handler

    def on_notice(self, kind: type, handler: NoticeHandler) -> None:
        """Registers the handler for notices of one message type."""
        self._handlers.notice_handlers_by_type[kind] = handler

    def on_open(self, callback: Callable[[StreamConnection], None]) -> None:
        """Registers the callback for each new connection, whichever side opened it."""
        self._on_open = callback

    def listen(self, address: str, port: int) -> None:
        """Starts accepting connections."""
        self._listener.listen(address, port)

    def stop_listening(self) -> None:
        """Stops accepting connections; open ones remain."""
        self._listener.stop()

    def set_peers(self, peers: set[Address]) -> None:
        """Keeps links to exactly these addresses, plus those that recent calls used."""
        self._peer_addresses = peers
        for address in peers:
            self._get_link(address)
        for address in list(self._links_by_address):
            if address not in peers and address not in self._last_call_ms_by_address:
                self._links_by_address.pop(address).close()

    async def call(
        self, address: str, port: int, message: object, timeout_ms: int
    ) -> Result[StreamReply, Fault]:
        """Calls a peer and waits for its reply.

        Errors: PEER_UNREACHABLE (nothing was sent), PEER_TIMEOUT (outcome unknown).
        """
        started_ms = self._clock.now_ms()
        self._last_call_ms_by_address[(address, port)] = started_ms
        link = self._get_link((address, port))
        connection = await link.wait_open(min(timeout_ms, CONNECT_TIMEOUT_MS))
        if connection is None:
            detail = f"no connection to {address} port {port}"
            return Failure(Fault(ResultCode.PEER_UNREACHABLE, detail, UNREACHABLE_RETRY_AFTER_MS))
        remaining_ms = max(1, timeout_ms - (self._clock.now_ms() - started_ms))
        return await connection.call(message, remaining_ms)

    def is_connected(self, address: str, port: int) -> bool:
        """Whether this process has opened a connection to a peer and it is still open."""
        link = self._links_by_address.get((address, port))
        return link is not None and link.connection is not None and link.connection.is_open

    def notify(self, address: str, port: int, message: object) -> bool:
        """Sends a notice to a peer if it is connected; returns whether it is."""
        link = self._links_by_address.get((address, port))
        if link is None or link.connection is None or not link.connection.is_open:
            return False
        link.connection.notify(message)
        return True

    def notify_all(self, message: object) -> None:
        """Sends a notice to every connected peer; does not block."""
        connections = self.connections()
        if not connections:
            return
        frame = encode_frame(message, 0)  # Once for all peers: an owner has hundreds.
        for connection in connections:
            connection.notify_frame(message, frame)

    def connections(self, role: str = "") -> list[StreamConnection]:
        """Returns one open connection per peer process, whichever side opened it.

        With `role`, only connections to processes of that role.
        """
        connections_by_process: dict[tuple[str, str], StreamConnection] = {}
        opened = [link.connection for link in self._links_by_address.values()]
        for connection in (*opened, *self._accepted):
            if connection is None or not connection.is_open or connection.peer is None:
                continue
            if role and connection.peer.role != role:
                continue
            connections_by_process.setdefault(
                (connection.peer.host_id, connection.peer.role), connection
            )
        return list(connections_by_process.values())

    def open_connections(self, role: str) -> list[StreamConnection]:
        """Returns all open connections to processes of a role, several of one peer included."""
        opened = [link.connection for link in self._links_by_address.values()]
        connections: list[StreamConnection] = []
        for connection in (*opened, *self._accepted):
            if connection is None or not connection.is_open or connection.peer is None:
                continue
            if connection.peer.role == role:
                connections.append(connection)
        return connections

    def notify_peer(self, peer: Hello, message: object) -> None:
        """Sends a notice on the connection on which `peer` was received, if it is open."""
        for connection in self.open_connections(peer.role):
            if connection.peer is peer:
                connection.notify(message)
                return

    def accepted_peers(self) -> set[tuple[str, str]]:
        """Returns host id and role of each process that has connected to this one."""
        peers = [connection.peer for connection in self._accepted if connection.is_open]
        return {(peer.host_id, peer.role) for peer in peers if peer is not None}

    def check_liveness(self, now_ms: int) -> None:
        """Checks all connections and closes unused links; called about once a second."""
        for connection in list(self._accepted):
            connection.check_liveness(now_ms)
        for address, link in list(self._links_by_address.items()):
            if link.connection is not None:
                link.connection.check_liveness(now_ms)
            last_call_ms = self._last_call_ms_by_address.get(address, now_ms)
            if now_ms - last_call_ms > UNUSED_LINK_TIMEOUT_MS:
                del self._last_call_ms_by_address[address]
                if address not in self._peer_addresses:
                    self._links_by_address.pop(address).close()

    def close(self) -> None:
        """Closes the listener and all connections."""
        self._listener.stop()
        for link in self._links_by_address.values():
            link.close()
        for connection in list(self._accepted):
            connection.close()

    def _get_link(self, address: Address) -> PeerLink:
        link = self._links_by_address.get(address)
        if link is None:
            link = PeerLink(address, self._connect, self._on_link_open, self._rng)
            self._links_by_address[address] = link
        return link

    def _on_link_open(self, connection: StreamConnection) -> None:
        self._on_open(connection)

    async def _connect(self, address: Address) -> StreamConnection | None:
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_MS / 1000):
                stream = await dial(*address, MAX_BACKLOG_BYTES)
        except (OSError, StreamClosedError):
            return None
        stream.max_write_buffer_size = MAX_BACKLOG_BYTES
        connection = StreamConnection(stream, self._hello, self._handlers, self._clock)
        return connection if await connection.exchange_hello() else None

    def _accept(self, stream: IntakeStream, address: Any) -> None:
        task = asyncio.get_running_loop().create_task(self._serve_accepted(stream))
        self._accept_tasks.add(task)
        task.add_done_callback(self._accept_tasks.discard)

    async def _serve_accepted(self, stream: IntakeStream) -> None:
        stream.max_write_buffer_size = MAX_BACKLOG_BYTES
        connection = StreamConnection(stream, self._hello, self._handlers, self._clock)
        self._accepted.add(connection)
        try:
            if await connection.exchange_hello():
                stream.has_been_served = True
                self._on_open(connection)
                await connection.serve()
        finally:
            connection.close()
            self._accepted.discard(connection)
