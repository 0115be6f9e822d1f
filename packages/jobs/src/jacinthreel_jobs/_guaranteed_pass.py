"""The first phase of a plan: places gangs within the guarantee of their workspace.

Queued gangs are placed in the cells of their own workspace, in the order given.  If borrowers
occupy these cells, they are preempted and the placement is claimed, so that no other gang uses the
resources meanwhile.  Claims are kept between plans: if a gang chose again in each plan, it could
choose a different, currently cheapest placement and preempt borrowers each time.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Container, Iterable
from dataclasses import dataclass, field
from typing import Final

from jacinthreel_common import RACK_WORKERS, Adjacency, CellLevel, Config, JobSpec, TaskPlacement
from jacinthreel_jobs._backfill import expected_remaining_s
from jacinthreel_jobs._cells import Layout, PlacedCell, lay_out
from jacinthreel_jobs._clearing_costs import (
    FREE_RACK_ACCELERATOR_COST,
    PREEMPTION_COST_S,
    ClearingCosts,
    work_lost,
)
from jacinthreel_jobs._cluster_view import PROBATION_TASKS, ClusterView
from jacinthreel_jobs._packing import arrange
from jacinthreel_jobs._planning import Decision, Place, Preempt, PreemptMode
from jacinthreel_jobs._reclaim import place_in_cells, smallest_level_for_gang
from jacinthreel_jobs._relocation import count_missing_cells, find_relocation
from jacinthreel_jobs._tables import JobEntry, Tables
from jacinthreel_jobs._victims import choose_victims

GRACE_WAIT_RATIO: Final = 0.8
"""A gang may run to its end if its estimated remaining time is within this share of the grace
period for checkpoints."""
MAX_VOLUNTARY_BORROW_RUN_S: Final = 600.0
"""Longest expected run time of a gang without checkpoints that is placed as a borrower although
its guarantee has capacity for it."""
HOLDABLE_LEVELS: Final = (CellLevel.WORKER, CellLevel.RACK)
"""Levels of cells that are held for a waiting gang; see `_hold_cells_for`."""

ShapeKey = tuple[int, int, int, int, Adjacency, tuple[str, ...]]


def shape_key(job: JobEntry) -> ShapeKey:
    """Returns a key of the gang's requirements; in one plan, gangs with equal keys fit alike."""
    spec = job.record.spec
    return (
        spec.tasks,
        spec.accelerators_per_task,
        spec.cores_per_task,
        spec.memory_gb_per_task,
        spec.adjacency,
        tuple(job.record.failed_workers),
    )


@dataclass(slots=True)
class Claims:
    """Placements whose resources gangs wait for, by job id, under one configuration version.

    `since_ms_by_id` has the time at which each gang first got a claim.
    """

    config_version: int = 0
    placements_by_id: dict[str, list[TaskPlacement]] = field(default_factory=dict)
    since_ms_by_id: dict[str, int] = field(default_factory=dict)

    def hold(self, job_id: str, placement: list[TaskPlacement], now_ms: int) -> None:
        """Claims a placement for a gang."""
        self.placements_by_id[job_id] = placement
        self.since_ms_by_id.setdefault(job_id, now_ms)

    def worker_ids(self) -> set[str]:
        """Returns the workers of all claimed placements."""
        return {task.worker_id for p in self.placements_by_id.values() for task in p}

    def pop_all(self, config_version: int) -> dict[str, list[TaskPlacement]]:
        """Removes and returns all claims; none are returned if the configuration has changed."""
        claimed = self.placements_by_id
        self.placements_by_id = {}
        self.since_ms_by_id = {
            job_id: since_ms
            for job_id, since_ms in self.since_ms_by_id.items()
            if job_id in claimed
        }
        if self.config_version == config_version:
            return claimed
        self.config_version = config_version
        self.since_ms_by_id = {}
        return {}


