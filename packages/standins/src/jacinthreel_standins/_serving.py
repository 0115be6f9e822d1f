"""What the stand-in servers share: JSON handlers, faults and a loop that ends on SIGTERM.

Every error is answered with a body `{"code": ..., "detail": ...}`, as the product's own servers
do.  A stand-in has no state that outlives its process.
"""

from __future__ import annotations

import asyncio
import signal
import time
from typing import Any, TypeVar

from returns.result import Failure
from tornado.httpserver import HTTPServer
from tornado.web import Application, RequestHandler

from jacinthreel_common import (
    RESULT_TABLE,
    Fault,
    ResultCode,
    decode_json,
    encode_json,
    parse_ip,
)

T = TypeVar("T")
MAX_BODY_BYTES = 16 * 1024 * 1024


class AbortError(Exception):
    """Ends a request with a numbered error."""

    def __init__(self, fault: Fault) -> None:
        super().__init__(fault.detail)
        self.fault = fault


class JsonHandler(RequestHandler):
    """A handler whose bodies are JSON records."""

    def read_body(self, kind: type[T]) -> T:
        """The request's body as a record; a bad one ends the request with a numbered error."""
        decoded = decode_json(kind, self.request.body)
        if isinstance(decoded, Failure):
            raise AbortError(decoded.failure())
        return decoded.unwrap()

    def reply(self, record: Any, status: int = 200) -> None:
        """Answers with a record."""
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.finish(encode_json(record))

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Answers with the numbered error that ended the request."""
        error = kwargs.get("exc_info", (None, None, None))[1]
        if isinstance(error, AbortError):
            self.reply(
                {"code": int(error.fault.code), "detail": error.fault.detail},
                RESULT_TABLE[error.fault.code].http_status,
            )
            return
        code = ResultCode.INTERNAL if status_code >= 500 else ResultCode.NO_SUCH_RESOURCE
        self.reply({"code": int(code), "detail": self._reason}, status_code)

    def log_exception(self, typ: Any, value: Any, tb: Any) -> None:
        """Logs unexpected errors only."""
        if not isinstance(value, AbortError):
            super().log_exception(typ, value, tb)

    def cut_connection(self) -> None:
        """Closes the connection without an answer."""
        connection = self.request.connection
        stream = getattr(connection, "stream", None)
        self._finished = True
        if stream is not None:
            stream.close()


class HealthHandler(JsonHandler):
    """Says that the stand-in serves."""

    def get(self) -> None:
        """Answers 200."""
        self.reply({"ok": True})


def now_ms() -> int:
    """Monotonic milliseconds of the machine, comparable between its processes."""
    return time.monotonic_ns() // 1_000_000


def check_address(text: str) -> str:
    """An address from the command line; only IP numbers are taken."""
    parsed = parse_ip(text)
    if isinstance(parsed, Failure):
        fault = parsed.failure()
        raise SystemExit(f"{int(fault.code)} {fault.code.name}: {fault.detail}")
    return parsed.unwrap()


def listen(application: Application, address: str, port: int) -> HTTPServer:
    """Starts a server for `application`."""
    server = HTTPServer(application, max_buffer_size=MAX_BODY_BYTES)
    server.listen(port, address)
    return server


def log_no_access(handler: object) -> None:
    """Replaces tornado's access log; what was served is in the stand-ins' own logs."""


async def serve_until_stopped() -> None:
    """Waits for SIGTERM or SIGINT."""
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    await stopped.wait()
