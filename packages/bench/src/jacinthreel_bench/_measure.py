"""Runs all measurements over processes, and writes `build/measure.json`, a table and plots."""

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
from jacinthreel_bench._request_measure import measure_one
from jacinthreel_bench._workloads import DEPLOYMENTS, LOADS

MAX_PROCESSES: Final = 10

Row = dict[str, Any]
Task = Callable[[], Row]


def job_rows(pool: ProcessPoolExecutor, seeds: list[int]) -> list[Future[Row]]:
    """Starts the measurements of job decisions."""
    return [
        pool.submit(measure_jobs, deployment.name, load, seed, policy)
        for deployment in DEPLOYMENTS
        for load in LOADS
        for seed in seeds
        for policy in POLICIES
    ]


def request_row(deployment_name: str, load_name: str, seed: int, policy: str) -> Row:
    """Measures request routing of one policy on one load."""
    deployment = next(d for d in REQUEST_DEPLOYMENTS if d.name == deployment_name)
    load = next(item for item in REQUEST_LOADS if item.name == load_name)
    return {"kind": "requests", **measure_one(deployment, load, seed, policy)}


def request_rows(pool: ProcessPoolExecutor, seeds: list[int]) -> list[Future[Row]]:
    """Starts the measurements of request routing."""
    return [
        pool.submit(request_row, deployment.name, load.name, seed, policy)
        for deployment in REQUEST_DEPLOYMENTS
        for load in REQUEST_LOADS
        for seed in seeds
        for policy in REQUEST_POLICIES
    ]


def run_measurements(seeds: list[int], build: Path, parts: tuple[str, ...]) -> list[Row]:
    """Runs the parts asked for (`jobs`, `requests`), and writes and prints what came out."""
    build.mkdir(parents=True, exist_ok=True)
    futures: list[Future[Row]] = []
    with ProcessPoolExecutor(MAX_PROCESSES) as pool:
        if "jobs" in parts:
            futures += job_rows(pool, seeds)
        if "requests" in parts:
            futures += request_rows(pool, seeds)
        rows = [future.result() for future in futures]
    (build / "measure.json").write_text(json.dumps(rows, indent=1) + "\n")
    print_tables(rows)
    print_goals(rows)
    if "jobs" in parts:
        plot_jobs(rows, build)
    if "requests" in parts:
        plot_requests(rows, build)
    return rows
