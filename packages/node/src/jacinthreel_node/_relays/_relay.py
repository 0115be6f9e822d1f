"""The relay of a node: serves the session of the current owner.

A relay drops all work of an epoch when it sees a higher one, and all work of a session when the
owner opens another.  Connections to executors outlast sessions for `CONNECTION_KEEP_MS`, because
the next owner assigns nearly the same executors.
"""

from __future__ import annotations

import asyncio
import traceback
from collections.abc import Callable
from typing import Any, Final

import msgspec

from jacinthreel_common import Hello, RelayOrders, RelayReport
from jacinthreel_daemon.plumbing import Clock, MetricsRegistry
from jacinthreel_node._executor_exchange import CLOCK_SLOWNESS
from jacinthreel_node._ports import ExecutorGateway
from jacinthreel_node._relays._messages import (
    FencedSlot,
    OrdersBody,
    ReportBody,
    SlotLoss,
    SlotReport,
    StaleSlot,
    StartResult,
    decode_orders,
    encode_body,
)
from jacinthreel_node._relays._relayed_executor import RelayedExecutor, RelaySession
from jacinthreel_steps import StartOutcome

REPORT_PERIOD_MS: Final = 350
IDLE_REPORT_PERIOD_MS: Final = 1_000  # Without executors.
URGENT_DELAY_MS: Final = 25  # Groups the ends of a gang's members into one report.
FRESH_AGE_MS: Final = 850  # Older last responses are reported with their own age.
CONNECTION_KEEP_MS: Final = 10_000
SESSION_KEEP_MS: Final = 10_000  # After the last orders; the executors have other relays by then.
WEIGHT_PER_CORE: Final = 100
RESERVED_DESCRIPTORS: Final = 200
DESCRIPTORS_PER_EXECUTOR: Final = 5


