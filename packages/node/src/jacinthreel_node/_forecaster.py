"""Computes the owner's forecasts of starts, within a bounded share of the process's time."""

from __future__ import annotations

from typing import Any, Final, Protocol

from jacinthreel_common import to_plain
from jacinthreel_daemon.plumbing import Clock, MetricsRegistry
from jacinthreel_node._admission_control import FORECAST_MAX_AGE_MS
from jacinthreel_node._owner_view import OwnerView
from jacinthreel_steps import Scheduler

PAUSE_PER_TIME_SPENT: Final = 20  # Limits forecasts to 5 % of the process's time.
MAX_PAUSE_MS: Final = 1_000  # With longer pauses, forecasts would become too old to be used.


class ForecastSource(Protocol):
    """The ownership whose scheduler is asked for forecasts."""

    epoch: int
    is_loaded: bool
    scheduler: Scheduler


class Forecaster:
    """Keeps the forecast of an owner current in its own `OwnerView` and for its heartbeats."""

    def __init__(self, owner_view: OwnerView, clock: Clock, metrics: MetricsRegistry) -> None:
        self._owner_view = owner_view
        self._clock = clock
        self._metrics = metrics
        self._next_ms = 0

    def update(self, ownership: ForecastSource | None) -> None:
        """Computes a new forecast if this node owns the jobs and the last one is old enough."""
        started_ms = self._clock.now_ms()
        if ownership is None or not ownership.is_loaded or started_ms < self._next_ms:
            return
        forecast = ownership.scheduler.forecast_starts(started_ms)
        spent_ms = self._clock.now_ms() - started_ms
        self._next_ms = started_ms + min(MAX_PAUSE_MS, PAUSE_PER_TIME_SPENT * spent_ms)
        self._metrics.observe_ms("forecast_ms", spent_ms)
        self._owner_view.record_forecast(forecast, ownership.epoch, spent_ms)

    def message_fields(self, ownership: ForecastSource) -> tuple[Any, int | None]:
        """Returns the plain data and the age of the forecast for a heartbeat; None if absent."""
        current = self._owner_view.current_forecast(FORECAST_MAX_AGE_MS)
        if current is None or not ownership.is_loaded:
            return None, None
        return to_plain(current[0]), current[1]
