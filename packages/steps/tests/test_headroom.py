"""A stream of urgent gangs on a cluster with a long queue of lower priority."""

from __future__ import annotations

import random

import pytest
from scheduler_harness import SchedulerHarness, listing, queue, step

from jacinthreel_steps import EndReason, ExecutorReport, ReportedRun, Run
from jacinthreel_steps._planning._headroom import MAX_RESERVED_SHARE, Headroom
from jacinthreel_steps._tables import Executor

STEP_MS = 50
BATCH_MS = 4_000
URGENT_MS = 2_000
URGENT_PERIOD_MS = 700  # On average.
PLAYED_MS = 20_000
SETTLED_MS = 6_000


def duration_ms(run: Run) -> int:
    return URGENT_MS if run.run_id.task.job_id.startswith("urgent") else BATCH_MS


class ProgressHarness(SchedulerHarness):
    """A harness in which each run reports its own progress."""

    def report(self, name: str, incarnation: int | None = None) -> None:
        running = tuple(
            ReportedRun(run.run_id, "", 100 * (self.now_ms - run.placed_ms) // duration_ms(run))
            for run in self.running.get(name, {}).values()
        )
        ended = tuple(self.ends.get(name, []))
        report = ExecutorReport(1, self.now_ms, running, ended)
        self.scheduler.apply_report(name, report, self.now_ms)


class StreamPlayer:
    """Plays runs of fixed lengths: a long queue of single tasks, and an urgent gang each second."""

    def __init__(self, seed: int) -> None:
        self._rng = random.Random(seed)
        names = [f"e{index}" for index in range(24)]
        racks = {name: f"r{index // 8}" for index, name in enumerate(names)}
        self.harness = ProgressHarness(*(listing(name, racks[name]) for name in names))
        self.began_ms = self.harness.now_ms
        self.accepted_ms: dict[str, int] = {}
        self.started_ms: dict[str, int] = {}
        self.stopped_batch_runs = 0

    def play(self) -> None:
        harness = self.harness
        for index in range(60):
            harness.submit(f"batch{index}", step(40), terms=queue(2))
        while harness.now_ms - self.began_ms < PLAYED_MS:
            passed_ms = harness.now_ms - self.began_ms
            if self._rng.random() < STEP_MS / URGENT_PERIOD_MS:
                job_id = f"urgent{passed_ms}"
                width = self._rng.randint(1, 6)
                gang = step(width, accelerators=4, is_gang=True, wants_one_rack=True)
                harness.submit(job_id, gang, terms=queue(0))
                self.accepted_ms[job_id] = harness.now_ms
            harness.scheduler.plan(harness.now_ms)
            harness.store()
            self._execute_stops()
            harness.execute_starts()
            harness.now_ms = self.began_ms + passed_ms + STEP_MS
            self._end_due_runs()
            harness.report_all()

    def waits_ms(self) -> list[int]:
        """Returns how long each urgent gang waited that arrived after the first seconds."""
        return [
            self.started_ms[job_id] - accepted_ms
            for job_id, accepted_ms in self.accepted_ms.items()
            if accepted_ms - self.began_ms >= SETTLED_MS and job_id in self.started_ms
        ]

    def _execute_stops(self) -> None:
        now_ms = self.harness.now_ms
        for order in self.harness.scheduler.take_stops():
            self.stopped_batch_runs += now_ms - self.began_ms >= SETTLED_MS
            self.harness.stop(order)
        self.harness.now_ms = now_ms

    def _end_due_runs(self) -> None:
        for runs in self.harness.running.values():
            for run in list(runs.values()):
                self._end_if_due(run)

    def _end_if_due(self, run: Run) -> None:
        job_id = run.run_id.task.job_id
        self.started_ms.setdefault(job_id, self.harness.now_ms)
        if self.harness.now_ms - run.placed_ms >= duration_ms(run):
            self.harness.end(run, EndReason.DONE)


def play_streams() -> tuple[int, int]:
    """Returns how many batch runs were stopped and how many urgent gangs waited, over all seeds."""
    stopped = late_starts = 0
    for seed in range(4):
        player = StreamPlayer(seed)
        player.play()
        waits = player.waits_ms()
        assert len(waits) >= 15
        stopped += player.stopped_batch_runs
        late_starts += sum(wait > 2 * STEP_MS for wait in waits)
    return stopped, late_starts


def test_expected_demand_saves_work_without_delaying_urgent_gangs(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    stopped, late_starts = play_streams()
    monkeypatch.setattr(Headroom, "record_arrival", lambda self, accelerators, now_ms: None)
    stopped_for_claims_only, late_starts_for_claims_only = play_streams()
    assert stopped <= 0.7 * stopped_for_claims_only
    assert late_starts <= late_starts_for_claims_only


def test_reservation_is_limited_and_ends_with_the_stream() -> None:
    executors = [Executor(listing(f"e{index}")) for index in range(10)]
    headroom = Headroom()
    headroom.record_arrival(10_000, now_ms=0)
    reserved = headroom.select_reserved_ids(executors, now_ms=0)
    assert 0 < len(reserved) <= 10 * MAX_RESERVED_SHARE + 1
    assert headroom.select_reserved_ids(executors, now_ms=60_000) == set()


def test_reserved_executors_share_racks() -> None:
    executors = [Executor(listing(f"e{index}", f"r{index % 3}")) for index in range(9)]
    executors[0].used = step(1, accelerators=4).shape
    executors[1].used = step(1, accelerators=4).shape
    headroom = Headroom()
    headroom.record_claim(16, now_ms=0)
    reserved = headroom.select_reserved_ids(executors, now_ms=0)
    racks = {item.listing.rack for item in executors if item.executor_id in reserved}
    assert racks == {"r2"}
