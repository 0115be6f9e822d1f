"""Tests for the check of the owner's belief, which has to miss no wrong belief of the owner."""

from __future__ import annotations

from typing import Any

from belief_check import BeliefCheck

SHAPE = {"gpu": 2, "cpu": 500, "mem_mb": 400}


def sample(tasks: int, part: str = "at_work") -> dict[str, Any]:
    """Returns a sample of an owner that believes so many tasks to run."""
    parts = {
        name: {"accelerators": 0, "cpu_milli": 0, "memory_mb": 0}
        for name in ("at_work", "untracked", "leaving", "claimed")
    }
    parts[part] = {"accelerators": 2 * tasks, "cpu_milli": 500 * tasks, "memory_mb": 400 * tasks}
    return {"services": {"soak": parts}}


def observe(believed: list[int], running: list[int], part: str = "at_work") -> BeliefCheck:
    check = BeliefCheck()
    for second, (tasks, runs) in enumerate(zip(believed, running, strict=True)):
        used = {name: amount * runs for name, amount in SHAPE.items()}
        check.observe(second * 1_000, sample(tasks, part), used)
    return check


def test_run_that_no_executor_has_is_found_beside_others() -> None:
    violations = observe([1, 3, 4, 5], [0, 2, 3, 4]).violations
    assert [line.split(" more ")[0] for line in violations] == [
        "the owner believes 2",
        "the owner believes 500",
        "the owner believes 400",
    ]


def test_run_that_the_owner_does_not_know_is_found() -> None:
    assert observe([0, 0, 0, 0], [1, 1, 1, 1]).violations


def test_starts_and_ends_on_their_way_are_no_violation() -> None:
    assert observe([1, 2, 1, 2, 1, 2], [1, 1, 1, 1, 1, 1]).violations == []
    assert observe([1, 0, 1, 0, 1, 0], [0, 1, 0, 1, 0, 1]).violations == []


def test_claims_are_no_runs() -> None:
    assert observe([2] * 5, [0] * 5, "claimed").violations == []


def test_difference_within_a_disruption_is_no_violation() -> None:
    check = BeliefCheck()
    for second in range(9):
        if second == 2:
            check.note_disruption(2_000)
        check.observe(second * 1_000, sample(1), {})
    assert (check.violations, check.compared_samples) == ([], 2 + 3)
    check.observe(9_000, sample(1), {})
    assert check.violations
