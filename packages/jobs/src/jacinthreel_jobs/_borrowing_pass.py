"""The second phase of a plan: places gangs beyond the guarantee of their workspace.

Gangs are placed in free capacity (`_packing`) in order of rank.  If a gang does not fit:

- For an urgent gang, the borrowers that lose the least work are stopped at once.
- For a large gang, smaller borrowers are moved (`_clearing`) if all of them fit elsewhere at once
  and the move is worthwhile.  The gang's placement is claimed until they have stopped.
- For a large gang that has waited for `RESERVE_AFTER_S`, workers are reserved (`_backfill`).  After
  `STARVATION_AFTER_S`, borrowers are moved for it even if they have to wait in the queue.

A move is worthwhile if the work lost is less than `MAX_MOVE_LOSS_RATIO` of the work that the gang
would do in the time until it could start without the move.  A checkpointable gang that started
less than `MIN_RUN_BEFORE_MOVE_S` ago is not moved, which bounds the share of time that moves cost.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from typing import Final

from jacinthreel_common import JobSpec, JobState, PresetSettings, TaskPlacement
from jacinthreel_jobs._backfill import Reservation, Reservations
from jacinthreel_jobs._clearing import ClearingPlan, find_cheapest_clearing
from jacinthreel_jobs._clearing_costs import work_lost
from jacinthreel_jobs._cluster_view import ClusterView, WorkerView
from jacinthreel_jobs._guaranteed_pass import Claims
from jacinthreel_jobs._packing import arrange
from jacinthreel_jobs._planning import Decision, Place, Preempt, PreemptMode
from jacinthreel_jobs._tables import JobEntry, Tables

MAX_RESERVATIONS: Final = 1
RESERVE_AFTER_S: Final = 600.0
"""How long a gang waits before workers are reserved for it, since these may then stay idle."""
MOVE_MIN_ACCELERATORS: Final = 16
"""Smaller gangs get no reservation, and no borrowers are moved for them."""
MIN_RUN_BEFORE_MOVE_S: Final = 45.0
STARVATION_AFTER_S: Final = 1_800.0
MAX_MOVE_LOSS_RATIO: Final = 0.5
MOVE_MAX_ATTEMPTS: Final = 4
"""A gang without checkpoints that has been placed more often than this is not moved any more."""
DEFAULT_WAIT_S: Final = 600.0
"""Wait that is assumed for a gang if no time at which it will fit can be forecast."""

ExpectRunS = Callable[[JobSpec], float]
"""Returns the expected run time of a gang, in seconds."""


class BorrowingPass:
    """Places gangs in free capacity.

    `handled_job_ids` are the gangs that were placed or for which a placement is claimed.
    `unused_guarantee_units` has the units of each worker that unused cells of guarantees occupy.
    """

    def __init__(
        self,
        settings: PresetSettings,
        unused_guarantee_units: dict[str, int],
        view: ClusterView,
        claims: Claims,
        reserved_workers_by_job_id: dict[str, frozenset[str]],
        now_ms: int,
        expect_run_s: ExpectRunS,
    ) -> None:
        self.decisions: list[Decision] = []
        self.handled_job_ids: set[str] = set()
        self._settings = settings
        self._unused_guarantee_units = unused_guarantee_units
        self._view = view
        self._claims = claims
        self._now_ms = now_ms
        self._expect_run_s = expect_run_s
        self._reservations = Reservations(now_ms, reserved_workers_by_job_id)
        self._unplaced_count = 0

    def renew_claims(self, tables: Tables, config_version: int) -> None:
        """Places gangs whose claimed resources are free; keeps claims while borrowers leave."""
        for job_id, placement in self._claims.pop_all(config_version).items():
            job = tables.queued_by_id.get(job_id)
            if job is None or job.record.cancel_requested or job.not_before_ms > self._now_ms:
                continue
            workers = {
                task.worker_id: self._view.workers_by_id.get(task.worker_id) for task in placement
            }
            if any(w is None or not w.in_service or w.task_limit <= 0 for w in workers.values()):
                continue
            if not any(job_id == leaving.preempting_for for leaving in self._leaving_gangs()):
                if self._has_capacity(job.record.spec, [t.worker_id for t in placement]):
                    self._add_place_decision(
                        job,
                        placement,
                        "claimed resources that borrowers have released",
                        len(workers),
                    )
                continue
            self._view.allocate(job.record.spec, placement)
            self._claims.hold(job_id, placement, self._now_ms)
            self.handled_job_ids.add(job_id)

    def reserved_workers_by_job_id(self) -> dict[str, frozenset[str]]:
        """Returns the reserved workers of each gang that has a reservation in this plan."""
        current_ids = {
            reservation.job_id for reservation in self._reservations.by_worker_id.values()
        }
        reserved = self._reservations.reserved_workers_by_job_id
        return {job_id: workers for job_id, workers in reserved.items() if job_id in current_ids}

    def try_place(self, job: JobEntry) -> bool:
        """Places a gang, or preempts or moves borrowers and claims their resources for it.

        Returns False if neither is possible now; the gang may then get a reservation.
        """
        if self._unplaced_count > self._settings.backfill_depth:
            return False
        if self._place(job):
            return True
        self._unplaced_count += 1
        if job.record.spec.urgent:
            return self._preempt_for_urgent(job)
        if job.record.spec.accelerators < MOVE_MIN_ACCELERATORS:
            return False
        reservation = self._reservations.find_earliest(job, self._view)
        if self._move_borrowers_for(job, reservation):
            return True
        waited_s = (self._now_ms - job.submitted_ms) / 1000
        may_reserve = self._reservations.count < MAX_RESERVATIONS and waited_s >= RESERVE_AFTER_S
        if reservation is not None and may_reserve:
            self._reservations.add(reservation)
        return False

    def _place(self, job: JobEntry) -> bool:
        spec = job.record.spec
        run_s = max(1.0, self._expect_run_s(spec) - job.record.run_s)
        avoided = self._view.workers_to_avoid(job)

        def allowed(worker: WorkerView) -> bool:
            if worker.worker_id in avoided:
                return False
            if not self._settings.borrowing and self._unused_guarantee_units.get(
                worker.worker_id, 0
            ):
                return False
            return spec.urgent or self._reservations.allows(worker, run_s)

        arrangement = arrange(spec, self._view, self._unused_guarantee_units, allowed)
        if arrangement is None:
            return False
        reason = "free capacity beyond the workspace's guarantee"
        self._add_place_decision(job, arrangement.placement, reason, arrangement.candidates)
        return True

    def _add_place_decision(
        self, job: JobEntry, placement: list[TaskPlacement], reason: str, candidates: int
    ) -> None:
        self._view.allocate(job.record.spec, placement)
        self.handled_job_ids.add(job.job_id)
        self.decisions.append(Place(job.job_id, placement, True, reason, candidates))

    def _preempt_for_urgent(self, job: JobEntry) -> bool:
        """Stops borrowers without a checkpoint, since checkpoints would take too long."""

        def loss_of(borrower: JobEntry) -> float | None:
            if borrower.record.spec.urgent:
                return None
            return work_lost(borrower, self._now_ms, without_checkpoint=True)

        avoided = self._view.workers_to_avoid(job)
        clearing = find_cheapest_clearing(job.record.spec, self._view, avoided, loss_of)
        if clearing is None:
            return False
        self._preempt_and_claim(
            job, clearing, PreemptMode.STOP, "an urgent gang needs the capacity"
        )
        return True

    def _move_borrowers_for(self, job: JobEntry, reservation: Reservation | None) -> bool:
        """Moves smaller borrowers, checkpointing them if possible, if that is worthwhile."""
        settings = self._settings
        if not settings.migrate_for_large_gangs or not settings.checkpoint_grace_ms:
            return False
        avoided = self._view.workers_to_avoid(job)
        size = job.record.spec.accelerators

        def loss_of(borrower: JobEntry) -> float | None:
            is_smaller = borrower.record.spec.accelerators < size
            return self._loss_if_moved(borrower) if is_smaller else None

        clearing = find_cheapest_clearing(job.record.spec, self._view, avoided, loss_of)
        if clearing is None:
            return False
        wait_s = DEFAULT_WAIT_S
        if reservation is not None:
            wait_s = max(0.0, (reservation.at_ms - self._now_ms) / 1000)
        if clearing.loss >= MAX_MOVE_LOSS_RATIO * wait_s * size:
            return False
        is_starving = self._now_ms - job.submitted_ms >= STARVATION_AFTER_S * 1000
        if not is_starving and not self._victims_fit_elsewhere(job.record.spec, clearing):
            return False
        self._preempt_and_claim(
            job,
            clearing,
            PreemptMode.CHECKPOINT,
            "a larger gang does not fit within one adjacency group",
        )
        return True

    def _victims_fit_elsewhere(self, spec: JobSpec, clearing: ClearingPlan) -> bool:
        """Returns whether all victims fit elsewhere at once; leaves the view unchanged."""
        view = self._view
        allocated: list[tuple[JobSpec, list[TaskPlacement]]] = [(spec, clearing.placement)]
        for victim in clearing.victims:
            _release_gang(view, victim)
        view.allocate(spec, clearing.placement)
        all_fit = True
        for victim in sorted(clearing.victims, key=lambda v: -v.record.spec.accelerators):
            victim_spec = victim.record.spec
            arrangement = arrange(victim_spec, view, {}, lambda worker: True)
            if arrangement is None:
                all_fit = False
                break
            view.allocate(victim_spec, arrangement.placement)
            allocated.append((victim_spec, arrangement.placement))
        for allocated_spec, placement in allocated:
            for task in placement:
                view.workers_by_id[task.worker_id].release(allocated_spec, 1)
        for victim in clearing.victims:
            _release_gang(view, victim, undo=True)
        return all_fit

    def _loss_if_moved(self, borrower: JobEntry) -> float | None:
        """Returns the work lost by moving a borrower, or None if it must not be moved."""
        if borrower.state is not JobState.RUNNING:
            return None
        if not borrower.record.spec.checkpointable:
            is_movable = borrower.record.attempt <= MOVE_MAX_ATTEMPTS
            return work_lost(borrower, self._now_ms) if is_movable else None
        if self._now_ms - borrower.started_ms < MIN_RUN_BEFORE_MOVE_S * 1000:
            return None
        return work_lost(borrower, self._now_ms)

    def _preempt_and_claim(
        self, job: JobEntry, clearing: ClearingPlan, mode: PreemptMode, reason: str
    ) -> None:
        for victim in clearing.victims:
            self.decisions.append(Preempt(victim.job_id, job.job_id, mode, reason))
            del self._view.borrowers_by_id[victim.job_id]
            self._view.leaving_by_id[victim.job_id] = victim
        self._view.allocate(job.record.spec, clearing.placement)
        self._claims.hold(job.job_id, clearing.placement, self._now_ms)
        self.handled_job_ids.add(job.job_id)

    def _leaving_gangs(self) -> list[JobEntry]:
        return list(self._view.leaving_by_id.values())

    def _has_capacity(self, spec: JobSpec, worker_ids: list[str]) -> bool:
        counts = Counter(worker_ids)
        return all(
            self._view.workers_by_id[worker_id].count_fitting_tasks(spec) >= tasks
            for worker_id, tasks in counts.items()
        )


def _release_gang(view: ClusterView, gang: JobEntry, undo: bool = False) -> None:
    """Releases in the view all that a gang holds; `undo` allocates it again."""
    for worker in view.workers_by_id.values():
        tasks = worker.tasks_by_job_id.get(gang.job_id, 0)
        if tasks:
            worker.release(gang.record.spec, -tasks if undo else tasks)
