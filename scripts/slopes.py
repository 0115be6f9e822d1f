"""Measures the capacity slopes and writes `build/slopes.json`.

`jacinthreel_bench` measures the decision logic in isolation; this script also measures real
processes on loopback, unless `--cores-only` is given.  Byte rates are those of the loopback
interface, headers included, so nothing else should use the interface during a run.  The interface
counts each packet once, but a host's traffic includes both the packets that it sends and those that
it receives.  A host's rate is therefore computed as twice its share of the interface's rate.  This
overestimates it, because traffic with the stand-ins is counted twice as well.
"""

from __future__ import annotations

import argparse
import json
import shutil
import sys
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any, Final

import psutil
from _local_cluster import ClusterShape, LocalCluster, call, wait_until

from jacinthreel_bench import (
    Point,
    Quantity,
    SlopeRow,
    fit_slope,
    measure_config,
    measure_owner,
    measure_queue,
)
from jacinthreel_common import HostKind

ROOT: Final = Path(__file__).resolve().parent.parent
DIRECTORY: Final = ROOT / "build" / "slopes"
OUTPUT: Final = ROOT / "build" / "slopes.json"
HOST_COUNTS: Final = (3, 6, 9, 12)
WORKERS_PER_ZONE: Final = (4, 12, 25, 50)
REQUEST_RATES: Final = (0, 20, 40, 80)
SAMPLE_S: Final = 20.0
IDLE_SAMPLE_S: Final = 60.0
SETTLE_S: Final = 3.0
TASKS_PER_WORKER: Final = 6
GANG_TASKS: Final = 48
TARGET_REGIONS: Final = 7
REGION_WORKERS: Final = 2_600 / TARGET_REGIONS
TARGET_HOSTS: Final = 9
TARGET_REQUESTS_PER_S: Final = 100
URGENT_TRIES: Final = 5
LONG_RUNNING_COMMAND: Final = "run=100000"
ZONE: Final = "fukuoka"


@dataclass(slots=True)
class Usage:
    """Resource usage of the processes during a sample.

    `cpu_percent` and `memory_mb` are keyed by process name; `bytes_per_s` is the rate of the whole
    loopback interface.
    """

    cpu_percent: dict[str, float]
    memory_mb: dict[str, float]
    bytes_per_s: float
    table_reads_per_s: float
    table_writes_per_s: float

    def cpu_of(self, role: str) -> list[float]:
        """Returns the CPU usage of each process of a role, in percent of a core."""
        return [cpu for name, cpu in self.cpu_percent.items() if name.endswith(role)]

    def memory_of(self, role: str) -> float:
        """Returns the resident memory of the largest process of a role, in megabytes."""
        return max(size for name, size in self.memory_mb.items() if name.endswith(role))


def measure_usage(cluster: LocalCluster, duration_s: float) -> Usage:
    """Measures the resource usage of all processes of a cluster for some seconds."""
    processes = {
        name: psutil.Process(process.pid) for name, process in cluster.processes_by_name.items()
    }
    before = {name: sum(process.cpu_times()[:2]) for name, process in processes.items()}
    bytes_before = psutil.net_io_counters(pernic=True)["lo"].bytes_sent
    table_before = cluster.call_platform("GET", "/v1/counters")
    started_s = time.monotonic()
    time.sleep(duration_s)
    took_s = time.monotonic() - started_s
    bytes_after = psutil.net_io_counters(pernic=True)["lo"].bytes_sent
    table_after = cluster.call_platform("GET", "/v1/counters")
    cpu = {
        name: (sum(process.cpu_times()[:2]) - before[name]) / took_s * 100
        for name, process in processes.items()
    }
    memory = {name: process.memory_info().rss / 1e6 for name, process in processes.items()}
    return Usage(
        cpu,
        memory,
        (bytes_after - bytes_before) / took_s,
        (table_after["rows_read"] - table_before["rows_read"]) / took_s,
        (table_after["rows_written"] - table_before["rows_written"]) / took_s,
    )


def run_cluster(shape: ClusterShape, measure: Callable[[LocalCluster], None]) -> None:
    """Starts a cluster, measures it, and stops it even if the measurement fails."""
    shutil.rmtree(DIRECTORY, ignore_errors=True)
    cluster = LocalCluster(DIRECTORY, shape)
    try:
        cluster.start()
        time.sleep(SETTLE_S)
        measure(cluster)
    finally:
        cluster.stop()


