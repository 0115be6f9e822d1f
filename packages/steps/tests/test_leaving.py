"""What happens to runs on executors that are about to leave."""

from __future__ import annotations

from dataclasses import replace

from steps_world import ESTIMATE_MS, World, listing, queue, step

from jacinthreel_steps import EndReason


def drain(world: World, name: str, remaining_ms: int) -> None:
    leaving = replace(world.listings[name], is_draining=True, remaining_ms=remaining_ms)
    world.listings[name] = leaving
    world.scheduler.apply_listing(leaving, world.now_ms)


def test_saved_run_is_stopped_in_time_and_goes_on_elsewhere() -> None:
    world = World(listing("e1"))
    world.submit("j1", step(saves_progress=True))
    world.settle()
    world.listings["e2"] = listing("e2")
    world.scheduler.apply_listing(world.listings["e2"], world.now_ms)
    world.report("e2")

    drain(world, "e1", 2_000)
    world.pass_time(2_000)

    assert [run.executor_id for run in world.runs("j1")] == ["e2"]


def test_run_that_saves_nothing_and_can_not_be_done_is_moved_at_once() -> None:
    world = World(listing("e1"), listing("e2"))
    world.submit("j1", step())
    world.settle()
    holder = world.runs("j1")[0].executor_id

    drain(world, holder, 2_000)
    world.pass_time(500)

    moved = world.runs("j1")
    assert len(moved) == 1
    assert moved[0].executor_id != holder


def test_run_that_saves_nothing_and_will_be_done_is_left_alone() -> None:
    world = World(listing("e1"), listing("e2"))
    world.submit("j1", step())
    world.settle()
    holder = world.runs("j1")[0].executor_id

    drain(world, holder, ESTIMATE_MS)
    world.pass_time(1_000)

    assert [run.executor_id for run in world.runs("j1")] == [holder]


def test_gang_with_a_member_on_a_leaving_executor_is_moved_as_a_whole() -> None:
    world = World(listing("e1"), listing("e2"), listing("e3"), listing("e4"))
    world.submit("j1", step(2, accelerators=8, is_gang=True), terms=queue(0))
    world.settle()
    holder = world.runs("j1")[0].executor_id

    drain(world, holder, 2_000)
    world.pass_time(500)

    runs = world.runs("j1")
    assert [run.run_id.number for run in runs] == [2, 2]
    assert holder not in {run.executor_id for run in runs}


def test_gang_is_judged_by_its_slowest_member() -> None:
    world = World(listing("e1"), listing("e2"), listing("e3"), listing("e4"))
    world.submit("j1", step(2, accelerators=8, is_gang=True), terms=queue(0))
    world.settle()
    holder, other = (run.executor_id for run in world.runs("j1"))
    world.now_ms += 1_000
    world.percents = {holder: 50, other: 15}
    world.report_all()

    drain(world, holder, 2_000)
    world.settle()

    assert {run.run_id.number for run in world.runs("j1")} == {2}


def test_nothing_is_placed_on_a_draining_executor() -> None:
    world = World(listing("e1"))
    drain(world, "e1", 60_000)
    world.submit("j1", step())
    world.settle()

    assert world.started == []


def test_run_that_is_done_before_the_executor_leaves_is_left_alone() -> None:
    world = World(listing("e1"))
    world.submit("j1", step(saves_progress=True))
    world.settle()
    world.now_ms += 900
    world.percents["e1"] = 90
    drain(world, "e1", 2_000)
    world.pass_time(1_750)

    run = world.runs("j1")[0]
    world.end(run, EndReason.DONE)
    world.settle()
    assert world.state("j1") == "completed"
