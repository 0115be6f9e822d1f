"""The second phase of a plan: gangs beyond the guarantee of their workspace.

In order of rank, a gang is placed in free room (`_packing`).  One that does not fit:

- is urgent: the borrowers with the least work to lose are stopped for it;
- is a large gang: smaller borrowers are moved (`_clearing`) if each finds other room at once and
  this pays, and its place is claimed until they have gone;
- has waited for `RESERVE_AFTER_S`: room is kept for it (`_backfill`), and after `MOVE_ANYWAY_S`
  others are moved for it even if they have to wait.

A move pays if the work lost is less than `MOVE_GAIN` of what the gang would do in the time until
it could start otherwise.  A gang that was started less than `MOVE_AFTER_S` ago is not moved by
checkpoint, which bounds the share of time that moves cost.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from typing import Final

from jacinthreel_common import JobSpec, JobState, PresetSettings, TaskPlacement
from jacinthreel_jobs._backfill import Reservation, Reservations
from jacinthreel_jobs._clearing import ClearedRoom, find_clearable
from jacinthreel_jobs._clearing_costs import work_lost
from jacinthreel_jobs._cluster_view import ClusterView, WorkerView
from jacinthreel_jobs._guaranteed_pass import Claims
from jacinthreel_jobs._packing import arrange
from jacinthreel_jobs._planning import Decision, Place, Preempt, PreemptMode
from jacinthreel_jobs._tables import JobEntry, Tables

MAX_RESERVATIONS: Final = 1
RESERVE_AFTER_S: Final = 600.0
"""How long a gang waits before room is kept for it; kept room stands empty meanwhile."""
MOVE_MIN_ACCELERATORS: Final = 16
MOVE_AFTER_S: Final = 45.0
MOVE_ANYWAY_S: Final = 1_800.0
MOVE_GAIN: Final = 0.5
MAX_RESTARTS: Final = 4
"""A gang without checkpoints is not moved any more after this many placements."""
UNKNOWN_WAIT_S: Final = 600.0

ExpectRunS = Callable[[JobSpec], float]
"""The run time expected of a gang, in seconds."""


class BorrowingPass:
    """Places gangs in free room; `handled` are the ids of those placed or waiting for room."""

    def __init__(
        self,
        settings: PresetSettings,
        set_aside: dict[str, int],
        view: ClusterView,
        claims: Claims,
        kept_workers: dict[str, frozenset[str]],
        now_ms: int,
        expect_run_s: ExpectRunS,
    ) -> None:
        self.decisions: list[Decision] = []
        self.handled: set[str] = set()
        self._settings = settings
        self._set_aside = set_aside
        self._view = view
        self._claims = claims
        self._now_ms = now_ms
        self._expect_run_s = expect_run_s
        self._reservations = Reservations(now_ms, kept_workers)
        self._misses = 0

    def renew_claims(self, tables: Tables, config_version: int) -> None:
        """Places gangs whose claimed room is free now, and keeps the room of the others."""
        for job_id, placement in self._claims.take_all(config_version).items():
            job = tables.queued_by_id.get(job_id)
            if job is None or job.record.cancel_requested or job.not_before_ms > self._now_ms:
                continue
            workers = {
                task.worker_id: self._view.workers_by_id.get(task.worker_id) for task in placement
            }
            if any(w is None or not w.in_service or w.task_limit <= 0 for w in workers.values()):
                continue
            if not any(job_id == leaving.preempting_for for leaving in self._leaving()):
                if self._is_free(job.record.spec, [t.worker_id for t in placement]):
                    self._decide(job, placement, "room that was cleared", len(workers))
                continue
            self._view.take(job.record.spec, placement)
            self._claims.hold(job_id, placement, self._now_ms)
            self.handled.add(job_id)

    def kept_workers(self) -> dict[str, frozenset[str]]:
        """The workers kept for each gang that has a reservation."""
        made = {reservation.job_id for reservation in self._reservations.by_worker.values()}
        kept = self._reservations.kept_workers
        return {job_id: workers for job_id, workers in kept.items() if job_id in made}

    def visit(self, job: JobEntry) -> bool:
        """Places a gang or sees to its room; false if it does not fit now."""
        if self._misses > self._settings.backfill_depth:
            return False
        if self._place(job):
            return True
        self._misses += 1
        if job.record.spec.urgent:
            return self._clear_for_urgent(job)
        if job.record.spec.accelerators < MOVE_MIN_ACCELERATORS:
            return False
        reservation = self._reservations.earliest(job, self._view)
        if self._move_for(job, reservation):
            return True
        waited_s = (self._now_ms - job.submitted_ms) / 1000
        may_reserve = self._reservations.count < MAX_RESERVATIONS and waited_s >= RESERVE_AFTER_S
        if reservation is not None and may_reserve:
            self._reservations.add(reservation)
        return False

    def _place(self, job: JobEntry) -> bool:
        spec = job.record.spec
        run_s = max(1.0, self._expect_run_s(spec) - job.record.run_s)
        avoided = self._view.avoided_by(job)

        def allowed(worker: WorkerView) -> bool:
            if worker.worker_id in avoided:
                return False
            if not self._settings.borrowing and self._set_aside.get(worker.worker_id, 0):
                return False
            return spec.urgent or self._reservations.allows(worker, run_s)

        arrangement = arrange(spec, self._view, self._set_aside, allowed)
        if arrangement is None:
            return False
        reason = "free room beyond the workspace's guarantee"
        self._decide(job, arrangement.placement, reason, arrangement.candidates)
        return True

    def _decide(
        self, job: JobEntry, placement: list[TaskPlacement], reason: str, candidates: int
    ) -> None:
        self._view.take(job.record.spec, placement)
        self.handled.add(job.job_id)
        self.decisions.append(Place(job.job_id, placement, True, reason, candidates))

    def _clear_for_urgent(self, job: JobEntry) -> bool:
        """Stops borrowers at once; their checkpoints would take too long."""

        def loss_of(borrower: JobEntry) -> float | None:
            if borrower.record.spec.urgent:
                return None
            return work_lost(borrower, self._now_ms, stopped=True)

        avoided = self._view.avoided_by(job)
        room = find_clearable(job.record.spec, self._view, avoided, loss_of)
        if room is None:
            return False
        self._make_way(job, room, PreemptMode.STOP, "an urgent gang needs the room")
        return True

    def _move_for(self, job: JobEntry, reservation: Reservation | None) -> bool:
        """Moves others by checkpoint where this pays."""
        settings = self._settings
        if not settings.migrate_for_large_gangs or not settings.checkpoint_grace_ms:
            return False
        avoided = self._view.avoided_by(job)
        size = job.record.spec.accelerators

        def loss_of(borrower: JobEntry) -> float | None:
            smaller = borrower.record.spec.accelerators < size
            return self._moving_loss(borrower) if smaller else None

        room = find_clearable(job.record.spec, self._view, avoided, loss_of)
        if room is None:
            return False
        wait_s = UNKNOWN_WAIT_S
        if reservation is not None:
            wait_s = max(0.0, (reservation.at_ms - self._now_ms) / 1000)
        if room.loss >= MOVE_GAIN * wait_s * size:
            return False
        starves = self._now_ms - job.submitted_ms >= MOVE_ANYWAY_S * 1000
        if not starves and not self._fit_elsewhere(job.record.spec, room):
            return False
        self._make_way(job, room, PreemptMode.CHECKPOINT, "a gang has no room side by side")
        return True

    def _fit_elsewhere(self, spec: JobSpec, room: ClearedRoom) -> bool:
        """Whether all gangs that move find other room at once."""
        view = self._view
        taken: list[tuple[JobSpec, list[TaskPlacement]]] = [(spec, room.placement)]
        for victim in room.victims:
            _give_all(view, victim)
        view.take(spec, room.placement)
        all_fit = True
        for victim in sorted(room.victims, key=lambda v: -v.record.spec.accelerators):
            victim_spec = victim.record.spec
            found = arrange(victim_spec, view, {}, lambda worker: True)
            if found is None:
                all_fit = False
                break
            view.take(victim_spec, found.placement)
            taken.append((victim_spec, found.placement))
        for taken_spec, placement in taken:
            for task in placement:
                view.workers_by_id[task.worker_id].give(taken_spec, 1)
        for victim in room.victims:
            _give_all(view, victim, back=True)
        return all_fit

    def _moving_loss(self, borrower: JobEntry) -> float | None:
        """What moving a borrower loses, or None if it stays."""
        if borrower.state is not JobState.RUNNING:
            return None
        if not borrower.record.spec.checkpointable:
            movable = borrower.record.attempt <= MAX_RESTARTS
            return work_lost(borrower, self._now_ms) if movable else None
        if self._now_ms - borrower.started_ms < MOVE_AFTER_S * 1000:
            return None
        return work_lost(borrower, self._now_ms)

    def _make_way(self, job: JobEntry, room: ClearedRoom, mode: PreemptMode, reason: str) -> None:
        for victim in room.victims:
            self.decisions.append(Preempt(victim.job_id, job.job_id, mode, reason))
            del self._view.borrowers_by_id[victim.job_id]
            self._view.leaving_by_id[victim.job_id] = victim
        self._view.take(job.record.spec, room.placement)
        self._claims.hold(job.job_id, room.placement, self._now_ms)
        self.handled.add(job.job_id)

    def _leaving(self) -> list[JobEntry]:
        return list(self._view.leaving_by_id.values())

    def _is_free(self, spec: JobSpec, worker_ids: list[str]) -> bool:
        counts = Counter(worker_ids)
        return all(
            self._view.workers_by_id[worker_id].fits(spec) >= tasks
            for worker_id, tasks in counts.items()
        )


def _give_all(view: ClusterView, gang: JobEntry, back: bool = False) -> None:
    """Gives back, in thought, all that a gang holds; `back` takes it again."""
    for worker in view.workers_by_id.values():
        tasks = worker.tasks_by_gang.get(gang.job_id, 0)
        if tasks:
            worker.give(gang.record.spec, -tasks if back else tasks)