def measure_hosts() -> list[SlopeRow]:
    """Measures the idle load as a function of the number of entry hosts."""
    points: dict[str, list[Point]] = {
        name: [] for name in ("cpu", "memory", "bytes", "reads", "writes", "change")
    }

    def measure(cluster: LocalCluster) -> None:
        hosts = cluster.shape.entry_hosts
        usage = measure_usage(cluster, IDLE_SAMPLE_S if hosts in (6, 9) else SAMPLE_S)
        router_cpu, scheduler_cpu = usage.cpu_of("router"), usage.cpu_of("scheduler")
        points["cpu"].append(Point(hosts, (sum(router_cpu) + sum(scheduler_cpu)) / hosts))
        points["memory"].append(
            Point(hosts, usage.memory_of("router") + usage.memory_of("scheduler"))
        )
        points["bytes"].append(Point(hosts, 2 * usage.bytes_per_s / hosts / 1000))
        points["reads"].append(Point(hosts, usage.table_reads_per_s))
        points["writes"].append(Point(hosts, usage.table_writes_per_s))
        points["change"].append(Point(hosts, _measure_change_ms(cluster)))
        print(f"  {hosts} entry hosts: {usage}")

    for hosts in HOST_COUNTS:
        run_cluster(ClusterShape(workers=1, executors=1, entry_hosts=hosts), measure)
    x_label = "entry hosts of a region"
    idle, store = "entry host, idle", "table service"
    all_entry_hosts = TARGET_HOSTS * TARGET_REGIONS
    quantities = {
        "cpu": Quantity(idle, "both processes", "% of a core", x_label, TARGET_HOSTS, 1.3),
        "memory": Quantity(idle, "resident memory", "MB", x_label, TARGET_HOSTS, 128),
        "bytes": Quantity(idle, "bytes on the wire", "kB/s", x_label, TARGET_HOSTS, 6),
        "reads": Quantity(store, "rows read, idle", "1/s", x_label, all_entry_hosts, 2_000),
        "writes": Quantity(store, "rows written, idle", "1/s", x_label, all_entry_hosts, 300),
        "change": Quantity(
            "configuration", "in force everywhere", "ms", x_label, all_entry_hosts, 3_000
        ),
    }
    return [fit_slope(quantity, points[name]) for name, quantity in quantities.items()]


def _measure_change_ms(cluster: LocalCluster) -> float:
    """Returns the time from sending a change until every process reports it as applied."""
    port = cluster.router_ports()[0]
    started_s = time.monotonic()
    body = {"reason": "measurement"}
    version = call(port, "POST", f"/v1/zones/{ZONE}/out", body).json()["version"]

    def is_applied_everywhere() -> bool:
        status = call(port, "GET", "/v1/status").json()
        return all(line["config_version"] >= version for line in status["processes"])

    wait_until("the change is applied", is_applied_everywhere)
    took_ms = (time.monotonic() - started_s) * 1000
    call(port, "POST", f"/v1/zones/{ZONE}/in", {})
    return took_ms


def measure_workers() -> list[SlopeRow]:
    """Measures owner load, urgent starts and takeover as functions of the number of workers."""
    points: dict[str, list[Point]] = {
        name: [] for name in ("cpu", "standby", "memory", "bytes", "urgent", "takeover")
    }

    def measure(cluster: LocalCluster) -> None:
        workers = len(cluster.host_ids(HostKind.WORKER))
        _fill_workers(cluster, workers)
        owner = cluster.owner_id()
        usage = measure_usage(cluster, SAMPLE_S)
        standby = [cpu for n, cpu in usage.cpu_percent.items() if n.endswith("scheduler")]
        points["cpu"].append(Point(workers, usage.cpu_percent[f"{owner}/scheduler"]))
        points["standby"].append(Point(workers, min(standby)))
        points["memory"].append(Point(workers, usage.memory_mb[f"{owner}/scheduler"]))
        points["bytes"].append(Point(workers, usage.bytes_per_s / 1000))
        for number in range(URGENT_TRIES):
            points["urgent"].append(Point(workers, _measure_urgent_start_ms(cluster, number)))
        points["takeover"].append(Point(workers, _measure_takeover_ms(cluster, str(owner))))
        print(f"  {workers} workers: {usage}")

    for workers in WORKERS_PER_ZONE:
        run_cluster(ClusterShape(workers=workers, executors=1, entry_hosts=3), measure)
    x_label = "workers of a region"
    owner, standby, whole_process = "shard owner", "standby owner", "whole process"
    quantities = {
        "cpu": Quantity(owner, whole_process, "% of a core", x_label, REGION_WORKERS, 1.3),
        "standby": Quantity(standby, whole_process, "% of a core", x_label, REGION_WORKERS, 1.3),
        "memory": Quantity(owner, "resident memory", "MB", x_label, REGION_WORKERS, 128),
        "urgent": Quantity(owner, "urgent start", "ms", x_label, REGION_WORKERS, 1_000),
        "takeover": Quantity(
            standby, "takeover after a kill", "ms", x_label, REGION_WORKERS, 15_000
        ),
    }
    rows = [fit_slope(quantity, points[name]) for name, quantity in quantities.items()]
    return [*rows, _fit_worker_link(points["bytes"])]


def _fit_worker_link(points: list[Point]) -> SlopeRow:
    """Returns the row for the byte rate on the link of one worker.

    It is the slope of the total byte rate over the number of workers.
    The intercept is subtracted: it is the traffic among the entry hosts, which does not pass
    through a worker's link.
    """
    quantity = Quantity("worker link", "bytes on the wire", "kB/s", "workers", 1, limit=6)
    total = fit_slope(quantity, points)
    links_only = [Point(point.x, point.y - total.intercept) for point in points]
    return fit_slope(quantity, links_only)


