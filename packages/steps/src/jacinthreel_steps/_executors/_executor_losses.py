"""Records executors that were lost with their runs, and which others were lost at the same time.

An executor is lost when it restarts, is replaced by another process at its address, or does not
respond until its leases have expired.  One that announced its shutdown is not lost.

The time of a loss is that of the last report before it.  An executor that is silent counts as lost
at its last report too, because it may take several seconds until its loss is certain.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, replace
from itertools import islice
from typing import Final

from jacinthreel_steps._tables import Executor, Tables

SAME_TIME_MS: Final = 2_000  # Above the longest time between two reports of an idle executor.
SILENT_AFTER_MS: Final = 1_400
SUSPECT_ADDRESS_MS: Final = 30_000
CALM_MS: Final = 6_000
OUTAGE_EXECUTORS: Final = 2  # A single other loss at the same time may be a coincidence.
RETENTION_MS: Final = 60_000  # Longer than it takes until all losses of one outage are certain.


@dataclass(frozen=True, slots=True)
class ExecutorLoss:
    """The loss of an executor, which had the last report before it at `lost_ms`.

    `job_ids` are the jobs with runs there; `has_crashed_task` tells whether one of these tasks had
    lost an executor before, `is_solo` whether all runs there were of one task or one gang,
    `is_single` whether few others were lost at the same time.
    """

    lost_ms: int
    address: str
    job_ids: frozenset[str]
    has_crashed_task: bool
    is_solo: bool = False
    is_single: bool = False


class ExecutorLosses:
    """The recent losses of executors."""

    def __init__(self) -> None:
        self._loss_by_executor_id: dict[str, ExecutorLoss] = {}
        # The last answers of `is_outage`: the runs of a lost executor ask one after the other.
        self._outage_key = ("", 0, 0)
        self._is_outage_by_job_id: dict[str, bool] = {}

    def record(self, tables: Tables, executor: Executor, now_ms: int) -> bool:
        """Records that an executor was lost; call before its runs are ended.

        Returns false if this loss is already recorded or the executor was to shut down.
        """
        known = self._loss_by_executor_id.get(executor.executor_id)
        if known is not None and known.lost_ms == executor.last_report_ms:
            return False
        if executor.listing.is_draining:
            return False
        self._discard_old(now_ms)
        self._loss_by_executor_id.pop(executor.executor_id, None)
        loss = _make_loss(tables, executor)
        self._loss_by_executor_id[executor.executor_id] = loss
        others = self.count_simultaneous(tables, executor.executor_id, now_ms, OUTAGE_EXECUTORS)
        if others < OUTAGE_EXECUTORS:
            self._loss_by_executor_id[executor.executor_id] = replace(loss, is_single=True)
        return True

    def suspect_addresses(self, now_ms: int) -> set[str]:
        """Returns the addresses of executors that were lost singly and recently.

        They may crash by themselves, and do so again.
        """
        since_ms = now_ms - SUSPECT_ADDRESS_MS
        return {
            loss.address
            for loss in self._loss_by_executor_id.values()
            if loss.is_single and loss.lost_ms >= since_ms
        }

    def count_simultaneous(self, tables: Tables, executor_id: str, now_ms: int, limit: int) -> int:
        """Returns how many other executors were lost at the same time, at most `limit`."""
        losses = self._find_simultaneous(tables, executor_id, now_ms)
        return sum(1 for _ in islice(losses, limit))

    def last_loss(self, executor_id: str) -> ExecutorLoss | None:
        """Returns the executor's last loss, None if it was not lost recently."""
        return self._loss_by_executor_id.get(executor_id)

    def is_outage(self, tables: Tables, executor_id: str, job_id: str, now_ms: int) -> bool:
        """Whether the executor's last loss was part of an outage, which no task of the job caused.

        It was if several other executors were lost at the same time.  Executors that ran a task of
        the job, or any task that had lost an executor before, don't count: that task may have
        crashed them.  Also true if the loss is not recorded.
        """
        own = self._loss_by_executor_id.get(executor_id)
        if own is None:
            return True
        key = (executor_id, own.lost_ms, now_ms)
        if key != self._outage_key:
            self._outage_key = key
            self._is_outage_by_job_id.clear()
        if job_id not in self._is_outage_by_job_id:
            is_outage = self._were_others_lost(tables, executor_id, job_id, now_ms)
            self._is_outage_by_job_id[job_id] = is_outage
        return self._is_outage_by_job_id[job_id]

    def _were_others_lost(self, tables: Tables, executor_id: str, job_id: str, now_ms: int) -> bool:
        """Whether several executors without a task of the job were lost at the same time."""
        count = 0
        for loss in self._find_simultaneous(tables, executor_id, now_ms):
            if job_id in loss.job_ids or loss.has_crashed_task:
                continue
            count += 1
            if count >= OUTAGE_EXECUTORS:
                return True
        return False

    def is_outage_current(self, tables: Tables, now_ms: int) -> bool:
        """Whether several executors were lost within the last `CALM_MS`."""
        since_ms = now_ms - CALM_MS
        lost_ids = {
            executor_id
            for executor_id, loss in self._loss_by_executor_id.items()
            if loss.lost_ms > since_ms
        }
        for executor in tables.executors_by_id.values():
            if since_ms < executor.last_report_ms < now_ms - SILENT_AFTER_MS:
                lost_ids.add(executor.executor_id)
        return len(lost_ids) >= OUTAGE_EXECUTORS

    def _find_simultaneous(
        self, tables: Tables, executor_id: str, now_ms: int
    ) -> Iterator[ExecutorLoss]:
        """Yields the losses of other executors at the time of the last loss of this one."""
        own = self._loss_by_executor_id.get(executor_id)
        if own is None:
            return
        for other_id, loss in reversed(self._loss_by_executor_id.items()):
            if other_id != executor_id and _is_same_time(loss.lost_ms, own):
                yield loss
        for other in tables.executors_by_id.values():
            if now_ms - other.last_report_ms <= SILENT_AFTER_MS:
                continue
            if other.listing.is_draining or not _is_same_time(other.last_report_ms, own):
                continue
            known = self._loss_by_executor_id.get(other.executor_id)
            if known is None or known.lost_ms != other.last_report_ms:
                yield _make_loss(tables, other)

    def _discard_old(self, now_ms: int) -> None:
        oldest_ms = now_ms - RETENTION_MS
        if all(loss.lost_ms >= oldest_ms for loss in self._loss_by_executor_id.values()):
            return
        self._loss_by_executor_id = {
            key: loss
            for key, loss in self._loss_by_executor_id.items()
            if loss.lost_ms >= oldest_ms
        }


def _make_loss(tables: Tables, executor: Executor) -> ExecutorLoss:
    job_ids = frozenset(task_id.job_id for task_id in executor.runs_by_task)
    has_crashed_task = any(tables.has_crashed(task_id) for task_id in executor.runs_by_task)
    return ExecutorLoss(
        executor.last_report_ms,
        executor.listing.address,
        job_ids,
        has_crashed_task,
        _is_solo(tables, executor),
    )


def _is_solo(tables: Tables, executor: Executor) -> bool:
    """Whether all runs of an executor are of one task or one gang."""
    runs = iter(executor.runs_by_task)
    first = next(runs, None)
    if first is None or first.job_id not in tables.jobs_by_id:
        return False
    gang = (first.job_id, first.step_index)
    is_gang = tables.jobs_by_id[first.job_id].steps[first.step_index].spec.is_gang
    return all(is_gang and (other.job_id, other.step_index) == gang for other in runs)


def _is_same_time(lost_ms: int, own: ExecutorLoss) -> bool:
    return abs(lost_ms - own.lost_ms) <= SAME_TIME_MS
