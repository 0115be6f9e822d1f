"""Logs how many scheduling passes the owner made, how long they took and how many ended early."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import asdict, dataclass
from typing import Any, Final

PERIOD_MS: Final = 2_000


@dataclass(slots=True)
class _Sums:
    """What is logged of a period; `longest_gap_ms` is the longest time between two passes."""

    passes: int = 0
    total_ms: int = 0
    longest_ms: int = 0
    longest_gap_ms: int = 0
    cut_short: int = 0


class PassTimes:
    """Sums up the passes of each `PERIOD_MS`."""

    def __init__(self, log: Callable[[str, dict[str, Any]], None], now_ms: int) -> None:
        self._log = log
        self._logged_ms = now_ms
        self._ended_ms = now_ms
        self._sums = _Sums()

    def record(self, started_ms: int, took_ms: int, is_cut_short: bool) -> None:
        """Counts a pass, and logs the sums if they are due."""
        sums = self._sums
        sums.passes += 1
        sums.total_ms += took_ms
        sums.longest_ms = max(sums.longest_ms, took_ms)
        sums.longest_gap_ms = max(sums.longest_gap_ms, started_ms - self._ended_ms)
        sums.cut_short += 1 if is_cut_short else 0
        self._ended_ms = started_ms + took_ms
        period_ms = self._ended_ms - self._logged_ms
        if period_ms < PERIOD_MS:
            return
        self._log("passes_sampled", {"period_ms": period_ms, **asdict(sums)})
        self._logged_ms = self._ended_ms
        self._sums = _Sums()
