"""HTTP API for requests, and the driver of a router's request core.

`POST /v1/requests/WORKSPACE` takes a payload and responds with the executor's complete answer, or
with a result code.  The header `X-Outcome` is `answered`, `not-run` (this HTTP request was not
executed and will not be) or `unknown`.

`RequestService` passes events to the core and performs its effects: attempts through
`ExecutorClient`, claims through `ClaimStore`, and answers through one future per call.  A future is
resolved once and then dropped, so a late answer has no effect.
"""

from __future__ import annotations

import asyncio
import hashlib
import re
from dataclasses import dataclass
from typing import Any, Final

from returns.result import Failure, Result, Success
from tornado.httputil import HTTPHeaders

from jacinthreel_common import (
    DEADLINE_HEADER,
    REQUEST_ID_HEADER,
    Fault,
    Host,
    InFlight,
    ResultCode,
)
from jacinthreel_daemon._context import RouterContext
from jacinthreel_daemon._executor_client import ExecutorClient
from jacinthreel_daemon._http_server import JsonHandler, Route, write_fault
from jacinthreel_daemon._ports import AppliedConfig
from jacinthreel_daemon._request_claims import ClaimStore
from jacinthreel_requests import (
    Answer,
    Answered,
    CallerDisconnected,
    ConfigApplied,
    Dispatch,
    DrainStarted,
    Effect,
    Event,
    HostsListed,
    LogDecision,
    NotRun,
    Outcome,
    PeerInFlight,
    ReadRow,
    RequestArrived,
    RequestRouter,
    Tick,
    Unknown,
    WriteRow,
)

MAX_PAYLOAD_BYTES: Final = 1024 * 1024
DEFAULT_DEADLINE_MS: Final = 30_000
MAX_DEADLINE_MS: Final = 600_000
REQUEST_ID_PATTERN: Final = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,99}")
IDEMPOTENT_HEADER: Final = "X-Idempotent"
OUTCOME_HEADER: Final = "X-Outcome"
RESULT_CODE_HEADER: Final = "X-Result-Code"
REPLAYED_HEADER: Final = "X-Replayed"
DRAIN_POLL_S: Final = 0.02
CLAIMS_DRAIN_TIMEOUT_MS: Final = 5_000


@dataclass(frozen=True, slots=True)
class RequestHeaders:
    """The parsed headers of a request.  `request_id` is None if the caller sent none."""

    deadline_ms: int
    idempotent: bool
    request_id: str | None


def parse_headers(headers: HTTPHeaders) -> Result[RequestHeaders, Fault]:
    """Parses the headers of a request.  Errors: WRONG_TYPE, OUT_OF_RANGE."""
    deadline = headers.get(DEADLINE_HEADER, str(DEFAULT_DEADLINE_MS))
    if not (deadline.isascii() and deadline.isdigit()):
        return Failure(Fault(ResultCode.WRONG_TYPE, f"{DEADLINE_HEADER} is not a whole number"))
    if len(deadline) > 9 or not 1 <= int(deadline) <= MAX_DEADLINE_MS:
        detail = f"{DEADLINE_HEADER} is not between 1 and {MAX_DEADLINE_MS}"
        return Failure(Fault(ResultCode.OUT_OF_RANGE, detail))
    idempotent = headers.get(IDEMPOTENT_HEADER, "false").lower()
    if idempotent not in ("true", "false"):
        return Failure(Fault(ResultCode.WRONG_TYPE, f"{IDEMPOTENT_HEADER} is not true or false"))
    request_id = headers.get(REQUEST_ID_HEADER)
    if request_id is not None and not REQUEST_ID_PATTERN.fullmatch(request_id):
        detail = f"{REQUEST_ID_HEADER} does not match {REQUEST_ID_PATTERN.pattern}"
        return Failure(Fault(ResultCode.OUT_OF_RANGE, detail))
    return Success(RequestHeaders(int(deadline), idempotent == "true", request_id))


