"""What callers get under overload: refused at once or served, and nobody refused without need.

The real scheduler runs whole-executor jobs on a few simulated executors.  Each load is played with
and without admission: without it, the jobs that admission refuses must all be too late.
"""

from __future__ import annotations

import random
from collections.abc import Iterator
from dataclasses import dataclass, field

import pytest
from scheduler_harness import SERVICE, SchedulerHarness, listing

from jacinthreel_steps import (
    EndReason,
    Forecast,
    JobSpec,
    QueueTerms,
    Resources,
    Run,
    StepSpec,
    find_refusal,
    objective_ms,
)

STEP_MS = 50
HEARTBEAT_MS = 250
PLAYED_MS = 40_000
ESTIMATE_MS = 1_000
EXECUTORS = 4  # Together they do four jobs a second.
LEASE_MS = 5_500
SPEC = JobSpec("x", (StepSpec(1, Resources(1_000, 1_000, 8), ESTIMATE_MS, is_gang=True),))


def terms(priority: int) -> QueueTerms:
    return QueueTerms(f"q{priority}", SERVICE, priority, 3, 1.0, 500)


LIMIT_MS = 3 * objective_ms(SPEC, terms(0))


@dataclass(frozen=True)
class Arrival:
    at_ms: int
    job_id: str
    priority: int
    workspace: str
    duration_ms: int


@dataclass
class Outcome:
    """The refused jobs, and the time from submission to the end of the others."""

    refused: set[str] = field(default_factory=set)
    done_after_ms: dict[str, int] = field(default_factory=dict)

    def in_time(self) -> set[str]:
        return {job_id for job_id, age_ms in self.done_after_ms.items() if age_ms <= LIMIT_MS}


class Play:
    """Plays arrivals on the scheduler; from `lost_ms` on, half of the executors are silent."""

    def __init__(self, arrivals: list[Arrival], admits_all: bool, lost_ms: int | None) -> None:
        self.harness = SchedulerHarness(*(listing(f"e{index}") for index in range(EXECUTORS)))
        self.began_ms = self.harness.now_ms
        self.arrivals = {arrival.job_id: arrival for arrival in arrivals}
        self.admits_all = admits_all
        self.lost_ms = lost_ms
        self.forecast: Forecast | None = None
        self.forecast_ms = 0
        self.outcome = Outcome()

    def run(self) -> Outcome:
        waiting = list(self.arrivals.values())
        for passed_ms in range(0, PLAYED_MS, STEP_MS):
            self.harness.now_ms = self.began_ms + passed_ms
            self.end_runs()
            self.report(passed_ms)
            if passed_ms % HEARTBEAT_MS == 0:
                self.forecast = self.harness.scheduler.forecast_starts(self.harness.now_ms)
                self.forecast_ms = self.harness.now_ms
            while waiting and waiting[0].at_ms <= passed_ms:
                self.submit(waiting.pop(0))
            self.harness.scheduler.plan(self.harness.now_ms)
            self.harness.store()
            self.harness.execute_orders()
        return self.outcome

    def submit(self, arrival: Arrival) -> None:
        queue = terms(arrival.priority)
        if self.forecast is not None and not self.admits_all:
            age_ms = self.harness.now_ms - self.forecast_ms
            if find_refusal(self.forecast, age_ms, queue, arrival.workspace, SPEC) is not None:
                self.outcome.refused.add(arrival.job_id)
                return
        self.harness.submit(arrival.job_id, *SPEC.steps, terms=queue, workspace=arrival.workspace)

    def live_names(self, passed_ms: int) -> list[str]:
        names = list(self.harness.listings)
        is_half_lost = self.lost_ms is not None and passed_ms >= self.lost_ms
        return names[: EXECUTORS // 2] if is_half_lost else names

    def report(self, passed_ms: int) -> None:
        live = self.live_names(passed_ms)
        for name in live:
            self.harness.report(name)
        if self.lost_ms is not None and passed_ms == self.lost_ms + LEASE_MS:
            for name in set(self.harness.listings) - set(live):
                self.harness.running.pop(name, None)
                self.harness.scheduler.expire_executor(name, "lease expired", self.harness.now_ms)

    def running(self) -> Iterator[tuple[Run, Arrival]]:
        for name in self.live_names(self.harness.now_ms - self.began_ms):
            for run in list(self.harness.running.get(name, {}).values()):
                yield run, self.arrivals[run.run_id.task.job_id]

    def end_runs(self) -> None:
        for run, arrival in self.running():
            ran_ms = self.harness.now_ms - run.placed_ms
            self.harness.percent_by_executor[run.executor_id] = min(
                99, 100 * ran_ms // arrival.duration_ms
            )
            if ran_ms >= arrival.duration_ms:
                self.harness.percent_by_executor[run.executor_id] = 0
                self.harness.end(run, EndReason.DONE)
                age_ms = self.harness.now_ms - self.began_ms - arrival.at_ms
                self.outcome.done_after_ms[arrival.job_id] = age_ms


def make_arrivals(
    seed: int, load: dict[str, float], span_ms: int, priorities: tuple[int, ...]
) -> list[Arrival]:
    """Returns random arrivals; `load` is the share of all capacity that a workspace asks for."""
    rng = random.Random(seed)
    arrivals: list[Arrival] = []
    for workspace, share in load.items():
        at_ms = 0.0
        while (at_ms := at_ms + rng.expovariate(share * EXECUTORS / ESTIMATE_MS)) < span_ms:
            duration_ms = round(ESTIMATE_MS * rng.uniform(0.7, 1.3))
            job_id = f"{workspace}-{len(arrivals)}"
            arrivals.append(
                Arrival(int(at_ms), job_id, rng.choice(priorities), workspace, duration_ms)
            )
    return sorted(arrivals, key=lambda arrival: arrival.at_ms)


TWICE = {"w": 2.0}
ONE_AT_EIGHT_TIMES = {"w1": 2.0, "w2": 0.25, "w3": 0.25, "w4": 0.25}


@pytest.mark.parametrize("seed", [0, 1])
@pytest.mark.parametrize(
    ("load", "span_ms", "lost_ms"),
    [(TWICE, 10_000, None), ({"w": 1.2}, 20_000, 3_000), (ONE_AT_EIGHT_TIMES, 10_000, None)],
    ids=["twice the load", "half of the executors lost", "one workspace at eight times its share"],
)
def test_overload_refuses_only_jobs_that_would_be_too_late(
    load: dict[str, float], span_ms: int, lost_ms: int | None, seed: int
) -> None:
    arrivals = make_arrivals(seed, load, span_ms, (0,))
    outcome = Play(arrivals, False, lost_ms).run()
    without_admission = Play(arrivals, True, lost_ms).run()

    assert outcome.refused
    assert outcome.refused & without_admission.in_time() == set()
    assert len(outcome.in_time()) >= len(without_admission.in_time())


@pytest.mark.parametrize("priorities", [(0,), (0, 1, 2)])
def test_ordinary_load_refuses_nobody(priorities: tuple[int, ...]) -> None:
    arrivals = make_arrivals(0, {"w": 0.9}, 30_000, priorities)
    assert Play(arrivals, False, None).run().refused == set()
