"""Refusal of jobs that can never run: no arrangement on the known workers holds the gang."""

from __future__ import annotations

from collections.abc import Iterable

from returns.result import Failure, Result, Success

from jacinthreel_common import Adjacency, Fault, Host, HostKind, JobSpec, ResultCode


def tasks_that_fit(spec: JobSpec, accelerators: int, cores: int, memory_gb: int) -> int:
    """How many tasks of a gang these resources hold.

    >>> tasks_that_fit(JobSpec("j", "w", 4, 2, cores_per_task=10), 8, 35, 500)
    3
    """
    fit = min(cores // spec.cores_per_task, memory_gb // spec.memory_gb_per_task, spec.tasks)
    if spec.accelerators_per_task:
        fit = min(fit, accelerators // spec.accelerators_per_task)
    return max(0, fit)


def adjacency_group(adjacency: Adjacency, zone: str, rack: str, worker_id: str) -> tuple[str, ...]:
    """The group that all tasks of a gang have to share; equal for two workers that are together."""
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
    """Checks whether any arrangement on all listed workers, when empty, holds the gang.

    Errors: JOB_NEVER_FITS with the most tasks that go together and what was asked for.
    """
    tasks_by_group: dict[tuple[str, ...], int] = {}
    for host in workers:
        if host.kind is not HostKind.WORKER:
            continue
        group = adjacency_group(spec.adjacency, host.zone, host.rack, host.host_id)
        fit = tasks_that_fit(spec, host.accelerators, host.cores, host.memory_gb)
        tasks_by_group[group] = tasks_by_group.get(group, 0) + fit
    most = max(tasks_by_group.values(), default=0)
    if most >= spec.tasks:
        return Success(None)
    where = "all workers" if spec.adjacency is Adjacency.ANY else f"one {spec.adjacency}"
    detail = (
        f"at most {most} of {spec.tasks} tasks with {spec.accelerators_per_task} accelerators, "
        f"{spec.cores_per_task} cores and {spec.memory_gb_per_task} GB fit {where}"
    )
    return Failure(Fault(ResultCode.JOB_NEVER_FITS, detail))
