"""Guards against a judge of waits that finds nothing, or blames what no reading asks for."""

from __future__ import annotations

from dataclasses import dataclass

import pytest
from rehearsal_judge import (
    READINGS,
    Calm,
    PendingStep,
    Reading,
    RehearsalJudge,
    RoomFor,
    Subject,
    UseOf,
)
from waiting_jobs_check import HELD_MS, ExecutorRoom

PERIOD_MS = 100
CAPACITY = {"gpu": 8, "mem_mb": 8}
GANG = PendingStep("j", {"gpu": 4}, 4, ("j.0", "j.1", "j.2", "j.3"), has_run=False)
PARTLY_RUN = PendingStep("j", {"gpu": 4}, 1, ("j.1",), has_run=True)


def judge_steady(
    step: PendingStep,
    runs: tuple[dict[str, int], ...],
    faults_ms: tuple[int, ...] = (),
    delays_ms: tuple[int, ...] = (),
    end_ms: int = HELD_MS,
) -> RehearsalJudge:
    """Judges a step that waits while each executor has one of `runs`."""
    judge = RehearsalJudge()
    executors = [ExecutorRoom(CAPACITY, [run]) for run in runs]
    for now_ms in range(0, end_ms + 1, PERIOD_MS):
        if now_ms in faults_ms:
            judge.note_fault(now_ms)
        if now_ms in delays_ms:
            judge.note_delay(now_ms)
        judge.observe(now_ms, [step], executors)
    return judge


@dataclass(frozen=True, slots=True)
class Case:
    """What waits beside the runs of the executors, and the readings by which it is held."""

    step: PendingStep
    runs: tuple[dict[str, int], ...]
    subjects: frozenset[Subject] = frozenset(Subject)
    rooms: frozenset[RoomFor] = frozenset(RoomFor)
    uses: frozenset[UseOf] = frozenset(UseOf)


CASES = {
    "room for the gang twice over": Case(GANG, ({}, {}, {}, {})),
    "room for the gang once": Case(GANG, ({}, {}), rooms=frozenset({RoomFor.TASK})),
    "memory in use": Case(
        GANG,
        ({"mem_mb": 4}, {"mem_mb": 4}, {"mem_mb": 4}, {"mem_mb": 4}),
        uses=frozenset({UseOf.ACCELERATORS}),
    ),
    "accelerators in use": Case(GANG, ({"gpu": 8}, {"gpu": 8}, {}, {}), uses=frozenset()),
    "no executor with room": Case(GANG, ({"gpu": 5, "mem_mb": 1}, {"gpu": 2}), rooms=frozenset()),
    "one task of a job that runs": Case(PARTLY_RUN, ({}, {}), subjects=frozenset({Subject.TASK})),
}


@pytest.mark.parametrize("name", CASES)
def test_wait_is_kept_for_exactly_the_readings_that_ask_for_it(name: str) -> None:
    case = CASES[name]
    judge = judge_steady(case.step, case.runs)
    expected = {
        reading
        for reading in READINGS
        if reading.subject in case.subjects
        and reading.room_for in case.rooms
        and reading.use_of in case.uses
    }
    assert {reading for reading, waits in judge.long_waits.items() if waits} == expected


def test_wait_shorter_than_the_bound_is_not_kept() -> None:
    judge = judge_steady(GANG, ({}, {}, {}, {}), end_ms=HELD_MS - PERIOD_MS)
    assert not any(judge.long_waits.values())


@pytest.mark.parametrize(
    ("faults_ms", "delays_ms", "end_ms", "calm"),
    [
        ((), (), 3_000, Calm.CALM),
        ((), (1_000,), 3_000, Calm.DELAYS),
        ((1_000,), (1_000,), 3_000, Calm.FAULTS),
        ((1_000,), (2_000,), 8_500, Calm.DELAYS),
        ((1_000,), (2_000,), 9_000, Calm.CALM),
    ],
)
def test_disruption_does_not_hide_a_wait_but_classifies_it(
    faults_ms: tuple[int, ...], delays_ms: tuple[int, ...], end_ms: int, calm: Calm
) -> None:
    judge = judge_steady(GANG, ({}, {}, {}, {}), faults_ms, delays_ms, end_ms)
    reading = Reading(RoomFor.JOB, UseOf.EACH_RESOURCE, Subject.JOB)
    assert [wait.calm for wait in judge.long_waits[reading]] == [calm]
