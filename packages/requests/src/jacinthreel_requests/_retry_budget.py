"""A token bucket that limits retries to a ratio of the requests."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

MAX_TOKENS: Final = 10.0


@dataclass(slots=True)
class RetryBudget:
    """Each request deposits `ratio` tokens; each retry withdraws one.

    >>> budget = RetryBudget(tokens=0.0)
    >>> for _ in range(10): budget.deposit(0.1)
    >>> budget.try_withdraw(), budget.try_withdraw()
    (True, False)
    """

    tokens: float = MAX_TOKENS

    def deposit(self, ratio: float) -> None:
        """Adds the tokens for one request."""
        self.tokens = min(MAX_TOKENS, self.tokens + ratio)

    def try_withdraw(self) -> bool:
        """Withdraws one token for a retry; returns False if the bucket holds less than one."""
        if self.tokens < 1.0 - 1e-9:  # Tolerates rounding errors of the deposits.
            return False
        self.tokens = max(0.0, self.tokens - 1.0)
        return True
