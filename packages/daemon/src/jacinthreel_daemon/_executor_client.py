"""Sends a request to an executor once and classifies the outcome.

Uses tornado's simple HTTP client with a new instance and a new connection per request.
Connections are never reused, so the library never resends a request, and a late response cannot be
matched to another request.  Redirects are not followed, bodies are not decompressed, and cookies
are not stored.  Addresses are IP addresses, which the resolver converts without a thread.

Outcomes: `NotSent` if no connection was established, so no byte left this host; `Refused`
if the executor's response says that it did not run the request; `WholeAnswer` for a complete
response with an announced length and a 2xx or 4xx status; `Lost` for everything else, because the
request may have run.
"""

from __future__ import annotations

import asyncio
import socket
from dataclasses import dataclass
from typing import Any, Final

from tornado.httpclient import HTTPRequest, HTTPResponse
from tornado.httputil import HTTPHeaders
from tornado.iostream import IOStream
from tornado.netutil import Resolver
from tornado.simple_httpclient import (
    HTTPStreamClosedError,
    SimpleAsyncHTTPClient,
    _HTTPConnection,
)
from tornado.tcpclient import TCPClient

from jacinthreel_common import (
    BUSY_SLOTS_HEADER,
    DEADLINE_HEADER,
    EXECUTE_PATH,
    NOT_RUN_HEADER,
    REFUSAL_HEADER,
    REQUEST_ID_HEADER,
    WORKSPACE_HEADER,
    RefusalReason,
    join_address,
)
from jacinthreel_requests import (
    AttemptEnded,
    AttemptOutcome,
    Dispatch,
    Lost,
    NotSent,
    Refused,
    WholeAnswer,
)

CONNECT_TIMEOUT_MS: Final = 1_000
# Wait after the deadline: a late response still frees the slot and settles the claim.
LATE_RESPONSE_GRACE_MS: Final = 5_000
MAX_RESPONSE_BYTES: Final = 16 * 1024 * 1024
MAX_HEADER_BYTES: Final = 64 * 1024
DEFAULT_CONTENT_TYPE: Final = "application/octet-stream"


class _NumericResolver(Resolver):
    """Converts IP addresses to socket addresses without a DNS lookup."""

    async def resolve(
        self, host: str, port: int, family: socket.AddressFamily = socket.AF_UNSPEC
    ) -> list[tuple[int, Any]]:
        return [(socket.AF_INET6 if ":" in host else socket.AF_INET, (host, port))]


class _ConnectTrackingTcpClient(TCPClient):
    """Records whether a connection was established."""

    connected = False

    async def connect(self, *args: Any, **kwargs: Any) -> IOStream:
        stream = await super().connect(*args, **kwargs)
        self.connected = True
        return stream


class _FailFastConnection(_HTTPConnection):
    """Fails a request immediately if its connection is reset while the response is received.

    The base class raises the socket's error in this method, but its reader discards the
    exception, and the request would not end before its timeout.
    """

    def on_connection_close(self) -> None:
        if self.final_callback is not None:
            error = self.stream.error or HTTPStreamClosedError("connection closed")
            self._handle_exception(type(error), error, None)


class _SingleUseClient(SimpleAsyncHTTPClient):
    """An HTTP client for one request."""

    connect_tracker: _ConnectTrackingTcpClient

    def _connection_class(self) -> type:
        return _FailFastConnection

    @classmethod
    def open(cls) -> _SingleUseClient:
        """Creates a client with the limits and the resolver of this module."""
        client = cls(
            force_instance=True,
            max_clients=1,
            resolver=_NumericResolver(),
            max_header_size=MAX_HEADER_BYTES,
            max_body_size=MAX_RESPONSE_BYTES,
        )
        client.connect_tracker = _ConnectTrackingTcpClient(resolver=client.resolver)
        client.tcp_client = client.connect_tracker
        return client


@dataclass(slots=True)
class ExecutorClient:
    """Sends the requests of `Dispatch` effects to executors."""

    connect_timeout_ms: int = CONNECT_TIMEOUT_MS
    late_response_grace_ms: int = LATE_RESPONSE_GRACE_MS

    async def execute(self, dispatch: Dispatch, body: bytes) -> AttemptEnded:
        """Sends the request once; returns the outcome when the attempt has ended."""
        client = _SingleUseClient.open()
        try:
            response = await client.fetch(self._build_request(dispatch, body), raise_error=False)
            outcome = _classify_response(response)
            busy_slots = _parse_busy_slots(response.headers)
        except asyncio.CancelledError:
            raise
        except Exception as error:  # The library raises many types for connection failures.
            busy_slots = None
            connected = client.connect_tracker.connected
            outcome = Lost(repr(error)) if connected else NotSent(repr(error))
        finally:
            client.close()
        return AttemptEnded(dispatch.attempt_id, outcome, busy_slots)

    def _build_request(self, dispatch: Dispatch, body: bytes) -> HTTPRequest:
        address = join_address(dispatch.address, dispatch.port)
        return HTTPRequest(
            f"http://{address}{EXECUTE_PATH}",
            method="POST",
            headers={
                REQUEST_ID_HEADER: dispatch.request_id,
                WORKSPACE_HEADER: dispatch.workspace,
                DEADLINE_HEADER: str(dispatch.remaining_ms),
                "Content-Type": DEFAULT_CONTENT_TYPE,
            },
            body=body,
            connect_timeout=self.connect_timeout_ms / 1000,
            request_timeout=(dispatch.remaining_ms + self.late_response_grace_ms) / 1000,
            follow_redirects=False,
            decompress_response=False,
        )


def _classify_response(response: HTTPResponse) -> AttemptOutcome:
    """Classifies a response that was received completely."""
    if response.code == 503 and response.headers.get(NOT_RUN_HEADER) == "true":
        return Refused(leaving=response.headers.get(REFUSAL_HEADER) == RefusalReason.LEAVING)
    has_length = "Content-Length" in response.headers or "Transfer-Encoding" in response.headers
    is_conclusive_status = 200 <= response.code < 300 or 400 <= response.code < 500
    if not (has_length and is_conclusive_status):
        return Lost(
            f"status {response.code}"
            if has_length
            else "response has neither Content-Length nor Transfer-Encoding"
        )
    content_type = response.headers.get("Content-Type", DEFAULT_CONTENT_TYPE)
    return WholeAnswer(response.code, content_type, response.body)


def _parse_busy_slots(headers: HTTPHeaders) -> int | None:
    text = headers.get(BUSY_SLOTS_HEADER, "")
    return int(text) if text.isascii() and text.isdigit() and len(text) < 6 else None
