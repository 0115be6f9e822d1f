"""The exchange of a relay with one executor: polls, lease renewals, starts and stops.

Leases are renewed, ends acknowledged and starts sent only in a contact that the owner has granted,
the first and the last only while the relay's permission is valid (see docs/design/relays.md).  Both
are checked right before each request, on a clock that counts suspensions.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import Any, Final

from returns.result import Failure, Success

from jacinthreel_common import Fault, ResultCode
from jacinthreel_daemon.plumbing import Clock
from jacinthreel_node._executor_exchange import ExecutorExchange
from jacinthreel_node._executor_link import MAX_STOP_ATTEMPTS, RETRY_PAUSE_MS
from jacinthreel_node._ports import (
    ExecutorGateway,
    ExecutorTarget,
    ReportRequest,
    ReportResponse,
    StartCommand,
)
from jacinthreel_node._relays._messages import (
    Acknowledgement,
    Assignment,
    RunName,
    SlotLoss,
    SlotReport,
    StartOrder,
    StopRunOrder,
    encode_end,
    encode_running,
    name_run,
    run_id_of,
)
from jacinthreel_steps import RunId, StartOutcome

# With `REPORT_PERIOD_MS` of the relay, the age of an executor's last response at the owner stays
# below the planner's limit of 1,400 ms.
RELAY_POLL_WAIT_MS: Final = 700
PROGRESS_PERIOD_MS: Final = 1_200  # Progress must reach the owner at least every 2 s.
IDLE_REPORT_PERIOD_MS: Final = 5_000
ORDER_REPORT_MS: Final = 3_000  # The owner compares outcomes of orders with later reports.
OWNER_WAIT_MS: Final = 500


@dataclass(frozen=True, slots=True)
class RelaySession:
    """What all executors of one session share.

    `is_permitted` returns whether the relay's permission is valid now.  `owner_time_ms` converts a
    local time to a lower bound on the owner's clock.  `request_flush` schedules a report to the
    owner, without waiting for the end of the period if its argument is true.  `on_fenced` is called
    with a slot and the fence that its executor refused.
    """

    gateway: ExecutorGateway
    clock: Clock
    epoch: int
    is_permitted: Callable[[], bool]
    owner_time_ms: Callable[[int], int]
    request_flush: Callable[[bool], None]
    on_start_result: Callable[[int, StartOutcome], None]
    on_stop_confirmed: Callable[[int], None]
    on_fenced: Callable[[int, int], None]
    on_error: Callable[[Exception], None]


class RelayedExecutor:
    """One executor that is assigned to this relay.

    `contact` is the number of the current contact, or of the next one while there is none.
    """

    def __init__(self, session: RelaySession, assignment: Assignment) -> None:
        self.slot = assignment.slot
        self.contact = 1
        self.pending_report: SlotReport | None = None
        self.pending_loss: SlotLoss | None = None
        self.report_arrived_ms = 0
        self._session = session
        self._lease_ms = assignment.lease_ms
        self._target = ExecutorTarget(assignment.executor_id, assignment.address)
        self._exchange = ExecutorExchange(assignment.fence or session.epoch)
        self._acknowledgement: Acknowledgement | None = None
        self._owner_answered = asyncio.Event()
        self._call_ended = asyncio.Event()
        self._is_replacement_reported = False
        self._is_closed = False
        self._reported_ms = 0
        self._ordered_ms: int | None = None
        self._last_start_order = 0
        self._reported_runs: tuple[RunName, ...] = ()
        self._tasks: set[asyncio.Task[None]] = set()
        self._spawn(self._poll())

    @property
    def executor_id(self) -> str:
        """The executor's id in the registry."""
        return self._target.executor_id

    def close(self) -> None:
        """Stops all exchanges; a waiting poll ends by itself, so that its connection is kept."""
        self._is_closed = True
        self._owner_answered.set()
        self._call_ended.set()

    def grant(self, contact: int, fence: int) -> None:
        """Allows what needs a grant during a contact; a no-op if that has ended."""
        if contact == self.contact and self._exchange.contact is not None:
            self._exchange.grant(fence or self._session.epoch)
            self._owner_answered.set()

    def acknowledge(self, acknowledgement: Acknowledgement) -> None:
        """Records that the owner has stored ends."""
        self._acknowledgement = acknowledgement
        self._owner_answered.set()

    def start(self, order: StartOrder) -> None:
        """Sends a start once; a no-op for an order that was received before."""
        if order.order > self._last_start_order:
            self._last_start_order = order.order
            self._spawn(self._start(order))

    def stop(self, order: StopRunOrder) -> None:
        """Sends a stop, with retries."""
        self._spawn(self._stop(order))

    def response_age_ms(self, now_ms: int) -> int | None:
        """Returns the time since the last response; None while the executor is not reached."""
        return self._exchange.response_age_ms(now_ms) if self._exchange.contact else None

    async def _poll(self) -> None:
        while not self._is_closed:
            if not await self._request_report():
                await asyncio.sleep(RETRY_PAUSE_MS / 1000)

    async def _request_report(self) -> bool:
        """Requests a report; returns whether to request another without a pause."""
        acknowledged_upto = await self._begin_acknowledgement()
        if self._is_closed:
            return True
        return await self._exchange_report(acknowledged_upto)

    async def _exchange_report(self, acknowledged_upto: int) -> bool:
        session, exchange = self._session, self._exchange
        sent_ms = session.clock.now_ms()
        lists_ends = exchange.contact is not None and exchange.contact.lists_ends
        request = ReportRequest(
            exchange.fence,
            acknowledged_upto,
            self._lease_until_ms(sent_ms),
            0 if lists_ends or exchange.contact is None else RELAY_POLL_WAIT_MS,
        )
        outcome = await session.gateway.report(self._target, request)
        if self._is_closed:
            return True
        has_news = False
        match outcome:
            case Success(ReportResponse() as response):
                has_news = (
                    self._apply_response(response, request, sent_ms) or not response.lists_ends
                )
            case Failure(Fault(code=ResultCode.STALE_EPOCH)):
                self._report_fenced(request.fence)
            case Failure(Fault(code=code, detail=detail)):
                self._record_failure(code is ResultCode.WORKER_RESTARTED, detail)
        if acknowledged_upto or exchange.contact is None:
            self._end_acknowledgement()
        await self._wait_for_owner()
        is_answered = isinstance(outcome, Success)
        return is_answered and (has_news or self._has_new_acknowledgement())

    def _lease_until_ms(self, now_ms: int) -> int | None:
        """Returns the lease end to request in a poll, or None if none may be granted.

        Not after a start that another life of the executor may have carried out.
        """
        contact = self._exchange.contact
        if contact is None or contact.has_unlisted_start or not self._session.is_permitted():
            return None
        return contact.extend_lease(self._lease_ms, now_ms)

    def _due_acknowledgement(self) -> int:
        acknowledgement, contact = self._acknowledgement, self._exchange.contact
        if acknowledgement is None or contact is None:
            return 0
        if acknowledgement.incarnation != contact.incarnation:
            return 0
        return contact.due_acknowledgement(acknowledgement.stored_upto)

    async def _begin_acknowledgement(self) -> int:
        """Returns the highest end that the executor may discard, 0 for none.

        If one is due, no starts are sent until `_end_acknowledgement`, and those on their way are
        awaited.
        """
        if self._due_acknowledgement():
            self._exchange.is_acknowledging = True
            while self._exchange.has_starts_on_way and not self._is_closed:
                await self._wait_for_calls()
        due = self._due_acknowledgement()
        if not due:
            self._end_acknowledgement()
        return due if self._exchange.may_acknowledge else 0

    def _has_new_acknowledgement(self) -> bool:
        """Whether the next request can acknowledge more than was acknowledged before."""
        contact = self._exchange.contact
        if contact is None or not self._exchange.may_acknowledge:
            return False
        return self._due_acknowledgement() > contact.acknowledged_upto

    def _end_acknowledgement(self) -> None:
        self._exchange.is_acknowledging = False
        self._call_ended.set()

    async def _wait_for_calls(self) -> None:
        """Waits until a call that others wait for has ended."""
        self._call_ended.clear()
        await self._call_ended.wait()

    def _report_fenced(self, fence: int) -> None:
        """Reports a refused fence, unless requests carry a higher one by now."""
        if not self._is_closed and fence >= self._exchange.fence:
            self._session.on_fenced(self.slot, fence)

    def _apply_response(
        self, response: ReportResponse, request: ReportRequest, sent_ms: int
    ) -> bool:
        """Records a response and reports it; returns whether it brings news."""
        exchange, now_ms = self._exchange, self._session.clock.now_ms()
        former = exchange.contact
        has_news = exchange.record_response(response, sent_ms, now_ms)
        contact = exchange.contact
        if has_news is None or contact is None:
            return False
        self._is_replacement_reported = False
        if former is not None and contact is not former:
            self.contact += 1
        if contact is former and request.acknowledged_upto:
            contact.acknowledged_upto = request.acknowledged_upto
        contact.is_confirmed |= contact.fence is not None and request.fence >= contact.fence
        self._report_if_due(response, sent_ms, contact is not former, now_ms)
        return has_news

    def _report_if_due(
        self, response: ReportResponse, sent_ms: int, is_first: bool, now_ms: int
    ) -> None:
        """Passes a response on to the owner if it is news, or if one is due."""
        runs = tuple(name_run(run.run_id) for run in response.running)
        # Without a grant the owner may not have accepted the contact's first report.
        is_first |= self._exchange.contact is not None and self._exchange.contact.fence is None
        is_news = is_first or bool(response.ended) or runs != self._reported_runs
        if not is_news and not self._is_report_due(bool(runs), now_ms):
            return
        self._reported_ms = now_ms
        self._reported_runs = runs
        self.report_arrived_ms = now_ms
        self.pending_report = SlotReport(
            self.slot,
            self.contact,
            response.incarnation,
            self._session.owner_time_ms(sent_ms),
            0,
            [encode_running(run) for run in response.running],
            [encode_end(end) for end in response.ended],
            response.may_omit_ends,
            [name_run(RunId(task, 0)) for task in response.unclear_tasks],
        )
        self._session.request_flush(is_first or bool(response.ended))

    def _is_report_due(self, has_runs: bool, now_ms: int) -> bool:
        if self._ordered_ms is not None and now_ms - self._ordered_ms < ORDER_REPORT_MS:
            return True
        period_ms = PROGRESS_PERIOD_MS if has_runs else IDLE_REPORT_PERIOD_MS
        return now_ms - self._reported_ms >= period_ms

    async def _wait_for_owner(self) -> None:
        """Waits for a missing grant or acknowledgement, which the next request is to carry."""
        contact = self._exchange.contact
        if contact is None:
            return
        needs_acknowledgement = contact.lists_ends and not self._due_acknowledgement()
        # After an unanswered start the next response begins a contact, which needs a grant first.
        if contact.has_unanswered_start or (
            contact.fence is not None and not needs_acknowledgement
        ):
            return
        self._owner_answered.clear()
        try:
            async with asyncio.timeout(OWNER_WAIT_MS / 1000):
                await self._owner_answered.wait()
        except TimeoutError:
            return

    def _record_failure(self, is_replaced: bool, detail: str) -> None:
        """Ends the contact: no lease is renewed before the owner has granted the next one."""
        contact = self._exchange.contact
        is_fence_unseen = contact is not None and not contact.is_confirmed
        is_first = self._exchange.record_failure()
        if not is_first and not (is_replaced and not self._is_replacement_reported):
            return
        self._is_replacement_reported = is_replaced
        now_ms = self._session.clock.now_ms()
        left_ms = max(0, self._exchange.lease_end_ms(now_ms) - now_ms)
        self.pending_report = None
        self.pending_loss = SlotLoss(
            self.slot, self.contact, left_ms, is_replaced, detail, is_fence_unseen
        )
        self.contact += 1
        self._session.request_flush(True)

    async def _start(self, order: StartOrder) -> None:
        """Sends a start in the current contact, once no acknowledgement is on its way."""
        session, exchange = self._session, self._exchange
        contact = exchange.contact
        while exchange.is_acknowledging and not self._is_closed:
            await self._wait_for_calls()
        until_ms, now_ms = None, session.clock.now_ms()
        may_start = contact is exchange.contact and not self._is_closed and session.is_permitted()
        if contact is not None and may_start:
            until_ms = contact.extend_lease(self._lease_ms, now_ms)
        if until_ms is None:
            session.on_start_result(order.order, StartOutcome.REFUSED_OTHER)
            return
        run_id, fence = run_id_of(order.run), exchange.fence
        command = StartCommand(run_id, order.payload, until_ms, fence, order.checkpoint)
        contact = exchange.record_start_sent(run_id, now_ms)
        response = await session.gateway.start(self._target, command)
        self._ordered_ms = session.clock.now_ms()
        exchange.record_start_result(contact, run_id, response.outcome, self._ordered_ms)
        self._call_ended.set()
        if response.is_fenced:
            self._report_fenced(fence)
        session.on_start_result(order.order, response.outcome)

    async def _stop(self, order: StopRunOrder) -> None:
        session = self._session
        run_id = run_id_of(order.run)
        for _ in range(MAX_STOP_ATTEMPTS):
            if self._is_closed:
                return
            fence = self._exchange.fence
            outcome = await session.gateway.stop(self._target, run_id, fence)
            self._ordered_ms = session.clock.now_ms()
            match outcome:
                case Success(_):
                    session.on_stop_confirmed(order.order)
                    return
                case Failure(Fault(code=ResultCode.STALE_EPOCH)):
                    self._report_fenced(fence)
                case Failure(Fault(code=ResultCode.WORKER_RESTARTED)):
                    return
        # If the run is still running, the owner repeats the stop after the next report.

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(self._guard(coroutine))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _guard(self, coroutine: Coroutine[Any, Any, None]) -> None:
        try:
            await coroutine
        except Exception as error:
            self._session.on_error(error)
