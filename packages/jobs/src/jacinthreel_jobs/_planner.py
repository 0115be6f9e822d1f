"""The planner: places gangs within guarantees first, then borrowing gangs in free capacity.

A plan works on a copy of the workers and has two phases, both in order of rank (`_waiting`):

1. Gangs within the guarantee of their workspace (`_guaranteed_pass`).
2. Borrowing gangs in free capacity (`_borrowing_pass`), until `backfill_depth` shapes did not fit.

Invariants: a placement never exceeds the free resources; only borrowers are preempted; all cells of
all guarantees stay reclaimable (`_cells`).  The cost of a plan is bounded by the number of workers,
running gangs and `backfill_depth`, regardless of the length of the queue.
"""

from __future__ import annotations

from jacinthreel_common import JobSpec
from jacinthreel_jobs._borrowing_pass import BorrowingPass
from jacinthreel_jobs._cluster_view import build_view
from jacinthreel_jobs._estimates import RunTimeEstimator
from jacinthreel_jobs._guaranteed_pass import Claims, GuaranteedPass
from jacinthreel_jobs._planning import Decision, PlanTrigger, Promote
from jacinthreel_jobs._promotion_candidates import find_promotions
from jacinthreel_jobs._tables import JobEntry, Tables
from jacinthreel_jobs._waiting import WaitingJobs


class GuaranteePlanner:
    """Places gangs within guarantees, then borrowing gangs; see the module's description."""

    def __init__(self) -> None:
        self._estimator = RunTimeEstimator()
        self._waiting = WaitingJobs()
        self._claims = Claims()
        self._borrower_claims = Claims()
        self._reserved_workers_by_job_id: dict[str, frozenset[str]] = {}

    def observe_finished(self, spec: JobSpec, run_s: float) -> None:
        """Updates the run time estimates with a gang that finished after `run_s` seconds."""
        self._estimator.observe(spec, run_s)

    def expect_run_s(self, spec: JobSpec) -> float:
        """Returns the estimated run time of a gang in seconds."""
        return self._estimator.expect(spec)

    def plan(self, tables: Tables, trigger: PlanTrigger, now_ms: int) -> list[Decision]:
        """Returns decisions in the order in which they must be carried out."""
        if tables.config is None:
            return []
        self._waiting.update(tables, lambda job: self.expect_run_s(job.record.spec))
        view = build_view(tables)
        promoted: list[Promote] = []
        if trigger is PlanTrigger.TICK:
            workspaces = list(tables.config.workspaces.values())
            promoted = find_promotions(view, workspaces, self._claims.worker_ids(), now_ms)
        is_queued = tables.queued_by_id.__contains__
        reserved_ids = {w for ids in self._reserved_workers_by_job_id.values() for w in ids}
        guaranteed = GuaranteedPass(tables, tables.config, view, self._claims, now_ms, reserved_ids)
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
                job_id: worker_ids
                for job_id, worker_ids in self._reserved_workers_by_job_id.items()
                if is_queued(job_id)
            },
            now_ms,
            self.expect_run_s,
        )
        borrowing.renew_claims(tables, tables.config.version)

        def visit_borrowing(job: JobEntry) -> bool:
            if urgent_only and not job.record.spec.urgent:
                return False
            is_handled = (
                job.job_id in guaranteed.handled_job_ids or job.job_id in borrowing.handled_job_ids
            )
            if is_handled or not is_ready(job):
                return True
            return borrowing.try_place(job)

        self._waiting.walk(tables, visit_borrowing)
        if not urgent_only:
            self._reserved_workers_by_job_id = borrowing.reserved_workers_by_job_id()
        return [*promoted, *guaranteed.decisions, *borrowing.decisions]