class RequestService:
    """Drives the request core of one router process."""

    def __init__(self, context: RouterContext, client: ExecutorClient | None = None) -> None:
        self._context = context
        self._client = client or ExecutorClient()
        boot_id = f"{context.rng.getrandbits(64):016x}"
        self._boot_id = boot_id
        self.core = RequestRouter(context.host_id, context.zone, boot_id, context.rng)
        self._claims = ClaimStore(context.store, self.feed)
        self._next_call_id = 1
        self._bodies_by_call_id: dict[int, bytes] = {}
        self._waiters_by_call_id: dict[int, asyncio.Future[Outcome]] = {}
        self._attempt_tasks: set[asyncio.Task[None]] = set()
        self._timer: asyncio.TimerHandle | None = None
        context.config.subscribe(self._on_config)
        context.hosts.subscribe(self._on_hosts)
        applied = context.config.current()
        now_ms = context.clock.now_ms()
        if applied is not None:
            self.core.handle(ConfigApplied(applied.config), now_ms)
        self.core.handle(HostsListed(list(context.hosts.by_id().values())), now_ms)

    def routes(self) -> list[Route]:
        """Returns the routes for the router's HTTP server."""
        return [(r"/v1/requests/([^/]+)", RequestHandler, {"service": self})]

    def on_peer_in_flight(self, host_id: str, notice: InFlight) -> None:
        """Applies another router's notice of its requests in flight."""
        self.feed(PeerInFlight(host_id, notice.by_executor, notice.waiting))

    def in_flight_notice(self) -> InFlight:
        """Returns a notice of the requests in flight and queued.

        It is sent to the other routers several times a second.
        """
        return InFlight(self.core.in_flight_by_executor(), self.core.count_queued())

    def tick(self, now_ms: int) -> None:
        """Lets the core process due timeouts, health checks and retries."""
        self.feed(Tick(self._context.clock.unix_ms()))

    async def drain(self) -> None:
        """Rejects new requests and waits until every accepted request has its answer.

        Then waits up to `CLAIMS_DRAIN_TIMEOUT_MS` until every claim has been closed.
        """
        self.feed(DrainStarted())
        while self._waiters_by_call_id:
            await asyncio.sleep(DRAIN_POLL_S)
        drain_deadline_ms = self._context.clock.now_ms() + CLAIMS_DRAIN_TIMEOUT_MS
        while not self.core.is_idle() and self._context.clock.now_ms() < drain_deadline_ms:
            await asyncio.sleep(DRAIN_POLL_S)
        if self._timer is not None:
            self._timer.cancel()

    def start_request(
        self, workspace: str, headers: RequestHeaders, body: bytes
    ) -> tuple[int, asyncio.Future[Outcome]]:
        """Passes a request to the core; returns its call id and a future for its final outcome."""
        call_id = self._next_call_id
        self._next_call_id += 1
        request_id = headers.request_id or f"{self._context.host_id}-{self._boot_id}-{call_id}"
        waiter: asyncio.Future[Outcome] = asyncio.get_running_loop().create_future()
        self._waiters_by_call_id[call_id] = waiter
        self._bodies_by_call_id[call_id] = body
        self.feed(
            RequestArrived(
                call_id,
                workspace,
                request_id,
                headers.idempotent,
                requires_claim=headers.request_id is not None and not headers.idempotent,
                deadline_ms=self._context.clock.now_ms() + headers.deadline_ms,
                body_hash=hashlib.sha256(body).hexdigest(),
                unix_ms=self._context.clock.unix_ms(),
            )
        )
        return call_id, waiter

    def on_caller_disconnected(self, call_id: int) -> None:
        """Drops the call of a caller that closed its connection before the answer."""
        if self._waiters_by_call_id.pop(call_id, None) is None:
            return
        self._bodies_by_call_id.pop(call_id, None)
        self._context.telemetry.count('requests_total{outcome="gone",code="0"}')
        self.feed(CallerDisconnected(call_id))

    def now_ms(self) -> int:
        """Returns the monotonic time in milliseconds."""
        return self._context.clock.now_ms()

    def count_outcome(self, outcome: Outcome, started_ms: int) -> None:
        """Records a final outcome and the caller's waiting time in the metrics."""
        kind = {Answered: "answered", NotRun: "not-run", Unknown: "unknown"}[type(outcome)]
        code = 0 if isinstance(outcome, Answered) else outcome.code.value
        telemetry = self._context.telemetry
        telemetry.count(f'requests_total{{outcome="{kind}",code="{code}"}}')
        telemetry.observe_ms(f'request_ms{{outcome="{kind}"}}', self.now_ms() - started_ms)

    def feed(self, event: Event) -> None:
        """Passes an event to the core and performs the resulting effects."""
        for effect in self.core.handle(event, self._context.clock.now_ms()):
            self._perform(effect)
        self._context.telemetry.gauge("request_queue", len(self.core.queue))
        self._schedule_tick()

    def _perform(self, effect: Effect) -> None:
        match effect:
            case Dispatch():
                body = self._bodies_by_call_id[effect.call_id]
                task = asyncio.get_running_loop().create_task(self._attempt(effect, body))
                self._attempt_tasks.add(task)
                task.add_done_callback(self._attempt_tasks.discard)
            case Answer():
                self._resolve_waiter(effect)
            case WriteRow():
                self._claims.write(effect)
            case ReadRow():
                self._claims.read(effect)
            case LogDecision():
                self._context.log_event(effect.event, effect.fields)

    async def _attempt(self, dispatch: Dispatch, body: bytes) -> None:
        started_ms = self._context.clock.now_ms()
        ended = await self._client.execute(dispatch, body)
        kind = type(ended.outcome).__name__
        self._context.telemetry.count(f'request_attempts_total{{outcome="{kind}"}}')
        took_ms = self._context.clock.now_ms() - started_ms
        self._context.telemetry.observe_ms("request_attempt_ms", took_ms)
        self.feed(ended)

    def _resolve_waiter(self, answer: Answer) -> None:
        self._bodies_by_call_id.pop(answer.call_id, None)
        waiter = self._waiters_by_call_id.pop(answer.call_id, None)
        if waiter is not None and not waiter.done():
            waiter.set_result(answer.outcome)

    def _schedule_tick(self) -> None:
        """Schedules the next tick at the time when the core next has work due."""
        if self._timer is not None:
            self._timer.cancel()
        now_ms = self._context.clock.now_ms()
        delay_ms = self.core.next_due_ms(now_ms) - now_ms
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(delay_ms / 1000, self.tick, 0)

    def _on_config(self, applied: AppliedConfig) -> None:
        self.feed(ConfigApplied(applied.config))

    def _on_hosts(self, hosts: list[Host]) -> None:
        self.feed(HostsListed(hosts))


