"""Bounds what accepted connections hold: received bytes and descriptors.

An `Intake` covers a group of ports.  Its connections together hold at most `max_bytes` that were
received and not yet served, and there are at most `max_connections` of them.  Above a limit, the
connections that cost most and are not being served are closed.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from heapq import nsmallest
from typing import Any, Final

from tornado.iostream import IOStream
from tornado.log import app_log
from tornado.netutil import bind_sockets

from jacinthreel_daemon._context import LogFunction
from jacinthreel_daemon._telemetry import MetricsRegistry

READ_CHUNK_BYTES: Final = 16 * 1024
CHUNKED_READ_BYTES: Final = 4 * 1024
CHUNKS_PER_TURN: Final = 32  # A chunk of a few bytes takes about as long as one of kilobytes.
KERNEL_BUFFER_BYTES: Final = 32 * 1024  # For each direction of a connection.
MIN_AGE_S: Final = 0.001
SPARE_SHARE: Final = 8  # A share of 1/8 of the bytes is made free at a time.
CLOSED_SHARE: Final = 64  # A share of 1/64 of the connections is closed at a time.
LOG_PERIOD_S: Final = 1.0
MAX_ACCEPTS: Final = 128  # In one iteration of the event loop.
ACCEPT_PAUSE_S: Final = 0.1
ANSWER_TIMEOUT_S: Final = 10.0
ANSWER_CHECK_PERIOD_S: Final = 1.0


@dataclass(frozen=True, slots=True)
class IntakeLimits:
    """The most that the connections of a group of ports may hold."""

    max_bytes: int
    max_connections: int


class IntakeStream(IOStream):
    """An accepted connection.

    `kept_bytes` is what its reader holds of an unfinished message besides the read buffer.
    `is_served` is true from the end of a message until its answer is written, and `is_answered`
    while that answer is being written.  With `is_chunked` it reads in turn with others, and uses up
    what it has read in turn with them, because small chunks take much processor time.  `refuse`, if
    set, answers a client before the close.
    """

    def __init__(self, connection: socket.socket, intake: Intake, max_buffer_bytes: int) -> None:
        super().__init__(
            connection, max_buffer_size=max_buffer_bytes, read_chunk_size=READ_CHUNK_BYTES
        )
        self._intake = intake
        self.kept_bytes = 0
        self.is_served = False
        self.is_answered = False
        self.is_chunked = False
        self._chunk_count = 0
        self.has_been_served = False
        self.refuse: Callable[[], None] | None = None
        self.since_s = intake.now_s()

    @property
    def held_bytes(self) -> int:
        """The bytes that were received and not served."""
        return self._read_buffer_size + self.kept_bytes

    def begin_message(self) -> None:
        """Marks the connection as waiting for a message."""
        self.is_served = self.is_answered = self.is_chunked = False
        self.refuse = None
        self.kept_bytes = 0
        self.since_s = self._intake.now_s()

    def end_message(self) -> None:
        """Marks the message as whole: the connection is not closed while it is served."""
        self.is_served = self.has_been_served = True
        self.refuse = None

    def begin_answer(self) -> None:
        """Marks the answer as written to the stream, which the client may not read."""
        self.is_answered = True
        self.since_s = self._intake.now_s()

    def drop(self) -> None:
        """Closes the connection, after a refusal if its request has begun, and frees its bytes."""
        if self.refuse is not None:
            refuse, self.refuse = self.refuse, None
            refuse()
        self.close()
        # Reference cycles keep the stream until the next garbage collection.
        self._read_buffer = bytearray()
        self._read_buffer_size = 0
        self.kept_bytes = 0

    def read_until(self, delimiter: bytes, max_bytes: int | None = None) -> Awaitable[bytes]:
        """Reads the size of a chunk, after some chunks once it is this connection's turn.

        Other reads than those of chunk sizes are not delayed; see `BaseIOStream.read_until`.
        """
        future = super().read_until(delimiter, max_bytes)
        if not self.is_chunked:
            return future
        self._chunk_count += 1
        if self._chunk_count % CHUNKS_PER_TURN:
            return future
        return asyncio.ensure_future(self._intake.after_turn(future))

    def read_from_fd(self, buf: bytearray | memoryview) -> int | None:
        """Reads from the socket and counts the bytes; see `BaseIOStream.read_from_fd`."""
        if not self.held_bytes:
            self.since_s = self._intake.now_s()
        if self.is_chunked:
            if not self._intake.take_chunked_read():
                return None
            buf = memoryview(buf)[:CHUNKED_READ_BYTES]
        count = super().read_from_fd(buf)
        if count:
            self._intake.add_bytes(self, count)
        return count

    def close_fd(self) -> None:
        """Closes the socket; see `BaseIOStream.close_fd`."""
        self._intake.remove(self)
        super().close_fd()


class Intake:
    """The accepted connections of a group of ports.

    With `keeps_served`, connections that have sent a whole message are not closed for new ones.
    """

    def __init__(
        self,
        name: str,
        limits: IntakeLimits,
        metrics: MetricsRegistry,
        log: LogFunction,
        keeps_served: bool = False,
    ) -> None:
        self._name = name
        self._limits = limits
        self._metrics = metrics
        self._keeps_served = keeps_served
        self._log = log
        self._streams: set[IntakeStream] = set()
        self._counted_bytes = 0
        self._has_read_chunks = False
        self._turn = asyncio.Lock()
        self._closed_by_reason: dict[str, int] = {}
        self._logged_s = 0.0

    @property
    def max_message_bytes(self) -> int:
        """The largest message that a connection may hold, so that one alone always fits."""
        return self._limits.max_bytes // 2

    @property
    def connection_count(self) -> int:
        """The number of open connections."""
        return len(self._streams)

    @staticmethod
    def now_s() -> float:
        """The time of the event loop."""
        return asyncio.get_running_loop().time()

    def accept(self, connection: socket.socket, max_buffer_bytes: int) -> IntakeStream | None:
        """Returns the stream of a new connection; closes it if there is no room for it."""
        if len(self._streams) >= self._limits.max_connections:
            self.make_room("too many connections")
        if len(self._streams) >= self._limits.max_connections:
            connection.close()
            self._report("all connections are being served", 1)
            return None
        stream = IntakeStream(connection, self, max_buffer_bytes)
        self._streams.add(stream)
        return stream

    def remove(self, stream: IntakeStream) -> None:
        """Forgets a connection that is being closed."""
        self._streams.discard(stream)

    def add_bytes(self, reader: IntakeStream, count: int) -> None:
        """Counts received bytes; above the limit, closes other connections than the reader's."""
        self._counted_bytes += count
        if self._counted_bytes <= self._limits.max_bytes:
            return
        self._counted_bytes = sum(stream.held_bytes for stream in self._streams) + count
        spared_bytes = self._limits.max_bytes - self._limits.max_bytes // SPARE_SHARE
        if self._counted_bytes > spared_bytes:
            self._close_largest(reader, spared_bytes)

    async def take_turn(self) -> None:
        """Waits until this is the only caller in an iteration of the event loop."""
        async with self._turn:
            await asyncio.sleep(0)

    async def after_turn(self, data: Awaitable[bytes]) -> bytes:
        """Returns the data once it is the caller's turn."""
        await self.take_turn()
        return await data

    def take_chunked_read(self) -> bool:
        """Whether a chunked body may be read now: one of all in an iteration of the event loop."""
        if self._has_read_chunks:
            return False
        self._has_read_chunks = True
        asyncio.get_running_loop().call_soon(self._end_iteration)
        return True

    def _end_iteration(self) -> None:
        self._has_read_chunks = False

    def close_unread(self) -> None:
        """Closes connections whose answer has not been read for `ANSWER_TIMEOUT_S`."""
        before_s = self.now_s() - ANSWER_TIMEOUT_S
        unread = [item for item in self._streams if item.is_answered and item.since_s < before_s]
        for stream in unread:
            stream.drop()
        self._report("the answer was not read", len(unread))

    def _close_largest(self, reader: IntakeStream, spared_bytes: int) -> None:
        """Closes unfinished messages, those with most bytes for the longest time first."""
        now_s = self.now_s()
        unfinished = [
            stream
            for stream in self._streams
            if stream is not reader and not stream.is_served and stream.held_bytes
        ]
        unfinished.sort(
            key=lambda item: item.held_bytes * max(MIN_AGE_S, now_s - item.since_s), reverse=True
        )
        closed = 0
        for stream in unfinished:
            if self._counted_bytes <= spared_bytes:
                break
            self._counted_bytes -= stream.held_bytes
            stream.drop()
            closed += 1
        self._report("too many bytes are received and not served", closed)

    def make_room(self, reason: str) -> None:
        """Closes connections that are not being served: those without any request first."""
        waiting = [item for item in self._streams if self._is_waiting(item)]
        count = max(1, self._limits.max_connections // CLOSED_SHARE)
        oldest = nsmallest(count, waiting, key=lambda item: (item.has_been_served, item.since_s))
        for stream in oldest:
            stream.drop()
        self._report(reason, len(oldest))

    def _is_waiting(self, stream: IntakeStream) -> bool:
        if stream.has_been_served and self._keeps_served:
            return False
        return stream.is_answered or not stream.is_served

    def _report(self, reason: str, count: int) -> None:
        """Counts closed connections, and logs them at most once in `LOG_PERIOD_S`."""
        if not count:
            return
        self._metrics.count(f'connections_refused_total{{ports="{self._name}"}}', count)
        self._closed_by_reason[reason] = self._closed_by_reason.get(reason, 0) + count
        if self.now_s() - self._logged_s < LOG_PERIOD_S:
            return
        self._logged_s = self.now_s()
        self._log(
            "connections_refused",
            {
                "ports": self._name,
                "closed_by_reason": self._closed_by_reason,
                "connections": len(self._streams),
                "counted_bytes": self._counted_bytes,
            },
        )
        self._closed_by_reason = {}


class Listener:
    """Accepts the connections of one address for an intake."""

    def __init__(
        self, intake: Intake, max_buffer_bytes: int, serve: Callable[[IntakeStream, Any], None]
    ) -> None:
        self._intake = intake
        self._max_buffer_bytes = max_buffer_bytes
        self._serve = serve
        self._sockets: list[socket.socket] = []
        self._check: asyncio.TimerHandle | None = None

    def listen(self, address: str, port: int) -> None:
        """Starts to accept connections."""
        self.add_sockets(bind_sockets(port, address))

    def add_sockets(self, sockets: list[socket.socket]) -> None:
        """Starts to accept connections on non-blocking sockets that listen."""
        for item in sockets:
            # Accepted connections inherit these.
            item.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, KERNEL_BUFFER_BYTES)
            item.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, KERNEL_BUFFER_BYTES)
            self._sockets.append(item)
            self._watch(item)
        if self._check is None:
            self._check_answers()

    def stop(self) -> None:
        """Stops to accept connections; open ones remain."""
        if self._check is not None:
            self._check.cancel()
        for item in self._sockets:
            asyncio.get_running_loop().remove_reader(item)
            item.close()
        self._sockets.clear()

    def _watch(self, item: socket.socket) -> None:
        if item in self._sockets:
            asyncio.get_running_loop().add_reader(item, self._accept_all, item)

    def _accept_all(self, item: socket.socket) -> None:
        """Accepts the connections that wait, up to a number, so that others are served between."""
        for _ in range(MAX_ACCEPTS):
            try:
                connection, address = item.accept()
            except (BlockingIOError, ConnectionAbortedError):
                return
            except OSError as error:  # Mostly, no descriptor is free.
                self._intake.make_room(f"accept failed: {error}")
                loop = asyncio.get_running_loop()
                loop.remove_reader(item)
                loop.call_later(ACCEPT_PAUSE_S, self._watch, item)
                return
            self._accept(connection, address)

    def _accept(self, connection: socket.socket, address: Any) -> None:
        stream = self._intake.accept(connection, self._max_buffer_bytes)
        if stream is None:
            return
        try:
            self._serve(stream, address)
        except Exception as error:
            app_log.error("connection not served: %r", error)
            stream.close()

    def _check_answers(self) -> None:
        self._intake.close_unread()
        loop = asyncio.get_running_loop()
        self._check = loop.call_later(ANSWER_CHECK_PERIOD_S, self._check_answers)
