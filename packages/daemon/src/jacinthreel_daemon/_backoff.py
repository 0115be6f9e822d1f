"""Exponential backoff with full jitter."""

from __future__ import annotations

import random


class Backoff:
    """Delays that double from `base_ms` to `cap_ms`; each is drawn from its upper half.

    >>> backoff = Backoff(random.Random(1), base_ms=100, cap_ms=300)
    >>> all(low <= backoff.next_ms() <= 2 * low for low in (50, 100, 150, 150))
    True
    """

    def __init__(self, rng: random.Random, base_ms: int, cap_ms: int) -> None:
        self._rng = rng
        self._base_ms = base_ms
        self._cap_ms = cap_ms
        self._delay_ms = base_ms

    def next_ms(self) -> int:
        """The delay before the next attempt."""
        delay_ms = self._delay_ms
        self._delay_ms = min(self._cap_ms, delay_ms * 2)
        return self._rng.randint(delay_ms // 2, delay_ms)

    def reset(self) -> None:
        """Starts again from the base after a success."""
        self._delay_ms = self._base_ms
