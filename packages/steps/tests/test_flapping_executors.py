"""Executors that were out of reach a moment ago: other ones are preferred for a while."""

from __future__ import annotations

import pytest
from scheduler_harness import SchedulerHarness, listing, queue, step

from jacinthreel_steps import Policy


@pytest.mark.parametrize("flapping", ["e1", "e2"])
def test_urgent_gang_is_placed_beside_an_executor_that_was_just_out_of_reach(flapping: str) -> None:
    """Starts that such an executor leaves unanswered keep the whole gang waiting."""
    harness = SchedulerHarness(listing("e1"), listing("e2"), policy=Policy(1))
    harness.scheduler.record_unreachable(flapping, harness.now_ms)
    harness.report(flapping)
    harness.submit("urgent", step(count=3, is_gang=True), terms=queue(0))
    harness.settle()
    assert {run.executor_id for run in harness.runs("urgent")} == {"e1", "e2"} - {flapping}


def test_executor_that_was_out_of_reach_is_used_if_there_is_no_other() -> None:
    harness = SchedulerHarness(listing("e1"), policy=Policy(1))
    harness.scheduler.record_unreachable("e1", harness.now_ms)
    harness.report("e1")
    harness.submit("urgent", step(count=3, is_gang=True), terms=queue(0))
    harness.settle()
    assert len(harness.runs("urgent")) == 3


def test_executor_is_preferred_again_once_it_has_been_within_reach_for_a_while() -> None:
    harness = SchedulerHarness(listing("e1"), listing("e2"), policy=Policy(1))
    harness.submit("small", step(count=1))
    harness.settle()
    (small,) = harness.runs("small")
    harness.scheduler.record_unreachable(small.executor_id, harness.now_ms)
    harness.pass_time(6_500)
    harness.submit("other", step(count=1))
    harness.settle()
    (other,) = harness.runs("other")
    assert other.executor_id == small.executor_id, "the fuller executor is filled first"
