"""Measures job scheduling of the product and two baselines on the same work, in virtual time."""

from __future__ import annotations

from typing import Any, Final

from jacinthreel_bench._baselines import BackfillBestFit, FifoFirstFit
from jacinthreel_bench._job_guarantee_check import GuaranteeCheck
from jacinthreel_bench._job_metrics import JobMetrics
from jacinthreel_bench._job_simulation import JobSimulation
from jacinthreel_bench._workloads import DEPLOYMENTS, make_workload
from jacinthreel_jobs import GuaranteePlanner, Planner

POLICIES: Final = ("fifo_first_fit", "backfill_best_fit", "jacinthreel")
RUN_LIMIT_MS: Final = 3 * 3_600_000


def make_planner(policy: str) -> Planner:
    """Returns a new planner of a policy; raises `ValueError` for an unknown policy."""
    match policy:
        case "fifo_first_fit":
            return FifoFirstFit()
        case "backfill_best_fit":
            return BackfillBestFit()
        case "jacinthreel":
            return GuaranteePlanner()
    raise ValueError(f"unknown policy {policy!r}")


def measure_jobs(deployment_name: str, load: str, seed: int, policy: str) -> dict[str, Any]:
    """Simulates one policy on one workload and returns its row of metrics."""
    deployment = next(d for d in DEPLOYMENTS if d.name == deployment_name)
    workload = make_workload(deployment, load, seed)
    metrics = JobMetrics(GuaranteeCheck(deployment.workspaces, deployment.hosts()))
    simulation = JobSimulation(deployment, workload, make_planner(policy), metrics.sample)
    simulation.run(RUN_LIMIT_MS)
    row: dict[str, Any] = {
        "kind": "jobs",
        "deployment": deployment.name,
        "load": load,
        "seed": seed,
        "policy": policy,
    }
    row.update(metrics.build_row(simulation))
    return row
