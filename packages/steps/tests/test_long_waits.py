"""Jobs that wait long: the log tells how often they were passed and what room there is."""

from __future__ import annotations

from typing import Any

import pytest
from scheduler_harness import SchedulerHarness, listing, queue, step

from jacinthreel_steps import EndReason
from jacinthreel_steps._planning._pass_state import PassState

PASSES = 3


def lines(harness: SchedulerHarness, event: str) -> list[dict[str, Any]]:
    return [fields for name, fields in harness.log_lines if name == event]


def hold_gang() -> SchedulerHarness:
    """Returns two executors that a task each keeps from a gang that needs both."""
    harness = SchedulerHarness(listing("e1"), listing("e2"))
    harness.submit("filler", step(2, accelerators=1, max_per_executor=1))
    harness.settle()
    harness.submit("gang", step(2, accelerators=8, is_gang=True))
    harness.pass_time(1_000)
    return harness


def submit_later_jobs(harness: SchedulerHarness) -> None:
    for index in range(PASSES):
        harness.submit(f"later{index}", step())
        harness.settle()


def test_job_that_others_pass_is_logged_with_their_number_at_each_limit() -> None:
    harness = hold_gang()
    submit_later_jobs(harness)
    harness.submit("urgent", step(), terms=queue(0))

    harness.pass_time(20_500)

    waits = lines(harness, "job_waits")
    assert [line["job_id"] for line in waits] == ["gang"] * 3
    assert [line["waited_ms"] // 5_000 for line in waits] == [1, 2, 4]
    assert {line["passed_by"] for line in waits} == {PASSES}
    assert {line["held_by"] for line in waits} == {"no room"}
    assert (waits[0]["free_slots"], waits[0]["slots_if_empty"]) == (0, 2)
    assert waits[0]["used_accelerators_percent"] == round(100 * (2 + PASSES + 1) / 16)


def test_end_of_a_logged_wait_tells_its_length_and_the_passes_until_then() -> None:
    harness = hold_gang()
    harness.pass_time(5_500)
    submit_later_jobs(harness)
    for job_id in ("filler", "later0", "later1", "later2"):
        for run in harness.runs(job_id):
            harness.end(run, EndReason.DONE)

    harness.settle()

    [ended] = lines(harness, "job_wait_ended")
    assert (ended["job_id"], ended["passed_by"], ended["ended_by"]) == ("gang", PASSES, "placed")
    assert 6_000 <= ended["waited_ms"] <= 8_000


def test_job_that_waits_again_counts_only_from_then() -> None:
    harness = SchedulerHarness(listing("e1"), listing("e2"))
    harness.submit("gang", step(2, accelerators=8, is_gang=True))
    harness.settle()
    for run in harness.runs("gang"):
        harness.end(run, EndReason.BROKEN)
    harness.submit("filler", step(accelerators=1), terms=queue(0))
    harness.settle()
    submit_later_jobs(harness)

    harness.pass_time(6_500)

    [line] = lines(harness, "job_waits")
    assert (line["job_id"], line["has_begun"]) == ("gang", True)
    assert 5_000 <= line["waited_ms"] <= 6_500


def test_room_on_reserved_executors_is_told_apart(monkeypatch: pytest.MonkeyPatch) -> None:
    harness = SchedulerHarness(listing("e1"), listing("e2"))
    monkeypatch.setattr(
        PassState, "_without_headroom", lambda self, service, executors: executors[:1]
    )
    harness.submit("filler", step(accelerators=1))
    harness.settle()
    harness.submit("gang", step(accelerators=8, is_gang=True, wants_one_rack=True))

    monkeypatch.setattr(PassState, "is_overdue", lambda self, job: False)
    harness.pass_time(5_500)

    [line] = lines(harness, "job_waits")
    assert (line["free_slots"], line["reserved_slots"], line["held_by"]) == (
        0,
        1,
        "reserved for urgent jobs",
    )
