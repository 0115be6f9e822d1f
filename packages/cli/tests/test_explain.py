"""`jacinthreel explain` over recorded log lines of several processes."""

from __future__ import annotations

import io
from pathlib import Path

import pytest

from jacinthreel_cli.__main__ import run
from jacinthreel_cli._exit import ExitStatus

LOG = Path(__file__).parent / "logs" / "recorded.log"
JOB = "00000000000000aa"

LINES = [
    '7.2 front-b {"time": "2026-01-01T00:00:07", "event": "job_ended", "host": "front-b", '
    f'"job_id": "{JOB}", "state": "failed"}}',
    f'front-a {{"time": "2026-01-01T00:00:01", "event": "job_accepted", "host": "front-a", '
    f'"job_id": "{JOB}"}}',
    "a line that is not of ours",
    '{"time": "2026-01-01T00:00:03", "event": "room_claimed", "host": "front-b", '
    f'"job_id": "00000000000000bb", "stopped": ["{JOB}.0.1#1"]}}',
    '{"time": "2026-01-01T00:00:02", "event": "job_accepted", "host": "front-a", '
    '"job_id": "00000000000000cc"}',
    f'{{"time": "2026-01-01T00:00:00", "event": "call_refused", "path": "/q/{JOB}"}}',
]


def test_lines_of_all_processes_come_in_order_of_time(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    monkeypatch.setattr("sys.stdin", io.StringIO("\n".join(LINES)))

    assert run(["explain", JOB]) is ExitStatus.DONE

    events = [line.split()[1 if "front" not in line else 2] for line in _output(capsys)]
    assert events == ["call_refused", "job_accepted", "room_claimed", "job_ended"]


def test_unknown_job_is_said_to_be_unknown(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    monkeypatch.setattr("sys.stdin", io.StringIO("\n".join(LINES)))

    assert run(["explain", "00000000000000dd"]) is ExitStatus.REFUSED


def _output(capsys: pytest.CaptureFixture[str]) -> list[str]:
    return capsys.readouterr().out.splitlines()
