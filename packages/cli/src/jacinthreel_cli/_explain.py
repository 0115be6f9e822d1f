"""Explaining a job from log lines: `jacinthreel explain`.

Lines of all processes are read from files or standard input, those of one job are picked out and
printed in order of time.  A line may have anything in front of its JSON object, such as the name of
the host and a time; lines that hold no object are counted and passed over.
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

FIXED_KEYS = frozenset({"time", "level", "event", "host", "role", "job_id"})


@dataclass(frozen=True, slots=True)
class LogLine:
    """A line of the log; `fields` are those of its event."""

    time: str
    host: str
    event: str
    fields: dict[str, Any]

    def draw(self) -> str:
        """The line as a person reads it."""
        fields = " ".join(f"{key}={_draw(value)}" for key, value in self.fields.items())
        return f"{self.time}  {self.host:<22} {self.event:<20} {fields}".rstrip()


def explain(job_id: str, files: list[Path] | None = None) -> None:
    """Shows all that the logs say of a job, in order of time.

    Parameters
    ----------
    job_id
        The job's id, as the caller chose it.
    files
        Files with log lines of any number of processes; standard input where there are none.
    """
    texts = [path.read_text(errors="replace").splitlines() for path in files or []]
    lines = [line for text in texts for line in text] if files else sys.stdin
    found = find_lines(job_id, lines)
    if not found:
        fault = Fault(ResultCode.JOB_NOT_FOUND, f"no log line mentions job {job_id}")
        raise CommandError(ExitStatus.REFUSED, fault)
    for line in found:
        print(line.draw())


def find_lines(job_id: str, lines: Iterable[str]) -> list[LogLine]:
    """The lines of a job in order of time.

    >>> line = 'h1 {"time": "2026-01-01T00:00:01", "event": "job_ended", "job_id": "a"}'
    >>> [found.event for found in find_lines("a", [line, "noise", "{broken"])]
    ['job_ended']
    """
    found: list[LogLine] = []
    for text in lines:
        line = _parse(text)
        if line is not None and _mentions(line, job_id):
            found.append(line)
    return sorted(found, key=lambda line: line.time)


def _parse(text: str) -> LogLine | None:
    start = text.find("{")
    if start < 0:
        return None
    try:
        data = json.loads(text[start:])
    except ValueError:
        return None
    if not isinstance(data, dict) or "event" not in data:
        return None
    fields = {key: value for key, value in data.items() if key not in FIXED_KEYS}
    fields["job_id"] = data.get("job_id", "")
    return LogLine(str(data.get("time", "")), str(data.get("host", "")), str(data["event"]), fields)


def _mentions(line: LogLine, job_id: str) -> bool:
    """Whether the line is the job's own, or about a call or a claim that names it."""
    if line.fields.get("job_id") == job_id:
        return True
    if str(line.fields.get("path", "")).endswith(job_id):
        return True
    stopped = line.fields.get("stopped")
    return isinstance(stopped, list) and any(str(run).startswith(f"{job_id}.") for run in stopped)


def _draw(value: object) -> str:
    if isinstance(value, list):
        return f"[{len(value)}] {','.join(str(item) for item in value[:3])}"
    return str(value)
