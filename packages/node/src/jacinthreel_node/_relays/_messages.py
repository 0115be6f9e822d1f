"""Bodies of the messages between the owner and a relay, encoded as MessagePack arrays.

A session is one stream connection between owner and relay; a slot is one assignment of an executor
at one address and incarnation; a contact numbers the periods in which a relay reaches the executor
of a slot, from 1.  Session and slot numbers are unique within one ownership.
"""

from __future__ import annotations

import msgspec

from jacinthreel_common import MALFORMED_INPUT
from jacinthreel_steps import (
    EndReason,
    ReportedEnd,
    ReportedRun,
    RunId,
    StartOutcome,
    TaskId,
)


class Assignment(msgspec.Struct, frozen=True, array_like=True):
    """Assigns an executor to the relay; `lease_ms` is the duration of leases there.

    Requests carry `fence` until a contact is granted.  It is 0 from owners of earlier versions,
    whose fence is their epoch.
    """

    slot: int
    executor_id: str
    address: str
    incarnation: int
    lease_ms: int
    fence: int = 0


class Grant(msgspec.Struct, frozen=True, array_like=True):
    """Allows lease renewals, starts and acknowledgements during one contact, with its fence.

    `fence` is 0 from owners of earlier versions.
    """

    slot: int
    contact: int
    fence: int = 0


class Acknowledgement(msgspec.Struct, frozen=True, array_like=True):
    """All ends of an executor's incarnation up to `stored_upto` are stored."""

    slot: int
    incarnation: int
    stored_upto: int


class RunName(msgspec.Struct, frozen=True, array_like=True):
    """Identifies a run."""

    job_id: str
    step_index: int
    task_index: int
    number: int


class StartOrder(msgspec.Struct, frozen=True, array_like=True):
    """Orders a start; `order` is unique within the session."""

    order: int
    slot: int
    run: RunName
    payload: str
    checkpoint: str


class StopRunOrder(msgspec.Struct, frozen=True, array_like=True):
    """Orders a stop; `order` is unique within the session."""

    order: int
    slot: int
    run: RunName


class OrdersBody(msgspec.Struct, frozen=True, array_like=True):
    """The orders of one message, applied in the order of the fields.

    `session_start` is set in the first message of a session: the relay drops all earlier slots.
    `owner_clock_ms` is the owner's clock at the sending.  `permission_until_ms` is on the relay's
    clock; 0 leaves the permission as it is.
    """

    session: int
    session_start: bool
    owner_clock_ms: int
    dropped_slots: list[int] = []
    assignments: list[Assignment] = []
    permission_until_ms: int = 0
    grants: list[Grant] = []
    acknowledgements: list[Acknowledgement] = []
    stops: list[StopRunOrder] = []
    starts: list[StartOrder] = []


class RunProgress(msgspec.Struct, frozen=True, array_like=True):
    """A run in progress."""

    run: RunName
    checkpoint: str
    percent: int


class RunEnd(msgspec.Struct, frozen=True, array_like=True):
    """The end of a run that was not acknowledged yet."""

    sequence: int
    run: RunName
    reason: EndReason
    checkpoint: str


class SlotReport(msgspec.Struct, frozen=True, array_like=True):
    """A report of an executor.

    `sent_ms` is a lower bound, on the owner's clock, for the time at which it was requested;
    `age_ms` is the time since it arrived at the relay.  `may_omit_ends` and `unclear_tasks` are
    those of `ExecutorReport`; the run numbers of the latter are 0.
    """

    slot: int
    contact: int
    incarnation: int
    sent_ms: int
    age_ms: int
    running: list[RunProgress]
    ended: list[RunEnd]
    may_omit_ends: bool = False
    unclear_tasks: list[RunName] = []


class SlotLoss(msgspec.Struct, frozen=True, array_like=True):
    """The end of a contact, or a failed first one.

    All leases of this and earlier contacts of the slot have certainly ended after `left_ms` on the
    relay's clock.  `is_replaced` is set if another executor responds at the address.
    `is_fence_unseen` is set if the executor has answered no request with the contact's fence, so
    that it may still carry out those of earlier contacts.
    """

    slot: int
    contact: int
    left_ms: int
    is_replaced: bool
    detail: str
    is_fence_unseen: bool = False


class StaleSlot(msgspec.Struct, frozen=True, array_like=True):
    """An executor whose last response is older than `ReportBody.age_ms`."""

    slot: int
    age_ms: int


class StartResult(msgspec.Struct, frozen=True, array_like=True):
    """The outcome of a start order."""

    order: int
    outcome: StartOutcome


class FencedSlot(msgspec.Struct, frozen=True, array_like=True):
    """An executor that refused a request with `fence`, because it has seen a higher one."""

    slot: int
    fence: int


class ReportBody(msgspec.Struct, frozen=True, array_like=True):
    """The contents of one report.

    `clock_ms` is the relay's clock at the sending.  `weight` is the relay's share of executors
    relative to other relays, `max_executors` the most that it can take.  The last responses of
    reached executors that are not in `stale` are at most `age_ms` old.  `confirmed_stops` are
    orders.  `fenced_slots` is empty except from relays of earlier versions, whose requests carry
    the epoch; the others set `carries_fences`.
    """

    session: int
    clock_ms: int
    weight: int
    max_executors: int
    is_draining: bool
    age_ms: int = 0
    losses: list[SlotLoss] = []
    start_results: list[StartResult] = []
    confirmed_stops: list[int] = []
    reports: list[SlotReport] = []
    stale: list[StaleSlot] = []
    fenced_slots: list[int] = []
    fenced: list[FencedSlot] = []
    carries_fences: bool = False


_orders_decoder = msgspec.msgpack.Decoder(OrdersBody)
_report_decoder = msgspec.msgpack.Decoder(ReportBody)
_encoder = msgspec.msgpack.Encoder()


def encode_body(body: OrdersBody | ReportBody) -> bytes:
    """Encodes the body of a message."""
    return _encoder.encode(body)


def decode_orders(data: bytes) -> OrdersBody | None:
    """Decodes the body of `RelayOrders`; returns None if malformed."""
    try:
        return _orders_decoder.decode(data)
    except MALFORMED_INPUT:
        return None


def decode_report(data: bytes) -> ReportBody | None:
    """Decodes the body of `RelayReport`; returns None if malformed."""
    try:
        return _report_decoder.decode(data)
    except MALFORMED_INPUT:
        return None


def name_run(run_id: RunId) -> RunName:
    """Returns the entry that identifies a run."""
    task = run_id.task
    return RunName(task.job_id, task.step_index, task.task_index, run_id.number)


def run_id_of(name: RunName) -> RunId:
    """Returns the id of the run that an entry identifies."""
    return RunId(TaskId(name.job_id, name.step_index, name.task_index), name.number)


def encode_running(run: ReportedRun) -> RunProgress:
    """Returns the entry of a run in progress."""
    return RunProgress(name_run(run.run_id), run.checkpoint, run.percent)


def decode_running(entry: RunProgress) -> ReportedRun:
    """Returns the run in progress of an entry."""
    return ReportedRun(run_id_of(entry.run), entry.checkpoint, entry.percent)


def encode_end(end: ReportedEnd) -> RunEnd:
    """Returns the entry of a run's end."""
    return RunEnd(end.sequence, name_run(end.run_id), end.reason, end.checkpoint)


def decode_end(entry: RunEnd) -> ReportedEnd:
    """Returns the run's end of an entry."""
    return ReportedEnd(entry.sequence, run_id_of(entry.run), entry.reason, entry.checkpoint)
