"""Simulates request routers, executors and the table service in one process.

`Cluster` queues the messages that the routers' effects produce.  A test delivers each message
explicitly and chooses the order and the faults.  `Cluster` checks the invariants after each step.
"""

from __future__ import annotations

import random
from collections.abc import Iterator
from dataclasses import dataclass, replace

import pytest

from jacinthreel_common import (
    Condition,
    Config,
    Host,
    HostKind,
    HostState,
    PresetName,
    ReadQuery,
    RowWrite,
    Transaction,
    Workspace,
    WriteOutcome,
    ZoneOutage,
)
from jacinthreel_requests import (
    Answer,
    Answered,
    AttemptEnded,
    CallerDisconnected,
    ConfigApplied,
    Dispatch,
    DrainStarted,
    Event,
    HostsListed,
    LogDecision,
    Lost,
    NotRun,
    NotSent,
    Outcome,
    PeerInFlight,
    ReadRow,
    Refused,
    RequestArrived,
    RequestRouter,
    RowRead,
    Tick,
    WholeAnswer,
    WriteDone,
    WriteRow,
)
from jacinthreel_standins import (
    ExecutorModel,
    ExecutorRefusal,
    ExecutorRun,
    TableModel,
    expected_answer,
)

WORKSPACE = "labels"
CONNECTIONS = 6


@dataclass(frozen=True, slots=True)
class SentRequest:
    """A request as sent by a caller to one router."""

    router: int
    call_id: int
    request_id: str
    idempotent: bool
    body: bytes
    deadline_ms: int


@dataclass(frozen=True, slots=True)
class InFlightRequest:
    """An attempt in flight; `run` is None until the executor has started the request."""

    router: int
    dispatch: Dispatch
    run: ExecutorRun | None = None


@dataclass(frozen=True, slots=True)
class StoreMessage:
    """A table write or read that was not delivered yet."""

    router: int
    effect: WriteRow | ReadRow


