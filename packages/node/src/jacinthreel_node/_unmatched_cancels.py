"""Stored cancellations whose job is not known to the owner.

Most are of jobs that were never accepted; they keep a late insert of the job out.  Others are seen
before the job's row, or were stored after the job's rows had been deleted.  The owner deletes them
once no insert from before can be under way any more.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

from jacinthreel_node._ports import Row
from jacinthreel_node._records import cancels_job, decode_cancel
from jacinthreel_steps import JobRecord

UNMATCHED_KEEP_MS: Final = 60_000  # The store may carry out an unanswered write seconds later.


@dataclass(frozen=True, slots=True)
class _SeenRow:
    row: Row
    seen_ms: int


class UnmatchedCancels:
    """The newest cancellation of each id without a job, and since when this owner has seen it."""

    def __init__(self) -> None:
        self._seen_by_id: dict[str, _SeenRow] = {}

    def record(self, job_id: str, row: Row, now_ms: int) -> None:
        """Records a row; one that is as old as the known one is ignored."""
        seen = self._seen_by_id.get(job_id)
        if seen is None or row.version > seen.row.version:
            self._seen_by_id[job_id] = _SeenRow(row, now_ms)

    def forget(self, job_id: str) -> None:
        """Records that the row is deleted, or belongs to a job now; a no-op if unknown."""
        self._seen_by_id.pop(job_id, None)

    def is_cancelled(self, record: JobRecord, version: int | None) -> bool:
        """Whether a cancellation applies to a job whose row has `version`, None if not stored yet.

        One that is older than the job's row was deleted, or replaced, before that was inserted.
        """
        seen = self._seen_by_id.get(record.job_id)
        if seen is None or (version is not None and seen.row.version < version):
            return False
        return cancels_job(decode_cancel(seen.row.value), record)

    def rows_to_delete(self, now_ms: int) -> dict[str, Row]:
        """Returns the rows that were kept for long enough, by job id."""
        before_ms = now_ms - UNMATCHED_KEEP_MS
        return {
            job_id: seen.row
            for job_id, seen in self._seen_by_id.items()
            if seen.seen_ms <= before_ms
        }
