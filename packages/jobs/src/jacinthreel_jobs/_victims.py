"""Chooses the borrowers that make room for a placement: cheapest first, and none without need."""

from __future__ import annotations

from collections.abc import Container
from dataclasses import dataclass

from jacinthreel_common import JobSpec, TaskPlacement
from jacinthreel_jobs._clearing_costs import LossFunction
from jacinthreel_jobs._cluster_view import ClusterView, WorkerView
from jacinthreel_jobs._tables import JobEntry


def choose_victims(
    placement: list[TaskPlacement], view: ClusterView, loss_of: LossFunction
) -> list[JobEntry] | None:
    """Borrowers to take down so that a placement, claimed in the view already, has room.

    Returns None if taking down all of them does not make room, as while a gang is still stopping.
    Room that leaving gangs will give back counts as free.
    """
    short_ids = {
        t.worker_id for t in placement if view.workers_by_id[t.worker_id].is_overcommitted()
    }
    returned: list[_Returned] = []
    for job in view.leaving_by_id.values():
        returned.extend(_give_back(job, view, short_ids))
    victims: list[JobEntry] = []
    given: dict[str, list[_Returned]] = {}
    while any(view.workers_by_id[worker_id].is_overcommitted() for worker_id in short_ids):
        victim = _cheapest_borrower(view, short_ids, given, loss_of)
        if victim is None:
            break
        victims.append(victim)
        given[victim.job_id] = _give_back(victim, view, short_ids)
    made_room = not any(view.workers_by_id[worker_id].is_overcommitted() for worker_id in short_ids)
    if made_room:
        victims = _without_needless(victims, given)
    for room in [*returned, *(room for rooms in given.values() for room in rooms)]:
        room.worker.allocate(room.spec, room.tasks)
    return victims if made_room else None


@dataclass(frozen=True, slots=True)
class _Returned:
    """Room that a gang would give back on one worker."""

    worker: WorkerView
    spec: JobSpec
    tasks: int


def _cheapest_borrower(
    view: ClusterView, short_ids: set[str], chosen: Container[str], loss_of: LossFunction
) -> JobEntry | None:
    best: tuple[float, str] | None = None
    for worker_id in short_ids:
        worker = view.workers_by_id[worker_id]
        if not worker.is_overcommitted():
            continue
        for job_id in worker.tasks_by_job_id:
            job = view.borrowers_by_id.get(job_id)
            if job is None or job_id in chosen:
                continue
            candidate = (loss_of(job), job_id)
            if best is None or candidate < best:
                best = candidate
    return None if best is None else view.borrowers_by_id[best[1]]


def _give_back(job: JobEntry, view: ClusterView, short_ids: set[str]) -> list[_Returned]:
    returned: list[_Returned] = []
    for worker_id in short_ids:
        worker = view.workers_by_id[worker_id]
        tasks = worker.tasks_by_job_id.get(job.job_id, 0)
        if tasks:
            worker.release(job.record.spec, tasks)
            returned.append(_Returned(worker, job.record.spec, tasks))
    return returned


def _without_needless(victims: list[JobEntry], given: dict[str, list[_Returned]]) -> list[JobEntry]:
    """Drops victims, dearest first, without which there is room all the same."""
    needed: list[JobEntry] = []
    for victim in reversed(victims):
        rooms = given[victim.job_id]
        for room in rooms:
            room.worker.allocate(room.spec, room.tasks)
        if any(room.worker.is_overcommitted() for room in rooms):
            for room in rooms:
                room.worker.release(room.spec, room.tasks)
            needed.append(victim)
        else:
            given[victim.job_id] = []
    return needed[::-1]
