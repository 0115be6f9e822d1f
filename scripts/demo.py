"""The demonstration: starts everything on loopback, uses it, and stops it.

Starts the stand-ins and six entry hosts as separate processes, serves requests, runs a gang job,
takes an availability zone out and back, kills an entry host, and prints what happened.  Exits 0 if
every step did what it should.  With `--keep`, or `KEEP=1` in the environment, everything stays
up until Ctrl-C.
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
"""After this time from the acceptance of a zone outage no task may start in the zone."""


class Demo:
    """The steps, in order; each prints one line and raises `ClusterError` if it fails."""

    def __init__(self, cluster: LocalCluster) -> None:
        self._cluster = cluster

    def run(self) -> None:
        """Runs all steps."""
        self.show_status()
        self.create_workspace()
        self.serve_requests()
        self.run_gang("gang-1", tasks=4, run_s=2)
        self.take_zone_out()
        self.bring_zone_in()
        self.switch_preset()
        self.kill_entry_host()

    def show_status(self) -> None:
        """Counts the processes and names the shard's owner."""
        status = self.operate("status")
        answering = sum(line["code"] == 0 for line in status["processes"])
        check(
            answering == 2 * self._cluster.shape.entry_hosts, f"only {answering} processes answer"
        )
        owner = status["shard"]["host_id"]
        workers = len(status["shard"]["workers"])
        say(f"{answering} processes on 6 entry hosts answer; {owner} owns the shard")
        say(f"{workers} workers in {len(status['zones'])} zones")

    def create_workspace(self) -> None:
        """Creates a workspace and shows that an impossible guarantee is refused."""
        answer = self.operate("workspace", "set", "labels", "--guarantee", "worker=2")
        say(f"workspace labels guarantees 2 workers (configuration version {answer['version']})")
        refused = self.command("workspace", "set", "greedy", "--guarantee", "worker=50")
        check(refused.returncode == 1, "an impossible guarantee was accepted")
        say(f"workspace greedy refused: {refused.stderr.splitlines()[0]}")

    def serve_requests(self) -> None:
        """Sends requests to all routers at once; each caller checks its own answer."""
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
        say(f"{answered} of {REQUESTS} requests through 6 routers answered, each to its own caller")

    def run_gang(self, job_id: str, tasks: int, run_s: int) -> None:
        """Runs a gang job to its end."""
        self.submit(job_id, tasks, run_s)
        job = self.operate("job", "wait", job_id, "--timeout-s", "60")
        check(job["state"] == "finished", f"job {job_id} is {job['state']}")
        starts = self._cluster.task_starts(job_id)
        check(len(starts) == tasks, f"{len(starts)} task starts instead of {tasks}")
        spread_ms = starts[-1]["at_ms"] - starts[0]["at_ms"]
        workers = sorted({start["worker_id"] for start in starts})
        say(f"gang {job_id}: {tasks} tasks started within {spread_ms} ms on {', '.join(workers)}")
        say(f"gang {job_id} finished; every task ran once")

    def take_zone_out(self) -> None:
        """Takes a zone out while jobs arrive, and counts the starts there."""
        for number in range(3):
            self.submit(f"before-{number}", tasks=2, run_s=3)
        begun_s = time.monotonic()
        answer = self.operate(
            "zone", "out", ZONE, "--reason", "power work", "--drain-s", "1", "--wait"
        )
        accepted_ms = time.monotonic_ns() // 1_000_000
        took_s = time.monotonic() - begun_s
        say(f"zone {ZONE} out: version {answer['version']} in force everywhere, {took_s:.1f} s")
        for number in range(3):
            self.submit(f"during-{number}", tasks=2, run_s=1)
        for number in range(3):
            self.operate("job", "wait", f"during-{number}", "--timeout-s", "60")
        inside = self._cluster.ids_of(HostKind.WORKER, ZONE)
        late = [
            start
            for start in self._cluster.task_starts()
            if start["worker_id"] in inside and start["at_ms"] > accepted_ms + START_LIMIT_MS
        ]
        check(not late, f"tasks started in zone {ZONE}: {late}")
        say(f"3 more gangs finished in the other zones; no task started in {ZONE}")

    def bring_zone_in(self) -> None:
        """Returns the zone and runs a job that needs its workers."""
        answer = self.operate("zone", "in", ZONE, "--wait")
        say(f"zone {ZONE} in: version {answer['version']} in force everywhere")
        for number in range(3):
            self.operate("job", "wait", f"before-{number}", "--timeout-s", "60")
        self.run_gang("gang-all-zones", tasks=6, run_s=1)

    def switch_preset(self) -> None:
        """Puts a preset in force and shows that a stale change is refused."""
        before = self.operate("preset", "list")["version"]
        answer = self.operate("preset", "activate", "peak", "--expect", str(before), "--wait")
        stale = self.command("preset", "activate", "maintenance", "--expect", str(before))
        check(stale.returncode == 1, "a change on an old version was accepted")
        say(f"preset peak in force (version {answer['version']})")
        say(f"a racing change lost: {stale.stderr.splitlines()[0]}")

    def kill_entry_host(self) -> None:
        """Kills the owner's host while a gang runs; another host carries on."""
        self.submit("survivor", tasks=4, run_s=15)
        self.wait_state("survivor", "running")
        owner = self._cluster.owner_id()
        check(owner is not None, "no owner")
        assert owner is not None
        self._cluster.kill_host(owner)
        self._cluster.platform("POST", f"/v1/hosts/{owner}/state", {"state": "leaving"})
        job = self.operate("job", "wait", "survivor", "--timeout-s", "80")
        check(job["state"] == "finished", f"job survivor is {job['state']}")
        starts = self._cluster.task_starts("survivor")
        check(len(starts) == 4, f"{len(starts)} task starts instead of 4")
        successor = self._cluster.owner_id()
        say(f"killed {owner}, which owned the shard; {successor} took over")
        say("gang survivor finished; every task ran once")

    def submit(self, job_id: str, tasks: int, run_s: int) -> None:
        """Submits a gang with one worker's accelerators for each task."""
        self.operate(
            *("job", "submit", "--workspace", "labels", "--job-id", job_id),
            *("--tasks", str(tasks), "--accelerators", "8"),
            *("--command", f"run={run_s} checkpoint=0.2", "--checkpointable"),
        )

    def wait_state(self, job_id: str, state: str) -> None:
        """Waits until a job is in a state."""
        wait_until(
            f"{job_id} is {state}",
            lambda: self.operate("job", "show", job_id)["state"] == state,
            timeout_s=60,
        )

    def operate(self, *arguments: str) -> Any:
        """Runs `jacinthreel` and returns the JSON that it prints."""
        done = self.command(*arguments)
        check(done.returncode == 0, f"jacinthreel {' '.join(arguments)}: {done.stderr}")
        return json.loads(done.stdout)

    def command(self, *arguments: str) -> subprocess.CompletedProcess[str]:
        """Runs `jacinthreel` against all routers."""
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
    """Ends the demonstration where a step did not do what it should."""
    if not holds:
        raise ClusterError(failure)


