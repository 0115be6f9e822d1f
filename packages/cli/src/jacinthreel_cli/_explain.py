"""Implements `jacinthreel explain`: prints the log lines of one job in order of time.

Reads log lines of any number of processes from files or standard input.  A line may have a prefix
before its JSON object, such as a host name and a time; lines without a JSON object are skipped.
"""

from __future__ import annotations

import json
import sys
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from jacinthreel_cli._exit import CommandError, ExitStatus
from jacinthreel_common import Fault, ResultCode

COMMON_KEYS = frozenset({"time", "level", "event", "host", "role", "job_id"})


@dataclass(frozen=True, slots=True)
class LogLine:
    """A log line; `fields` are its job id and the fields that are specific to its event."""

    time: str
    host: str
    event: str
    fields: dict[str, Any]

    def format(self) -> str:
        """Returns the line as text for the terminal."""
        fields = " ".join(f"{key}={_format_value(value)}" for key, value in self.fields.items())
        return f"{self.time}  {self.host:<22} {self.event:<20} {fields}".rstrip()


def explain(job_id: str, files: list[Path] | None = None) -> None:
    """Prints the log lines that concern a job, in order of time.

    Parameters
    ----------
    job_id
        The job id that the caller chose.
    files
        Log files of any number of processes.  Default: standard input.
    """
    texts = [path.read_text(errors="replace").splitlines() for path in files or []]
    lines = [line for text in texts for line in text] if files else sys.stdin
    job_lines = find_lines(job_id, lines)
    if not job_lines:
        fault = Fault(ResultCode.JOB_NOT_FOUND, f"no log line mentions job {job_id}")
        raise CommandError(ExitStatus.REFUSED, fault)
    for line in job_lines:
        print(line.format())


def find_lines(job_id: str, lines: Iterable[str]) -> list[LogLine]:
    """Returns the lines that concern a job, in order of time.

    >>> line = 'h1 {"time": "2026-01-01T00:00:01", "event": "job_ended", "job_id": "a"}'
    >>> [found.event for found in find_lines("a", [line, "noise", "{broken"])]
    ['job_ended']
    """
    job_lines: list[LogLine] = []
    for text in lines:
        line = _parse_line(text)
        if line is not None and _concerns_job(line, job_id):
            job_lines.append(line)
    return sorted(job_lines, key=lambda line: line.time)


def _parse_line(text: str) -> LogLine | None:
    start = text.find("{")
    if start < 0:
        return None
    try:
        data = json.loads(text[start:])
    except ValueError:
        return None
    if not isinstance(data, dict) or "event" not in data:
        return None
    fields = {key: value for key, value in data.items() if key not in COMMON_KEYS}
    fields["job_id"] = data.get("job_id", "")
    return LogLine(str(data.get("time", "")), str(data.get("host", "")), str(data["event"]), fields)


def _concerns_job(line: LogLine, job_id: str) -> bool:
    """Whether the line has the job id, a path that ends with it, or stopped runs of the job."""
    if line.fields.get("job_id") == job_id:
        return True
    if str(line.fields.get("path", "")).endswith(job_id):
        return True
    stopped = line.fields.get("stopped")
    return isinstance(stopped, list) and any(str(run).startswith(f"{job_id}.") for run in stopped)


def _format_value(value: object) -> str:
    if isinstance(value, list):
        return f"[{len(value)}] {','.join(str(item) for item in value[:3])}"
    return str(value)
