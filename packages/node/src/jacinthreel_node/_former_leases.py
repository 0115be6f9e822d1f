"""Tracks by when the leases granted by earlier owners have certainly expired.

This matters for executors that the current owner has not reached yet, because it can't know which
leases they hold.  At a takeover only the longest possible bound is known: the former owner may
still be running, renew leases for `MAX_OUTAGE_RENEWAL_MS` without the store, and so may every
owner before it.  Evidence of five kinds lowers the bounds:

- The executor has answered the current owner.  It refuses all earlier owners from then on.
- The former owner has stored for how long its leases may be valid after a takeover.
- The former owner has stopped.  It grants nothing more, but what it was still waiting for has not
  ended with it.  It stores those bounds with each renewal of its lease row.
- The former owner has answered a query.  It has stopped, and its answer covers earlier owners too.
- The former owner has recorded where it granted leases.  Elsewhere only owners before it have.

Invariant: a lease end is only ever moved earlier.  Bounds that are missing, unreadable or from a
process of an earlier version move none.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Set
from dataclasses import dataclass
from typing import Final

from jacinthreel_common import LeasesLeft
from jacinthreel_node._executor_exchange import max_lease_validity_ms
from jacinthreel_node._records import EarlierLeases, GrantsRow
from jacinthreel_steps import LeaseLimits

OUTAGE_RENEWAL_LIMIT_MS: Final = 9_000  # Limit for renewing task leases without the owner lease.
MAX_OUTAGE_RENEWAL_MS: Final = 12_000  # Of owners whose row doesn't tell, as in earlier versions.
LONG_LEASE_LIMIT_MS: Final = 2_000
"""Without the owner lease for longer, only the shortest task leases are granted.