def say(line: str) -> None:
    """Prints a line at once."""
    print(f"  {line}", flush=True)


def keep_running(cluster: LocalCluster) -> None:
    """Leaves everything up until Ctrl-C."""
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


def end_by_signal(number: int, frame: object) -> None:
    """Turns SIGTERM and the time limit into an orderly end."""
    raise ClusterError("time limit" if number == signal.SIGALRM else "ended by a signal")


def run_guarded(steps: Callable[[], None]) -> bool:
    """Runs steps; prints a failure in one line and says whether there was none."""
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
    """Stops everything that was started; says whether each process ended with status 0."""
    statuses = cluster.stop()
    bad = {name: status for name, status in statuses.items() if status != 0}
    if bad:
        print(f"FAILED: ended with other statuses than 0: {bad}")
    print(f"Stopped {len(statuses)} processes.")
    return not bad


def main(arguments: list[str]) -> int:
    """Runs the demonstration."""
    keep = "--keep" in arguments or os.environ.get("KEEP", "") not in ("", "0")
    for old in DIRECTORY.glob("*"):
        old.unlink()
    cluster = LocalCluster(DIRECTORY, ClusterShape())
    signal.signal(signal.SIGTERM, end_by_signal)
    signal.signal(signal.SIGALRM, end_by_signal)
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
