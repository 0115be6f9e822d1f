"""Jobs of priority 0 on full executors: preemption, claims, guarantees and reserved capacity.

Also the basic rules of placement: recent reports, stored placements, step order, failures.
"""

from __future__ import annotations

from scheduler_harness import SchedulerHarness, listing, queue, step

from jacinthreel_steps import EndReason, Policy

GUARANTEED = Policy(1, guaranteed_accelerators_by_workspace={"w": 16})


def full_harness() -> SchedulerHarness:
    """Returns a harness with two executors that are full of tasks of a lower priority."""
    harness = SchedulerHarness(listing("e1"), listing("e2"), policy=GUARANTEED)
    harness.submit("batch", step(count=40), terms=queue(2))
    harness.settle()
    assert len(harness.runs("batch")) == 16
    return harness


def test_urgent_gang_preempts_tasks_of_lower_priority() -> None:
    harness = full_harness()
    harness.submit("urgent", step(count=2, accelerators=4, is_gang=True), terms=queue(0))
    harness.settle()

    assert len(harness.runs("urgent")) == 2
    assert len(harness.runs("batch")) == 8


def test_capacity_of_a_finished_urgent_job_is_reserved_for_the_next_one() -> None:
    harness = full_harness()
    harness.submit("first", step(count=1, accelerators=8), terms=queue(0))
    harness.settle()
    harness.end(harness.runs("first")[0], EndReason.DONE)
    harness.settle()
    stopped_before = len(harness.runs("batch"))

    harness.submit("second", step(count=1, accelerators=8), terms=queue(0))
    harness.settle()

    assert len(harness.runs("second")) == 1
    assert len(harness.runs("batch")) == stopped_before


def test_reserved_capacity_is_released_when_no_urgent_job_comes() -> None:
    harness = full_harness()
    harness.submit("first", step(count=1, accelerators=8), terms=queue(0))
    harness.settle()
    harness.end(harness.runs("first")[0], EndReason.DONE)
    harness.settle()

    harness.pass_time(5_000)

    assert len(harness.runs("batch")) == 16


def test_runs_that_save_their_progress_are_stopped_first() -> None:
    harness = SchedulerHarness(listing("e1"), policy=GUARANTEED)
    harness.submit("plain", step(count=4), terms=queue(2))
    harness.submit("saved", step(count=4, saves_progress=True), terms=queue(2))
    harness.settle()
    harness.pass_time(3_000)

    harness.submit("urgent", step(count=1, accelerators=4), terms=queue(0))
    harness.settle()

    assert len(harness.runs("plain")) == 4
    assert harness.runs("saved") == []


def test_claim_on_an_executor_that_does_not_stop_its_runs_is_moved() -> None:
    harness = full_harness()
    harness.submit("urgent", step(count=1, accelerators=8), terms=queue(0))
    harness.scheduler.plan(harness.now_ms)
    stops = harness.scheduler.take_stops()
    unresponsive = stops[0].executor_id
    started_ms = harness.now_ms

    while not harness.runs("urgent") and harness.now_ms - started_ms < 5_000:
        harness.now_ms += 50
        for name in harness.listings:
            harness.report(name)  # The unresponsive one still reports its runs as running.
        harness.scheduler.plan(harness.now_ms)
        harness.store()
        for stop in harness.scheduler.take_stops():
            if stop.executor_id != unresponsive:
                harness.stop(stop)
        harness.execute_starts()

    assert [run.executor_id for run in harness.runs("urgent")] != [unresponsive]
    assert harness.now_ms - started_ms <= 1_200


def test_executor_without_a_recent_report_gets_no_tasks() -> None:
    harness = SchedulerHarness(listing("e1"), listing("e2"))
    harness.now_ms += 1_500
    harness.report("e2")
    harness.submit("j1", step(count=2, accelerators=4))
    harness.settle()
    assert {run.executor_id for run in harness.runs("j1")} == {"e2"}


def test_workspace_beyond_its_guarantee_is_preempted_for_a_guaranteed_job() -> None:
    harness = SchedulerHarness(listing("e1"), policy=Policy(1, {}, {"w": 8, "other": 4}))
    harness.submit("over", step(count=8), terms=queue(0), workspace="other")
    harness.settle()
    assert len(harness.runs("over")) == 8

    harness.submit("urgent", step(count=1, accelerators=4), terms=queue(0))
    harness.settle()

    assert len(harness.runs("urgent")) == 1


def test_guaranteed_job_is_not_preempted_for_another() -> None:
    harness = SchedulerHarness(listing("e1"), policy=Policy(1, {}, {"w": 8, "other": 8}))
    harness.submit("first", step(count=8), terms=queue(0), workspace="other")
    harness.settle()
    harness.submit("second", step(count=8), terms=queue(0))
    harness.settle()

    assert len(harness.runs("first")) == 8


def test_gang_that_wants_one_rack_is_not_spread_while_a_rack_could_hold_it() -> None:
    harness = SchedulerHarness(listing("e1", "r1"), listing("e2", "r1"), listing("e3", "r2"))
    harness.submit("wide", step(count=2, accelerators=8, is_gang=True, wants_one_rack=True))
    harness.settle()

    racks = {harness.listings[run.executor_id].rack for run in harness.runs("wide")}
    assert racks == {"r1"}


def test_no_task_starts_before_its_placement_is_stored() -> None:
    harness = SchedulerHarness(listing("e1"))
    harness.submit("j1", step())
    harness.settle(store=False)
    assert harness.started == []

    harness.settle()
    assert len(harness.started) == 1


def test_step_waits_for_the_steps_before_it() -> None:
    harness = SchedulerHarness(listing("e1"))
    harness.submit("j1", step(), step(after=(0,)))
    harness.settle()
    assert len(harness.started) == 1

    harness.end(harness.runs("j1")[0], EndReason.DONE)
    harness.settle()
    assert [run.run_id.task.step_index for run in harness.runs("j1")] == [1]


def test_task_that_fails_too_often_fails_its_job() -> None:
    harness = SchedulerHarness(listing("e1"))
    harness.submit("j1", step(), terms=queue(max_attempts=2))
    harness.settle()
    harness.end(harness.runs("j1")[0], EndReason.FAILED)
    harness.settle()
    assert harness.state("j1") == "running"

    harness.end(harness.runs("j1")[0], EndReason.FAILED)
    harness.settle()
    assert harness.state("j1") == "failed"
    assert len(harness.started) == 2


def test_gang_counts_one_failure_for_each_run() -> None:
    harness = SchedulerHarness(listing("e1"), listing("e2"))
    harness.submit("g", step(count=2, is_gang=True), terms=queue(max_attempts=2))
    harness.settle()
    for run in harness.runs("g"):
        harness.end(run, EndReason.FAILED)
    harness.settle()

    assert harness.state("g") == "running"
    assert len(harness.runs("g")) == 2


def test_one_pass_takes_no_workspace_below_its_guarantee() -> None:
    policy = Policy(1, {}, {"w": 8, "other": 8})
    harness = SchedulerHarness(listing("e1"), listing("e2"), policy=policy)
    harness.submit("over", step(count=10), terms=queue(0), workspace="other")
    harness.submit("third", step(count=6), terms=queue(0), workspace="third")
    harness.settle()

    for index in range(2):
        harness.submit(f"urgent{index}", step(count=4), terms=queue(0))
    harness.settle()

    assert len(harness.runs("urgent0")) + len(harness.runs("urgent1")) == 8
    assert len(harness.runs("over")) == 8
    assert len(harness.runs("third")) == 0
