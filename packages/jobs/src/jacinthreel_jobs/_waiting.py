"""The order in which the planner considers queued gangs.

Urgent gangs come first.  Urgent gangs among themselves, and all others, are ordered by a time in
seconds: the submission time, plus a delay that grows with the gang's expected work and with the
work that its workspace had queued already, less `PRIORITY_DELAY_S` for each step of priority.  So
short gangs go first, and a workspace that submits many gangs at once delays its own gangs.  Gangs
of the same urgency don't starve each other, because gangs submitted long enough after a gang are
ranked behind it.  Ranks don't change while a gang is queued, so an update costs only as much as the
gangs that were queued and dequeued since the last plan.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

from sortedcontainers import SortedList

from jacinthreel_jobs._guaranteed_pass import ShapeKey, shape_key
from jacinthreel_jobs._tables import JobEntry, Tables

WORK_DELAY_FACTOR: Final = 20.0
"""Seconds of delay for each second that the gang's work would occupy the whole shard."""
BACKLOG_DELAY_FACTOR: Final = 0.5
"""Seconds of delay for each such second of work that the workspace had queued already."""
PRIORITY_DELAY_S: Final = 60.0
"""Each step of priority above `DEFAULT_PRIORITY` reduces the delay by this; below, it adds it."""
DEFAULT_PRIORITY: Final = 5

GroupKey = tuple[str, ShapeKey]
"""Workspace and shape."""

RunTimeFunction = Callable[[JobEntry], float]
"""Returns the estimated run time of a gang in seconds."""


@dataclass(slots=True, order=True, frozen=True)
class Rank:
    """The rank of a gang; the lowest is considered first."""

    not_urgent: bool
    time_s: float
    job_id: str


@dataclass(slots=True)
class _QueuedGang:
    """The rank of a queued gang, and the work that it adds to its workspace's backlog.

    `work_s` is the time in seconds that the work would occupy the whole shard.
    """

    group: GroupKey
    rank: Rank
    work_s: float


@dataclass(slots=True)
class WaitingJobs:
    """All queued gangs, ordered by rank within each group of equal workspace and shape."""

    _queued_by_id: dict[str, _QueuedGang] = field(default_factory=dict)
    _ranks_by_group: dict[GroupKey, SortedList[Rank]] = field(default_factory=dict)
    _backlog_by_workspace: dict[str, float] = field(default_factory=dict)

    def update(self, tables: Tables, expect_run_s: RunTimeFunction) -> None:
        """Adds and removes the gangs that were queued and dequeued since the last call."""
        queued = tables.queued_by_id
        for job_id in self._queued_by_id.keys() - queued.keys():
            self._remove(job_id)
        added = queued.keys() - self._queued_by_id.keys()
        if not added:
            return
        accelerators = sum(w.accelerators for w in tables.workers_by_id.values())
        for job_id in sorted(added, key=lambda job_id: (queued[job_id].submitted_ms, job_id)):
            self._add(queued[job_id], max(1, accelerators), expect_run_s)

    def walk(self, tables: Tables, visit: Callable[[JobEntry], bool]) -> None:
        """Calls `visit` with queued gangs in order of rank; `update` must have been called before.

        If `visit` returns False, the rest of the gang's group is skipped.
        """
        heap = [(ranks[0], key, 0) for key, ranks in self._ranks_by_group.items()]
        heapq.heapify(heap)
        while heap:
            rank, key, index = heapq.heappop(heap)
            if not visit(tables.queued_by_id[rank.job_id]):
                continue
            ranks = self._ranks_by_group[key]
            if index + 1 < len(ranks):
                heapq.heappush(heap, (ranks[index + 1], key, index + 1))

    def _add(self, entry: JobEntry, accelerators: int, expect_run_s: RunTimeFunction) -> None:
        spec = entry.record.spec
        remaining_s = max(1.0, expect_run_s(entry) - entry.record.run_s)
        work_s = remaining_s * max(1, spec.accelerators) / accelerators
        backlog_s = self._backlog_by_workspace.get(spec.workspace, 0.0)
        time_s = (
            entry.submitted_ms / 1000
            + WORK_DELAY_FACTOR * work_s
            + BACKLOG_DELAY_FACTOR * backlog_s
        )
        time_s += (DEFAULT_PRIORITY - spec.priority) * PRIORITY_DELAY_S
        rank = Rank(not spec.urgent, time_s, entry.job_id)
        group = (spec.workspace, shape_key(entry))
        self._queued_by_id[entry.job_id] = _QueuedGang(group, rank, work_s)
        self._ranks_by_group.setdefault(group, SortedList()).add(rank)
        self._backlog_by_workspace[spec.workspace] = backlog_s + work_s

    def _remove(self, job_id: str) -> None:
        gang = self._queued_by_id.pop(job_id)
        ranks = self._ranks_by_group[gang.group]
        ranks.remove(gang.rank)
        if not ranks:
            del self._ranks_by_group[gang.group]
        self._backlog_by_workspace[gang.group[0]] -= gang.work_s
