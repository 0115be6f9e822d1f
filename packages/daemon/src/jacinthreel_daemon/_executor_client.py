"""Sends a request to an executor once and says precisely what became of it.

Built on tornado's simple HTTP client with one instance and one connection for each request.  A
connection is never used again, so nothing is ever sent a second time by the library and a late
answer can't reach another request.  Redirects are not followed, bodies are not decompressed, and
cookies are not kept.  Addresses are IP numbers, for which the resolver needs no thread.

Classification: `NotSent` where no connection was made, so that no byte left this host; `Refused`
where the executor said itself that it did not run the request; `WholeAnswer` for a complete reply
whose length was announced, with a status below 500; `Lost` for everything else, because the
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
LATE_ANSWER_MS: Final = 5_000  # A late answer still frees the slot and closes the claim.
MAX_ANSWER_BYTES: Final = 16 * 1024 * 1024
MAX_HEADER_BYTES: Final = 64 * 1024
DEFAULT_CONTENT_TYPE: Final = "application/octet-stream"


class _NumericResolver(Resolver):
    """Turns IP numbers into socket addresses without a look-up."""

    async def resolve(
        self, host: str, port: int, family: socket.AddressFamily = socket.AF_UNSPEC
    ) -> list[tuple[int, Any]]:
        return [(socket.AF_INET6 if ":" in host else socket.AF_INET, (host, port))]


class _RecordingTcpClient(TCPClient):
    """Remembers whether a connection was made."""

    connected = False

    async def connect(self, *args: Any, **kwargs: Any) -> IOStream:
        stream = await super().connect(*args, **kwargs)
        self.connected = True
        return stream


class _PromptConnection(_HTTPConnection):
    """Ends a request at once when its connection is reset while the reply arrives.

    The library raises the socket's error there, which its reader drops, and the request would wait
    for its time limit.
    """

    def on_connection_close(self) -> None:
        if self.final_callback is not None:
            error = self.stream.error or HTTPStreamClosedError("connection closed")
            self._handle_exception(type(error), error, None)


class _SingleUseClient(SimpleAsyncHTTPClient):
    """An HTTP client for one request."""

    recorder: _RecordingTcpClient

    def _connection_class(self) -> type:
        return _PromptConnection

    @classmethod
    def open(cls) -> _SingleUseClient:
        """Makes a client with the limits and the resolver of this module."""
        client = cls(
            force_instance=True,
            max_clients=1,
            resolver=_NumericResolver(),
            max_header_size=MAX_HEADER_BYTES,
            max_body_size=MAX_ANSWER_BYTES,
        )
        client.recorder = _RecordingTcpClient(resolver=client.resolver)
        client.tcp_client = client.recorder
        return client


@dataclass(slots=True)
class ExecutorClient:
    """Carries out `Dispatch` effects."""

    connect_timeout_ms: int = CONNECT_TIMEOUT_MS
    late_answer_ms: int = LATE_ANSWER_MS

    async def execute(self, dispatch: Dispatch, body: bytes) -> AttemptEnded:
        """Sends the request once; returns when the attempt has ended for certain."""
        client = _SingleUseClient.open()
        try:
            response = await client.fetch(self._request(dispatch, body), raise_error=False)
            outcome = _classify(response)
            busy = _busy_slots(response.headers)
        except asyncio.CancelledError:
            raise
        except Exception as error:  # All failures of a connection, whatever the library raises.
            busy = None
            sent = client.recorder.connected
            outcome = Lost(repr(error)) if sent else NotSent(repr(error))
        finally:
            client.close()
        return AttemptEnded(dispatch.attempt_id, outcome, busy)

    def _request(self, dispatch: Dispatch, body: bytes) -> HTTPRequest:
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
            request_timeout=(dispatch.remaining_ms + self.late_answer_ms) / 1000,
            follow_redirects=False,
            decompress_response=False,
        )


def _classify(response: HTTPResponse) -> AttemptOutcome:
    """What a reply that was read to its end says of the request."""
    if response.code == 503 and response.headers.get(NOT_RUN_HEADER) == "true":
        return Refused(leaving=response.headers.get(REFUSAL_HEADER) == RefusalReason.LEAVING)
    whole = "Content-Length" in response.headers or "Transfer-Encoding" in response.headers
    answered = 200 <= response.code < 300 or 400 <= response.code < 500
    if not (whole and answered):
        return Lost(f"status {response.code}" if whole else "a reply of unknown length")
    content_type = response.headers.get("Content-Type", DEFAULT_CONTENT_TYPE)
    return WholeAnswer(response.code, content_type, response.body)


def _busy_slots(headers: HTTPHeaders) -> int | None:
    text = headers.get(BUSY_SLOTS_HEADER, "")
    return int(text) if text.isascii() and text.isdigit() and len(text) < 6 else None
