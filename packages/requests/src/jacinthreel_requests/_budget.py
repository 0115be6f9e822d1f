"""A token bucket that keeps retries to a share of the requests."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

MAX_TOKENS: Final = 10.0


@dataclass(slots=True)
class RetryBudget:
    """Each request deposits `ratio` tokens; each retry takes one.

    >>> budget = RetryBudget(tokens=0.0)
    >>> for _ in range(10): budget.deposit(0.1)
    >>> budget.take(), budget.take()
    (True, False)
    """

    tokens: float = MAX_TOKENS

    def deposit(self, ratio: float) -> None:
        """Counts a request."""
        self.tokens = min(MAX_TOKENS, self.tokens + ratio)

    def take(self) -> bool:
        """Takes a token for a retry, if there is one."""
        if self.tokens < 1.0 - 1e-9:
            return False
        self.tokens = max(0.0, self.tokens - 1.0)
        return True
