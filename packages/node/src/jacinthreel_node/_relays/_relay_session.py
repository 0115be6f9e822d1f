"""The owner's side of one session with a relay: its permission and the orders to send."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Final, Protocol

from jacinthreel_common import Hello, RelayOrders
from jacinthreel_node._executor_exchange import (
    CLOCK_SLOWNESS,
    LEASE_MARGIN_MS,
    ExecutorClock,
)
from jacinthreel_node._relays._messages import (
    Acknowledgement,
    Assignment,
    Grant,
    OrdersBody,
    ReportBody,
    StartOrder,
    StopRunOrder,
    encode_body,
    name_run,
)
from jacinthreel_steps import Run, StopOrder

# Outlasts several lost or late renewals; leases of unreachable executors last longer by this time.
PERMISSION_MS: Final = 2_500
PERMISSION_PERIOD_MS: Final = 500
IDLE_PERMISSION_PERIOD_MS: Final = 2_500  # Without executors; shows the relay that it is in use.
RELAY_SILENCE_MS: Final = 1_500  # More than three periods of reports.
IDLE_SILENCE_MS: Final = 3_000  # Three periods of reports without executors.
MAX_OPEN_STOPS: Final = 1_000
LONGEST_PERMISSION_MS: Final = int(PERMISSION_MS / (1 - CLOCK_SLOWNESS)) + LEASE_MARGIN_MS
"""The longest time, on the owner's clock, for which a permission sent now may be valid."""


class PeerConnection(Protocol):
    """A stream connection to another process."""

    peer: Hello | None

    @property
    def is_open(self) -> bool:
        """Whether the connection is open."""

    def notify(self, message: object) -> None:
        """Sends a notice, if the connection is open."""


@dataclass(slots=True)
class _PendingOrders:
    dropped_slots: list[int] = field(default_factory=list)
    assignments: list[Assignment] = field(default_factory=list)
    grants: list[Grant] = field(default_factory=list)
    acknowledgements: list[Acknowledgement] = field(default_factory=list)
    stops: list[StopRunOrder] = field(default_factory=list)
    starts: list[StartOrder] = field(default_factory=list)

    @property
    def is_empty(self) -> bool:
        return not (
            self.dropped_slots
            or self.assignments
            or self.grants
            or self.acknowledgements
            or self.stops
            or self.starts
        )


def _orders_of_slot(orders: Mapping[int, tuple[int, object]], slot: int) -> list[int]:
    """Returns the numbers of the orders for a slot; the entries are slot and order."""
    return [order for order, (order_slot, _) in orders.items() if order_slot == slot]


