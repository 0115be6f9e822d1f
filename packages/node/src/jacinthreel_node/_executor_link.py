"""The owner's connection to one executor: polls reports, renews leases, and sends starts and stops.

The link polls the executor continuously.  Each report request renews the executor's leases, and
the executor responds as soon as a run ends.  Up to `ORDER_WORKERS` starts and stops are sent
concurrently with the polling.

Clocks: a lease ends at a time on the executor's clock, which may run slow by up to
`CLOCK_SLOWNESS`.  Each response gives a lower bound for the executor's clock, and lease end times
are computed from this bound.  All runs on an unreachable executor have ended once its clock must
have passed the latest lease end that was sent to it.  For this bound to stay fixed, the requests
that follow a failed one don't renew leases.  Leases vary in length (`choose_lease`), so the first
renewal doesn't cover what an earlier owner has granted.  That owner may have renewed its leases
until this owner's first request, and by no more than the longest lease.

Acknowledgements: a restarted executor numbers the ends of its runs from 1 again.  If it received an
acknowledgement meant for the earlier process, it would discard ends that the owner has not read.
Ends are therefore acknowledged only while the executor reports them, with a request that returns
immediately, and not after a failed request or a pause of more than `MIN_RESTART_MS`.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from dataclasses import dataclass, replace
from typing import Any, Final

from returns.result import Failure, Success

from jacinthreel_common import Fault, ResultCode
from jacinthreel_daemon.plumbing import Clock
from jacinthreel_node._former_leases import FormerLeases
from jacinthreel_node._ports import (
    ExecutorGateway,
    ExecutorTarget,
    ReportRequest,
    ReportResponse,
    StartCommand,
)
from jacinthreel_steps import (
    Executor,
    ExecutorListing,
    ExecutorReport,
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
CLOCK_SLOWNESS: Final = 0.02
LEASE_MARGIN_MS: Final = 200
MIN_RESTART_MS: Final = 600  # An executor takes longer than this to restart.
DRAINING_LEASE_MS: Final = 2_500  # Shorter, to place its runs elsewhere soon after it leaves.


@dataclass(slots=True)
class ExecutorClock:
    """A reading of an executor's clock, the local time of the reading, and the latest lease ends.

    `longest_lease_ms` is the longest lease that an earlier owner may have granted.  On the
    executor's clock, `lease_until_ms` is the latest lease end that this owner has sent, and
    `former_until_ms` the latest one that an earlier owner may have sent.
    """

    longest_lease_ms: int = 0
    executor_time_ms: int = 0
    local_time_ms: int | None = None
    lease_until_ms: int = 0
    former_until_ms: int = 0

    def record_reading(self, executor_time_ms: int, local_time_ms: int) -> None:
        """Records the clock reading of a response that arrived at `local_time_ms`."""
        if self.local_time_ms is None:
            self.former_until_ms = executor_time_ms + self.longest_lease_ms
        self.executor_time_ms = executor_time_ms
        self.local_time_ms = local_time_ms

    def earliest_time_ms(self, now_ms: int) -> int | None:
        """Returns a lower bound for the executor's clock now, or None before the first reading."""
        if self.local_time_ms is None:
            return None
        return self.executor_time_ms + int((now_ms - self.local_time_ms) * (1 - CLOCK_SLOWNESS))

    def lease_end_ms(self, former_end_ms: int) -> int:
        """Returns the local time by which the latest lease has certainly ended.

        `former_end_ms` is the time by which the leases of earlier owners have ended.  It applies
        alone before the first reading.
        """
        if self.local_time_ms is None:
            return former_end_ms
        former_end_ms = min(former_end_ms, self._end_ms(self.former_until_ms, self.local_time_ms))
        return max(former_end_ms, self._end_ms(self.lease_until_ms, self.local_time_ms))

    def _end_ms(self, until_ms: int, reading_ms: int) -> int:
        remaining_ms = max(0, until_ms - self.executor_time_ms)
        return reading_ms + int(remaining_ms / (1 - CLOCK_SLOWNESS)) + LEASE_MARGIN_MS


