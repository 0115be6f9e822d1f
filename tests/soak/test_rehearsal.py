"""Short rehearsals with fixed seeds for CI."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from pathlib import Path

from rehearsal_judge import FirstRun
from rehearsal_load import (
    RESERVED_AFTER_MS,
    DrawnJob,
    draw_load,
    draw_passing_load,
    first_run_bound_ms,
)
from rehearsal_run import RehearsalResult, RehearsalRun
from soak_run import SoakSize

SIZE = SoakSize(nodes=2, executors=16)
PASSING_TRAFFIC_S = 24.0  # Longer than the bound, so that a gang that is always passed exceeds it.
MIXED_TRAFFIC_S = 12.0
MIXED_LOAD = 0.4  # Narrow jobs do not shrink further with a fleet this small.


def rehearse(seed: int, folder: Path, jobs: list[DrawnJob]) -> RehearsalResult:
    """Plays jobs without faults."""
    return asyncio.run(RehearsalRun(seed, folder, SIZE, drawn=jobs).rehearse())


def waits_beyond_bound(result: RehearsalResult, jobs: Sequence[DrawnJob]) -> list[str]:
    """Returns the waits for the first run that are longer than allowed."""
    return [
        str(wait)
        for wait in result.first_runs
        if wait.wait_ms > first_run_bound_ms(jobs, count_earlier_waits(wait, result.first_runs))
    ]


def count_earlier_waits(wait: FirstRun, others: Sequence[FirstRun]) -> int:
    """Returns how many earlier accepted jobs waited beside a job, so long that room is reserved."""
    return sum(
        other.accepted_ms < wait.accepted_ms < other.accepted_ms + other.wait_ms
        and other.wait_ms >= RESERVED_AFTER_MS
        for other in others
    )


def test_wide_gang_is_not_passed_without_end_by_later_gangs_of_its_queue(tmp_path: Path) -> None:
    jobs = draw_passing_load(1, SIZE.executors, PASSING_TRAFFIC_S)
    result = rehearse(1, tmp_path, jobs)
    assert result.violations == []
    assert waits_beyond_bound(result, jobs) == []


def test_no_job_of_mixed_queues_waits_without_bound(tmp_path: Path) -> None:
    jobs = draw_load(12, SIZE.executors, MIXED_TRAFFIC_S, MIXED_LOAD)
    result = rehearse(12, tmp_path, jobs)
    assert result.violations == []
    assert waits_beyond_bound(result, jobs) == []
