"""Rules that decide when a candidate node takes over the ownership of the jobs.

Only a takeover changes the owner row.  Progress writes are conditional on that row, and executors
reject orders of an older epoch (fencing), so a takeover is safe at any time.  The rules below only
keep takeovers rare.  A candidate takes over in any of these cases:

- There is no owner.
- The owner row names an earlier process of the candidate's own host.
- The owner has resigned.
- The owner's heartbeats have timed out or its stream is closed, and its lease row has not changed
  for `LEASE_TIMEOUT_MS` on the candidate's clock.
- The owner is reachable, but according to its heartbeats the last lease renewal is older than
  `RENEWAL_OVERDUE_MS`, and the lease row has not changed for `CONNECTED_LEASE_TIMEOUT_MS`.

Heartbeats carry the number and the age of the last lease renewal.  A lease row that still holds
this renewal counts as unchanged since the renewal.  After a read slower than `MAX_FRESH_READ_MS`,
such a row counts as unchanged only since that read, because renewals may have been delayed as well.
A failed read restarts the measurement, so that a store outage does not cause a takeover.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

LEASE_RENEWAL_PERIOD_MS: Final = 500
LEASE_TIMEOUT_MS: Final = 1_300
CONNECTED_LEASE_TIMEOUT_MS: Final = 700
HEARTBEAT_PERIOD_MS: Final = 250
HEARTBEAT_TIMEOUT_MS: Final = 600
RENEWAL_OVERDUE_MS: Final = 800
MAX_FRESH_READ_MS: Final = 300  # A slower read may have been held up by a store outage.
MAX_TAKEOVER_DELAY_MS: Final = 120
SMALL_HOST_EXTRA_DELAY_MS: Final = 900
SMALL_HOST_CORES: Final = 1.0
SMALL_HOST_LINK_MBPS: Final = 100.0


@dataclass(slots=True)
class LeaseWatch:
    """Measures how long the lease row has been unchanged, across consecutive successful reads.

    A renewal time reported by a heartbeat is clamped to `renewals_trusted_from_ms` or later.
    """

    version: int | None = None
    unchanged_since_ms: int = 0
    renewals_trusted_from_ms: int = 0

    def record_read(self, version: int, now_ms: int, renewed_ms: int | None = None) -> int:
        """Records the row version that was read; returns how long it has been unchanged.

        `renewed_ms` is the time at which this version was written, or None if unknown.
        """
        if version != self.version:
            self.version = version
            self.unchanged_since_ms = now_ms
        if renewed_ms is not None:
            self.unchanged_since_ms = min(
                self.unchanged_since_ms, max(renewed_ms, self.renewals_trusted_from_ms)
            )
        return now_ms - self.unchanged_since_ms

    def reset(self) -> None:
        """Discards the recorded version, because the owner is healthy or has changed."""
        self.version = None

    def distrust_earlier_renewals(self, now_ms: int) -> None:
        """Ignores renewal times before `now_ms`: a slow store may have delayed renewals as well."""
        self.renewals_trusted_from_ms = now_ms

    def restart(self, now_ms: int) -> None:
        """Restarts the measurement after a failed read of the lease row."""
        self.version = None
        self.renewals_trusted_from_ms = now_ms


def takeover_delay_ms(random_fraction: float, cores: float, link_mbps: float) -> int:
    """Returns the delay before a takeover attempt, which keeps candidates from colliding.

    Larger hosts have a shorter delay.  A new owner reads all jobs, so hosts with few cores or a
    slow link wait longer and let other candidates go first.  `random_fraction` is uniform between
    0 and 1.

    >>> delay_ms = takeover_delay_ms
    >>> delay_ms(0.0, 2.0, 1000) < delay_ms(0.0, 1.0, 1000) < delay_ms(0.0, 1.0, 10)
    True
    """
    pause_ms = int(MAX_TAKEOVER_DELAY_MS * (0.5 * random_fraction + 0.5 / (1 + cores)))
    is_small = cores < SMALL_HOST_CORES or link_mbps < SMALL_HOST_LINK_MBPS
    return pause_ms + SMALL_HOST_EXTRA_DELAY_MS if is_small else pause_ms
