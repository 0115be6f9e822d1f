"""Tests `jacinthreel explain` with log lines of several processes."""

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
    "a line of another program",
    '{"time": "2026-01-01T00:00:03", "event": "room_claimed", "host": "front-b", '
    f'"job_id": "00000000000000bb", "stopped": ["{JOB}.0.1#1"]}}',
    '{"time": "2026-01-01T00:00:05", "event": "leases_expired", "host": "front-b", '
    f'"executor": "i-1", "runs": ["00000000000000bb.0.0#1", "{JOB}.0.2#1"]}}',
    '{"time": "2026-01-01T00:00:02", "event": "job_accepted", "host": "front-a", '
    '"job_id": "00000000000000cc"}',
    f'{{"time": "2026-01-01T00:00:00", "event": "call_refused", "path": "/q/{JOB}"}}',
]


def test_lines_of_all_processes_are_printed_in_order_of_time(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    monkeypatch.setattr("sys.stdin", io.StringIO("\n".join(LINES)))

    assert run(["explain", JOB]) is ExitStatus.DONE

    *lines, conclusion = _output(capsys)
    events = [line.split()[1 if "front" not in line else 2] for line in lines]
    assert events == ["call_refused", "job_accepted", "room_claimed", "leases_expired", "job_ended"]
    assert conclusion == "failed; core-seconds lost: none"


def test_refused_submission_and_its_retries_are_printed(
    capsys: pytest.CaptureFixture[str],
) -> None:
    assert run(["explain", "37e6ff218c7a59de", str(LOG)]) is ExitStatus.DONE

    *lines, conclusion = _output(capsys)
    assert len(lines) == 5
    assert all("job_not_accepted" in line and "code=5001" in line for line in lines)
    assert conclusion == "not accepted; last answer: 5001 the store does not answer"


def test_job_is_printed_from_its_first_refusal_to_its_end(
    capsys: pytest.CaptureFixture[str],
) -> None:
    assert run(["explain", "2c579b365e65fc9e", str(LOG)]) is ExitStatus.DONE

    events = [line.split()[2] for line in _output(capsys)]
    assert events[0] == "job_not_accepted"
    assert events.index("job_accepted") < events.index("job_ended")
    assert "tasks_placed" in events


def test_job_without_log_lines_ends_with_status_refused(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    monkeypatch.setattr("sys.stdin", io.StringIO("\n".join(LINES)))

    assert run(["explain", "00000000000000dd"]) is ExitStatus.REFUSED


def _output(capsys: pytest.CaptureFixture[str]) -> list[str]:
    return capsys.readouterr().out.splitlines()
