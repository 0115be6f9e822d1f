"""Chooses how the owner exchanges messages with executors: itself, or through relays.

Relays are used while there are more executors than one host should talk to and at least
`MIN_RELAYS` nodes respond.  A change between the two moves a limited number of executors at a time;
the new link of an executor gets the lease bound of the former one.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Final

from jacinthreel_common import Hello, RelayReport
from jacinthreel_node._executor_link import ExecutorLink, LinkContext
from jacinthreel_node._relays._relay_links import CHECK_PERIOD_MS, RelayLinks, RelayStreams
from jacinthreel_steps import Run, StopOrder

# At 1,000 executors, direct links take the owner 40 % of a core and 2,200 connections.
RELAY_ENTRY_EXECUTORS: Final = 400
RELAY_EXIT_EXECUTORS: Final = 350
MIN_RELAYS: Final = 2
RELAY_WAIT_MS: Final = 3_000  # Without enough relays for this time, executors are linked directly.
RELAY_RETRY_MS: Final = 30_000
MAX_CHANGES_PER_CHECK: Final = 100
TICK_MS: Final = 50


class ExecutorFleet:
    """All links to executors of one ownership.

    `record_relay_use` stores that relays are in use and returns whether it is stored; no permission
    is given before, because the next owner has to allow for it.
    """

    def __init__(
        self,
        context: LinkContext,
        streams: RelayStreams,
        record_relay_use: Callable[[], Awaitable[bool]],
    ) -> None:
        self._context = context
        self._record_relay_use = record_relay_use
        self._direct_links: dict[str, ExecutorLink] = {}
        self.relays = RelayLinks(context, streams)
        self.uses_relays = False
        self._is_use_recorded = False
        self._enough_relays_ms = 0
        self._retry_ms = 0
        self._checked_ms = 0

    @property
    def executor_ids(self) -> list[str]:
        """The ids of all executors with a link."""
        return [*self._direct_links, *self.relays.executor_ids]

    @property
    def direct_count(self) -> int:
        """The number of executors that the owner exchanges messages with itself."""
        return len(self._direct_links)

    @property
    def long_lease_count(self) -> int:
        """The number of direct links whose last lease was longer than the shortest one."""
        return sum(link.has_long_lease for link in self._direct_links.values())

    def begin(self, listed_count: int) -> None:
        """Chooses the links for the executors that are listed when the ownership starts."""
        if listed_count > RELAY_ENTRY_EXECUTORS:
            self._use_relays(listed_count)

    def add(self, executor_id: str) -> None:
        """Adds an executor; a no-op if it has a link."""
        if executor_id in self._direct_links or self.relays.has(executor_id):
            return
        if self.uses_relays:
            self.relays.add(executor_id)
        else:
            self._direct_links[executor_id] = ExecutorLink(self._context, executor_id)

    def remove(self, executor_id: str) -> None:
        """Removes an executor."""
        link = self._direct_links.pop(executor_id, None)
        if link is not None:
            link.close()
        if self.relays.has(executor_id):
            self.relays.remove(executor_id)

    def send(self, order: Run | StopOrder) -> None:
        """Queues a start or a stop; a no-op for an executor without a link."""
        link = self._direct_links.get(order.executor_id)
        if link is not None:
            link.send(order)
        elif self.relays.has(order.executor_id):
            self.relays.send(order)

    def expire_unreachable(self) -> None:
        """Ends the runs of unreachable executors whose leases have expired.

        Relayed executors are checked by `run_timers`.
        """
        for link in list(self._direct_links.values()):
            link.expire_unreachable()

    def lease_ends(self) -> dict[str, int]:
        """Returns the local time by which all leases have certainly ended, by executor."""
        ends = {key: link.lease_end_ms() for key, link in self._direct_links.items()}
        for executor_id in self.relays.executor_ids:
            ends[executor_id] = self.relays.lease_end_ms(executor_id)
        return ends

    def handle_report(self, peer: Hello, message: RelayReport) -> None:
        """Applies a report of a relay."""
        self.relays.handle_report(peer, message)

    def close(self) -> None:
        """Closes all links; no orders are sent afterwards."""
        for link in self._direct_links.values():
            link.close()
        self._direct_links.clear()
        self.relays.close()

    async def run(self) -> None:
        """Runs the timers periodically, until cancelled."""
        while True:
            await asyncio.sleep(TICK_MS / 1000)
            await self.run_timers()

    async def run_timers(self) -> None:
        """Chooses between relays and direct links, and runs the timers of the relays."""
        now_ms = self._context.clock.now_ms()
        if now_ms - self._checked_ms >= CHECK_PERIOD_MS:
            self._checked_ms = now_ms
            self._check_mode(now_ms)
            if self.uses_relays and not self._is_use_recorded:
                self._is_use_recorded = await self._record_relay_use()
        if self._is_use_recorded and (self.uses_relays or self.relays.has_sessions):
            self.relays.run_timers()

    def _check_mode(self, now_ms: int) -> None:
        count = len(self._direct_links) + self.relays.count
        if not self.uses_relays:
            if count > RELAY_ENTRY_EXECUTORS and now_ms >= self._retry_ms:
                self._use_relays(count)
            self._change_to_direct()
            return
        if self.relays.ready_count >= MIN_RELAYS:
            self._enough_relays_ms = now_ms
            self._change_to_relays()
        if count < RELAY_EXIT_EXECUTORS:
            self._use_direct_links(count, "few executors")
        elif now_ms - self._enough_relays_ms >= RELAY_WAIT_MS:
            self._retry_ms = now_ms + RELAY_RETRY_MS
            self._use_direct_links(count, "too few relays")

    def _use_relays(self, count: int) -> None:
        self.uses_relays = True
        self._enough_relays_ms = self._context.clock.now_ms()
        self._context.log("relays_used", {"executors": count})

    def _use_direct_links(self, count: int, reason: str) -> None:
        self.uses_relays = False
        fields = {"executors": count, "reason": reason, "relays": self.relays.ready_count}
        self._context.log("relays_unused", fields)

    def _change_to_relays(self) -> None:
        for executor_id in list(self._direct_links)[:MAX_CHANGES_PER_CHECK]:
            link = self._direct_links.pop(executor_id)
            bound_ms = link.lease_end_ms()
            link.close()
            self.relays.add(executor_id, bound_ms)

    def _change_to_direct(self) -> None:
        for executor_id in self.relays.executor_ids[:MAX_CHANGES_PER_CHECK]:
            bound_ms = self.relays.remove(executor_id)
            self._direct_links[executor_id] = ExecutorLink(self._context, executor_id, bound_ms)
        if not self.relays.count:
            self.relays.close()
