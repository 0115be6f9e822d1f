"""Who owns the jobs, as far as this process knows, and what the owner last said."""

from __future__ import annotations

from jacinthreel_common import Hello, OwnerHeartbeat
from jacinthreel_daemon.plumbing import Clock
from jacinthreel_node._records import OwnerRow


class OwnerView:
    """The owner's row and its last heartbeat."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self.row: OwnerRow | None = None
        self.row_version = 0
        self.is_row_known = False
        self.heard_ms: int | None = None
        self.lease_age_ms = 0
        self.lease_count: int | None = None
        self.policy_version = 0
        self._waiting_by_queue: dict[str, int] | None = None

    def put_row(self, row: OwnerRow | None, version: int) -> bool:
        """Takes a version of the owner's row; says whether it is newer."""
        self.is_row_known = True
        if version <= self.row_version:
            return False
        if self.row is None or row is None or row.epoch != self.row.epoch:
            self.heard_ms = None
            self.lease_count = None
        self.row = row
        self.row_version = version
        return True

    def take_heartbeat(self, peer: Hello, heartbeat: OwnerHeartbeat) -> None:
        """Takes a heartbeat of the owner; those of earlier owners are passed over."""
        if self.row is not None and heartbeat.epoch < self.row.epoch:
            return
        self.heard_ms = None if heartbeat.resigned else self._clock.now_ms()
        self.lease_age_ms = heartbeat.lease_age_ms
        self.lease_count = heartbeat.lease_count
        self.policy_version = heartbeat.policy_version
        self._waiting_by_queue = heartbeat.waiting_by_queue if heartbeat.is_loaded else None

    def silent_ms(self) -> int | None:
        """How long ago the owner was heard, or None if never."""
        return None if self.heard_ms is None else self._clock.now_ms() - self.heard_ms

    def renewed_ms(self, lease_count: int) -> int | None:
        """When the owner renewed its lease for the given time, if that was the last one it told of.

        Earlier by the way of the heartbeat at most.
        """
        if self.heard_ms is None or self.lease_count != lease_count:
            return None
        return self.heard_ms - self.lease_age_ms

    def waiting_in(self, queue: str, max_age_ms: int) -> int | None:
        """How many jobs wait in a queue, or None if the figure is older than `max_age_ms`."""
        silent_ms = self.silent_ms()
        if silent_ms is None or silent_ms > max_age_ms or self._waiting_by_queue is None:
            return None
        return self._waiting_by_queue.get(queue, 0)
