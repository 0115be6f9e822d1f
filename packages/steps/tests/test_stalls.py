"""Which runs are taken for stalled."""

from __future__ import annotations

from steps_world import World, listing, step


def pass_without_progress(world: World, duration_ms: int) -> None:
    """Lets time pass while the executors' progress stays as it is."""
    for _ in range(duration_ms // 250):
        world.now_ms += 250
        world.report_all()
        world.settle()


def test_run_without_progress_goes_on_elsewhere() -> None:
    world = World(listing("e1"), listing("e2"))
    world.submit("j1", step())
    world.settle()
    first = world.runs("j1")[0].executor_id
    other = "e2" if first == "e1" else "e1"

    pass_without_progress(world, 4_000)

    assert world.runs("j1")[0].executor_id == other


def test_gang_task_that_has_done_its_share_is_left_alone() -> None:
    world = World(listing("e1"), listing("e2"))
    world.submit("g", step(count=2, accelerators=8, is_gang=True))
    world.settle()
    world.percents["e1"] = 100
    world.report_all()

    for _ in range(16):
        world.percents["e2"] = world.percents.get("e2", 0) + 2
        world.now_ms += 250
        world.report_all()
        world.settle()

    assert [run.run_id.number for run in world.runs("g")] == [1, 1]


def test_executor_with_one_run_that_makes_progress_is_left_alone() -> None:
    world = World(listing("e1"))
    world.submit("j1", step(count=2))
    world.settle()

    world.pass_time(4_000)

    assert [run.run_id.number for run in world.runs("j1")] == [1, 1]
