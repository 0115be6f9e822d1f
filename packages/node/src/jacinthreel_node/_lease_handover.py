"""Hands the remaining times of task leases over from a former owner to the next one.

After a takeover the new owner queries the former owner, with retries until it responds or all its
leases have expired.  A queried process that is still the owner ends its ownership before it
responds, so that it grants no leases after the response.

Invariant: once a process has responded to the owner of an epoch, it doesn't become the owner under
an earlier epoch, even if the store confirms an earlier takeover late (`highest_epoch`).
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from jacinthreel_common import (
    LeaseQuery,
    LeasesLeft,
    OwnerAnnouncement,
    ResultCode,
    StreamReply,
    convert,
    to_plain,
)
from jacinthreel_daemon.plumbing import Clock, EventLog, StreamHub
from jacinthreel_node._executor_exchange import max_lease_validity_ms
from jacinthreel_node._ownership import Ownership
from jacinthreel_node._records import OwnerRow

QUERY_TIMEOUT_MS: Final = 600
QUERY_PAUSE_MS: Final = 500


@dataclass(frozen=True, slots=True)
class _EndedOwnership:
    """The remaining lease times at the moment when this process's ownership ended."""

    epoch: int
    ended_ms: int
    leases: LeasesLeft


class LeaseHandover:
    """Sends and answers lease queries; `longest_ms` is the longest lease that is requested."""

    def __init__(self, hub: StreamHub, clock: Clock, log: EventLog, longest_ms: int) -> None:
        self.highest_epoch = 0
        self._hub = hub
        self._clock = clock
        self._log = log
        self._longest_ms = longest_ms
        self._ended: _EndedOwnership | None = None

    def record_ended_ownership(self, epoch: int, leases: LeasesLeft) -> None:
        """Records that this process's ownership has just ended, with its remaining leases."""
        self._ended = _EndedOwnership(epoch, self._clock.now_ms(), leases)

    async def request_leases(
        self,
        former: OwnerRow,
        ownership: Ownership,
        announcement: OwnerAnnouncement,
        is_current: Callable[[], bool],
    ) -> None:
        """Queries the former owner and applies its response, while `is_current` returns true.

        Also sends it the announcement of the new owner, which it passes on to its peers.
        """
        query = LeaseQuery(former.epoch, ownership.epoch)
        while is_current():
            outcome = await self._hub.call(former.address, former.port, query, QUERY_TIMEOUT_MS)
            reply = outcome.value_or(None)
            if reply is not None and reply.code is ResultCode.OK:
                self._apply_response(ownership, convert(LeasesLeft, reply.body).value_or(None))
                self._hub.notify(former.address, former.port, announcement)
                return
            if self._clock.now_ms() >= ownership.former_leases.latest_end_ms:
                return
            await asyncio.sleep(QUERY_PAUSE_MS / 1000)

    def answer_query(self, query: LeaseQuery) -> StreamReply:
        """Returns the remaining lease times; called only while this process is not the owner.

        If this process was not the owner under the former epoch, it replaced, at the same address,
        the process that was.  That process has stopped, so its leases expire at the latest one full
        lease from now.  What it knew of the owners before it is lost here; the response says so.
        """
        self.highest_epoch = max(self.highest_epoch, query.epoch)
        ended = self._ended
        if ended is None or ended.epoch != query.former_epoch:
            leases = LeasesLeft({}, max_lease_validity_ms(self._longest_ms), False)
            return StreamReply(ResultCode.OK, body=to_plain(leases))
        spent_ms = self._clock.now_ms() - ended.ended_ms
        remaining_ms_by_executor = ended.leases.left_ms_by_executor
        leases = LeasesLeft(
            {
                executor_id: max(0, remaining_ms - spent_ms)
                for executor_id, remaining_ms in remaining_ms_by_executor.items()
            },
            max(0, ended.leases.others_ms - spent_ms),
            ended.leases.covers_earlier_owners,
        )
        return StreamReply(ResultCode.OK, body=to_plain(leases))

    def _apply_response(self, ownership: Ownership, response: LeasesLeft | None) -> None:
        if response is None:
            return
        ownership.former_leases.apply_response(response, self._clock.now_ms())
        fields = {
            "epoch": ownership.epoch,
            "executors": len(response.left_ms_by_executor),
            "longest_ms": max(response.left_ms_by_executor.values(), default=0),
            "others_ms": response.others_ms,
            "covers_earlier_owners": response.covers_earlier_owners,
        }
        self._log.info("former_leases_known", fields)
