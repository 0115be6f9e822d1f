"""No step of the event loop may take work that grows faster than its input.

Each case handles one event for a job of some size and for one of four times that size, and counts
the lines of code that are executed.  Guards against owners that stand still for longer than their
lease, and lose it, after they have accepted a job of thousands of small tasks.
"""

from __future__ import annotations

import sys
from collections.abc import Callable
from dataclasses import replace
from types import FrameType
from typing import Any

import pytest
from scheduler_harness import ESTIMATE_MS, SchedulerHarness, listing, queue

from jacinthreel_steps import EndReason, Resources, StartOutcome, StepSpec

SMALL = 120
FACTOR = 4
SHAPE = Resources(100, 64, 0)
EXECUTORS = 4
MAX_GROWTH = FACTOR * 1.5  # Below that of anything quadratic, which would be `FACTOR` squared.


def count_lines(action: Callable[[], object]) -> int:
    """Returns how many lines of Python are executed."""
    count = 0

    def trace(frame: FrameType, event: str, argument: object) -> Any:
        nonlocal count
        count += event == "line"
        return trace

    previous = sys.gettrace()
    sys.settrace(trace)
    try:
        action()
    finally:
        sys.settrace(previous)
    return count


class WideJobWorld(SchedulerHarness):
    """Executors that progress at different rates, and a wide job that all of them run."""

    def __init__(self, *steps: StepSpec, runs: bool = True) -> None:
        super().__init__(
            *(listing(f"e{index}", rack=f"r{index % 2}") for index in range(EXECUTORS))
        )
        self.submit("wide", *steps)
        while runs and len(self.runs("wide")) < sum(spec.count for spec in steps):
            self.pass_round()

    def pass_round(self) -> None:
        self.now_ms += 300
        for index, name in enumerate(self.listings):
            self.percent_by_executor[name] = self.percent_by_executor.get(name, 0) + 7 + index
            self.report(name)
        self.scheduler.plan(self.now_ms)
        self.store()
        self.execute_orders()

    def stop(self, stop: Any) -> None:
        """Confirms a stop; its end is part of the next report."""
        runs = self.running.get(stop.executor_id, {})
        if runs.pop(str(stop.run_id), None) is not None:
            self._add_end(stop.executor_id, stop.run_id, EndReason.STOPPED, f"c{stop.run_id}")
        self.scheduler.record_stop_confirmation(stop, self.now_ms)

    def end_all(self, reason: EndReason, checkpoint: str = "") -> None:
        """Ends all runs; the ends are part of the next reports."""
        for name, runs in self.running.items():
            for run in list(runs.values()):
                runs.pop(str(run.run_id))
                self._add_end(name, run.run_id, reason, f"{checkpoint}{run.run_id.number}")
        self.now_ms += 100


def independent(count: int, **options: Any) -> StepSpec:
    return StepSpec(count, SHAPE, ESTIMATE_MS, saves_progress=True, **options)


def gang(count: int) -> StepSpec:
    return independent(count, is_gang=True)


def places(count: int, spec: Callable[[int], StepSpec]) -> int:
    world = WideJobWorld(spec(count), runs=False)
    return count_lines(lambda: world.scheduler.plan(world.now_ms))


def stores_and_starts(count: int, spec: Callable[[int], StepSpec]) -> int:
    world = WideJobWorld(spec(count), runs=False)
    world.scheduler.plan(world.now_ms)

    def act() -> None:
        world.store()
        for run in world.scheduler.take_starts():
            world.scheduler.record_start_outcome(run, StartOutcome.STARTED, world.now_ms)

    return count_lines(act)


def withdraws_what_does_not_fit(count: int, spec: Callable[[int], StepSpec]) -> int:
    world = WideJobWorld(spec(count), runs=False)
    world.scheduler.plan(world.now_ms)
    for executor in list(world.listings.values()):
        shrunk = replace(executor, capacity=Resources(0, 0, 0))
        world.scheduler.apply_listing(shrunk, world.now_ms)
    return count_lines(world.store)


def reports_progress(count: int, spec: Callable[[int], StepSpec]) -> int:
    world = WideJobWorld(spec(count))
    for _ in range(3):
        world.pass_round()
    return count_lines(world.pass_round)


def reports_ends(count: int, spec: Callable[[int], StepSpec], reason: EndReason) -> int:
    world = WideJobWorld(spec(count))
    world.end_all(reason, "c")
    return count_lines(world.report_all)


