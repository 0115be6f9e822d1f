"""The HTTP side of a process: health, metrics, JSON errors, and requests counted for the drain.

`GET /healthz` says that the process runs, `GET /readyz` whether the balancer may send work, and
`GET /metrics` serves the metrics.  The handlers of other parts are mounted unchanged; each is
counted while it runs, so that a graceful shutdown can wait for it, and replies during the drain
close their connection.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, field
from typing import Any, Final

from tornado import httpserver, httputil, routing, web

from jacinthreel_common import RESULT_TABLE, Fault, ResultCode, encode_json
from jacinthreel_daemon._context import DecisionLog
from jacinthreel_daemon._telemetry import MetricsRegistry

MAX_BODY_BYTES: Final = 1024 * 1024
MAX_READ_BYTES: Final = 8 * MAX_BODY_BYTES  # Larger bodies are cut off without being read.
MAX_HEADER_BYTES: Final = 16 * 1024
IDLE_CONNECTION_S: Final = 75.0
BODY_TIMEOUT_S: Final = 30.0
INPUT_CODES: Final = frozenset(range(ResultCode.MALFORMED_BODY, ResultCode.BAD_SETTINGS))
DRAIN_POLL_S: Final = 0.02
LAST_REQUEST_PAUSE_S: Final = 0.25  # A request that crossed the end of listening still arrives.

Route = tuple[str, type[web.RequestHandler]] | tuple[str, type[web.RequestHandler], dict[str, Any]]


@dataclass(slots=True)
class ServingState:
    """Whether the process may be sent work, and what it has in progress.

    `not_ready` maps each part that isn't ready to its reason.
    """

    not_ready: dict[str, str] = field(default_factory=dict)
    draining: bool = False
    active: int = 0


def fault_body(fault: Fault) -> dict[str, Any]:
    """The JSON body of an error."""
    body: dict[str, Any] = {
        "code": fault.code.value,
        "name": fault.code.name,
        "detail": fault.detail,
    }
    if fault.retry_after_ms is not None:
        body["retry_after_ms"] = fault.retry_after_ms
    return body


def write_fault(handler: web.RequestHandler, fault: Fault) -> None:
    """Answers a request with a numbered error."""
    if isinstance(handler, JsonHandler):
        handler.fault = fault
    handler.set_status(RESULT_TABLE[fault.code].http_status)
    handler.set_header("Content-Type", "application/json")
    if fault.retry_after_ms is not None:
        handler.set_header("Retry-After", str(max(1, math.ceil(fault.retry_after_ms / 1000))))
    handler.finish(encode_json(fault_body(fault)))


class JsonHandler(web.RequestHandler):
    """A handler whose errors are numbered JSON bodies; `fault` is the one that was answered."""

    fault: Fault | None = None

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Turns an exception or a refused method into a numbered error."""
        write_fault(self, _fault_of_status(status_code, self.request))

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        """Bodies are never streamed."""
        raise NotImplementedError


def _fault_of_status(status_code: int, request: httputil.HTTPServerRequest) -> Fault:
    if status_code == 404:
        return Fault(ResultCode.NO_SUCH_RESOURCE, f"no such path: {request.path}")
    if status_code == 405:
        return Fault(ResultCode.NO_SUCH_RESOURCE, f"{request.method} is not served here")
    if status_code < 500:
        return Fault(ResultCode.MALFORMED_BODY, f"bad request ({status_code})")
    return Fault(ResultCode.INTERNAL, "unexpected error")


class _NotFoundHandler(JsonHandler):
    def prepare(self) -> None:
        write_fault(self, Fault(ResultCode.NO_SUCH_RESOURCE, f"no such path: {self.request.path}"))


class _HealthHandler(JsonHandler):
    def get(self) -> None:
        self.finish({"status": "ok"})


class _ReadyHandler(JsonHandler):
    def initialize(self, state: ServingState) -> None:
        self._state = state

    def get(self) -> None:
        if self._state.draining:
            write_fault(self, Fault(ResultCode.SHUTTING_DOWN, "stopping", 1_000))
            return
        if self._state.not_ready:
            reasons = "; ".join(self._state.not_ready.values())
            write_fault(self, Fault(ResultCode.NO_CONFIG, reasons, 1_000))
            return
        self.finish({"status": "ready"})


