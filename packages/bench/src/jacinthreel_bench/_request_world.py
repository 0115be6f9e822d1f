"""Small fakes around the request routers of a deployment, in virtual time.

Callers, executors, the network, the table service and the host list are a heap of timed calls.
The routers under measurement are driven through their events and effects only; nothing here is
visible to them that a live router would not see.  Times are milliseconds.
"""

from __future__ import annotations

import hashlib
import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from functools import partial
from typing import Final, Protocol

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
)
from jacinthreel_requests import (
    Answer,
    AttemptEnded,
    AttemptOutcome,
    ConfigApplied,
    Dispatch,
    Effect,
    Event,
    HostsListed,
    Lost,
    NotSent,
    Outcome,
    PeerInFlight,
    ReadRow,
    Refused,
    RequestArrived,
    RowRead,
    Tick,
    Unknown,
    WholeAnswer,
    WriteDone,
    WriteRow,
)
from jacinthreel_standins import ExecutorModel, ExecutorRefusal, ExecutorRun, TableModel

SAME_ZONE_MS: Final = 0.25
PROCESSING_MS: Final = 0.3
STORE_MS: Final = 4.0
NOTICE_PERIOD_MS: Final = 200.0
LIST_LAG_MS: Final = 2_000.0
LATE_ANSWER_MS: Final = 5_000.0
WORKSPACES: Final = ("w1", "w2", "w3", "w4")


class Router(Protocol):
    """What is measured: a request core or a baseline."""

    def handle(self, event: Event, now_ms: int) -> list[Effect]:
        """Takes an event and returns what is to be done."""

    def next_due_ms(self, now_ms: int) -> int:
        """When a tick is needed at the latest."""

    def in_flight_by_executor(self) -> dict[str, int]:
        """Requests in flight at each executor."""

    def count_queued(self) -> int:
        """Requests that wait for a slot."""


@dataclass(frozen=True, slots=True)
class RequestPlan:
    """A request that a caller will make; `own_id` says that the caller gives it an id."""

    request_id: str
    workspace: str
    arrives_ms: float
    run_ms: float
    deadline_ms: float
    idempotent: bool
    own_id: bool
    router: int


@dataclass(frozen=True, slots=True)
class Weather:
    """Faults of a run: probabilities for each attempt, and executors that behave badly.

    `speeds_by_executor` divides run times; `leaving_at_ms` names when an executor starts to refuse
    work, after which it is listed as leaving `LIST_LAG_MS` later and gone `exit_after_ms` later.
    From `hanging_at_ms` on an executor takes requests, runs them and never replies.
    """

    lost_reply: float = 0.0
    connect_failure: float = 0.0
    speeds_by_executor: dict[str, float] = field(default_factory=dict)
    leaving_at_ms: dict[str, float] = field(default_factory=dict)
    exit_after_ms: float = 4_000.0
    hanging_at_ms: dict[str, float] = field(default_factory=dict)


@dataclass(slots=True)
class CallRecord:
    """A call as its caller saw it; `outcome` is None until it was answered."""

    plan: RequestPlan
    sent_ms: float
    outcome: Outcome | None = None
    answered_ms: float = 0.0