def cancels(count: int, spec: Callable[[int], StepSpec]) -> int:
    world = WideJobWorld(spec(count))

    def act() -> None:
        world.scheduler.cancel("wide", world.now_ms)
        world.execute_orders()
        world.report_all()

    return count_lines(act)


def loses_executors(count: int, spec: Callable[[int], StepSpec]) -> int:
    world = WideJobWorld(spec(count))
    world.now_ms += 7_000

    def act() -> None:
        for name in world.listings:
            world.scheduler.expire_executor(name, "lease expired", world.now_ms)

    return count_lines(act)


def leaves_executors(count: int, spec: Callable[[int], StepSpec]) -> int:
    world = WideJobWorld(spec(count))
    for executor in list(world.listings.values()):
        leaving = replace(executor, is_draining=True, remaining_ms=200)
        world.scheduler.apply_listing(leaving, world.now_ms)
    return count_lines(lambda: world.scheduler.plan(world.now_ms))


def preempts(count: int, spec: Callable[[int], StepSpec]) -> int:
    world = WideJobWorld(spec(count))
    urgent = StepSpec(EXECUTORS, Resources(127_900, 64, 0), ESTIMATE_MS, is_gang=True)
    world.submit("urgent", urgent, terms=queue(0))
    return count_lines(lambda: world.scheduler.plan(world.now_ms))


def preempts_for_many(count: int, spec: Callable[[int], StepSpec]) -> int:
    world = WideJobWorld(spec(count))
    free = EXECUTORS * 128_000 - 100 * count
    filler = StepSpec(1, Resources(free // EXECUTORS, 64, 0), ESTIMATE_MS)
    world.submit("filler", replace(filler, count=EXECUTORS))
    world.pass_round()
    world.submit("urgent", independent(count // 2), terms=queue(0))
    return count_lines(lambda: world.scheduler.plan(world.now_ms))


def takes_over(count: int, spec: Callable[[int], StepSpec]) -> int:
    world = WideJobWorld(spec(count))

    def act() -> None:
        world.take_over()
        world.report_all()
        world.scheduler.plan(world.now_ms)

    return count_lines(act)


CASES: dict[str, Callable[[int], int]] = {
    "ends as done": lambda count: reports_ends(count, independent, EndReason.DONE),
    "ends as failed": lambda count: reports_ends(count, independent, EndReason.FAILED),
    "ends of a gang as done": lambda count: reports_ends(count, gang, EndReason.DONE),
    "ends of a gang as broken": lambda count: reports_ends(count, gang, EndReason.BROKEN),
    "urgent tasks that preempt": lambda count: preempts_for_many(count, independent),
}
for event in (
    places,
    stores_and_starts,
    withdraws_what_does_not_fit,
    reports_progress,
    cancels,
    loses_executors,
    leaves_executors,
    preempts,
    takes_over,
):
    for spec in (independent, gang):
        name = f"{event.__name__.replace('_', ' ')}, {spec.__name__}"
        CASES[name] = lambda count, event=event, spec=spec: event(count, spec)  # type: ignore[misc]


@pytest.mark.parametrize("name", CASES)
def test_work_for_one_event_grows_no_faster_than_the_job(name: str) -> None:
    small, large = CASES[name](SMALL), CASES[name](FACTOR * SMALL)
    assert large <= MAX_GROWTH * small, (small, large)


def test_work_for_a_forecast_grows_no_faster_than_the_waiting_steps() -> None:
    def work(count: int) -> int:
        spec = StepSpec(1, Resources(100, 64, 8), ESTIMATE_MS)
        world = WideJobWorld(*(spec for _ in range(count)), runs=False)
        return count_lines(lambda: world.scheduler.forecast_starts(world.now_ms))

    small, large = work(SMALL), work(FACTOR * SMALL)
    assert large <= MAX_GROWTH * small, (small, large)


@pytest.mark.parametrize("is_chain", [False, True])
def test_work_for_a_job_of_many_steps_grows_no_faster_than_their_number(is_chain: bool) -> None:
    def work(count: int) -> int:
        after = [(index - 1,) if is_chain and index else () for index in range(count)]
        world = WideJobWorld(*(independent(1, after=before) for before in after), runs=False)
        return count_lines(world.pass_round)

    small, large = work(SMALL), work(FACTOR * SMALL)
    assert large <= MAX_GROWTH * small, (small, large)
