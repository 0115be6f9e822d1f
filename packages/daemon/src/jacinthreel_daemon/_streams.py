"""Streams between the project's processes: connections, calls and notices.

Both ends of a connection run a `StreamConnection`: each sends a `Hello` first, then calls and
notices.  A process accepts connections with `StreamHub.listen`, keeps a `PeerLink` to each peer,
and can call any address.

Liveness: a side that has sent nothing for `HEARTBEAT_MS` repeats its `Hello`; a side that has
received nothing for `IDLE_LIMIT_MS` closes the connection.  The connection is also closed if the
peer reads so slowly that the unsent data exceeds `MAX_BACKLOG_BYTES`.

Calls: PEER_UNREACHABLE means that no byte of the call was written.  After that, a lost connection
or a timeout is reported as PEER_TIMEOUT, because the peer may have served the call.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Final

from returns.result import Failure, Result, Success
from tornado.iostream import IOStream, StreamBufferFullError, StreamClosedError

from jacinthreel_common import MAX_FRAME_BYTES, Fault, Hello, ResultCode, StreamReply
from jacinthreel_daemon._frames import LENGTH_BYTES, Frame, encode_frame, read_frame
from jacinthreel_daemon._ports import CallHandler, Clock

HELLO_TIMEOUT_MS: Final = 3_000
HEARTBEAT_MS: Final = 10_000
IDLE_LIMIT_MS: Final = 30_000
MAX_BACKLOG_BYTES: Final = 2 * MAX_FRAME_BYTES
MAX_CALLS_PER_CONNECTION: Final = 256
OVERLOAD_RETRY_AFTER_MS: Final = 500

NoticeHandler = Callable[[Hello, Any], None]
StreamLog = Callable[[str, dict[str, Any]], None]


@dataclass(slots=True)
class StreamHandlers:
    """Handlers for incoming calls and notices, by message class."""

    call_handlers_by_type: dict[type, CallHandler]
    notice_handlers_by_type: dict[type, NoticeHandler]
    log: StreamLog


class StreamConnection:
    """One end of a connection, whichever side opened it."""

    def __init__(
        self, stream: IOStream, own_hello: Hello, handlers: StreamHandlers, clock: Clock
    ) -> None:
        self.peer: Hello | None = None
        self._stream = stream
        self._own_hello = own_hello
        self._handlers = handlers
        self._clock = clock
        self._next_call_id = 1
        self._replies_by_id: dict[int, asyncio.Future[StreamReply]] = {}
        self._call_tasks: set[asyncio.Task[None]] = set()
        self._sent_ms = clock.now_ms()
        self._received_ms = clock.now_ms()
        stream.set_nodelay(True)

    @property
    def is_open(self) -> bool:
        """Whether the peer's `Hello` has been received and the connection is open."""
        return self.peer is not None and not self._stream.closed()

    async def exchange_hello(self) -> bool:
        """Exchanges the `Hello` messages; returns false if the peer does not send a valid one."""
        self._write(self._own_hello, 0)
        try:
            async with asyncio.timeout(HELLO_TIMEOUT_MS / 1000):
                frame = await self._read()
        except TimeoutError:
            self._log("stream_closed", {"reason": "the peer sent no Hello in time"})
            frame = None
        if frame is None or not isinstance(frame.message, Hello):
            if frame is not None:
                self._reject_frame(Fault(ResultCode.BAD_FRAME, "the first frame must be a Hello"))
            self.close()
            return False
        self.peer = frame.message
        return True

    async def serve(self) -> None:
        """Handles incoming frames until the connection is closed."""
        try:
            while (frame := await self._read()) is not None:
                self._received_ms = self._clock.now_ms()
                self._dispatch(frame)
        finally:
            self.close()

    async def call(self, message: object, timeout_ms: int) -> Result[StreamReply, Fault]:
        """Sends a call and waits for its reply.

        Errors: PEER_UNREACHABLE (nothing was sent), PEER_TIMEOUT (outcome unknown).
        """
        call_id = self._next_call_id
        self._next_call_id += 1
        future: asyncio.Future[StreamReply] = asyncio.get_running_loop().create_future()
        self._replies_by_id[call_id] = future
        try:
            if not self._write(message, call_id):
                return Failure(
                    Fault(
                        ResultCode.PEER_UNREACHABLE,
                        "the connection is closed, or the call exceeds the frame limit",
                    )
                )
            async with asyncio.timeout(timeout_ms / 1000):
                return Success(await future)
        except TimeoutError:
            return Failure(Fault(ResultCode.PEER_TIMEOUT, "no reply in time"))
        except StreamClosedError:
            return Failure(Fault(ResultCode.PEER_TIMEOUT, "the connection was lost"))
        finally:
            self._replies_by_id.pop(call_id, None)

    def notify(self, message: object) -> None:
        """Sends a notice, if the connection is open."""
        if self.is_open:
            self._write(message, 0)

    def notify_frame(self, message: object, frame: bytes) -> None:
        """Sends a notice that `encode_frame` has encoded, if the connection is open."""
        if self.is_open:
            self._write_frame(message, 0, frame)

    def check_liveness(self, now_ms: int) -> None:
        """Sends a due heartbeat or closes an idle connection; called about once a second."""
        if not self.is_open:
            return
        if now_ms - self._received_ms >= IDLE_LIMIT_MS:
            self._log("stream_closed", {"reason": "no data from the peer within the idle limit"})
            self.close()
        elif now_ms - self._sent_ms >= HEARTBEAT_MS:
            self._write(self._own_hello, 0)

    def close(self) -> None:
        """Closes the connection; pending calls fail with an unknown outcome."""
        self._stream.close()
        for future in self._replies_by_id.values():
            if not future.done():
                future.set_exception(StreamClosedError())

    async def _read(self) -> Frame | None:
        try:
            match await read_frame(self._stream):
                case Success(Frame() as frame):
                    return frame
                case Failure(Fault() as fault):
                    self._reject_frame(fault)
        except StreamClosedError:
            pass
        return None

    def _reject_frame(self, fault: Fault) -> None:
        self._log("bad_frame", {"code": fault.code.value, "reason": fault.detail})
        self._write(StreamReply(fault.code, fault.detail), 0)

    def _dispatch(self, frame: Frame) -> None:
        match frame.message:
            case Hello():
                return
            case StreamReply() as reply:
                self._resolve_reply(reply, frame.call_id)
            case message if frame.call_id:
                self._start_call_handler(message, frame.call_id)
            case message:
                handler = self._handlers.notice_handlers_by_type.get(type(message))
                if handler is not None and self.peer is not None:
                    handler(self.peer, message)

    def _resolve_reply(self, reply: StreamReply, call_id: int) -> None:
        if not call_id:
            self._log("stream_refused", {"code": reply.code.value, "reason": reply.detail})
            return
        future = self._replies_by_id.get(call_id)
        # A reply to a call that has timed out is dropped.
        if future is not None and not future.done():
            future.set_result(reply)

    def _start_call_handler(self, message: object, call_id: int) -> None:
        handler = self._handlers.call_handlers_by_type.get(type(message))
        if handler is None:
            detail = f"{type(message).__name__} is not a call that this process serves"
            self._write(StreamReply(ResultCode.NO_SUCH_RESOURCE, detail), call_id)
            return
        if len(self._call_tasks) >= MAX_CALLS_PER_CONNECTION:
            reply = StreamReply(
                ResultCode.OVERLOADED, "too many calls in progress", OVERLOAD_RETRY_AFTER_MS
            )
            self._write(reply, call_id)
            return
        task = asyncio.create_task(self._serve_call(handler, message, call_id))
        self._call_tasks.add(task)
        task.add_done_callback(self._call_tasks.discard)

    async def _serve_call(self, handler: CallHandler, message: object, call_id: int) -> None:
        try:
            reply = await handler(message)
        except Exception as error:
            self._log("call_failed", {"kind": type(message).__name__, "error": repr(error)})
            reply = StreamReply(ResultCode.INTERNAL, "unexpected error")
        self._write(reply, call_id)

    def _write(self, message: object, call_id: int) -> bool:
        """Queues a frame; returns false if the connection was closed or the message is dropped."""
        if self._stream.closed():
            return False
        return self._write_frame(message, call_id, encode_frame(message, call_id))

    def _write_frame(self, message: object, call_id: int, frame: bytes) -> bool:
        if len(frame) - LENGTH_BYTES > MAX_FRAME_BYTES:
            return self._reject_oversize_message(message, call_id)
        self._sent_ms = self._clock.now_ms()
        try:
            # The write completes in the background; a failure closes the stream, which ends
            # the read loop.
            self._stream.write(frame).add_done_callback(_ignore_write_error)
        except StreamBufferFullError:
            self._log("stream_closed", {"reason": "the peer reads too slowly"})
            self.close()
        except StreamClosedError:
            return False
        return True

    def _reject_oversize_message(self, message: object, call_id: int) -> bool:
        """Sends an error reply in place of an oversize reply; drops any other message."""
        kind = type(message).__name__
        self._log("frame_too_large", {"kind": kind})
        if isinstance(message, StreamReply) and call_id:
            detail = "the reply exceeds the frame limit; narrow the call"
            return self._write(StreamReply(ResultCode.OUT_OF_RANGE, detail), call_id)
        return False

    def _log(self, event: str, fields: dict[str, Any]) -> None:
        peer = self.peer.host_id if self.peer is not None else ""
        self._handlers.log(event, {"peer": peer, **fields})


def _ignore_write_error(future: asyncio.Future[None]) -> None:
    if not future.cancelled():
        future.exception()
