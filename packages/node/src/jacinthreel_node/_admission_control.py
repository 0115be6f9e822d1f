"""Refuses submissions whose result would come too late, by the owner's forecast of starts.

The check comes before anything is stored.  A submission that would be refused is first looked up in
the intake table, because a caller that repeats an accepted submission must be told that it was
accepted.  If the look-up fails, the submission is not refused.
"""

from __future__ import annotations

from typing import Any, Final

from returns.result import Success

from jacinthreel_common import Fault, ResultCode
from jacinthreel_daemon.plumbing import MetricsRegistry
from jacinthreel_node._owner_view import OwnerView
from jacinthreel_node._ports import KeyedStore, Snapshot
from jacinthreel_node._records import INTAKE_TABLE, JOB_PREFIX
from jacinthreel_node._routing import RoutedCall
from jacinthreel_node._store_health import StoreAvailability
from jacinthreel_steps import JobSpec, find_refusal, retry_after_ms

FORECAST_MAX_AGE_MS: Final = 1_900
LOOK_UP_TIMEOUT_MS: Final = 300  # Leaves the time for an insert if the store does not answer.


class AdmissionControl:
    """Decides which submissions are refused because of overload."""

    def __init__(
        self,
        store: KeyedStore,
        store_availability: StoreAvailability,
        owner_view: OwnerView,
        metrics: MetricsRegistry,
    ) -> None:
        self._store = store
        self._store_availability = store_availability
        self._owner_view = owner_view
        self._metrics = metrics

    async def check(
        self, call: RoutedCall, job_id: str, spec: JobSpec, remaining_ms: int
    ) -> tuple[Fault, dict[str, Any]] | None:
        """Returns the fault and its inputs for the log if a job is refused, or None.

        `remaining_ms` is how long the caller still waits; at most half of it is used.
        """
        current = self._owner_view.current_forecast(FORECAST_MAX_AGE_MS)
        if current is None:
            return None
        forecast, age_ms = current
        queue = call.route.queue
        refusal = find_refusal(forecast, age_ms, queue, call.workspace, spec)
        if refusal is None or not await self._is_unknown(job_id, remaining_ms // 2):
            return None
        self._metrics.count(f'submissions_refused_total{{priority="{queue.priority}"}}')
        delay_ms = retry_after_ms(refusal, job_id)
        detail = (
            f"overloaded: the result is expected in {refusal.result_ms} ms at the earliest and "
            f"useless after {refusal.limit_ms} ms; the job has not run"
        )
        fields = {
            "priority": queue.priority,
            "rank": refusal.rank,
            "start_ms": refusal.start_ms,
            "result_ms": refusal.result_ms,
            "limit_ms": refusal.limit_ms,
            "drain_ms": refusal.drain_ms,
            "accelerators": refusal.accelerators,
            "free_accelerators": refusal.free_accelerators,
            "forecast_age_ms": age_ms,
            "retry_after_ms": delay_ms,
        }
        return Fault(ResultCode.JOB_TOO_LATE, detail, delay_ms), fields

    async def _is_unknown(self, job_id: str, limit_ms: int) -> bool:
        """Whether the intake table certainly has no job with this id."""
        key = JOB_PREFIX + job_id
        timeout_ms = min(LOOK_UP_TIMEOUT_MS, limit_ms)
        if timeout_ms <= 0 or self._store_availability.is_lost(key):
            return False
        match await self._store.read(INTAKE_TABLE, timeout_ms, key):
            case Success(Snapshot(rows=rows)):
                return not rows
        return False