class OwnerRelaySession:
    """One session with a relay, for as long as its connection is open and the relay responds.

    `executor_by_slot` holds the ids of the executors that are assigned in this session.
    `carries_fences` is false for a relay of an earlier version: its requests carry the epoch, which
    is below all fences, so that no executor is assigned to it.
    """

    def __init__(self, number: int, epoch: int, connection: PeerConnection, now_ms: int) -> None:
        self.number = number
        self.connection = connection
        self.host_id = connection.peer.host_id if connection.peer is not None else ""
        self.zone = connection.peer.zone if connection.peer is not None else ""
        self.ready_ms: int | None = None
        self.last_report_ms = now_ms
        self.weight = 1
        self.max_executors = 0
        self.is_draining = False
        self.carries_fences = False
        self.executor_by_slot: dict[int, str] = {}
        self.starts_by_order: dict[int, tuple[int, Run]] = {}
        self.stops_by_order: dict[int, tuple[int, StopOrder]] = {}
        self._epoch = epoch
        # The relay's clock; its latest lease end is the end of the relay's permission.
        self._clock = ExecutorClock()
        self._is_started = False
        self._last_order = 0
        self._permitted_ms = 0
        self._pending = _PendingOrders()

    def is_lost(self, now_ms: int) -> bool:
        """Whether the relay can't be used any more; one that never responded is only unused."""
        if not self.connection.is_open:
            return True
        limit_ms = RELAY_SILENCE_MS if self.executor_by_slot else IDLE_SILENCE_MS
        return self.ready_ms is not None and now_ms - self.last_report_ms > limit_ms

    def record_report(self, body: ReportBody, now_ms: int) -> None:
        """Records the relay's clock and capacity."""
        if self.ready_ms is None:
            self.ready_ms = now_ms
        self.last_report_ms = now_ms
        self.weight = max(1, body.weight)
        self.max_executors = body.max_executors
        self.is_draining = body.is_draining
        self.carries_fences = body.carries_fences
        self._clock.record_reading(body.clock_ms, now_ms)

    def permission_end_ms(self) -> int:
        """Returns the local time by which the relay's permission has certainly ended."""
        return self._clock.lease_end_ms(0)

    def assign(self, assignment: Assignment) -> None:
        """Queues an assignment."""
        self.executor_by_slot[assignment.slot] = assignment.executor_id
        self._pending.assignments.append(assignment)

    def drop(self, slot: int) -> list[Run]:
        """Queues the end of an assignment; returns the runs whose start has no outcome yet."""
        del self.executor_by_slot[slot]
        pending = self._pending
        pending.assignments = [item for item in pending.assignments if item.slot != slot]
        pending.starts = [item for item in pending.starts if item.slot != slot]
        pending.stops = [item for item in pending.stops if item.slot != slot]
        pending.dropped_slots.append(slot)
        for order in _orders_of_slot(self.stops_by_order, slot):
            del self.stops_by_order[order]
        starts = _orders_of_slot(self.starts_by_order, slot)
        return [self.starts_by_order.pop(order)[1] for order in starts]

    def grant(self, slot: int, contact: int, fence: int) -> None:
        """Queues the grant of a contact, whose requests carry `fence`."""
        self._pending.grants.append(Grant(slot, contact, fence))

    def acknowledge(self, acknowledgement: Acknowledgement) -> None:
        """Queues an acknowledgement."""
        self._pending.acknowledgements.append(acknowledgement)

    def start(self, slot: int, run: Run, payload: str) -> None:
        """Queues a start."""
        self._last_order += 1
        self.starts_by_order[self._last_order] = (slot, run)
        self._pending.starts.append(
            StartOrder(self._last_order, slot, name_run(run.run_id), payload, run.checkpoint)
        )

    def take_unsent_starts(self, slot: int) -> list[Run]:
        """Removes and returns the queued starts for a slot."""
        starts = self._pending.starts
        self._pending.starts = [item for item in starts if item.slot != slot]
        return [self.starts_by_order.pop(item.order)[1] for item in starts if item.slot == slot]

    def stop(self, slot: int, order: StopOrder) -> None:
        """Queues a stop; of stops that are never confirmed, the latest are remembered."""
        if len(self.stops_by_order) >= MAX_OPEN_STOPS:
            del self.stops_by_order[next(iter(self.stops_by_order))]
        self._last_order += 1
        self.stops_by_order[self._last_order] = (slot, order)
        self._pending.stops.append(StopRunOrder(self._last_order, slot, name_run(order.run_id)))

    def flush(self, now_ms: int, may_order: bool) -> bool:
        """Sends what is due; returns whether a message was sent.

        Without `may_order`, only drops and acknowledgements are sent: the ownership may have ended.
        Grants are kept until it is set again, because none is queued twice for a contact.
        """
        if not may_order:
            kept_grants, self._pending.grants = self._pending.grants, []
            is_sent = self._send(now_ms, may_order)
            self._pending.grants = kept_grants
            return is_sent
        return self._send(now_ms, may_order)

    def _send(self, now_ms: int, may_order: bool) -> bool:
        period_ms = PERMISSION_PERIOD_MS if self.executor_by_slot else IDLE_PERMISSION_PERIOD_MS
        is_permission_due = (
            may_order
            and self._clock.local_time_ms is not None
            and now_ms - self._permitted_ms >= period_ms
        )
        if self._is_started and self._pending.is_empty and not is_permission_due:
            return False
        pending, self._pending = self._pending, _PendingOrders()
        body = OrdersBody(
            self.number,
            not self._is_started,
            now_ms,
            pending.dropped_slots,
            pending.assignments,
            self._renew_permission(now_ms) if may_order else 0,
            pending.grants,
            pending.acknowledgements,
            pending.stops if may_order else [],
            pending.starts if may_order else [],
        )
        self._is_started = True
        self.connection.notify(RelayOrders(self._epoch, encode_body(body)))
        return True

    def _renew_permission(self, now_ms: int) -> int:
        """Returns the permission's end on the relay's clock, or 0 before its first message.

        It is computed from the relay's last message, so that orders which are read late grant
        nothing.
        """
        if self._clock.local_time_ms is None:
            return 0
        self._permitted_ms = now_ms
        until_ms = self._clock.executor_time_ms + PERMISSION_MS
        self._clock.lease_until_ms = max(self._clock.lease_until_ms, until_ms)
        return until_ms
