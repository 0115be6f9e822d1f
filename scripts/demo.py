"""Demonstrates the system on loopback.

Starts the stand-ins and six entry hosts as separate processes, serves requests, runs a gang job,
takes an availability zone out of service and returns it, switches the preset, kills an entry host,
prints the result of each step and stops all processes.  Exits 0 if every step succeeded.  With
`--keep`, or `KEEP=1` in the environment, the processes run until Ctrl-C.
"""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any, Final

from _local_cluster import ClusterError, ClusterShape, LocalCluster, call, wait_until

from jacinthreel_common import HostKind
from jacinthreel_standins import expected_answer

ROOT: Final = Path(__file__).resolve().parent.parent
DIRECTORY: Final = ROOT / "build" / "demo"
REQUESTS: Final = 30
COMMAND_TIMEOUT_S: Final = 90.0
TIME_LIMIT_S: Final = 300
ZONE: Final = "kumamoto"
START_LIMIT_MS: Final = 3_000
"""Time after the acceptance of a zone outage from which no task may start in the zone."""


class Demo:
    """The steps of the demo; each prints its result and raises `ClusterError` if it fails."""

    def __init__(self, cluster: LocalCluster) -> None:
        self._cluster = cluster

    def run(self) -> None:
        """Runs all steps in order."""
        self.show_status()
        self.create_workspace()
        self.serve_requests()
        self.run_gang("gang-1", tasks=4, run_s=2)
        self.take_zone_out()
        self.bring_zone_in()
        self.switch_preset()
        self.kill_entry_host()

    def show_status(self) -> None:
        """Prints the numbers of processes, workers and zones, and the shard owner."""
        status = self.run_json_command("status")
        answering = sum(line["code"] == 0 for line in status["processes"])
        check(
            answering == 2 * self._cluster.shape.entry_hosts, f"only {answering} processes answer"
        )
        owner = status["shard"]["host_id"]
        workers = len(status["shard"]["workers"])
        print_step(f"{answering} processes on 6 entry hosts answer; {owner} owns the shard")
        print_step(f"{workers} workers in {len(status['zones'])} zones")

    def create_workspace(self) -> None:
        """Creates a workspace and checks that an impossible guarantee is refused."""
        answer = self.run_json_command("workspace", "set", "labels", "--guarantee", "worker=2")
        print_step(
            f"workspace labels guarantees 2 workers (configuration version {answer['version']})"
        )
        refused = self.run_command("workspace", "set", "greedy", "--guarantee", "worker=50")
        check(refused.returncode == 1, "an impossible guarantee was accepted")
        print_step(f"workspace greedy refused: {refused.stderr.splitlines()[0]}")

    def serve_requests(self) -> None:
        """Sends concurrent requests to all routers and checks each answer."""
        ports = [host.port for host in self._cluster.entry_hosts()]

        def send(number: int) -> bool:
            request_id = f"demo-{number}"
            headers = {"X-Request-Id": request_id, "X-Idempotent": "true"}
            body = f"label {number} run=30".encode()
            port = ports[number % len(ports)]
            answer = call(port, "POST", "/v1/requests/labels", body, headers)
            return answer.status == 200 and answer.body == expected_answer(
                request_id, "labels", body
            )

        with ThreadPoolExecutor(8) as callers:
            answered = sum(callers.map(send, range(REQUESTS)))
        check(answered == REQUESTS, f"{answered} of {REQUESTS} callers got their own answer")
        print_step(
            f"{answered} of {REQUESTS} requests through 6 routers answered, each to its own caller"
        )

    def run_gang(self, job_id: str, tasks: int, run_s: int) -> None:
        """Runs a gang job until it ends and checks that every task started once."""
        self.submit(job_id, tasks, run_s)
        job = self.run_json_command("job", "wait", job_id, "--timeout-s", "60")
        check(job["state"] == "finished", f"job {job_id} is {job['state']}")
        starts = self._cluster.task_starts(job_id)
        check(len(starts) == tasks, f"{len(starts)} task starts instead of {tasks}")
        spread_ms = starts[-1]["at_ms"] - starts[0]["at_ms"]
        workers = sorted({start["worker_id"] for start in starts})
        print_step(
            f"gang {job_id}: {tasks} tasks started within {spread_ms} ms on {', '.join(workers)}"
        )
        print_step(f"gang {job_id} finished; every task ran once")

    def take_zone_out(self) -> None:
        """Takes a zone out of service while jobs arrive, and checks that no task starts there."""
        for number in range(3):
            self.submit(f"before-{number}", tasks=2, run_s=3)
        started_s = time.monotonic()
        answer = self.run_json_command(
            "zone", "out", ZONE, "--reason", "power work", "--drain-s", "1", "--wait"
        )
        accepted_ms = time.monotonic_ns() // 1_000_000
        took_s = time.monotonic() - started_s
        print_step(
            f"zone {ZONE} out: version {answer['version']} applied everywhere, {took_s:.1f} s"
        )
        for number in range(3):
            self.submit(f"during-{number}", tasks=2, run_s=1)
        for number in range(3):
            self.run_json_command("job", "wait", f"during-{number}", "--timeout-s", "60")
        workers_in_zone = self._cluster.host_ids(HostKind.WORKER, ZONE)
        late_starts = [
            start
            for start in self._cluster.task_starts()
            if start["worker_id"] in workers_in_zone
            and start["at_ms"] > accepted_ms + START_LIMIT_MS
        ]
        check(not late_starts, f"tasks started in zone {ZONE}: {late_starts}")
        print_step(f"3 more gangs finished in the other zones; no task started in {ZONE}")

    def bring_zone_in(self) -> None:
        """Returns the zone to service and runs a job that needs its workers."""
        answer = self.run_json_command("zone", "in", ZONE, "--wait")
        print_step(f"zone {ZONE} in: version {answer['version']} applied everywhere")
        for number in range(3):
            self.run_json_command("job", "wait", f"before-{number}", "--timeout-s", "60")
        self.run_gang("gang-all-zones", tasks=6, run_s=1)

    def switch_preset(self) -> None:
        """Activates a preset and checks that a change based on a stale version is refused."""
        old_version = self.run_json_command("preset", "list")["version"]
        answer = self.run_json_command(
            "preset", "activate", "peak", "--expect", str(old_version), "--wait"
        )
        stale = self.run_command("preset", "activate", "maintenance", "--expect", str(old_version))
        check(stale.returncode == 1, "a change based on a stale version was accepted")
        print_step(f"preset peak active (version {answer['version']})")
        print_step(f"change based on a stale version refused: {stale.stderr.splitlines()[0]}")

    def kill_entry_host(self) -> None:
        """Kills the owner's host while a gang runs; checks that a new owner completes the gang."""
        self.submit("survivor", tasks=4, run_s=15)
        self.wait_state("survivor", "running")
        owner = self._cluster.owner_id()
        check(owner is not None, "no owner")
        assert owner is not None
        self._cluster.kill_host(owner)
        self._cluster.call_platform("POST", f"/v1/hosts/{owner}/state", {"state": "leaving"})
        job = self.run_json_command("job", "wait", "survivor", "--timeout-s", "80")
        check(job["state"] == "finished", f"job survivor is {job['state']}")
        starts = self._cluster.task_starts("survivor")
        check(len(starts) == 4, f"{len(starts)} task starts instead of 4")
        successor = self._cluster.owner_id()
        print_step(f"killed {owner}, which owned the shard; {successor} took over")
        print_step("gang survivor finished; every task ran once")

    def submit(self, job_id: str, tasks: int, run_s: int) -> None:
        """Submits a gang whose tasks each need all accelerators of one worker."""
        self.run_json_command(
            *("job", "submit", "--workspace", "labels", "--job-id", job_id),
            *("--tasks", str(tasks), "--accelerators", "8"),
            *("--command", f"run={run_s} checkpoint=0.2", "--checkpointable"),
        )

    def wait_state(self, job_id: str, state: str) -> None:
        """Waits until a job is in a state."""
        wait_until(
            f"{job_id} is {state}",
            lambda: self.run_json_command("job", "show", job_id)["state"] == state,
            timeout_s=60,
        )

    def run_json_command(self, *arguments: str) -> Any:
        """Runs `jacinthreel`, which must succeed, and returns the JSON that it prints."""
        completed = self.run_command(*arguments)
        check(completed.returncode == 0, f"jacinthreel {' '.join(arguments)}: {completed.stderr}")
        return json.loads(completed.stdout)

    def run_command(self, *arguments: str) -> subprocess.CompletedProcess[str]:
        """Runs `jacinthreel` with the addresses of all routers."""
        environment = os.environ | {
            "JACINTHREEL_ROUTERS": ",".join(self._cluster.router_addresses())
        }
        return subprocess.run(
            [sys.executable, "-m", "jacinthreel_cli", *arguments],
            env=environment,
            capture_output=True,
            text=True,
            timeout=COMMAND_TIMEOUT_S,
            check=False,
        )


