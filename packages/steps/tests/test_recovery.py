"""What a new owner makes of stored rows and of what executors report."""

from __future__ import annotations

from steps_world import World, listing, step

from jacinthreel_steps import EndReason


def test_completed_job_is_kept_after_a_takeover() -> None:
    world = World(listing("e1"))
    world.submit("j1", step())
    world.settle()
    world.end(world.runs("j1")[0], EndReason.DONE)
    world.settle()

    world.take_over()

    assert world.scheduler.find_jobs_ended_before(world.now_ms - 180_000) == []
    assert world.state("j1") == "completed"


def test_running_task_is_adopted() -> None:
    world = World(listing("e1"))
    world.submit("j1", step())
    world.settle()

    world.take_over()
    world.report_all()
    world.settle()

    assert len(world.started) == 1
    assert [run.run_id.number for run in world.runs("j1")] == [1]


def test_run_that_never_started_is_placed_again() -> None:
    world = World(listing("e1"))
    world.submit("j1", step())
    world.scheduler.plan(world.now_ms)
    world.store()  # The owner dies before it has sent the start.

    world.take_over()
    world.report_all()
    world.settle()

    assert [run.run_id.number for run in world.runs("j1")] == [2]


def test_run_at_an_executor_out_of_reach_is_not_placed_again() -> None:
    world = World(listing("e1"), listing("e2"))
    world.submit("j1", step())
    world.settle()
    holder = world.runs("j1")[0].executor_id
    other = "e2" if holder == "e1" else "e1"

    world.take_over()
    world.report(other)
    world.settle()

    assert len(world.started) == 1


def test_runs_of_a_cancelled_job_are_stopped() -> None:
    world = World(listing("e1"))
    world.submit("j1", step())
    world.settle()
    world.scheduler.cancel("j1", world.now_ms)
    world.store()  # The owner dies before it has sent the stop.

    world.take_over()
    world.report_all()
    world.settle()

    assert world.runs("j1") == []
