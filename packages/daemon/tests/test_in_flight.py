"""When a router notifies its peers of its requests in flight and of its waiting requests."""

from __future__ import annotations

import pytest

from jacinthreel_common import InFlight
from jacinthreel_daemon._in_flight import REPEAT_PERIODS, InFlightPacer

NOTHING = InFlight({})
BUSY = InFlight({"x1": 2})
WAITING = InFlight({}, waiting=3)
BUSY_AND_WAITING = InFlight({"x1": 2}, waiting=3)

CASES = {
    "no notice without requests": ([NOTHING, NOTHING], [None, None]),
    "a change is sent once": ([BUSY, BUSY], [BUSY, None]),
    "waiting requests without requests in flight are sent": ([WAITING, WAITING], [WAITING, None]),
    "waiting requests with requests in flight are sent": (
        [BUSY, BUSY_AND_WAITING],
        [BUSY, BUSY_AND_WAITING],
    ),
    "the end of all requests is sent": ([WAITING, NOTHING, NOTHING], [WAITING, NOTHING, None]),
    "idle executors are left out": ([InFlight({"x1": 2, "x2": 0})], [BUSY]),
    "an unchanged notice is repeated periodically": (
        [WAITING] * (REPEAT_PERIODS + 1),
        [WAITING] + [None] * (REPEAT_PERIODS - 1) + [WAITING],
    ),
}


@pytest.mark.parametrize("name", CASES)
def test_pacer_sends_expected_notices(name: str) -> None:
    current, expected = CASES[name]
    pacer = InFlightPacer()
    assert [pacer.next_notice(notice) for notice in current] == expected
