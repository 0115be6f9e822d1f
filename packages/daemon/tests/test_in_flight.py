"""When routers tell each other what they have in flight and waiting."""

from __future__ import annotations

import pytest

from jacinthreel_common import InFlight
from jacinthreel_daemon._in_flight import REPEAT_PERIODS, InFlightPacer

NOTHING = InFlight({})
BUSY = InFlight({"x1": 2})
WAITING = InFlight({}, waiting=3)
BUSY_AND_WAITING = InFlight({"x1": 2}, waiting=3)

CASES = {
    "nothing to tell is not told": ([NOTHING, NOTHING], [None, None]),
    "a change is told once": ([BUSY, BUSY], [BUSY, None]),
    "only waiting requests are told": ([WAITING, WAITING], [WAITING, None]),
    "waiting requests beside others are told": ([BUSY, BUSY_AND_WAITING], [BUSY, BUSY_AND_WAITING]),
    "the end is told": ([WAITING, NOTHING, NOTHING], [WAITING, NOTHING, None]),
    "idle executors are left out": ([InFlight({"x1": 2, "x2": 0})], [BUSY]),
    "what stays is repeated": (
        [WAITING] * (REPEAT_PERIODS + 1),
        [WAITING] + [None] * (REPEAT_PERIODS - 1) + [WAITING],
    ),
}


@pytest.mark.parametrize("name", CASES)
def test_notices(name: str) -> None:
    current, expected = CASES[name]
    pacer = InFlightPacer()
    assert [pacer.next_notice(notice) for notice in current] == expected
