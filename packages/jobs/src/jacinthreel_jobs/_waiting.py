"""The order in which queued gangs are looked at.

A gang's rank is a time in seconds: when it was submitted, plus a delay that grows with the work
that is expected of it and with the work that its own workspace had waiting already.  Short work
thus goes first, a workspace that submits a wave waits behind its own wave, and nothing starves:
whatever is submitted after a gang's rank comes behind it.  Ranks don't change while a gang waits,
so the order is kept up to date with the cost of what was added and removed since the last plan.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

from sortedcontainers import SortedList

from jacinthreel_jobs._guaranteed_pass import ShapeKey, shape_key
from jacinthreel_jobs._tables import JobEntry, Tables

WORK_DELAY: Final = 20.0  # Seconds of delay for each second that the whole shard would work.
BACKLOG_DELAY: Final = 0.5  # The same for work that the workspace had waiting.
PRIORITY_DELAY_S: Final = 60.0  # Each step of priority is worth this much.
DEFAULT_PRIORITY: Final = 5

GroupKey = tuple[str, ShapeKey]
"""Workspace and shape."""

ExpectRun = Callable[[JobEntry], float]
"""The run time expected of a gang, in seconds."""


@dataclass(slots=True, order=True, frozen=True)
class Rank:
    """Where a gang stands; the lowest goes first."""

    not_urgent: bool
    time_s: float
    job_id: str


@dataclass(slots=True)
class _Waiting:
    """A gang in the order, and the work that it adds to its workspace's backlog."""

    group: GroupKey
    rank: Rank
    work_s: float


@dataclass(slots=True)
class WaitingJobs:
    """All queued gangs, in order of rank within each group of equal shape and workspace."""

    _waiting_by_id: dict[str, _Waiting] = field(default_factory=dict)
    _ranks_by_group: dict[GroupKey, SortedList[Rank]] = field(default_factory=dict)
    _backlog_by_workspace: dict[str, float] = field(default_factory=dict)

    def update(self, tables: Tables, expect_run_s: ExpectRun) -> None:
        """Takes in what was queued and dequeued since the last call."""
        queued = tables.queued_by_id
        for job_id in self._waiting_by_id.keys() - queued.keys():
            self._remove(job_id)
        added = queued.keys() - self._waiting_by_id.keys()
        if not added:
            return
        accelerators = sum(w.accelerators for w in tables.workers_by_id.values())
        for job_id in sorted(added, key=lambda job_id: (queued[job_id].submitted_ms, job_id)):
            self._add(queued[job_id], max(1, accelerators), expect_run_s)

    def walk(self, tables: Tables, visit: Callable[[JobEntry], bool]) -> None:
        """Visits queued gangs in order of rank; `update` has to come before.

        Where `visit` returns false, the rest of the gang's group is left out.
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

    def _add(self, entry: JobEntry, accelerators: int, expect_run_s: ExpectRun) -> None:
        spec = entry.record.spec
        left_s = max(1.0, expect_run_s(entry) - entry.record.run_s)
        work_s = left_s * max(1, spec.accelerators) / accelerators
        backlog_s = self._backlog_by_workspace.get(spec.workspace, 0.0)
        time_s = entry.submitted_ms / 1000 + WORK_DELAY * work_s + BACKLOG_DELAY * backlog_s
        time_s += (DEFAULT_PRIORITY - spec.priority) * PRIORITY_DELAY_S
        rank = Rank(not spec.urgent, time_s, entry.job_id)
        group = (spec.workspace, shape_key(entry))
        self._waiting_by_id[entry.job_id] = _Waiting(group, rank, work_s)
        self._ranks_by_group.setdefault(group, SortedList()).add(rank)
        self._backlog_by_workspace[spec.workspace] = backlog_s + work_s

    def _remove(self, job_id: str) -> None:
        waiting = self._waiting_by_id.pop(job_id)
        ranks = self._ranks_by_group[waiting.group]
        ranks.remove(waiting.rank)
        if not ranks:
            del self._ranks_by_group[waiting.group]
        self._backlog_by_workspace[waiting.group[0]] -= waiting.work_s
