"""One executor as its owner sees it: reports, leases, starts and stops.

The link asks for a report again and again; each question renews the leases, and the executor
answers it as soon as a run ends.  Starts and stops go out beside that, a few at a time.

Clocks: a lease ends at a time on the executor's clock, which may be up to `CLOCK_SLOWNESS` slow.
From each answer the link knows a time that the executor's clock has certainly reached.  Leases
are asked for from that time on, and everything on an executor that can't be reached has certainly
ended once its clock must have passed the latest lease that it can have been sent.  So a question
that follows one without an answer asks for no lease.

Acknowledgements: a new life of an executor counts its ends from 1 again, and would forget ends that
nobody has seen if it took an acknowledgement meant for the earlier life.  So ends are acknowledged
only while the executor lists them, by a question that doesn't wait, and never after silence.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from dataclasses import dataclass
from typing import Any, Final

from returns.result import Failure, Success

from jacinthreel_common import Fault, ResultCode
from jacinthreel_daemon.plumbing import Clock
from jacinthreel_node._former_leases import FormerLeases
from jacinthreel_node._ports import (
    ExecutorGateway,
    ExecutorTarget,
    ReportAnswer,
    ReportQuestion,
    StartCommand,
)
from jacinthreel_steps import (
    Executor,
    ExecutorListing,
    ExecutorReport,
    Run,
    RunState,
    Scheduler,
    StartOutcome,
    StopOrder,
)

REPORT_WAIT_MS: Final = 1_000
STORE_WAIT_MS: Final = 250
FAILURE_PAUSE_MS: Final = 200
ORDER_WORKERS: Final = 2
MAX_STOP_ATTEMPTS: Final = 4
CLOCK_SLOWNESS: Final = 0.02
LEASE_MARGIN_MS: Final = 200
SAME_LIFE_MS: Final = 600  # No executor stops and starts again within this.
DRAINING_LEASE_MS: Final = 2_500  # What runs there is placed again the sooner after it has left.


@dataclass(slots=True)
class ExecutorClock:
    """A time that an executor's clock had reached at a time of ours, and the latest lease."""

    their_ms: int = 0
    our_ms: int | None = None
    lease_until_ms: int = 0

    def see(self, their_ms: int, our_ms: int) -> None:
        """Takes the time of an answer that arrived at `our_ms`."""
        self.their_ms = their_ms
        self.our_ms = our_ms

    def at_least_ms(self, now_ms: int) -> int | None:
        """What the clock shows at least now, or None if it was never seen."""
        if self.our_ms is None:
            return None
        return self.their_ms + int((now_ms - self.our_ms) * (1 - CLOCK_SLOWNESS))

    def lease_end_ms(self, default_ms: int) -> int:
        """When, on our clock, the latest lease has certainly ended."""
        if self.our_ms is None:
            return default_ms
        left_ms = max(0, self.lease_until_ms - self.their_ms)
        return self.our_ms + int(left_ms / (1 - CLOCK_SLOWNESS)) + LEASE_MARGIN_MS


@dataclass(frozen=True, slots=True)
class LinkContext:
    """What all links of one ownership share.

    `former_leases` are those at executors that this owner has never reached.  `wait_stored` waits
    for the next stored batch.  `failed` takes an unexpected error.
    """

    gateway: ExecutorGateway
    scheduler: Scheduler
    clock: Clock
    epoch: int
    task_lease_ms: int
    former_leases: FormerLeases
    wait_stored: Callable[[int], Awaitable[None]]
    changed: Callable[[], None]
    fenced: Callable[[str], None]
    failed: Callable[[Exception], None]
    log: Callable[[str, dict[str, Any]], None]


