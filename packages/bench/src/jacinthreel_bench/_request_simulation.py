"""Simulates the environment of the request routers of a deployment, in virtual time.

Callers, executors, the network, the table service and the host list are actions on a heap ordered
by time.  The routers under measurement interact with the simulation only through events and
effects, so they get no information that a live router would not get.  Times are milliseconds.
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

SAME_ZONE_LATENCY_MS: Final = 0.25
PROCESSING_MS: Final = 0.3
STORE_LATENCY_MS: Final = 4.0
IN_FLIGHT_NOTICE_PERIOD_MS: Final = 200.0
HOST_LIST_LAG_MS: Final = 2_000.0
CLIENT_TIMEOUT_MARGIN_MS: Final = 5_000.0
WORKSPACES: Final = ("w1", "w2", "w3", "w4")


class Router(Protocol):
    """Interface of the measured routers: the request core or a baseline."""

    def handle(self, event: Event, now_ms: int) -> list[Effect]:
        """Processes an event and returns the effects to perform."""

    def next_due_ms(self, now_ms: int) -> int:
        """Returns the latest time of the next tick."""

    def in_flight_by_executor(self) -> dict[str, int]:
        """Returns the number of requests in flight by executor id."""

    def count_queued(self) -> int:
        """Returns the number of queued requests."""


@dataclass(frozen=True, slots=True)
class RequestPlan:
    """A planned request; `has_caller_id` means that the caller supplies the request id."""

    request_id: str
    workspace: str
    arrives_ms: float
    run_ms: float
    deadline_ms: float
    idempotent: bool
    has_caller_id: bool
    router_index: int


@dataclass(frozen=True, slots=True)
class FaultScenario:
    """Injected faults of a run: failures of random attempts, and faulty executors.

    `lost_reply_probability` and `connect_failure_probability` apply to each attempt.
    Run times are divided by the executor's speed in `speeds_by_executor`.  At `leaving_at_ms` an
    executor starts to refuse requests; it is listed as leaving `HOST_LIST_LAG_MS` later, and its
    process exits after `exit_after_ms`.  From `hanging_at_ms` on, an executor accepts and runs
    requests but never replies.
    """

    lost_reply_probability: float = 0.0
    connect_failure_probability: float = 0.0
    speeds_by_executor: dict[str, float] = field(default_factory=dict)
    leaving_at_ms: dict[str, float] = field(default_factory=dict)
    exit_after_ms: float = 4_000.0
    hanging_at_ms: dict[str, float] = field(default_factory=dict)


@dataclass(slots=True)
class CallRecord:
    """A call from the caller's view; `outcome` is None until it is answered."""

    plan: RequestPlan
    sent_ms: float
    outcome: Outcome | None = None
    answered_ms: float = 0.0