class _MetricsHandler(JsonHandler):
    def initialize(self, metrics: MetricsRegistry, refresh: Callable[[], None]) -> None:
        self._metrics = metrics
        self._refresh = refresh

    def get(self) -> None:
        self._refresh()
        self.set_header("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
        self.finish(self._metrics.render())


class HttpService:
    """An HTTP server on one port."""

    def __init__(
        self,
        state: ServingState,
        metrics: MetricsRegistry,
        routes: Sequence[Any],
        refresh_metrics: Callable[[], None] = lambda: None,
        log: DecisionLog = lambda event, fields: None,
    ) -> None:
        self._state = state
        self._log = log
        own_routes: list[Any] = [
            (r"/healthz", _HealthHandler),
            (r"/readyz", _ReadyHandler, {"state": state}),
            (r"/metrics", _MetricsHandler, {"metrics": metrics, "refresh": refresh_metrics}),
        ]
        counted = [_count_route(route, state) for route in routes]
        application = web.Application(
            own_routes + counted,
            default_handler_class=_NotFoundHandler,
            log_function=self._log_request,
            compress_response=False,
        )
        self._server = httpserver.HTTPServer(
            application,
            max_body_size=MAX_READ_BYTES,
            max_buffer_size=MAX_READ_BYTES + MAX_HEADER_BYTES,
            max_header_size=MAX_HEADER_BYTES,
            idle_connection_timeout=IDLE_CONNECTION_S,
            body_timeout=BODY_TIMEOUT_S,
        )

    def _log_request(self, handler: web.RequestHandler) -> None:
        """Writes a line for bad input; other outcomes are logged by whoever decides them."""
        fault = handler.fault if isinstance(handler, JsonHandler) else None
        if fault is None or fault.code not in INPUT_CODES:
            return
        fields = {
            "code": fault.code.value,
            "reason": fault.detail,
            "from": handler.request.remote_ip,
        }
        request = {"method": handler.request.method, "path": handler.request.path}
        self._log("bad_input", {**request, **fields})

    def listen(self, address: str, port: int) -> None:
        """Starts serving."""
        self._server.listen(port, address)

    async def stop_listening(self) -> None:
        """Accepts no more connections; requests on those that stand are served."""
        self._server.stop()
        await asyncio.sleep(LAST_REQUEST_PAUSE_S)

    async def drain(self, limit_ms: int) -> bool:
        """Stops listening and waits for requests in progress; false where the limit passed."""
        await self.stop_listening()
        deadline_s = asyncio.get_running_loop().time() + limit_ms / 1000
        while self._state.active and asyncio.get_running_loop().time() < deadline_s:
            await asyncio.sleep(DRAIN_POLL_S)
        drained = self._state.active == 0
        await self._server.close_all_connections()
        return drained


def _count_route(route: Any, state: ServingState) -> Any:
    """The same route with a handler that counts the requests in progress."""
    if isinstance(route, tuple):
        pattern, handler, *rest = route
        return (pattern, _counted(handler, state), *rest)
    return routing.URLSpec(
        route.regex.pattern, _counted(route.handler_class, state), route.kwargs, route.name
    )


def _counted(handler: type[web.RequestHandler], state: ServingState) -> type[web.RequestHandler]:
    class CountedHandler(handler):  # type: ignore[valid-type, misc]
        """Counts the request from its headers to its reply."""

        _in_progress = False

        async def prepare(self) -> None:
            state.active += 1
            self._in_progress = True
            if state.draining:
                self.set_header("Connection", "close")
            if len(self.request.body) > MAX_BODY_BYTES:
                detail = f"the body is larger than {MAX_BODY_BYTES} bytes"
                write_fault(self, Fault(ResultCode.BODY_TOO_LARGE, detail))
                return
            waiting = super().prepare()
            if waiting is not None:
                await waiting

        def on_finish(self) -> None:
            self._leave()
            super().on_finish()

        def on_connection_close(self) -> None:
            self._leave()
            super().on_connection_close()

        def _leave(self) -> None:
            if self._in_progress:
                self._in_progress = False
                state.active -= 1

    return CountedHandler