class ExecutorLink:
    """The exchange with one executor while this process owns the jobs."""

    def __init__(self, context: LinkContext, executor_id: str) -> None:
        self._context = context
        self._executor_id = executor_id
        self._clock = ExecutorClock()
        self._incarnation = 0
        self._orders: asyncio.Queue[Run | StopOrder] = asyncio.Queue()
        loops = [self._poll(), *(self._work() for _ in range(ORDER_WORKERS))]
        self._tasks = [asyncio.create_task(self._guard(loop)) for loop in loops]
        self._is_lost = False
        self._answered_ms = 0
        self._listed_from: int | None = None

    def close(self) -> None:
        """Ends the exchange."""
        for task in self._tasks:
            task.cancel()
        self._context.gateway.forget(self._executor_id)

    def send(self, order: Run | StopOrder) -> None:
        """Queues a start or a stop."""
        self._orders.put_nowait(order)

    def lease_end_ms(self) -> int:
        """When everything that runs there has ended if the executor is not reached any more."""
        former_end_ms = self._context.former_leases.end_ms(self._executor_id)
        return self._clock.lease_end_ms(former_end_ms)

    async def _guard(self, loop: Coroutine[Any, Any, None]) -> None:
        """Without its loops the executor would be forgotten, so an error ends the ownership."""
        try:
            await loop
        except Exception as error:
            self._context.failed(error)

    async def _poll(self) -> None:
        while True:
            executor = self._executor()
            answer = executor is not None and await self._ask(executor)
            if not answer:
                await asyncio.sleep(FAILURE_PAUSE_MS / 1000)

    async def _ask(self, executor: Executor) -> bool:
        context = self._context
        self._see_incarnation(executor)
        sent_ms = context.clock.now_ms()
        unstored = context.scheduler.has_unstored_ends(self._executor_id)
        acknowledged_upto = self._acknowledged_upto(sent_ms)
        is_urgent = unstored or acknowledged_upto > 0 or not executor.has_reported
        question = ReportQuestion(
            context.epoch,
            acknowledged_upto,
            None if self._is_lost else self._lease_until_ms(executor),
            0 if is_urgent else REPORT_WAIT_MS,
        )
        asked = executor.listing
        match await context.gateway.report(self._target(executor), question):
            case Success(ReportAnswer() as answer):
                await self._take(answer, sent_ms)
                return not unstored
            case Failure(Fault(code=ResultCode.STALE_EPOCH)):
                context.fenced(self._executor_id)
                return False
            case Failure(Fault(code=ResultCode.WORKER_RESTARTED) as fault):
                self._note_lost(fault)
                self._end_replaced(executor, asked)
            case Failure(Fault() as fault):
                self._note_lost(fault)
                self._expire(executor)
        return False

    async def _take(self, answer: ReportAnswer, sent_ms: int) -> None:
        context = self._context
        now_ms = context.clock.now_ms()
        if answer.incarnation != self._incarnation:
            self._incarnation = answer.incarnation
            self._clock = ExecutorClock()
        self._clock.see(answer.clock_ms, now_ms)
        self._answered_ms = now_ms
        self._listed_from = min((end.sequence for end in answer.ended), default=None)
        if self._is_lost:
            self._is_lost = False
            context.log("executor_regained", {"executor": self._executor_id})
        report = ExecutorReport(answer.incarnation, sent_ms, answer.running, answer.ended)
        context.scheduler.apply_report(self._executor_id, report, now_ms)
        context.changed()
        await self._wait_stored(now_ms + STORE_WAIT_MS)

    async def _wait_stored(self, end_ms: int) -> None:
        """Waits until the ends seen so far are stored, or until `end_ms`.

        A transaction that is under way when they are seen doesn't hold them yet.
        """
        context = self._context
        while context.scheduler.has_unstored_ends(self._executor_id):
            left_ms = end_ms - context.clock.now_ms()
            if left_ms <= 0:
                return
            await context.wait_stored(left_ms)

    def _acknowledged_upto(self, now_ms: int) -> int:
        """The ends to forget; 0 where the executor lists none of them, or may have started anew."""
        if self._is_lost or now_ms - self._answered_ms > SAME_LIFE_MS:
            return 0
        stored_upto = self._context.scheduler.acknowledged_upto(self._executor_id)
        if self._listed_from is None or self._listed_from > stored_upto:
            return 0
        return stored_upto

    def _see_incarnation(self, executor: Executor) -> None:
        if executor.listing.incarnation != self._incarnation:
            self._incarnation = executor.listing.incarnation
            self._clock = ExecutorClock()

    def _lease_until_ms(self, executor: Executor) -> int | None:
        """Until when leases are asked for; short at an executor that is about to leave."""
        clock_ms = self._clock.at_least_ms(self._context.clock.now_ms())
        if clock_ms is None:
            return None
        lease_ms = self._context.task_lease_ms
        if executor.listing.is_draining:
            lease_ms = min(lease_ms, DRAINING_LEASE_MS)
        until_ms = clock_ms + lease_ms
        self._clock.lease_until_ms = max(self._clock.lease_until_ms, until_ms)
        return until_ms

    def _expire(self, executor: Executor) -> None:
        """Gives up what runs there once its leases have lapsed."""
        now_ms = self._context.clock.now_ms()
        if now_ms < self.lease_end_ms() or not (executor.runs_by_task or not executor.is_listed):
            return
        self._context.scheduler.expire_executor(self._executor_id, "lease lapsed", now_ms)
        self._context.changed()

    def _end_replaced(self, executor: Executor, asked: ExecutorListing) -> None:
        """Ends what ran there: another executor has its address, so its process is gone.

        An answer from an address that the executor has left meanwhile says nothing of its new life.
        """
        listing = executor.listing
        if listing.incarnation != asked.incarnation or listing.address != asked.address:
            return
        now_ms = self._context.clock.now_ms()
        self._context.scheduler.expire_executor(self._executor_id, "executor replaced", now_ms)
        self._context.changed()

    async def _work(self) -> None:
        while True:
            order = await self._orders.get()
            match order:
                case Run():
                    await self._start(order)
                case StopOrder():
                    await self._stop(order)
            self._context.changed()

    async def _start(self, run: Run) -> None:
        context = self._context
        executor = self._executor()
        if executor is None or run.state is not RunState.STARTING:
            return
        until_ms = self._lease_until_ms(executor)
        job = context.scheduler.tables.jobs_by_id.get(run.run_id.task.job_id)
        if job is None:
            return
        if until_ms is None:  # The executor has started anew since the run was placed.
            outcome = StartOutcome.REFUSED_INCARNATION
            context.scheduler.record_start_outcome(run, outcome, context.clock.now_ms())
            return
        command = StartCommand(
            run.run_id, job.record.spec.payload, until_ms, context.epoch, run.checkpoint
        )
        answer = await context.gateway.start(self._target(executor), command)
        if answer.is_fenced:
            context.fenced(self._executor_id)
            return
        context.scheduler.record_start_outcome(run, answer.outcome, context.clock.now_ms())

    async def _stop(self, order: StopOrder) -> None:
        context = self._context
        for _ in range(MAX_STOP_ATTEMPTS):
            executor = self._executor()
            if executor is None:
                return
            match await context.gateway.stop(self._target(executor), order.run_id, context.epoch):
                case Success(_):
                    context.scheduler.record_stop_confirmation(order, context.clock.now_ms())
                    return
                case Failure(Fault(code=ResultCode.STALE_EPOCH)):
                    context.fenced(self._executor_id)
                    return
                case Failure(Fault(code=ResultCode.WORKER_RESTARTED)):
                    return
        # The next report repeats the stop while the run is still there.

    def _executor(self) -> Executor | None:
        return self._context.scheduler.tables.executors_by_id.get(self._executor_id)

    def _target(self, executor: Executor) -> ExecutorTarget:
        return ExecutorTarget(self._executor_id, executor.listing.address)

    def _note_lost(self, fault: Fault) -> None:
        if self._is_lost:
            return
        self._is_lost = True
        self._context.log("executor_lost", {"executor": self._executor_id, "reason": fault.detail})
