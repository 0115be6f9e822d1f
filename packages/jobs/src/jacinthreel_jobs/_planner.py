"""The planner: guarantees first, then everyone else in the room that is left.

A plan works on a copy of the workers and has two phases:

1. Gangs within the guarantee of their workspace (`_guaranteed_pass`).
2. Borrowing gangs, in order of rank (`_waiting`), in free room (`_borrowing_pass`), with
   `backfill_depth` as the limit of shapes that don't fit.

Invariants: a placement never exceeds what is free; only borrowers make room; all cells of all
guarantees stay reclaimable (`_cells`).  The cost of a plan is bounded by the number of workers,
running gangs and `backfill_depth`, whatever the length of the queue.
"""

from __future__ import annotations

from jacinthreel_common import JobSpec
from jacinthreel_jobs._borrowing_pass import BorrowingPass
from jacinthreel_jobs._cluster_view import build_view
from jacinthreel_jobs._estimates import RunTimeEstimator
from jacinthreel_jobs._guaranteed_pass import Claims, GuaranteedPass
from jacinthreel_jobs._planning import Decision, PlanTrigger, Promote
from jacinthreel_jobs._promoting import promotions
from jacinthreel_jobs._tables import JobEntry, Tables
from jacinthreel_jobs._waiting import WaitingJobs


class GuaranteePlanner:
    """Places gangs under guarantees; see the module's description."""

    def __init__(self) -> None:
        self._estimator = RunTimeEstimator()
        self._waiting = WaitingJobs()
        self._claims = Claims()
        self._borrower_claims = Claims()
        self._reserved_workers_by_job_id: dict[str, frozenset[str]] = {}

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
        promoted: list[Promote] = []
        if trigger is PlanTrigger.TICK:
            workspaces = list(tables.config.workspaces.values())
            promoted = promotions(view, workspaces, self._claims.worker_ids(), now_ms)
        is_queued = tables.queued_by_id.__contains__
        reserved = {w for kept in self._reserved_workers_by_job_id.values() for w in kept}
        guaranteed = GuaranteedPass(tables, tables.config, view, self._claims, now_ms, reserved)
        urgent_only = trigger is PlanTrigger.URGENT

        def is_ready(job: JobEntry) -> bool:
            return not job.record.cancel_requested and job.not_before_ms <= now_ms

        def visit_guaranteed(job: JobEntry) -> bool:
            if urgent_only and not job.record.spec.urgent:
                return False
            if job.job_id in guaranteed.handled_job_ids or not is_ready(job):
                return True
            return guaranteed.try_place(job)

        self._waiting.walk(tables, visit_guaranteed)
        borrowing = BorrowingPass(
            tables.config.settings,
            guaranteed.unused_guarantee_units(),
            view,
            self._borrower_claims,
            {
                job_id: kept
                for job_id, kept in self._reserved_workers_by_job_id.items()
                if is_queued(job_id)
            },
            now_ms,
            self.expect_run_s,
        )
        borrowing.renew_claims(tables, tables.config.version)

        def visit_borrowing(job: JobEntry) -> bool:
            if urgent_only and not job.record.spec.urgent:
                return False
            done = (
                job.job_id in guaranteed.handled_job_ids or job.job_id in borrowing.handled_job_ids
            )
            if done or not is_ready(job):
                return True
            return borrowing.try_place(job)

        self._waiting.walk(tables, visit_borrowing)
        if not urgent_only:
            self._reserved_workers_by_job_id = borrowing.reserved_workers_by_job_id()
        return [*promoted, *guaranteed.decisions, *borrowing.decisions]
