"""Jobs of priority 0 on a full system: what is stopped for them and what is kept free."""

from __future__ import annotations

from steps_world import World, listing, queue, step

from jacinthreel_steps import EndReason, Policy

GUARANTEED = Policy(1, guaranteed_accelerators_by_workspace={"w": 16})


def full_world() -> World:
    """Two executors full of single tasks of a lower priority."""
    world = World(listing("e1"), listing("e2"), policy=GUARANTEED)
    world.submit("batch", step(count=40), terms=queue(2))
    world.settle()
    assert len(world.runs("batch")) == 16
    return world


def test_urgent_gang_takes_the_room_of_lower_priority() -> None:
    world = full_world()
    world.submit("urgent", step(count=2, accelerators=4, is_gang=True), terms=queue(0))
    world.settle()

    assert len(world.runs("urgent")) == 2
    assert len(world.runs("batch")) == 8


def test_room_that_an_urgent_job_leaves_is_kept_for_the_next_one() -> None:
    world = full_world()
    world.submit("first", step(count=1, accelerators=8), terms=queue(0))
    world.settle()
    world.end(world.runs("first")[0], EndReason.DONE)
    world.settle()
    stopped_before = len(world.runs("batch"))

    world.submit("second", step(count=1, accelerators=8), terms=queue(0))
    world.settle()

    assert len(world.runs("second")) == 1
    assert len(world.runs("batch")) == stopped_before


def test_kept_room_is_given_back_when_no_urgent_job_comes() -> None:
    world = full_world()
    world.submit("first", step(count=1, accelerators=8), terms=queue(0))
    world.settle()
    world.end(world.runs("first")[0], EndReason.DONE)
    world.settle()

    world.pass_time(5_000)

    assert len(world.runs("batch")) == 16


def test_runs_that_save_their_progress_are_stopped_first() -> None:
    world = World(listing("e1"), policy=GUARANTEED)
    world.submit("kept", step(count=4), terms=queue(2))
    world.submit("saved", step(count=4, saves_progress=True), terms=queue(2))
    world.settle()
    world.pass_time(3_000)

    world.submit("urgent", step(count=1, accelerators=4), terms=queue(0))
    world.settle()

    assert len(world.runs("kept")) == 4
    assert world.runs("saved") == []


def test_claim_on_an_executor_that_does_not_stop_its_runs_is_moved() -> None:
    world = full_world()
    world.submit("urgent", step(count=1, accelerators=8), terms=queue(0))
    world.scheduler.plan(world.now_ms)
    stops = world.scheduler.take_stops()
    mute = stops[0].executor_id
    started_ms = world.now_ms

    while not world.runs("urgent") and world.now_ms - started_ms < 5_000:
        world.now_ms += 50
        for name in world.listings:
            world.report(name)  # The mute one reports its runs as before.
        world.scheduler.plan(world.now_ms)
        world.store()
        for stop in world.scheduler.take_stops():
            if stop.executor_id != mute:
                world.stop(stop)
        world.carry_out_starts()

    assert [run.executor_id for run in world.runs("urgent")] != [mute]
    assert world.now_ms - started_ms <= 1_200


def test_silent_executor_gets_no_work() -> None:
    world = World(listing("e1"), listing("e2"))
    world.now_ms += 1_500
    world.report("e2")
    world.submit("j1", step(count=2, accelerators=4))
    world.settle()
    assert {run.executor_id for run in world.runs("j1")} == {"e2"}


def test_other_workspaces_beyond_their_guarantee_make_room_for_a_guaranteed_job() -> None:
    world = World(listing("e1"), policy=Policy(1, {}, {"w": 8, "other": 4}))
    world.submit("over", step(count=8), terms=queue(0), workspace="other")
    world.settle()
    assert len(world.runs("over")) == 8

    world.submit("urgent", step(count=1, accelerators=4), terms=queue(0))
    world.settle()

    assert len(world.runs("urgent")) == 1


def test_a_guaranteed_job_is_not_stopped_for_another() -> None:
    world = World(listing("e1"), policy=Policy(1, {}, {"w": 8, "other": 8}))
    world.submit("first", step(count=8), terms=queue(0), workspace="other")
    world.settle()
    world.submit("second", step(count=8), terms=queue(0))
    world.settle()

    assert len(world.runs("first")) == 8


def test_gang_that_wants_one_rack_is_not_spread_while_a_rack_could_hold_it() -> None:
    world = World(listing("e1", "r1"), listing("e2", "r1"), listing("e3", "r2"))
    world.submit("wide", step(count=2, accelerators=8, is_gang=True, wants_one_rack=True))
    world.settle()

    racks = {world.listings[run.executor_id].rack for run in world.runs("wide")}
    assert racks == {"r1"}


def test_no_task_starts_before_its_placement_is_stored() -> None:
    world = World(listing("e1"))
    world.submit("j1", step())
    world.settle(store=False)
    assert world.started == []

    world.settle()
    assert len(world.started) == 1


def test_step_waits_for_the_steps_before_it() -> None:
    world = World(listing("e1"))
    world.submit("j1", step(), step(after=(0,)))
    world.settle()
    assert len(world.started) == 1

    world.end(world.runs("j1")[0], EndReason.DONE)
    world.settle()
    assert [run.run_id.task.step_index for run in world.runs("j1")] == [1]


def test_task_that_fails_too_often_fails_its_job() -> None:
    world = World(listing("e1"))
    world.submit("j1", step(), terms=queue(max_attempts=2))
    world.settle()
    world.end(world.runs("j1")[0], EndReason.FAILED)
    world.settle()
    assert world.state("j1") == "running"

    world.end(world.runs("j1")[0], EndReason.FAILED)
    world.settle()
    assert world.state("j1") == "failed"
    assert len(world.started) == 2


def test_gang_counts_one_failure_for_each_run() -> None:
    world = World(listing("e1"), listing("e2"))
    world.submit("g", step(count=2, is_gang=True), terms=queue(max_attempts=2))
    world.settle()
    for run in world.runs("g"):
        world.end(run, EndReason.FAILED)
    world.settle()

    assert world.state("g") == "running"
    assert len(world.runs("g")) == 2
