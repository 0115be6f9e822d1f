"""Computes how many tasks of a gang fit, and rejects jobs that fit on no listed workers."""

from __future__ import annotations

from collections.abc import Iterable

from returns.result import Failure, Result, Success

from jacinthreel_common import Adjacency, Fault, Host, HostKind, JobSpec, ResultCode


def max_fitting_tasks(spec: JobSpec, accelerators: int, cores: int, memory_gb: int) -> int:
    """Returns how many tasks of a gang fit in the given resources.

    >>> max_fitting_tasks(JobSpec("j", "w", 4, 2, cores_per_task=10), 8, 35, 500)
    3
    """
    fit = min(cores // spec.cores_per_task, memory_gb // spec.memory_gb_per_task, spec.tasks)
    if spec.accelerators_per_task:
        fit = min(fit, accelerators // spec.accelerators_per_task)
    return max(0, fit)


def adjacency_group(adjacency: Adjacency, zone: str, rack: str, worker_id: str) -> tuple[str, ...]:
    """Returns the adjacency group of a worker; all tasks of a gang must be in the same group.

    The group is the key of a worker, rack or zone, or () if a gang may use any workers.
    """
    match adjacency:
        case Adjacency.ANY:
            return ()
        case Adjacency.ZONE:
            return (zone,)
        case Adjacency.RACK:
            return (zone, rack)
        case Adjacency.WORKER:
            return (zone, rack, worker_id)


def check_job_fits(spec: JobSpec, workers: Iterable[Host]) -> Result[None, Fault]:
    """Checks whether the gang would fit on the listed workers if these were idle.

    Errors: JOB_NEVER_FITS; its detail has the highest number of tasks that fit in one adjacency
    group, and the job's requirements.
    """
    tasks_by_group: dict[tuple[str, ...], int] = {}
    for host in workers:
        if host.kind is not HostKind.WORKER:
            continue
        group = adjacency_group(spec.adjacency, host.zone, host.rack, host.host_id)
        fit = max_fitting_tasks(spec, host.accelerators, host.cores, host.memory_gb)
        tasks_by_group[group] = tasks_by_group.get(group, 0) + fit
    max_tasks = max(tasks_by_group.values(), default=0)
    if max_tasks >= spec.tasks:
        return Success(None)
    where = "all workers" if spec.adjacency is Adjacency.ANY else f"one {spec.adjacency}"
    detail = (
        f"at most {max_tasks} of {spec.tasks} tasks with "
        f"{spec.accelerators_per_task} accelerators, "
        f"{spec.cores_per_task} cores and {spec.memory_gb_per_task} GB fit {where}"
    )
    return Failure(Fault(ResultCode.JOB_NEVER_FITS, detail))
