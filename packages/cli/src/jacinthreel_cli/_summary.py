"""Implements `jacinthreel summary`: where the jobs, the time and the work of a day were lost.

Counts from the logs of all nodes: completion times, late jobs by the stage that cost most, work
lost by cause, callers that were not served by their last answer, fragmented capacity, and the work
done while an availability zone was out of service.
"""

from __future__ import annotations

import statistics
from collections.abc import Iterable, Sequence
from pathlib import Path

from jacinthreel_cli._exit import CommandError, ExitStatus
from jacinthreel_cli._job_history import JobHistory, read_histories
from jacinthreel_cli._log_lines import LogLine, read_lines
from jacinthreel_common import Fault, ResultCode

ZONE_RETURN_S = 5.0  # After a zone's return, work there takes this long to resume.


def summary(files: list[Path] | None = None) -> None:
    """Prints where the jobs, the time and the work of a day were lost.

    Parameters
    ----------
    files
        Log files of all nodes.  Default: standard input.
    """
    lines = read_lines(files)
    if not lines:
        fault = Fault(ResultCode.NO_SUCH_RESOURCE, "there are no log lines")
        raise CommandError(ExitStatus.REFUSED, fault)
    print(render_summary(lines))


def render_summary(lines: list[LogLine]) -> str:
    """Returns the tables of a day as text; `lines` are in order of time."""
    histories = list(read_histories(lines).values())
    tables = [
        _completion_table(histories),
        _late_table(histories),
        _lost_work_table(histories),
        _refusal_table(histories),
        _capacity_table(lines),
        _zone_table(lines),
    ]
    return "\n\n".join(tables)


def _completion_table(histories: list[JobHistory]) -> str:
    rows: list[list[str]] = []
    for queue, members in sorted(_by_queue(histories).items()):
        done = [job.completion_s for job in members if job.state == "completed" and job.stored_s]
        if not done:
            continue
        rows.append(
            [
                queue,
                str(len(done)),
                f"{statistics.median(done):.1f}",
                f"{_quantile(done, 0.95):.1f}",
                str(sum(job.is_late for job in members)),
                str(sum(job.state == "failed" for job in members)),
            ]
        )
    header = ["queue", "completed", "half within s", "95 of 100 s", "late", "failed"]
    return _table("Completion time", header, rows)


def _late_table(histories: list[JobHistory]) -> str:
    late_by_stage: dict[str, list[JobHistory]] = {}
    for job in histories:
        if job.is_late:
            late_by_stage.setdefault(job.longest_stage().value, []).append(job)
    rows: list[list[str]] = []
    for stage, jobs in _most_first(late_by_stage):
        late_s = statistics.median(job.completion_s - job.objective_s for job in jobs)
        rows.append([stage, str(len(jobs)), f"{late_s:.1f}", jobs[0].job_id])
    header = ["longest stage", "jobs", "half late by s", "for example"]
    return _table("Late jobs", header, rows)


def _lost_work_table(histories: list[JobHistory]) -> str:
    lost_by_cause: dict[str, list[float]] = {}
    for job in histories:
        for cause, core_s in job.lost_by_cause.items():
            lost_by_cause.setdefault(cause, []).append(core_s)
    rows = [
        [cause, str(len(amounts)), f"{sum(amounts):.0f}"]
        for cause, amounts in sorted(lost_by_cause.items(), key=lambda item: -sum(item[1]))
    ]
    return _table("Work lost", ["cause", "jobs", "core-seconds"], rows)


def _refusal_table(histories: list[JobHistory]) -> str:
    refused: dict[str, list[JobHistory]] = {}
    for job in histories:
        if job.refusal and not job.accepted_s:
            refused.setdefault(job.refusal, []).append(job)
    rows = [[answer, str(len(jobs)), jobs[0].job_id] for answer, jobs in _most_first(refused)]
    header = ["last answer", "callers", "for example"]
    return _table("Callers that were never accepted", header, rows)


def _capacity_table(lines: list[LogLine]) -> str:
    samples = [line for line in lines if line.event == "capacity_sampled"]
    if not samples:
        return _table("Accelerators", ["samples"], [])
    totals = [line.number("accelerators") for line in samples]
    fragmented = [line.number("fragmented") for line in samples]
    row = [
        str(len(samples)),
        f"{statistics.fmean(totals):.0f}",
        f"{statistics.fmean(line.number('free') for line in samples):.1f}",
        f"{statistics.fmean(fragmented):.1f}",
        f"{max(fragmented):.0f}",
    ]
    header = ["samples", "in service", "free", "fragmented", "fragmented at most"]
    return _table("Accelerators, mean of the samples", header, [row])


def _zone_table(lines: list[LogLine]) -> str:
    """Compares the work that ended per second while a zone was out with that at other times."""
    spans = _zone_spans(lines)
    ends = [line for line in lines if line.event == "run_ended" and line.text("reason") == "done"]
    if not spans or not ends:
        return _table("Work while a zone is out", ["zone"], [])
    day_s = ends[-1].time_s - ends[0].time_s
    out_s = sum(end_s - start_s for start_s, end_s in spans)
    done_out = sum(
        line.number("work_core_s")
        for line in ends
        if any(start_s <= line.time_s < end_s for start_s, end_s in spans)
    )
    done_else = sum(line.number("work_core_s") for line in ends) - done_out
    else_s = max(0.001, day_s - out_s)
    row = [f"{out_s:.1f}", f"{done_out / out_s:.0f}", f"{done_else / else_s:.0f}"]
    header = ["seconds out", "core-seconds done a second", "at other times"]
    return _table("Work while a zone is out and returns", header, [row])


def _zone_spans(lines: list[LogLine]) -> list[tuple[float, float]]:
    """Returns when zones were out of service, until `ZONE_RETURN_S` after their return."""
    out_since: dict[str, float] = {}
    spans: list[tuple[float, float]] = []
    for line in lines:
        if line.event != "zone_changed":
            continue
        zone = line.text("zone")
        if line.fields.get("out"):
            out_since.setdefault(zone, line.time_s)
        elif zone in out_since:
            spans.append((out_since.pop(zone), line.time_s + ZONE_RETURN_S))
    spans.extend((start_s, lines[-1].time_s) for start_s in out_since.values())
    return [(start_s, end_s) for start_s, end_s in spans if end_s > start_s]


def _by_queue(histories: Iterable[JobHistory]) -> dict[str, list[JobHistory]]:
    by_queue: dict[str, list[JobHistory]] = {}
    for job in histories:
        by_queue.setdefault(job.queue, []).append(job)
    return by_queue


def _most_first(jobs_by_name: dict[str, list[JobHistory]]) -> list[tuple[str, list[JobHistory]]]:
    return sorted(jobs_by_name.items(), key=lambda item: -len(item[1]))


def _quantile(values: Sequence[float], share: float) -> float:
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def _table(title: str, header: list[str], rows: list[list[str]]) -> str:
    """Formats a table.

    >>> print(_table("Work lost", ["cause", "jobs"], [["failed", "2"]]))
    Work lost
    cause   jobs
    failed     2
    >>> print(_table("Work lost", ["cause", "jobs"], []))
    Work lost
    none
    """
    if not rows:
        return f"{title}\nnone"
    table = [header, *rows]
    widths = [max(len(row[column]) for row in table) for column in range(len(header))]
    lines = [title]
    for row in table:
        cells = [row[0].ljust(widths[0])]
        cells += [cell.rjust(width) for cell, width in zip(row[1:], widths[1:], strict=True)]
        lines.append("  ".join(cells).rstrip())
    return "\n".join(lines)