def _fill_workers(cluster: LocalCluster, workers: int) -> None:
    """Submits long-running gangs, `TASKS_PER_WORKER` tasks per worker, and waits until they run."""
    port = cluster.router_ports()[0]
    call(port, "PUT", "/v1/workspaces/lab", {"guarantee": [], "weight": 1})
    remaining = workers * TASKS_PER_WORKER
    number = 0
    while remaining > 0:
        tasks = min(GANG_TASKS, remaining)
        _submit(port, f"fill-{number}", tasks, urgent=False)
        remaining -= tasks
        number += 1
    wait_until(
        "all gangs run",
        lambda: all(
            job["state"] == "running"
            for job in call(port, "GET", "/v1/jobs?workspace=lab").json()["jobs"]
        ),
        timeout_s=60,
    )


def _submit(port: int, job_id: str, tasks: int, urgent: bool) -> None:
    spec: dict[str, Any] = {
        "job_id": job_id,
        "workspace": "lab",
        "tasks": tasks,
        "accelerators_per_task": 0,
        "urgent": urgent,
        "command": LONG_RUNNING_COMMAND,
    }
    answer = call(port, "POST", "/v1/jobs", spec)
    if answer.status not in (200, 201, 202):
        raise RuntimeError(f"job {job_id} was refused: {answer.body!r}")


def _measure_urgent_start_ms(cluster: LocalCluster, number: int) -> float:
    """Returns the time from the submission of an urgent job until its worker has started it."""
    job_id = f"urgent-{number}"
    started_ms = time.monotonic_ns() / 1e6
    _submit(cluster.router_ports()[0], job_id, 1, urgent=True)
    wait_until("an urgent start", lambda: bool(cluster.task_starts(job_id)))
    return float(cluster.task_starts(job_id)[0]["at_ms"] - started_ms)


def _measure_takeover_ms(cluster: LocalCluster, owner: str) -> float:
    """Returns the time from killing the owner's host until a new owner has started a new job."""
    started_ms = time.monotonic_ns() / 1e6
    cluster.kill_host(owner)
    port = cluster.router_ports()[0]

    def is_job_accepted() -> bool:
        spec = {"job_id": "next", "workspace": "lab", "tasks": 1, "accelerators_per_task": 0}
        return call(port, "POST", "/v1/jobs", spec).status in (200, 201, 202)

    wait_until("a new owner", is_job_accepted, timeout_s=60)
    wait_until("a start by the new owner", lambda: bool(cluster.task_starts("next")))
    return float(cluster.task_starts("next")[0]["at_ms"] - started_ms)


def measure_requests() -> list[SlopeRow]:
    """Measures the CPU usage of the routers as a function of the request rate."""
    cpu: list[Point] = []

    def measure(cluster: LocalCluster) -> None:
        for rate in REQUEST_RATES:
            with ThreadPoolExecutor(32) as callers:
                sending = callers.submit(_send_requests, cluster, rate, SAMPLE_S)
                usage = measure_usage(cluster, SAMPLE_S)
                sending.result()
            cpu.append(Point(rate, sum(usage.cpu_of("router"))))

    run_cluster(ClusterShape(workers=1, executors=8, entry_hosts=3), measure)
    quantity = Quantity(
        "entry hosts, requests",
        "routers together",
        "% of a core",
        "requests/s",
        TARGET_REQUESTS_PER_S,
    )
    return [fit_slope(quantity, cpu)]


def _send_requests(cluster: LocalCluster, rate: int, duration_s: float) -> None:
    ports = cluster.router_ports()
    end_s = time.monotonic() + duration_s
    with ThreadPoolExecutor(32) as callers:
        number = 0
        while rate and time.monotonic() < end_s:
            port = ports[number % len(ports)]
            headers = {"X-Idempotent": "true"}
            callers.submit(call, port, "POST", "/v1/requests/lab", b"run=20", headers)
            number += 1
            time.sleep(1 / rate)


def report(rows: list[SlopeRow]) -> None:
    """Prints the rows and writes them to `OUTPUT` as JSON."""
    for row in rows:
        limit = "-" if row.limit is None else f"{row.limit:g}"
        verdict = "" if row.limit is None else ("holds" if row.holds else "DOES NOT HOLD")
        print(
            f"{row.role:22} {row.quantity:28} {row.intercept:10.4g} + {row.slope:10.4g} x"
            f"  +-{row.spread:8.3g}  at {row.target:7g} {row.x}: {row.at_target:9.4g} {row.unit}"
            f"  limit {limit} {verdict}"
        )
    OUTPUT.parent.mkdir(exist_ok=True)
    OUTPUT.write_text(json.dumps([asdict(row) for row in rows], indent=1))
    print(f"wrote {OUTPUT.relative_to(ROOT)}")


def main(arguments: list[str]) -> int:
    """Runs all measurements and reports them; returns the exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--cores-only", action="store_true")
    options = parser.parse_args(arguments)
    rows = measure_config() + measure_owner() + measure_queue()
    if not options.cores_only:
        rows += measure_hosts() + measure_workers() + measure_requests()
    report(rows)
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