class Cluster:
    """Simulated routers, executors and table.

    A replacement router gets a new number, so that messages to the old router are dropped.
    """

    def __init__(self, routers: int = 2, executors: int = 2, slots: int = 2) -> None:
        self.now_ms = 1_000
        self.table = TableModel()
        self.store_unavailable = False
        self.config = Config(1, PresetName.ORDINARY, workspaces={WORKSPACE: Workspace(WORKSPACE)})
        self.executors = {
            f"x{n}": ExecutorModel(f"x{n}", slots=slots) for n in range(1, executors + 1)
        }
        self.hosts = {
            f"x{n}": Host(
                f"x{n}",
                HostKind.EXECUTOR,
                "10.0.0.1",
                n,
                f"zone{n}",
                "r",
                slots=slots,
                connections=CONNECTIONS,
            )
            for n in range(1, executors + 1)
        }
        for n in range(1, routers + 1):
            self.hosts[f"h{n}"] = Host(f"h{n}", HostKind.ENTRY, "10.0.1.1", n, "zone1", "r")
        self.routers: dict[int, RequestRouter] = {}
        self.known_hosts: dict[int, dict[str, Host]] = {}
        self.sent_requests: dict[tuple[int, int], SentRequest] = {}
        self.outcomes: dict[tuple[int, int], Outcome] = {}
        self.disconnected_calls: set[tuple[int, int]] = set()
        self.runs: list[tuple[int, int]] = []
        self.in_flight: list[InFlightRequest] = []
        self.store_messages: list[StoreMessage] = []
        self.delayed_writes: list[WriteRow] = []
        self.decisions: list[LogDecision] = []
        self.last_event_ms: dict[int, int] = {}
        self._next_router = 1
        self._next_call = 1
        for n in range(1, routers + 1):
            self.start_router(f"h{n}")

    # Routers.

    def start_router(self, host_id: str) -> int:
        number = self._next_router
        self._next_router += 1
        router = RequestRouter(host_id, "zone1", f"boot{number}", random.Random(number))
        self.routers[number] = router
        self.feed(number, ConfigApplied(self.config))
        self.send_host_list(number)
        return number

    def kill_router(self, number: int) -> int:
        """Removes a router without draining it, and starts a replacement."""
        del self.routers[number]
        self.disconnected_calls |= {
            call_key for call_key in self.sent_requests if call_key[0] == number
        } - set(self.outcomes)
        return self.start_router(f"h{number}b")

    def send_host_list(self, number: int) -> None:
        self.known_hosts[number] = dict(self.hosts)
        self.feed(number, HostsListed(list(self.hosts.values())))

    def feed(self, number: int, event: Event) -> None:
        """Passes an event to a router, checks its answers and queues its other effects."""
        router = self.routers.get(number)
        if router is None:
            return
        self.last_event_ms[number] = self.now_ms
        for effect in router.handle(event, self.now_ms):
            match effect:
                case Dispatch():
                    self._check_dispatch(number, effect)
                    self.in_flight.append(InFlightRequest(number, effect))
                case Answer():
                    self._check_answer(number, effect)
                case WriteRow() | ReadRow():
                    self.store_messages.append(StoreMessage(number, effect))
                case LogDecision():
                    self.decisions.append(effect)
        self.check_invariants()

    def send(
        self,
        number: int,
        request_id: str | None,
        idempotent: bool = False,
        body: bytes = b"payload",
        within_ms: int = 10_000,
    ) -> tuple[int, int]:
        """Sends a request to a router; returns the key of the call (router number, call id)."""
        call_id = self._next_call
        self._next_call += 1
        name = request_id or f"own-{call_id}"
        call_key = (number, call_id)
        deadline_ms = self.now_ms + within_ms
        self.sent_requests[call_key] = SentRequest(
            number, call_id, name, idempotent, body, deadline_ms
        )
        event = RequestArrived(
            call_id,
            WORKSPACE,
            name,
            idempotent,
            requires_claim=request_id is not None and not idempotent,
            deadline_ms=deadline_ms,
            body_hash=body.hex(),
            unix_ms=self.now_ms,
        )
        self.feed(number, event)
        return call_key

    def disconnect_caller(self, call_key: tuple[int, int]) -> None:
        if call_key not in self.outcomes:
            self.disconnected_calls.add(call_key)
            self.feed(call_key[0], CallerDisconnected(call_key[1]))

    def drain(self, number: int) -> None:
        self.feed(number, DrainStarted())

    def advance(self, duration_ms: int) -> None:
        """Advances the clock and feeds ticks at the times that the routers ask for."""
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            due = min(r.next_due_ms(self.now_ms) for r in self.routers.values())
            self.now_ms = min(end_ms, due)
            for number in list(self.routers):
                self.feed(number, Tick(self.now_ms))

    def exchange_peer_notices(self) -> None:
        for number, router in list(self.routers.items()):
            notice = PeerInFlight(
                str(number), router.in_flight_by_executor(), router.count_queued()
            )
            for other in list(self.routers):
                if other != number:
                    self.feed(other, notice)

    def take_zone_out(self, zone: str) -> None:
        outages = {**self.config.zones_out, zone: ZoneOutage(zone, "repairs", 0)}
        self.config = replace(self.config, version=self.config.version + 1, zones_out=outages)
        for number in list(self.routers):
            self.feed(number, ConfigApplied(self.config))

    def start_leaving(self, executor_id: str, listed: bool) -> None:
        """Makes an executor refuse new requests; if `listed`, also lists it as leaving."""
        self.executors[executor_id].leaving = True
        if listed:
            self.hosts[executor_id] = replace(self.hosts[executor_id], state=HostState.LEAVING)
            for number in list(self.routers):
                self.send_host_list(number)

    # Messages between routers and executors.

    def deliver_request(self, message: InFlightRequest) -> None:
        """Delivers a request to its executor, which starts or refuses it."""
        self.in_flight.remove(message)
        dispatch = message.dispatch
        model = self.executors[dispatch.executor_id]
        sent_request = self.sent_requests[(message.router, dispatch.call_id)]
        admitted = model.admit(
            dispatch.request_id, dispatch.workspace, sent_request.body, self.now_ms
        )
        if isinstance(admitted, ExecutorRefusal):
            refused = Refused(leaving=model.leaving)
            self._end_attempt(message, refused, model.busy_slots)
            return
        self.runs.append((message.router, dispatch.call_id))
        self.in_flight.append(replace(message, run=admitted))
        self.check_invariants()

    def fail_to_connect(self, message: InFlightRequest) -> None:
        self.in_flight.remove(message)
        self._end_attempt(message, NotSent("connection refused"), None)

    def deliver_reply(
        self, message: InFlightRequest, lost: bool = False, duplicated: bool = False
    ) -> None:
        """Finishes a run at the executor and delivers, loses or duplicates its reply."""
        assert message.run is not None
        self.in_flight.remove(message)
        model = self.executors[message.dispatch.executor_id]
        model.finish(message.run.run_id)
        if lost:
            self._end_attempt(message, Lost("connection reset"), None)
            return
        for _ in range(2 if duplicated else 1):
            self._end_attempt(
                message, WholeAnswer(200, "text/plain", message.run.answer), model.busy_slots
            )

    def _end_attempt(
        self,
        message: InFlightRequest,
        outcome: WholeAnswer | Refused | NotSent | Lost,
        busy: int | None,
    ) -> None:
        self.feed(message.router, AttemptEnded(message.dispatch.attempt_id, outcome, busy))

    # Messages between routers and the table.

    def deliver_store_message(self, message: StoreMessage, delivery: str = "answered") -> None:
        """Delivers a table message to the table and its result to the router.

        `delivery` is one of: answered, lost_request, lost_reply, late.  A late write is reported as
        unknown and applied by `apply_delayed_writes`.
        """
        self.store_messages.remove(message)
        effect = message.effect
        if isinstance(effect, ReadRow):
            rows = self.table.read(ReadQuery([effect.key])).rows
            unavailable = self.store_unavailable or delivery != "answered"
            row = rows[0] if rows and not unavailable else None
            self.feed(message.router, RowRead(effect.write_id, row, unavailable))
            return
        if self.store_unavailable:
            self.feed(message.router, WriteDone(effect.write_id, WriteOutcome.FAILED))
            return
        if delivery == "late":
            self.delayed_writes.append(effect)
        version = self.apply_write(effect) if delivery in ("answered", "lost_reply") else None
        if delivery != "answered":
            self.feed(message.router, WriteDone(effect.write_id, WriteOutcome.UNKNOWN))
        elif version is None:
            self.feed(message.router, WriteDone(effect.write_id, WriteOutcome.CONFLICT))
        else:
            done = WriteDone(effect.write_id, WriteOutcome.COMMITTED, version)
            self.feed(message.router, done)

    def apply_write(self, effect: WriteRow) -> int | None:
        """Applies a conditional write; returns the new version, or None if its condition fails."""
        condition = Condition(effect.key, effect.required_version)
        write = RowWrite(effect.key, effect.value)
        reply = self.table.transact(Transaction(effect.write_id, [condition], [write]))
        return reply.versions[effect.key] if reply.committed else None

    def apply_delayed_writes(self) -> None:
        """Applies the delayed writes to the table."""
        delayed, self.delayed_writes = self.delayed_writes, []
        for effect in delayed:
            self.apply_write(effect)

    # Delivery of all messages.

    def deliver_store_messages(self) -> None:
        while self.store_messages:
            self.deliver_store_message(self.store_messages[0])

    def deliver_all(self) -> None:
        """Delivers all messages until none are pending and no request is queued."""
        for _ in range(200):
            self.deliver_store_messages()
            for message in list(self.in_flight):
                if message.run is None:
                    self.deliver_request(message)
                else:
                    self.deliver_reply(message)
            self.apply_delayed_writes()
            waiting = any(router.count_queued() for router in self.routers.values())
            if not (self.in_flight or self.store_messages or waiting):
                return
            self.advance(20)

    # Invariants.

    def _check_dispatch(self, number: int, dispatch: Dispatch) -> None:
        host = self.known_hosts[number][dispatch.executor_id]
        assert host.state is HostState.LIVE, "sent to an executor that is listed as leaving"
        assert host.zone not in self.config.zones_out, "sent to a zone that is out of service"
        assert (number, dispatch.call_id) not in self.outcomes, "sent after the final answer"

    def _check_answer(self, number: int, answer: Answer) -> None:
        call_key = (number, answer.call_id)
        assert call_key in self.sent_requests, "answered an unknown call"
        assert call_key not in self.outcomes, "answered twice"
        assert call_key not in self.disconnected_calls, "answered a caller that has disconnected"
        self.outcomes[call_key] = answer.outcome
        sent_request = self.sent_requests[call_key]
        if isinstance(answer.outcome, Answered):
            expected = expected_answer(sent_request.request_id, WORKSPACE, sent_request.body)
            assert answer.outcome.answer.body == expected, "answered with another request's answer"

    def check_invariants(self) -> None:
        for call_key, outcome in self.outcomes.items():
            if isinstance(outcome, NotRun):
                assert call_key not in self.runs, "answered with NotRun, but the request ran"
        self._check_at_most_once()
        for call_key, sent_request in self.sent_requests.items():
            if call_key in self.outcomes or call_key in self.disconnected_calls:
                continue
            if self.last_event_ms[call_key[0]] == self.now_ms:
                assert sent_request.deadline_ms > self.now_ms, "not answered by the deadline"
        for executor_id in self.executors:
            connection_count = sum(
                router.in_flight_by_executor().get(executor_id, 0)
                for router in self.routers.values()
            )
            assert connection_count <= CONNECTIONS, "connection limit exceeded"

    def _check_at_most_once(self) -> None:
        counts: dict[str, int] = {}
        for call_key in self.runs:
            sent_request = self.sent_requests[call_key]
            if not sent_request.idempotent:
                counts[sent_request.request_id] = counts.get(sent_request.request_id, 0) + 1
        assert all(count == 1 for count in counts.values()), "a non-idempotent request ran twice"


@pytest.fixture
def cluster_class() -> Iterator[type[Cluster]]:
    yield Cluster
