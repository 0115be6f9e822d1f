"""The planner: guarantees first, then everyone else in the room that is left.

A plan works on a copy of the workers and has two phases:

1. Gangs within the guarantee of their workspace (`_guaranteed_pass`).
2. Borrowing gangs, in order of rank (`_waiting`), in free room (`_packing`).  The first large
   gangs that don't fit get reservations (`_backfill`), and up to `backfill_depth` others are
   looked at behind them.

Invariants: a placement never exceeds what is free; only borrowers make room; all cells of all
guarantees stay reclaimable (`_cells`).  The cost of a plan is bounded by the number of workers,
running gangs and `backfill_depth`, whatever the length of the queue.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from jacinthreel_common import JobSpec, PresetSettings
from jacinthreel_jobs._backfill import Reservations
from jacinthreel_jobs._cluster_view import ClusterView, WorkerView, build_view
from jacinthreel_jobs._estimates import RunTimeEstimator
from jacinthreel_jobs._guaranteed_pass import Claims, GuaranteedPass
from jacinthreel_jobs._packing import arrange
from jacinthreel_jobs._planning import Decision, Place, PlanTrigger
from jacinthreel_jobs._tables import JobEntry, Tables
from jacinthreel_jobs._waiting import WaitingJobs

MAX_RESERVATIONS: Final = 4

ExpectRunS = Callable[[JobSpec], float]
"""The run time expected of a gang, in seconds."""


class GuaranteePlanner:
    """Places gangs under guarantees; see the module's description."""

    def __init__(self) -> None:
        self._estimator = RunTimeEstimator()
        self._waiting = WaitingJobs()
        self._claims = Claims()

    def observe_finished(self, spec: JobSpec, run_s: float) -> None:
        """Learns that a gang finished after `run_s` seconds of running."""
        self._estimator.observe(spec, run_s)

    def expect_run_s(self, spec: JobSpec) -> float:
        """The run time expected of a gang, in seconds."""
        return self._estimator.expect(spec)

    def plan(self, tables: Tables, trigger: PlanTrigger, now_ms: int) -> list[Decision]:
        """Decisions in the order in which they are to be carried out."""
        if tables.config is None:
            return []
        self._waiting.update(tables, lambda job: self.expect_run_s(job.record.spec))
        view = build_view(tables)
        guaranteed = GuaranteedPass(tables, tables.config, view, self._claims, now_ms)
        urgent_only = trigger is PlanTrigger.URGENT

        def is_ready(job: JobEntry) -> bool:
            return not job.record.cancel_requested and job.not_before_ms <= now_ms

        def visit_guaranteed(job: JobEntry) -> bool:
            if urgent_only and not job.record.spec.urgent:
                return False
            if job.job_id in guaranteed.handled or not is_ready(job):
                return True
            return guaranteed.visit(job)

        self._waiting.walk(tables, visit_guaranteed)
        borrowing = _BorrowingPass(
            tables.config.settings, guaranteed.units_set_aside(), view, now_ms, self.expect_run_s
        )

        def visit_borrowing(job: JobEntry) -> bool:
            if urgent_only and not job.record.spec.urgent:
                return False
            if job.job_id in guaranteed.handled or not is_ready(job):
                return True
            return borrowing.visit(job)

        self._waiting.walk(tables, visit_borrowing)
        return [*guaranteed.decisions, *borrowing.decisions]


class _BorrowingPass:
    """The second phase of a plan."""

    def __init__(
        self,
        settings: PresetSettings,
        set_aside: dict[str, int],
        view: ClusterView,
        now_ms: int,
        expect_run_s: ExpectRunS,
    ) -> None:
        self.decisions: list[Decision] = []
        self._settings = settings
        self._set_aside = set_aside
        self._view = view
        self._expect_run_s = expect_run_s
        self._reservations = Reservations(now_ms)
        self._misses = 0

    def visit(self, job: JobEntry) -> bool:
        """Places a gang, or reserves for it; false if it does not fit now."""
        if self._misses > self._settings.backfill_depth:
            return False
        run_s = max(1.0, self._expect_run_s(job.record.spec) - job.record.run_s)
        if self._place(job, run_s):
            return True
        self._misses += 1
        if self._reservations.count < MAX_RESERVATIONS and job.record.spec.tasks > 1:
            reservation = self._reservations.earliest(job, self._view)
            if reservation is not None:
                self._reservations.add(reservation)
        return False

    def _place(self, job: JobEntry, run_s: float) -> bool:
        spec = job.record.spec
        avoided = frozenset(job.record.failed_workers)

        def allowed(worker: WorkerView) -> bool:
            if worker.worker_id in avoided:
                return False
            if not self._settings.borrowing and self._set_aside.get(worker.worker_id, 0):
                return False
            return self._reservations.allows(worker, run_s)

        arrangement = arrange(spec, self._view, self._set_aside, allowed)
        if arrangement is None:
            return False
        self._view.take(spec, arrangement.placement)
        reason = "free room beyond the workspace's guarantee"
        self.decisions.append(
            Place(job.job_id, arrangement.placement, True, reason, arrangement.candidates)
        )
        return True
