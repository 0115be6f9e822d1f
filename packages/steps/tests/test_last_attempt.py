"""Tasks on their last attempt prefer executors on which a recent run progressed or succeeded."""

from __future__ import annotations

import pytest
from scheduler_harness import SchedulerHarness, listing, queue, step

from jacinthreel_steps import EndReason, Run

NAMES = ("e1", "e2", "e3", "e4", "e5", "e6")
PROVEN = {"e5", "e6"}


def harness_with_proven_executors() -> SchedulerHarness:
    harness = SchedulerHarness(*(listing(name, rack=name) for name in NAMES))
    for name in PROVEN:
        harness.submit(f"on-{name}", step(1, accelerators=8, required_label=name))
    harness.settle()
    harness.now_ms += 600
    for name in PROVEN:
        harness.end(harness.runs(f"on-{name}")[0], EndReason.DONE)
    return harness


def fail(harness: SchedulerHarness, run: Run) -> None:
    harness.end(run, EndReason.FAILED)
    harness.settle()


CASES = {
    "two attempts": (2, 1),
    "three attempts": (3, 2),
}


@pytest.mark.parametrize("name", CASES)
def test_last_attempt_goes_to_proven_executors(name: str) -> None:
    max_attempts, failures = CASES[name]
    harness = harness_with_proven_executors()
    harness.submit("j1", step(1, accelerators=8), terms=queue(0, max_attempts=max_attempts))
    harness.settle()
    for _ in range(failures):
        fail(harness, harness.runs("j1")[0])
    assert harness.runs("j1")[0].executor_id in PROVEN


def test_last_attempt_of_a_gang_goes_to_proven_executors() -> None:
    harness = harness_with_proven_executors()
    gang = step(2, accelerators=8, is_gang=True)
    harness.submit("j1", gang, terms=queue(0, max_attempts=2))
    harness.settle()
    fail(harness, harness.runs("j1")[0])
    for name in NAMES:
        harness.report(name)
    harness.settle()
    assert {run.executor_id for run in harness.runs("j1")} == PROVEN


def test_last_attempt_uses_other_executors_if_the_proven_ones_are_full() -> None:
    harness = harness_with_proven_executors()
    gang = step(3, accelerators=8, is_gang=True)
    harness.submit("j1", gang, terms=queue(0, max_attempts=2))
    harness.settle()
    fail(harness, harness.runs("j1")[0])
    for name in NAMES:
        harness.report(name)
    harness.settle()
    assert {run.run_id.number for run in harness.runs("j1")} == {2}
    assert len(harness.runs("j1")) == 3


def test_proven_executors_are_not_preferred_after_the_proof_expires() -> None:
    harness = harness_with_proven_executors()
    harness.pass_time(5_000)
    harness.submit("j1", step(1, accelerators=8), terms=queue(0, max_attempts=2))
    harness.settle()
    fail(harness, harness.runs("j1")[0])
    assert harness.runs("j1")[0].executor_id not in PROVEN


def test_urgent_gang_prefers_healthy_executors_to_faster_suspect_ones() -> None:
    harness = harness_with_proven_executors()
    for name in ("e1", "e2"):
        executor = harness.scheduler.tables.executors_by_id[name]
        executor.health.speed_class = 2
        executor.health.failures = 1
        executor.health.failed_ms = harness.now_ms
    harness.submit("j1", step(2, accelerators=8, is_gang=True), terms=queue(0))
    harness.settle()
    assert not {run.executor_id for run in harness.runs("j1")} & {"e1", "e2"}
