"""A few request routers, executors and a table in one process, with every message in hand.

`Cluster` carries out the routers' effects only when a test says so, in the order and with the
fate that the test picks.  After each step it checks what must always hold.
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
class Sending:
    """One request as one router took it."""

    router: int
    call_id: int
    request_id: str
    idempotent: bool
    body: bytes
    deadline_ms: int


@dataclass(frozen=True, slots=True)
class OnTheWay:
    """A request between a router and an executor; `run` once the executor has started it."""

    router: int
    dispatch: Dispatch
    run: ExecutorRun | None = None


@dataclass(frozen=True, slots=True)
class StoreMessage:
    """A write or read between a router and the table."""

    router: int
    effect: WriteRow | ReadRow


class Cluster:
    """Routers are numbered anew when they are replaced, so that old messages find nobody."""

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
        self.sendings: dict[tuple[int, int], Sending] = {}
        self.outcomes: dict[tuple[int, int], Outcome] = {}
        self.lost_calls: set[tuple[int, int]] = set()
        self.runs: list[tuple[int, int]] = []
        self.on_the_way: list[OnTheWay] = []
        self.store_messages: list[StoreMessage] = []
        self.delayed_writes: list[WriteRow] = []
        self.decisions: list[LogDecision] = []
        self.fed_ms: dict[int, int] = {}
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
        self.list_hosts(number)
        return number

    def kill_router(self, number: int) -> int:
        """Ends a router without notice and starts another in its place."""
        del self.routers[number]
        self.lost_calls |= {key for key in self.sendings if key[0] == number} - set(self.outcomes)
        return self.start_router(f"h{number}b")

    def list_hosts(self, number: int) -> None:
        self.known_hosts[number] = dict(self.hosts)
        self.feed(number, HostsListed(list(self.hosts.values())))

    def feed(self, number: int, event: Event) -> None:
        """Passes an event to a router and keeps its effects for later."""
        router = self.routers.get(number)
        if router is None:
            return
        self.fed_ms[number] = self.now_ms
        for effect in router.handle(event, self.now_ms):
            match effect:
                case Dispatch():
                    self._check_dispatch(number, effect)
                    self.on_the_way.append(OnTheWay(number, effect))
                case Answer():
                    self._check_answer(number, effect)
                case WriteRow() | ReadRow():
                    self.store_messages.append(StoreMessage(number, effect))
                case LogDecision():
                    self.decisions.append(effect)
        self.check()

    def send(
        self,
        number: int,
        request_id: str | None,
        idempotent: bool = False,
        body: bytes = b"payload",
        within_ms: int = 10_000,
    ) -> tuple[int, int]:
        """A caller sends a request; returns the key of the sending."""
        call_id = self._next_call
        self._next_call += 1
        name = request_id or f"own-{call_id}"
        key = (number, call_id)
        deadline_ms = self.now_ms + within_ms
        self.sendings[key] = Sending(number, call_id, name, idempotent, body, deadline_ms)
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
        return key

    def hang_up(self, key: tuple[int, int]) -> None:
        if key not in self.outcomes:
            self.lost_calls.add(key)
            self.feed(key[0], CallerDisconnected(key[1]))

    def drain(self, number: int) -> None:
        self.feed(number, DrainStarted())

    def advance(self, duration_ms: int) -> None:
        """Lets time pass in steps, as a daemon's timer does."""
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            due = min(r.next_due_ms(self.now_ms) for r in self.routers.values())
            self.now_ms = min(end_ms, due)
            for number in list(self.routers):
                self.feed(number, Tick(self.now_ms))

    def tell_peers(self) -> None:
        for number, router in list(self.routers.items()):
            notice = PeerInFlight(str(number), router.in_flight_by_executor(), router.waiting())
            for other in list(self.routers):
                if other != number:
                    self.feed(other, notice)

    def take_zone_out(self, zone: str) -> None:
        outages = {**self.config.zones_out, zone: ZoneOutage(zone, "repairs", 0)}
        self.config = replace(self.config, version=self.config.version + 1, zones_out=outages)
        for number in list(self.routers):
            self.feed(number, ConfigApplied(self.config))

    def leave(self, executor_id: str, listed: bool) -> None:
        """The executor refuses new work; `listed` also tells the routers."""
        self.executors[executor_id].leaving = True
        if listed:
            self.hosts[executor_id] = replace(self.hosts[executor_id], state=HostState.LEAVING)
            for number in list(self.routers):
                self.list_hosts(number)

    # Messages between routers and executors.

    def reach(self, message: OnTheWay) -> None:
        """The request reaches its executor, which starts or refuses it."""
        self.on_the_way.remove(message)
        dispatch = message.dispatch
        model = self.executors[dispatch.executor_id]
        sending = self.sendings[(message.router, dispatch.call_id)]
        admitted = model.admit(dispatch.request_id, dispatch.workspace, sending.body, self.now_ms)
        if isinstance(admitted, ExecutorRefusal):
            refused = Refused(leaving=model.leaving)
            self._end(message, refused, model.busy_slots)
            return
        self.runs.append((message.router, dispatch.call_id))
        self.on_the_way.append(replace(message, run=admitted))
        self.check()

    def not_sent(self, message: OnTheWay) -> None:
        self.on_the_way.remove(message)
        self._end(message, NotSent("connection refused"), None)

    def reply(self, message: OnTheWay, lost: bool = False, twice: bool = False) -> None:
        """The executor finishes a run; its reply arrives, is lost, or arrives twice."""
        assert message.run is not None
        self.on_the_way.remove(message)
        model = self.executors[message.dispatch.executor_id]
        model.finish(message.run.run_id)
        if lost:
            self._end(message, Lost("connection reset"), None)
            return
        for _ in range(2 if twice else 1):
            self._end(message, WholeAnswer(200, "text/plain", message.run.answer), model.busy_slots)

    def _end(
        self, message: OnTheWay, outcome: WholeAnswer | Refused | NotSent | Lost, busy: int | None
    ) -> None:
        self.feed(message.router, AttemptEnded(message.dispatch.attempt_id, outcome, busy))

    # Messages between routers and the table.

    def store(self, message: StoreMessage, fate: str = "answered") -> None:
        """Fates of a write: answered, lost_request, lost_reply, late (applied later)."""
        self.store_messages.remove(message)
        effect = message.effect
        if isinstance(effect, ReadRow):
            rows = self.table.read(ReadQuery([effect.key])).rows
            out = self.store_unavailable or fate != "answered"
            row = rows[0] if rows and not out else None
            self.feed(message.router, RowRead(effect.write_id, row, out))
            return
        if self.store_unavailable:
            self.feed(message.router, WriteDone(effect.write_id, WriteOutcome.FAILED))
            return
        if fate == "late":
            self.delayed_writes.append(effect)
        version = self.apply(effect) if fate in ("answered", "lost_reply") else None
        if fate != "answered":
            self.feed(message.router, WriteDone(effect.write_id, WriteOutcome.UNKNOWN))
        elif version is None:
            self.feed(message.router, WriteDone(effect.write_id, WriteOutcome.CONFLICT))
        else:
            done = WriteDone(effect.write_id, WriteOutcome.COMMITTED, version)
            self.feed(message.router, done)

    def apply(self, effect: WriteRow) -> int | None:
        """Carries out a conditional write; None where its condition fails."""
        condition = Condition(effect.key, effect.required_version)
        write = RowWrite(effect.key, effect.value)
        reply = self.table.transact(Transaction(effect.write_id, [condition], [write]))
        return reply.versions[effect.key] if reply.committed else None

    def apply_delayed(self) -> None:
        """Writes that were on the way for long reach the table."""
        delayed, self.delayed_writes = self.delayed_writes, []
        for effect in delayed:
            self.apply(effect)

    # Running on.

    def settle_store(self) -> None:
        while self.store_messages:
            self.store(self.store_messages[0])

    def settle(self) -> None:
        """Delivers everything, until nothing moves any more."""
        for _ in range(200):
            self.settle_store()
            for message in list(self.on_the_way):
                if message.run is None:
                    self.reach(message)
                else:
                    self.reply(message)
            self.apply_delayed()
            waiting = any(router.waiting() for router in self.routers.values())
            if not (self.on_the_way or self.store_messages or waiting):
                return
            self.advance(20)

    # What must always hold.

    def _check_dispatch(self, number: int, dispatch: Dispatch) -> None:
        host = self.known_hosts[number][dispatch.executor_id]
        assert host.state is HostState.LIVE, "sent to an executor known to be leaving"
        assert host.zone not in self.config.zones_out, "sent into a zone out of service"
        assert (number, dispatch.call_id) not in self.outcomes, "sent after the final answer"

    def _check_answer(self, number: int, answer: Answer) -> None:
        key = (number, answer.call_id)
        assert key in self.sendings, "answered an unknown call"
        assert key not in self.outcomes, "answered twice"
        assert key not in self.lost_calls, "answered a caller that is gone"
        self.outcomes[key] = answer.outcome
        sending = self.sendings[key]
        if isinstance(answer.outcome, Answered):
            whole = expected_answer(sending.request_id, WORKSPACE, sending.body)
            assert answer.outcome.answer.body == whole, "answered with another request's answer"

    def check(self) -> None:
        for key, outcome in self.outcomes.items():
            if isinstance(outcome, NotRun):
                assert key not in self.runs, "told not run, but it ran"
        self._check_at_most_once()
        for key, sending in self.sendings.items():
            if key in self.outcomes or key in self.lost_calls:
                continue
            if self.fed_ms[key[0]] == self.now_ms:
                assert sending.deadline_ms > self.now_ms, "kept waiting past the deadline"
        for executor_id in self.executors:
            held = sum(
                router.in_flight_by_executor().get(executor_id, 0)
                for router in self.routers.values()
            )
            assert held <= CONNECTIONS, "too many connections"

    def _check_at_most_once(self) -> None:
        counts: dict[str, int] = {}
        for key in self.runs:
            sending = self.sendings[key]
            if not sending.idempotent:
                counts[sending.request_id] = counts.get(sending.request_id, 0) + 1
        assert all(count == 1 for count in counts.values()), "a non-idempotent request ran twice"


@pytest.fixture
def clusters() -> Iterator[type[Cluster]]:
    yield Cluster
