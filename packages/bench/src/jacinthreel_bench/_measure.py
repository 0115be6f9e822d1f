"""Runs the measurements in parallel processes and writes `build/measure.json` and plots."""

from __future__ import annotations

import json
from collections.abc import Callable
from concurrent.futures import Future, ProcessPoolExecutor
from pathlib import Path
from typing import Any, Final

from jacinthreel_bench._job_measure import POLICIES, measure_jobs
from jacinthreel_bench._plots import plot_jobs, plot_requests
from jacinthreel_bench._report import print_goals, print_tables
from jacinthreel_bench._request_measure import DEPLOYMENTS as REQUEST_DEPLOYMENTS
from jacinthreel_bench._request_measure import LOADS as REQUEST_LOADS
from jacinthreel_bench._request_measure import POLICIES as REQUEST_POLICIES
from jacinthreel_bench._request_measure import measure_request_policy
from jacinthreel_bench._workloads import DEPLOYMENTS, LOADS

MAX_PROCESSES: Final = 10

Row = dict[str, Any]
Task = Callable[[], Row]


def submit_job_measurements(pool: ProcessPoolExecutor, seeds: list[int]) -> list[Future[Row]]:
    """Starts the measurements of job scheduling in the pool."""
    return [
        pool.submit(measure_jobs, deployment.name, load, seed, policy)
        for deployment in DEPLOYMENTS
        for load in LOADS
        for seed in seeds
        for policy in POLICIES
    ]


def measure_request_row(deployment_name: str, load_name: str, seed: int, policy: str) -> Row:
    """Measures request routing of one policy on one load, both given by name."""
    deployment = next(d for d in REQUEST_DEPLOYMENTS if d.name == deployment_name)
    load = next(item for item in REQUEST_LOADS if item.name == load_name)
    return {"kind": "requests", **measure_request_policy(deployment, load, seed, policy)}


def submit_request_measurements(pool: ProcessPoolExecutor, seeds: list[int]) -> list[Future[Row]]:
    """Starts the measurements of request routing in the pool."""
    return [
        pool.submit(measure_request_row, deployment.name, load.name, seed, policy)
        for deployment in REQUEST_DEPLOYMENTS
        for load in REQUEST_LOADS
        for seed in seeds
        for policy in REQUEST_POLICIES
    ]


def run_measurements(seeds: list[int], output_dir: Path, parts: tuple[str, ...]) -> list[Row]:
    """Runs the given parts (`jobs`, `requests`), prints tables and writes the rows and plots."""
    output_dir.mkdir(parents=True, exist_ok=True)
    futures: list[Future[Row]] = []
    with ProcessPoolExecutor(MAX_PROCESSES) as pool:
        if "jobs" in parts:
            futures += submit_job_measurements(pool, seeds)
        if "requests" in parts:
            futures += submit_request_measurements(pool, seeds)
        rows = [future.result() for future in futures]
    (output_dir / "measure.json").write_text(json.dumps(rows, indent=1) + "\n")
    print_tables(rows)
    print_goals(rows)
    if "jobs" in parts:
        plot_jobs(rows, output_dir)
    if "requests" in parts:
        plot_requests(rows, output_dir)
    return rows
