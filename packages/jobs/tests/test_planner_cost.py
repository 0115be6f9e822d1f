"""The number of arrangements that a plan tries does not grow with the length of the queue.

The test counts calls of `arrange` instead of measuring time, so it does not depend on the machine.
"""

from __future__ import annotations

from dataclasses import replace

import pytest

from jacinthreel_common import Config, JobRecord, JobSpec, JobState, PresetName, Workspace
from jacinthreel_jobs import GuaranteePlanner, Place, PlanTrigger, _borrowing_pass
from jacinthreel_jobs._tables import JobEntry, Tables, WorkerEntry


def tables_with_queue(jobs: int) -> Tables:
    config = Config(1, PresetName.ORDINARY, workspaces={"w": Workspace("w")})
    tables = Tables("r", config)
    for n in range(40):
        worker = WorkerEntry(f"w{n:02d}", "z", f"r{n // 8}", "127.0.0.1", 1, 8, 128, 512)
        worker.free_accelerators, worker.free_cores, worker.free_memory_gb = 8, 128, 512
        tables.workers_by_id[worker.worker_id] = worker
    gang = JobSpec("gang", "w", 256, 1, urgent=True)
    specs = [
        gang,
        *(replace(gang, job_id=f"j{n}", tasks=1 + n % 20, urgent=False) for n in range(jobs)),
    ]
    for n, spec in enumerate(specs):
        record = JobRecord(spec, JobState.QUEUED, 0)
        tables.queued_by_id[spec.job_id] = JobEntry(record, 1, submitted_ms=n, expected_run_s=60.0)
    return tables


def count_arrangements(jobs: int, monkeypatch: pytest.MonkeyPatch) -> tuple[int, list[str]]:
    tried = 0
    arrange = _borrowing_pass.arrange

    def counting_arrange(*arguments):  # type: ignore[no-untyped-def]
        nonlocal tried
        tried += 1
        return arrange(*arguments)

    with monkeypatch.context() as patch:
        patch.setattr(_borrowing_pass, "arrange", counting_arrange)
        decisions = GuaranteePlanner().plan(tables_with_queue(jobs), PlanTrigger.TICK, 10_000)
    return tried, [d.job_id for d in decisions if isinstance(d, Place)]


def test_arrangements_tried_do_not_grow_with_the_queue(monkeypatch: pytest.MonkeyPatch) -> None:
    few, _ = count_arrangements(500, monkeypatch)
    many, placed = count_arrangements(5_000, monkeypatch)
    assert "gang" in placed
    assert many <= few + 20, "at most one more arrangement for each job shape"
