"""Reports steps of the event loop that take long, and paces the work that takes longest.

Between two steps the process renews its lease, answers callers and reads replies, so no step may
take more than a small part of the lease, however large a job is.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any, Final

from jacinthreel_daemon.plumbing import Clock

SLOW_STEP_MS: Final = 100
PACED_STEP_MS: Final = 3  # Shorter steps need no pause after them.
PAUSE_FACTOR: Final = 4  # So that one kind of step takes at most a fifth of the time.
MAX_PAUSE_MS: Final = 300  # Reports stay recent enough for new tasks.

StepLog = Callable[[str, dict[str, Any]], None]


class StepTiming:
    """The time that a measured step took; 0 before it has ended."""

    def __init__(self) -> None:
        self.took_ms = 0

    @property
    def pause_s(self) -> float:
        """How long to leave the time to other work after the step, in seconds."""
        if self.took_ms < PACED_STEP_MS:
            return 0.0
        return min(MAX_PAUSE_MS, self.took_ms * PAUSE_FACTOR) / 1000


@contextmanager
def measure_step(clock: Clock, log: StepLog, step: str, **fields: Any) -> Iterator[StepTiming]:
    """Measures a step without suspension points, and logs `slow_step` if it took long."""
    timing = StepTiming()
    started_ms = clock.now_ms()
    try:
        yield timing
    finally:
        timing.took_ms = clock.now_ms() - started_ms
        if timing.took_ms >= SLOW_STEP_MS:
            log("slow_step", {"step": step, "took_ms": timing.took_ms, **fields})
