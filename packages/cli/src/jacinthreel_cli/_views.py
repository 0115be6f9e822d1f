"""How records look on a terminal."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from datetime import UTC, datetime

from rich.console import Group, RenderableType
from rich.table import Table

from jacinthreel_common import (
    ChangeAnswer,
    Config,
    HistoryList,
    JobList,
    JobRecord,
    PresetList,
    PresetSettings,
    ProcessLine,
    ResultCode,
    ShardStatusReply,
    SystemStatus,
    ZoneLine,
    ZoneList,
    to_plain,
)


def draw_table(title: str, columns: Sequence[str], rows: Iterable[Sequence[object]]) -> Table:
    """A table whose cells are written as text."""
    table = Table(title=title, title_justify="left")
    for column in columns:
        table.add_column(column)
    for row in rows:
        table.add_row(*(str(cell) for cell in row))
    return table


def draw_change(answer: ChangeAnswer) -> str:
    """An accepted change.

    >>> draw_change(ChangeAnswer(7, "c1", True))
    'accepted as version 7'
    """
    text = f"accepted as version {answer.version}"
    if not answer.changed:
        text = f"in force already at version {answer.version}"
    return f"{text}\n{draw_unheld(answer.unheld)}".rstrip()


def draw_unheld(unheld: str) -> str:
    """A warning about guarantees that can't be held now, or nothing.

    >>> draw_unheld("no room for 1 x rack of workspace press")
    'guarantees not held while zones are out: no room for 1 x rack of workspace press'
    """
    return f"guarantees not held while zones are out: {unheld}" if unheld else ""


def draw_status(status: SystemStatus) -> RenderableType:
    """The state of a region."""
    parts: list[RenderableType] = [_draw_heading(status)]
    if status.unheld:
        parts.append(draw_unheld(status.unheld))
    parts.append(_draw_processes(status.processes))
    parts.append(draw_zones(status.zones))
    if status.shard is not None:
        parts.append(_draw_workspaces(status.shard))
        parts.append(_draw_workers(status.shard))
        parts.append(_draw_queue(status.shard))
    return Group(*parts)


def _draw_heading(status: SystemStatus) -> str:
    config = status.config
    version = f"version {config.version}, preset {config.preset}" if config else "none seen"
    owner = "no owner"
    if status.shard is not None:
        owner = f"{status.shard.host_id}, epoch {status.shard.epoch}"
    return (
        f"region {status.region} (answered by {status.answered_by})\n"
        f"configuration: {version}\nshard owner: {owner}"
    )


def _draw_processes(processes: Iterable[ProcessLine]) -> Table:
    rows: list[list[object]] = []
    for line in processes:
        answer = "ok" if line.code is ResultCode.OK else f"{int(line.code)} {line.code.name}"
        state = "draining" if line.draining else line.host_state
        version = line.config_version or "-"
        rows.append([line.host_id, line.role, line.zone, state, answer, version, line.epoch or ""])
    columns = ["host", "role", "zone", "state", "answer", "config", "owns epoch"]
    return draw_table("hosts", columns, rows)


def draw_zones(zones: Iterable[ZoneLine]) -> Table:
    """Availability zones."""
    rows: list[list[object]] = []
    for line in zones:
        service = "in service" if line.outage is None else f"out: {line.outage.reason}"
        free = "?" if line.free_accelerators is None else line.free_accelerators
        rows.append([line.zone, service, line.workers, line.accelerators, free, line.executors])
    columns = ["zone", "service", "workers", "accelerators", "free", "executors"]
    return draw_table("zones", columns, rows)


def draw_zone_list(zones: ZoneList) -> RenderableType:
    """Availability zones with the version of the configuration."""
    return Group(f"configuration version {zones.version}", draw_zones(zones.zones))


def _draw_workspaces(shard: ShardStatusReply) -> Table:
    rows = [
        [w.workspace, w.guaranteed, w.used, w.borrowed, w.queued_jobs, w.active_jobs]
        for w in shard.workspaces
    ]
    columns = ["workspace", "guaranteed", "used", "borrowed", "queued jobs", "active jobs"]
    return draw_table("workspaces (accelerators)", columns, rows)


def _draw_workers(shard: ShardStatusReply) -> Table:
    rows = [
        [w.worker_id, w.zone, w.rack, w.health, w.accelerators, w.free_accelerators, w.tasks]
        for w in shard.workers
    ]
    columns = ["worker", "zone", "rack", "health", "accelerators", "free", "tasks"]
    return draw_table("workers", columns, rows)


def _draw_queue(shard: ShardStatusReply) -> str:
    counts = ", ".join(f"{count} {state}" for state, count in sorted(shard.jobs_by_state.items()))
    return f"jobs: {counts or 'none'}; longest wait {shard.longest_wait_s:.0f} s"


def draw_jobs(jobs: JobList) -> Table:
    """A list of jobs."""
    rows: list[list[object]] = []
    for job in jobs.jobs:
        shape = f"{job.spec.tasks} x {job.spec.accelerators_per_task}"
        row = [job.spec.job_id, job.spec.workspace, shape, job.state, job.attempt]
        rows.append([*row, format_time(job.submitted_unix_ms), job.detail])
    columns = ["job", "workspace", "tasks x acc.", "state", "attempt", "submitted", "detail"]
    return draw_table(f"jobs (from the {jobs.source})", columns, rows)


def draw_job(job: JobRecord) -> Table:
    """One job."""
    spec = job.spec
    workers = ", ".join(f"{place.task_index}:{place.worker_id}" for place in job.placement)
    result = "" if job.result is ResultCode.OK else f"{int(job.result)} {job.result.name}"
    rows: list[list[object]] = [
        ["workspace", spec.workspace],
        ["tasks", f"{spec.tasks} x {spec.accelerators_per_task} accelerators"],
        ["adjacency", spec.adjacency],
        ["state", job.state],
        ["attempt", job.attempt],
        ["placement", workers],
        ["borrowed", "yes" if job.borrowed else "no"],
        ["submitted", format_time(job.submitted_unix_ms)],
        ["started", format_time(job.started_unix_ms)],
        ["ended", format_time(job.ended_unix_ms)],
        ["result", result],
        ["detail", job.detail],
    ]
    return draw_table(f"job {spec.job_id}", ["field", "value"], rows)


def draw_workspaces(config: Config) -> Table:
    """The workspaces of a configuration."""
    rows: list[list[object]] = []
    for name, workspace in sorted(config.workspaces.items()):
        shapes = ", ".join(f"{shape.count} x {shape.cell}" for shape in workspace.guarantee)
        rows.append([name, shapes or "none", workspace.weight])
    return draw_table(
        f"workspaces, version {config.version}", ["name", "guarantee", "weight"], rows
    )


def draw_presets(presets: PresetList) -> Table:
    """The presets, the one in force marked."""
    rows = [["*" if name is presets.active else "", name] for name in presets.presets]
    return draw_table(f"presets, version {presets.version}", ["in force", "preset"], rows)


def draw_preset(settings: PresetSettings) -> Table:
    """The settings of a preset."""
    return draw_table("settings", ["key", "value"], list(to_plain(settings).items()))


def draw_history(history: HistoryList) -> Table:
    """Versions of the configuration."""
    rows = [
        [line.version, format_time(line.changed_unix_ms), line.author, line.preset, line.summary]
        for line in history.history
    ]
    return draw_table("history", ["version", "time", "by", "preset", "change"], rows)


def format_time(unix_ms: int) -> str:
    """A wall-clock time in UTC; empty for 0.

    >>> format_time(0), format_time(1_700_000_000_000)
    ('', '2023-11-14 22:13:20Z')
    """
    if not unix_ms:
        return ""
    return datetime.fromtimestamp(unix_ms / 1000, UTC).strftime("%Y-%m-%d %H:%M:%SZ")
