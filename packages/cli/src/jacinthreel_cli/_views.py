"""Renders the records that commands print on a terminal."""

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


def render_table(title: str, columns: Sequence[str], rows: Iterable[Sequence[object]]) -> Table:
    """Returns a table; cells are converted to text."""
    table = Table(title=title, title_justify="left")
    for column in columns:
        table.add_column(column)
    for row in rows:
        table.add_row(*(str(cell) for cell in row))
    return table


def render_change(answer: ChangeAnswer) -> str:
    """Returns the text for an accepted configuration change.

    >>> render_change(ChangeAnswer(7, "c1", True))
    'accepted as version 7'
    """
    text = f"accepted as version {answer.version}"
    if not answer.changed:
        text = f"no change; already active at version {answer.version}"
    return f"{text}\n{render_unheld_guarantees(answer.unheld)}".rstrip()


def render_unheld_guarantees(unheld: str) -> str:
    """Returns a warning about guarantees that currently cannot be met, or an empty text.

    >>> render_unheld_guarantees("no capacity for 1 x rack of workspace press")
    'guarantees not met while zones are out: no capacity for 1 x rack of workspace press'
    """
    return f"guarantees not met while zones are out: {unheld}" if unheld else ""


def render_status(status: SystemStatus) -> RenderableType:
    """Returns the state of a region."""
    parts: list[RenderableType] = [_render_heading(status)]
    if status.unheld:
        parts.append(render_unheld_guarantees(status.unheld))
    parts.append(_render_processes(status.processes))
    parts.append(render_zones(status.zones))
    if status.shard is not None:
        parts.append(_render_workspaces(status.shard))
        parts.append(_render_workers(status.shard))
        parts.append(_render_queue(status.shard))
    return Group(*parts)


def _render_heading(status: SystemStatus) -> str:
    config = status.config
    version = f"version {config.version}, preset {config.preset}" if config else "none received"
    owner = "no owner"
    if status.shard is not None:
        owner = f"{status.shard.host_id}, epoch {status.shard.epoch}"
    return (
        f"region {status.region} (answered by {status.answered_by})\n"
        f"configuration: {version}\nshard owner: {owner}"
    )


def _render_processes(processes: Iterable[ProcessLine]) -> Table:
    rows: list[list[object]] = []
    for line in processes:
        answer = "ok" if line.code is ResultCode.OK else f"{int(line.code)} {line.code.name}"
        state = "draining" if line.draining else line.host_state
        version = line.config_version or "-"
        rows.append([line.host_id, line.role, line.zone, state, answer, version, line.epoch or ""])
    columns = ["host", "role", "zone", "state", "answer", "config", "owns epoch"]
    return render_table("hosts", columns, rows)


def render_zones(zones: Iterable[ZoneLine]) -> Table:
    """Returns a table of availability zones."""
    rows: list[list[object]] = []
    for line in zones:
        service = "in service" if line.outage is None else f"out: {line.outage.reason}"
        free = "?" if line.free_accelerators is None else line.free_accelerators
        rows.append([line.zone, service, line.workers, line.accelerators, free, line.executors])
    columns = ["zone", "service", "workers", "accelerators", "free", "executors"]
    return render_table("zones", columns, rows)


def render_zone_list(zones: ZoneList) -> RenderableType:
    """Returns a table of availability zones, headed by the configuration version."""
    return Group(f"configuration version {zones.version}", render_zones(zones.zones))


def _render_workspaces(shard: ShardStatusReply) -> Table:
    rows = [
        [w.workspace, w.guaranteed, w.used, w.borrowed, w.queued_jobs, w.active_jobs]
        for w in shard.workspaces
    ]
    columns = ["workspace", "guaranteed", "used", "borrowed", "queued jobs", "active jobs"]
    return render_table("workspaces (accelerators)", columns, rows)


def _render_workers(shard: ShardStatusReply) -> Table:
    rows = [
        [w.worker_id, w.zone, w.rack, w.health, w.accelerators, w.free_accelerators, w.tasks]
        for w in shard.workers
    ]
    columns = ["worker", "zone", "rack", "health", "accelerators", "free", "tasks"]
    return render_table("workers", columns, rows)


def _render_queue(shard: ShardStatusReply) -> str:
    counts = ", ".join(f"{count} {state}" for state, count in sorted(shard.jobs_by_state.items()))
    return f"jobs: {counts or 'none'}; longest wait {shard.longest_wait_s:.0f} s"


def render_jobs(jobs: JobList) -> Table:
    """Returns a table of jobs."""
    rows: list[list[object]] = []
    for job in jobs.jobs:
        shape = f"{job.spec.tasks} x {job.spec.accelerators_per_task}"
        row = [job.spec.job_id, job.spec.workspace, shape, job.state, job.attempt]
        rows.append([*row, format_time(job.submitted_unix_ms), job.detail])
    columns = ["job", "workspace", "tasks x acc.", "state", "attempt", "submitted", "detail"]
    return render_table(f"jobs (from the {jobs.source})", columns, rows)


def render_job(job: JobRecord) -> Table:
    """Returns a table of the fields of one job."""
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
    return render_table(f"job {spec.job_id}", ["field", "value"], rows)


def render_workspaces(config: Config) -> Table:
    """Returns a table of the workspaces of a configuration."""
    rows: list[list[object]] = []
    for name, workspace in sorted(config.workspaces.items()):
        shapes = ", ".join(f"{shape.count} x {shape.cell}" for shape in workspace.guarantee)
        rows.append([name, shapes or "none", workspace.weight])
    return render_table(
        f"workspaces, version {config.version}", ["name", "guarantee", "weight"], rows
    )


def render_presets(presets: PresetList) -> Table:
    """Returns a table of the presets; the active one is marked with `*`."""
    rows = [["*" if name is presets.active else "", name] for name in presets.presets]
    return render_table(f"presets, version {presets.version}", ["active", "preset"], rows)


def render_preset(settings: PresetSettings) -> Table:
    """Returns a table of the settings of a preset."""
    return render_table("settings", ["key", "value"], list(to_plain(settings).items()))


def render_history(history: HistoryList) -> Table:
    """Returns a table of configuration versions."""
    rows = [
        [line.version, format_time(line.changed_unix_ms), line.author, line.preset, line.summary]
        for line in history.history
    ]
    return render_table("history", ["version", "time", "by", "preset", "change"], rows)


def format_time(unix_ms: int) -> str:
    """Returns a Unix time as text in UTC; empty for 0.

    >>> format_time(0), format_time(1_700_000_000_000)
    ('', '2023-11-14 22:13:20Z')
    """
    if not unix_ms:
        return ""
    return datetime.fromtimestamp(unix_ms / 1000, UTC).strftime("%Y-%m-%d %H:%M:%SZ")
