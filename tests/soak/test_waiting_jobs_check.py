"""Guards against a check of waiting jobs that finds nothing, or blames what the rule allows."""

from __future__ import annotations

from dataclasses import dataclass, field

import pytest
from waiting_jobs_check import ExecutorRoom, WaitingJobsCheck, WaitingStep

PERIOD_MS = 100
ONE_TASK = WaitingStep({"gpu": 2}, 1)
CAPACITY = {"gpu": 8, "cpu": 8}


@dataclass(frozen=True, slots=True)
class Case:
    """What holds from the start: the job's steps, and the amounts that run on each executor."""

    steps: tuple[WaitingStep, ...] = (ONE_TASK,)
    runs: tuple[tuple[dict[str, int], ...], ...] = ((), ())
    disrupted_ms: tuple[int, ...] = ()
    running_ms: tuple[int, ...] = field(default=())


def observe(case: Case, end_ms: int) -> WaitingJobsCheck:
    """Observes a job each `PERIOD_MS`, which has a run at `running_ms`."""
    check = WaitingJobsCheck()
    executors = [ExecutorRoom(CAPACITY, runs) for runs in case.runs]
    for now_ms in range(0, end_ms + 1, PERIOD_MS):
        if now_ms in case.disrupted_ms:
            check.note_disruption(now_ms)
        is_waiting = now_ms not in case.running_ms
        check.observe(now_ms, {"j": case.steps} if is_waiting else {}, executors)
    return check


FOUND = {
    "idle": (Case(), 3_000),
    "again after a run": (Case(running_ms=(1_000,)), 4_100),
    "calm again after a disruption": (Case(disrupted_ms=(1_000,)), 8_000),
    "gang with room twice over": (Case((WaitingStep({"gpu": 2}, 4),)), 3_000),
    "below half of the capacity": (Case(runs=(({"gpu": 7},), ())), 3_000),
    "a second step that has room": (Case((WaitingStep({"gpu": 9}, 1), ONE_TASK)), 3_000),
}
ALLOWED = {
    "a run in each 3 s": Case(running_ms=(0, 2_900, 5_800, 8_700, 11_600)),
    "disruptions": Case(disrupted_ms=(0, 6_900, 13_800)),
    "a gang without room twice over": Case((WaitingStep({"gpu": 2}, 5),)),
    "no executor with room for a task": Case((WaitingStep({"gpu": 9}, 1),)),
    "half of the capacity in use": Case(runs=(({"gpu": 2}, {"gpu": 2}), ({"cpu": 8},))),
    "no executors": Case(runs=()),
}


@pytest.mark.parametrize("name", FOUND)
def test_held_job_is_found_at_its_time(name: str) -> None:
    case, found_ms = FOUND[name]
    assert observe(case, found_ms - PERIOD_MS).violations == []
    assert len(observe(case, found_ms).violations) == 1


@pytest.mark.parametrize("name", ALLOWED)
def test_wait_that_the_rule_allows_is_no_violation(name: str) -> None:
    assert observe(ALLOWED[name], 14_000).violations == []


def test_long_wait_in_a_disruption_is_kept_for_the_report() -> None:
    check = observe(Case(disrupted_ms=tuple(range(0, 5_000, PERIOD_MS))), 5_000)
    assert [str(wait) for wait in check.long_waits] == [
        "j could run and had no run for 5000 ms since 0"
    ]
    assert check.violations == []
