"""Carries out promotions: assigns cells of its workspace's guarantee to a running borrower."""

from __future__ import annotations

from dataclasses import replace

from jacinthreel_jobs._context import RowChange, ShardContext
from jacinthreel_jobs._effects import WritePriority
from jacinthreel_jobs._gang import GangPhase
from jacinthreel_jobs._planning import Promote
from jacinthreel_jobs._rows import request_change


def promote(ctx: ShardContext, decision: Promote) -> str:
    """Requests the row change of a promotion; returns why it is refused, or an empty string.

    The gang counts as promoted once its row is stored, so that a new owner loads the same cells.
    """
    gang = ctx.gangs_by_job_id.get(decision.job_id)
    if gang is None or gang.phase is not GangPhase.RUNNING:
        return "the gang is not running"
    record = gang.job.record
    current = [(task.task_index, task.worker_id) for task in record.placement]
    if current != [(task.task_index, task.worker_id) for task in decision.placement]:
        return "the gang runs on other workers"
    promoted = replace(record, placement=list(decision.placement), borrowed=False)
    change = RowChange(decision.job_id, promoted, gang.job.row_version, WritePriority.BOOKKEEPING)
    if not request_change(ctx, change):
        return "another change of the row is in progress"
    ctx.log("promote", job_id=decision.job_id, reason=decision.reason)
    return ""