A next owner that can't reach the executor has to wait for the end of a lease that it doesn't know.
"""
MAX_STORED_EXECUTORS: Final = 100
"""With more executors, one bound for all is stored: the lease row is written twice a second."""


@dataclass(frozen=True, slots=True)
class FormerOwner:
    """The owner that a takeover replaced.

    `has_stopped` is set if it certainly grants nothing more, as its process has ended or resigned.
    `earlier` is what it last stored about the owners before it, None if that is unknown; the times
    count from `read_ms` on the clock of this process.  `validity_ms` is for how long after the
    takeover its own leases may be valid if it has not stopped, None if that is unknown.
    `records_grants` is set if it granted leases only as the row of grants allows.
    """

    host_id: str
    epoch: int
    has_stopped: bool
    earlier: EarlierLeases | None
    read_ms: int
    validity_ms: int | None = None
    records_grants: bool = False


def validity_after_takeover_ms(limits: LeaseLimits) -> int:
    """Returns for how long after a later takeover leases of an owner may be valid.

    The owner may renew leases for `OUTAGE_RENEWAL_LIMIT_MS` after the takeover, but long ones only
    for `LONG_LEASE_LIMIT_MS`.  Only for that time it sends what an executor that has restarted may
    give the longest lease to: starts, and leases while a start may have reached such an executor.
    """
    return max(
        OUTAGE_RENEWAL_LIMIT_MS + max_lease_validity_ms(limits.shortest_ms),
        LONG_LEASE_LIMIT_MS + max_lease_validity_ms(limits.longest_ms),
    )


class FormerLeases:
    """The latest lease end at each executor, on the clock of this process.

    `default_end_ms` holds before there is any evidence, and `longest_ms` is the longest time for
    which a lease granted now may be valid.  Bounds of executors that the former owner didn't name
    are later by `relay_extension_ms` while earlier owners may have used relays, which renew leases
    for that time after their owner has stopped.  `former` is the replaced owner, if it is known.
    """

    def __init__(
        self,
        default_end_ms: int,
        longest_ms: int,
        relay_extension_ms: int = 0,
        former: FormerOwner | None = None,
    ) -> None:
        self.source = "longest"
        self._former = former
        self._longest_ms = longest_ms
        self._direct_end_ms = default_end_ms
        self._relay_extension_ms = relay_extension_ms
        self._end_ms_by_executor: dict[str, int] = {}
        self._answered_ids: set[str] = set()
        self._former_granted_ids: Set[str] | None = None  # None if not known.

    @property
    def _default_end_ms(self) -> int:
        return self._direct_end_ms + self._relay_extension_ms

    def exclude_relays(self) -> None:
        """Records that no earlier owner has used relays."""
        self._relay_extension_ms = 0

    def end_ms(self, executor_id: str) -> int:
        """Returns the time by which all leases of earlier owners at the executor have ended."""
        return self._end_ms_by_executor.get(executor_id, self._default_end_ms)

    @property
    def latest_end_ms(self) -> int:
        """The time by which all leases of earlier owners have ended at every executor."""
        return max(self._default_end_ms, *self._end_ms_by_executor.values(), 0)

    def source_of(self, executor_id: str) -> str:
        """Returns which evidence the bound at an executor is from, for the log."""
        return "answer" if executor_id in self._answered_ids else self.source

    def wait_ms(self, now_ms: int) -> int:
        """Returns for how long some executor may still hold leases of earlier owners."""
        return max(0, self.latest_end_ms - now_ms)

    def record_answer(self, executor_id: str, now_ms: int) -> None:
        """Records that an executor answers the current owner, and refuses earlier ones from now on.

        What they granted there lasts for the longest lease at most.
        """
        if executor_id in self._answered_ids:
            return
        self._answered_ids.add(executor_id)
        self._lower(executor_id, now_ms + self._longest_ms)

    def record_stop(self, now_ms: int) -> None:
        """Records that the former owner has stopped, without an answer that tells its leases.

        Its own leases expire one longest lease later, and those of the owners before it as it has
        stored.  Relays may go on renewing its leases, so call `exclude_relays` before if none may.
        """
        self._lower_all(now_ms + self._longest_ms, "stored")

    def record_takeover(self, takeover_ms: int) -> None:
        """Applies what the takeover has shown: the former owner has stopped, or its stored terms.

        Call it when the ownership begins, because its first lease row is written before any table
        is read, and again after `exclude_relays`.
        """
        match self._former:
            case FormerOwner(has_stopped=True):
                self.record_stop(takeover_ms)
            case FormerOwner(validity_ms=int() as validity_ms):
                self._lower_all(takeover_ms + validity_ms, "terms")

    def record_grants(self, row: GrantsRow | None) -> None:
        """Records the row of grants, read after the takeover, None if there is none.

        Only a row of the former owner tells anything.  Call it only if no earlier owner has used
        relays, and `record_takeover` after it.
        """
        former = self._former
        if row is None or former is None or not former.records_grants:
            return
        if row.epoch == former.epoch and row.executor_ids is not None:
            self._former_granted_ids = frozenset(row.executor_ids)

    def _lower_all(self, own_end_ms: int, source: str) -> None:
        """Lowers all bounds: the former owner's own leases have ended by `own_end_ms`."""
        former, granted_ids = self._former, self._former_granted_ids
        if former is None or former.earlier is None:
            return
        left_ms_by_executor, others_ms = (
            former.earlier.left_ms_by_executor,
            former.earlier.others_ms,
        )
        for executor_id in left_ms_by_executor.keys() | (granted_ids or frozenset()):
            end_ms = former.read_ms + left_ms_by_executor.get(executor_id, others_ms)
            if granted_ids is None or executor_id in granted_ids:
                end_ms = max(end_ms, own_end_ms + self._relay_extension_ms)
            self._lower(executor_id, end_ms)
        end_ms = former.read_ms + others_ms
        if granted_ids is None:
            end_ms = max(end_ms, own_end_ms)
        self._direct_end_ms = min(self._direct_end_ms, end_ms)
        self.source = source

    def apply_response(self, response: LeasesLeft, now_ms: int) -> None:
        """Applies the response of the former owner, which grants no more leases.

        A response of a process that knows only that the former owner has stopped counts as such.
        """
        if not response.covers_earlier_owners:
            self.record_stop(now_ms)
            return
        for executor_id, left_ms in response.left_ms_by_executor.items():
            self._lower(executor_id, now_ms + left_ms)
        self._direct_end_ms = min(self._direct_end_ms, now_ms + response.others_ms)
        self.source = "response"

    def remaining(self, end_ms_by_executor: dict[str, int], now_ms: int) -> LeasesLeft:
        """Returns the remaining lease times to hand over to the next owner.

        `end_ms_by_executor` holds the lease ends at executors that the current owner has a link to.
        The next owner allows for relays itself, as this one does.
        """
        ends = {**self._end_ms_by_executor, **end_ms_by_executor}
        remaining_ms_by_executor = {
            executor_id: max(0, end_ms - now_ms) for executor_id, end_ms in ends.items()
        }
        others_ms = max(0, self._direct_end_ms - now_ms)
        return LeasesLeft(remaining_ms_by_executor, others_ms, covers_earlier_owners=True)

    def remaining_of_earlier_owners(
        self,
        executor_ids: Iterable[str] | None,
        has_granted: Callable[[str], bool],
        now_ms: int,
    ) -> EarlierLeases:
        """Returns the bounds to store for a next owner that can't query this one.

        `executor_ids` are all executors with runs, or None if they are not known yet.  Those at
        which this owner has granted leases are left out: the next owner allows for a full lease
        there, and for none at others.
        """
        if executor_ids is None:
            return EarlierLeases({}, self.wait_ms(now_ms))
        left_ms_by_executor: dict[str, int] = {}
        for executor_id in executor_ids:
            left_ms = self.end_ms(executor_id) - now_ms
            if left_ms > 0 and not has_granted(executor_id):
                left_ms_by_executor[executor_id] = left_ms
        if len(left_ms_by_executor) <= MAX_STORED_EXECUTORS:
            return EarlierLeases(left_ms_by_executor, 0)
        return EarlierLeases({}, max(left_ms_by_executor.values()))

    def _lower(self, executor_id: str, end_ms: int) -> None:
        self._end_ms_by_executor[executor_id] = min(self.end_ms(executor_id), end_ms)