class RequestHandler(JsonHandler):
    """Serves one request."""

    def initialize(self, service: RequestService) -> None:
        """Stores the service, which all handlers share."""
        self._service = service
        self._call_id: int | None = None
        self._is_accepted = False

    def set_default_headers(self) -> None:
        """Sets the outcome to `not-run`, for replies sent before the request is accepted."""
        self.set_header(OUTCOME_HEADER, "not-run")

    async def post(self, workspace: str) -> None:
        """Serves `POST /v1/requests/WORKSPACE`."""
        started_ms = self._service.now_ms()
        body = self.request.body
        if len(body) > MAX_PAYLOAD_BYTES:
            detail = f"the payload is larger than {MAX_PAYLOAD_BYTES} bytes"
            self._refuse(Fault(ResultCode.BODY_TOO_LARGE, detail))
            return
        match parse_headers(self.request.headers):
            case Success(headers):
                pass
            case Failure(fault):
                self._refuse(fault)
                return
        self._is_accepted = True
        self._call_id, waiter = self._service.start_request(workspace, headers, body)
        outcome = await waiter
        self._service.count_outcome(outcome, started_ms)
        self._reply(outcome)

    def on_connection_close(self) -> None:
        """Drops the call, since its caller has disconnected."""
        if self._call_id is not None:
            self._service.on_caller_disconnected(self._call_id)

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Sets the outcome to `unknown` for an unexpected error after the request was accepted."""
        if self._is_accepted:
            self.set_header(OUTCOME_HEADER, "unknown")
        super().write_error(status_code, **kwargs)

    def _reply(self, outcome: Outcome) -> None:
        match outcome:
            case Answered(answer, replayed):
                self.set_status(answer.status)
                self.set_header("Content-Type", answer.content_type)
                self.set_header(OUTCOME_HEADER, "answered")
                self.set_header(RESULT_CODE_HEADER, str(ResultCode.OK.value))
                if replayed:
                    self.set_header(REPLAYED_HEADER, "true")
                self.finish(answer.body)
            case NotRun(code, detail, retry_after_ms):
                self._refuse(Fault(code, detail, retry_after_ms))
            case Unknown(code, detail, retry_after_ms):
                self.set_header(OUTCOME_HEADER, "unknown")
                self.set_header(RESULT_CODE_HEADER, str(code.value))
                write_fault(self, Fault(code, detail, retry_after_ms))

    def _refuse(self, fault: Fault) -> None:
        self.set_header(OUTCOME_HEADER, "not-run")
        self.set_header(RESULT_CODE_HEADER, str(fault.code.value))
        write_fault(self, fault)
