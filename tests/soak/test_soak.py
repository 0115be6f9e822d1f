"""A short seeded soak for CI, and every seed that has failed before, with its cause."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest
from soak_run import SoakRun, SoakSize

CI_SEEDS = [1, 2]

FAILED_BEFORE: dict[int, str] = {
    62: "a new life of an executor was sent the acknowledgement of the earlier one",
}
"""Seeds that failed once and are not run above, with a line on the cause.

Seed 1: a stop without an answer was not repeated; the same acknowledgement as seed 62; and a
waiting report of an executor's earlier life that the stand-in answered for the new one.
Seed 2: each repeated stop put off the moment from which a run that isn't reported is gone.
"""


@pytest.mark.parametrize("seed", [*CI_SEEDS, *FAILED_BEFORE])
def test_promises_hold_under_faults(seed: int, tmp_path: Path) -> None:
    assert asyncio.run(SoakRun(seed, tmp_path, SoakSize()).play()) == []
