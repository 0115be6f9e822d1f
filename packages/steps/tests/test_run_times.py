"""Predicted run times: the model of each queue, and the decisions that use its predictions."""

from __future__ import annotations

import math
import random
from dataclasses import replace

import pytest
from scheduler_harness import ESTIMATE_MS, SchedulerHarness, listing, queue, step

from jacinthreel_steps import EndReason, JobState
from jacinthreel_steps._executors import _run_times
from jacinthreel_steps._executors._run_time_model import MAX_QUEUES, RunTimeModel

LONG_SHARE = 0.03
ACTUAL_FACTOR = 1.7


def model_of_queue(rng: random.Random, factor: float = ACTUAL_FACTOR) -> RunTimeModel:
    """Returns a model that has observed tasks that run `factor` times their estimate."""
    model = RunTimeModel()
    for _ in range(200):
        estimate_ms = rng.choice((800, 2_000, 9_000))
        model.observe("q", estimate_ms, actual_ms(rng, estimate_ms, factor))
    model.fit()
    return model


def actual_ms(rng: random.Random, estimate_ms: float, factor: float) -> float:
    long_factor = 7 if rng.random() < LONG_SHARE else 1
    return estimate_ms * factor * long_factor * math.exp(rng.uniform(-0.35, 0.35))


@pytest.mark.parametrize("factor", [0.53, 1.0, 1.9])
def test_median_and_high_quantile_follow_the_queue_despite_long_tasks(factor: float) -> None:
    rng = random.Random(1)
    model = model_of_queue(rng, factor)
    for estimate_ms in (800, 2_000, 9_000):
        assert model.median_ms("q", estimate_ms) == pytest.approx(estimate_ms * factor, rel=0.15)
    runs = [actual_ms(rng, 2_000, factor) for _ in range(1_000)]
    share_below = sum(run_ms <= model.high_ms("q", 2_000) for run_ms in runs) / len(runs)
    assert 0.8 <= share_below <= 0.99


def test_model_follows_a_queue_whose_work_changes() -> None:
    model = model_of_queue(random.Random(2))
    for _ in range(150):
        model.observe("q", 2_000, 1_000)
    model.fit()
    assert model.median_ms("q", 2_000) == pytest.approx(1_000, rel=0.15)


def test_usual_run_changes_no_predictions() -> None:
    model = model_of_queue(random.Random(2))
    model.observe("q", 2_000, model.median_ms("q", 2_000))
    assert model.fit() == set()


def test_one_observation_does_not_outweigh_the_estimate() -> None:
    model = RunTimeModel()
    model.observe("q", 2_000, 14_000)
    model.fit()
    assert model.median_ms("q", 2_000) < 1.2 * 2_000


def test_restored_model_predicts_the_same() -> None:
    model, restored = model_of_queue(random.Random(3)), RunTimeModel()
    restored.restore(model.stored_numbers())
    restored.fit()
    assert restored.median_ms("q", 2_000) == pytest.approx(model.median_ms("q", 2_000), rel=0.01)
    assert restored.stored_numbers() == model.stored_numbers()


UNUSABLE_NUMBERS = {
    "not a number": (math.nan, 0, 0, 0, 0, 0.5),
    "infinite": (10, math.inf, 0, 0, 0, 0.5),
    "negative weight": (-3, 0, 0, 0, 0, 0.5),
    "inconsistent sums": (1, 10, 4, 0, 0, 0.5),
    "quantile out of range": (1, 0, 0, 0, 0, 1e5),
    "too few": (1, 0, 0),
}


@pytest.mark.parametrize("name", UNUSABLE_NUMBERS)
def test_unusable_numbers_are_skipped(name: str) -> None:
    model = RunTimeModel()
    model.restore({"q": UNUSABLE_NUMBERS[name], "extreme": (0, 0, 0, 9e5, 0, 0.5)})
    model.fit()
    assert model.median_ms("q", 2_000) == 2_000
    assert model.median_ms("extreme", 2_000) == pytest.approx(16_000)


def test_number_of_queues_is_bounded() -> None:
    model = RunTimeModel()
    for index in range(MAX_QUEUES + 10):
        model.observe(f"q{index}", 1_000, 3_000)
    model.fit()
    assert len(model.stored_numbers()) == MAX_QUEUES


def run_gangs(harness: SchedulerHarness, factor: float) -> None:
    """Runs gangs of two that take `factor` times their estimate."""
    for index in range(30):
        harness.submit(f"past-{index}", step(2, accelerators=8, is_gang=True), terms=queue(1))
        harness.settle()
        harness.now_ms += round(ESTIMATE_MS * factor)
        for run in harness.runs(f"past-{index}"):
            harness.end(run, EndReason.DONE)
        harness.settle()
        assert harness.scheduler.tables.jobs_by_id[f"past-{index}"].state is JobState.COMPLETED


def test_open_jobs_are_predicted_again_when_the_model_changes_and_not_in_each_pass(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    harness = SchedulerHarness(listing("e1"), listing("e2"))
    harness.scheduler.restore_speeds({"e1": 1.25, "e2": 0.8})
    harness.submit("open", step(9, accelerators=8, is_gang=True), terms=queue(1))
    run_gangs(harness, 2.0)
    harness.now_ms += 300
    harness.settle()
    job = harness.scheduler.tables.jobs_by_id["open"]
    # The slowest member of the gangs ran at a speed of 0.8.
    assert job.chain_ms == pytest.approx(2.0 * 0.8 * ESTIMATE_MS, rel=0.1)
    assert job.objective_ms == 3.0 * job.chain_ms + 1_000
    ended = [fields for event, fields in harness.log_lines if event == "job_ended"]
    assert ended[0]["chain_ms"] == ESTIMATE_MS
    assert ended[-1]["chain_ms"] == pytest.approx(job.chain_ms, rel=0.05)
    monkeypatch.setattr(_run_times, "longest_chain_ms", None)
    for _ in range(50):
        harness.now_ms += 100
        harness.settle()


def test_job_of_a_queue_that_runs_short_has_to_start_sooner() -> None:
    harness = SchedulerHarness(listing("e1"), listing("e2"))
    run_gangs(harness, 0.2)
    harness.now_ms += 300
    harness.settle()
    other_queue = replace(queue(1), name="other")
    harness.submit("first", step(2, accelerators=8), terms=other_queue)
    harness.submit("short", step(2, accelerators=8), terms=queue(1))
    harness.settle()
    assert len(harness.runs("short")) == 2


@pytest.mark.parametrize("factor", [0.3, 1.0])
def test_run_that_ends_before_its_executor_leaves_by_the_model_is_not_stopped(
    factor: float,
) -> None:
    harness = SchedulerHarness(listing("e1"), listing("e2"))
    run_gangs(harness, factor)
    harness.now_ms += 300
    harness.submit("new", step(2, accelerators=8), terms=queue(1))
    harness.settle()
    harness.scheduler.apply_listing(
        replace(harness.listings["e1"], is_draining=True, remaining_ms=2_000), harness.now_ms
    )
    harness.settle()
    stopped = [
        event for event, _ in harness.log_lines if event == "run_stopped_on_leaving_executor"
    ]
    assert bool(stopped) == (factor == 1.0)