class World:
    """A deployment: executors and routers in zones, callers and a table service."""

    def __init__(
        self,
        zones: tuple[str, ...],
        zone_ms: float,
        client_ms: float,
        make_router: Callable[[str, str, random.Random], Router],
        weather: Weather,
        seed: int,
        executors: int = 25,
        routers: int = 6,
    ) -> None:
        self.now_ms = 0.0
        self.rng = random.Random(seed)
        self.weather = weather
        self.table = TableModel()
        self.calls: list[CallRecord] = []
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = 0
        self._zone_ms = zone_ms
        self._client_ms = client_ms
        self.hosts_by_id: dict[str, Host] = {}
        self.executors_by_id: dict[str, ExecutorModel] = {}
        self.exited: set[str] = set()
        self.ran_calls: set[int] = set()
        for number in range(executors):
            self._add_executor(f"x{number:02d}", zones[number % len(zones)])
        self.routers: list[Router] = []
        self.router_zones: list[str] = []
        self._armed_ms: list[float] = []
        for number in range(routers):
            self._add_router(f"h{number}", zones[number % len(zones)], make_router, seed)
        self._announce()

    def run(self, plans: list[RequestPlan], until_ms: float) -> None:
        """Makes the calls and lets time pass."""
        for plan in plans:
            self._at(plan.arrives_ms, partial(self._call, plan, plan.router))
        for executor_id, leaves_ms in self.weather.leaving_at_ms.items():
            self._at(leaves_ms, partial(self._leave, executor_id))
            self._at(leaves_ms + LIST_LAG_MS, partial(self._list_leaving, executor_id))
            self._at(leaves_ms + self.weather.exit_after_ms, partial(self._exit, executor_id))
        for number in range(len(self.routers)):
            self._at(
                NOTICE_PERIOD_MS * (number + 1) / len(self.routers), partial(self._tell, number)
            )
        while self._heap and self._heap[0][0] <= until_ms:
            self.now_ms, _, action = heapq.heappop(self._heap)
            action()

    def _add_executor(self, executor_id: str, zone: str) -> None:
        speed = self.weather.speeds_by_executor.get(executor_id, 1.0)
        model = ExecutorModel(executor_id, slots=8, speed=speed)
        self.executors_by_id[executor_id] = model
        self.hosts_by_id[executor_id] = Host(
            executor_id, HostKind.EXECUTOR, executor_id, 1, zone, "r", slots=8, connections=60
        )

    def _add_router(
        self,
        host_id: str,
        zone: str,
        make_router: Callable[[str, str, random.Random], Router],
        seed: int,
    ) -> None:
        self.routers.append(make_router(host_id, zone, random.Random(f"{seed}/{host_id}")))
        self.router_zones.append(zone)
        self._armed_ms.append(float("inf"))
        self.hosts_by_id[host_id] = Host(host_id, HostKind.ENTRY, host_id, 1, zone, "r")

    def _announce(self) -> None:
        config = Config(
            1, PresetName.ORDINARY, workspaces={name: Workspace(name) for name in WORKSPACES}
        )
        for number in range(len(self.routers)):
            self._feed(number, ConfigApplied(config))
        self._list_hosts()

    def _list_hosts(self) -> None:
        hosts = list(self.hosts_by_id.values())
        for number in range(len(self.routers)):
            self._feed(number, HostsListed(hosts))

    # Time and routers.

    def _at(self, when_ms: float, action: Callable[[], None]) -> None:
        self._sequence += 1
        heapq.heappush(self._heap, (when_ms, self._sequence, action))

    def _after(self, delay_ms: float, action: Callable[[], None]) -> None:
        self._at(self.now_ms + delay_ms, action)

    def _feed(self, number: int, event: Event) -> None:
        router = self.routers[number]
        now_ms = int(self.now_ms)
        for effect in router.handle(event, now_ms):
            self._perform(number, effect)
        due_ms = float(router.next_due_ms(now_ms))
        if due_ms < self._armed_ms[number]:
            self._armed_ms[number] = due_ms
            self._at(due_ms, partial(self._tick, number, due_ms))

    def _tick(self, number: int, due_ms: float) -> None:
        if self._armed_ms[number] != due_ms:
            return
        self._armed_ms[number] = float("inf")
        self._feed(number, Tick(int(self.now_ms)))

    def _tell(self, number: int) -> None:
        router = self.routers[number]
        notice = PeerInFlight(f"h{number}", router.in_flight_by_executor(), router.count_queued())
        for other in range(len(self.routers)):
            if other == number:
                continue
            delay_ms = self._distance(self.router_zones[number], self.router_zones[other])
            self._after(delay_ms, partial(self._feed, other, notice))
        self._after(NOTICE_PERIOD_MS, partial(self._tell, number))

    def _distance(self, zone: str, other: str) -> float:
        return SAME_ZONE_MS if zone == other else self._zone_ms

    # Callers.

    def _call(self, plan: RequestPlan, router: int) -> None:
        self.calls.append(CallRecord(plan, self.now_ms))
        call_id = len(self.calls)
        self._after(self._client_ms, partial(self._arrive, call_id, plan, router))

    def _arrive(self, call_id: int, plan: RequestPlan, router: int) -> None:
        event = RequestArrived(
            call_id,
            plan.workspace,
            plan.request_id,
            plan.idempotent,
            requires_claim=plan.own_id and not plan.idempotent,
            deadline_ms=int(self.now_ms + plan.deadline_ms),
            body_hash=hashlib.sha256(plan.request_id.encode()).hexdigest(),
            unix_ms=int(self.now_ms),
        )
        self._feed(router, event)

    def _answered(self, call_id: int, router: int, outcome: Outcome) -> None:
        call = self.calls[call_id - 1]
        call.outcome = outcome
        call.answered_ms = self.now_ms
        lost = isinstance(outcome, Unknown)
        first = call.sent_ms <= call.plan.arrives_ms
        if lost and first and call.plan.own_id:
            # A careful caller asks once more with the same id, which the balancer sends elsewhere.
            other = (router + 1) % len(self.routers)
            self._after(200.0, partial(self._call, call.plan, other))

    # Effects.

    def _perform(self, number: int, effect: Effect) -> None:
        match effect:
            case Dispatch():
                self._connect(number, effect)
            case Answer():
                action = partial(self._answered, effect.call_id, number, effect.outcome)
                self._after(self._client_ms, action)
            case WriteRow():
                self._after(STORE_MS, partial(self._write, number, effect))
            case ReadRow():
                self._after(STORE_MS, partial(self._read, number, effect))

    def _write(self, number: int, effect: WriteRow) -> None:
        transaction = Transaction(
            effect.write_id,
            [Condition(effect.key, effect.required_version)],
            [RowWrite(effect.key, effect.value)],
        )
        reply = self.table.transact(transaction)
        outcome = WriteOutcome.COMMITTED if reply.committed else WriteOutcome.CONFLICT
        version = reply.versions.get(effect.key, 0) if reply.committed else 0
        self._feed(number, WriteDone(effect.write_id, outcome, version))

    def _read(self, number: int, effect: ReadRow) -> None:
        rows = self.table.read(ReadQuery([effect.key])).rows
        self._feed(number, RowRead(effect.write_id, rows[0] if rows else None))

    # Executors.

    def _connect(self, number: int, dispatch: Dispatch) -> None:
        """A connection for each request: one round trip, then the request itself."""
        zone = self.hosts_by_id[dispatch.executor_id].zone
        one_way_ms = self._distance(self.router_zones[number], zone)
        if dispatch.executor_id in self.exited or self._chance(self.weather.connect_failure):
            ended = AttemptEnded(dispatch.attempt_id, NotSent("refused"))
            self._after(2 * one_way_ms, partial(self._feed, number, ended))
            return
        delay_ms = 3 * one_way_ms + PROCESSING_MS
        self._after(delay_ms, partial(self._admit, number, dispatch, one_way_ms))

    def _admit(self, number: int, dispatch: Dispatch, one_way_ms: float) -> None:
        model = self.executors_by_id[dispatch.executor_id]
        payload = b"run=%f" % self.calls[dispatch.call_id - 1].plan.run_ms
        admitted = model.admit(dispatch.request_id, dispatch.workspace, payload, self.now_ms)
        if isinstance(admitted, ExecutorRefusal):
            refused = Refused(leaving=model.leaving)
            self._end(number, dispatch, refused, model.busy_slots, one_way_ms)
            return
        self.ran_calls.add(dispatch.call_id)
        self._at(admitted.ends_ms, partial(self._finish, number, dispatch, admitted, one_way_ms))

    def _finish(self, number: int, dispatch: Dispatch, run: ExecutorRun, one_way_ms: float) -> None:
        model = self.executors_by_id[dispatch.executor_id]
        hangs_ms = self.weather.hanging_at_ms.get(dispatch.executor_id, float("inf"))
        if self.now_ms >= hangs_ms:
            # The slot stays taken; the router's client gives up some time after the deadline.
            self._after(
                dispatch.remaining_ms + LATE_ANSWER_MS,
                partial(self._end, number, dispatch, Lost("no reply"), None, one_way_ms),
            )
            return
        model.finish(run.run_id)
        if self._chance(self.weather.lost_reply):
            self._end(number, dispatch, Lost("connection closed"), None, one_way_ms)
            return
        answer = WholeAnswer(200, "text/plain", run.answer)
        self._end(number, dispatch, answer, model.busy_slots, one_way_ms)

    def _end(
        self,
        number: int,
        dispatch: Dispatch,
        outcome: AttemptOutcome,
        busy: int | None,
        one_way_ms: float,
    ) -> None:
        ended = AttemptEnded(dispatch.attempt_id, outcome, busy)
        self._after(one_way_ms, partial(self._feed, number, ended))

    def _chance(self, probability: float) -> bool:
        return probability > 0 and self.rng.random() < probability

    def _leave(self, executor_id: str) -> None:
        self.executors_by_id[executor_id].leaving = True

    def _list_leaving(self, executor_id: str) -> None:
        host = self.hosts_by_id[executor_id]
        self.hosts_by_id[executor_id] = replace(host, state=HostState.LEAVING)
        self._list_hosts()

    def _exit(self, executor_id: str) -> None:
        self.exited.add(executor_id)

    # Checks.

    def runs_by_request(self) -> dict[str, int]:
        """How often each request ran, over all executors."""
        counts: dict[str, int] = {}
        for model in self.executors_by_id.values():
            for run in model.runs:
                counts[run.request_id] = counts.get(run.request_id, 0) + 1
        return counts
