"""The owner's log tells of passes that take long, are far apart or end early."""

from __future__ import annotations

from typing import Any

from jacinthreel_node._pass_times import PassTimes


def test_each_period_is_logged_once_with_its_longest_pass_and_gap() -> None:
    lines: list[tuple[str, dict[str, Any]]] = []
    times = PassTimes(lambda event, fields: lines.append((event, fields)), 0)
    times.record(100, 10, False)
    times.record(1_300, 70, True)

    times.record(1_990, 10, False)
    times.record(2_010, 5, False)

    assert lines == [
        (
            "passes_sampled",
            {
                "period_ms": 2_000,
                "passes": 3,
                "total_ms": 90,
                "longest_ms": 70,
                "longest_gap_ms": 1_190,
                "cut_short": 1,
            },
        )
    ]
