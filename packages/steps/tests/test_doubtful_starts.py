"""Orders to start and stop runs that are lost or get no answer."""

from __future__ import annotations

import pytest
from scheduler_harness import SchedulerHarness, listing, step

from jacinthreel_steps import EndReason, ExecutorReport, Run, StartOutcome, StopOrder


def leave_start_unanswered(harness: SchedulerHarness) -> Run:
    """Places a task whose start gets no answer until the retry limit, so that a stop is ordered."""
    harness.submit("j1", step())
    harness.scheduler.plan(harness.now_ms)
    harness.store()
    run = harness.scheduler.take_starts()[0]
    harness.now_ms += 2_000
    harness.scheduler.record_start_outcome(run, StartOutcome.UNKNOWN, harness.now_ms)
    assert len(harness.scheduler.take_stops()) == 1
    return run


def test_start_that_is_still_queued_is_not_sent_once_its_run_has_ended() -> None:
    harness = SchedulerHarness(listing("e1"), listing("e2"))
    harness.submit("j1", step())
    harness.scheduler.plan(harness.now_ms)
    harness.store()
    run = harness.scheduler.tables.jobs_by_id["j1"].live_runs()[0]
    harness.scheduler.expire_executor(run.executor_id, "lease expired", harness.now_ms)
    assert harness.scheduler.take_starts() == []


def test_unanswered_stop_is_repeated_although_the_run_is_not_reported() -> None:
    harness = SchedulerHarness(listing("e1"))
    run = leave_start_unanswered(harness)

    harness.now_ms += 1_000
    harness.report("e1")

    assert [stop.run_id for stop in harness.scheduler.take_stops()] == [run.run_id]


def test_confirmed_stop_is_not_repeated_and_a_later_report_ends_the_run() -> None:
    harness = SchedulerHarness(listing("e1"))
    leave_start_unanswered(harness)
    runs = harness.scheduler.tables.executors_by_id["e1"].runs_by_task.values()
    orders = [StopOrder("e1", run.incarnation, run.run_id) for run in runs]

    for _ in range(3):  # Each report arrives after 1 s; stops are confirmed 5 ms after its request.
        sent_ms = harness.now_ms
        for order in orders:
            harness.scheduler.record_stop_confirmation(order, sent_ms + 5)
        harness.now_ms += 1_000
        harness.scheduler.apply_report("e1", ExecutorReport(1, sent_ms, (), ()), harness.now_ms)
        orders = harness.scheduler.take_stops()

    assert harness.scheduler.tables.executors_by_id["e1"].runs_by_task == {}


def test_task_is_placed_again_once_the_stop_is_confirmed() -> None:
    harness = SchedulerHarness(listing("e1"))
    leave_start_unanswered(harness)
    harness.settle()
    assert harness.started == []

    harness.now_ms += 1_000
    harness.report("e1")
    harness.settle()

    assert [run.run_id.number for run in harness.runs("j1")] == [2]


def test_refused_start_after_an_unanswered_one_is_stopped() -> None:
    harness = SchedulerHarness(listing("e1"))
    harness.submit("j1", step())
    harness.scheduler.plan(harness.now_ms)
    harness.store()
    run = harness.scheduler.take_starts()[0]
    harness.scheduler.record_start_outcome(run, StartOutcome.UNKNOWN, harness.now_ms)
    harness.scheduler.take_starts()

    harness.scheduler.record_start_outcome(run, StartOutcome.REFUSED_UNHEALTHY, harness.now_ms)

    assert [stop.run_id for stop in harness.scheduler.take_stops()] == [run.run_id]


def test_run_whose_start_order_is_lost_is_stopped_and_placed_again() -> None:
    harness = SchedulerHarness(listing("e1"))
    harness.submit("j1", step())
    harness.scheduler.plan(harness.now_ms)
    harness.store()
    harness.scheduler.take_starts()  # The orders are lost.

    harness.pass_time(6_000)

    assert [run.run_id.number for run in harness.runs("j1")] == [2]


def test_gang_with_a_member_whose_start_order_is_lost_is_placed_again() -> None:
    harness = SchedulerHarness(listing("e1"))
    harness.submit("j1", step(2, is_gang=True))
    harness.scheduler.plan(harness.now_ms)
    harness.store()
    first, _ = harness.scheduler.take_starts()
    harness.running["e1"] = {str(first.run_id): first}
    harness.scheduler.record_start_outcome(first, StartOutcome.STARTED, harness.now_ms)
    harness.now_ms += 4_000
    harness.end(first, EndReason.ALONE)

    harness.pass_time(6_000)

    assert [run.run_id.number for run in harness.runs("j1")] == [2, 2]


@pytest.mark.parametrize("is_gang", [False, True])
@pytest.mark.parametrize(("silent_ms", "is_unreachable"), [(2_000, False), (200, True)])
def test_placement_at_an_executor_out_of_reach_is_withdrawn_before_any_start(
    silent_ms: int, is_unreachable: bool, is_gang: bool
) -> None:
    """Its task waited for the lease of a late start, or its gang for the stops of other members."""
    names = ["e1", "e2", "e3", "e4"]
    harness = SchedulerHarness(*map(listing, names))
    harness.submit("j1", step(2, accelerators=8, is_gang=is_gang))
    harness.scheduler.plan(harness.now_ms)
    silent = harness.scheduler.tables.jobs_by_id["j1"].live_runs()[1].executor_id
    if is_unreachable:
        harness.scheduler.record_unreachable(silent, harness.now_ms + 1)
    harness.now_ms += silent_ms  # The store answers late.
    for name in names:
        if name != silent:
            harness.report(name)
    harness.settle()

    assert silent not in {run.executor_id for run in harness.started}
    assert len(harness.started) == len(harness.runs("j1")) == 2
    assert harness.scheduler.tables.executors_by_id[silent].runs_by_task == {}


def test_executor_that_was_out_of_reach_for_a_moment_is_used_again_soon() -> None:
    """After a reset of all connections, those with placements were not used for 1.5 s."""
    harness = SchedulerHarness(listing("e1"))
    harness.submit("j1", step())
    harness.scheduler.plan(harness.now_ms)
    harness.scheduler.record_unreachable("e1", harness.now_ms + 1)
    harness.settle()
    assert harness.started == []

    harness.pass_time(500)

    assert len(harness.runs("j1")) == 1


def test_unanswered_start_is_not_repeated_at_a_restarted_executor() -> None:
    harness = SchedulerHarness(listing("e1"))
    harness.submit("j1", step())
    harness.scheduler.plan(harness.now_ms)
    harness.store()
    run = harness.scheduler.take_starts()[0]
    harness.scheduler.apply_listing(listing("e1", incarnation=2), harness.now_ms)
    harness.scheduler.record_start_outcome(run, StartOutcome.UNKNOWN, harness.now_ms)
    assert harness.scheduler.take_starts() == []
    assert [stop.run_id for stop in harness.scheduler.take_stops()] == [run.run_id]
