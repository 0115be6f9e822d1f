"""Prints tables of measured rows and evaluates the rows against the goals."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, Final

Row = dict[str, Any]

JOB_COLUMNS: Final = (
    "deployment",
    "load",
    "seed",
    "policy",
    "jobs",
    "mean_jct_s",
    "p99_jct_s",
    "large_gang_mean_wait_s",
    "fragmentation",
    "zone_change_work_ratio",
    "urgent_p99_start_s",
    "preemptions",
    "guarantee_breaches",
    "duplicate_runs",
    "partial_gangs",
    "starts_in_closed_zone",
)
REQUEST_COLUMNS: Final = (
    "deployment",
    "load",
    "seed",
    "policy",
    "goodput_ratio",
    "p50_ms",
    "p99_ms",
    "told_not_run_but_ran",
    "doubled",
)
# Counts of safety violations, which must be zero.
SAFETY_KEYS: Final = (
    "guarantee_breaches",
    "duplicate_runs",
    "partial_gangs",
    "starts_in_closed_zone",
)
# Limits of the mean job completion time (JCT), relative to the better baseline.
MAX_MEAN_JCT_RATIOS: Final = {"association": 0.70, "depot": 0.80}
PRODUCT: Final = "jacinthreel"


@dataclass(frozen=True, slots=True)
class GoalResult:
    """The result of a goal on one workload: the figure, its limit, and whether it is met."""

    deployment: str
    load: str
    seed: int
    goal: str
    figure: float
    limit: str
    holds: bool


def print_tables(rows: list[Row]) -> None:
    """Prints the rows of each kind as a table."""
    for kind, columns in (("jobs", JOB_COLUMNS), ("requests", REQUEST_COLUMNS)):
        chosen = [row for row in rows if row["kind"] == kind]
        if not chosen:
            continue
        cells = [[str(row[column]) for column in columns] for row in chosen]
        widths = [max(len(c), *(len(r[i]) for r in cells)) for i, c in enumerate(columns)]
        for line in [list(columns), *cells]:
            print("  ".join(text.rjust(width) for text, width in zip(line, widths, strict=True)))
        print()


def evaluate_job_goals(rows: list[Row]) -> list[GoalResult]:
    """Evaluates each goal of job scheduling on each deployment, load and seed."""
    rows_by_case: dict[tuple[str, str, int], dict[str, Row]] = {}
    for row in rows:
        if row["kind"] == "jobs":
            case = (row["deployment"], row["load"], row["seed"])
            rows_by_case.setdefault(case, {})[row["policy"]] = row
    results: list[GoalResult] = []
    for case, row_by_policy in rows_by_case.items():
        product = row_by_policy[PRODUCT]
        baselines = [row for policy, row in row_by_policy.items() if policy != PRODUCT]
        for goal, figure, limit, holds in _evaluate_case(product, baselines):
            results.append(GoalResult(*case, goal, round(figure, 3), limit, holds))
    return results


def _evaluate_case(product: Row, baselines: list[Row]) -> list[tuple[str, float, str, bool]]:
    goals: list[tuple[str, float, str, bool]] = []
    limits = {
        "mean_jct_s": MAX_MEAN_JCT_RATIOS[product["deployment"]],
        "large_gang_mean_wait_s": 0.5,
        "fragmentation": 0.5,
    }
    for key, limit in limits.items():
        best = min(row[key] for row in baselines)
        ratio = product[key] / best if best else (0.0 if not product[key] else float("inf"))
        goals.append((key, ratio, f"<= {limit} of the better baseline", ratio <= limit))
    ratio = product["zone_change_work_ratio"]
    best = max(row["zone_change_work_ratio"] for row in baselines)
    holds = ratio >= 0.95 and ratio > best
    goals.append(("zone_change_work_ratio", ratio, f">= 0.95 and > {best}", holds))
    urgent = product["urgent_p99_start_s"]
    goals.append(("urgent_p99_start_s", urgent, "<= 1.0", urgent <= 1.0))
    for key in SAFETY_KEYS:
        goals.append((key, product[key], "0", product[key] == 0))
    return goals


def print_goals(rows: list[Row]) -> None:
    """Prints for each job scheduling goal the number of workloads that meet it, and the figures."""
    results = evaluate_job_goals(rows)
    for deployment in sorted({result.deployment for result in results}):
        for goal in dict.fromkeys(result.goal for result in results):
            chosen = [r for r in results if r.deployment == deployment and r.goal == goal]
            met_count = sum(result.holds for result in chosen)
            figures = ", ".join(f"{r.load[:6]}/{r.seed} {r.figure}" for r in chosen)
            print(f"{deployment} {goal}: holds on {met_count} of {len(chosen)} ({figures})")
