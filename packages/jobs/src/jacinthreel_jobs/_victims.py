"""Chooses the borrowers to preempt for a placement: the cheapest, and no more than needed."""

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
    """Returns the borrowers to preempt for a placement that is already allocated in the view.

    Returns None if the workers would still be overcommitted without any borrowers, for example
    while a guaranteed gang on them is being stopped.  Resources of leaving gangs count as free.
    """
    overcommitted_ids = {
        t.worker_id for t in placement if view.workers_by_id[t.worker_id].is_overcommitted()
    }
    released_by_leaving: list[_ReleasedResources] = []
    for job in view.leaving_by_id.values():
        released_by_leaving.extend(_release_tasks(job, view, overcommitted_ids))
    victims: list[JobEntry] = []
    released_by_id: dict[str, list[_ReleasedResources]] = {}
    while any(view.workers_by_id[worker_id].is_overcommitted() for worker_id in overcommitted_ids):
        victim = _cheapest_borrower(view, overcommitted_ids, released_by_id, loss_of)
        if victim is None:
            break
        victims.append(victim)
        released_by_id[victim.job_id] = _release_tasks(victim, view, overcommitted_ids)
    has_capacity = not any(
        view.workers_by_id[worker_id].is_overcommitted() for worker_id in overcommitted_ids
    )
    if has_capacity:
        victims = _drop_unneeded(victims, released_by_id)
    for released in [
        *released_by_leaving,
        *(released for releases in released_by_id.values() for released in releases),
    ]:
        released.worker.allocate(released.spec, released.tasks)
    return victims if has_capacity else None


@dataclass(frozen=True, slots=True)
class _ReleasedResources:
    """Resources of a gang on one worker that were released in the view."""

    worker: WorkerView
    spec: JobSpec
    tasks: int


def _cheapest_borrower(
    view: ClusterView, overcommitted_ids: set[str], chosen: Container[str], loss_of: LossFunction
) -> JobEntry | None:
    """Returns the borrower on overcommitted workers that loses the least work, or None."""
    best: tuple[float, str] | None = None
    for worker_id in overcommitted_ids:
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


def _release_tasks(
    job: JobEntry, view: ClusterView, worker_ids: set[str]
) -> list[_ReleasedResources]:
    """Releases the resources of a gang on some workers in the view, and returns them."""
    released: list[_ReleasedResources] = []
    for worker_id in worker_ids:
        worker = view.workers_by_id[worker_id]
        tasks = worker.tasks_by_job_id.get(job.job_id, 0)
        if tasks:
            worker.release(job.record.spec, tasks)
            released.append(_ReleasedResources(worker, job.record.spec, tasks))
    return released


def _drop_unneeded(
    victims: list[JobEntry], released_by_id: dict[str, list[_ReleasedResources]]
) -> list[JobEntry]:
    """Removes victims that are not needed for the placement, the most expensive first."""
    needed: list[JobEntry] = []
    for victim in reversed(victims):
        releases = released_by_id[victim.job_id]
        for released in releases:
            released.worker.allocate(released.spec, released.tasks)
        if any(released.worker.is_overcommitted() for released in releases):
            for released in releases:
                released.worker.release(released.spec, released.tasks)
            needed.append(victim)
        else:
            released_by_id[victim.job_id] = []
    return needed[::-1]
