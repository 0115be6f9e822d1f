"""Tests `jacinthreel summary`: where a day's jobs, time and work were lost."""

from __future__ import annotations

import json
from typing import Any

from jacinthreel_cli._explain import describe
from jacinthreel_cli._job_history import Stage, read_histories
from jacinthreel_cli._log_lines import LogLine, parse_lines
from jacinthreel_cli._summary import render_summary


def line(second: float, event: str, job_id: str = "", **fields: Any) -> str:
    time = f"2026-01-01T00:00:{second:06.3f}+00:00"
    return json.dumps({"time": time, "event": event, "host": "h", "job_id": job_id, **fields})


def late_job(job_id: str, placed: float, stored: float, *extra: str) -> list[str]:
    """Returns the lines of a job accepted at 1 s, with an objective of 4 s and a chain of 2 s."""
    return [
        line(1.0, "job_accepted", job_id, queue="quotes", took_ms=0),
        line(placed, "tasks_placed", job_id),
        line(placed, "job_begun", job_id),
        *extra,
        line(stored, "job_ended", job_id, state="completed", objective_ms=4_000, chain_ms=2_000),
        line(stored, "job_end_stored", job_id, age_ms=int((stored - 1) * 1000)),
    ]


def lost_run(job_id: str, second: float, **fields: Any) -> str:
    run = {"run": f"{job_id}.0.0#1", "ran_ms": 3_000, "work_core_s": 30.0, "lost_core_s": 30.0}
    return line(second, "run_ended", job_id, reason="stopped", **run, **fields)


def section(lines: list[LogLine], title: str) -> list[str]:
    blocks = render_summary(lines).split("\n\n")
    return next(block for block in blocks if block.startswith(title)).splitlines()[1:]


def test_late_jobs_are_counted_by_the_stage_that_cost_most() -> None:
    preempted = lost_run("a2", 6.0, stop_cause="preempted", stopped_by="a9")
    texts = (
        late_job("a1", 5.0, 7.5) + late_job("a2", 3.0, 9.0, preempted) + late_job("a3", 1.0, 4.0)
    )
    lines = parse_lines(texts)

    assert [row.split("  ")[0] for row in section(lines, "Late jobs")[1:]] == [
        Stage.WAITING,
        Stage.RERUN,
    ]
    assert section(lines, "Work lost")[1].split() == ["preempted", "1", "30"]
    assert section(lines, "Completion time")[1].split() == ["quotes", "3", "6.5", "8.0", "2", "0"]
    history = read_histories(lines)["a2"]
    assert describe(history).startswith(
        "late by 4.0 s: waiting for capacity 2.0 s, work done again"
    )


def test_late_job_that_others_passed_is_explained_with_their_number_and_the_last_hold() -> None:
    waits = [
        line(6.0, "job_waits", "a1", passed_by=4, held_by="no room"),
        line(9.0, "job_wait_ended", "a1", passed_by=7),
    ]

    history = read_histories(parse_lines(late_job("a1", 9.0, 11.0, *waits)))["a1"]

    assert describe(history).endswith("; passed by 7 later jobs, held by no room")


def test_the_end_of_a_gang_member_is_the_cause_for_the_others() -> None:
    member = {"stop_cause": "gang member ended", "stopped_by": "a1.0.1#1 lapsed"}
    lines = parse_lines([lost_run("a1", 2.0, **member)])
    assert section(lines, "Work lost")[1].split() == ["gang", "member", "lapsed", "1", "30"]


def test_callers_that_were_never_accepted_are_counted_by_their_last_answer() -> None:
    texts = [
        line(1.0, "job_not_accepted", "b1", code=5001, reason="the store does not answer"),
        line(2.0, "job_not_accepted", "b1", code=3012, reason="overloaded"),
        line(1.0, "job_not_accepted", "b2", code=5001, reason="the store does not answer"),
        line(3.0, "job_accepted", "b2"),
    ]
    rows = section(parse_lines(texts), "Callers that were never accepted")
    assert [row.split() for row in rows[1:]] == [["3012", "overloaded", "1", "b1"]]


def test_work_while_a_zone_is_out_is_compared_with_the_rest_of_the_day() -> None:
    ends = [
        line(second, "run_ended", "c1", reason="done", work_core_s=10.0) for second in range(41)
    ]
    out = line(10.0, "zone_changed", zone="z1", out=True)
    back = line(15.0, "zone_changed", zone="z1", out=False)
    (row,) = section(parse_lines([*ends, out, back]), "Work while a zone is out")[1:]
    assert row.split() == ["10.0", "10", "10"]


def test_fragmented_accelerators_are_averaged_over_the_samples() -> None:
    texts = [
        line(1.0, "capacity_sampled", accelerators=16, free=4, fragmented=4, waiting_gangs=1),
        line(3.0, "capacity_sampled", accelerators=16, free=8, fragmented=0, waiting_gangs=0),
    ]
    assert section(parse_lines(texts), "Accelerators")[1].split() == ["2", "16", "6.0", "2.0", "4"]


def test_a_job_that_was_loaded_after_a_takeover_has_the_time_of_its_acceptance() -> None:
    end = line(9.0, "job_ended", "d1", state="completed", objective_ms=4_000, chain_ms=2_000)
    stored = line(9.0, "job_end_stored", "d1", age_ms=3_000)
    history = read_histories(parse_lines([end, stored]))["d1"]
    assert round(history.completion_s, 3) == 3.0
    assert not history.is_late
