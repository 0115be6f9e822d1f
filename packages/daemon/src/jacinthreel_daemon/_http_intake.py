"""An HTTP server whose connections belong to an intake.

Bodies are kept only for POST, and only up to a limit that is asked for with each request; the
bytes of others are dropped as they arrive.  Requests that arrive behind another one on the same
connection take turns, so that they don't delay those of other connections.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Final, cast

from tornado import httpserver, httputil
from tornado.http1connection import HTTP1Connection, HTTP1ServerConnection

from jacinthreel_daemon._intake import READ_CHUNK_BYTES, Intake, IntakeStream, Listener

MAX_READ_BYTES: Final = 4 * 1024 * 1024  # Larger bodies are not read to their end.
MAX_HEADER_BYTES: Final = 16 * 1024
MAX_BUFFER_BYTES: Final = 4 * MAX_HEADER_BYTES
MAX_LENGTH_DIGITS: Final = 18
IDLE_CONNECTION_S: Final = 60.0
BODY_TIMEOUT_S: Final = 10.0


class IntakeRequest(httputil.HTTPServerRequest):
    """A request whose body is taken once; `is_body_too_large` if it exceeded the limit."""

    def __init__(
        self,
        connection: httputil.HTTPConnection,
        start_line: httputil.RequestStartLine,
        headers: httputil.HTTPHeaders,
        stream: IntakeStream,
    ) -> None:
        super().__init__(connection=connection, start_line=start_line, headers=headers)
        self.is_body_too_large = False
        self._stream = stream
        self._received = bytearray()

    def append(self, data: bytes, max_bytes: int) -> None:
        """Adds a part of the body; drops the whole body once it exceeds `max_bytes`."""
        self.is_body_too_large |= len(self._received) + len(data) > max_bytes
        if self.is_body_too_large:
            self._received.clear()
        else:
            self._received += data
        self._stream.kept_bytes = len(self._received)

    def take_body(self) -> bytes:
        """Returns the body, which is no longer kept afterwards."""
        body = bytes(self._received)
        self.drop_body()
        return body

    def drop_body(self) -> None:
        """Frees what was received of the body."""
        self._received.clear()
        self._stream.kept_bytes = 0

    def begin_answer(self) -> None:
        """Marks the answer as about to be written."""
        self._stream.begin_answer()


RequestHandler = Callable[[IntakeRequest], None]


class _Receiver(httputil.HTTPMessageDelegate):
    """Receives one request."""

    def __init__(
        self, server: IntakeHttpServer, stream: IntakeStream, connection: HTTP1Connection
    ) -> None:
        self._server = server
        self._stream = stream
        self._connection = connection
        self._request: IntakeRequest | None = None
        self._is_behind_another = stream.has_been_served and stream.held_bytes > 0
        self._max_body_bytes = 0
        stream.begin_message()

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> Awaitable[None] | None:
        """Prepares for the body."""
        line = cast(httputil.RequestStartLine, start_line)
        request = IntakeRequest(self._connection, line, headers, self._stream)
        self._request = request
        self._stream.refuse = self._refuse
        self._stream.is_chunked = "Transfer-Encoding" in headers
        self._max_body_bytes = self._server.max_body_bytes()
        request.is_body_too_large = _announced_bytes(headers) > self._max_body_bytes
        self._connection.set_max_body_size(max(MAX_READ_BYTES, self._max_body_bytes))
        if self._is_behind_another or self._stream.is_chunked:
            return self._server.take_turn()
        return None

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        """Keeps a part of the body."""
        if self._request is not None and self._request.method == "POST":
            self._request.append(chunk, self._max_body_bytes)
        return None

    def finish(self) -> None:
        """Passes on the whole request."""
        assert self._request is not None
        self._stream.end_message()
        self._server.handle(self._request)

    def on_connection_close(self) -> None:
        """Drops what was received."""
        if self._request is not None:
            self._request.drop_body()
        self._stream.refuse = None

    def _refuse(self) -> None:
        if self._request is not None:
            self._request.drop_body()
            self._server.refuse(self._request)


def _announced_bytes(headers: httputil.HTTPHeaders) -> int:
    """Returns the announced length of the body; 0 without a valid one, which tornado refuses."""
    value = headers.get("Content-Length", "")
    is_length = value.isascii() and value.isdigit() and len(value) <= MAX_LENGTH_DIGITS
    return int(value) if is_length else 0


class IntakeHttpServer(httputil.HTTPServerConnectionDelegate):
    """Serves HTTP on one address.

    `handle` gets whole requests, and `refuse` those that are given up before they are whole.
    """

    def __init__(
        self,
        intake: Intake,
        handle: RequestHandler,
        refuse: RequestHandler,
        max_body_bytes: Callable[[], int] = lambda: 0,
    ) -> None:
        self.handle = handle
        self.refuse = refuse
        self._intake = intake
        self._max_body_bytes = max_body_bytes
        self._server = httpserver.HTTPServer(
            self,
            chunk_size=READ_CHUNK_BYTES,
            max_header_size=MAX_HEADER_BYTES,
            max_body_size=MAX_READ_BYTES,
            idle_connection_timeout=IDLE_CONNECTION_S,
            body_timeout=BODY_TIMEOUT_S,
        )
        self._listener = Listener(intake, MAX_BUFFER_BYTES, self._server.handle_stream)

    def max_body_bytes(self) -> int:
        """The largest body that is kept."""
        return min(self._max_body_bytes(), self._intake.max_message_bytes)

    def listen(self, address: str, port: int) -> None:
        """Starts to accept connections."""
        self._listener.listen(address, port)

    def stop(self) -> None:
        """Stops to accept connections; open ones remain."""
        self._listener.stop()

    async def close_all_connections(self) -> None:
        """Closes all open connections."""
        await self._server.close_all_connections()

    async def take_turn(self) -> None:
        """Waits until this is the only such request in an iteration of the event loop."""
        await self._intake.take_turn()

    def start_request(
        self, server_conn: object, request_conn: httputil.HTTPConnection
    ) -> httputil.HTTPMessageDelegate:
        """Returns the receiver of the next request of a connection."""
        stream = cast(IntakeStream, cast(HTTP1ServerConnection, server_conn).stream)
        return _Receiver(self, stream, cast(HTTP1Connection, request_conn))
