"""A process's view of the current owner: the latest owner row and the last heartbeat."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from jacinthreel_common import Hello, OwnerHeartbeat, convert_stored
from jacinthreel_daemon.plumbing import Clock
from jacinthreel_node._records import OwnerRow
from jacinthreel_steps import Forecast


@dataclass(frozen=True, slots=True)
class ReceivedForecast:
    """A forecast of starts, and the time at which and the epoch in which it was computed."""

    forecast: Forecast
    epoch: int
    computed_ms: int


class OwnerView:
    """The latest owner row, and the contents of the owner's last heartbeat.

    `is_row_known` is set once the owner table was read; `row` is None if the table has no owner.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self.row: OwnerRow | None = None
        self.row_version = 0
        self.is_row_unreadable = False
        self.is_row_known = False
        self.last_heartbeat_ms: int | None = None
        self.lease_age_ms = 0
        self.lease_count: int | None = None
        self.policy_version = 0
        self._waiting_by_queue: dict[str, int] | None = None
        self._received_forecast: ReceivedForecast | None = None

    def apply_row(self, row: OwnerRow | None, version: int, is_unreadable: bool = False) -> bool:
        """Applies a version of the owner row; returns whether it is newer than the current one."""
        self.is_row_known = True
        if version <= self.row_version:
            return False
        self.is_row_unreadable = is_unreadable
        if self.row is None or row is None or row.epoch != self.row.epoch:
            self.last_heartbeat_ms = None
            self.lease_count = None
        self.row = row
        self.row_version = version
        return True

    @property
    def stored_version(self) -> int:
        """The version that a write which replaces the row has to expect, 0 if there is no row."""
        return self.row_version if self.row is not None or self.is_row_unreadable else 0

    def apply_heartbeat(self, peer: Hello, heartbeat: OwnerHeartbeat) -> None:
        """Applies a heartbeat, unless it is from an earlier owner."""
        if self.row is not None and heartbeat.epoch < self.row.epoch:
            return
        self.last_heartbeat_ms = None if heartbeat.resigned else self._clock.now_ms()
        self.lease_age_ms = heartbeat.lease_age_ms
        self.lease_count = heartbeat.lease_count
        self.policy_version = heartbeat.policy_version
        self._waiting_by_queue = heartbeat.waiting_by_queue if heartbeat.is_loaded else None
        forecast = _decode_forecast(heartbeat.forecast)
        self.record_forecast(forecast, heartbeat.epoch, heartbeat.forecast_age_ms or 0)

    def record_forecast(self, forecast: Forecast | None, epoch: int, age_ms: int) -> None:
        """Replaces the forecast; None if the owner of `epoch` expects no job to wait."""
        self._received_forecast = None
        if forecast is not None:
            computed_ms = self._clock.now_ms() - age_ms
            self._received_forecast = ReceivedForecast(forecast, epoch, computed_ms)

    def current_forecast(self, max_age_ms: int) -> tuple[Forecast, int] | None:
        """Returns the forecast of the current owner and its age in ms.

        Returns None if there is none, or if it is older than `max_age_ms` or from another epoch.
        """
        received = self._received_forecast
        if received is None or self.row is None or received.epoch != self.row.epoch:
            return None
        age_ms = self._clock.now_ms() - received.computed_ms
        return (received.forecast, age_ms) if age_ms <= max_age_ms else None

    def heartbeat_age_ms(self) -> int | None:
        """Returns the age of the last heartbeat; None before the first and after a resignation."""
        return (
            None
            if self.last_heartbeat_ms is None
            else self._clock.now_ms() - self.last_heartbeat_ms
        )

    def renewed_ms(self, lease_count: int) -> int | None:
        """Returns when the owner made the given lease renewal, or None if unknown.

        Only the renewal in the last heartbeat is known.  The result is late by at most the
        heartbeat's transit time.
        """
        if self.last_heartbeat_ms is None or self.lease_count != lease_count:
            return None
        return self.last_heartbeat_ms - self.lease_age_ms

    def waiting_job_count(self, queue: str, max_age_ms: int) -> int | None:
        """Returns how many jobs of a queue wait; None if unknown or older than `max_age_ms`."""
        heartbeat_age_ms = self.heartbeat_age_ms()
        if (
            heartbeat_age_ms is None
            or heartbeat_age_ms > max_age_ms
            or self._waiting_by_queue is None
        ):
            return None
        return self._waiting_by_queue.get(queue, 0)


def _decode_forecast(data: Any) -> Forecast | None:
    """Decodes a forecast; None if there is none, or if another version sent an unreadable one."""
    return convert_stored(Forecast, data) if data is not None else None