class RequestSimulation:
    """Simulates a deployment: executors and routers in zones, callers and a table service."""

    def __init__(
        self,
        zones: tuple[str, ...],
        inter_zone_latency_ms: float,
        client_latency_ms: float,
        make_router: Callable[[str, str, random.Random], Router],
        faults: FaultScenario,
        seed: int,
        executor_count: int = 25,
        router_count: int = 6,
    ) -> None:
        self.now_ms = 0.0
        self.rng = random.Random(seed)
        self.faults = faults
        self.table = TableModel()
        self.calls: list[CallRecord] = []
        self._scheduled_actions: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = 0
        self._inter_zone_latency_ms = inter_zone_latency_ms
        self._client_latency_ms = client_latency_ms
        self.hosts_by_id: dict[str, Host] = {}
        self.executors_by_id: dict[str, ExecutorModel] = {}
        self.exited_executor_ids: set[str] = set()
        self.executed_call_ids: set[int] = set()
        for number in range(executor_count):
            self._add_executor(f"x{number:02d}", zones[number % len(zones)])
        self.routers: list[Router] = []
        self.zone_by_router: list[str] = []
        self._timer_due_ms: list[float] = []
        for router_index in range(router_count):
            self._add_router(
                f"h{router_index}", zones[router_index % len(zones)], make_router, seed
            )
        self._deliver_config_and_hosts()

    def run(self, plans: list[RequestPlan], until_ms: float) -> None:
        """Schedules the calls and faults, and runs the simulation until a time."""
        for plan in plans:
            self._schedule_at(plan.arrives_ms, partial(self._send_call, plan, plan.router_index))
        for executor_id, leaves_ms in self.faults.leaving_at_ms.items():
            self._schedule_at(leaves_ms, partial(self._start_leaving, executor_id))
            self._schedule_at(
                leaves_ms + HOST_LIST_LAG_MS, partial(self._list_as_leaving, executor_id)
            )
            self._schedule_at(
                leaves_ms + self.faults.exit_after_ms, partial(self._exit_executor, executor_id)
            )
        for router_index in range(len(self.routers)):
            self._schedule_at(
                IN_FLIGHT_NOTICE_PERIOD_MS * (router_index + 1) / len(self.routers),
                partial(self._send_in_flight_notice, router_index),
            )
        while self._scheduled_actions and self._scheduled_actions[0][0] <= until_ms:
            self.now_ms, _, action = heapq.heappop(self._scheduled_actions)
            action()

    def _add_executor(self, executor_id: str, zone: str) -> None:
        speed = self.faults.speeds_by_executor.get(executor_id, 1.0)
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
        self.zone_by_router.append(zone)
        self._timer_due_ms.append(float("inf"))
        self.hosts_by_id[host_id] = Host(host_id, HostKind.ENTRY, host_id, 1, zone, "r")

    def _deliver_config_and_hosts(self) -> None:
        config = Config(
            1, PresetName.ORDINARY, workspaces={name: Workspace(name) for name in WORKSPACES}
        )
        for router_index in range(len(self.routers)):
            self._feed(router_index, ConfigApplied(config))
        self._deliver_host_list()

    def _deliver_host_list(self) -> None:
        hosts = list(self.hosts_by_id.values())
        for router_index in range(len(self.routers)):
            self._feed(router_index, HostsListed(hosts))

    # Scheduled actions and routers.

    def _schedule_at(self, when_ms: float, action: Callable[[], None]) -> None:
        self._sequence += 1
        heapq.heappush(self._scheduled_actions, (when_ms, self._sequence, action))

    def _schedule_after(self, delay_ms: float, action: Callable[[], None]) -> None:
        self._schedule_at(self.now_ms + delay_ms, action)

    def _feed(self, router_index: int, event: Event) -> None:
        """Passes an event to a router, performs its effects and arms its timer."""
        router = self.routers[router_index]
        now_ms = int(self.now_ms)
        for effect in router.handle(event, now_ms):
            self._perform_effect(router_index, effect)
        due_ms = float(router.next_due_ms(now_ms))
        if due_ms < self._timer_due_ms[router_index]:
            self._timer_due_ms[router_index] = due_ms
            self._schedule_at(due_ms, partial(self._tick, router_index, due_ms))

    def _tick(self, router_index: int, due_ms: float) -> None:
        """Sends a tick to a router unless its timer was rearmed for another time."""
        if self._timer_due_ms[router_index] != due_ms:
            return
        self._timer_due_ms[router_index] = float("inf")
        self._feed(router_index, Tick(int(self.now_ms)))

    def _send_in_flight_notice(self, router_index: int) -> None:
        """Sends a router's requests in flight to the other routers, now and periodically."""
        router = self.routers[router_index]
        notice = PeerInFlight(
            f"h{router_index}", router.in_flight_by_executor(), router.count_queued()
        )
        for other_index in range(len(self.routers)):
            if other_index == router_index:
                continue
            delay_ms = self._get_one_way_latency_ms(
                self.zone_by_router[router_index], self.zone_by_router[other_index]
            )
            self._schedule_after(delay_ms, partial(self._feed, other_index, notice))
        self._schedule_after(
            IN_FLIGHT_NOTICE_PERIOD_MS, partial(self._send_in_flight_notice, router_index)
        )

    def _get_one_way_latency_ms(self, zone: str, other: str) -> float:
        return SAME_ZONE_LATENCY_MS if zone == other else self._inter_zone_latency_ms

    # Callers.

    def _send_call(self, plan: RequestPlan, router_index: int) -> None:
        self.calls.append(CallRecord(plan, self.now_ms))
        call_id = len(self.calls)
        self._schedule_after(
            self._client_latency_ms, partial(self._deliver_call, call_id, plan, router_index)
        )

    def _deliver_call(self, call_id: int, plan: RequestPlan, router_index: int) -> None:
        event = RequestArrived(
            call_id,
            plan.workspace,
            plan.request_id,
            plan.idempotent,
            requires_claim=plan.has_caller_id and not plan.idempotent,
            deadline_ms=int(self.now_ms + plan.deadline_ms),
            body_hash=hashlib.sha256(plan.request_id.encode()).hexdigest(),
            unix_ms=int(self.now_ms),
        )
        self._feed(router_index, event)

    def _record_answer(self, call_id: int, router_index: int, outcome: Outcome) -> None:
        call = self.calls[call_id - 1]
        call.outcome = outcome
        call.answered_ms = self.now_ms
        is_outcome_unknown = isinstance(outcome, Unknown)
        is_first_call = call.sent_ms <= call.plan.arrives_ms
        if is_outcome_unknown and is_first_call and call.plan.has_caller_id:
            # The caller retries once with the same id; the load balancer chooses another router.
            other_index = (router_index + 1) % len(self.routers)
            self._schedule_after(200.0, partial(self._send_call, call.plan, other_index))

    # Effects.

    def _perform_effect(self, router_index: int, effect: Effect) -> None:
        match effect:
            case Dispatch():
                self._connect(router_index, effect)
            case Answer():
                action = partial(self._record_answer, effect.call_id, router_index, effect.outcome)
                self._schedule_after(self._client_latency_ms, action)
            case WriteRow():
                self._schedule_after(STORE_LATENCY_MS, partial(self._write, router_index, effect))
            case ReadRow():
                self._schedule_after(STORE_LATENCY_MS, partial(self._read, router_index, effect))

    def _write(self, router_index: int, effect: WriteRow) -> None:
        transaction = Transaction(
            effect.write_id,
            [Condition(effect.key, effect.required_version)],
            [RowWrite(effect.key, effect.value)],
        )
        reply = self.table.transact(transaction)
        outcome = WriteOutcome.COMMITTED if reply.committed else WriteOutcome.CONFLICT
        version = reply.versions.get(effect.key, 0) if reply.committed else 0
        self._feed(router_index, WriteDone(effect.write_id, outcome, version))

    def _read(self, router_index: int, effect: ReadRow) -> None:
        rows = self.table.read(ReadQuery([effect.key])).rows
        self._feed(router_index, RowRead(effect.write_id, rows[0] if rows else None))

    # Executors.

    def _connect(self, router_index: int, dispatch: Dispatch) -> None:
        """Opens a connection for one request: a round trip, then one way for the request."""
        zone = self.hosts_by_id[dispatch.executor_id].zone
        one_way_ms = self._get_one_way_latency_ms(self.zone_by_router[router_index], zone)
        if dispatch.executor_id in self.exited_executor_ids or self._draw_fault(
            self.faults.connect_failure_probability
        ):
            ended = AttemptEnded(dispatch.attempt_id, NotSent("refused"))
            self._schedule_after(2 * one_way_ms, partial(self._feed, router_index, ended))
            return
        delay_ms = 3 * one_way_ms + PROCESSING_MS
        self._schedule_after(
            delay_ms, partial(self._admit_request, router_index, dispatch, one_way_ms)
        )

    def _admit_request(self, router_index: int, dispatch: Dispatch, one_way_ms: float) -> None:
        model = self.executors_by_id[dispatch.executor_id]
        payload = b"run=%f" % self.calls[dispatch.call_id - 1].plan.run_ms
        admitted = model.admit(dispatch.request_id, dispatch.workspace, payload, self.now_ms)
        if isinstance(admitted, ExecutorRefusal):
            refused = Refused(leaving=model.leaving)
            self._end_attempt(router_index, dispatch, refused, model.busy_slots, one_way_ms)
            return
        self.executed_call_ids.add(dispatch.call_id)
        self._schedule_at(
            admitted.ends_ms,
            partial(self._finish_request, router_index, dispatch, admitted, one_way_ms),
        )

    def _finish_request(
        self, router_index: int, dispatch: Dispatch, run: ExecutorRun, one_way_ms: float
    ) -> None:
        model = self.executors_by_id[dispatch.executor_id]
        hangs_ms = self.faults.hanging_at_ms.get(dispatch.executor_id, float("inf"))
        if self.now_ms >= hangs_ms:
            # The slot stays busy; the router's client times out some time after the deadline.
            self._schedule_after(
                dispatch.remaining_ms + CLIENT_TIMEOUT_MARGIN_MS,
                partial(
                    self._end_attempt, router_index, dispatch, Lost("no reply"), None, one_way_ms
                ),
            )
            return
        model.finish(run.run_id)
        if self._draw_fault(self.faults.lost_reply_probability):
            self._end_attempt(router_index, dispatch, Lost("connection closed"), None, one_way_ms)
            return
        answer = WholeAnswer(200, "text/plain", run.answer)
        self._end_attempt(router_index, dispatch, answer, model.busy_slots, one_way_ms)

    def _end_attempt(
        self,
        router_index: int,
        dispatch: Dispatch,
        outcome: AttemptOutcome,
        busy: int | None,
        one_way_ms: float,
    ) -> None:
        ended = AttemptEnded(dispatch.attempt_id, outcome, busy)
        self._schedule_after(one_way_ms, partial(self._feed, router_index, ended))

    def _draw_fault(self, probability: float) -> bool:
        return probability > 0 and self.rng.random() < probability

    def _start_leaving(self, executor_id: str) -> None:
        self.executors_by_id[executor_id].leaving = True

    def _list_as_leaving(self, executor_id: str) -> None:
        host = self.hosts_by_id[executor_id]
        self.hosts_by_id[executor_id] = replace(host, state=HostState.LEAVING)
        self._deliver_host_list()

    def _exit_executor(self, executor_id: str) -> None:
        self.exited_executor_ids.add(executor_id)

    # Checks.

    def runs_by_request(self) -> dict[str, int]:
        """Returns the number of runs by request id, over all executors."""
        counts: dict[str, int] = {}
        for model in self.executors_by_id.values():
            for run in model.runs:
                counts[run.request_id] = counts.get(run.request_id, 0) + 1
        return counts
