"""Updates the table of workers from the platform's host list.

The list may be stale.  A worker that is no longer listed is treated as leaving, and dropped only
when no task holds resources there.  A new worker gets tasks only after it has replied in this
epoch.
"""

from __future__ import annotations

from jacinthreel_common import Host, HostKind, HostState
from jacinthreel_jobs._context import ShardContext, WorkerEvidence, WorkerLink
from jacinthreel_jobs._gang import SETTLED_TASK_PHASES, Gang, GangTask
from jacinthreel_jobs._gang_start import task_resources
from jacinthreel_jobs._leaving import move_gang_off_worker
from jacinthreel_jobs._limits import HEARTBEAT_MS
from jacinthreel_jobs._tables import WorkerEntry, WorkerHealth
from jacinthreel_jobs._worker_health import gangs_on, health_if_reachable, run_heartbeat, set_health
from jacinthreel_jobs._worker_links import add_link


def shard_workers(hosts: list[Host], shard: str) -> list[Host]:
    """Returns the listed workers of the shard's region."""
    return [host for host in hosts if host.kind is HostKind.WORKER and host.region == shard]


def apply_hosts(ctx: ShardContext) -> None:
    """Adds, updates and drops workers according to the host list."""
    ctx.fit_fault_by_shape.clear()
    if not ctx.owns:
        return
    tasks_by_worker = _tasks_by_worker(ctx)
    listed = {host.host_id: host for host in shard_workers(ctx.hosts, ctx.tables.shard)}
    for host in listed.values():
        worker = ctx.tables.workers_by_id.get(host.host_id)
        if worker is None:
            worker = _add_worker(ctx, host, tasks_by_worker.get(host.host_id, []))
        else:
            _update_worker(ctx, worker, host)
        _set_leaving(ctx, worker, host.state is HostState.LEAVING)
    for worker in list(ctx.tables.workers_by_id.values()):
        if worker.worker_id in listed:
            continue
        _set_leaving(ctx, worker, True)
        if not worker.held:
            drop_worker(ctx, worker)


def drop_worker(ctx: ShardContext, worker: WorkerEntry) -> None:
    """Removes a worker on which no task holds resources."""
    worker_id = worker.worker_id
    ctx.log("worker_dropped", worker_id=worker_id)
    del ctx.tables.workers_by_id[worker_id]
    ctx.links_by_worker_id.pop(worker_id, None)
    ctx.due_links.pop(worker_id, None)
    ctx.evidence_by_worker_id.pop(worker_id, None)
    ctx.request_plan()


def _tasks_by_worker(ctx: ShardContext) -> dict[str, list[tuple[Gang, GangTask]]]:
    """Returns the unsettled tasks by worker, for which a newly listed worker holds resources."""
    tasks: dict[str, list[tuple[Gang, GangTask]]] = {}
    for gang in ctx.gangs_by_job_id.values():
        for task in gang.tasks:
            if task.phase not in SETTLED_TASK_PHASES:
                tasks.setdefault(task.worker_id, []).append((gang, task))
    return tasks


def _add_worker(ctx: ShardContext, host: Host, tasks: list[tuple[Gang, GangTask]]) -> WorkerEntry:
    worker = WorkerEntry(
        host.host_id,
        host.zone,
        host.rack,
        host.address,
        host.port,
        host.accelerators,
        host.cores,
        host.memory_gb,
        health=WorkerHealth.SUSPECT,
        free_accelerators=host.accelerators,
        free_cores=host.cores,
        free_memory_gb=host.memory_gb,
        last_reply_ms=ctx.now_ms,
    )
    ctx.tables.workers_by_id[host.host_id] = worker
    ctx.evidence_by_worker_id[host.host_id] = WorkerEvidence()
    for gang, task in tasks:
        worker.hold(gang.key(task), task_resources(gang.job.record))
    link = add_link(ctx, worker)
    _start_heartbeat(ctx, link)
    return worker


def _start_heartbeat(ctx: ShardContext, link: WorkerLink) -> None:
    """Starts the periodic heartbeat of a worker, with a random delay to spread the load."""

    def first_beat(now_ms: int) -> None:
        if ctx.links_by_worker_id.get(link.worker.worker_id) is not link:
            return
        run_heartbeat(ctx, link)
        ctx.timers.every(HEARTBEAT_MS, lambda _now_ms: run_heartbeat(ctx, link), now_ms)

    ctx.timers.once(ctx.rng.randrange(1, HEARTBEAT_MS), first_beat, ctx.now_ms)


def _update_worker(ctx: ShardContext, worker: WorkerEntry, host: Host) -> None:
    worker.zone = host.zone
    worker.rack = host.rack
    worker.address = host.address
    worker.port = host.port
    worker.free_accelerators += host.accelerators - worker.accelerators
    worker.free_cores += host.cores - worker.cores
    worker.free_memory_gb += host.memory_gb - worker.memory_gb
    worker.accelerators = host.accelerators
    worker.cores = host.cores
    worker.memory_gb = host.memory_gb


def _set_leaving(ctx: ShardContext, worker: WorkerEntry, leaving: bool) -> None:
    evidence = ctx.evidence_by_worker_id[worker.worker_id]
    if evidence.leaving is leaving:
        return
    evidence.leaving = leaving
    if worker.health not in (WorkerHealth.SUSPECT, WorkerHealth.LOST):
        health = health_if_reachable(ctx, worker.worker_id)
        set_health(
            ctx,
            worker,
            health,
            "leaving" if leaving else "no longer leaving according to the host list",
        )
    if not leaving:
        return
    for gang in gangs_on(ctx, worker):
        move_gang_off_worker(ctx, gang, worker.worker_id)