class Relay:
    """Exchanges messages with executors on behalf of the owner.

    `send` sends a message over the connection of a peer, if it is still open.
    """

    def __init__(
        self,
        gateway: ExecutorGateway,
        clock: Clock,
        metrics: MetricsRegistry,
        log: Callable[[str, dict[str, Any]], None],
        send: Callable[[Hello, object], None],
        cores: float,
        descriptor_limit: int,
        is_draining: Callable[[], bool],
    ) -> None:
        self._gateway = gateway
        self._clock = clock
        self._metrics = metrics
        self._log = log
        self._send = send
        self._weight = max(1, round(cores * WEIGHT_PER_CORE))
        self._max_executors = max(
            1, (descriptor_limit - RESERVED_DESCRIPTORS) // DESCRIPTORS_PER_EXECUTOR
        )
        self._is_draining = is_draining
        self._epoch = 0
        self._session = 0
        self._owner: Hello | None = None
        self._permission_until_ms = 0
        self._owner_clock_ms = 0
        self._owner_clock_read_ms = 0
        self._executors_by_slot: dict[int, RelayedExecutor] = {}
        self._unused_since_ms: dict[str, int] = {}
        self._start_results: list[StartResult] = []
        self._confirmed_stops: list[int] = []
        self._fenced: list[FencedSlot] = []
        self._flush_handle: asyncio.TimerHandle | None = None
        self._flush_due_s = 0.0

    @property
    def executor_count(self) -> int:
        """The number of executors that are assigned to this relay."""
        return len(self._executors_by_slot)

    def observe_epoch(self, epoch: int) -> None:
        """Drops all work of an earlier epoch."""
        if epoch > self._epoch:
            self._epoch = epoch
            self._drop_session()

    def close(self) -> None:
        """Drops all work."""
        self._drop_session()

    def handle_orders(self, peer: Hello, message: RelayOrders) -> None:
        """Applies orders of the owner; those of an earlier epoch or session have no effect."""
        self.observe_epoch(message.epoch)
        if message.epoch < self._epoch:
            return
        body = decode_orders(message.body)
        if body is None:
            self._log("relay_orders_unreadable", {"peer": peer.host_id, "epoch": message.epoch})
            return
        if body.session_start:
            if body.session <= self._session and self._owner is not None:
                return
            self._drop_session()
            self._session = body.session
            self._owner = peer
            self._log("relay_session", {"owner": peer.host_id, "epoch": message.epoch})
        if body.session != self._session or self._owner is None:
            return
        self._apply(body)

    def check(self) -> None:
        """Closes unused connections, and ends a session without an owner; called periodically."""
        now_ms = self._clock.now_ms()
        if self._owner is not None and now_ms - self._owner_clock_read_ms >= SESSION_KEEP_MS:
            self._log("relay_session_expired", {"epoch": self._epoch})
            self._drop_session()
        for executor_id, unused_ms in list(self._unused_since_ms.items()):
            if now_ms - unused_ms >= CONNECTION_KEEP_MS:
                del self._unused_since_ms[executor_id]
                self._gateway.close_connections(executor_id)

    def _apply(self, body: OrdersBody) -> None:
        self._owner_clock_ms = body.owner_clock_ms
        self._owner_clock_read_ms = self._clock.now_ms()
        for slot in body.dropped_slots:
            self._drop(slot)
        session = self._make_session()
        for assignment in body.assignments:
            self._unused_since_ms.pop(assignment.executor_id, None)
            self._executors_by_slot[assignment.slot] = RelayedExecutor(session, assignment)
        self._permission_until_ms = max(self._permission_until_ms, body.permission_until_ms)
        for grant in body.grants:
            executor = self._executors_by_slot.get(grant.slot)
            if executor is not None:
                executor.grant(grant.contact, grant.fence)
        for acknowledgement in body.acknowledgements:
            executor = self._executors_by_slot.get(acknowledgement.slot)
            if executor is not None:
                executor.acknowledge(acknowledgement)
        for stop in body.stops:
            executor = self._executors_by_slot.get(stop.slot)
            if executor is not None:
                executor.stop(stop)
        for start in body.starts:
            executor = self._executors_by_slot.get(start.slot)
            if executor is not None:
                executor.start(start)
        self._request_flush(body.session_start)

    def _make_session(self) -> RelaySession:
        """Returns the callbacks of the current session; they have no effect in a later one."""
        number, epoch = self._session, self._epoch

        def is_current() -> bool:
            return self._session == number and self._epoch == epoch

        def is_permitted() -> bool:
            return is_current() and self._clock.now_ms() < self._permission_until_ms

        def on_start_result(order: int, outcome: StartOutcome) -> None:
            if is_current():
                self._start_results.append(StartResult(order, outcome))
                self._request_flush(True)

        def on_stop_confirmed(order: int) -> None:
            if is_current():
                self._confirmed_stops.append(order)
                self._request_flush(True)

        def on_fenced(slot: int, fence: int) -> None:
            if is_current():
                self._fenced.append(FencedSlot(slot, fence))
                self._request_flush(True)

        def request_flush(is_urgent: bool) -> None:
            if is_current():
                self._request_flush(is_urgent)

        return RelaySession(
            self._gateway,
            self._clock,
            epoch,
            is_permitted,
            self._owner_time_ms,
            request_flush,
            on_start_result,
            on_stop_confirmed,
            on_fenced,
            self._on_error,
        )

    def _owner_time_ms(self, local_ms: int) -> int:
        """Returns a lower bound, on the owner's clock, for a local time.

        The owner sent its clock before it was read here, and may run slower than this clock.
        """
        elapsed_ms = local_ms - self._owner_clock_read_ms
        factor = 1 - CLOCK_SLOWNESS if elapsed_ms >= 0 else 1 + 2 * CLOCK_SLOWNESS
        return self._owner_clock_ms + int(elapsed_ms * factor)

    def _drop(self, slot: int) -> None:
        executor = self._executors_by_slot.pop(slot, None)
        if executor is not None:
            executor.close()
            self._unused_since_ms[executor.executor_id] = self._clock.now_ms()

    def _drop_session(self) -> None:
        for slot in list(self._executors_by_slot):
            self._drop(slot)
        self._owner = None
        self._permission_until_ms = 0
        self._session = 0
        self._start_results.clear()
        self._confirmed_stops.clear()
        self._fenced.clear()

    def _request_flush(self, is_urgent: bool) -> None:
        """Schedules a report, unless an earlier one is scheduled."""
        loop = asyncio.get_running_loop()
        period_ms = REPORT_PERIOD_MS if self._executors_by_slot else IDLE_REPORT_PERIOD_MS
        due_s = loop.time() + (URGENT_DELAY_MS if is_urgent else period_ms) / 1000
        if self._flush_handle is not None:
            if self._flush_due_s <= due_s:
                return
            self._flush_handle.cancel()
        self._flush_due_s = due_s
        self._flush_handle = loop.call_later(max(0.0, due_s - loop.time()), self._flush)

    def _flush(self) -> None:
        self._flush_handle = None
        owner = self._owner
        if owner is None:
            return
        now_ms = self._clock.now_ms()
        body = self._collect(now_ms)
        self._send(owner, RelayReport(self._epoch, encode_body(body)))
        self._metrics.count("relay_reports_total")
        self._request_flush(False)

    def _collect(self, now_ms: int) -> ReportBody:
        reports: list[SlotReport] = []
        losses: list[SlotLoss] = []
        stale: list[StaleSlot] = []
        fresh_age_ms = 0
        for executor in self._executors_by_slot.values():
            if executor.pending_loss is not None:
                losses.append(executor.pending_loss)
                executor.pending_loss = None
            report = executor.pending_report
            if report is not None:
                age_ms = max(0, now_ms - executor.report_arrived_ms)
                reports.append(msgspec.structs.replace(report, age_ms=age_ms))
                executor.pending_report = None
            response_age_ms = executor.response_age_ms(now_ms)
            if response_age_ms is None:
                continue
            if response_age_ms > FRESH_AGE_MS:
                stale.append(StaleSlot(executor.slot, response_age_ms))
            else:
                fresh_age_ms = max(fresh_age_ms, response_age_ms)
        body = ReportBody(
            self._session,
            now_ms,
            self._weight,
            self._max_executors,
            self._is_draining(),
            fresh_age_ms,
            losses,
            self._start_results,
            self._confirmed_stops,
            reports,
            stale,
            fenced=self._fenced,
            carries_fences=True,
        )
        self._start_results, self._confirmed_stops, self._fenced = [], [], []
        return body

    def _on_error(self, error: Exception) -> None:
        """Drops the session after a broken invariant; the owner then assigns its executors anew."""
        lines = traceback.format_exception(error)
        self._log("relay_failed", {"error": repr(error), "trace": "".join(lines)[-2_000:]})
        self._drop_session()
