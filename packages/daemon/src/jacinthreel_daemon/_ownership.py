"""The election of a shard's owner: events and a time in, effects out.

Two rows of the table service decide.  The epoch row changes only at a takeover.  The lease row is
written anew by each renewal and deleted by a planned stop.

A candidate polls both rows.  It takes over when there is no lease row, or when it has watched the
same version of it for `LEASE_MS` and `WATCH_MARGIN_MS` on its own monotonic clock.  The watch
counts from when the first reply with this version arrived, which is after the renewal took effect,
which is after it was sent; the holder counts `LEASE_MS` from when it sent it.  So at the takeover
the holder's lease has run out by the holder's own clock, also where replies are slow or lost.  A
failed read restarts the watch: after an outage of the store the holder has a whole lease's time
to renew before anybody takes over.

The takeover is one transaction that requires both rows as read.  Where its outcome is unknown the
candidate goes on polling, and finds its own write id in the epoch row if it took effect.

The holder renews under the condition that the epoch row is as it wrote it, one renewal at a time.
A renewal whose outcome is unknown doesn't extend the lease.  A conflict means that another one
took over.  A holder whose lease has run out goes on renewing: until somebody takes over it may
come back into force.

Invariant: at any moment at most one process holds a lease that is valid by its own clock, as long
as clocks run at rates that differ by less than `WATCH_MARGIN_MS` over `LEASE_MS`.
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
MAX_PENDING_CLAIMS: Final = 64


@dataclass(frozen=True, slots=True)
class RowsSeen:
    """Both rows as a read that was sent at `sent_ms` found them; None where absent."""

    epoch_row: Row | None
    lease_row: Row | None


@dataclass(frozen=True, slots=True)
class ReadFailed:
    """A read of the rows failed."""


@dataclass(frozen=True, slots=True)
class ClaimDone:
    """A takeover's transaction ended."""

    write_id: str
    outcome: WriteOutcome
    versions: dict[str, int]


@dataclass(frozen=True, slots=True)
class RenewalDone:
    """A renewal's transaction ended."""

    write_id: str
    outcome: WriteOutcome


@dataclass(frozen=True, slots=True)
class RenewalDue:
    """It is time for the next renewal."""


@dataclass(frozen=True, slots=True)
class StopAsked:
    """The process is stopping: release the lease and stand for election no more."""


@dataclass(frozen=True, slots=True)
class StepDownAsked:
    """The shard core found that another owner is in force."""

    reason: str


ElectionEvent = (
    RowsSeen | ReadFailed | ClaimDone | RenewalDone | RenewalDue | StopAsked | StepDownAsked
)


@dataclass(frozen=True, slots=True)
class SendClaim:
    """Send a takeover; answered by `ClaimDone`."""

    transaction: Transaction


@dataclass(frozen=True, slots=True)
class SendRenewal:
    """Send a renewal; answered by `RenewalDone`."""

    transaction: Transaction


@dataclass(frozen=True, slots=True)
class SendRelease:
    """Delete the lease row; nothing depends on the outcome."""

    transaction: Transaction


@dataclass(frozen=True, slots=True)
class Gained:
    """The process became the owner of the shard."""

    epoch: int
    epoch_row_version: int
    lease_until_ms: int


@dataclass(frozen=True, slots=True)
class Renewed:
    """The lease is valid until then."""

    lease_until_ms: int


@dataclass(frozen=True, slots=True)
class Lost:
    """The process owns the shard no more."""

    reason: str


ElectionEffect = SendClaim | SendRenewal | SendRelease | Gained | Renewed | Lost


class Role(StrEnum):
    """Where a process stands in the election."""

    CANDIDATE = "candidate"
    CLAIMING = "claiming"
    OWNER = "owner"
    STOPPED = "stopped"


@dataclass(frozen=True, slots=True)
class _PendingClaim:
    epoch: int
    sent_ms: int


