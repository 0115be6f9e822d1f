"""Counts how many later jobs of its queue were placed while a job waits.

A job is passed by each job of its queue that was accepted later and got its first run earlier.
First placements are kept by queue, sorted by when the job was accepted, so that a placement costs
the same however many jobs wait; those that no waiting job can ask for any more are removed.

After a change of owner the counts begin anew.
"""

from __future__ import annotations

from bisect import bisect_right, insort
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from jacinthreel_steps._tables import Job

Log = Callable[[str, dict[str, Any]], None]


@dataclass(slots=True)
class LongWait:
    """The wait of a job since `since_ms`.

    `passed_before` is how often the job was passed before it, `logged_lines` how many lines told of
    it.
    """

    since_ms: int
    passed_before: int = 0
    logged_lines: int = 0


class PassedJobs:
    """First placements by queue, and the waits of jobs as the last check has found them."""

    def __init__(self) -> None:
        self.wait_by_job: dict[str, LongWait] = {}
        self.checked_ms = 0
        self._accepted_by_queue: dict[str, list[int]] = {}

    def record_placement(self, job: Job, log: Log, now_ms: int) -> None:
        """Records that runs of a job are placed; called before `was_placed` is set."""
        self.end_wait(job, "placed", log, now_ms)
        if not job.was_placed:
            insort(self._accepted_by_queue.setdefault(job.queue.name, []), job.accepted_ms)

    def end_wait(self, job: Job, ended_by: str, log: Log, now_ms: int) -> None:
        """Removes the wait of a job, and logs its length if the log told of it."""
        wait = self.wait_by_job.pop(job.job_id, None)
        if wait is None or not wait.logged_lines:
            return
        fields = {
            "job_id": job.job_id,
            "queue": job.queue.name,
            "waited_ms": now_ms - wait.since_ms,
            "passed_by": self.count_passes(job) - wait.passed_before,
            "ended_by": ended_by,
        }
        log("job_wait_ended", fields)

    def count_passes(self, job: Job) -> int:
        """Returns how many later jobs of its queue were placed, as far as that is still known."""
        accepted = self._accepted_by_queue.get(job.queue.name, [])
        return len(accepted) - bisect_right(accepted, job.accepted_ms)

    def forget_placements(self, oldest_by_queue: dict[str, int]) -> None:
        """Removes placements of jobs older than the oldest waiting one, given by when accepted."""
        for queue, accepted in list(self._accepted_by_queue.items()):
            if queue not in oldest_by_queue:
                del self._accepted_by_queue[queue]
                continue
            del accepted[: bisect_right(accepted, oldest_by_queue[queue])]
