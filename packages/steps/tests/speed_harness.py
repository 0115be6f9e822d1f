"""A harness whose tasks progress at the speeds of their executors."""

from __future__ import annotations

import random

from scheduler_harness import SchedulerHarness, listing, queue, step

from jacinthreel_steps import EndReason, ExecutorReport, ReportedRun, Run, TaskId

NAMES = tuple(f"e{index}" for index in range(9))
SPEEDS = dict(zip(NAMES, (0.8, 1.0, 1.25) * 3, strict=True))
TASK_MS = 5_000  # On an executor of speed 1.
LONG_FACTOR = 7
ROUNDS = 20


class SpeedHarness(SchedulerHarness):
    """A harness whose tasks progress at the speed of their executor until they are done."""

    def __init__(self, speeds: dict[str, float], rack: str = "r1") -> None:
        self.speeds = speeds
        self.work_by_run: dict[str, float] = {}
        self.long_share = 0.0
        self.is_long_by_task: dict[TaskId, bool] = {}
        self.rng = random.Random(1)
        super().__init__(*(listing(name, rack) for name in speeds))

    def run_for(self, duration_ms: int) -> None:
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            before_ms = self.now_ms
            self.now_ms += 100
            self.settle()
            self._work(self.now_ms - before_ms)

    def _work(self, passed_ms: int) -> None:
        for name, speed in self.speeds.items():
            for key, run in list(self.running.get(name, {}).items()):
                self.work_by_run[key] = self.work_by_run.get(key, 0) + passed_ms * speed
                if self.work_by_run[key] >= self.task_ms(run):
                    self.end(run, EndReason.DONE)
            if self.now_ms % 1_000 < 110:
                self.report(name)

    def task_ms(self, run: Run) -> int:
        """Returns the length of a task; a share of all are `LONG_FACTOR` times longer."""
        task_id = run.run_id.task
        if task_id not in self.is_long_by_task:
            self.is_long_by_task[task_id] = self.rng.random() < self.long_share
        return TASK_MS * (LONG_FACTOR if self.is_long_by_task[task_id] else 1)

    def report(self, name: str, incarnation: int | None = None) -> None:
        """Reports each run with its own progress."""
        running = tuple(
            ReportedRun(run.run_id, "", int(self.work_by_run.get(key, 0) * 100 / self.task_ms(run)))
            for key, run in self.running.get(name, {}).items()
        )
        ended = tuple(self.ends.get(name, []))
        report = ExecutorReport(1, self.now_ms, running, ended)
        self.scheduler.apply_report(name, report, self.now_ms)

    def run_measuring_load(self) -> None:
        """Runs enough steps of independent tasks to measure the speeds of all executors."""
        for index in range(ROUNDS):
            self.submit(f"learn-{index}", step(18, accelerators=2), terms=queue(2))
        self.run_for(20_000)

    def measured_speed(self, name: str) -> float:
        return self.scheduler._context.speeds.speed(name)

    def cancel_measuring_load(self) -> None:
        for index in range(ROUNDS):
            self.scheduler.cancel(f"learn-{index}", self.now_ms)
        self.settle()
