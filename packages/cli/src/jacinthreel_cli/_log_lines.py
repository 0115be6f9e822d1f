"""Reads the log lines of any number of processes.

A line may have a prefix before its JSON object, such as a host name and a time; lines without a
JSON object are skipped.
"""

from __future__ import annotations

import json
import sys
from collections.abc import Iterable
from dataclasses import dataclass
from datetime import datetime
from pathlib import Path
from typing import Any

COMMON_KEYS = frozenset({"time", "level", "event", "host", "role", "job_id"})


@dataclass(frozen=True, slots=True)
class LogLine:
    """A log line; `fields` are its job id and the fields that are specific to its event."""

    time: str
    host: str
    event: str
    fields: dict[str, Any]

    @property
    def job_id(self) -> str:
        """The job that the line is about, "" for none."""
        return str(self.fields.get("job_id", ""))

    @property
    def time_s(self) -> float:
        """The time in seconds since 1970; 0 if it can't be read."""
        try:
            return datetime.fromisoformat(self.time).timestamp()
        except ValueError:
            return 0.0

    def number(self, key: str) -> float:
        """Returns a numeric field, 0 if it is absent or not a number."""
        value = self.fields.get(key)
        return float(value) if isinstance(value, (int, float)) else 0.0

    def text(self, key: str) -> str:
        """Returns a field as text, "" if it is absent."""
        return str(self.fields.get(key, ""))

    def format(self) -> str:
        """Returns the line as text for the terminal."""
        fields = " ".join(f"{key}={_format_value(value)}" for key, value in self.fields.items())
        return f"{self.time}  {self.host:<22} {self.event:<20} {fields}".rstrip()


def read_lines(files: list[Path] | None) -> list[LogLine]:
    """Returns the log lines of files, or of standard input without files, in order of time."""
    if not files:
        return parse_lines(sys.stdin)
    texts = [path.read_text(errors="replace").splitlines() for path in files]
    return parse_lines(line for text in texts for line in text)


def parse_lines(texts: Iterable[str]) -> list[LogLine]:
    """Returns the log lines among lines of text, in order of time.

    >>> line = 'h1 {"time": "2026-01-01T00:00:01", "event": "job_ended", "job_id": "a"}'
    >>> [found.event for found in parse_lines([line, "noise", "{broken"])]
    ['job_ended']
    """
    lines: list[LogLine] = []
    for text in texts:
        line = _parse_line(text)
        if line is not None:
            lines.append(line)
    return sorted(lines, key=lambda line: line.time)


def _parse_line(text: str) -> LogLine | None:
    start = text.find("{")
    if start < 0:
        return None
    try:
        data = json.loads(text[start:])
    except (ValueError, RecursionError):
        return None
    if not isinstance(data, dict) or "event" not in data:
        return None
    fields = {key: value for key, value in data.items() if key not in COMMON_KEYS}
    fields["job_id"] = data.get("job_id", "")
    return LogLine(str(data.get("time", "")), str(data.get("host", "")), str(data["event"]), fields)


def _format_value(value: object) -> str:
    if isinstance(value, list):
        return f"[{len(value)}] {','.join(str(item) for item in value[:3])}"
    return str(value)
