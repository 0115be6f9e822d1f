"""Guards against gangs that wait for stops of runs that their executor has already lost."""

from __future__ import annotations

import pytest
from scheduler_harness import SchedulerHarness, listing, step

from jacinthreel_steps import ExecutorReport, Run


def start_gang(tasks: int) -> tuple[SchedulerHarness, list[Run]]:
    harness = SchedulerHarness(listing("e1"))
    harness.submit("gang", step(tasks, 2, is_gang=True))
    harness.settle()
    harness.now_ms += 10
    runs = harness.scheduler.tables.jobs_by_id["gang"].live_runs()
    return harness, list(runs)


@pytest.mark.parametrize("tasks", [2, 3])
def test_gang_is_lost_at_once_when_its_executor_restarts_before_it_reported_it(tasks: int) -> None:
    # The first lost run set the others to stopping, and these waited for a confirmed stop.
    harness, runs = start_gang(tasks)
    assert len(runs) == tasks
    harness.listings["e1"] = listing("e1", incarnation=2)
    harness.running.clear()
    harness.scheduler.apply_listing(harness.listings["e1"], harness.now_ms)
    harness.report("e1")
    assert list(harness.scheduler.tables.jobs_by_id["gang"].live_runs()) == []


def test_run_that_an_earlier_unanswered_order_may_start_once_more_waits_for_its_stop() -> None:
    harness, runs = start_gang(2)
    runs[1].has_unanswered_start = True
    harness.running.clear()
    harness.scheduler.apply_report("e1", ExecutorReport(1, harness.now_ms, (), ()), harness.now_ms)
    live = list(harness.scheduler.tables.jobs_by_id["gang"].live_runs())
    assert [(run.run_id, run.state.name) for run in live] == [(runs[1].run_id, "STOPPING")]


def test_run_that_a_report_still_lists_keeps_its_gang_waiting_for_its_stop() -> None:
    harness, runs = start_gang(2)
    del harness.running["e1"][str(runs[0].run_id)]
    harness.report("e1")
    live = list(harness.scheduler.tables.jobs_by_id["gang"].live_runs())
    assert [(run.run_id, run.state.name) for run in live] == [(runs[1].run_id, "STOPPING")]
