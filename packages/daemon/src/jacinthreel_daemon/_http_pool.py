"""An HTTP client for one address with persistent connections and precise failures.

tornado's own client opens a connection per request and does not report whether anything was sent.
This client therefore uses tornado's `HTTP1Connection` directly.  It keeps up to
`MAX_IDLE_CONNECTIONS` idle connections, follows no redirects, never resends a request, and reports
for each failure whether the peer may have received the request, which is impossible before the
first byte is written.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Final

from returns.result import Failure, Result, Success
from tornado import httputil
from tornado.http1connection import HTTP1Connection, HTTP1ConnectionParameters
from tornado.iostream import IOStream, StreamClosedError

from jacinthreel_common import join_address
from jacinthreel_daemon._dial import dial

MAX_REPLY_BYTES: Final = 64 * 1024 * 1024
MAX_HEADER_BYTES: Final = 64 * 1024
MAX_IDLE_CONNECTIONS: Final = 4
BODY_TIMEOUT_S: Final = 6.0  # A large reply body on a slow link takes several seconds.
LATE_S: Final = 0.05  # A timer that runs later than this shows a delay of the event loop.
LATE_EXTENSION_S: Final = 0.1  # Time to read the replies that arrived during the delay.
TIMER_ORDER_S: Final = 0.001  # Runs the check before the timeout, where both are due.


@dataclass(frozen=True, slots=True)
class HttpReply:
    """A complete reply."""

    status: int
    body: bytes


@dataclass(frozen=True, slots=True)
class HttpFailure:
    """A request without a complete reply; `sent` is false if the peer cannot have received it."""

    sent: bool
    detail: str


class _ReplyCollector(httputil.HTTPMessageDelegate):
    """Collects the parts of a reply; `on_headers` is called when its headers arrive."""

    def __init__(self, on_headers: Callable[[], None]) -> None:
        self._on_headers = on_headers
        self.status = 0
        self.chunks: list[bytes] = []
        self.is_complete = False
        self.closes_connection = False

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> None:
        """Stores the status; the final status replaces those of interim (1xx) replies."""
        assert isinstance(start_line, httputil.ResponseStartLine)
        self.status = start_line.code
        self._on_headers()
        self.closes_connection = headers.get("Connection", "").lower() == "close"

    def data_received(self, chunk: bytes) -> None:
        self.chunks.append(chunk)

    def finish(self) -> None:
        self.is_complete = True


def _always_true() -> bool:
    return True


class HttpPool:
    """A pool of connections to one address and port."""

    def __init__(self, address: str, port: int, connect_timeout_ms: int) -> None:
        self._address = address
        self._port = port
        self._connect_timeout_s = connect_timeout_ms / 1000
        self._idle: list[IOStream] = []
        self._params = HTTP1ConnectionParameters(
            max_header_size=MAX_HEADER_BYTES, max_body_size=MAX_REPLY_BYTES, decompress=False
        )

    async def post(
        self,
        path: str,
        body: bytes,
        timeout_ms: int,
        may_send: Callable[[], bool] = _always_true,
        headers: Mapping[str, str] | None = None,
    ) -> Result[HttpReply, HttpFailure]:
        """Posts a JSON body once.

        `may_send` is called immediately before the first byte is written; if it returns false,
        nothing is sent.  `headers` are sent in addition to the standard ones.  `timeout_ms` limits
        the time until the headers of the reply arrive, including that for connecting.
        """
        return await self._request("POST", path, body, timeout_ms, may_send, headers)

    async def get(self, path: str, timeout_ms: int) -> Result[HttpReply, HttpFailure]:
        """Gets a path once; `timeout_ms` limits the time until the reply's headers arrive."""
        return await self._request("GET", path, b"", timeout_ms, _always_true)

    def close(self) -> None:
        """Closes the idle connections."""
        for stream in self._idle:
            stream.close()
        self._idle.clear()

    async def _request(
        self,
        method: str,
        path: str,
        body: bytes,
        timeout_ms: int,
        may_send: Callable[[], bool],
        headers: Mapping[str, str] | None = None,
    ) -> Result[HttpReply, HttpFailure]:
        end_s = asyncio.get_running_loop().time() + timeout_ms / 1000
        try:
            stream = self._pop_idle() or await self._connect(timeout_ms)
        except TimeoutError:
            return Failure(HttpFailure(False, "timed out while connecting"))
        except (OSError, ValueError, StreamClosedError) as error:
            return Failure(HttpFailure(False, f"cannot connect: {_describe_error(error)}"))
        if not may_send():
            self._return_to_pool(stream)
            return Failure(HttpFailure(False, "not sent: cancelled by the caller"))
        late_check: asyncio.TimerHandle | None = None
        try:
            async with asyncio.timeout_at(end_s) as reply_timeout:
                late_check = _check_lateness(reply_timeout, end_s)
                return await self._exchange(
                    stream, method, path, body, headers or {}, reply_timeout
                )
        except TimeoutError:
            return Failure(HttpFailure(True, "timed out while waiting for the reply"))
        except (OSError, ValueError, StreamClosedError, httputil.HTTPInputError) as error:
            return Failure(HttpFailure(True, f"connection lost: {_describe_error(error)}"))
        finally:
            if late_check is not None:
                late_check.cancel()
            self._return_to_pool(stream)

    async def _exchange(
        self,
        stream: IOStream,
        method: str,
        path: str,
        body: bytes,
        extra_headers: Mapping[str, str],
        reply_timeout: asyncio.Timeout,
    ) -> Result[HttpReply, HttpFailure]:
        connection = HTTP1Connection(stream, True, self._params)
        loop = asyncio.get_running_loop()
        collector = _ReplyCollector(lambda: reply_timeout.reschedule(loop.time() + BODY_TIMEOUT_S))
        headers = httputil.HTTPHeaders({"Host": join_address(self._address, self._port)})
        headers.update(extra_headers)
        if method == "POST":
            headers["Content-Type"] = "application/json"
            headers["Content-Length"] = str(len(body))
        try:
            connection.write_headers(
                httputil.RequestStartLine(method, path, ""), headers, body or None
            )
        except ValueError as error:
            stream.close()
            return Failure(HttpFailure(False, f"the request can't be encoded: {error}"))
        is_complete = False
        try:
            connection.finish()
            await connection.read_response(collector)
            is_complete = collector.is_complete
        finally:
            if not is_complete or collector.closes_connection:
                stream.close()
        if not is_complete:
            return Failure(HttpFailure(True, "connection closed before the reply was complete"))
        return Success(HttpReply(collector.status, b"".join(collector.chunks)))

    async def _connect(self, timeout_ms: int) -> IOStream:
        async with asyncio.timeout(min(self._connect_timeout_s, timeout_ms / 1000)):
            return await dial(self._address, self._port, MAX_REPLY_BYTES)

    def _pop_idle(self) -> IOStream | None:
        while self._idle:
            stream = self._idle.pop()
            if not stream.closed():
                return stream
        return None

    def _return_to_pool(self, stream: IOStream) -> None:
        if stream.closed():
            return
        if len(self._idle) >= MAX_IDLE_CONNECTIONS:
            stream.close()
            return
        self._idle.append(stream)
        # Removes the connection from the pool if the peer closes it while it is idle.
        stream.set_close_callback(lambda: self._remove_idle(stream))

    def _remove_idle(self, stream: IOStream) -> None:
        if stream in self._idle:
            self._idle.remove(stream)


def _check_lateness(timeout: asyncio.Timeout, end_s: float) -> asyncio.TimerHandle:
    """Extends a timeout that is due after the event loop was delayed, so that replies are read.

    Replies that arrived during the delay are handled after the timers that are due.  Without this,
    one delay would fail all requests that wait.
    """
    loop = asyncio.get_running_loop()

    def extend_if_late() -> None:
        now_s = loop.time()
        if timeout.expired():
            return  # It had run out before the request began, and can't be extended any more.
        if now_s - end_s > LATE_S and timeout.when() == end_s:
            timeout.reschedule(now_s + LATE_EXTENSION_S)

    return loop.call_at(end_s - TIMER_ORDER_S, extend_if_late)


def _describe_error(error: BaseException) -> str:
    if isinstance(error, StreamClosedError) and error.real_error is not None:
        error = error.real_error
    return str(error) or type(error).__name__
