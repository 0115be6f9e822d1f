"""Records executors that were lost with their runs, and which others were lost at the same time.

An executor is lost when it restarts, is replaced by another process at its address, or does not
respond until its leases have expired.  One that announced its shutdown is not lost.

The time of a loss is that of the last report before it.  An executor that is silent counts as lost
at its last report too, because it may take several seconds until its loss is certain.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Final

from jacinthreel_steps._tables import Executor, Tables

SAME_TIME_MS: Final = 2_000  # Above the longest time between two reports of an idle executor.
SILENT_AFTER_MS: Final = 1_400
RETENTION_MS: Final = 30_000  # Longer than it takes until all losses of one outage are certain.


@dataclass(frozen=True, slots=True)
class ExecutorLoss:
    """The loss of an executor; `job_ids` are the jobs with runs there."""

    lost_ms: int
    job_ids: frozenset[str]


class ExecutorLosses:
    """The recent losses of executors."""

    def __init__(self) -> None:
        self._loss_by_executor_id: dict[str, ExecutorLoss] = {}

    def record(self, executor: Executor) -> bool:
        """Records that an executor was lost; call before its runs are ended.

        Returns false if this loss is already recorded or the executor was to shut down.
        """
        known = self._loss_by_executor_id.get(executor.executor_id)
        if known is not None and known.lost_ms == executor.last_report_ms:
            return False
        if executor.listing.is_draining:
            return False
        self._loss_by_executor_id[executor.executor_id] = _make_loss(executor)
        return True

    def find_simultaneous(
        self, tables: Tables, executor: Executor, now_ms: int
    ) -> Iterator[ExecutorLoss]:
        """Yields the losses of other executors at the time at which `executor` was lost."""
        self._discard_old(now_ms)
        for executor_id, loss in self._loss_by_executor_id.items():
            if executor_id != executor.executor_id and _is_same_time(loss.lost_ms, executor):
                yield loss
        for other in tables.executors_by_id.values():
            if other is executor or now_ms - other.last_report_ms <= SILENT_AFTER_MS:
                continue
            if other.listing.is_draining or not _is_same_time(other.last_report_ms, executor):
                continue
            known = self._loss_by_executor_id.get(other.executor_id)
            if known is None or known.lost_ms != other.last_report_ms:
                yield _make_loss(other)

    def _discard_old(self, now_ms: int) -> None:
        oldest_ms = now_ms - RETENTION_MS
        if all(loss.lost_ms >= oldest_ms for loss in self._loss_by_executor_id.values()):
            return
        self._loss_by_executor_id = {
            key: loss
            for key, loss in self._loss_by_executor_id.items()
            if loss.lost_ms >= oldest_ms
        }


def _make_loss(executor: Executor) -> ExecutorLoss:
    job_ids = frozenset(task_id.job_id for task_id in executor.runs_by_task)
    return ExecutorLoss(executor.last_report_ms, job_ids)


def _is_same_time(lost_ms: int, executor: Executor) -> bool:
    return abs(lost_ms - executor.last_report_ms) <= SAME_TIME_MS