class Election:
    """One process's part in the election of a shard's owner."""

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
        self._claims_by_id: dict[str, _PendingClaim] = {}
        self._renewal_id = ""
        self._renewal_sent_ms = 0

    @property
    def is_owner(self) -> bool:
        """Whether this process owns the shard, whether or not its lease is valid."""
        return self.role is Role.OWNER

    def handle(self, event: ElectionEvent, now_ms: int) -> list[ElectionEffect]:
        """Applies an event and returns what is to be done."""
        match event:
            case RowsSeen():
                return self._rows_seen(event, now_ms)
            case ReadFailed():
                self._watched_version = None
            case ClaimDone():
                return self._claim_done(event, now_ms)
            case RenewalDone():
                return self._renewal_done(event)
            case RenewalDue():
                return self._renewal_due(now_ms)
            case StopAsked():
                return self._stop()
            case StepDownAsked(reason=reason):
                return self._lose(reason)
        return []

    def _rows_seen(self, event: RowsSeen, now_ms: int) -> list[ElectionEffect]:
        if self.role is not Role.CANDIDATE:
            return []
        epoch_row = event.epoch_row
        if epoch_row is not None and epoch_row.write_id in self._claims_by_id:
            claim = self._claims_by_id[epoch_row.write_id]
            return self._gain(claim, epoch_row.version)
        version = event.lease_row.version if event.lease_row is not None else 0
        if version != self._watched_version:
            self._watched_version = version
            self._watched_since_ms = now_ms
        lapsed = now_ms - self._watched_since_ms >= LEASE_MS + WATCH_MARGIN_MS
        if version != 0 and not lapsed:
            return []
        return self._claim(epoch_row, version, now_ms)

    def _claim(
        self, epoch_row: Row | None, lease_version: int, now_ms: int
    ) -> list[ElectionEffect]:
        epoch_version = epoch_row.version if epoch_row is not None else 0
        epoch = _epoch_of(epoch_row) + 1
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
        self._claims_by_id[write_id] = _PendingClaim(epoch, now_ms)
        if len(self._claims_by_id) > MAX_PENDING_CLAIMS:
            del self._claims_by_id[next(iter(self._claims_by_id))]
        self.role = Role.CLAIMING
        return [SendClaim(transaction)]

    def _claim_done(self, event: ClaimDone, now_ms: int) -> list[ElectionEffect]:
        claim = self._claims_by_id.get(event.write_id)
        if self.role is not Role.CLAIMING or claim is None:
            return []
        self.role = Role.CANDIDATE
        self._watched_version = None
        match event.outcome:
            case WriteOutcome.COMMITTED:
                return self._gain(claim, event.versions[epoch_key(self._shard)])
            case WriteOutcome.CONFLICT | WriteOutcome.FAILED:
                del self._claims_by_id[event.write_id]
        return []

    def _gain(self, claim: _PendingClaim, epoch_row_version: int) -> list[ElectionEffect]:
        self.role = Role.OWNER
        self.epoch = claim.epoch
        self.epoch_row_version = epoch_row_version
        self.lease_until_ms = claim.sent_ms + LEASE_MS
        self._claims_by_id.clear()
        self._renewal_id = ""
        return [Gained(claim.epoch, epoch_row_version, self.lease_until_ms)]

    def _renewal_due(self, now_ms: int) -> list[ElectionEffect]:
        if self.role is not Role.OWNER or self._renewal_id:
            return []
        self._renewal_id = self._next_write_id()
        self._renewal_sent_ms = now_ms
        transaction = Transaction(
            self._renewal_id,
            [Condition(epoch_key(self._shard), self.epoch_row_version)],
            [RowWrite(lease_key(self._shard), self._lease_value(self.epoch))],
        )
        return [SendRenewal(transaction)]

    def _renewal_done(self, event: RenewalDone) -> list[ElectionEffect]:
        if self.role is not Role.OWNER or event.write_id != self._renewal_id:
            return []
        self._renewal_id = ""
        match event.outcome:
            case WriteOutcome.COMMITTED:
                self.lease_until_ms = self._renewal_sent_ms + LEASE_MS
                return [Renewed(self.lease_until_ms)]
            case WriteOutcome.CONFLICT:
                return self._lose("another process took the shard over")
        return []

    def _lose(self, reason: str) -> list[ElectionEffect]:
        if self.role is not Role.OWNER:
            return []
        self.role = Role.CANDIDATE
        self.lease_until_ms = 0
        self._renewal_id = ""
        self._watched_version = None
        return [Lost(reason)]

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
        return [Lost("this process is stopping"), SendRelease(transaction)]

    def _next_write_id(self) -> str:
        self._write_count += 1
        return f"{self._nonce}-{self._write_count}"

    def _lease_value(self, epoch: int) -> dict[str, Any]:
        return {"epoch": epoch, "host_id": self._host_id}


def _epoch_of(row: Row | None) -> int:
    """The epoch in a row; an unreadable row counts by its version, which is never lower."""
    if row is None:
        return 0
    match convert(EpochValue, row.value):
        case Success(EpochValue(epoch=epoch)):
            return epoch
    return row.version
