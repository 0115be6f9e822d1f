"""Slow executors: how gangs show them, and what is done for the gangs."""

from __future__ import annotations

import pytest
from steps_world import World, listing, queue, step

EXECUTORS = ("e1", "e2", "e3", "e4", "e5")


def gang_with_progress(percents: dict[str, int], priority: int = 0, after_ms: int = 1_000) -> World:
    """A gang of four on four of five executors, each with a progress after a while."""
    world = World(*(listing(name) for name in EXECUTORS))
    gang = step(4, accelerators=8, is_gang=True)
    world.submit("j1", gang, terms=queue(priority))
    world.settle()
    used = [run.executor_id for run in world.runs("j1")]
    world.now_ms += after_ms
    world.percents = dict(zip(used, percents.values(), strict=True))
    world.report_all()
    world.scheduler.plan(world.now_ms)
    return world


def events(world: World, event: str) -> list[str]:
    return [fields["executor"] for name, fields in world.lines if name == event]


PROGRESS_CASES = {
    "all alike": ({"a": 40, "b": 38, "c": 45, "d": 35}, 0, 0),
    "one slow": ({"a": 40, "b": 38, "c": 45, "d": 5}, 1, 1),
    "one without progress": ({"a": 40, "b": 38, "c": 45, "d": 0}, 1, 1),
    "a little slower": ({"a": 40, "b": 38, "c": 45, "d": 20}, 0, 0),
    "too early to tell": ({"a": 10, "b": 9, "c": 12, "d": 1}, 0, 0),
    "nearly done": ({"a": 100, "b": 100, "c": 100, "d": 39}, 1, 0),
}


@pytest.mark.parametrize("name", PROGRESS_CASES)
def test_lagging_member_shows_its_executor(name: str) -> None:
    percents, avoided, moved = PROGRESS_CASES[name]
    world = gang_with_progress(percents)
    assert len(events(world, "executor_avoided")) == avoided
    assert len(events(world, "gang_moved")) == moved


def test_urgent_gang_is_placed_again_without_the_slow_executor() -> None:
    world = gang_with_progress({"a": 40, "b": 38, "c": 45, "d": 2})
    slow = events(world, "gang_moved")[0]
    world.settle()
    world.report_all()
    world.settle()
    runs = world.runs("j1")
    assert [run.run_id.number for run in runs] == [2, 2, 2, 2]
    assert slow not in {run.executor_id for run in runs}


def test_gang_is_moved_once_only() -> None:
    world = gang_with_progress({"a": 40, "b": 38, "c": 45, "d": 2})
    world.settle()
    world.report_all()
    world.settle()
    world.now_ms += 1_000
    world.percents = {run.executor_id: 40 for run in world.runs("j1")}
    world.percents[world.runs("j1")[0].executor_id] = 1
    world.report_all()
    world.scheduler.plan(world.now_ms)
    assert len(events(world, "gang_moved")) == 1


def test_gang_of_lower_priority_is_left_where_it_is() -> None:
    world = gang_with_progress({"a": 40, "b": 38, "c": 45, "d": 2}, priority=2)
    assert len(events(world, "executor_avoided")) == 1
    assert events(world, "gang_moved") == []


def test_gang_that_was_adopted_or_resumed_shows_nothing() -> None:
    world = gang_with_progress({"a": 80, "b": 80, "c": 80, "d": 80})
    world.take_over()
    world.report_all()
    world.now_ms += 600
    used = [run.executor_id for run in world.runs("j1")]
    for name in used[:3]:
        world.report(name)
    world.now_ms += 1_000
    world.report(used[3])
    world.scheduler.plan(world.now_ms)
    assert events(world, "executor_avoided") == []
    assert events(world, "gang_moved") == []
