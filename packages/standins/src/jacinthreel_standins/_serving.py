"""Common parts of the stand-in servers: JSON handlers, error replies and shutdown on SIGTERM.

Every error reply has a body `{"code": ..., "detail": ...}`, like those of the product's own
servers.  A stand-in keeps its state in memory only and loses it when its process ends.
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
    """Aborts the handling of a request; the reply carries the fault's result code."""

    def __init__(self, fault: Fault) -> None:
        super().__init__(fault.detail)
        self.fault = fault


class JsonHandler(RequestHandler):
    """A request handler whose request and reply bodies are JSON records."""

    def read_body(self, kind: type[T]) -> T:
        """Decodes the request's body; raises `AbortError` if it is invalid."""
        decoded = decode_json(kind, self.request.body)
        if isinstance(decoded, Failure):
            raise AbortError(decoded.failure())
        return decoded.unwrap()

    def reply(self, record: Any, status: int = 200) -> None:
        """Sends a record as the reply."""
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.finish(encode_json(record))

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Sends the result code and the detail of the error that aborted the request."""
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
        """Logs all exceptions except `AbortError`, which is an expected error reply."""
        if not isinstance(value, AbortError):
            super().log_exception(typ, value, tb)

    def close_without_reply(self) -> None:
        """Closes the connection without a reply."""
        connection = self.request.connection
        stream = getattr(connection, "stream", None)
        self._finished = True
        if stream is not None:
            stream.close()


class HealthHandler(JsonHandler):
    """The health check of a stand-in."""

    def get(self) -> None:
        """Replies with status 200."""
        self.reply({"ok": True})


def now_ms() -> int:
    """Returns the machine's monotonic time in ms, comparable between processes on the machine."""
    return time.monotonic_ns() // 1_000_000


def parse_address_or_exit(text: str) -> str:
    """Parses an IP address from the command line; exits with an error for anything else."""
    parsed = parse_ip(text)
    if isinstance(parsed, Failure):
        fault = parsed.failure()
        raise SystemExit(f"{int(fault.code)} {fault.code.name}: {fault.detail}")
    return parsed.unwrap()


def listen(application: Application, address: str, port: int) -> HTTPServer:
    """Starts an HTTP server for `application`."""
    server = HTTPServer(application, max_buffer_size=MAX_BODY_BYTES)
    server.listen(port, address)
    return server


def discard_access_log(handler: object) -> None:
    """Replaces tornado's access log; the stand-ins record requests in their own logs."""


async def serve_until_stopped() -> None:
    """Waits for SIGTERM or SIGINT."""
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stopped.set)
    await stopped.wait()
