"""A scheduler with executors that crash: at random, together, or because of a task."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from scheduler_harness import SchedulerHarness

from jacinthreel_steps import EndReason, ExecutorListing, Run, StartOutcome, StopOrder, TaskId

LEASE_MS = 6_000
STEP_MS = 250


class CrashWorld(SchedulerHarness):
    """Executors whose runs take `work_ms`, and crash `crash_delay_ms` after a crashing job's start.

    A crashed executor is silent for `down_ms`; then it reports as a new incarnation.  With no crash
    delay a start gets no answer.  `late_starts` counts each task's starts after three executors
    have crashed under it.
    """

    def __init__(
        self,
        *executors: ExecutorListing,
        crash_delay_ms: int = 500,
        down_ms: int = 2_000,
        work_ms: int = 5_000,
    ) -> None:
        self.back_ms: dict[str, int] = {}
        super().__init__(*executors)
        self.crashing_job_ids: set[str] = set()
        self.crash_delay_ms = crash_delay_ms
        self.down_ms = down_ms
        self.work_ms = work_ms
        self.crashes: dict[TaskId, int] = {}
        self.starts: dict[TaskId, int] = {}
        self.late_starts: dict[TaskId, int] = {}
        self.started_ms: dict[str, int] = {}
        self.executor_crashes = 0

    def submit_crashing(self, job_id: str, *steps: Any, **options: Any) -> None:
        self.crashing_job_ids.add(job_id)
        self.submit(job_id, *steps, **options)

    def crash(self, name: str) -> None:
        if name in self.back_ms:
            return
        self.executor_crashes += 1
        for run in self.running.pop(name, {}).values():
            task = run.run_id.task
            self.crashes[task] = self.crashes.get(task, 0) + 1
        self.ends.pop(name, None)
        self.back_ms[name] = self.now_ms + self.down_ms

    def execute_starts(self) -> None:
        for run in self.scheduler.take_starts():
            self.scheduler.record_start_outcome(run, self._start(run), self.now_ms)

    def stop(self, stop: StopOrder) -> None:
        if stop.executor_id not in self.back_ms:
            super().stop(stop)

    def report(self, name: str, incarnation: int | None = None) -> None:
        if name not in self.back_ms:
            super().report(name, incarnation)

    def percent_done(self, run: Run) -> int:
        return 100 * (self.now_ms - self.started_ms[str(run.run_id)]) // self.work_ms

    def pass_time(self, duration_ms: int, step_ms: int = STEP_MS) -> None:
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            self.now_ms += step_ms
            for name, back_ms in list(self.back_ms.items()):
                self._restart_or_expire(name, back_ms)
            for runs in list(self.running.values()):
                for run in list(runs.values()):
                    self._advance(run)
            self.report_all()
            self.scheduler.plan(self.now_ms)
            self.store()
            self.execute_orders()

    def states(self, prefix: str) -> set[str]:
        """Returns the states of the jobs whose id starts with `prefix`."""
        job_ids = [job_id for job_id in self.records if job_id.startswith(prefix)]
        return {self.state(job_id) for job_id in job_ids}

    def _start(self, run: Run) -> StartOutcome:
        name, task = run.executor_id, run.run_id.task
        if name in self.back_ms:
            return StartOutcome.UNKNOWN
        self.starts[task] = self.starts.get(task, 0) + 1
        if self.crashes.get(task, 0) >= 3:
            self.late_starts[task] = self.late_starts.get(task, 0) + 1
        self.running.setdefault(name, {})[str(run.run_id)] = run
        self.started_ms[str(run.run_id)] = self.now_ms
        if task.job_id in self.crashing_job_ids and not self.crash_delay_ms:
            self.crash(name)
            return StartOutcome.UNKNOWN
        return StartOutcome.STARTED

    def _restart_or_expire(self, name: str, back_ms: int) -> None:
        crashed_ms = back_ms - self.down_ms
        if self.now_ms >= back_ms:
            del self.back_ms[name]
            incarnation = self.listings[name].incarnation + 1
            self.listings[name] = replace(self.listings[name], incarnation=incarnation)
            self.scheduler.apply_listing(self.listings[name], self.now_ms)
        elif self.now_ms >= crashed_ms + LEASE_MS:
            self.scheduler.expire_executor(name, "lease expired", self.now_ms)

    def _advance(self, run: Run) -> None:
        if str(run.run_id) not in self.running.get(run.executor_id, {}):
            return
        age_ms = self.now_ms - self.started_ms[str(run.run_id)]
        if run.run_id.task.job_id in self.crashing_job_ids and age_ms >= self.crash_delay_ms:
            self.crash(run.executor_id)
        elif age_ms >= self.work_ms:
            self.end(run, EndReason.DONE)