class GuaranteedPass:
    """Places gangs in cells of their workspace.

    `handled_job_ids` are the gangs that were placed or for which a placement is claimed.
    `limits_borrower_loss` reduces the work that borrowers lose: it prefers full racks, uses free
    capacity instead of cells from which borrowers would have to be preempted, and does not preempt
    gangs that are about to end.  Without it, the cheapest borrowers are preempted at once.
    """

    def __init__(
        self,
        tables: Tables,
        config: Config,
        view: ClusterView,
        claims: Claims,
        now_ms: int,
        reserved_worker_ids: Container[str] = (),
        limits_borrower_loss: bool = True,
    ) -> None:
        self.decisions: list[Decision] = []
        self.handled_job_ids: set[str] = set()
        self._settings = config.settings
        self._workspaces = list(config.workspaces.values())
        self._view = view
        self._now_ms = now_ms
        self._grace_ms = (
            config.settings.checkpoint_grace_ms * GRACE_WAIT_RATIO if limits_borrower_loss else 0.0
        )
        self._limits_borrower_loss = limits_borrower_loss
        self._costs = ClearingCosts(
            view,
            self._preemption_loss,
            reserved_worker_ids,
            FREE_RACK_ACCELERATOR_COST if limits_borrower_loss else 0.0,
        )
        self._claims = claims
        self._held_level_by_workspace: dict[str, CellLevel] = {}
        self._layout = self._lay_out()
        self._renew_claims(tables, config.version)

    def place_all(self, jobs: Iterable[JobEntry]) -> None:
        """Places the gangs that fit the guarantees, in the order given."""
        unplaced_keys: set[tuple[str, ShapeKey]] = set()
        for job in jobs:
            key = (job.record.spec.workspace, shape_key(job))
            if key not in unplaced_keys and not self.try_place(job):
                unplaced_keys.add(key)

    def try_place(self, job: JobEntry) -> bool:
        """Places one gang or claims a placement; returns False if it does not fit its guarantee."""
        spec = job.record.spec
        placement = None
        if self._may_fit(spec):
            avoided = self._view.workers_to_avoid(job)
            held_level = self._held_level_by_workspace.get(spec.workspace)
            placement = place_in_cells(
                spec, self._view, self._workspaces, self._costs, avoided, held_level
            )
        if placement is None:
            placement = self._relocate(spec)
        if placement is None:
            self._hold_cells_for(spec)
            return False
        if not self._try_borrowing_instead(job, placement):
            self._place_or_claim(job, placement)
        return True

    def _try_borrowing_instead(self, job: JobEntry, placement: list[TaskPlacement]) -> bool:
        """Places a gang in free capacity if borrowers would have to be preempted from its cells.

        It applies only to gangs that lose little work if they are preempted later.  Returns
        whether the gang was placed.
        """
        spec = job.record.spec
        view = self._view
        needed = Counter(task.worker_id for task in placement)
        if all(
            view.workers_by_id[w].count_fitting_tasks(spec) >= tasks for w, tasks in needed.items()
        ):
            return False
        if not self._settings.borrowing or not self._limits_borrower_loss:
            return False
        if not spec.checkpointable and job.expected_run_s > MAX_VOLUNTARY_BORROW_RUN_S:
            return False
        avoided = view.workers_to_avoid(job)
        arrangement = arrange(spec, view, {}, lambda worker: worker.worker_id not in avoided)
        if arrangement is None:
            return False
        view.allocate(spec, arrangement.placement)
        self.handled_job_ids.add(job.job_id)
        reason = "free capacity; borrowers would have to be preempted from its workspace's cells"
        self.decisions.append(
            Place(job.job_id, arrangement.placement, True, reason, arrangement.candidates)
        )
        return True

    def _hold_cells_for(self, spec: JobSpec) -> None:
        """Holds a large cell for a gang that waits until gangs of its own workspace leave the cell.

        Smaller gangs of the workspace don't use such cells from then on in this plan.  Otherwise
        they could occupy parts of a large cell forever.
        """
        level = smallest_level_for_gang(spec)
        if level not in HOLDABLE_LEVELS or spec.workspace in self._held_level_by_workspace:
            return
        for cell in self._layout.cells_by_workspace.get(spec.workspace, ()):
            if cell.level is level and self._is_usable(cell):
                self._held_level_by_workspace[spec.workspace] = level
                return

    def _is_usable(self, cell: PlacedCell) -> bool:
        """Returns whether all workers of a cell accept tasks; else holding the cell is useless."""
        required = RACK_WORKERS if cell.level is CellLevel.RACK else 1
        usable = 0
        for worker_id in cell.free_units_by_worker:
            worker = self._view.workers_by_id[worker_id]
            usable += worker.in_service and worker.task_limit > PROBATION_TASKS
        return usable >= required

    def _relocate(self, spec: JobSpec) -> list[TaskPlacement] | None:
        """Moves guaranteed gangs within their guarantee if lost workers left a cell unplaced.

        Returns the placement that this frees, or None.
        """
        if not self._layout.missing:
            return None
        relocation = find_relocation(
            spec, self._view, self._workspaces, self._layout, self._costs, self._preemption_loss
        )
        if relocation is None:
            return None
        view = self._view
        for mover in relocation.movers:
            for task in view.iter_bound_tasks(mover.record.spec, mover.record.placement):
                view.bound_tasks.remove(task)
            del view.guaranteed_by_id[mover.job_id]
            view.leaving_by_id[mover.job_id] = mover
            mode = preempt_mode(spec, mover, self._settings.checkpoint_grace_ms)
            reason = f"is moved within its guarantee for workspace {spec.workspace}"
            self.decisions.append(Preempt(mover.job_id, spec.job_id, mode, reason))
        return relocation.placement

    def _lay_out(self) -> Layout:
        return lay_out(self._workspaces, self._view.cell_workers, self._view.bound_tasks)

    def _renew_claims(self, tables: Tables, config_version: int) -> None:
        """Renews the claims of the previous plan that are still valid."""
        for job_id, placement in self._claims.pop_all(config_version).items():
            job = tables.queued_by_id.get(job_id)
            if job is None or job.record.cancel_requested or job.not_before_ms > self._now_ms:
                continue
            if self._is_claim_valid(job.record.spec, placement):
                self._place_or_claim(job, placement)

    def _is_claim_valid(self, spec: JobSpec, placement: list[TaskPlacement]) -> bool:
        """Returns whether a claim's workers accept tasks and it leaves no more cells unplaced."""
        for worker_id, tasks in Counter(task.worker_id for task in placement).items():
            worker = self._view.workers_by_id.get(worker_id)
            if worker is None or not worker.in_service or worker.task_limit < tasks:
                return False
        bound = [*self._view.bound_tasks, *self._view.iter_bound_tasks(spec, placement)]
        layout = lay_out(self._workspaces, self._view.cell_workers, bound)
        if any(layout.spare_by_worker.get(task.worker_id, 0) < 0 for task in placement):
            return False
        return count_missing_cells(layout) <= count_missing_cells(self._layout)

    def unused_guarantee_units(self) -> dict[str, int]:
        """Returns the units of each worker that are in cells but not used by their workspaces."""
        units: dict[str, int] = {}
        for cells in self._layout.cells_by_workspace.values():
            for cell in cells:
                for worker_id, free_units in cell.free_units_by_worker.items():
                    units[worker_id] = units.get(worker_id, 0) + free_units
        return units

    def _may_fit(self, spec: JobSpec) -> bool:
        """Returns whether the gang fits in the cells of its workspace, ignoring adjacency."""
        tasks = 0
        for cell in self._layout.cells_by_workspace.get(spec.workspace, ()):
            for worker_id, free_units in cell.free_units_by_worker.items():
                tasks += free_units // self._view.workers_by_id[worker_id].units_per_task(spec)
            if tasks >= spec.tasks:
                return True
        return False

    def _preemption_loss(self, job: JobEntry) -> float:
        """Returns the cost of preempting a gang; small if it ends within the grace period."""
        if not job.record.spec.checkpointable and self._ends_within(job, self._grace_ms):
            return max(1, job.record.spec.accelerators) * PREEMPTION_COST_S
        return work_lost(job, self._now_ms)

    def _ends_within(self, job: JobEntry, time_ms: float) -> bool:
        return expected_remaining_s(job, self._now_ms) * 1000 <= time_ms

    def _place_or_claim(self, job: JobEntry, placement: list[TaskPlacement]) -> None:
        """Places a gang if its workers have free capacity; else claims and preempts borrowers."""
        spec = job.record.spec
        view = self._view
        self.handled_job_ids.add(job.job_id)
        view.allocate(spec, placement)
        view.record_bound_tasks(spec, placement)
        worker_ids = {task.worker_id for task in placement}
        if not any(view.workers_by_id[worker_id].is_overcommitted() for worker_id in worker_ids):
            reason = "within the workspace's guarantee"
            candidates = len(view.workers_by_id)
            self.decisions.append(Place(job.job_id, placement, False, reason, candidates))
        else:
            self._claims.hold(job.job_id, placement, self._now_ms)
            self._preempt_borrowers(spec, placement)
        self._costs.invalidate(placement)
        self._layout = self._lay_out()

    def _preempt_borrowers(self, spec: JobSpec, placement: list[TaskPlacement]) -> None:
        """Preempts borrowers for a placement, except those due to end within the grace period."""
        waited_ms = self._now_ms - self._claims.since_ms_by_id[spec.job_id]
        at_once = spec.urgent or not self._limits_borrower_loss
        grace_ms = 0 if at_once else self._settings.checkpoint_grace_ms - waited_ms
        for victim in choose_victims(placement, self._view, self._preemption_loss) or ():
            checkpointable = victim.record.spec.checkpointable
            if not checkpointable and self._ends_within(victim, grace_ms):
                continue
            mode = preempt_mode(spec, victim, self._settings.checkpoint_grace_ms)
            reason = f"workspace {spec.workspace} reclaims its guarantee"
            self.decisions.append(Preempt(victim.job_id, spec.job_id, mode, reason))
            del self._view.borrowers_by_id[victim.job_id]
            self._view.leaving_by_id[victim.job_id] = victim


def preempt_mode(spec: JobSpec, victim: JobEntry, grace_ms: int) -> PreemptMode:
    """Returns `STOP` for an urgent gang, or if the victim can't checkpoint; else `CHECKPOINT`."""
    if spec.urgent or not victim.record.spec.checkpointable or not grace_ms:
        return PreemptMode.STOP
    return PreemptMode.CHECKPOINT
