"""Starts stay within the capacity of an executor that shrinks, grows or still stops other runs."""

from __future__ import annotations

from scheduler_harness import SERVICE, SchedulerHarness, listing, step

from jacinthreel_steps import Policy, Run, RunId, TaskId


def test_start_is_withheld_from_an_executor_that_has_shrunk() -> None:
    harness = SchedulerHarness(listing("e1"))
    harness.submit("j1", step(1, accelerators=8))
    harness.scheduler.plan(harness.now_ms)
    rows = harness.scheduler.take_unstored(100, "w")
    shrunk = listing("e1", capacity_accelerators=4)
    harness.scheduler.apply_listing(shrunk, harness.now_ms)
    for row in rows:
        harness.scheduler.mark_stored(row, 1, harness.now_ms)
    assert harness.scheduler.take_starts() == []


def test_executor_that_has_grown_again_takes_its_former_load() -> None:
    harness = SchedulerHarness(listing("e1", capacity_accelerators=4))
    harness.submit("j1", step(2, accelerators=4))
    harness.settle()
    assert len(harness.runs("j1")) == 1
    harness.scheduler.apply_listing(listing("e1"), harness.now_ms)
    harness.settle()
    assert len(harness.runs("j1")) == 2


def test_run_that_is_not_in_the_tables_uses_capacity_until_it_has_stopped() -> None:
    harness = SchedulerHarness(listing("e1"))
    harness.submit("j1", step(1, accelerators=8))
    harness.settle()
    current = harness.runs("j1")[0]
    late = RunId(TaskId("j1", 0, 0), current.run_id.number - 1)
    harness.running["e1"][str(late)] = Run(late, "e1", 1, current.shape, current.state, 0)
    del harness.running["e1"][str(current.run_id)]
    harness.now_ms += 1
    harness.report("e1")
    harness.scheduler.plan(harness.now_ms)
    assert harness.scheduler.tables.jobs_by_id["j1"].live_runs() == []
    harness.settle()
    assert [run.run_id.number for run in harness.runs("j1")] == [current.run_id.number + 1]


def test_unguarded_executor_gets_no_start_while_its_capacity_may_be_outdated() -> None:
    policy = Policy(1, unguarded_services=frozenset({SERVICE}))
    harness = SchedulerHarness(listing("e1"), policy=policy)
    harness.scheduler.record_registry_read(harness.now_ms)
    harness.submit("j1", step(1))
    harness.scheduler.plan(harness.now_ms)
    rows = harness.scheduler.take_unstored(100, "w")
    harness.now_ms += 3_100
    for row in rows:
        harness.scheduler.mark_stored(row, 1, harness.now_ms)
    assert harness.scheduler.take_starts() == []
    harness.report("e1")
    harness.settle()
    assert harness.runs("j1") == []
    harness.scheduler.record_registry_read(harness.now_ms)
    harness.settle()
    assert len(harness.runs("j1")) == 1
