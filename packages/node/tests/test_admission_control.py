"""Tests of refusals under overload: what is refused, what never is, and what the owner sends."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any, cast

import pytest
from node_fakes import ManualClock
from returns.result import Success
from test_job_service import JobServiceHarness

from jacinthreel_common import Hello, OwnerHeartbeat, ResultCode, to_plain
from jacinthreel_daemon._frames import LENGTH_BYTES, decode_body, encode_frame
from jacinthreel_daemon.plumbing import MetricsRegistry
from jacinthreel_node import SubmitResult
from jacinthreel_node._admission_control import FORECAST_MAX_AGE_MS
from jacinthreel_node._forecaster import MAX_PAUSE_MS, Forecaster
from jacinthreel_node._gauges import set_forecast_gauges
from jacinthreel_node._owner_view import OwnerView
from jacinthreel_node._records import OwnerRow
from jacinthreel_steps import Forecast, PredictedStart, Scheduler

PEER = Hello("other", "node", "z")
OVERLOAD = Forecast([PredictedStart("s", 0, 1, False, 60_000, 120_000, 0)])
"""A forecast that refuses the job of `JobServiceHarness`, which has priority 1."""


def deliver_forecast(harness: JobServiceHarness, epoch: int = 1, data: Any = None) -> None:
    forecast = to_plain(OVERLOAD) if data is None else data
    harness.owner.apply_heartbeat(PEER, OwnerHeartbeat(epoch, forecast=forecast))


def test_hopeless_job_is_refused_before_anything_is_stored() -> None:
    harness = JobServiceHarness()
    lines: list[dict[str, Any]] = []
    harness.service._log = lambda event, fields: lines.append({"event": event, **fields})
    deliver_forecast(harness)
    harness.clock.advance(400)

    fault = harness.submit().failure()

    assert fault.code is ResultCode.JOB_TOO_LATE
    assert fault.retry_after_ms is not None
    assert "has not run" in fault.detail
    assert harness.store.commits == 0
    assert harness.hub.calls == harness.hub.notices == []
    assert [(line["event"], line["forecast_age_ms"]) for line in lines] == [
        ("job_not_accepted", 400)
    ]


def test_owner_applies_its_own_forecast() -> None:
    harness = JobServiceHarness()
    harness.is_owner = True
    harness.owner.record_forecast(OVERLOAD, 1, 0)
    assert harness.submit().failure().code is ResultCode.JOB_TOO_LATE


def test_nobody_is_refused_by_an_old_forecast() -> None:
    harness = JobServiceHarness()
    deliver_forecast(harness)
    harness.clock.advance(FORECAST_MAX_AGE_MS + 1)
    assert harness.submit() == Success(SubmitResult(True))


def test_age_of_a_forecast_includes_the_time_before_it_was_sent() -> None:
    harness = JobServiceHarness()
    heartbeat = OwnerHeartbeat(1, forecast=to_plain(OVERLOAD), forecast_age_ms=1_000)
    harness.owner.apply_heartbeat(PEER, heartbeat)
    harness.clock.advance(FORECAST_MAX_AGE_MS - 1_000 + 1)
    assert harness.submit() == Success(SubmitResult(True))


@pytest.mark.parametrize("row_epoch", [1, 3])
def test_nobody_is_refused_by_a_forecast_of_another_epoch(row_epoch: int) -> None:
    harness = JobServiceHarness()
    deliver_forecast(harness, epoch=2)
    harness.owner.apply_row(OwnerRow(row_epoch, "third", "10.0.0.3", 7000, "n"), 2)
    assert harness.submit() == Success(SubmitResult(True))


def test_heartbeat_without_a_forecast_ends_the_refusals() -> None:
    harness = JobServiceHarness()
    deliver_forecast(harness)
    harness.owner.apply_heartbeat(PEER, OwnerHeartbeat(1))
    assert harness.submit() == Success(SubmitResult(True))


@pytest.mark.parametrize("data", [7, {"starts": [{"service": 1}]}, {"other": 1}])
def test_unreadable_forecast_of_another_version_is_ignored(data: Any) -> None:
    harness = JobServiceHarness()
    deliver_forecast(harness, data=data)
    assert harness.owner.heartbeat_age_ms() == 0
    assert harness.submit() == Success(SubmitResult(True))


def test_repeated_submission_of_an_accepted_job_is_accepted_under_overload() -> None:
    harness = JobServiceHarness()
    harness.submit()
    deliver_forecast(harness)
    assert harness.submit() == Success(SubmitResult(False))


def test_job_is_not_refused_if_it_can_not_be_looked_up() -> None:
    harness = JobServiceHarness()
    deliver_forecast(harness)
    harness.store.read_faults = [ResultCode.STORE_UNAVAILABLE]
    assert harness.submit() == Success(SubmitResult(True))


def test_lost_store_is_not_reported_as_overload() -> None:
    harness = JobServiceHarness()
    deliver_forecast(harness)
    harness.is_store_lost = True
    assert harness.submit().failure().code is ResultCode.STORE_UNAVAILABLE


def test_frame_of_a_heartbeat_has_the_forecast_only_under_overload() -> None:
    """Older nodes close a stream that brings an unknown field."""
    idle = encode_frame(OwnerHeartbeat(1), 0)
    assert b"forecast" not in idle
    busy = OwnerHeartbeat(1, forecast=to_plain(OVERLOAD), forecast_age_ms=0)
    for heartbeat in (OwnerHeartbeat(1), busy):
        frame = decode_body(encode_frame(heartbeat, 0)[LENGTH_BYTES:]).unwrap()
        assert frame.message == heartbeat


@dataclass
class BusyOwnership:
    """An ownership whose forecasts take `spent_ms`."""

    clock: ManualClock
    spent_ms: int = 0
    epoch: int = 1
    is_loaded: bool = True
    computed: list[int] = field(default_factory=list)

    @property
    def scheduler(self) -> Scheduler:
        return cast(Scheduler, self)

    def forecast_starts(self, now_ms: int) -> Forecast:
        self.computed.append(now_ms)
        self.clock.advance(self.spent_ms)
        return OVERLOAD


def make_forecaster() -> tuple[Forecaster, OwnerView, ManualClock, MetricsRegistry]:
    clock = ManualClock()
    owner_view = OwnerView(clock)
    owner_view.apply_row(OwnerRow(1, "self", "10.0.0.1", 7000, "n"), 1)
    metrics = MetricsRegistry()
    return Forecaster(owner_view, clock, metrics), owner_view, clock, metrics


def test_owner_sends_its_forecast_with_its_age_while_it_is_loaded() -> None:
    forecaster, owner_view, clock, metrics = make_forecaster()
    ownership = BusyOwnership(clock)
    forecaster.update(ownership)
    clock.advance(250)
    assert forecaster.message_fields(ownership) == (to_plain(OVERLOAD), 250)
    set_forecast_gauges(metrics, None, owner_view)
    assert 'predicted_wait_ms{priority="0"} 60000' in metrics.render()
    ownership.is_loaded = False
    assert forecaster.message_fields(ownership) == (None, None)
    forecaster.update(None)
    assert len(ownership.computed) == 1


@pytest.mark.parametrize(("spent_ms", "count"), [(0, 16), (25, 8), (200, 4)])
def test_slow_forecasts_are_computed_less_often(spent_ms: int, count: int) -> None:
    forecaster, _, clock, _ = make_forecaster()
    ownership = BusyOwnership(clock, spent_ms)
    began_ms = clock.time_ms
    for tick in range(16):
        clock.time_ms = began_ms + 250 * tick
        forecaster.update(ownership)
    assert len(ownership.computed) == count
    assert FORECAST_MAX_AGE_MS > MAX_PAUSE_MS


def test_small_queue_is_not_refused() -> None:
    harness = JobServiceHarness()
    short = Forecast([PredictedStart("s", 0, 1, False, 1_000, 2_000, 0)])
    harness.owner.record_forecast(short, 1, 0)
    assert harness.submit() == Success(SubmitResult(True))
