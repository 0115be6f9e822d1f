"""Writes the rows of jobs, and determines the outcome of each write.

All changes of job rows are made here, one at a time for each job, conditional on the row's version
and on the epoch row.  Changes are grouped into transactions by priority: starts and stops are sent
at once; acceptances and bookkeeping are sent one transaction at a time, so that the groups grow
with the latency of the store.

A write with an unknown outcome may still be applied later.  Its change is retried with the same
condition on the row's version, so at most one of the two writes is applied, and both store the
same record.  A placement is not retried but fenced: the row is written as queued, with the attempt
number used up.  On a conflict the row is read, and its write id shows whether this process wrote
it; any other write means that another process owns the shard.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import StrEnum

from jacinthreel_common import (
    CONFIG_KEY,
    Condition,
    JobState,
    Row,
    RowWrite,
    WriteOutcome,
    epoch_key,
    job_key,
    to_plain,
)
from jacinthreel_jobs._context import RowChange, ShardContext
from jacinthreel_jobs._effects import ReadRows, Write, WritePriority
from jacinthreel_jobs._events import RowsRead, WriteDone
from jacinthreel_jobs._limits import (
    MAX_ROWS_PER_TRANSACTION,
    WRITE_RETRY_INITIAL_MS,
    WRITE_RETRY_MAX_MS,
)


class ChangeOutcome(StrEnum):
    """The outcome of a change.

    `STORED`: the row holds the change's record.  `DROPPED`: certainly not stored, and not retried.
    `ROW_EXISTS`: the row of an insert existed already.  `PENDING`: failed or unknown so far;
    callers get an answer that says so, and the change is retried.
    """

    STORED = "stored"
    DROPPED = "dropped"
    ROW_EXISTS = "foreign"
    PENDING = "pending"


@dataclass(slots=True)
class ChangeResult:
    """A change and its outcome.

    `version` is the row's version.  `row` is set if the row was read after a conflict.
    `config_conflict` tells whether the configuration row had changed.
    """

    change: RowChange
    outcome: ChangeOutcome
    version: int = 0
    row: Row | None = None
    config_conflict: bool = False


def request_change(ctx: ShardContext, change: RowChange) -> bool:
    """Queues a change; returns False if another change of the row has to be completed first.

    A change that has not been sent yet is replaced, unless callers wait for it and the new change
    is not a cancellation.
    """
    current = ctx.changes_by_job_id.get(change.job_id)
    if current is not None:
        if current.in_flight or current.maybe_applied or current.tries:
            return False
        if current.call_ids and not (change.record and change.record.cancel_requested):
            return False
        ctx.unsent_by_priority[current.priority].pop(change.job_id, None)
        change.call_ids = list(dict.fromkeys(current.call_ids + change.call_ids))
    ctx.changes_by_job_id[change.job_id] = change
    ctx.unsent_by_priority[change.priority][change.job_id] = change
    return True


def flush_writes(ctx: ShardContext) -> None:
    """Sends the queued changes that may be sent now."""
    if not ctx.owns:
        return
    for priority, unsent in ctx.unsent_by_priority.items():
        if not unsent:
            continue
        if priority is not WritePriority.START_STOP and ctx.writes_in_flight[priority]:
            continue
        placements = [change for change in unsent.values() if change.config_version]
        others = [change for change in unsent.values() if not change.config_version]
        _send_in_groups(ctx, priority, placements)
        if priority is WritePriority.START_STOP:
            _send_in_groups(ctx, priority, others)
        else:
            _send_in_groups(ctx, priority, others[:MAX_ROWS_PER_TRANSACTION])


def _send_in_groups(ctx: ShardContext, priority: WritePriority, changes: list[RowChange]) -> None:
    for first in range(0, len(changes), MAX_ROWS_PER_TRANSACTION):
        _send_write(ctx, priority, changes[first : first + MAX_ROWS_PER_TRANSACTION])


def _send_write(ctx: ShardContext, priority: WritePriority, changes: list[RowChange]) -> None:
    shard = ctx.tables.shard
    write_id = f"{shard}-{ctx.epoch}-{ctx.next_id()}"
    conditions = [Condition(epoch_key(shard), ctx.epoch_row_version)]
    if changes[0].config_version:
        conditions.append(Condition(CONFIG_KEY, changes[0].config_version))
    writes: list[RowWrite] = []
    for change in changes:
        key = job_key(shard, change.job_id)
        conditions.append(Condition(key, change.expected_version))
        writes.append(RowWrite(key, to_plain(change.record) if change.record else None))
        change.in_flight = True
        change.tries += 1
        change.write_ids.append(write_id)
        ctx.unsent_by_priority[priority].pop(change.job_id, None)
    ctx.changes_by_write_id[write_id] = changes
    ctx.writes_in_flight[priority] += 1
    ctx.emit(Write(write_id, conditions, writes, priority))


def apply_write_done(ctx: ShardContext, event: WriteDone) -> list[ChangeResult]:
    """Returns the results of the changes of a write that ended; ignores unknown write ids."""
    changes = ctx.changes_by_write_id.pop(event.write_id, None)
    if changes is None:
        return []
    ctx.writes_in_flight[changes[0].priority] -= 1
    for change in changes:
        change.in_flight = False
    match event.outcome:
        case WriteOutcome.COMMITTED:
            return [_settle_as_stored(ctx, change, event.versions) for change in changes]
        case WriteOutcome.CONFLICT:
            return _resolve_conflict(ctx, changes, event.conflicts)
        case WriteOutcome.FAILED:
            return [_handle_failed_write(ctx, change) for change in changes]
        case WriteOutcome.UNKNOWN:
            return [_handle_unknown_outcome(ctx, change) for change in changes]


def apply_rows_read(ctx: ShardContext, event: RowsRead) -> list[ChangeResult]:
    """Returns the result of the change whose row was read after a conflict, or retries it."""
    change = ctx.changes_by_read_id.pop(event.read_id, None)
    if change is None:
        return []
    change.in_flight = False
    row = event.rows[0] if event.rows else None
    deleted = row is None and change.record is None
    if deleted or (row is not None and row.write_id in change.write_ids):
        del ctx.changes_by_job_id[change.job_id]
        return [ChangeResult(change, ChangeOutcome.STORED, row.version if row else 0, row)]
    if row is not None and change.expected_version == 0:
        del ctx.changes_by_job_id[change.job_id]
        return [ChangeResult(change, ChangeOutcome.ROW_EXISTS, row.version, row)]
    if row is not None and row.version == change.expected_version:
        _schedule_retry(ctx, change)
        return []
    if row is None and change.expected_version == 0:
        _schedule_retry(ctx, change)
        return []
    ctx.step_down(f"row of job {change.job_id} was changed by another writer")
    return []


def _settle_as_stored(
    ctx: ShardContext, change: RowChange, versions: dict[str, int]
) -> ChangeResult:
    del ctx.changes_by_job_id[change.job_id]
    version = versions.get(job_key(ctx.tables.shard, change.job_id), 0)
    return ChangeResult(change, ChangeOutcome.STORED, version)


def _resolve_conflict(
    ctx: ShardContext, changes: list[RowChange], conflicts: list[str]
) -> list[ChangeResult]:
    """Reads the rows that conflicted, and sends the other changes of the group again.

    Placements are not sent again but dropped, because the configuration may have changed.
    """
    shard = ctx.tables.shard
    if epoch_key(shard) in conflicts:
        ctx.step_down("epoch row changed")
        return []
    results: list[ChangeResult] = []
    for change in changes:
        key = job_key(shard, change.job_id)
        if key in conflicts:
            read_id = f"{shard}-{ctx.epoch}-{ctx.next_id()}"
            change.in_flight = True
            ctx.changes_by_read_id[read_id] = change
            ctx.emit(ReadRows(read_id, [key]))
            continue
        if change.config_version:
            del ctx.changes_by_job_id[change.job_id]
            results.append(ChangeResult(change, ChangeOutcome.DROPPED, config_conflict=True))
            continue
        ctx.unsent_by_priority[change.priority][change.job_id] = change
    return results


def _handle_failed_write(ctx: ShardContext, change: RowChange) -> ChangeResult:
    """Drops a change that a caller or the next plan will repeat; retries any other."""
    droppable = change.config_version or change.call_ids
    if droppable and not change.maybe_applied:
        del ctx.changes_by_job_id[change.job_id]
        return ChangeResult(change, ChangeOutcome.DROPPED)
    _schedule_retry(ctx, change)
    return ChangeResult(change, ChangeOutcome.PENDING)


def _handle_unknown_outcome(ctx: ShardContext, change: RowChange) -> ChangeResult:
    """Retries a change that may have been applied; a placement is replaced by a queued record."""
    change.maybe_applied = True
    if change.config_version and change.record is not None:
        change.record = replace(change.record, state=JobState.QUEUED, placement=[], borrowed=False)
        change.config_version = 0
    _schedule_retry(ctx, change)
    return ChangeResult(change, ChangeOutcome.PENDING)


def _schedule_retry(ctx: ShardContext, change: RowChange) -> None:
    """Retries a change after an exponential delay with jitter."""
    delay_ms = min(WRITE_RETRY_MAX_MS, WRITE_RETRY_INITIAL_MS << min(change.tries, 8))
    delay_ms = int(delay_ms * ctx.rng.uniform(0.5, 1.0))

    def send_again(_now_ms: int) -> None:
        if ctx.changes_by_job_id.get(change.job_id) is change and not change.in_flight:
            ctx.unsent_by_priority[change.priority][change.job_id] = change

    ctx.timers.once(delay_ms, send_again, ctx.now_ms)
