"""The first phase of a plan: gangs within the guarantee of their workspace.

Queued gangs are placed in the cells of their own workspace, in the order given.  Where borrowers
stand in the way, they are asked to make room, and the place stays claimed so that nobody else
takes it.  Claims are kept from plan to plan: a gang that chose anew each time would follow the
cheapest place around and take down borrowers in each.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Container, Iterable
from dataclasses import dataclass, field
from typing import Final

from jacinthreel_common import RACK_WORKERS, Adjacency, CellLevel, Config, JobSpec, TaskPlacement
from jacinthreel_jobs._backfill import left_s
from jacinthreel_jobs._cells import LaidCell, Layout, lay_out
from jacinthreel_jobs._clearing_costs import (
    CROWDING_COST,
    PREEMPTION_COST_S,
    ClearingCosts,
    work_lost,
)
from jacinthreel_jobs._cluster_view import PROBATION_TASKS, ClusterView
from jacinthreel_jobs._packing import arrange
from jacinthreel_jobs._planning import Decision, Place, Preempt, PreemptMode
from jacinthreel_jobs._reclaim import natural_level, place_in_cells
from jacinthreel_jobs._relocation import find_relocation, missing_count
from jacinthreel_jobs._tables import JobEntry, Tables
from jacinthreel_jobs._victims import choose_victims

GRACE_SHARE: Final = 0.8
"""The share of the grace within which a gang's end is waited for, by estimate."""
BORROW_MAX_RUN_S: Final = 600.0
"""Gangs without checkpoints that are expected to run longer don't borrow by choice."""
KEPT_LEVELS: Final = (CellLevel.WORKER, CellLevel.RACK)

ShapeKey = tuple[int, int, int, int, Adjacency, tuple[str, ...]]


