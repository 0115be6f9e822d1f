"""Baseline routers, as operators commonly set them up: random or round-robin choice.

Each router has a FIFO queue limited to the preset's queue length, and has at most its equal share
of all slots in flight.  It sends requests only to listed executors that are not leaving.  If an
executor refuses a request or can't be reached, it retries on another one, up to `MAX_ATTEMPTS`
attempts in all.  It retries a request whose reply was lost only if the request is idempotent.  A
request whose deadline expires in the queue is answered as not run.
"""

from __future__ import annotations

import random
from collections import deque
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Final

from jacinthreel_common import Config, Host, HostKind, HostState, ResultCode
from jacinthreel_requests import (
    Answer,
    Answered,
    AttemptEnded,
    ConfigApplied,
    Dispatch,
    Effect,
    Event,
    HostsListed,
    Lost,
    NotRun,
    NotSent,
    Outcome,
    Refused,
    RequestArrived,
    Unknown,
    WholeAnswer,
)

MAX_ATTEMPTS: Final = 4
RETRY_AFTER_MS: Final = 1_000
IDLE_TICK_MS: Final = 50


class BaselinePolicy(StrEnum):
    """How a baseline chooses an executor."""

    RANDOM = "random"
    ROUND_ROBIN = "round_robin"


@dataclass(slots=True)
class _Request:
    call_id: int
    workspace: str
    request_id: str
    idempotent: bool
    deadline_ms: int
    attempts: int = 0
    may_have_run: bool = False
    answered: bool = False
    in_flight: bool = False
    tried_executor_ids: set[str] = field(default_factory=set)


class BaselineRouter:
    """A router with a simple policy; it has the interface of the request core."""

    def __init__(self, policy: BaselinePolicy, rng: random.Random) -> None:
        self._policy = policy
        self._rng = rng
        self._config: Config | None = None
        self._hosts: list[Host] = []
        self._in_flight_limit = 0
        self._next_host_index = rng.randrange(1_000)
        self._queue: deque[_Request] = deque()
        self._requests_by_call: dict[int, _Request] = {}
        self._attempts_by_id: dict[int, tuple[_Request, str]] = {}
        self._next_attempt_id = 1
        self._effects: list[Effect] = []

    def handle(self, event: Event, now_ms: int) -> list[Effect]:
        """Processes an event and returns the effects to perform."""
        self._effects = []
        match event:
            case ConfigApplied():
                self._config = event.config
            case HostsListed():
                self._on_hosts(event.hosts)
            case RequestArrived():
                self._on_arrival(event)
            case AttemptEnded():
                self._on_attempt_ended(event, now_ms)
            case _:
                pass
        self._expire_requests(now_ms)
        while self._queue and len(self._attempts_by_id) < self._in_flight_limit:
            self._dispatch(self._queue.popleft(), now_ms)
        return self._effects

    def next_due_ms(self, now_ms: int) -> int:
        """Returns the latest time of the next tick."""
        return now_ms + IDLE_TICK_MS

    def in_flight_by_executor(self) -> dict[str, int]:
        """Returns no counts: baselines don't share their load with other routers."""
        return {}

    def count_queued(self) -> int:
        """Returns the number of queued requests."""
        return len(self._queue)

    def _on_hosts(self, hosts: list[Host]) -> None:
        self._hosts = [
            host
            for host in hosts
            if host.kind is HostKind.EXECUTOR and host.state is HostState.LIVE
        ]
        routers = sum(host.kind is HostKind.ENTRY for host in hosts)
        self._in_flight_limit = sum(host.slots for host in self._hosts) // max(1, routers)

    def _on_arrival(self, event: RequestArrived) -> None:
        assert self._config is not None
        if len(self._queue) >= self._config.settings.request_queue:
            refusal = NotRun(ResultCode.OVERLOADED, "request queue is full", RETRY_AFTER_MS)
            self._effects.append(Answer(event.call_id, refusal))
            return
        request = _Request(
            event.call_id, event.workspace, event.request_id, event.idempotent, event.deadline_ms
        )
        self._requests_by_call[request.call_id] = request
        self._queue.append(request)

    def _dispatch(self, request: _Request, now_ms: int) -> None:
        host = self._choose_executor(request)
        request.attempts += 1
        request.in_flight = True
        request.tried_executor_ids.add(host.host_id)
        attempt_id = self._next_attempt_id
        self._next_attempt_id += 1
        self._attempts_by_id[attempt_id] = (request, host.host_id)
        self._effects.append(
            Dispatch(
                attempt_id,
                request.call_id,
                host.host_id,
                host.address,
                host.port,
                request.workspace,
                request.request_id,
                request.deadline_ms - now_ms,
            )
        )

    def _choose_executor(self, request: _Request) -> Host:
        untried_hosts = [
            host for host in self._hosts if host.host_id not in request.tried_executor_ids
        ]
        hosts = untried_hosts or self._hosts
        if self._policy is BaselinePolicy.RANDOM:
            return self._rng.choice(hosts)
        self._next_host_index += 1
        return hosts[self._next_host_index % len(hosts)]

    def _on_attempt_ended(self, event: AttemptEnded, now_ms: int) -> None:
        request, _ = self._attempts_by_id.pop(event.attempt_id)
        request.in_flight = False
        match event.outcome:
            case WholeAnswer():
                self._answer(request, Answered(event.outcome))
                return
            case Lost():
                request.may_have_run = True
                if not request.idempotent:
                    self._answer(request, self._make_failure_outcome(request))
                    return
            case Refused() | NotSent():
                pass
        if request.answered:
            self._requests_by_call.pop(request.call_id, None)
            return
        if request.attempts >= MAX_ATTEMPTS:
            self._answer(request, self._make_failure_outcome(request))
            return
        self._dispatch(request, now_ms)

    def _expire_requests(self, now_ms: int) -> None:
        for request in list(self._requests_by_call.values()):
            if request.answered or request.deadline_ms > now_ms:
                continue
            if request.in_flight:
                request.may_have_run = True
            else:
                self._queue.remove(request)
            self._answer(request, self._make_failure_outcome(request))

    def _make_failure_outcome(self, request: _Request) -> Outcome:
        if request.may_have_run:
            return Unknown(ResultCode.OUTCOME_UNKNOWN, "reply lost or deadline expired")
        return NotRun(ResultCode.OVERLOADED, "no executor accepted the request", RETRY_AFTER_MS)

    def _answer(self, request: _Request, outcome: Outcome) -> None:
        if not request.answered:
            request.answered = True
            self._effects.append(Answer(request.call_id, outcome))
        if not request.in_flight:
            self._requests_by_call.pop(request.call_id, None)
