"""The measurement of request routing: same seed, same row; and the goals on one seed."""

from __future__ import annotations

from jacinthreel_bench._request_measure import DEPLOYMENTS, LOADS, measure_one

OVERLOAD = next(load for load in LOADS if load.name == "overload")


SKEWED = next(load for load in LOADS if load.name == "skewed")
END_MS = 7_000.0


def test_overload_keeps_the_slots_busy_and_the_promises() -> None:
    row = measure_one(DEPLOYMENTS[0], OVERLOAD, 1, "jacinthreel", END_MS)
    baseline = measure_one(DEPLOYMENTS[0], OVERLOAD, 1, "random", END_MS)
    assert row["told_not_run_but_ran"] == 0
    assert row["doubled"] == 0
    assert row["goodput_ratio"] >= 0.95
    assert row["p99_ms"] <= 0.5 * baseline["p99_ms"]


def test_the_same_seed_gives_the_same_row() -> None:
    rows = [measure_one(DEPLOYMENTS[1], SKEWED, 2, "jacinthreel", 5_500.0) for _ in range(2)]
    assert rows[0] == rows[1]
