"""Samples of what the owner believes to be in use."""

from __future__ import annotations

from typing import Any

from scheduler_harness import CAPACITY, SERVICE, SchedulerHarness, listing, queue, step

from jacinthreel_steps import Resources


def samples(harness: SchedulerHarness) -> list[dict[str, Any]]:
    return [fields for event, fields in harness.log_lines if event == "use_sampled"]


def last_sample(harness: SchedulerHarness) -> dict[str, Any]:
    harness.pass_time(1_500)
    return samples(harness)[-1]


def amounts(resources: Resources) -> dict[str, int]:
    return {
        "accelerators": resources.accelerators,
        "cpu_milli": resources.cpu_milli,
        "memory_mb": resources.memory_mb,
    }


def test_claims_are_told_from_what_runs_hold() -> None:
    harness = SchedulerHarness(listing("e1"), listing("e2"))
    harness.submit("low", step(16), terms=queue(2))
    harness.settle()
    shape = harness.runs("low")[0].shape
    harness.submit("urgent", step(8), terms=queue(0))
    harness.now_ms += 1_000

    harness.scheduler.plan(harness.now_ms)  # The runs that are stopped for the claims go on.

    use = samples(harness)[-1]["services"][SERVICE]
    assert use["capacity"] == amounts(CAPACITY.times(2))
    assert use["claimed"] == amounts(shape.times(8))
    assert use["at_work"] == amounts(shape.times(16))


def test_runs_on_a_draining_executor_are_told_apart() -> None:
    harness = SchedulerHarness(listing("e1"))
    harness.submit("job", step(3))
    harness.settle()
    shape = harness.runs("job")[0].shape
    del harness.listings["e1"]
    harness.scheduler.apply_listing(
        listing("e1", is_draining=True, remaining_ms=60_000), harness.now_ms
    )

    use = last_sample(harness)["services"][SERVICE]

    assert use["leaving"] == amounts(shape.times(3))
    assert use["at_work"] == use["capacity"] == amounts(Resources(0, 0, 0))


def test_sample_names_the_job_that_waits_longest() -> None:
    harness = SchedulerHarness(listing("e1"))
    harness.submit("filler", step(8))
    harness.settle()
    harness.submit("first", step())
    harness.pass_time(1_000)
    harness.submit("second", step())

    sample = last_sample(harness)

    assert (sample["waiting_jobs"], sample["oldest_job"]) == (2, "first")
    assert 1_500 <= sample["oldest_wait_ms"] <= 2_500
