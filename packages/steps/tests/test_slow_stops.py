"""Urgent jobs on a full cluster whose executors take long to stop a run."""

from __future__ import annotations

from scheduler_harness import SchedulerHarness, listing, queue, step

from jacinthreel_steps import EndReason, StopOrder

STOP_LIMIT_MS = 900
STOP_MS = 850
STEP_MS = 20


class SlowStops:
    """Plays reports, passes and orders; each stop takes effect `STOP_MS` after its first order."""

    def __init__(self, harness: SchedulerHarness) -> None:
        self._harness = harness
        self._due_ms_by_run: dict[str, int] = {}
        self._orders_by_run: dict[str, StopOrder] = {}

    def play(self, duration_ms: int) -> None:
        harness = self._harness
        end_ms = harness.now_ms + duration_ms
        while harness.now_ms < end_ms:
            harness.now_ms += STEP_MS
            harness.report_all()
            harness.scheduler.plan(harness.now_ms)
            harness.store()
            for order in harness.scheduler.take_stops():
                self._orders_by_run[str(order.run_id)] = order
                self._due_ms_by_run.setdefault(str(order.run_id), harness.now_ms + STOP_MS)
            self._stop_due_runs()
            harness.execute_starts()

    def _stop_due_runs(self) -> None:
        for name, due_ms in list(self._due_ms_by_run.items()):
            if due_ms <= self._harness.now_ms and name in self._orders_by_run:
                self._harness.stop(self._orders_by_run.pop(name))


def full_harness() -> SchedulerHarness:
    names = [f"e{index}" for index in range(6)]
    harness = SchedulerHarness(*(listing(name) for name in names), stop_limit_ms=STOP_LIMIT_MS)
    harness.submit("batch", step(count=48), terms=queue(2))
    harness.settle()
    assert len(harness.runs("batch")) == 48
    return harness


def test_slow_stops_do_not_cost_further_runs() -> None:
    harness = full_harness()
    harness.submit("urgent", step(count=2, accelerators=8, is_gang=True), terms=queue(0))
    SlowStops(harness).play(1_200)
    assert len(harness.runs("urgent")) == 2
    assert len(harness.runs("batch")) == 32


def test_later_urgent_job_does_not_take_the_capacity_that_is_about_to_be_free() -> None:
    harness = full_harness()
    harness.submit("first", step(count=2, accelerators=8, is_gang=True), terms=queue(0))
    stops = SlowStops(harness)
    stops.play(700)
    harness.submit("second", step(count=1, accelerators=8, is_gang=True), terms=queue(0))
    stops.play(1_200)
    assert len(harness.runs("first")) == 2
    assert len(harness.runs("second")) == 1
    assert len(harness.runs("batch")) == 24


def test_claiming_gang_takes_other_capacity_that_becomes_free_first() -> None:
    harness = full_harness()
    harness.submit("first", step(count=2, accelerators=8, is_gang=True), terms=queue(0))
    stops = SlowStops(harness)
    stops.play(1_200)
    harness.submit("second", step(count=2, accelerators=8, is_gang=True), terms=queue(0))
    stops.play(200)
    assert harness.runs("second") == []
    for run in harness.runs("first"):
        harness.end(run, EndReason.DONE)
    stops.play(100)
    assert len(harness.runs("second")) == 2
    used = harness.scheduler.tables.executors_by_id.values()
    assert all(executor.free_resources.accelerators >= 0 for executor in used)


def test_stops_that_never_take_effect_are_given_up() -> None:
    harness = full_harness()
    harness.submit("urgent", step(count=1, accelerators=8), terms=queue(0))
    harness.scheduler.plan(harness.now_ms)
    ignored = {order.executor_id for order in harness.scheduler.take_stops()}
    assert len(ignored) == 1
    started_ms = harness.now_ms
    while not harness.runs("urgent") and harness.now_ms - started_ms < 5_000:
        harness.now_ms += STEP_MS
        harness.report_all()
        harness.scheduler.plan(harness.now_ms)
        harness.store()
        for order in harness.scheduler.take_stops():
            if order.executor_id not in ignored:
                harness.stop(order)
        harness.execute_starts()
    assert harness.runs("urgent")
