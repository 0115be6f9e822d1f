"""Tests that request measurements are reproducible and meet the goals on one seed."""

from __future__ import annotations

from jacinthreel_bench._request_measure import DEPLOYMENTS, LOADS, measure_request_policy

OVERLOAD = next(load for load in LOADS if load.name == "overload")


SKEWED = next(load for load in LOADS if load.name == "skewed")
END_MS = 7_000.0


def test_overload_has_high_goodput_and_low_latency_without_false_results() -> None:
    row = measure_request_policy(DEPLOYMENTS[0], OVERLOAD, 1, "jacinthreel", END_MS)
    baseline = measure_request_policy(DEPLOYMENTS[0], OVERLOAD, 1, "random", END_MS)
    assert row["told_not_run_but_ran"] == 0
    assert row["doubled"] == 0
    assert row["goodput_ratio"] >= 0.95
    assert row["p99_ms"] <= 0.5 * baseline["p99_ms"]


def test_same_seed_produces_same_row() -> None:
    rows = [
        measure_request_policy(DEPLOYMENTS[1], SKEWED, 2, "jacinthreel", 5_500.0) for _ in range(2)
    ]
    assert rows[0] == rows[1]
