"""The owner's connection to one executor: polls reports, renews leases, and sends starts and stops.

The link polls the executor continuously.  Each report request renews the executor's leases, and
the executor responds as soon as a run ends.  Up to `ORDER_WORKERS` starts and stops are sent
concurrently with the polling.

The clock and acknowledgement rules are in `_executor_exchange`, those of contacts and their fences
in docs/design/executor-lives.md.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from dataclasses import dataclass, replace
from typing import Any, Final

from returns.result import Failure, Success

from jacinthreel_common import Fault, ResultCode
from jacinthreel_daemon.plumbing import Clock
from jacinthreel_node._contact_fences import ContactFences
from jacinthreel_node._executor_exchange import ExecutorExchange, max_lease_validity_ms
from jacinthreel_node._former_leases import FormerLeases
from jacinthreel_node._lease_expiry import ExpiredLeases, log_expiry
from jacinthreel_node._order_queue import STOP_RANK, OrderQueue
from jacinthreel_node._ports import (
    ExecutorGateway,
    ExecutorTarget,
    ReportRequest,
    ReportResponse,
    StartCommand,
)
from jacinthreel_node._slow_steps import StepTiming, measure_step
from jacinthreel_steps import (
    Executor,
    ExecutorListing,
    LeaseChoice,
    LeaseLimits,
    Run,
    RunState,
    Scheduler,
    StartOutcome,
    StopOrder,
    choose_lease,
)

REPORT_WAIT_MS: Final = 1_000
STORE_WAIT_MS: Final = 250
RETRY_PAUSE_MS: Final = 200
ORDER_WORKERS: Final = 2
MAX_STOP_ATTEMPTS: Final = 4
WIDE_STEP_TASKS: Final = 200
LEASE_CHOICE_AGE_MS: Final = 250
CONFIRMATION_AGE_MS: Final = 2  # A report shows a stop that was confirmed before it was requested.
DRAINING_LEASE_MS: Final = 2_500  # Shorter, to place its runs elsewhere soon after it leaves.


@dataclass(frozen=True, slots=True)
class LinkContext:
    """Dependencies that all links of one ownership share.

    `fences` are those of all contacts of the ownership, through relays or not.
    `former_leases` holds the lease ends at executors that this owner has not reached yet.
    `may_order` is checked immediately before each start and lease renewal is sent: the process may
    have been paused for longer than its ownership was valid.  Leases beyond the shortest one are
    requested only while `may_grant_long` returns true, and none at an executor for whose id
    `may_grant` returns false.  `wait_stored` waits for the next
    stored batch, up to a timeout in milliseconds.  `on_fenced` is called with the id of an executor
    that reports a newer owner, `on_error` with an unexpected exception.
    """

    gateway: ExecutorGateway
    scheduler: Scheduler
    clock: Clock
    epoch: int
    fences: ContactFences
    lease_limits: LeaseLimits
    former_leases: FormerLeases
    may_order: Callable[[], bool]
    may_grant_long: Callable[[], bool]
    may_grant: Callable[[str], bool]
    wait_stored: Callable[[int], Awaitable[None]]
    request_plan: Callable[[], None]
    on_fenced: Callable[[str], None]
    on_error: Callable[[Exception], None]
    log: Callable[[str, dict[str, Any]], None]


class ExecutorLink:
    """The connection to one executor during one ownership.

    `bound_ms` is the local time by which leases that relays granted there have certainly ended, and
    those that were requested by the clock of an earlier process.
    """

    def __init__(self, context: LinkContext, executor_id: str, bound_ms: int = 0) -> None:
        self._context = context
        self._executor_id = executor_id
        self._bound_ms = bound_ms
        self._exchange = ExecutorExchange(context.fences.next(), self._last_incarnation())
        self._call_ended = asyncio.Event()
        self._lease_choice = LeaseChoice(context.lease_limits.shortest_ms)
        self._lease_chosen_ms = 0
        self._orders = OrderQueue()
        self._report_timing = StepTiming()
        loops = [self._poll_reports(), *(self._process_orders() for _ in range(ORDER_WORKERS))]
        self._tasks = [asyncio.create_task(self._guard(loop)) for loop in loops]

    def close(self) -> None:
        """Stops polling, drops queued orders and closes the connections."""
        for task in self._tasks:
            task.cancel()
        self._context.gateway.close_connections(self._executor_id)

    def send(self, order: Run | StopOrder) -> None:
        """Queues a start or a stop."""
        job = self._context.scheduler.tables.jobs_by_id.get(order.run_id.task.job_id)
        rank = STOP_RANK
        if isinstance(order, Run) and job is not None:
            rank = job.queue.priority
        self._orders.put(order, rank)

    def lease_end_ms(self) -> int:
        """Returns the local time by which all runs have ended if the executor is unreachable."""
        end_ms = self._listed_end_ms()
        executor = self._find_executor()
        if executor is None or not any(map(executor.is_start_doubtful, _runs_of(executor))):
            return end_ms
        return max(end_ms, self._doubtful_end_ms())

    def _listed_end_ms(self) -> int:
        """Returns the same for the runs that the executor has listed."""
        former_end_ms = self._context.former_leases.end_ms(self._executor_id)
        return max(self._bound_ms, former_end_ms, self._exchange.lease_end_ms(former_end_ms))

    def _doubtful_end_ms(self) -> int:
        """Returns the same for runs that a process which has not been heard of may have started.

        There a lease may last for the longest, because its clock has begun anew.
        """
        sent_ms = self._exchange.lease_sent_ms
        if sent_ms is None:
            return 0
        return sent_ms + max_lease_validity_ms(self._context.lease_limits.longest_ms)

    @property
    def has_long_lease(self) -> bool:
        """Whether the last lease requested was longer than the shortest one."""
        return self._lease_choice.lease_ms > self._context.lease_limits.shortest_ms

    async def _guard(self, loop: Coroutine[Any, Any, None]) -> None:
        """Runs a loop of the link; an error ends the ownership, as the link needs its loops."""
        try:
            await loop
        except Exception as error:
            self._context.on_error(error)

    async def _poll_reports(self) -> None:
        while True:
            executor = self._find_executor()
            self._report_timing = StepTiming()
            can_poll_at_once = executor is not None and await self._request_report(executor)
            pause_s = self._report_timing.pause_s
            if not can_poll_at_once:
                pause_s = max(pause_s, RETRY_PAUSE_MS / 1000)
            if pause_s:
                await asyncio.sleep(pause_s)

    async def _request_report(self, executor: Executor) -> bool:
        """Requests a report and applies it; returns whether to request another without a pause."""
        context = self._context
        has_unstored_ends = context.scheduler.has_unstored_ends(self._executor_id)
        acknowledged_upto = await self._begin_acknowledgement()
        may_renew = self._may_renew(executor)
        lease_until_ms = self._lease_until_ms(executor) if may_renew else None
        is_grant_awaited = may_renew and lease_until_ms is None
        is_urgent = (
            has_unstored_ends
            or self._exchange.is_acknowledging
            or not self._is_contact_confirmed()
            or is_grant_awaited
        )
        request = ReportRequest(
            self._exchange.fence,
            acknowledged_upto,
            lease_until_ms,
            0 if is_urgent else REPORT_WAIT_MS,
        )
        may_continue = await self._exchange_report(executor, request)
        if self._exchange.contact is None:
            self._end_acknowledgement()
        if has_unstored_ends or is_grant_awaited:
            return False
        return may_continue or self._has_new_acknowledgement()

    async def _exchange_report(self, executor: Executor, request: ReportRequest) -> bool:
        """Sends a request for a report and applies the answer; returns as `_apply_report`."""
        context = self._context
        sent_ms = context.clock.now_ms()
        requested_listing = executor.listing
        result = await context.gateway.report(self._target(executor), request)
        if request.acknowledged_upto:
            self._end_acknowledgement()
        if request.acknowledged_upto and not isinstance(result, Success):
            fields = {
                "executor": self._executor_id,
                "incarnation": executor.life.incarnation,
                "acknowledged": request.acknowledged_upto,
            }
            context.log("acknowledgement_unanswered", fields)
        match result:
            case Success(ReportResponse() as response):
                contact = self._exchange.contact
                if contact is not None and request.acknowledged_upto:
                    contact.acknowledged_upto = request.acknowledged_upto
                return await self._apply_report(response, request, requested_listing, sent_ms)
            case Failure(Fault(code=ResultCode.STALE_EPOCH)):
                self._is_ownership_fenced(request.fence)
            case Failure(Fault(code=ResultCode.WORKER_RESTARTED) as fault):
                self._mark_unreachable(fault)
                self._end_replaced_runs(executor, requested_listing)
            case Failure(Fault() as fault):
                if request.lease_until_ms is not None:
                    self._exchange.record_lease_unanswered(context.clock.now_ms())
                self._mark_unreachable(fault)
                self.expire_unreachable()
        return False

    def _is_ownership_fenced(self, fence: int) -> bool:
        """Whether the refusal of a call shows a newer owner, which is then told to the owner.

        It shows nothing if a later contact has begun since the call was sent.
        """
        is_newer_owner = fence >= self._exchange.fence
        if is_newer_owner:
            self._context.on_fenced(self._executor_id)
        return is_newer_owner

    def _is_contact_confirmed(self) -> bool:
        contact = self._exchange.contact
        return contact is not None and contact.is_confirmed

    def _may_renew(self, executor: Executor) -> bool:
        """Whether a request may renew leases.

        Not while the entry is of another process, until the executor has answered a request that
        was sent after the entry was read: a lease by the earlier clock would last longer.
        """
        contact = self._exchange.contact
        life = executor.life
        if contact is None or not (life.has_reported and life.incarnation == contact.incarnation):
            return False
        if not self._context.may_order():
            return False
        if contact.has_unlisted_start and not self._context.may_grant_long():
            return False  # A next owner allows for the longest lease only for a short time.
        return executor.listing.incarnation in (contact.incarnation, contact.listed_incarnation)

    async def _apply_report(
        self,
        response: ReportResponse,
        request: ReportRequest,
        requested_listing: ExecutorListing,
        sent_ms: int,
    ) -> bool:
        """Applies a report; returns whether the next one may be requested without a pause.

        An executor that lists ends answers at once, whether it has news or not.
        """
        context = self._context
        now_ms = context.clock.now_ms()
        executor = self._find_executor()
        if executor is None:
            return False  # Its leases have expired since the request, and it was not listed.
        was_unreachable = self._exchange.is_unreachable
        has_news = self._exchange.record_response(response, sent_ms, now_ms)
        if has_news is None:
            return False
        executor.awaits_grant = not context.may_grant(self._executor_id)
        context.former_leases.record_answer(self._executor_id, now_ms)
        has_news = self._update_contact(request.fence, requested_listing, now_ms) or has_news
        if was_unreachable:
            context.log("executor_regained", {"executor": self._executor_id})
        fields = {"running": len(response.running), "ended": len(response.ended)}
        with measure_step(
            context.clock, context.log, "apply_report", **fields
        ) as self._report_timing:
            context.scheduler.apply_report(self._executor_id, response.to_report(sent_ms), now_ms)
        context.request_plan()
        await self._wait_until_ends_stored(now_ms + STORE_WAIT_MS)
        return has_news or not response.lists_ends

    def _update_contact(
        self, answered_fence: int, requested_listing: ExecutorListing, now_ms: int
    ) -> bool:
        """Grants a new contact, or confirms it; returns whether either was the case."""
        contact = self._exchange.contact
        assert contact is not None
        contact.listed_incarnation = requested_listing.incarnation
        if contact.is_confirmed:
            return False
        if contact.follows_other_process:
            # A request by the clock of the earlier process may be carried out by this one, until it
            # has carried out one of the contact.
            longest_ms = max_lease_validity_ms(self._context.lease_limits.longest_ms)
            self._bound_ms = max(self._bound_ms, now_ms + longest_ms)
        if contact.fence is None:
            self._exchange.grant(self._context.fences.next())
            if contact.follows_other_process:
                self._context.gateway.close_connections(self._executor_id)
            self._call_ended.set()
        elif answered_fence >= contact.fence:
            contact.is_confirmed = True
        return True

    async def _wait_until_ends_stored(self, end_ms: int) -> None:
        """Waits until all reported ends are stored, or until `end_ms`.

        Waiting for one transaction is not enough: one that was in flight when the report arrived
        doesn't contain its ends.
        """
        context = self._context
        while context.scheduler.has_unstored_ends(self._executor_id):
            remaining_ms = end_ms - context.clock.now_ms()
            if remaining_ms <= 0:
                return
            await context.wait_stored(remaining_ms)

    async def _begin_acknowledgement(self) -> int:
        """Returns the highest end that the executor may discard, 0 for none.

        If one is due, no starts are sent until `_end_acknowledgement`, and those on their way are
        awaited.  If another process may have answered one of them, the next report has to show that
        none has.
        """
        due = self._due_acknowledgement()
        if not due:
            self._end_acknowledgement()
            return 0
        self._exchange.is_acknowledging = True
        while self._exchange.has_starts_on_way:
            await self._wait_for_calls()
        due = self._due_acknowledgement()
        if not due:
            self._end_acknowledgement()
            return 0
        return due if self._exchange.may_acknowledge else 0

    def _due_acknowledgement(self) -> int:
        contact = self._exchange.contact
        if contact is None:
            return 0
        stored_upto = self._context.scheduler.acknowledged_upto(self._executor_id)
        return contact.due_acknowledgement(stored_upto)

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
        """Waits until a call that others wait for has ended, or a contact has begun or ended."""
        self._call_ended.clear()
        await self._call_ended.wait()

    def _lease_until_ms(self, executor: Executor, run: Run | None = None) -> int | None:
        """Returns the lease end to request, or None if none may be granted yet.

        That is before the first clock reading, and before the grant is stored for a next owner.
        `run` is the one that a start is for.  The choice goes through all runs of the executor, so
        starts of wide steps use one that is a short time old.
        """
        context = self._context
        now_ms = context.clock.now_ms()
        is_recent = now_ms - self._lease_chosen_ms < LEASE_CHOICE_AGE_MS
        if run is None or not is_recent or not self._is_of_wide_step(run):
            choice = choose_lease(
                executor, context.scheduler.tables.jobs_by_id, context.lease_limits, now_ms
            )
            self._lease_chosen_ms = now_ms
            lease_ms = lease_ms_of(executor.listing, choice.lease_ms)
            self._lease_choice = replace(choice, lease_ms=lease_ms)
        lease_ms = self._lease_choice.lease_ms
        if not context.may_grant_long():
            lease_ms = min(lease_ms, context.lease_limits.shortest_ms)
        contact = self._exchange.contact
        if contact is None or contact.fence is None:
            return None
        executor.awaits_grant = not context.may_grant(self._executor_id)
        if executor.awaits_grant:
            return None
        return contact.extend_lease(lease_ms, now_ms)

    def _is_of_wide_step(self, run: Run) -> bool:
        """Whether a run is one of so many that its start hardly changes what is at stake."""
        task_id = run.run_id.task
        job = self._context.scheduler.tables.jobs_by_id.get(task_id.job_id)
        if job is None:
            return False
        spec = job.steps[task_id.step_index].spec
        return spec.count >= WIDE_STEP_TASKS and not spec.is_gang

    def expire_unreachable(self) -> None:
        """Ends the runs of the executor if it is unreachable and their leases have expired.

        Those whose start is doubtful are ended later than the others.
        """
        executor = self._find_executor()
        if executor is None or not self._exchange.is_unreachable:
            return
        now_ms = self._context.clock.now_ms()
        end_ms = self._listed_end_ms()
        if now_ms < end_ms or not (executor.runs_by_task or not executor.is_listed):
            return
        scheduler = self._context.scheduler
        if now_ms >= self.lease_end_ms():
            self._log_expiry(executor, now_ms)
            scheduler.expire_executor(self._executor_id, "lease expired", now_ms)
        elif not all(map(executor.is_start_doubtful, _runs_of(executor))):
            self._log_expiry(executor, now_ms)
            scheduler.expire_listed_runs(self._executor_id, "lease expired", now_ms)
        else:
            return
        self._context.request_plan()

    def _log_expiry(self, executor: Executor, now_ms: int) -> None:
        former_leases = self._context.former_leases
        own_end_ms = self._exchange.lease_end_ms(former_leases.end_ms(self._executor_id))
        expired = ExpiredLeases(executor, own_end_ms, self._bound_ms)
        log_expiry(expired, former_leases, now_ms, self._context.log)

    def _end_replaced_runs(self, executor: Executor, requested_listing: ExecutorListing) -> None:
        """Ends the executor's runs, because another executor process responds at its address.

        Does nothing if the executor was listed at another address or as another incarnation since
        the request: the response then says nothing about the new process.
        """
        listing = executor.listing
        if (
            listing.incarnation != requested_listing.incarnation
            or listing.address != requested_listing.address
        ):
            return
        now_ms = self._context.clock.now_ms()
        self._context.scheduler.expire_executor(self._executor_id, "executor replaced", now_ms)
        self._context.request_plan()

    async def _process_orders(self) -> None:
        while True:
            order = await self._orders.get()
            match order:
                case Run():
                    await self._start(order)
                case StopOrder():
                    await self._stop(order)
            self._context.request_plan()

    async def _start(self, run: Run) -> None:
        context = self._context
        while self._exchange.is_acknowledging and run.state is RunState.STARTING:
            await self._wait_for_calls()
        executor = self._find_executor()
        if executor is None or run.state is not RunState.STARTING or not context.may_order():
            return
        refusal = self._refusal_of_start(executor, run)
        if refusal is not None:
            context.scheduler.record_start_outcome(run, refusal, context.clock.now_ms())
            return
        job = context.scheduler.tables.jobs_by_id.get(run.run_id.task.job_id)
        if job is None:
            return
        until_ms = self._lease_until_ms(executor, run)
        if until_ms is None:
            outcome = StartOutcome.REFUSED_INCARNATION
            context.scheduler.record_start_outcome(run, outcome, context.clock.now_ms())
            return
        command = StartCommand(
            run.run_id, job.record.spec.payload, until_ms, self._exchange.fence, run.checkpoint
        )
        contact = self._exchange.record_start_sent(run.run_id, context.clock.now_ms())
        run.is_start_sent = True
        response = await context.gateway.start(self._target(executor), command)
        now_ms = context.clock.now_ms()
        self._exchange.record_start_result(contact, run.run_id, response.outcome, now_ms)
        self._call_ended.set()
        if response.is_fenced and self._is_ownership_fenced(command.fence):
            return
        context.scheduler.record_start_outcome(run, response.outcome, now_ms)

    def _refusal_of_start(self, executor: Executor, run: Run) -> StartOutcome | None:
        """Returns the outcome of a start that must not be sent, None if it may be."""
        if self._exchange.is_unreachable:
            # It would extend the wait for the leases there.  An earlier order for the run may have
            # crashed the executor; its next incarnation would obey too.
            if run.has_unanswered_start:
                return StartOutcome.REFUSED_UNHEALTHY
            return StartOutcome.REFUSED_OTHER
        if not self._context.may_grant_long():
            return StartOutcome.REFUSED_OTHER  # Another process would grant it the longest lease.
        # A restarted executor has forgotten that it refuses owners from before another takeover.
        is_current = executor.is_entry_current and executor.life.incarnation == run.incarnation
        if not is_current or self._exchange.incarnation != run.incarnation:
            return StartOutcome.REFUSED_INCARNATION
        return None

    async def _stop(self, order: StopOrder) -> None:
        context = self._context
        for _ in range(MAX_STOP_ATTEMPTS):
            executor = self._find_executor()
            if executor is None:
                return
            fence = self._exchange.fence
            match await context.gateway.stop(self._target(executor), order.run_id, fence):
                case Success(_):
                    await self._confirm_stop(executor, order)
                    return
                case Failure(Fault(code=ResultCode.STALE_EPOCH)):
                    if self._is_ownership_fenced(fence):
                        return
                case Failure(Fault(code=ResultCode.WORKER_RESTARTED)):
                    return
        # If the run is still running, the next report triggers another stop.

    async def _confirm_stop(self, executor: Executor, order: StopOrder) -> None:
        """Records a confirmed stop, and asks at once whether a run that never started is gone.

        The end of such a run is never reported, so that the report that is waited for may come a
        second later; until then the task, and with it its gang, can't be placed again.
        """
        context = self._context
        run = executor.runs_by_task.get(order.run_id.task)
        context.scheduler.record_stop_confirmation(order, context.clock.now_ms())
        if run is None or run.run_id != order.run_id or run.start_confirmed_ms is not None:
            return
        await asyncio.sleep(CONFIRMATION_AGE_MS / 1000)
        request = ReportRequest(self._exchange.fence, 0, None, 0)
        sent_ms, listing = context.clock.now_ms(), executor.listing
        match await context.gateway.report(self._target(executor), request):
            case Success(ReportResponse() as response):
                await self._apply_report(response, request, listing, sent_ms)
            case Failure(Fault(code=ResultCode.STALE_EPOCH)):
                self._is_ownership_fenced(request.fence)
            case Failure(_):
                return  # The polling detects that the executor is unreachable.

    def _last_incarnation(self) -> int | None:
        """Returns the incarnation that answered an earlier link or a relay, None if none did."""
        executor = self._find_executor()
        return executor.last_incarnation if executor is not None else None

    def _find_executor(self) -> Executor | None:
        return self._context.scheduler.tables.executors_by_id.get(self._executor_id)

    def _target(self, executor: Executor) -> ExecutorTarget:
        return ExecutorTarget(self._executor_id, executor.listing.address)

    def _mark_unreachable(self, fault: Fault) -> None:
        if not self._exchange.record_failure():
            return
        self._context.scheduler.record_unreachable(self._executor_id, self._context.clock.now_ms())
        choice = self._lease_choice
        fields = {
            "executor": self._executor_id,
            "reason": fault.detail,
            "lease_ms": choice.lease_ms,
            "lease_left_ms": max(0, self.lease_end_ms() - self._context.clock.now_ms()),
            "work_at_stake_ms": choice.work_at_stake_ms,
            "longer_wait_ms": choice.wait_ms,
            "young_urgent_gang": choice.has_young_urgent_gang,
        }
        self._context.log("executor_lost", fields)


def _runs_of(executor: Executor) -> list[Run]:
    return list(executor.runs_by_task.values())


def lease_ms_of(listing: ExecutorListing, lease_ms: int) -> int:
    """Returns the duration of leases at an executor; leases at a draining one are shorter."""
    return min(lease_ms, DRAINING_LEASE_MS) if listing.is_draining else lease_ms
