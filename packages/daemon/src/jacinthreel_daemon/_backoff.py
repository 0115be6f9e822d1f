"""Exponential backoff with jitter."""

from __future__ import annotations

import random


class Backoff:
    """Retry delays whose upper bound doubles from `base_ms` to `cap_ms`.

    Each delay is drawn uniformly from the upper half of its range (equal jitter).

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
        """Returns the delay before the next attempt and doubles the bound for the one after it."""
        delay_ms = self._delay_ms
        self._delay_ms = min(self._cap_ms, delay_ms * 2)
        return self._rng.randint(delay_ms // 2, delay_ms)

    def reset(self) -> None:
        """Resets the bound to `base_ms`; called after a success."""
        self._delay_ms = self._base_ms
