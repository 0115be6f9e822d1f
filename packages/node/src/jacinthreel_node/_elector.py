"""Runs the owner election: follows the owner row, takes over, renews the lease and resigns.

The rules that decide when to take over are in `_election`.  A process runs at most one
`Ownership` at a time, the one for the newest owner row that names this host.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import Any, Final

from returns.result import Failure, Result, Success

from jacinthreel_common import (
    Fault,
    LeaseQuery,
    OwnerAnnouncement,
    OwnerHeartbeat,
    ResultCode,
    StreamReply,
)
from jacinthreel_daemon.plumbing import Clock, EventLog, StreamHub
from jacinthreel_node._election import (
    CONNECTED_LEASE_TIMEOUT_MS,
    HEARTBEAT_TIMEOUT_MS,
    LEASE_TIMEOUT_MS,
    MAX_FRESH_READ_MS,
    RENEWAL_OVERDUE_MS,
    LeaseWatch,
    takeover_delay_ms,
)
from jacinthreel_node._former_leases import (
    LONG_LEASE_LIMIT_MS,
    OUTAGE_RENEWAL_LIMIT_MS,
    FormerOwner,
    validity_after_takeover_ms,
)
from jacinthreel_node._lease_handover import LeaseHandover
from jacinthreel_node._owner_view import OwnerView
from jacinthreel_node._ownership import Ownership
from jacinthreel_node._ports import (
    Committed,
    Conflict,
    KeyedStore,
    Row,
    RowCondition,
    RowWrite,
    Snapshot,
)
from jacinthreel_node._records import (
    LEASE_TABLE,
    OWNER_KEY,
    OWNER_TABLE,
    LeaseRow,
    OwnerRow,
    decode_lease,
    decode_owner,
    encode_record,
)
from jacinthreel_node._settings import NodeSettings

NO_OWNER: Final = "no owner"
OWN_EARLIER_PROCESS: Final = "the owner row names an earlier process of this host"
OWNER_RESIGNED: Final = "the owner has resigned"
STORE_TIMEOUT_MS: Final = 1_500
FLUSH_TIMEOUT_MS: Final = 500
RENEWAL_WAIT_MS: Final = 500
FORMER_LEASE_TIMEOUT_MS: Final = 800  # Without the answer, the longest bound holds.


MakeOwnership = Callable[[OwnerRow, int, FormerOwner | None], Ownership]
"""Creates an `Ownership` from the owner row, its version, and the owner that it replaces."""
Spawn = Callable[[Coroutine[Any, Any, None]], None]


@dataclass(frozen=True, slots=True)
class _Takeover:
    """A takeover whose owner row is stored, by a commit that was sent at `sent_ms`.

    The process may have been paused before it read the reply, so that only the time of sending
    tells for how long the row has been stored at most.  `former_lease` is the last lease row of the
    former owner, None if it is unknown.
    """

    owner: OwnerRow
    version: int
    former: OwnerRow | None
    former_lease: LeaseRow | None
    reason: str
    sent_ms: int

    def replaced_owner(self, now_ms: int) -> FormerOwner | None:
        """Returns the replaced owner, None if no readable row names it."""
        former = self.former
        if former is None:
            return None
        has_stopped = self.reason in (OWN_EARLIER_PROCESS, OWNER_RESIGNED)
        lease = self.former_lease
        if lease is None:
            return FormerOwner(former.host_id, former.epoch, has_stopped, None, now_ms)
        return FormerOwner(
            former.host_id,
            former.epoch,
            has_stopped,
            lease.earlier_leases,
            now_ms,
            lease.validity_ms,
            lease.records_grants,
        )


class Elector:
    """Takes part in the owner election; `ownership` is None while this node is not the owner."""

    def __init__(
        self,
        settings: NodeSettings,
        store: KeyedStore,
        hub: StreamHub,
        owner_view: OwnerView,
        clock: Clock,
        rng: random.Random,
        log: EventLog,
        spawn: Spawn,
        make_ownership: MakeOwnership,
    ) -> None:
        self.ownership: Ownership | None = None
        self.is_draining = False
        self._settings = settings
        self._store = store
        self._hub = hub
        self._owner_view = owner_view
        self._clock = clock
        self._rng = rng
        self._log = log
        self._spawn = spawn
        self._make_ownership = make_ownership
        self._announced_version = 0
        self._lease_count = 0
        self._renewed_ms = 0
        self._confirmed_ms = 0
        self._pending_renewals = 0
        self._renewals_done = asyncio.Event()
        self._renewed_lease_count = 0
        self._lease_watch = LeaseWatch()
        self._is_taking_over = False
        self._handover = LeaseHandover(hub, clock, log, settings.lease_limits.longest_ms)

    @property
    def lease_age_ms(self) -> int:
        """Milliseconds since the last successful lease renewal."""
        return self._clock.now_ms() - self._renewed_ms

    @property
    def is_lease_usable(self) -> bool:
        """Whether the last lease renewal is recent enough to send orders to executors.

        A renewal alone doesn't show that this process is still the owner, so that the last read of
        the owner row counts as well.  A process that was paused finds out here, before any of its
        timers has run.
        """
        return self._confirmation_age_ms <= OUTAGE_RENEWAL_LIMIT_MS

    @property
    def may_grant_long(self) -> bool:
        """Whether the last lease renewal is recent enough for task leases beyond the shortest."""
        return self._confirmation_age_ms <= LONG_LEASE_LIMIT_MS

    @property
    def _confirmation_age_ms(self) -> int:
        return self._clock.now_ms() - min(self._renewed_ms, self._confirmed_ms)

    @property
    def lease_count(self) -> int:
        """The number of the last lease renewal that is known to have succeeded."""
        return self._renewed_lease_count

    def apply_snapshot(self, rows: tuple[Row, ...]) -> None:
        """Applies a full read of the owner table."""
        self._owner_view.is_row_known = True
        self.apply_rows(rows)

    def apply_rows(self, rows: tuple[Row, ...]) -> None:
        """Applies changed rows of the owner table."""
        for row in rows:
            if row.key != OWNER_KEY:
                continue
            owner = decode_owner(row.value) if row.value is not None else None
            is_unreadable = owner is None and row.value is not None
            self._apply_owner_row(owner, row.version, is_unreadable)

    def _apply_owner_row(
        self, owner: OwnerRow | None, version: int, is_unreadable: bool = False
    ) -> None:
        if not self._owner_view.apply_row(owner, version, is_unreadable):
            return
        if is_unreadable:
            self._log.warning("owner_row_unreadable", {"row_version": version})
        if owner is None:
            return
        self._log.info(
            "owner_seen",
            {"epoch": owner.epoch, "owner": owner.host_id, "row_version": version},
        )
        self._lease_watch.reset()
        ownership = self.ownership
        if ownership is not None and ownership.epoch < owner.epoch:
            self.end_ownership("another node has taken over")
        if owner.host_id == self._settings.host_id:
            self._hub.set_peers(set())
            self.check_owner()
            return
        self._hub.set_peers({(owner.address, owner.port)})

    def renew_lease(self) -> None:
        """Renews the lease, or ends the ownership if renewals have failed for too long."""
        ownership = self.ownership
        if ownership is None:
            return
        if not self.is_lease_usable:
            self.end_ownership("the lease could not be renewed for too long")
            return
        self._spawn(self._write_renewal(ownership))
        self._spawn(self._confirm_ownership(ownership))

    async def _write_renewal(self, ownership: Ownership) -> None:
        self._lease_count += 1
        earlier = ownership.earlier_leases()
        lease = LeaseRow(
            ownership.epoch,
            self._lease_count,
            earlier_leases=earlier,
            validity_ms=validity_after_takeover_ms(self._settings.lease_limits),
            records_grants=True,
        )
        sent_ms = self._clock.now_ms()
        self._pending_renewals += 1
        outcome = await self._write_lease(lease)
        self._pending_renewals -= 1
        if not self._pending_renewals:
            self._renewals_done.set()
        if self.ownership is not ownership:
            return
        match outcome:
            case Success(_):
                self._renewed_ms = max(self._renewed_ms, sent_ms)
                self._renewed_lease_count = max(self._renewed_lease_count, lease.count)
            case Failure(Fault() as fault):
                fields = {"reason": fault.detail, "code": fault.code.value}
                self._log.warning("lease_not_renewed", fields)

    async def _confirm_ownership(self, ownership: Ownership) -> None:
        """Reads the owner row, which the lease row can't be written conditionally on.

        The next owner counts `OUTAGE_RENEWAL_LIMIT_MS` from its takeover, so this process may only
        count from a read that was sent before.  The feed of the owner table may be silent longer.
        """
        sent_ms = self._clock.now_ms()
        match await self._store.read(OWNER_TABLE, STORE_TIMEOUT_MS, OWNER_KEY):
            case Success(Snapshot(rows=rows)):
                self.apply_rows(rows)
                is_unchanged = any(row.version == self._owner_view.row_version for row in rows)
                if self.ownership is ownership and is_unchanged:
                    self._confirmed_ms = max(self._confirmed_ms, sent_ms)
            case Failure(Fault() as fault):
                fields = {"reason": fault.detail, "code": fault.code.value}
                self._log.warning("ownership_not_confirmed", fields)

    async def _write_lease(self, lease: LeaseRow) -> Result[Committed | Conflict, Fault]:
        """Writes the lease row; unconditional, as it only shows that its epoch's owner is alive."""
        row = RowWrite(LEASE_TABLE, self._settings.host_id, encode_record(lease))
        return await self._store.commit([], [row], STORE_TIMEOUT_MS)

    def check_owner(self) -> None:
        """Starts a takeover if the election rules call for one; called several times a second."""
        if self.is_draining or self.ownership is not None or self._is_taking_over:
            return
        if not self._owner_view.is_row_known:
            return
        row = self._owner_view.row
        if row is None or row.host_id == self._settings.host_id:
            self._begin_takeover(NO_OWNER if row is None else OWN_EARLIER_PROCESS)
            return
        if self.is_owner_reachable() and self._owner_view.lease_age_ms < RENEWAL_OVERDUE_MS:
            self._lease_watch.reset()
            return
        self._spawn(self._check_lease(row))

    def is_owner_reachable(self) -> bool:
        """Whether the owner's last heartbeat is recent and its stream is still open.

        The streams of a killed process close at once.  After a power failure they stay open, and
        only the heartbeats stop.
        """
        row = self._owner_view.row
        heartbeat_age_ms = self._owner_view.heartbeat_age_ms()
        if row is None or heartbeat_age_ms is None or heartbeat_age_ms >= HEARTBEAT_TIMEOUT_MS:
            return False
        return self._hub.is_connected(row.address, row.port)

    async def _check_lease(self, owner: OwnerRow) -> None:
        sent_ms = self._clock.now_ms()
        match await self._store.read(LEASE_TABLE, STORE_TIMEOUT_MS, owner.host_id):
            case Success(Snapshot(rows=rows)):
                if self._clock.now_ms() - sent_ms > MAX_FRESH_READ_MS:
                    self._lease_watch.distrust_earlier_renewals(self._clock.now_ms())
                self._evaluate_lease(owner, rows)
            case Failure(Fault()):
                self._lease_watch.restart(self._clock.now_ms())

    def _evaluate_lease(self, owner: OwnerRow, rows: tuple[Row, ...]) -> None:
        if self._owner_view.row is not owner:
            return  # The owner has changed while the lease row was being read.
        version = rows[0].version if rows else 0
        lease = decode_lease(rows[0].value) if rows and rows[0].value is not None else None
        renewed_ms: int | None = None
        if lease is not None and lease.epoch == owner.epoch:
            renewed_ms = self._owner_view.renewed_ms(lease.count)
        unchanged_ms = self._lease_watch.record_read(version, self._clock.now_ms(), renewed_ms)
        if lease is not None and lease.is_resigned and lease.epoch == owner.epoch:
            self._begin_takeover(OWNER_RESIGNED)
        elif unchanged_ms >= (
            CONNECTED_LEASE_TIMEOUT_MS if self.is_owner_reachable() else LEASE_TIMEOUT_MS
        ):
            self._begin_takeover("the owner's lease has expired")

    def _begin_takeover(self, reason: str) -> None:
        if self._is_taking_over or self.ownership is not None or self.is_draining:
            return
        self._is_taking_over = True
        expected_version = self._owner_view.stored_version
        self._spawn(self._take_over(reason, expected_version))

    async def _take_over(self, reason: str, expected_version: int) -> None:
        try:
            if reason != OWN_EARLIER_PROCESS:
                pause_ms = takeover_delay_ms(
                    self._rng.random(), self._settings.cores, self._settings.link_mbps
                )
                await asyncio.sleep(pause_ms / 1000)
            if self.is_draining or self._owner_view.row_version > expected_version:
                return
            await self._commit_takeover(reason, expected_version)
        finally:
            self._is_taking_over = False

    async def _commit_takeover(self, reason: str, expected_version: int) -> None:
        former = self._owner_view.row
        # Each takeover raises the version, so it is above the epoch in a row that can't be read.
        epoch = former.epoch + 1 if former is not None else expected_version + 1
        address, port = self._settings.stream_address
        nonce = f"{self._rng.getrandbits(64):016x}"
        owner = OwnerRow(epoch, self._settings.host_id, address, port, nonce)
        sent_ms = self._clock.now_ms()
        commit = self._store.commit(
            [RowCondition(OWNER_TABLE, OWNER_KEY, expected_version)],
            [RowWrite(OWNER_TABLE, OWNER_KEY, encode_record(owner))],
            STORE_TIMEOUT_MS,
        )
        # A renewal of the new ownership would replace the row of an earlier process of this host.
        outcome, former_lease = await asyncio.gather(commit, self._read_lease(former))
        match outcome:
            case Success(Committed(version=version)):
                takeover = _Takeover(owner, version, former, former_lease, reason, sent_ms)
                self._start_ownership(takeover)
            case Success(Conflict(rows=rows)):
                self.apply_rows(rows)
            case Failure(Fault() as fault):
                fields = {"reason": fault.detail, "code": fault.code.value}
                self._log.warning("takeover_failed", fields)

    async def _read_lease(self, former: OwnerRow | None) -> LeaseRow | None:
        """Returns the last lease row of an owner, None if it is unknown or of another epoch."""
        if former is None:
            return None
        match await self._store.read(LEASE_TABLE, FORMER_LEASE_TIMEOUT_MS, former.host_id):
            case Success(Snapshot(rows=(Row(value=bytes() as value),))):
                lease = decode_lease(value)
            case _:
                return None
        return lease if lease is not None and lease.epoch == former.epoch else None

    def _start_ownership(self, takeover: _Takeover) -> None:
        """Starts the ownership under a stored row."""
        owner, former = takeover.owner, takeover.former
        newest_version = self._owner_view.row_version
        if newest_version > takeover.version or owner.epoch < self._handover.highest_epoch:
            return  # Another node has taken over in the meantime.
        fields = {
            "epoch": owner.epoch,
            "reason": takeover.reason,
            "former_owner": former.host_id if former is not None else "",
            "former_owner_silent_ms": self._owner_view.heartbeat_age_ms(),
        }
        self._apply_owner_row(owner, takeover.version)
        self._renewed_ms = self._confirmed_ms = takeover.sent_ms
        self._log.info("took_over", fields)
        replaced = takeover.replaced_owner(self._clock.now_ms())
        self.ownership = self._make_ownership(owner, takeover.version, replaced)
        self.ownership.start()
        self.renew_lease()
        if former is not None and takeover.reason != OWN_EARLIER_PROCESS:
            self._spawn(self._request_former_leases(former, self.ownership))

    async def _request_former_leases(self, former: OwnerRow, ownership: Ownership) -> None:
        announcement = self._announcement()
        if announcement is None:
            return
        await self._handover.request_leases(
            former, ownership, announcement, lambda: self.ownership is ownership
        )

    def _announcement(self) -> OwnerAnnouncement | None:
        row = self._owner_view.row
        if row is None:
            return None
        version = self._owner_view.row_version
        return OwnerAnnouncement(row.epoch, row.host_id, row.address, row.port, row.nonce, version)

    def apply_announcement(self, announcement: OwnerAnnouncement) -> None:
        """Passes the announcement of a new owner on once, and applies it if it is news.

        The announced row is in the store, but the store may not serve this process or its peers.
        """
        if announcement.row_version <= self._announced_version:
            return
        self._announced_version = announcement.row_version
        self._hub.notify_all(announcement)
        owner = OwnerRow(
            announcement.epoch,
            announcement.host_id,
            announcement.address,
            announcement.port,
            announcement.nonce,
        )
        self._apply_owner_row(owner, announcement.row_version)

    def serve_lease_query(self, query: LeaseQuery) -> StreamReply:
        """Ends the ownership if the query is of a newer epoch, and returns the unexpired leases.

        Errors: STALE_EPOCH if this node's ownership is not older than the query.
        """
        ownership = self.ownership
        if ownership is not None and ownership.epoch < query.epoch:
            self.end_ownership("another node has taken over")
        elif ownership is not None:
            return StreamReply(
                ResultCode.STALE_EPOCH, "this node owns the jobs under a newer epoch"
            )
        return self._handover.answer_query(query)

    def end_ownership(self, reason: str) -> None:
        """Ends the ownership, if there is one, without waiting for pending writes."""
        ownership = self.ownership
        if ownership is None:
            return
        self._stop_ownership(ownership)
        self._lease_watch.reset()
        self._log.info("ownership_lost", {"epoch": ownership.epoch, "reason": reason})

    def _stop_ownership(self, ownership: Ownership) -> None:
        self.ownership = None
        leases = ownership.remaining_leases()
        ownership.stop()
        self._handover.record_ended_ownership(ownership.epoch, leases)

    async def resign(self) -> None:
        """Ends the ownership on shutdown, and records that another node may take over."""
        ownership = self.ownership
        if ownership is None:
            return
        await ownership.flush(FLUSH_TIMEOUT_MS)
        if self.ownership is not ownership:
            return
        self._stop_ownership(ownership)
        earlier = ownership.earlier_leases()
        await self._await_renewals()
        lease = LeaseRow(ownership.epoch, self._lease_count + 1, True, earlier, records_grants=True)
        outcome = await self._write_lease(lease)
        self._hub.notify_all(OwnerHeartbeat(ownership.epoch, resigned=True))
        self._log.info("resigned", {"epoch": ownership.epoch, "outcome": type(outcome).__name__})

    async def _await_renewals(self) -> None:
        """Waits for renewals on their way: one that is stored later would undo a resignation."""
        if not self._pending_renewals:
            return
        self._renewals_done.clear()
        try:
            async with asyncio.timeout(RENEWAL_WAIT_MS / 1000):
                await self._renewals_done.wait()
        except TimeoutError:
            self._log.warning("renewals_unanswered", {"count": self._pending_renewals})
