"""What an owner tells the next one of the leases that it gave.

Phases: after a takeover the new owner asks the former one, again and again, until it answers or its
leases have lapsed anyway.  The one that is asked gives the jobs up first, if it hasn't noticed yet,
so that its answer holds for good.

Invariant: once a process has answered the owner of an epoch, it owns the jobs under no earlier one,
not even by a takeover whose answer comes late (`newest_epoch`).
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from jacinthreel_common import (
    LeaseQuery,
    LeasesLeft,
    ResultCode,
    StreamReply,
    convert,
    to_plain,
)
from jacinthreel_daemon.plumbing import Clock, EventLog, StreamHub
from jacinthreel_node._ownership import Ownership, longest_lease_ms
from jacinthreel_node._records import OwnerRow

QUERY_TIMEOUT_MS: Final = 600
QUERY_PAUSE_MS: Final = 500


@dataclass(frozen=True, slots=True)
class _EndedOwnership:
    """What this process knew of leases when it ceased to own the jobs."""

    epoch: int
    ended_ms: int
    leases: LeasesLeft


class LeaseHandover:
    """Asks and answers for one process; `task_lease_ms` is the longest lease that is given."""

    def __init__(self, hub: StreamHub, clock: Clock, log: EventLog, task_lease_ms: int) -> None:
        self.newest_epoch = 0
        self._hub = hub
        self._clock = clock
        self._log = log
        self._task_lease_ms = task_lease_ms
        self._ended: _EndedOwnership | None = None

    def note_ended(self, epoch: int, leases: LeasesLeft) -> None:
        """Takes note that this process has just ceased to own the jobs."""
        self._ended = _EndedOwnership(epoch, self._clock.now_ms(), leases)

    async def ask(self, former: OwnerRow, own: Ownership, is_current: Callable[[], bool]) -> None:
        """Asks the former owner on behalf of `own`, as long as that is current."""
        query = LeaseQuery(former.epoch, own.epoch)
        while is_current():
            reply = await self._hub.call(former.address, former.port, query, QUERY_TIMEOUT_MS)
            answered = reply.value_or(None)
            if answered is not None and answered.code is ResultCode.OK:
                self._take(own, convert(LeasesLeft, answered.body).value_or(None))
                return
            if self._clock.now_ms() >= own.former_leases.latest_end_ms:
                return
            await asyncio.sleep(QUERY_PAUSE_MS / 1000)

    def answer(self, query: LeaseQuery) -> StreamReply:
        """Tells of the leases that stand; this process owns the jobs no more.

        A process that has not owned them under the former epoch has followed one that did, at the
        same address: that one is gone, and what it gave lapses from now on at the latest.
        """
        self.newest_epoch = max(self.newest_epoch, query.epoch)
        ended = self._ended
        if ended is None or ended.epoch != query.former_epoch:
            leases = LeasesLeft({}, longest_lease_ms(self._task_lease_ms))
            return StreamReply(ResultCode.OK, body=to_plain(leases))
        spent_ms = self._clock.now_ms() - ended.ended_ms
        left = ended.leases.left_ms_by_executor
        leases = LeasesLeft(
            {key: max(0, left_ms - spent_ms) for key, left_ms in left.items()},
            max(0, ended.leases.others_ms - spent_ms),
        )
        return StreamReply(ResultCode.OK, body=to_plain(leases))

    def _take(self, own: Ownership, answer: LeasesLeft | None) -> None:
        if answer is None:
            return
        own.former_leases.take(answer, self._clock.now_ms())
        fields = {
            "epoch": own.epoch,
            "executors": len(answer.left_ms_by_executor),
            "longest_ms": max(answer.left_ms_by_executor.values(), default=0),
            "others_ms": answer.others_ms,
        }
        self._log.decision("former_leases_known", fields)
