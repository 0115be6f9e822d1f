"""Compares what the owner believes to be in use with what the executors run.

The owner's belief is read from its log (`use_sampled`).  A difference is expected while starts and
ends are on their way; it is a violation if it lasts for `DIFFERENCE_MS` in the same direction.
Samples up to `CALM_MS` after a disruption are not compared.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any, Final

DIFFERENCE_MS: Final = 3_000
CALM_MS: Final = 4_000
EVENT: Final = "use_sampled"
NAMES: Final = {"accelerators": "gpu", "cpu_milli": "cpu", "memory_mb": "mem_mb"}
"""The amounts by the owner's name, with the executors' name."""
HELD: Final = ("at_work", "untracked", "leaving")
"""The parts of a service that runs hold; claims are no runs."""


@dataclass(slots=True)
class Difference:
    """What the owner believed beyond what the executors ran, the least of it since `since_ms`."""

    name: str
    amount: int
    since_ms: int


class BeliefCheck:
    """Takes each sample of the owner with the executors' use at that time."""

    def __init__(self) -> None:
        self.violations: list[str] = []
        self.compared_samples = 0
        self._difference_by_name: dict[str, Difference] = {}
        self._disrupted_ms: int | None = None

    def note_disruption(self, now_ms: int) -> None:
        """Records a disruption; one that lasts is to be recorded with each observation."""
        self._disrupted_ms = now_ms

    def observe(self, now_ms: int, sample: Mapping[str, Any], used: Mapping[str, int]) -> None:
        """Compares a sample with the sums of the executors' runs."""
        if self._disrupted_ms is not None and now_ms - self._disrupted_ms < CALM_MS:
            self._difference_by_name.clear()
            return
        self.compared_samples += 1
        for name, executors_name in NAMES.items():
            amount = believed(sample, name) - used.get(executors_name, 0)
            difference = self._difference_by_name.get(name)
            if difference is None or amount * difference.amount <= 0:
                self._difference_by_name[name] = Difference(name, amount, now_ms)
                continue
            difference.amount = min(amount, difference.amount, key=abs)
            if now_ms - difference.since_ms >= DIFFERENCE_MS:
                self.violations.append(
                    f"the owner believes {difference.amount} more {name} to be in use than are,"
                    f" for {now_ms - difference.since_ms} ms until {now_ms}"
                )


def believed(sample: Mapping[str, Any], name: str) -> int:
    """Returns how much the owner believes that runs hold, in all services."""
    return sum(service[part][name] for service in sample["services"].values() for part in HELD)
