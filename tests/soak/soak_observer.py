"""Observes a soak from outside the nodes, for checks of jobs that could run and of what is in use.

Lateness of this process or of a node counts as a disruption, because neither the nodes nor the
executors can keep their times on a machine without processor time to spare.
"""

from __future__ import annotations

import json
import socket
from pathlib import Path
from subprocess import Popen
from typing import TYPE_CHECKING, Any

from belief_check import EVENT, BeliefCheck
from standin_platform import CAPACITY
from waiting_jobs_check import ExecutorRoom, Wait, WaitingJobsCheck, WaitingStep

if TYPE_CHECKING:
    from soak_run import SoakRun, SubmittedJob

PERIOD_MS = 100
MAX_LAG_MS = 100
MAX_SAMPLE_LAG_MS = 500


class SoakObserver:
    """Observes a run each `PERIOD_MS`."""

    def __init__(self, run: SoakRun) -> None:
        self.check = WaitingJobsCheck()
        self.belief = BeliefCheck()
        self._read_bytes_by_log: dict[Path, int] = {}
        self._run = run
        self._due_ms: int | None = None
        self._ready_processes: set[int] = set()
        self._delay_ms_by_process: dict[int, int] = {}

    def tick(self, now_ms: int) -> None:
        """Takes an observation if one is due."""
        if self._due_ms is not None and now_ms < self._due_ms:
            return
        lag_ms = 0 if self._due_ms is None else now_ms - self._due_ms
        self._due_ms = now_ms + PERIOD_MS
        is_disrupted = self._is_disrupted()
        delay_ms = max(lag_ms, self._longest_node_delay_ms())
        if delay_ms > MAX_LAG_MS or is_disrupted:
            self.check.note_disruption(now_ms)
        if delay_ms > MAX_SAMPLE_LAG_MS or is_disrupted:
            self.belief.note_disruption(now_ms)
        observations = self._run.observations
        active_jobs = {task.split(".")[0] for task in observations.running_by_task}
        for task, started_ms in observations.started_ms_by_task.items():
            if started_ms >= now_ms - PERIOD_MS - lag_ms:
                active_jobs.add(task.split(".")[0])  # Its run may have ended already.
        steps_by_job = {
            job.job_id: self._ready_steps(job)
            for job in self._run.jobs
            if job.is_accepted
            and not job.is_cancel_sent
            and not job.has_ended
            and job.job_id not in active_jobs
        }
        executors = [
            ExecutorRoom(executor.capacity, [run.shape for run in executor.runs.values()])
            for executor in self._run.executors
        ]
        self.check.observe(now_ms, steps_by_job, executors)
        used = {name: sum(item.used(name) for item in executors) for name in CAPACITY}
        for sample in self._read_samples():
            self.belief.observe(now_ms, sample, used)

    def describe_violations(self) -> list[str]:
        """Returns the violations, each with what the owners logged of the job that is held."""
        held = [self.describe(wait) for wait in self.check.long_waits if wait.is_violation]
        return held + self.belief.violations

    def describe(self, wait: Wait) -> str:
        """Returns a wait with the owners' log lines about jobs that could run and don't."""
        lines = [line for line in self._run.find_log_lines(wait.job_id) if wait.job_id in line]
        held = [line for line in lines if "job_held" in line]
        return f"{wait}; the owners logged {held or 'nothing of it'}"

    def _read_samples(self) -> list[dict[str, Any]]:
        """Returns the owners' samples of what is in use that were logged since the last call."""
        samples: list[dict[str, Any]] = []
        for node in self._run.nodes:
            with node.log.open("rb") as log:
                log.seek(self._read_bytes_by_log.get(node.log, 0))
                lines = log.read().rpartition(b"\n")[0]
            self._read_bytes_by_log[node.log] = self._read_bytes_by_log.get(node.log, 0) + (
                len(lines) + 1 if lines else 0
            )
            samples += [json.loads(line) for line in lines.splitlines() if EVENT.encode() in line]
        return samples

    def _is_disrupted(self) -> bool:
        # Besides the task that calls this, only faults run as tasks.
        is_fault_running = len(self._run.tasks) > 1
        return not self._run.are_faults_over or is_fault_running or self._is_node_starting()

    def _is_node_starting(self) -> bool:
        for node in self._run.nodes:
            process = node.process
            if (
                process is None
                or process.poll() is not None
                or process.pid in self._ready_processes
            ):
                continue
            with socket.socket() as probe:
                if probe.connect_ex(("127.0.0.1", node.caller_port)):
                    return True
            self._ready_processes.add(process.pid)
        return False

    def _longest_node_delay_ms(self) -> int:
        """Returns for how long a node that could run got no processor since the last call."""
        delays = [self._measure_delay_ms(node.process) for node in self._run.nodes]
        return max(delays, default=0)

    def _measure_delay_ms(self, process: Popen[bytes] | None) -> int:
        if process is None or process.poll() is not None:
            return 0
        try:
            fields = Path(f"/proc/{process.pid}/schedstat").read_text().split()
        except OSError:
            return 0  # The system doesn't tell it; then only the lateness of this process counts.
        total_ms = int(fields[1]) // 1_000_000
        last_ms = self._delay_ms_by_process.get(process.pid, total_ms)
        self._delay_ms_by_process[process.pid] = total_ms
        return total_ms - last_ms

    def _ready_steps(self, job: SubmittedJob) -> list[WaitingStep]:
        """Returns the steps whose turn has come, by what the executors have done."""
        observations = self._run.observations
        ready: list[WaitingStep] = []
        done_by_step: list[list[bool]] = []
        for index, step in enumerate(observations.steps_by_job[job.job_id]):
            names = [f"{job.job_id}.0.{index}.{task}" for task in range(step["count"])]
            done = [name in observations.done_tasks for name in names]
            done_by_step.append(done)
            is_gang = bool(step.get("gang"))
            if any(done) if is_gang else all(done):
                continue
            if all(all(done_by_step[before]) for before in step.get("after", [])):
                shape = {name: step[name] for name in ("cpu", "mem_mb", "gpu")}
                ready.append(WaitingStep(shape, step["count"] if is_gang else 1))
        return ready
