"""The last attempt of a task goes to executors that have proven to work."""

from __future__ import annotations

import pytest
from steps_world import World, listing, queue, step

from jacinthreel_steps import EndReason, Run

NAMES = ("e1", "e2", "e3", "e4", "e5", "e6")
PROVEN = {"e5", "e6"}


def labelled_world() -> World:
    world = World(*(listing(name, rack=name) for name in NAMES))
    for name in PROVEN:
        world.submit(f"on-{name}", step(1, accelerators=8, required_label=name))
    world.settle()
    world.now_ms += 600
    for name in PROVEN:
        world.end(world.runs(f"on-{name}")[0], EndReason.DONE)
    return world


def fail(world: World, run: Run) -> None:
    world.end(run, EndReason.FAILED)
    world.settle()


CASES = {
    "two attempts": (2, 1),
    "three attempts": (3, 2),
}


@pytest.mark.parametrize("name", CASES)
def test_last_attempt_goes_to_proven_executors(name: str) -> None:
    max_attempts, failures = CASES[name]
    world = labelled_world()
    world.submit("j1", step(1, accelerators=8), terms=queue(0, max_attempts=max_attempts))
    world.settle()
    for _ in range(failures):
        fail(world, world.runs("j1")[0])
    assert world.runs("j1")[0].executor_id in PROVEN


def test_last_attempt_of_a_gang_goes_to_proven_executors() -> None:
    world = labelled_world()
    gang = step(2, accelerators=8, is_gang=True)
    world.submit("j1", gang, terms=queue(0, max_attempts=2))
    world.settle()
    fail(world, world.runs("j1")[0])
    for name in NAMES:
        world.report(name)
    world.settle()
    assert {run.executor_id for run in world.runs("j1")} == PROVEN


def test_last_attempt_takes_others_where_the_proven_ones_are_full() -> None:
    world = labelled_world()
    gang = step(3, accelerators=8, is_gang=True)
    world.submit("j1", gang, terms=queue(0, max_attempts=2))
    world.settle()
    fail(world, world.runs("j1")[0])
    for name in NAMES:
        world.report(name)
    world.settle()
    assert {run.run_id.number for run in world.runs("j1")} == {2}
    assert len(world.runs("j1")) == 3


def test_proof_grows_old() -> None:
    world = labelled_world()
    world.pass_time(5_000)
    world.submit("j1", step(1, accelerators=8), terms=queue(0, max_attempts=2))
    world.settle()
    fail(world, world.runs("j1")[0])
    assert world.runs("j1")[0].executor_id not in PROVEN


def test_urgent_gang_prefers_sound_executors_to_faster_suspects() -> None:
    world = labelled_world()
    for name in ("e1", "e2"):
        executor = world.scheduler.tables.executors_by_id[name]
        executor.health.speed_class = 2
        executor.health.failures = 1
        executor.health.failed_ms = world.now_ms
    world.submit("j1", step(2, accelerators=8, is_gang=True), terms=queue(0))
    world.settle()
    assert not {run.executor_id for run in world.runs("j1")} & {"e1", "e2"}
