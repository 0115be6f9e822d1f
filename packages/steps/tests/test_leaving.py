"""Runs on draining executors: which are stopped before the shutdown and which continue."""

from __future__ import annotations

from dataclasses import replace

from scheduler_harness import ESTIMATE_MS, SchedulerHarness, listing, queue, step

from jacinthreel_steps import EndReason


def drain(harness: SchedulerHarness, name: str, remaining_ms: int) -> None:
    leaving = replace(harness.listings[name], is_draining=True, remaining_ms=remaining_ms)
    harness.listings[name] = leaving
    harness.scheduler.apply_listing(leaving, harness.now_ms)


def test_run_that_saves_progress_is_stopped_in_time_and_placed_elsewhere() -> None:
    harness = SchedulerHarness(listing("e1"))
    harness.submit("j1", step(saves_progress=True))
    harness.settle()
    harness.listings["e2"] = listing("e2")
    harness.scheduler.apply_listing(harness.listings["e2"], harness.now_ms)
    harness.report("e2")

    drain(harness, "e1", 2_000)
    harness.pass_time(2_000)

    assert [run.executor_id for run in harness.runs("j1")] == ["e2"]


def test_run_that_saves_nothing_and_can_not_finish_is_moved_at_once() -> None:
    harness = SchedulerHarness(listing("e1"), listing("e2"))
    harness.submit("j1", step())
    harness.settle()
    holder = harness.runs("j1")[0].executor_id

    drain(harness, holder, 2_000)
    harness.pass_time(500)

    moved = harness.runs("j1")
    assert len(moved) == 1
    assert moved[0].executor_id != holder


def test_run_that_saves_nothing_and_can_finish_is_not_stopped() -> None:
    harness = SchedulerHarness(listing("e1"), listing("e2"))
    harness.submit("j1", step())
    harness.settle()
    holder = harness.runs("j1")[0].executor_id

    drain(harness, holder, ESTIMATE_MS)
    harness.pass_time(1_000)

    assert [run.executor_id for run in harness.runs("j1")] == [holder]


def test_gang_with_a_member_on_a_draining_executor_is_moved_as_a_whole() -> None:
    harness = SchedulerHarness(listing("e1"), listing("e2"), listing("e3"), listing("e4"))
    harness.submit("j1", step(2, accelerators=8, is_gang=True), terms=queue(0))
    harness.settle()
    holder = harness.runs("j1")[0].executor_id

    drain(harness, holder, 2_000)
    harness.pass_time(500)

    runs = harness.runs("j1")
    assert [run.run_id.number for run in runs] == [2, 2]
    assert holder not in {run.executor_id for run in runs}


def test_gang_is_moved_if_its_slowest_member_can_not_finish() -> None:
    harness = SchedulerHarness(listing("e1"), listing("e2"), listing("e3"), listing("e4"))
    harness.submit("j1", step(2, accelerators=8, is_gang=True), terms=queue(0))
    harness.settle()
    holder, other = (run.executor_id for run in harness.runs("j1"))
    harness.now_ms += 1_000
    harness.percent_by_executor = {holder: 50, other: 15}
    harness.report_all()

    drain(harness, holder, 2_000)
    harness.settle()

    assert {run.run_id.number for run in harness.runs("j1")} == {2}


def test_nothing_is_placed_on_a_draining_executor() -> None:
    harness = SchedulerHarness(listing("e1"))
    drain(harness, "e1", 60_000)
    harness.submit("j1", step())
    harness.settle()

    assert harness.started == []


def test_run_that_is_done_before_the_shutdown_is_not_stopped() -> None:
    harness = SchedulerHarness(listing("e1"))
    harness.submit("j1", step(saves_progress=True))
    harness.settle()
    harness.now_ms += 900
    harness.percent_by_executor["e1"] = 90
    drain(harness, "e1", 2_000)
    harness.pass_time(1_750)

    run = harness.runs("j1")[0]
    harness.end(run, EndReason.DONE)
    harness.settle()
    assert harness.state("j1") == "completed"