def check(holds: bool, failure: str) -> None:
    """Raises `ClusterError` with the message `failure` unless a condition holds."""
    if not holds:
        raise ClusterError(failure)


def print_step(line: str) -> None:
    """Prints the result of a step without buffering."""
    print(f"  {line}", flush=True)


def keep_running(cluster: LocalCluster) -> None:
    """Prints sample commands and keeps the processes running until Ctrl-C."""
    routers = cluster.router_addresses()
    print("Running.  In another terminal:")
    print(f"  export JACINTHREEL_ROUTERS={','.join(routers)}")
    for command in (
        "status",
        'job submit --workspace labels --tasks 4 --accelerators 8 --job-id tour --command "run=10"',
        "job wait tour",
        f'zone out {ZONE} --reason "power work" --wait',
        f"zone in {ZONE} --wait",
        "preset activate ordinary",
    ):
        print(f"  .venv/bin/jacinthreel {command}")
    print(f"Logs are in {DIRECTORY.relative_to(ROOT)}.  Ctrl-C stops everything.", flush=True)
    try:
        while True:
            time.sleep(1)
    except KeyboardInterrupt:
        print()


def raise_on_signal(number: int, frame: object) -> None:
    """Raises an exception on SIGTERM and at the time limit, so that all processes are stopped."""
    raise ClusterError("time limit" if number == signal.SIGALRM else "ended by a signal")


