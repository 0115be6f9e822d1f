"""Which guarantees and which jobs are accepted for a fixed set of workers."""

from __future__ import annotations

from pathlib import Path

import pytest
from returns.pipeline import is_successful

from jacinthreel_common import (
    Adjacency,
    CellLevel,
    GuaranteedShape,
    Host,
    HostKind,
    JobSpec,
    ResultCode,
    Workspace,
)
from jacinthreel_jobs import check_guarantees, check_job_fits

CASES = Path(__file__).parent / "cases" / "planner_cells.txt"
HOSTS = [
    Host(f"{rack}-w{n}", HostKind.WORKER, "127.0.0.1", 1, rack, "r", rack,
         cores=128, memory_gb=512, accelerators=8)  # fmt: skip
    for rack, count in (("r1", 8), ("r2", 8), ("r3", 4))
    for n in range(count)
]


def read_cases() -> list[tuple[str, list[Workspace], str]]:
    cases: list[tuple[str, list[Workspace], str]] = []
    for line in CASES.read_text().splitlines():
        if not line or line.startswith("#"):
            continue
        name, guarantees, expected = (part.strip() for part in line.split("|"))
        workspaces = [read_workspace(text) for text in guarantees.split(";")]
        cases.append((name, workspaces, expected))
    return cases


def read_workspace(text: str) -> Workspace:
    name, shapes = text.split(":")
    guarantee: list[GuaranteedShape] = []
    for shape in shapes.split(","):
        count, level = shape.split()
        guarantee.append(GuaranteedShape(CellLevel(level), int(count)))
    return Workspace(name.strip(), guarantee)


@pytest.mark.parametrize(("name", "workspaces", "expected"), read_cases())
def test_guarantees_are_accepted_or_missing_cells_are_named(
    name: str, workspaces: list[Workspace], expected: str
) -> None:
    result = check_guarantees(workspaces, HOSTS)
    if expected == "accepted":
        assert is_successful(result)
        return
    fault = result.failure()
    assert (fault.code, fault.detail) == (ResultCode.GUARANTEES_DO_NOT_FIT, expected)


@pytest.mark.parametrize(
    ("spec", "fits"),
    [
        (JobSpec("j", "w", 8, 8, adjacency=Adjacency.RACK), True),
        (JobSpec("j", "w", 9, 8, adjacency=Adjacency.RACK), False),
        (JobSpec("j", "w", 20, 8), True),
        (JobSpec("j", "w", 21, 8), False),
        (JobSpec("j", "w", 2, 4, adjacency=Adjacency.WORKER), True),
        (JobSpec("j", "w", 3, 4, adjacency=Adjacency.WORKER), False),
        (JobSpec("j", "w", 1, 1, cores_per_task=129), False),
        (JobSpec("j", "w", 1, 1, memory_gb_per_task=513), False),
        (JobSpec("j", "w", 256, 0), True),
    ],
)
def test_job_is_accepted_only_if_it_fits_on_empty_workers(spec: JobSpec, fits: bool) -> None:
    result = check_job_fits(spec, HOSTS)
    assert is_successful(result) is fits
    if not fits:
        assert result.failure().code is ResultCode.JOB_NEVER_FITS
