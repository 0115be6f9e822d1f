"""When a process takes the ownership of the jobs over.

Ownership is a row that only a takeover changes; everything the owner writes is conditional on it,
and executors refuse orders of an older epoch.  So a takeover is safe at any moment, and the rules
here only keep it rare: a candidate takes over where there is no owner, where the owner's row
names an earlier life of the same host, where the owner has resigned, or where the owner is silent
on the streams, or its stream has ended, and its lease row has not changed for `LEASE_MS` of the
candidate's clock.  An owner that can't renew its lease says so; the candidate then waits only for
`ADMITTED_LAPSE_MS`.

Heartbeats say which renewal of the lease was the last and how long ago it was, so that a row which
still shows that renewal counts as unchanged from then on, unless a read has taken long since: a
renewal may have waited as well.  A read that fails restarts the watch, so that an outage of the
store moves nothing.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

LEASE_RENEWAL_MS: Final = 500
LEASE_MS: Final = 1_300
ADMITTED_LAPSE_MS: Final = 700
HEARTBEAT_MS: Final = 250
SILENCE_MS: Final = 600
RENEWAL_OVERDUE_MS: Final = 800
PROMPT_READ_MS: Final = 300  # A slower answer may be as old as an outage of the store.
STAGGER_MS: Final = 120
SMALL_HOST_PAUSE_MS: Final = 900
SMALL_HOST_CORES: Final = 1.0
SMALL_HOST_LINK_MBPS: Final = 100.0


@dataclass(slots=True)
class LeaseWatch:
    """How long the lease row has been unchanged, by successful reads without a gap.

    Renewals that were only heard of count from `trusted_from_ms` at the earliest.
    """

    version: int | None = None
    since_ms: int = 0
    trusted_from_ms: int = 0

    def see(self, version: int, now_ms: int, renewed_ms: int | None = None) -> int:
        """Takes the version that was read; returns for how long it has stood.

        `renewed_ms` is when it was written, where that is known.
        """
        if version != self.version:
            self.version = version
            self.since_ms = now_ms
        if renewed_ms is not None:
            self.since_ms = min(self.since_ms, max(renewed_ms, self.trusted_from_ms))
        return now_ms - self.since_ms

    def reset(self) -> None:
        """Forgets what was seen; the owner is in order."""
        self.version = None

    def distrust_renewals(self, now_ms: int) -> None:
        """The store was slow to answer: a renewal may have waited as long."""
        self.trusted_from_ms = now_ms

    def restart(self, now_ms: int) -> None:
        """Forgets what was seen, because the store can't show the lease."""
        self.version = None
        self.trusted_from_ms = now_ms


def stagger_ms(draw: float, cores: float, link_mbps: float) -> int:
    """The pause before a takeover, so that candidates don't collide; larger hosts go first.

    A new owner reads all jobs: hosts with little processor or a slow link leave it to others that
    are there.  `draw` is uniform between 0 and 1.

    >>> stagger_ms(0.0, 2.0, 1000) < stagger_ms(0.0, 1.0, 1000) < stagger_ms(0.0, 1.0, 10)
    True
    """
    pause_ms = int(STAGGER_MS * (0.5 * draw + 0.5 / (1 + cores)))
    is_small = cores < SMALL_HOST_CORES or link_mbps < SMALL_HOST_LINK_MBPS
    return pause_ms + SMALL_HOST_PAUSE_MS if is_small else pause_ms
