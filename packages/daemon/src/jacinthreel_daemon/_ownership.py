"""The election of a shard's owner, as a state machine without I/O.

`Election.handle` takes an event and the current monotonic time and returns effects for the caller
to perform.

The election uses two rows of the table service.  The epoch row changes only at a takeover.  The
lease row is rewritten by each renewal and deleted by a planned stop.

A candidate polls both rows.  It takes over when the lease row is absent, or when the row's version
has not changed for `LEASE_MS + WATCH_MARGIN_MS` on the candidate's monotonic clock.  The candidate
counts this time from the arrival of the first reply with that version, which is after the owner
sent the renewal; the owner counts `LEASE_MS` from when it sent it.  At the takeover the owner's
lease has therefore expired on the owner's own clock, even if replies are slow or lost.  A failed
read restarts the count: after an outage of the store the owner has a full lease period to renew
before a candidate takes over.

A takeover is one transaction, conditional on both rows being unchanged since the read.  If its
outcome is unknown, the candidate continues to poll, and finds its own write id in the epoch row if
the transaction was applied.

The owner's renewals are conditional on the epoch row being unchanged since the owner wrote it.  One
is sent each period, even if earlier ones have not been answered: the first one that a store answers
after a silence then makes the lease valid again, and the newest one keeps it valid.  A renewal with
an unknown outcome does not extend the lease.  A conflict means that another process took over.  An
owner whose lease has expired continues to renew, because the lease can become valid again as long
as no other process has taken over.

Invariant: at any moment at most one process holds a lease that is valid on its own clock, provided
that two clocks drift apart by less than `WATCH_MARGIN_MS` over `LEASE_MS`.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import Any, Final

from returns.result import Success

from jacinthreel_common import (
    Condition,
    Row,
    RowWrite,
    Transaction,
    WriteOutcome,
    convert,
    epoch_key,
    lease_key,
    to_plain,
)
from jacinthreel_daemon._owner_view import EpochValue

LEASE_MS: Final = 4_000
RENEW_PERIOD_MS: Final = 1_000
WATCH_MARGIN_MS: Final = 200
MAX_PENDING_TAKEOVERS: Final = 64  # Takeovers with a pending or unknown outcome.


@dataclass(frozen=True, slots=True)
class ElectionRowsRead:
    """The epoch row and the lease row as read; None if absent."""

    epoch_row: Row | None
    lease_row: Row | None


@dataclass(frozen=True, slots=True)
class ReadFailed:
    """Reading the rows failed."""


@dataclass(frozen=True, slots=True)
class TakeoverDone:
    """The transaction of a takeover finished.

    If it was committed, `versions` holds the new row versions by key.
    """

    write_id: str
    outcome: WriteOutcome
    versions: dict[str, int]


@dataclass(frozen=True, slots=True)
class RenewalDone:
    """The transaction of a renewal finished."""

    write_id: str
    outcome: WriteOutcome


@dataclass(frozen=True, slots=True)
class RenewalDue:
    """The next renewal is due."""


@dataclass(frozen=True, slots=True)
class StopRequested:
    """The process is stopping: it must release the lease and leave the election."""


@dataclass(frozen=True, slots=True)
class StepDownRequested:
    """The process must give up ownership without deleting the lease row.

    Sent when the shard core found that another process owns the shard, or raised an exception.
    """

    reason: str


ElectionEvent = (
    ElectionRowsRead
    | ReadFailed
    | TakeoverDone
    | RenewalDone
    | RenewalDue
    | StopRequested
    | StepDownRequested
)


@dataclass(frozen=True, slots=True)
class SendTakeover:
    """Command to send the transaction of a takeover; `TakeoverDone` reports its outcome."""

    transaction: Transaction


@dataclass(frozen=True, slots=True)
class SendRenewal:
    """Command to send the transaction of a renewal; `RenewalDone` reports its outcome."""

    transaction: Transaction


@dataclass(frozen=True, slots=True)
class SendRelease:
    """Command to delete the lease row; the outcome is not reported back."""

    transaction: Transaction


@dataclass(frozen=True, slots=True)
class ShardGained:
    """The process became the owner of the shard."""

    epoch: int
    epoch_row_version: int
    lease_until_ms: int


@dataclass(frozen=True, slots=True)
class ShardLeaseRenewed:
    """The lease was renewed and is valid until `lease_until_ms`."""

    lease_until_ms: int


@dataclass(frozen=True, slots=True)
class ShardLost:
    """The process no longer owns the shard."""

    reason: str


ElectionEffect = (
    SendTakeover | SendRenewal | SendRelease | ShardGained | ShardLeaseRenewed | ShardLost
)


class Role(StrEnum):
    """The state of a process in the election."""

    CANDIDATE = "candidate"
    TAKING_OVER = "taking_over"
    OWNER = "owner"
    STOPPED = "stopped"


@dataclass(frozen=True, slots=True)
class _PendingTakeover:
    epoch: int
    sent_ms: int


class Election:
    """The election state of one process for one shard.

    `nonce` is unique to the process and makes its write ids unique.
    """

    def __init__(self, shard: str, host_id: str, address: str, port: int, nonce: str) -> None:
        self.role = Role.CANDIDATE
        self.epoch = 0
        self.epoch_row_version = 0
        self.lease_until_ms = 0
        self._shard = shard
        self._host_id = host_id
        self._address = address
        self._port = port
        self._nonce = nonce
        self._write_count = 0
        self._watched_version: int | None = None
        self._watched_since_ms = 0
        self._takeovers_by_write_id: dict[str, _PendingTakeover] = {}
        self._renewals_sent_ms_by_id: dict[str, int] = {}

    @property
    def is_owner(self) -> bool:
        """Whether this process owns the shard; its lease may have expired."""
        return self.role is Role.OWNER

    def handle(self, event: ElectionEvent, now_ms: int) -> list[ElectionEffect]:
        """Applies an event and returns the effects to perform."""
        match event:
            case ElectionRowsRead():
                return self._on_rows_read(event, now_ms)
            case ReadFailed():
                self._watched_version = None
            case TakeoverDone():
                return self._on_takeover_done(event, now_ms)
            case RenewalDone():
                return self._on_renewal_done(event)
            case RenewalDue():
                return self._on_renewal_due(now_ms)
            case StopRequested():
                return self._stop()
            case StepDownRequested(reason=reason):
                return self._lose_ownership(reason)
        return []

    def _on_rows_read(self, event: ElectionRowsRead, now_ms: int) -> list[ElectionEffect]:
        if self.role is not Role.CANDIDATE:
            return []
        epoch_row = event.epoch_row
        if epoch_row is not None and epoch_row.write_id in self._takeovers_by_write_id:
            takeover = self._takeovers_by_write_id[epoch_row.write_id]
            return self._become_owner(takeover, epoch_row.version)
        version = event.lease_row.version if event.lease_row is not None else 0
        if version != self._watched_version:
            self._watched_version = version
            self._watched_since_ms = now_ms
        is_expired = now_ms - self._watched_since_ms >= LEASE_MS + WATCH_MARGIN_MS
        if version != 0 and not is_expired:
            return []
        return self._send_takeover(epoch_row, version, now_ms)

    def _send_takeover(
        self, epoch_row: Row | None, lease_version: int, now_ms: int
    ) -> list[ElectionEffect]:
        epoch_version = epoch_row.version if epoch_row is not None else 0
        epoch = _parse_epoch(epoch_row) + 1
        write_id = self._next_write_id()
        value = EpochValue(epoch, self._host_id, self._address, self._port)
        transaction = Transaction(
            write_id,
            [
                Condition(epoch_key(self._shard), epoch_version),
                Condition(lease_key(self._shard), lease_version),
            ],
            [
                RowWrite(epoch_key(self._shard), to_plain(value)),
                RowWrite(lease_key(self._shard), self._lease_value(epoch)),
            ],
        )
        self._takeovers_by_write_id[write_id] = _PendingTakeover(epoch, now_ms)
        if len(self._takeovers_by_write_id) > MAX_PENDING_TAKEOVERS:
            del self._takeovers_by_write_id[next(iter(self._takeovers_by_write_id))]
        self.role = Role.TAKING_OVER
        return [SendTakeover(transaction)]

    def _on_takeover_done(self, event: TakeoverDone, now_ms: int) -> list[ElectionEffect]:
        takeover = self._takeovers_by_write_id.get(event.write_id)
        if self.role is not Role.TAKING_OVER or takeover is None:
            return []
        self.role = Role.CANDIDATE
        self._watched_version = None
        match event.outcome:
            case WriteOutcome.COMMITTED:
                return self._become_owner(takeover, event.versions[epoch_key(self._shard)])
            case WriteOutcome.CONFLICT | WriteOutcome.FAILED:
                del self._takeovers_by_write_id[event.write_id]
        return []

    def _become_owner(
        self, takeover: _PendingTakeover, epoch_row_version: int
    ) -> list[ElectionEffect]:
        self.role = Role.OWNER
        self.epoch = takeover.epoch
        self.epoch_row_version = epoch_row_version
        self.lease_until_ms = takeover.sent_ms + LEASE_MS
        self._takeovers_by_write_id.clear()
        self._renewals_sent_ms_by_id.clear()
        return [ShardGained(takeover.epoch, epoch_row_version, self.lease_until_ms)]

    def _on_renewal_due(self, now_ms: int) -> list[ElectionEffect]:
        if self.role is not Role.OWNER:
            return []
        self._forget_expired_renewals(now_ms)
        write_id = self._next_write_id()
        self._renewals_sent_ms_by_id[write_id] = now_ms
        transaction = Transaction(
            write_id,
            [Condition(epoch_key(self._shard), self.epoch_row_version)],
            [RowWrite(lease_key(self._shard), self._lease_value(self.epoch))],
        )
        return [SendRenewal(transaction)]

    def _on_renewal_done(self, event: RenewalDone) -> list[ElectionEffect]:
        sent_ms = self._renewals_sent_ms_by_id.pop(event.write_id, None)
        if self.role is not Role.OWNER or sent_ms is None:
            return []
        match event.outcome:
            case WriteOutcome.COMMITTED if sent_ms + LEASE_MS > self.lease_until_ms:
                self.lease_until_ms = sent_ms + LEASE_MS
                return [ShardLeaseRenewed(self.lease_until_ms)]
            case WriteOutcome.CONFLICT:
                return self._lose_ownership("another process took over the shard")
        return []

    def _forget_expired_renewals(self, now_ms: int) -> None:
        """Drops the renewals that were sent too long ago to extend the lease."""
        for write_id, sent_ms in list(self._renewals_sent_ms_by_id.items()):
            if sent_ms + LEASE_MS <= now_ms:
                del self._renewals_sent_ms_by_id[write_id]

    def _lose_ownership(self, reason: str) -> list[ElectionEffect]:
        if self.role is not Role.OWNER:
            return []
        self.role = Role.CANDIDATE
        self.lease_until_ms = 0
        self._renewals_sent_ms_by_id.clear()
        self._watched_version = None
        return [ShardLost(reason)]

    def _stop(self) -> list[ElectionEffect]:
        was_owner = self.role is Role.OWNER
        self.role = Role.STOPPED
        self.lease_until_ms = 0
        if not was_owner:
            return []
        transaction = Transaction(
            self._next_write_id(),
            [Condition(epoch_key(self._shard), self.epoch_row_version)],
            [RowWrite(lease_key(self._shard), None)],
        )
        return [ShardLost("this process is stopping"), SendRelease(transaction)]

    def _next_write_id(self) -> str:
        self._write_count += 1
        return f"{self._nonce}-{self._write_count}"

    def _lease_value(self, epoch: int) -> dict[str, Any]:
        return {"epoch": epoch, "host_id": self._host_id}


def _parse_epoch(row: Row | None) -> int:
    """Returns the epoch in a row, or its version, which is never lower, if it is unreadable."""
    if row is None:
        return 0
    match convert(EpochValue, row.value):
        case Success(EpochValue(epoch=epoch)):
            return epoch
    return row.version
