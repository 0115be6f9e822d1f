"""How fast executors are, as far as tasks of one step show it, and who gets the fast ones."""

from __future__ import annotations

import random

import pytest
from steps_world import World, listing, queue, step

from jacinthreel_steps import EndReason, ExecutorReport, ReportedRun

NAMES = tuple(f"e{index}" for index in range(9))
SPEEDS = dict(zip(NAMES, (0.8, 1.0, 1.25) * 3, strict=True))
TASK_MS = 5_000  # On an executor of speed 1.
ROUNDS = 20


class SpeedWorld(World):
    """Tasks make progress by the speed of their executor and are done in time."""

    def __init__(self, speeds: dict[str, float], rack: str = "r1") -> None:
        self.speeds = speeds
        self.work_by_run: dict[str, float] = {}
        super().__init__(*(listing(name, rack) for name in speeds))

    def run_for(self, duration_ms: int) -> None:
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            before_ms = self.now_ms
            self.now_ms += 100
            self.settle()
            self._work(self.now_ms - before_ms)

    def _work(self, passed_ms: int) -> None:
        for name, speed in self.speeds.items():
            for key, run in list(self.running.get(name, {}).items()):
                self.work_by_run[key] = self.work_by_run.get(key, 0) + passed_ms * speed
                if self.work_by_run[key] >= TASK_MS:
                    self.end(run, EndReason.DONE)
            if self.now_ms % 1_000 < 110:
                self.report(name)

    def report(self, name: str, incarnation: int | None = None) -> None:
        """Reports each run with its own progress."""
        running = tuple(
            ReportedRun(run.run_id, "", int(self.work_by_run.get(key, 0) * 100 / TASK_MS))
            for key, run in self.running.get(name, {}).items()
        )
        ended = tuple(self.ends.get(name, []))
        report = ExecutorReport(1, self.now_ms, running, ended)
        self.scheduler.apply_report(name, report, self.now_ms)

    def learn(self) -> None:
        """Enough steps of single tasks to load all executors for a while."""
        for index in range(ROUNDS):
            self.submit(f"learn-{index}", step(18, accelerators=2), terms=queue(2))
        self.run_for(20_000)

    def learnt(self, name: str) -> float:
        return self.scheduler._context.speeds.speed(name)

    def drain(self) -> None:
        for index in range(ROUNDS):
            self.scheduler.cancel(f"learn-{index}", self.now_ms)
        self.settle()


@pytest.fixture(scope="module")
def learnt_world() -> SpeedWorld:
    world = SpeedWorld(SPEEDS)
    world.learn()
    return world


def test_speeds_are_learnt_from_tasks_of_the_same_step(learnt_world: SpeedWorld) -> None:
    for name, speed in SPEEDS.items():
        assert learnt_world.learnt(name) == pytest.approx(speed, rel=0.08), name


def test_restored_speeds_hold_until_tasks_say_otherwise() -> None:
    first = SpeedWorld(SPEEDS)
    first.learn()
    kept = first.scheduler.speeds()
    second = SpeedWorld({**SPEEDS, "e0": 1.25})
    second.scheduler.restore_speeds(kept)
    second.settle()
    assert second.learnt("e2") == pytest.approx(1.25, rel=0.08)
    second.learn()
    assert second.learnt("e0") == pytest.approx(1.25, rel=0.15)
    assert second.learnt("e2") == pytest.approx(1.25, rel=0.08)


def test_nothing_is_learnt_without_anything_to_compare() -> None:
    world = SpeedWorld(SPEEDS)
    world.submit("single", step(1, accelerators=8))
    world.submit("pair", step(2, accelerators=8))
    world.run_for(4_000)
    assert {world.learnt(name) for name in NAMES} == {1.0}


def avoided(world: World) -> list[tuple[str, str]]:
    found = [fields for event, fields in world.lines if event == "executor_avoided"]
    return [(fields["executor"], fields["reason"]) for fields in found]


def test_executor_that_slows_down_is_avoided_within_two_seconds() -> None:
    world = SpeedWorld(dict.fromkeys(NAMES, 1.0))
    world.learn()
    world.run_for(2_500)  # Tasks are in the middle of their work.
    assert avoided(world) == []
    world.speeds["e4"] = 0.2
    world.run_for(2_200)
    assert set(avoided(world)) == {("e4", "slowed down")}


def test_executors_that_differ_for_good_are_not_avoided(learnt_world: SpeedWorld) -> None:
    assert avoided(learnt_world) == []


def test_urgent_gang_gets_the_fast_executors_and_other_work_the_slow_ones() -> None:
    world = SpeedWorld(SPEEDS)
    world.learn()
    world.drain()
    gang = step(3, accelerators=8, is_gang=True, wants_one_rack=True)
    world.submit("urgent", gang, terms=queue(0))
    world.submit("other", step(6, accelerators=4), terms=queue(2))
    world.settle()
    assert {SPEEDS[run.executor_id] for run in world.runs("urgent")} == {1.25}
    assert {SPEEDS[run.executor_id] for run in world.runs("other")} == {0.8}


def test_gang_of_lower_priority_keeps_to_one_speed_where_it_fits() -> None:
    world = SpeedWorld(SPEEDS)
    world.learn()
    world.drain()
    world.submit("gang", step(3, accelerators=8, is_gang=True), terms=queue(1))
    world.submit("large", step(4, accelerators=8, is_gang=True), terms=queue(1))
    world.settle()
    assert {SPEEDS[run.executor_id] for run in world.runs("gang")} == {0.8}
    assert len(world.runs("large")) == 4


def test_tasks_away_from_their_data_tell_nothing_of_executors() -> None:
    draw = random.Random(1)
    world = World(*(listing(name, f"r{index % 3}") for index, name in enumerate(NAMES)))
    near = step(9, accelerators=8, rack_near_data="r0")
    world.submit("far", near)
    world.settle()
    world.now_ms += 1_500
    for name in NAMES:
        world.percents[name] = 60 if world.listings[name].rack == "r0" else draw.randint(18, 22)
    world.report_all()
    world.settle()
    speeds = {world.scheduler._context.speeds.speed(name) for name in NAMES}
    assert speeds == {1.0}


NEAR_CASES = {
    "gang on any racks": {"is_gang": True},
    "gang on one rack": {"is_gang": True, "wants_one_rack": True},
    "single tasks": {},
}


@pytest.mark.parametrize("name", NEAR_CASES)
def test_rack_of_the_data_goes_before_speed(name: str) -> None:
    world = World(*(listing(f"e{index}", f"r{index % 2}") for index in range(6)))
    for executor in world.scheduler.tables.executors_by_id.values():
        executor.health.speed_class = 2 if executor.listing.rack == "r1" else -1
    near = step(3, accelerators=8, rack_near_data="r0", **NEAR_CASES[name])
    world.submit("j1", near, terms=queue(0))
    world.settle()
    assert {world.listings[run.executor_id].rack for run in world.runs("j1")} == {"r0"}