@dataclass(frozen=True, slots=True)
class LinkContext:
    """Dependencies that all links of one ownership share.

    `former_leases` holds the lease ends at executors that this owner has not reached yet.
    `may_order` is checked immediately before each start and lease renewal is sent: the process may
    have been paused for longer than its ownership was valid.  `wait_stored` waits for the next
    stored batch, up to a timeout in milliseconds.  `on_fenced`
    is called with the id of an executor that reports a newer owner, `on_error` with an unexpected
    exception.
    """

    gateway: ExecutorGateway
    scheduler: Scheduler
    clock: Clock
    epoch: int
    lease_limits: LeaseLimits
    former_leases: FormerLeases
    may_order: Callable[[], bool]
    wait_stored: Callable[[int], Awaitable[None]]
    request_plan: Callable[[], None]
    on_fenced: Callable[[str], None]
    on_error: Callable[[Exception], None]
    log: Callable[[str, dict[str, Any]], None]


class ExecutorLink:
    """The connection to one executor during one ownership."""

    def __init__(self, context: LinkContext, executor_id: str) -> None:
        self._context = context
        self._executor_id = executor_id
        self._executor_clock = self._new_clock()
        self._incarnation = 0
        self._lease_choice = LeaseChoice(context.lease_limits.shortest_ms)
        self._orders: asyncio.Queue[Run | StopOrder] = asyncio.Queue()
        loops = [self._poll_reports(), *(self._process_orders() for _ in range(ORDER_WORKERS))]
        self._tasks = [asyncio.create_task(self._guard(loop)) for loop in loops]
        self._is_unreachable = False
        self._last_response_ms = 0
        self._lowest_reported_end: int | None = None

    def close(self) -> None:
        """Stops polling, drops queued orders and closes the connections."""
        for task in self._tasks:
            task.cancel()
        self._context.gateway.close_connections(self._executor_id)

    def send(self, order: Run | StopOrder) -> None:
        """Queues a start or a stop."""
        self._orders.put_nowait(order)

    def lease_end_ms(self) -> int:
        """Returns the local time by which all runs have ended if the executor is unreachable."""
        former_end_ms = self._context.former_leases.end_ms(self._executor_id)
        return self._executor_clock.lease_end_ms(former_end_ms)

    @property
    def has_long_lease(self) -> bool:
        """Whether the last lease requested was longer than the shortest one."""
        return self._lease_choice.lease_ms > self._context.lease_limits.shortest_ms

    def _new_clock(self) -> ExecutorClock:
        return ExecutorClock(self._context.lease_limits.longest_ms)

    async def _guard(self, loop: Coroutine[Any, Any, None]) -> None:
        """Runs a loop of the link; an error ends the ownership, as the link needs its loops."""
        try:
            await loop
        except Exception as error:
            self._context.on_error(error)

    async def _poll_reports(self) -> None:
        while True:
            executor = self._find_executor()
            can_poll_at_once = executor is not None and await self._request_report(executor)
            if not can_poll_at_once:
                await asyncio.sleep(RETRY_PAUSE_MS / 1000)

    async def _request_report(self, executor: Executor) -> bool:
        """Requests a report and applies it; returns whether to poll again without a pause."""
        context = self._context
        self._update_incarnation(executor)
        sent_ms = context.clock.now_ms()
        has_unstored_ends = context.scheduler.has_unstored_ends(self._executor_id)
        acknowledged_upto = self._acknowledged_upto(sent_ms)
        is_urgent = has_unstored_ends or acknowledged_upto > 0 or not executor.has_reported
        request = ReportRequest(
            context.epoch,
            acknowledged_upto,
            self._lease_until_ms(executor) if self._may_renew() else None,
            0 if is_urgent else REPORT_WAIT_MS,
        )
        requested_listing = executor.listing
        match await context.gateway.report(self._target(executor), request):
            case Success(ReportResponse() as response):
                await self._apply_report(response, sent_ms)
                return not has_unstored_ends
            case Failure(Fault(code=ResultCode.STALE_EPOCH)):
                context.on_fenced(self._executor_id)
                return False
            case Failure(Fault(code=ResultCode.WORKER_RESTARTED) as fault):
                self._mark_unreachable(fault)
                self._end_replaced_runs(executor, requested_listing)
            case Failure(Fault() as fault):
                self._mark_unreachable(fault)
                self._expire_unreachable(executor)
        return False

    def _may_renew(self) -> bool:
        return not self._is_unreachable and self._context.may_order()

    async def _apply_report(self, response: ReportResponse, sent_ms: int) -> None:
        context = self._context
        now_ms = context.clock.now_ms()
        if response.incarnation != self._incarnation:
            self._incarnation = response.incarnation
            self._executor_clock = self._new_clock()
        self._executor_clock.record_reading(response.clock_ms, now_ms)
        self._last_response_ms = now_ms
        self._lowest_reported_end = min((end.sequence for end in response.ended), default=None)
        if self._is_unreachable:
            self._is_unreachable = False
            context.log("executor_regained", {"executor": self._executor_id})
        report = ExecutorReport(response.incarnation, sent_ms, response.running, response.ended)
        context.scheduler.apply_report(self._executor_id, report, now_ms)
        context.request_plan()
        await self._wait_until_ends_stored(now_ms + STORE_WAIT_MS)

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

    def _acknowledged_upto(self, now_ms: int) -> int:
        """Returns the highest end that the executor may discard.

        The result is 0 if the executor reported no stored end or may have restarted.
        """
        if self._is_unreachable or now_ms - self._last_response_ms > MIN_RESTART_MS:
            return 0
        stored_upto = self._context.scheduler.acknowledged_upto(self._executor_id)
        if self._lowest_reported_end is None or self._lowest_reported_end > stored_upto:
            return 0
        return stored_upto

    def _update_incarnation(self, executor: Executor) -> None:
        if executor.listing.incarnation != self._incarnation:
            self._incarnation = executor.listing.incarnation
            self._executor_clock = self._new_clock()

    def _lease_until_ms(self, executor: Executor) -> int | None:
        """Returns the lease end to request, on the executor's clock; None before the first reading.

        Leases at a draining executor are shorter.
        """
        context = self._context
        now_ms = context.clock.now_ms()
        clock_ms = self._executor_clock.earliest_time_ms(now_ms)
        if clock_ms is None:
            return None
        choice = choose_lease(
            executor, context.scheduler.tables.jobs_by_id, context.lease_limits, now_ms
        )
        if executor.listing.is_draining:
            choice = replace(choice, lease_ms=min(choice.lease_ms, DRAINING_LEASE_MS))
        self._lease_choice = choice
        until_ms = clock_ms + choice.lease_ms
        self._executor_clock.lease_until_ms = max(self._executor_clock.lease_until_ms, until_ms)
        return until_ms

    def _expire_unreachable(self, executor: Executor) -> None:
        """Ends the runs of an unreachable executor once its leases have expired."""
        now_ms = self._context.clock.now_ms()
        if now_ms < self.lease_end_ms() or not (executor.runs_by_task or not executor.is_listed):
            return
        self._context.scheduler.expire_executor(self._executor_id, "lease expired", now_ms)
        self._context.request_plan()

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
        executor = self._find_executor()
        if executor is None or run.state is not RunState.STARTING or not context.may_order():
            return
        until_ms = self._lease_until_ms(executor)
        job = context.scheduler.tables.jobs_by_id.get(run.run_id.task.job_id)
        if job is None:
            return
        if until_ms is None:  # The executor has restarted since the run was placed.
            outcome = StartOutcome.REFUSED_INCARNATION
            context.scheduler.record_start_outcome(run, outcome, context.clock.now_ms())
            return
        command = StartCommand(
            run.run_id, job.record.spec.payload, until_ms, context.epoch, run.checkpoint
        )
        response = await context.gateway.start(self._target(executor), command)
        if response.is_fenced:
            context.on_fenced(self._executor_id)
            return
        context.scheduler.record_start_outcome(run, response.outcome, context.clock.now_ms())

    async def _stop(self, order: StopOrder) -> None:
        context = self._context
        for _ in range(MAX_STOP_ATTEMPTS):
            executor = self._find_executor()
            if executor is None:
                return
            match await context.gateway.stop(self._target(executor), order.run_id, context.epoch):
                case Success(_):
                    context.scheduler.record_stop_confirmation(order, context.clock.now_ms())
                    return
                case Failure(Fault(code=ResultCode.STALE_EPOCH)):
                    context.on_fenced(self._executor_id)
                    return
                case Failure(Fault(code=ResultCode.WORKER_RESTARTED)):
                    return
        # If the run is still running, the next report triggers another stop.

    def _find_executor(self) -> Executor | None:
        return self._context.scheduler.tables.executors_by_id.get(self._executor_id)

    def _target(self, executor: Executor) -> ExecutorTarget:
        return ExecutorTarget(self._executor_id, executor.listing.address)

    def _mark_unreachable(self, fault: Fault) -> None:
        if self._is_unreachable:
            return
        self._is_unreachable = True
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