def run_guarded(steps: Callable[[], None]) -> bool:
    """Runs the steps; prints a failure in one line.  Returns whether all succeeded."""
    try:
        steps()
    except (ClusterError, OSError, subprocess.TimeoutExpired, LookupError, ValueError) as error:
        print(f"FAILED: {error!r}" if isinstance(error, LookupError) else f"FAILED: {error}")
        return False
    except KeyboardInterrupt:
        print("interrupted")
        return False
    return True


def stop_cluster(cluster: LocalCluster) -> bool:
    """Stops all processes; returns whether each ended with status 0."""
    statuses = cluster.stop()
    failed = {name: status for name, status in statuses.items() if status != 0}
    if failed:
        print(f"FAILED: processes ended with a status other than 0: {failed}")
    print(f"Stopped {len(statuses)} processes.")
    return not failed


def main(arguments: list[str]) -> int:
    """Runs the demo; returns the exit status."""
    keep = "--keep" in arguments or os.environ.get("KEEP", "") not in ("", "0")
    for old_file in DIRECTORY.glob("*"):
        old_file.unlink()
    cluster = LocalCluster(DIRECTORY, ClusterShape())
    signal.signal(signal.SIGTERM, raise_on_signal)
    signal.signal(signal.SIGALRM, raise_on_signal)
    signal.alarm(TIME_LIMIT_S)
    print("Starting the stand-ins and 6 entry hosts on loopback.", flush=True)

    def steps() -> None:
        cluster.start()
        Demo(cluster).run()
        signal.alarm(0)
        if keep:
            keep_running(cluster)

    passed = run_guarded(steps)
    signal.alarm(0)
    stopped = stop_cluster(cluster)
    print("Done." if passed and stopped else f"Logs are in {DIRECTORY.relative_to(ROOT)}.")
    return 0 if passed and stopped else 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
