"""Short rehearsals with fixed seeds for CI."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from pathlib import Path

from rehearsal_judge import FirstRun
from rehearsal_load import DrawnJob, draw_load, draw_passing_load, first_run_bound_ms
from rehearsal_run import RehearsalResult, RehearsalRun
from soak_run import SoakSize

SIZE = SoakSize(nodes=2, executors=16)
PASSING_TRAFFIC_S = 22.0  # Longer than the bound, so that a gang that is always passed exceeds it.
MIXED_TRAFFIC_S = 12.0
MIXED_LOAD = 0.4  # Narrow jobs do not shrink further with a fleet this small.


def rehearse(seed: int, folder: Path, jobs: list[DrawnJob]) -> RehearsalResult:
    """Plays jobs without faults."""
    return asyncio.run(RehearsalRun(seed, folder, SIZE, drawn=jobs).rehearse())


def waits_beyond_bound(result: RehearsalResult, jobs: Sequence[DrawnJob]) -> list[FirstRun]:
    """Returns the waits for the first run that are longer than allowed without faults."""
    bound_ms = first_run_bound_ms(jobs, has_faults=False)
    return [first_run for first_run in result.first_runs if first_run.wait_ms > bound_ms]


def test_wide_gang_is_not_passed_without_end_by_later_gangs_of_its_queue(tmp_path: Path) -> None:
    jobs = draw_passing_load(1, SIZE.executors, PASSING_TRAFFIC_S)
    result = rehearse(1, tmp_path, jobs)
    assert result.violations == []
    assert [str(first_run) for first_run in waits_beyond_bound(result, jobs)] == []


def test_no_job_of_mixed_queues_waits_without_bound(tmp_path: Path) -> None:
    jobs = draw_load(12, SIZE.executors, MIXED_TRAFFIC_S, MIXED_LOAD)
    result = rehearse(12, tmp_path, jobs)
    assert result.violations == []
    assert [str(first_run) for first_run in waits_beyond_bound(result, jobs)] == []
