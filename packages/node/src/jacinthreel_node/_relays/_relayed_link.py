"""The owner's state of the exchange with one executor through a relay."""

from __future__ import annotations

from dataclasses import dataclass, field

from jacinthreel_node._executor_exchange import max_lease_validity_ms
from jacinthreel_node._executor_link import lease_ms_of
from jacinthreel_node._relays._relay_session import OwnerRelaySession
from jacinthreel_steps import Executor, LeaseLimits, Run


@dataclass(slots=True)
class RelayedLink:
    """The owner's state of the exchange with one executor.

    `contact` is the relay's current one; it is reached only while `is_reached`, and leases are
    granted in it only if it equals `granted_contact`.  `bound_ms` is the lease bound of earlier
    slots and contacts.  `assigned` holds the address, incarnation and lease duration that the slot
    was assigned with.
    """

    executor_id: str
    bound_ms: int = 0
    session: OwnerRelaySession | None = None
    slot: int = 0
    contact: int = 1
    granted_contact: int = 0
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
        return self.session.permission_end_ms() + max_lease_validity_ms(limits.shortest_ms)


def assignment_terms(executor: Executor, limits: LeaseLimits) -> tuple[str, int, int]:
    """Returns the address, incarnation and lease duration to assign an executor with."""
    listing = executor.listing
    return listing.address, listing.incarnation, lease_ms_of(listing, limits.shortest_ms)
