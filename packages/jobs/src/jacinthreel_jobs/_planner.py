"""The planner: guarantees first, then everyone else in the room that is left.

A plan has two phases over a working copy of the workers:

1. Guaranteed gangs.  For each workspace, its queued gangs in order are placed in its own cells
   as long as they fit; borrowers in the way are asked to make room, and the place stays claimed
   until they have.
2. Borrowing gangs, in order over all workspaces, in free room.

Invariants: a placement never exceeds what is free; no borrower makes room for a borrower of
another workspace's cells; cells of a guarantee that are laid out stay reclaimable.
"""

from __future__ import annotations

from collections.abc import Iterable

from jacinthreel_common import JobSpec, TaskPlacement, Workspace
from jacinthreel_jobs._cells import lay_out
from jacinthreel_jobs._cluster_view import ClusterView, WorkerView, build_view
from jacinthreel_jobs._estimates import RunTimeEstimator
from jacinthreel_jobs._packing import arrange
from jacinthreel_jobs._planning import Decision, Place, PlanTrigger, Preempt, PreemptMode
from jacinthreel_jobs._reclaim import ClearingCosts, choose_victims, place_in_cells, work_lost
from jacinthreel_jobs._tables import JobEntry, Tables


class GuaranteePlanner:
    """Places gangs under guarantees; see the module's description."""

    def __init__(self) -> None:
        self._estimator = RunTimeEstimator()

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
        plan = _Plan(tables, now_ms)
        jobs: list[JobEntry] = []
        for job in tables.queued_by_id.values():
            if job.record.cancel_requested or job.not_before_ms > now_ms:
                continue
            if trigger is PlanTrigger.URGENT and not job.record.spec.urgent:
                continue
            jobs.append(job)
        jobs.sort(key=lambda job: (not job.record.spec.urgent, job.submitted_ms, job.job_id))
        plan.place_guaranteed(jobs)
        plan.place_borrowing(jobs)
        return plan.decisions


class _Plan:
    """The working state of one plan."""

    def __init__(self, tables: Tables, now_ms: int) -> None:
        assert tables.config is not None
        self.settings = tables.config.settings
        self.workspaces: list[Workspace] = list(tables.config.workspaces.values())
        self.view: ClusterView = build_view(tables)
        self.now_ms = now_ms
        self.decisions: list[Decision] = []
        self._handled: set[str] = set()

    def place_guaranteed(self, jobs: Iterable[JobEntry]) -> None:
        """Places gangs in cells of their own workspaces, or clears these cells."""
        blocked: set[str] = set()
        costs = ClearingCosts(self.view, self._loss)
        for job in jobs:
            spec = job.record.spec
            if spec.workspace in blocked:
                continue
            avoid = job.record.failed_workers
            placement = place_in_cells(spec, self.view, self.workspaces, costs, avoid)
            if placement is None:
                blocked.add(spec.workspace)
                continue
            self._claim(job, placement)
            costs.claim(placement)

    def place_borrowing(self, jobs: Iterable[JobEntry]) -> None:
        """Places gangs in free room."""
        set_aside = self._set_aside()
        looked_at_blocked = 0
        for job in jobs:
            if job.job_id in self._handled:
                continue
            if looked_at_blocked > self.settings.backfill_depth:
                break
            spec = job.record.spec
            avoid = frozenset(job.record.failed_workers)
            arrangement = arrange(
                spec, self.view, set_aside, lambda w, a=avoid: self._may_borrow(w, a, set_aside)  # type: ignore[misc]
            )
            if arrangement is None:
                looked_at_blocked += 1
                continue
            self.view.take(spec, arrangement.placement)
            reason = "free room beyond the workspace's guarantee"
            self.decisions.append(
                Place(job.job_id, arrangement.placement, True, reason, arrangement.candidates)
            )

    def _loss(self, job: JobEntry) -> float:
        return work_lost(job, self.now_ms)

    def _may_borrow(
        self, worker: WorkerView, avoid: frozenset[str], set_aside: dict[str, int]
    ) -> bool:
        if worker.worker_id in avoid:
            return False
        if self.settings.borrowing:
            return True
        return set_aside.get(worker.worker_id, 0) == 0

    def _set_aside(self) -> dict[str, int]:
        layout = lay_out(self.workspaces, self.view.cell_workers, self.view.bound_tasks)
        units: dict[str, int] = {}
        for cells in layout.cells_by_workspace.values():
            for cell in cells:
                for worker_id, room in cell.room_by_worker.items():
                    units[worker_id] = units.get(worker_id, 0) + room
        return units

    def _claim(self, job: JobEntry, placement: list[TaskPlacement]) -> None:
        spec = job.record.spec
        self._handled.add(job.job_id)
        self.view.take(spec, placement)
        self.view.bind(spec, placement)
        workers = {task.worker_id for task in placement}
        if not any(self.view.workers_by_id[worker_id].is_short() for worker_id in workers):
            reason = "within the workspace's guarantee"
            candidates = len(self.view.workers_by_id)
            self.decisions.append(Place(job.job_id, placement, False, reason, candidates))
            return
        victims = choose_victims(spec, placement, self.view, self._loss)
        for victim in victims or ():
            mode = self._mode(job, victim)
            reason = f"workspace {spec.workspace} reclaims its guarantee"
            self.decisions.append(Preempt(victim.job_id, job.job_id, mode, reason))
            del self.view.borrowers_by_id[victim.job_id]
            self.view.leaving_by_id[victim.job_id] = victim

    def _mode(self, job: JobEntry, victim: JobEntry) -> PreemptMode:
        if job.record.spec.urgent or not victim.record.spec.checkpointable:
            return PreemptMode.STOP
        if not self.settings.checkpoint_grace_ms:
            return PreemptMode.STOP
        return PreemptMode.CHECKPOINT
