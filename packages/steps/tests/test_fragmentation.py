"""Samples of free accelerators that are of no use to the gangs that wait."""

from __future__ import annotations

from scheduler_harness import SchedulerHarness, listing, step


def last_sample(harness: SchedulerHarness) -> dict[str, int]:
    harness.pass_time(2_500)
    samples = [fields for event, fields in harness.log_lines if event == "capacity_sampled"]
    return samples[-1]


def test_free_accelerators_on_two_executors_are_fragmented_for_a_task_that_needs_one() -> None:
    harness = SchedulerHarness(listing("e1"), listing("e2"))
    harness.submit("filler", step(count=2, accelerators=5, max_per_executor=1))
    harness.settle()
    harness.submit("gang", step(count=1, accelerators=6, is_gang=True))

    sample = last_sample(harness)

    assert sample == {"accelerators": 16, "free": 6, "fragmented": 6, "waiting_gangs": 1}


def test_a_gang_that_waits_for_more_than_is_free_shows_no_fragmentation() -> None:
    harness = SchedulerHarness(listing("e1"))
    harness.submit("filler", step(count=1, accelerators=5))
    harness.settle()
    harness.submit("gang", step(count=1, accelerators=6, is_gang=True))

    sample = last_sample(harness)

    assert (sample["free"], sample["fragmented"], sample["waiting_gangs"]) == (3, 0, 1)