def shape_key(job: JobEntry) -> ShapeKey:
    """What decides whether a gang fits; equal gangs fit or don't alike within one plan."""
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
    """Places that gangs wait for, by job id, under one version of the configuration.

    `since_ms_by_id` is when each was first claimed.
    """

    config_version: int = 0
    placements_by_id: dict[str, list[TaskPlacement]] = field(default_factory=dict)
    since_ms_by_id: dict[str, int] = field(default_factory=dict)

    def hold(self, job_id: str, placement: list[TaskPlacement], now_ms: int) -> None:
        """Keeps a place for a gang."""
        self.placements_by_id[job_id] = placement
        self.since_ms_by_id.setdefault(job_id, now_ms)

    def worker_ids(self) -> set[str]:
        """The workers of all claimed places."""
        return {task.worker_id for p in self.placements_by_id.values() for task in p}

    def take_all(self, config_version: int) -> dict[str, list[TaskPlacement]]:
        """Empties the claims and returns them; none stands under another configuration."""
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
    """Places gangs in cells; `handled` holds the ids of those placed or waiting for room.

    `sparing` saves borrowed work: full racks first, free room rather than cells that have to be
    cleared, and gangs about to end may end.  Without it, the cheapest borrowers leave at once.
    """

    def __init__(
        self,
        tables: Tables,
        config: Config,
        view: ClusterView,
        claims: Claims,
        now_ms: int,
        reserved: Container[str] = (),
        sparing: bool = True,
    ) -> None:
        self.decisions: list[Decision] = []
        self.handled: set[str] = set()
        self._settings = config.settings
        self._workspaces = list(config.workspaces.values())
        self._view = view
        self._now_ms = now_ms
        self._grace_ms = config.settings.checkpoint_grace_ms * GRACE_SHARE if sparing else 0.0
        self._sparing = sparing
        self._costs = ClearingCosts(view, self._loss, reserved, CROWDING_COST if sparing else 0.0)
        self._claims = claims
        self._kept_levels: dict[str, CellLevel] = {}
        self._layout = self._lay_out()
        self._renew_claims(tables, config.version)

    def run(self, jobs: Iterable[JobEntry]) -> None:
        """Places what fits the guarantees, in order."""
        missed: set[tuple[str, ShapeKey]] = set()
        for job in jobs:
            key = (job.record.spec.workspace, shape_key(job))
            if key not in missed and not self.visit(job):
                missed.add(key)

    def visit(self, job: JobEntry) -> bool:
        """Places one gang or claims its place; false if it does not fit its guarantee."""
        spec = job.record.spec
        placement = None
        if self._may_fit(spec):
            avoid = self._view.avoided_by(job)
            below = self._kept_levels.get(spec.workspace)
            placement = place_in_cells(
                spec, self._view, self._workspaces, self._costs, avoid, below
            )
        if placement is None:
            placement = self._relocate(spec)
        if placement is None:
            self._keep_cells(spec)
            return False
        if not self._borrow_instead(job, placement):
            self._claim(job, placement)
        return True

    def _borrow_instead(self, job: JobEntry, placement: list[TaskPlacement]) -> bool:
        """Places a gang in free room where its own cells would have to be cleared first.

        Only for gangs that have little to lose if they have to make room later.
        """
        spec = job.record.spec
        view = self._view
        needed = Counter(task.worker_id for task in placement)
        if all(view.workers_by_id[w].fits(spec) >= tasks for w, tasks in needed.items()):
            return False
        if not self._settings.borrowing or not self._sparing:
            return False
        if not spec.checkpointable and job.expected_run_s > BORROW_MAX_RUN_S:
            return False
        avoided = view.avoided_by(job)
        found = arrange(spec, view, {}, lambda worker: worker.worker_id not in avoided)
        if found is None:
            return False
        view.take(spec, found.placement)
        self.handled.add(job.job_id)
        reason = "free room, while its workspace's cells would have to be cleared"
        self.decisions.append(Place(job.job_id, found.placement, True, reason, found.candidates))
        return True

    def _keep_cells(self, spec: JobSpec) -> None:
        """Keeps cells for a gang that waits for gangs of its own workspace to leave them.

        Without this, smaller gangs of the workspace would hold a large cell open for ever.
        """
        level = natural_level(spec)
        if level not in KEPT_LEVELS or spec.workspace in self._kept_levels:
            return
        for cell in self._layout.cells_by_workspace.get(spec.workspace, ()):
            if cell.level is level and self._is_whole(cell):
                self._kept_levels[spec.workspace] = level
                return

    def _is_whole(self, cell: LaidCell) -> bool:
        """Whether all workers of a cell are there and take tasks; else keeping it is no use."""
        wanted = RACK_WORKERS if cell.level is CellLevel.RACK else 1
        usable = 0
        for worker_id in cell.room_by_worker:
            worker = self._view.workers_by_id[worker_id]
            usable += worker.in_service and worker.task_limit > PROBATION_TASKS
        return usable >= wanted

    def _relocate(self, spec: JobSpec) -> list[TaskPlacement] | None:
        """Asks guaranteed gangs to move where a lost shape left a cell without room."""
        if not self._layout.missing:
            return None
        found = find_relocation(
            spec, self._view, self._workspaces, self._layout, self._costs, self._loss
        )
        if found is None:
            return None
        view = self._view
        for mover in found.movers:
            for task in view.bound_by(mover.record.spec, mover.record.placement):
                view.bound_tasks.remove(task)
            del view.guaranteed_by_id[mover.job_id]
            view.leaving_by_id[mover.job_id] = mover
            mode = preempt_mode(spec, mover, self._settings.checkpoint_grace_ms)
            reason = f"moves within its guarantee for workspace {spec.workspace}"
            self.decisions.append(Preempt(mover.job_id, spec.job_id, mode, reason))
        return found.placement

    def _lay_out(self) -> Layout:
        return lay_out(self._workspaces, self._view.cell_workers, self._view.bound_tasks)

    def _renew_claims(self, tables: Tables, config_version: int) -> None:
        """Takes up the claims of earlier plans that still stand."""
        for job_id, placement in self._claims.take_all(config_version).items():
            job = tables.queued_by_id.get(job_id)
            if job is None or job.record.cancel_requested or job.not_before_ms > self._now_ms:
                continue
            if self._claim_stands(job.record.spec, placement):
                self._claim(job, placement)

    def _claim_stands(self, spec: JobSpec, placement: list[TaskPlacement]) -> bool:
        """Whether all workers of a claim take tasks and all guarantees still fit beside it."""
        for worker_id, tasks in Counter(task.worker_id for task in placement).items():
            worker = self._view.workers_by_id.get(worker_id)
            if worker is None or not worker.in_service or worker.task_limit < tasks:
                return False
        bound = [*self._view.bound_tasks, *self._view.bound_by(spec, placement)]
        layout = lay_out(self._workspaces, self._view.cell_workers, bound)
        if any(layout.spare_by_worker.get(task.worker_id, 0) < 0 for task in placement):
            return False
        return missing_count(layout) <= missing_count(self._layout)

    def units_set_aside(self) -> dict[str, int]:
        """The units of each worker that cells take which their owner does not use now."""
        units: dict[str, int] = {}
        for cells in self._layout.cells_by_workspace.values():
            for cell in cells:
                for worker_id, room in cell.room_by_worker.items():
                    units[worker_id] = units.get(worker_id, 0) + room
        return units

    def _may_fit(self, spec: JobSpec) -> bool:
        """Whether the cells of a gang's workspace have room for it, wherever they are."""
        tasks = 0
        for cell in self._layout.cells_by_workspace.get(spec.workspace, ()):
            for worker_id, room in cell.room_by_worker.items():
                tasks += room // self._view.workers_by_id[worker_id].units_per_task(spec)
            if tasks >= spec.tasks:
                return True
        return False

    def _loss(self, job: JobEntry) -> float:
        """What taking a gang down costs; one that will end within the grace only costs a wait."""
        if not job.record.spec.checkpointable and self._ends_within(job, self._grace_ms):
            return max(1, job.record.spec.accelerators) * PREEMPTION_COST_S
        return work_lost(job, self._now_ms)

    def _ends_within(self, job: JobEntry, time_ms: float) -> bool:
        return left_s(job, self._now_ms) * 1000 <= time_ms

    def _claim(self, job: JobEntry, placement: list[TaskPlacement]) -> None:
        spec = job.record.spec
        view = self._view
        self.handled.add(job.job_id)
        view.take(spec, placement)
        view.bind(spec, placement)
        worker_ids = {task.worker_id for task in placement}
        if not any(view.workers_by_id[worker_id].is_short() for worker_id in worker_ids):
            reason = "within the workspace's guarantee"
            candidates = len(view.workers_by_id)
            self.decisions.append(Place(job.job_id, placement, False, reason, candidates))
        else:
            self._claims.hold(job.job_id, placement, self._now_ms)
            self._clear(spec, placement)
        self._costs.claim(placement)
        self._layout = self._lay_out()

    def _clear(self, spec: JobSpec, placement: list[TaskPlacement]) -> None:
        """Asks borrowers to make room; those expected to end within the grace may do so."""
        waited_ms = self._now_ms - self._claims.since_ms_by_id[spec.job_id]
        at_once = spec.urgent or not self._sparing
        grace_ms = 0 if at_once else self._settings.checkpoint_grace_ms - waited_ms
        for victim in choose_victims(placement, self._view, self._loss) or ():
            checkpointable = victim.record.spec.checkpointable
            if not checkpointable and self._ends_within(victim, grace_ms):
                continue
            mode = preempt_mode(spec, victim, self._settings.checkpoint_grace_ms)
            reason = f"workspace {spec.workspace} reclaims its guarantee"
            self.decisions.append(Preempt(victim.job_id, spec.job_id, mode, reason))
            del self._view.borrowers_by_id[victim.job_id]
            self._view.leaving_by_id[victim.job_id] = victim


def preempt_mode(spec: JobSpec, victim: JobEntry, grace_ms: int) -> PreemptMode:
    """Urgent gangs don't wait for checkpoints, and some gangs can't keep any."""
    if spec.urgent or not victim.record.spec.checkpointable or not grace_ms:
        return PreemptMode.STOP
    return PreemptMode.CHECKPOINT
