"""Measures job decisions: the product against two baselines on the same work, in virtual time."""

from __future__ import annotations

from typing import Any, Final

from jacinthreel_bench._baselines import BackfillBestFit, FifoFirstFit
from jacinthreel_bench._job_guarantee_check import GuaranteeCheck
from jacinthreel_bench._job_meter import JobMeter
from jacinthreel_bench._job_world import World
from jacinthreel_bench._workloads import DEPLOYMENTS, make_workload
from jacinthreel_jobs import GuaranteePlanner, Planner

POLICIES: Final = ("fifo_first_fit", "backfill_best_fit", "jacinthreel")
RUN_LIMIT_MS: Final = 3 * 3_600_000


def make_planner(policy: str) -> Planner:
    """A new planner of a policy."""
    match policy:
        case "fifo_first_fit":
            return FifoFirstFit()
        case "backfill_best_fit":
            return BackfillBestFit()
        case "jacinthreel":
            return GuaranteePlanner()
    raise ValueError(f"no policy {policy!r}")


def measure_jobs(deployment_name: str, load: str, seed: int, policy: str) -> dict[str, Any]:
    """Runs one policy over one workload and returns its row."""
    deployment = next(d for d in DEPLOYMENTS if d.name == deployment_name)
    workload = make_workload(deployment, load, seed)
    meter = JobMeter(GuaranteeCheck(deployment.workspaces, deployment.hosts()))
    world = World(deployment, workload, make_planner(policy), meter.sample)
    world.run(RUN_LIMIT_MS)
    row: dict[str, Any] = {
        "kind": "jobs",
        "deployment": deployment.name,
        "load": load,
        "seed": seed,
        "policy": policy,
    }
    row.update(meter.row(world))
    return row
