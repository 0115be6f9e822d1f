"""Finds the jobs that workspaces submit beyond their weight in jobs a second.

With a limit of the weight rounded up, a job exceeds the rate if the `limit / weight` seconds before
it already hold `limit` jobs of its workspace that don't exceed it.  The result depends only on the
accepted records, so that each owner computes the same, in whatever order it reads the jobs.

Targets bursts: a workspace that sends many times its usual load does not delay the others.
"""

from __future__ import annotations

import bisect
import math
from collections import deque
from dataclasses import dataclass, field
from typing import Final

from jacinthreel_steps._tables import Job

MAX_WINDOW_MS: Final = 60_000  # A weight below 1/60 would give a longer one.


@dataclass(slots=True)
class _Arrivals:
    """The recent arrivals of a workspace, ordered by time and job id.

    The arrivals from index `checked` on have to be checked for `weight`.
    """

    keys: list[tuple[int, str]] = field(default_factory=list)
    excess_ids: set[str] = field(default_factory=set)
    checked: int = 0
    weight: float = 0.0


class ArrivalRates:
    """The recent arrivals of all workspaces."""

    def __init__(self) -> None:
        self._arrivals_by_workspace: dict[str, _Arrivals] = {}

    def record(self, job: Job) -> None:
        """Records an accepted job."""
        record = job.record
        arrivals = self._arrivals_by_workspace.setdefault(record.workspace, _Arrivals())
        key = (record.accepted_unix_ms, record.job_id)
        index = bisect.bisect_left(arrivals.keys, key)
        arrivals.keys.insert(index, key)
        arrivals.checked = min(arrivals.checked, index)

    def remove(self, job: Job) -> None:
        """Removes a job that ended long before the windows of later jobs."""
        record = job.record
        arrivals = self._arrivals_by_workspace.get(record.workspace)
        if arrivals is None:
            return
        key = (record.accepted_unix_ms, record.job_id)
        index = bisect.bisect_left(arrivals.keys, key)
        if index < len(arrivals.keys) and arrivals.keys[index] == key:
            del arrivals.keys[index]
            arrivals.checked -= index < arrivals.checked
        arrivals.excess_ids.discard(record.job_id)
        if not arrivals.keys:
            del self._arrivals_by_workspace[record.workspace]

    def exceeds_rate(self, job: Job, weight: float | None) -> bool:
        """Whether the job exceeds the rate of its workspace; never without a weight."""
        arrivals = self._arrivals_by_workspace.get(job.record.workspace)
        if weight is None or arrivals is None:
            return False
        if arrivals.weight != weight:
            arrivals.weight = weight
            arrivals.checked = 0
        if arrivals.checked < len(arrivals.keys):
            _check_arrivals(arrivals)
        return job.job_id in arrivals.excess_ids


def _check_arrivals(arrivals: _Arrivals) -> None:
    """Finds the jobs beyond the rate among the arrivals that were not checked yet."""
    limit = max(1, math.ceil(arrivals.weight))
    window_ms = min(MAX_WINDOW_MS, 1_000 * limit / arrivals.weight)
    counted: deque[int] = deque(maxlen=limit)
    for arrived_ms, job_id in arrivals.keys[: arrivals.checked]:
        if job_id not in arrivals.excess_ids:
            counted.append(arrived_ms)
    for arrived_ms, job_id in arrivals.keys[arrivals.checked :]:
        if len(counted) == limit and arrived_ms - counted[0] < window_ms:
            arrivals.excess_ids.add(job_id)
        else:
            arrivals.excess_ids.discard(job_id)
            counted.append(arrived_ms)
    arrivals.checked = len(arrivals.keys)
