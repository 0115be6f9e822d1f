"""The exchange with one executor: leases, and what is given up when it can't be reached."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import replace

from node_fakes import HandClock, ToldExecutors
from returns.result import Failure, Result, Success

from jacinthreel_common import Fault, ResultCode
from jacinthreel_node import ReportAnswer, ReportQuestion
from jacinthreel_node._executor_link import ExecutorClock, ExecutorLink, LinkContext
from jacinthreel_node._former_leases import FormerLeases
from jacinthreel_steps import (
    EndReason,
    ExecutorListing,
    ExecutorReport,
    JobRecord,
    JobSpec,
    QueueTerms,
    ReportedEnd,
    Resources,
    RunId,
    Scheduler,
    StepSpec,
    TaskId,
)

LEASE_MS = 6_000
CAPACITY = Resources(8_000, 8_000, 8)
END = ReportedEnd(1, RunId(TaskId("0" * 16, 0, 0), 1), EndReason.DONE, "")
PLACED_END = ReportedEnd(1, RunId(TaskId("j1", 0, 0), 1), EndReason.DONE, "")
LISTING = ExecutorListing("e1", 1, "10.0.0.1:80", "s", "z", "r", frozenset(), CAPACITY)


class Bench:
    """A link to one executor that answers while `is_reachable`."""

    def __init__(self, listing: ExecutorListing = LISTING) -> None:
        self.clock = HandClock()
        self.is_reachable = True
        self.takes_acknowledgements = True
        self.is_replaced = False
        self.waits_until_stored = 0
        self.asked_when_listed: int | None = None
        self.on_question: Callable[[], None] = lambda: None
        self.errors: list[Exception] = []
        self.ends: list[ReportedEnd] = []
        self.scheduler = Scheduler(lambda event, fields: None)
        self.scheduler.apply_listing(listing, self.clock.now_ms())
        self.gateway = ToldExecutors(self._report)
        self.context = LinkContext(
            self.gateway,
            self.scheduler,
            self.clock,
            1,
            LEASE_MS,
            FormerLeases(self.clock.now_ms() + 60_000),
            self._wait_stored,
            lambda: None,
            lambda executor_id: None,
            self.errors.append,
            lambda event, fields: None,
        )

    async def _wait_stored(self, timeout_ms: int) -> None:
        """A transaction ends; the rows are stored with the last one that is waited for."""
        await asyncio.sleep(0)
        self.waits_until_stored = max(0, self.waits_until_stored - 1)
        if self.waits_until_stored == 0:
            for row in self.scheduler.take_unstored(100, "w"):
                self.scheduler.mark_stored(row, 1, self.clock.now_ms())

    def _report(self, question: ReportQuestion) -> Result[ReportAnswer, Fault]:
        self.clock.time_ms += 10
        if self.is_replaced:
            self.on_question()
            return Failure(Fault(ResultCode.WORKER_RESTARTED, "another executor answers"))
        if not self.is_reachable or (
            question.acknowledged_upto and not self.takes_acknowledgements
        ):
            return Failure(Fault(ResultCode.WORKER_UNREACHABLE, "no reply"))
        their_ms = self.clock.now_ms() - 900_000
        self.ends = [end for end in self.ends if end.sequence > question.acknowledged_upto]
        if self.ends and self.asked_when_listed is None:
            self.asked_when_listed = len(self.gateway.questions)
        return Success(ReportAnswer(their_ms, 1, (), tuple(self.ends)))

    def place_task(self) -> None:
        terms = QueueTerms("q", "s", 1, 3, 3.0, 1_000)
        spec = JobSpec("x", (StepSpec(1, Resources(1, 1, 1)),))
        now_ms = self.clock.now_ms()
        self.scheduler.add_job(JobRecord("j1", terms, "w", spec, 0), None, now_ms, now_ms)
        self.scheduler.plan(now_ms)

    def move(self, listing: ExecutorListing) -> None:
        """The executor starts anew at another address, is reported once and gets a task."""
        self.on_question = lambda: None
        self.is_replaced = False
        self.is_reachable = False
        now_ms = self.clock.now_ms()
        self.scheduler.apply_listing(listing, now_ms)
        self.scheduler.apply_report("e1", ExecutorReport(2, now_ms, (), ()), now_ms)
        self.place_task()

    @property
    def held(self) -> int:
        return len(self.scheduler.tables.executors_by_id["e1"].runs_by_task)


def play(bench: Bench, scenario: Callable[[Bench], Awaitable[None]]) -> None:
    async def run() -> None:
        link = ExecutorLink(bench.context, "e1")
        try:
            await scenario(bench)
        finally:
            link.close()

    asyncio.run(run())


async def until(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(20):
        await _poll(condition)


async def _poll(condition: Callable[[], bool]) -> None:
    while not condition():
        await asyncio.sleep(0.005)


def test_silent_executor_is_asked_for_no_lease() -> None:
    async def scenario(bench: Bench) -> None:
        await until(lambda: len(bench.gateway.questions) > 2)
        bench.is_reachable = False
        asked = len(bench.gateway.questions)
        await until(lambda: len(bench.gateway.questions) > asked + 2)
        assert bench.gateway.questions[asked - 1].lease_until_ms is not None
        assert bench.gateway.questions[-1].lease_until_ms is None

    play(Bench(), scenario)


def test_executor_that_may_have_started_anew_is_sent_no_acknowledgement() -> None:
    async def scenario(bench: Bench) -> None:
        await until(lambda: len(bench.gateway.questions) > 2)
        bench.takes_acknowledgements = False
        bench.ends = [END]
        await until(lambda: _acknowledged(bench).count(1) > 1)
        asked = _acknowledged(bench)
        assert asked[asked.index(1) + 1] == 0

    play(Bench(), scenario)


def _acknowledged(bench: Bench) -> list[int]:
    return [question.acknowledged_upto for question in bench.gateway.questions]


def test_ends_are_acknowledged_in_a_question_that_does_not_wait_and_only_while_listed() -> None:
    async def scenario(bench: Bench) -> None:
        await until(lambda: len(bench.gateway.questions) > 2)
        bench.ends = [END]
        asked = len(bench.gateway.questions)
        await until(lambda: len(bench.gateway.questions) > asked + 6)
        later = bench.gateway.questions[asked:]
        assert [each.wait_ms for each in later if each.acknowledged_upto] == [0]
        assert later[-1].wait_ms > 0

    play(Bench(), scenario)


def test_executor_is_asked_on_as_soon_as_its_ends_are_stored() -> None:
    async def scenario(bench: Bench) -> None:
        await until(lambda: len(bench.gateway.questions) > 2)
        bench.place_task()
        bench.ends = [PLACED_END]
        bench.waits_until_stored = 2  # The first transaction that ends has begun before.
        bench.asked_when_listed = None
        await until(lambda: 1 in _acknowledged(bench))
        assert bench.asked_when_listed is not None
        assert _acknowledged(bench)[bench.asked_when_listed] == 1

    play(Bench(), scenario)


def test_executor_that_is_listed_again_after_it_was_given_up_is_asked_again() -> None:
    async def scenario(bench: Bench) -> None:
        await until(lambda: len(bench.gateway.questions) > 2)
        bench.scheduler.remove_listing("e1")
        bench.is_reachable = False
        bench.clock.time_ms += 2 * LEASE_MS
        await until(lambda: "e1" not in bench.scheduler.tables.executors_by_id)
        await asyncio.sleep(0.3)  # The link has noticed, and nobody has closed it yet.
        bench.scheduler.apply_listing(LISTING, bench.clock.now_ms())
        bench.is_reachable = True
        asked = len(bench.gateway.questions)
        await until(lambda: len(bench.gateway.questions) > asked + 2)

    play(Bench(), scenario)


def test_runs_of_a_silent_executor_are_given_up_once_their_lease_has_lapsed() -> None:
    async def scenario(bench: Bench) -> None:
        await until(lambda: len(bench.gateway.questions) > 2)
        bench.place_task()
        bench.is_reachable = False
        asked = len(bench.gateway.questions)
        await until(lambda: len(bench.gateway.questions) > asked + 2)
        assert bench.held == 1
        bench.clock.time_ms += 2 * LEASE_MS
        asked = len(bench.gateway.questions)
        await until(lambda: len(bench.gateway.questions) > asked + 1)
        assert bench.held == 0

    play(Bench(), scenario)


def test_runs_end_at_once_where_another_executor_answers_at_the_address() -> None:
    async def scenario(bench: Bench) -> None:
        await until(lambda: len(bench.gateway.questions) > 2)
        bench.place_task()
        bench.is_replaced = True
        asked = len(bench.gateway.questions)
        await until(lambda: len(bench.gateway.questions) > asked + 2)
        assert bench.held == 0

    play(Bench(), scenario)


def test_answer_from_an_earlier_address_ends_nothing_at_the_new_one() -> None:
    async def scenario(bench: Bench) -> None:
        await until(lambda: len(bench.gateway.questions) > 2)
        bench.is_replaced = True
        moved = replace(LISTING, incarnation=2, address="10.0.0.2:80")
        bench.on_question = lambda: bench.move(moved)
        asked = len(bench.gateway.questions)
        await until(lambda: len(bench.gateway.questions) > asked + 1)
        assert bench.held == 1

    play(Bench(), scenario)


def test_slow_clock_lengthens_the_time_until_leases_have_lapsed() -> None:
    clock = ExecutorClock()
    clock.see(their_ms=500, our_ms=10_000)
    clock.lease_until_ms = 6_500
    assert clock.lease_end_ms(default_ms=0) > 10_000 + 6_000 * 1.02


def test_unexpected_error_is_handed_on() -> None:
    async def scenario(bench: Bench) -> None:
        await until(lambda: len(bench.gateway.questions) > 1)
        bench.scheduler.apply_report = _raise  # type: ignore[assignment,method-assign]
        await until(lambda: bool(bench.errors))
        assert isinstance(bench.errors[0], RuntimeError)

    play(Bench(), scenario)


def _raise(*arguments: object) -> None:
    raise RuntimeError("told to fail")
