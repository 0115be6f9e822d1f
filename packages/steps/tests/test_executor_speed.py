"""Executor speeds: how they are measured, and which tasks get the fast executors."""

from __future__ import annotations

import random

import pytest
from scheduler_harness import SchedulerHarness, listing, queue, step
from speed_harness import NAMES, SPEEDS, SpeedHarness


@pytest.fixture(scope="module")
def measured_harness() -> SpeedHarness:
    harness = SpeedHarness(SPEEDS)
    harness.run_measuring_load()
    return harness


def test_speeds_are_measured_by_tasks_of_the_same_step(measured_harness: SpeedHarness) -> None:
    for name, speed in SPEEDS.items():
        assert measured_harness.measured_speed(name) == pytest.approx(speed, rel=0.08), name


def test_restored_speeds_apply_until_new_measurements_differ() -> None:
    first = SpeedHarness(SPEEDS)
    first.run_measuring_load()
    saved_speeds = first.scheduler.speeds()
    second = SpeedHarness({**SPEEDS, "e0": 1.25})
    second.scheduler.restore_speeds(saved_speeds)
    second.settle()
    assert second.measured_speed("e2") == pytest.approx(1.25, rel=0.08)
    second.run_measuring_load()
    assert second.measured_speed("e0") == pytest.approx(1.25, rel=0.15)
    assert second.measured_speed("e2") == pytest.approx(1.25, rel=0.08)


def test_steps_with_fewer_than_three_tasks_do_not_affect_speeds() -> None:
    harness = SpeedHarness(SPEEDS)
    harness.submit("single", step(1, accelerators=8))
    harness.submit("pair", step(2, accelerators=8))
    harness.run_for(4_000)
    assert {harness.measured_speed(name) for name in NAMES} == {1.0}


def avoided_with_reasons(harness: SchedulerHarness) -> list[tuple[str, str]]:
    """Returns the executors that were avoided, each with the reason."""
    avoidances = [fields for event, fields in harness.log_lines if event == "executor_avoided"]
    return [(fields["executor"], fields["reason"]) for fields in avoidances]


def test_executor_that_slows_down_is_avoided_within_two_seconds() -> None:
    harness = SpeedHarness(dict.fromkeys(NAMES, 1.0))
    harness.run_measuring_load()
    harness.run_for(2_500)  # Tasks are in progress.
    assert avoided_with_reasons(harness) == []
    harness.speeds["e4"] = 0.2
    harness.run_for(2_200)
    assert set(avoided_with_reasons(harness)) == {("e4", "slowed down")}


def test_executors_with_constant_different_speeds_are_not_avoided(
    measured_harness: SpeedHarness,
) -> None:
    assert avoided_with_reasons(measured_harness) == []


def test_urgent_gang_gets_the_fast_executors_and_other_work_the_slow_ones() -> None:
    harness = SpeedHarness(SPEEDS)
    harness.run_measuring_load()
    harness.cancel_measuring_load()
    gang = step(3, accelerators=8, is_gang=True, wants_one_rack=True)
    harness.submit("urgent", gang, terms=queue(0))
    harness.submit("other", step(6, accelerators=4), terms=queue(2))
    harness.settle()
    assert {SPEEDS[run.executor_id] for run in harness.runs("urgent")} == {1.25}
    assert {SPEEDS[run.executor_id] for run in harness.runs("other")} == {0.8}


def test_urgent_gang_leaves_faster_executors_free_that_would_only_wait() -> None:
    harness = SchedulerHarness(*(listing(f"e{index}") for index in range(6)))
    classes = dict(zip(harness.listings, (2, 2, 0, 0, 0, -2), strict=True))
    for name, executor in harness.scheduler.tables.executors_by_id.items():
        executor.health.speed_class = classes[name]
    for job_id, count, expected in (("large", 3, {0}), ("small", 2, {2})):
        harness.submit(job_id, step(count, accelerators=8, is_gang=True), terms=queue(0))
        harness.settle()
        assert {classes[run.executor_id] for run in harness.runs(job_id)} == expected


def test_gang_of_lower_priority_gets_executors_of_one_speed_if_it_fits() -> None:
    harness = SpeedHarness(SPEEDS)
    harness.run_measuring_load()
    harness.cancel_measuring_load()
    harness.submit("gang", step(3, accelerators=8, is_gang=True), terms=queue(1))
    harness.submit("large", step(4, accelerators=8, is_gang=True), terms=queue(1))
    harness.settle()
    assert {SPEEDS[run.executor_id] for run in harness.runs("gang")} == {0.8}
    assert len(harness.runs("large")) == 4


def test_tasks_on_another_rack_than_their_data_do_not_affect_speeds() -> None:
    rng = random.Random(1)
    harness = SchedulerHarness(
        *(listing(name, f"r{index % 3}") for index, name in enumerate(NAMES))
    )
    near = step(9, accelerators=8, rack_near_data="r0")
    harness.submit("far", near)
    harness.settle()
    harness.now_ms += 1_500
    for name in NAMES:
        harness.percent_by_executor[name] = (
            60 if harness.listings[name].rack == "r0" else rng.randint(18, 22)
        )
    harness.report_all()
    harness.settle()
    speeds = {harness.scheduler._context.speeds.speed(name) for name in NAMES}
    assert speeds == {1.0}


DATA_RACK_CASES = {
    "gang on any racks": {"is_gang": True},
    "gang on one rack": {"is_gang": True, "wants_one_rack": True},
    "single tasks": {},
}


@pytest.mark.parametrize("name", DATA_RACK_CASES)
def test_rack_of_the_data_is_preferred_to_faster_executors(name: str) -> None:
    harness = SchedulerHarness(*(listing(f"e{index}", f"r{index % 2}") for index in range(6)))
    for executor in harness.scheduler.tables.executors_by_id.values():
        executor.health.speed_class = 2 if executor.listing.rack == "r1" else -1
    near = step(3, accelerators=8, rack_near_data="r0", **DATA_RACK_CASES[name])
    harness.submit("j1", near, terms=queue(0))
    harness.settle()
    assert {harness.listings[run.executor_id].rack for run in harness.runs("j1")} == {"r0"}
