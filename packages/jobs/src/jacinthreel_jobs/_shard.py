"""The shard core: the one entry point that drivers, live and measured, call.

Under construction: see `ShardCore.handle`.
"""

from __future__ import annotations

import random

from jacinthreel_jobs._effects import Effect
from jacinthreel_jobs._events import Event
from jacinthreel_jobs._planning import Planner
from jacinthreel_jobs._tables import Tables


class ShardCore:
    """Decides for one shard; does no I/O and reads no clock."""

    def __init__(self, shard: str, planner: Planner, rng: random.Random) -> None:
        self.tables = Tables(shard)
        self._planner = planner
        self._rng = rng

    def handle(self, event: Event, now_ms: int) -> list[Effect]:
        """Applies an event and returns what is to be done, in order."""
        raise NotImplementedError
