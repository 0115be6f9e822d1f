"""The HTTP server of a process: health checks, metrics, JSON errors and graceful shutdown.

`GET /healthz` is the liveness check, `GET /readyz` tells the load balancer whether to send
requests, and `GET /metrics` returns the metrics.  Handlers of other modules are wrapped to
count the requests in progress, so that a graceful shutdown can wait for them.  Replies sent while
draining close their connection.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, field
from typing import Any, Final

from tornado import httpserver, httputil, routing, web

from jacinthreel_common import RESULT_TABLE, Fault, ResultCode, encode_json
from jacinthreel_daemon._context import LogFunction
from jacinthreel_daemon._telemetry import MetricsRegistry

MAX_BODY_BYTES: Final = 1024 * 1024
# Bodies between `MAX_BODY_BYTES` and this size are read and get a BODY_TOO_LARGE reply; tornado
# rejects larger ones without reading them.
MAX_RECEIVED_BODY_BYTES: Final = 8 * MAX_BODY_BYTES
MAX_HEADER_BYTES: Final = 16 * 1024
IDLE_CONNECTION_TIMEOUT_S: Final = 75.0
BODY_TIMEOUT_S: Final = 30.0
INPUT_ERROR_CODES: Final = frozenset(range(ResultCode.MALFORMED_BODY, ResultCode.BAD_SETTINGS))
DRAIN_POLL_S: Final = 0.02
# Time for requests that were sent before the server stopped listening to arrive.
IN_TRANSIT_REQUEST_GRACE_S: Final = 0.25

Route = tuple[str, type[web.RequestHandler]] | tuple[str, type[web.RequestHandler], dict[str, Any]]


@dataclass(slots=True)
class ServingState:
    """Whether the process accepts requests, and how many are in progress.

    `not_ready` maps the name of each component that is not ready to the reason.
    """

    not_ready: dict[str, str] = field(default_factory=dict)
    draining: bool = False
    active_requests: int = 0


def fault_body(fault: Fault) -> dict[str, Any]:
    """Returns the JSON body of an error reply."""
    body: dict[str, Any] = {
        "code": fault.code.value,
        "name": fault.code.name,
        "detail": fault.detail,
    }
    if fault.retry_after_ms is not None:
        body["retry_after_ms"] = fault.retry_after_ms
    return body


def write_fault(handler: web.RequestHandler, fault: Fault) -> None:
    """Replies to a request with the fault's result code, HTTP status and JSON body."""
    if isinstance(handler, JsonHandler):
        handler.fault = fault
    handler.set_status(RESULT_TABLE[fault.code].http_status)
    handler.set_header("Content-Type", "application/json")
    if fault.retry_after_ms is not None:
        handler.set_header("Retry-After", str(max(1, math.ceil(fault.retry_after_ms / 1000))))
    handler.finish(encode_json(fault_body(fault)))


class JsonHandler(web.RequestHandler):
    """A handler that reports errors as JSON with a result code; `fault` is the reported error."""

    fault: Fault | None = None

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Replies to an exception or an unsupported method with a JSON error."""
        write_fault(self, _fault_of_status(status_code, self.request))

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        """Not supported: request bodies are not streamed."""
        raise NotImplementedError


def _fault_of_status(status_code: int, request: httputil.HTTPServerRequest) -> Fault:
    if status_code == 404:
        return Fault(ResultCode.NO_SUCH_RESOURCE, f"no such path: {request.path}")
    if status_code == 405:
        return Fault(
            ResultCode.NO_SUCH_RESOURCE, f"method {request.method} is not supported for this path"
        )
    if status_code < 500:
        return Fault(ResultCode.MALFORMED_BODY, f"bad request ({status_code})")
    return Fault(ResultCode.INTERNAL, "internal error")


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
        log: LogFunction = lambda event, fields: None,
    ) -> None:
        self._state = state
        self._log = log
        builtin_routes: list[Any] = [
            (r"/healthz", _HealthHandler),
            (r"/readyz", _ReadyHandler, {"state": state}),
            (r"/metrics", _MetricsHandler, {"metrics": metrics, "refresh": refresh_metrics}),
        ]
        counted_routes = [_wrap_route(route, state) for route in routes]
        application = web.Application(
            builtin_routes + counted_routes,
            default_handler_class=_NotFoundHandler,
            log_function=self._log_request,
            compress_response=False,
        )
        self._server = httpserver.HTTPServer(
            application,
            max_body_size=MAX_RECEIVED_BODY_BYTES,
            max_buffer_size=MAX_RECEIVED_BODY_BYTES + MAX_HEADER_BYTES,
            max_header_size=MAX_HEADER_BYTES,
            idle_connection_timeout=IDLE_CONNECTION_TIMEOUT_S,
            body_timeout=BODY_TIMEOUT_S,
        )

    def _log_request(self, handler: web.RequestHandler) -> None:
        """Logs invalid input; other outcomes are logged by the code that decides them."""
        fault = handler.fault if isinstance(handler, JsonHandler) else None
        if fault is None or fault.code not in INPUT_ERROR_CODES:
            return
        fields = {
            "code": fault.code.value,
            "reason": fault.detail,
            "from": handler.request.remote_ip,
        }
        request = {"method": handler.request.method, "path": handler.request.path}
        self._log("bad_input", {**request, **fields})

    def listen(self, address: str, port: int) -> None:
        """Starts to accept connections."""
        self._server.listen(port, address)

    async def stop_listening(self) -> None:
        """Stops accepting connections; requests on open connections are still served."""
        self._server.stop()
        await asyncio.sleep(IN_TRANSIT_REQUEST_GRACE_S)

    async def drain(self, limit_ms: int) -> bool:
        """Stops listening and waits for requests in progress; returns false after `limit_ms`."""
        await self.stop_listening()
        deadline_s = asyncio.get_running_loop().time() + limit_ms / 1000
        while self._state.active_requests and asyncio.get_running_loop().time() < deadline_s:
            await asyncio.sleep(DRAIN_POLL_S)
        drained = self._state.active_requests == 0
        await self._server.close_all_connections()
        return drained


def _wrap_route(route: Any, state: ServingState) -> Any:
    """Returns the route with a handler that also counts the requests in progress."""
    if isinstance(route, tuple):
        pattern, handler, *rest = route
        return (pattern, _make_counted_handler(handler, state), *rest)
    return routing.URLSpec(
        route.regex.pattern,
        _make_counted_handler(route.handler_class, state),
        route.kwargs,
        route.name,
    )


def _make_counted_handler(
    handler: type[web.RequestHandler], state: ServingState
) -> type[web.RequestHandler]:
    class CountedHandler(handler):  # type: ignore[valid-type, misc]
        """Counts the request as in progress until it is finished or its connection closes."""

        _in_progress = False

        async def prepare(self) -> None:
            state.active_requests += 1
            self._in_progress = True
            if state.draining:
                self.set_header("Connection", "close")
            if len(self.request.body) > MAX_BODY_BYTES:
                detail = f"the body is larger than {MAX_BODY_BYTES} bytes"
                write_fault(self, Fault(ResultCode.BODY_TOO_LARGE, detail))
                return
            awaitable = super().prepare()
            if awaitable is not None:
                await awaitable

        def on_finish(self) -> None:
            self._end_request()
            super().on_finish()

        def on_connection_close(self) -> None:
            self._end_request()
            super().on_connection_close()

        def _end_request(self) -> None:
            if self._in_progress:
                self._in_progress = False
                state.active_requests -= 1

    return CountedHandler
