"""An HTTP client for JSON posts to one address, with kept connections and exact failures.

tornado's own client opens a connection for each request and doesn't tell whether anything was
sent.  This one drives tornado's `HTTP1Connection` itself.  It keeps up to `MAX_IDLE_CONNECTIONS`
connections, follows no redirect, sends nothing twice, and says of each failure whether the peer
can have seen the request: before the first byte is written it can't.
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
BODY_TIMEOUT_S: Final = 6.0  # A large reply on a slow link takes seconds once it has begun.


@dataclass(frozen=True, slots=True)
class HttpReply:
    """A whole reply."""

    status: int
    body: bytes


@dataclass(frozen=True, slots=True)
class HttpFailure:
    """A request without a whole reply; `sent` is false where the peer can't have seen it."""

    sent: bool
    detail: str


class _ReplyCollector(httputil.HTTPMessageDelegate):
    def __init__(self, on_headers: Callable[[], None]) -> None:
        self._on_headers = on_headers
        self.status = 0
        self.chunks: list[bytes] = []
        self.complete = False
        self.last = False

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> None:
        """Keeps the status; the last one counts, after any interim reply."""
        assert isinstance(start_line, httputil.ResponseStartLine)
        self.status = start_line.code
        self._on_headers()
        self.last = headers.get("Connection", "").lower() == "close"

    def data_received(self, chunk: bytes) -> None:
        self.chunks.append(chunk)

    def finish(self) -> None:
        self.complete = True


def _always() -> bool:
    return True


class HttpPool:
    """Connections to one address and port."""

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
        may_send: Callable[[], bool] = _always,
        headers: Mapping[str, str] | None = None,
    ) -> Result[HttpReply, HttpFailure]:
        """Posts a JSON body once.

        `may_send` is asked last, right before the first byte is written.  `headers` are sent
        besides those that every request has.  `timeout_ms` is for the beginning of the reply.
        """
        return await self._request("POST", path, body, timeout_ms, may_send, headers)

    async def get(self, path: str, timeout_ms: int) -> Result[HttpReply, HttpFailure]:
        """Gets a path; `timeout_ms` is for the beginning of the reply."""
        return await self._request("GET", path, b"", timeout_ms, _always)

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
        try:
            stream = self._take_idle() or await self._connect()
        except TimeoutError:
            return Failure(HttpFailure(False, "no connection in time"))
        except (OSError, StreamClosedError) as error:
            return Failure(HttpFailure(False, f"no connection: {_reason(error)}"))
        if not may_send():
            self._give_back(stream)
            return Failure(HttpFailure(False, "too late to send"))
        try:
            async with asyncio.timeout(timeout_ms / 1000) as limit:
                return await self._exchange(stream, method, path, body, headers or {}, limit)
        except TimeoutError:
            return Failure(HttpFailure(True, "no reply in time"))
        except (OSError, StreamClosedError, httputil.HTTPInputError) as error:
            return Failure(HttpFailure(True, f"connection lost: {_reason(error)}"))
        finally:
            self._give_back(stream)

    async def _exchange(
        self,
        stream: IOStream,
        method: str,
        path: str,
        body: bytes,
        extra_headers: Mapping[str, str],
        limit: asyncio.Timeout,
    ) -> Result[HttpReply, HttpFailure]:
        connection = HTTP1Connection(stream, True, self._params)
        loop = asyncio.get_running_loop()
        collector = _ReplyCollector(lambda: limit.reschedule(loop.time() + BODY_TIMEOUT_S))
        headers = httputil.HTTPHeaders({"Host": join_address(self._address, self._port)})
        headers.update(extra_headers)
        if method == "POST":
            headers["Content-Type"] = "application/json"
            headers["Content-Length"] = str(len(body))
        finished = False
        try:
            connection.write_headers(
                httputil.RequestStartLine(method, path, ""), headers, body or None
            )
            connection.finish()
            await connection.read_response(collector)
            finished = collector.complete
        finally:
            if not finished or collector.last:
                stream.close()
        if not finished:
            return Failure(HttpFailure(True, "connection closed before the reply was whole"))
        return Success(HttpReply(collector.status, b"".join(collector.chunks)))

    async def _connect(self) -> IOStream:
        async with asyncio.timeout(self._connect_timeout_s):
            return await dial(self._address, self._port, MAX_REPLY_BYTES)

    def _take_idle(self) -> IOStream | None:
        while self._idle:
            stream = self._idle.pop()
            if not stream.closed():
                return stream
        return None

    def _give_back(self, stream: IOStream) -> None:
        if stream.closed():
            return
        if len(self._idle) >= MAX_IDLE_CONNECTIONS:
            stream.close()
            return
        self._idle.append(stream)
        # An idle connection that the peer closes is noticed, so that it isn't used again.
        stream.set_close_callback(lambda: self._forget(stream))

    def _forget(self, stream: IOStream) -> None:
        if stream in self._idle:
            self._idle.remove(stream)


def _reason(error: BaseException) -> str:
    if isinstance(error, StreamClosedError) and error.real_error is not None:
        error = error.real_error
    return str(error) or type(error).__name__
