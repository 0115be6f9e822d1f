"""Owning the jobs: following the owner's row, standing for it, keeping it and giving it up.

The rules of the election are in `_election`; this module carries them out.  At most one `Ownership`
runs in a process at a time, and it is the one of the newest row that names this host.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Coroutine
from typing import Any, Final

from returns.result import Failure, Result, Success

from jacinthreel_common import (
    Fault,
    LeaseQuery,
    OwnerHeartbeat,
    ResultCode,
    StreamReply,
)
from jacinthreel_daemon.plumbing import Clock, EventLog, StreamHub
from jacinthreel_node._election import (
    ADMITTED_LAPSE_MS,
    LEASE_MS,
    PROMPT_READ_MS,
    RENEWAL_OVERDUE_MS,
    SILENCE_MS,
    LeaseWatch,
    stagger_ms,
)
from jacinthreel_node._lease_handover import LeaseHandover
from jacinthreel_node._owner_view import OwnerView
from jacinthreel_node._ownership import OUTAGE_RENEWAL_LIMIT_MS, Ownership
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
OWN_EARLIER_LIFE: Final = "own earlier life"
RESIGNED: Final = "the owner has resigned"
STORE_TIMEOUT_MS: Final = 1_500
FLUSH_MS: Final = 500


MakeOwnership = Callable[[OwnerRow, int, bool], Ownership]
"""Makes the ownership of a row with its version; the flag says that the former owner is gone."""
Spawn = Callable[[Coroutine[Any, Any, None]], None]


class Elector:
    """The part of a node that may become the owner; `ownership` is what it owns, or None."""

    def __init__(
        self,
        settings: NodeSettings,
        store: KeyedStore,
        hub: StreamHub,
        owner: OwnerView,
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
        self._owner = owner
        self._clock = clock
        self._rng = rng
        self._log = log
        self._spawn = spawn
        self._make_ownership = make_ownership
        self._row_version = 0
        self._lease_count = 0
        self._renewed_ms = 0
        self._renewed_count = 0
        self._watch = LeaseWatch()
        self._taking_over = False
        self._handover = LeaseHandover(hub, clock, log, settings.task_lease_ms)

    @property
    def lease_age_ms(self) -> int:
        """How long ago the lease was last renewed."""
        return self._clock.now_ms() - self._renewed_ms

    @property
    def lease_count(self) -> int:
        """Which renewal was the last that is known to have succeeded."""
        return self._renewed_count

    def take_snapshot(self, rows: tuple[Row, ...]) -> None:
        """Takes the owner's table as it was read whole."""
        self._owner.is_row_known = True
        self.take_rows(rows)

    def take_rows(self, rows: tuple[Row, ...]) -> None:
        """Takes rows of the owner's table."""
        for row in rows:
            if row.key != OWNER_KEY:
                continue
            owner = decode_owner(row.value) if row.value is not None else None
            self._see_owner(owner, row.version)

    def _see_owner(self, owner: OwnerRow | None, version: int) -> None:
        if not self._owner.put_row(owner, version):
            return
        if owner is None:
            return
        self._log.decision(
            "owner_seen",
            {"epoch": owner.epoch, "owner": owner.host_id, "row_version": version},
        )
        self._watch.reset()
        own = self.ownership
        if own is not None and own.epoch < owner.epoch:
            self.lose("another node has taken over")
        if owner.host_id == self._settings.host_id:
            self._hub.set_peers(set())
            self.watch()
            return
        self._hub.set_peers({(owner.address, owner.port)})

    def renew(self) -> None:
        """Renews the lease, or gives up after too long without."""
        own = self.ownership
        if own is None:
            return
        if self._clock.now_ms() - self._renewed_ms > OUTAGE_RENEWAL_LIMIT_MS:
            self.lose("the lease could not be renewed for too long")
            return
        self._spawn(self._renew_lease(own))

    async def _renew_lease(self, own: Ownership) -> None:
        self._lease_count += 1
        lease = LeaseRow(own.epoch, self._lease_count)
        sent_ms = self._clock.now_ms()
        outcome = await self._write_lease(lease)
        if self.ownership is not own:
            return
        match outcome:
            case Success(_):
                self._renewed_ms = max(self._renewed_ms, sent_ms)
                self._renewed_count = max(self._renewed_count, lease.count)
            case Failure(Fault() as fault):
                fields = {"reason": fault.detail, "code": fault.code.value}
                self._log.warning("lease_not_renewed", fields)

    async def _write_lease(self, lease: LeaseRow) -> Result[Committed | Conflict, Fault]:
        """Unconditional: the row is only read as a sign of life of the epoch that it names."""
        row = RowWrite(LEASE_TABLE, self._settings.host_id, encode_record(lease))
        return await self._store.commit([], [row], STORE_TIMEOUT_MS)

    def watch(self) -> None:
        """Looks whether the jobs need another owner; called a few times a second."""
        if self.is_draining or self.ownership is not None or self._taking_over:
            return
        if not self._owner.is_row_known:
            return
        row = self._owner.row
        if row is None or row.host_id == self._settings.host_id:
            self._begin_takeover(NO_OWNER if row is None else OWN_EARLIER_LIFE)
            return
        if self.hears_owner() and self._owner.lease_age_ms < RENEWAL_OVERDUE_MS:
            self._watch.reset()
            return
        self._spawn(self._look_at_lease(row))

    def hears_owner(self) -> bool:
        """Whether the owner has been heard just now, on a stream that still stands.

        A process that is killed ends its streams at once; one without power only falls silent.
        """
        row = self._owner.row
        silent_ms = self._owner.silent_ms()
        if row is None or silent_ms is None or silent_ms >= SILENCE_MS:
            return False
        return self._hub.is_connected(row.address, row.port)

    async def _look_at_lease(self, owner: OwnerRow) -> None:
        sent_ms = self._clock.now_ms()
        match await self._store.read(LEASE_TABLE, STORE_TIMEOUT_MS, owner.host_id):
            case Success(Snapshot(rows=rows)):
                if self._clock.now_ms() - sent_ms > PROMPT_READ_MS:
                    self._watch.distrust_renewals(self._clock.now_ms())
                self._judge_lease(owner, rows)
            case Failure(Fault()):
                self._watch.restart(self._clock.now_ms())

    def _judge_lease(self, owner: OwnerRow, rows: tuple[Row, ...]) -> None:
        if self._owner.row is not owner:
            return  # Another owner has followed while its lease was read.
        version = rows[0].version if rows else 0
        lease = decode_lease(rows[0].value) if rows and rows[0].value is not None else None
        renewed_ms: int | None = None
        if lease is not None and lease.epoch == owner.epoch:
            renewed_ms = self._owner.renewed_ms(lease.count)
        stood_ms = self._watch.see(version, self._clock.now_ms(), renewed_ms)
        if lease is not None and lease.is_resigned and lease.epoch == owner.epoch:
            self._begin_takeover(RESIGNED)
        elif stood_ms >= (ADMITTED_LAPSE_MS if self.hears_owner() else LEASE_MS):
            self._begin_takeover("the owner's lease has lapsed")

    def _begin_takeover(self, reason: str) -> None:
        if self._taking_over or self.ownership is not None or self.is_draining:
            return
        self._taking_over = True
        seen_version = self._owner.row_version if self._owner.row is not None else 0
        self._spawn(self._take_over(reason, seen_version))

    async def _take_over(self, reason: str, seen_version: int) -> None:
        try:
            if reason != OWN_EARLIER_LIFE:
                pause_ms = stagger_ms(
                    self._rng.random(), self._settings.cores, self._settings.link_mbps
                )
                await asyncio.sleep(pause_ms / 1000)
            if self.is_draining or self._owner.row_version > seen_version:
                return
            await self._claim(reason, seen_version)
        finally:
            self._taking_over = False

    async def _claim(self, reason: str, seen_version: int) -> None:
        former = self._owner.row
        epoch = former.epoch + 1 if former is not None else 1
        address, port = self._settings.stream_address
        nonce = f"{self._rng.getrandbits(64):016x}"
        owner = OwnerRow(epoch, self._settings.host_id, address, port, nonce)
        outcome = await self._store.commit(
            [RowCondition(OWNER_TABLE, OWNER_KEY, seen_version)],
            [RowWrite(OWNER_TABLE, OWNER_KEY, encode_record(owner))],
            STORE_TIMEOUT_MS,
        )
        match outcome:
            case Success(Committed(version=version)):
                self._own(owner, version, former, reason)
            case Success(Conflict(rows=rows)):
                self.take_rows(rows)
            case Failure(Fault() as fault):
                fields = {"reason": fault.detail, "code": fault.code.value}
                self._log.warning("takeover_failed", fields)

    def _own(self, owner: OwnerRow, version: int, former: OwnerRow | None, reason: str) -> None:
        if self._owner.row_version > version or owner.epoch < self._handover.newest_epoch:
            return  # Somebody else has taken over meanwhile.
        silent_ms = self._owner.silent_ms()
        self._see_owner(owner, version)
        self._row_version = version
        self._renewed_ms = self._clock.now_ms()
        fields = {
            "epoch": owner.epoch,
            "reason": reason,
            "former_owner": former.host_id if former is not None else "",
            "former_owner_silent_ms": silent_ms,
        }
        self._log.decision("took_over", fields)
        is_former_owner_gone = reason in (OWN_EARLIER_LIFE, RESIGNED)
        self.ownership = self._make_ownership(owner, version, is_former_owner_gone)
        self.ownership.start()
        self.renew()
        if former is not None and reason != OWN_EARLIER_LIFE:
            self._spawn(self._ask_former_owner(former, self.ownership))

    async def _ask_former_owner(self, former: OwnerRow, own: Ownership) -> None:
        await self._handover.ask(former, own, lambda: self.ownership is own)

    def serve_lease_query(self, query: LeaseQuery) -> StreamReply:
        """Tells the next owner of the leases that stand, after giving the jobs up."""
        own = self.ownership
        if own is not None and own.epoch < query.epoch:
            self.lose("another node has taken over")
        elif own is not None:
            return StreamReply(ResultCode.STALE_EPOCH, "this node has taken over since")
        return self._handover.answer(query)

    def lose(self, reason: str) -> None:
        """Ends the ownership at once."""
        own = self.ownership
        if own is None:
            return
        self._end(own)
        self._watch.reset()
        self._log.decision("ownership_lost", {"epoch": own.epoch, "reason": reason})

    def _end(self, own: Ownership) -> None:
        self.ownership = None
        leases = own.leases_left()
        own.stop()
        self._handover.note_ended(own.epoch, leases)

    async def resign(self) -> None:
        """Gives the ownership up for another node to take, as in a planned stop."""
        own = self.ownership
        if own is None:
            return
        await own.flush(FLUSH_MS)
        if self.ownership is not own:
            return
        self._end(own)
        lease = LeaseRow(own.epoch, self._lease_count + 1, True)
        outcome = await self._write_lease(lease)
        self._hub.notify_all(OwnerHeartbeat(own.epoch, resigned=True))
        self._log.decision("resigned", {"epoch": own.epoch, "outcome": type(outcome).__name__})
