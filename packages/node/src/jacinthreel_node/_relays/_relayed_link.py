"""The owner's state of the exchange with one executor through a relay."""

from __future__ import annotations

from dataclasses import dataclass, field

from jacinthreel_node._executor_exchange import (
    CLOCK_SLOWNESS,
    LEASE_MARGIN_MS,
    max_lease_validity_ms,
)
from jacinthreel_node._executor_link import lease_ms_of
from jacinthreel_node._relays._messages import SlotLoss
from jacinthreel_node._relays._relay_session import OwnerRelaySession
from jacinthreel_steps import Executor, LeaseLimits, Run


@dataclass(slots=True)
class RelayedLink:
    """The owner's state of the exchange with one executor.

    `contact` is the relay's current one; it is reached only while `is_reached`, and leases are
    granted in it only if it equals `granted_contact`.  `fence` is the latest one that its requests
    may carry.  `is_after_restart` is set in a contact with another life than the one before.
    `bound_ms` is the lease bound of earlier slots and contacts, `doubtful_bound_ms` that of runs
    whose start may have been carried out by a later life.  `assigned` holds the address,
    incarnation and lease duration that the slot was assigned with.
    """

    executor_id: str
    bound_ms: int = 0
    doubtful_bound_ms: int = 0
    session: OwnerRelaySession | None = None
    slot: int = 0
    contact: int = 1
    granted_contact: int = 0
    fence: int = 0
    is_after_restart: bool = False
    is_reached: bool = False
    is_lost_logged: bool = False
    assigned: tuple[str, int, int] = ("", 0, 0)
    assigned_ms: int = 0
    unreached_moves: int = 0
    avoided_host: str = ""
    acknowledged: int = 0
    held_starts: list[Run] = field(default_factory=list)

    def current_bound_ms(self, limits: LeaseLimits) -> int:
        """Returns the bound of the leases of the current contact, 0 if none were granted."""
        if self.session is None or self.granted_contact != self.contact:
            return 0
        lease_ms = limits.longest_ms if self.is_after_restart else limits.shortest_ms
        return self.session.permission_end_ms() + max_lease_validity_ms(lease_ms)

    def current_doubtful_bound_ms(self, limits: LeaseLimits) -> int:
        """Returns the bound of runs that the current contact may have started in a later life."""
        if self.session is None or self.granted_contact != self.contact:
            return 0
        return self.session.permission_end_ms() + max_lease_validity_ms(limits.longest_ms)

    def end_contact(self, limits: LeaseLimits, next_contact: int) -> None:
        """Begins another contact, or none, without knowing when its relay last sent a request."""
        self.bound_ms = max(self.bound_ms, self.current_bound_ms(limits))
        self.doubtful_bound_ms = max(self.doubtful_bound_ms, self.current_doubtful_bound_ms(limits))
        self.begin_contact(next_contact)

    def end_lost_contact(self, limits: LeaseLimits, loss: SlotLoss, now_ms: int) -> None:
        """Begins the contact after one that the relay has ended: it sends nothing more in that."""
        left_ms = int(loss.left_ms / (1 - CLOCK_SLOWNESS)) + LEASE_MARGIN_MS
        longest_ms = max_lease_validity_ms(limits.longest_ms)
        if self.is_after_restart and loss.is_fence_unseen:
            left_ms = max(left_ms, longest_ms)
        if self.granted_contact:
            self.bound_ms = max(self.bound_ms, now_ms + left_ms)
            self.doubtful_bound_ms = max(self.doubtful_bound_ms, now_ms + longest_ms)
        self.begin_contact(loss.contact + 1)

    def begin_contact(self, number: int) -> None:
        """Replaces all that belongs to one contact."""
        self.contact = number
        self.granted_contact = 0
        self.is_reached = False
        self.is_after_restart = False
        self.acknowledged = 0


def assignment_terms(executor: Executor, limits: LeaseLimits) -> tuple[str, int, int]:
    """Returns the address, incarnation and lease duration to assign an executor with."""
    listing = executor.listing
    return listing.address, listing.incarnation, lease_ms_of(listing, limits.shortest_ms)
