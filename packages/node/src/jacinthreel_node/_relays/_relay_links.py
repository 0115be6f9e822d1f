"""The owner's links to executors through relays; the counterpart of `ExecutorLink`.

Opens a session on each stream to a node and assigns executors to the relays that respond.  Their
reports are applied in `_relay_reports`.  Lease bounds: see docs/design/relays.md.

Invariant: at every moment, `lease_end_ms` of an executor is at or after the time by which all
leases that any relay may have granted there have certainly ended.
"""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from typing import Final, Protocol

from jacinthreel_common import Hello, RelayReport
from jacinthreel_node._executor_link import LinkContext
from jacinthreel_node._lease_expiry import ExpiredLeases, log_expiry
from jacinthreel_node._relays._assignment import (
    AssignedExecutor,
    RelayCandidate,
    assign,
    select_relays,
)
from jacinthreel_node._relays._messages import (
    Assignment,
    decode_report,
)
from jacinthreel_node._relays._relay_reports import RelayReports
from jacinthreel_node._relays._relay_session import (
    RELAY_SILENCE_MS,
    OwnerRelaySession,
    PeerConnection,
)
from jacinthreel_node._relays._relayed_link import RelayedLink, assignment_terms
from jacinthreel_steps import (
    Executor,
    Run,
    StartOutcome,
    StopOrder,
)

CHECK_PERIOD_MS: Final = 250
SETTLE_MS: Final = 300  # Without another relay becoming ready, the first assignment starts.
MAX_SETTLE_MS: Final = 1_000
SETTLED_PER_CHECK: Final = 50
UNREACHED_MOVE_MS: Final = 3_000  # Then another relay tries; doubles up to the maximum.
MAX_UNREACHED_MOVE_MS: Final = 48_000
UNANSWERED_PAUSE_MS: Final = 30_000
RELAY_ROLE: Final = "node"


class RelayStreams(Protocol):
    """The streams of this process to other nodes."""

    def open_connections(self, role: str) -> Sequence[PeerConnection]:
        """Returns all open connections to processes of a role."""


class RelayLinks:
    """All links through relays of one ownership."""

    def __init__(self, context: LinkContext, streams: RelayStreams) -> None:
        self._context = context
        self._streams = streams
        self._sessions: dict[int, OwnerRelaySession] = {}
        self._sessions_by_peer: dict[int, OwnerRelaySession] = {}
        self._links: dict[str, RelayedLink] = {}
        self._unplaced: dict[str, None] = {}
        # Nodes of an earlier version close the connection on a message that they don't support.
        self._paused_until_ms_by_host: dict[str, int] = {}
        self._last_session = 0
        self._last_slot = 0
        self._first_ready_ms: int | None = None
        self._last_ready_ms = 0
        self._is_settled = False
        self._has_placed = False
        self._checked_ms = 0
        self._settled_cursor = 0
        self._sessions_to_flush: dict[int, OwnerRelaySession] = {}
        self._reports = RelayReports(context, self._links, self._schedule_flush)
        self.message_count = 0
        self.report_count = 0

    @property
    def executor_ids(self) -> list[str]:
        """The ids of all executors that are exchanged with through relays."""
        return list(self._links)

    @property
    def count(self) -> int:
        """The number of executors that are exchanged with through relays."""
        return len(self._links)

    @property
    def has_sessions(self) -> bool:
        """Whether there are sessions with relays."""
        return bool(self._sessions)

    def has(self, executor_id: str) -> bool:
        """Whether the executor is exchanged with through relays."""
        return executor_id in self._links

    @property
    def ready_count(self) -> int:
        """The number of relays that respond and don't drain."""
        return sum(
            session.ready_ms is not None and session.carries_fences and not session.is_draining
            for session in self._sessions.values()
        )

    @property
    def assigned_count(self) -> int:
        """The number of executors that are assigned to a relay."""
        return len(self._links) - len(self._unplaced)

    def add(self, executor_id: str, bound_ms: int = 0) -> None:
        """Adds an executor; `bound_ms` is the lease bound of an earlier direct link."""
        if executor_id not in self._links:
            self._links[executor_id] = RelayedLink(executor_id, bound_ms)
            self._unplaced[executor_id] = None

    def remove(self, executor_id: str) -> int:
        """Removes an executor; returns the bound of the leases that its relays may have granted."""
        self._unassign(self._links[executor_id])
        bound_ms = self.lease_end_ms(executor_id)
        del self._links[executor_id]
        self._unplaced.pop(executor_id, None)
        self._reports.forget(executor_id)
        return bound_ms

    def lease_end_ms(self, executor_id: str) -> int:
        """Returns the local time by which all runs have ended if the executor is unreachable."""
        link = self._links[executor_id]
        end_ms = self._listed_end_ms(link)
        executor = self._find_executor(executor_id)
        if executor is None:
            return end_ms
        if not any(map(executor.is_start_doubtful, executor.runs_by_task.values())):
            return end_ms
        limits = self._context.lease_limits
        return max(end_ms, link.doubtful_bound_ms, link.current_doubtful_bound_ms(limits))

    def _listed_end_ms(self, link: RelayedLink) -> int:
        """Returns the local time by which the runs that the last known life listed have ended."""
        former_end_ms = self._context.former_leases.end_ms(link.executor_id)
        return max(former_end_ms, link.bound_ms, link.current_bound_ms(self._context.lease_limits))

    def send(self, order: Run | StopOrder) -> None:
        """Queues a start or a stop; a start waits until the executor's contact is granted."""
        link = self._links[order.executor_id]
        session = link.session
        if isinstance(order, StopOrder):
            if session is not None:
                session.stop(link.slot, order)
                self._schedule_flush(session)
        elif session is None or not link.is_reached:
            if not any(held is order for held in link.held_starts):
                link.held_starts.append(order)
        else:
            self._reports.send_start(link, session, order)
            self._schedule_flush(session)

    def handle_report(self, peer: Hello, message: RelayReport) -> None:
        """Applies a report of a relay; those of earlier sessions and slots have no effect."""
        session = self._sessions_by_peer.get(id(peer))
        if session is None or message.epoch != self._context.epoch:
            return
        body = decode_report(message.body)
        if body is None:
            self._context.log("relay_report_unreadable", {"relay": peer.host_id})
            return
        if body.session != session.number:
            return
        self.report_count += 1
        now_ms = self._context.clock.now_ms()
        if session.ready_ms is None:
            self._last_ready_ms = now_ms
            self._first_ready_ms = self._first_ready_ms or now_ms
        session.record_report(body, now_ms)
        self._reports.apply(session, body)

    def acknowledge_stored(self) -> None:
        """Queues acknowledgements of ends that have been stored."""
        self._reports.acknowledge_stored()

    def run_timers(self) -> None:
        """Checks sessions and links if due, assigns executors, and sends queued orders.

        Called several times for each `CHECK_PERIOD_MS`.
        """
        now_ms = self._context.clock.now_ms()
        if now_ms - self._checked_ms >= CHECK_PERIOD_MS:
            self._checked_ms = now_ms
            self._check_sessions(now_ms)
            self._check_links(now_ms)
        elif not self._is_settled:
            self._check_sessions(now_ms)
        self._assign_executors(now_ms)
        for session in self._sessions.values():
            self._flush(session)

    def close(self) -> None:
        """Drops all sessions; nothing is sent afterwards."""
        self._sessions.clear()
        self._sessions_to_flush.clear()
        self._sessions_by_peer.clear()

    def _check_sessions(self, now_ms: int) -> None:
        for session in list(self._sessions.values()):
            if session.is_lost(now_ms):
                self._end_session(session)
        for connection in self._streams.open_connections(RELAY_ROLE):
            if connection.peer is None or id(connection.peer) in self._sessions_by_peer:
                continue
            if now_ms >= self._paused_until_ms_by_host.get(connection.peer.host_id, now_ms):
                self._last_session += 1
                session = OwnerRelaySession(
                    self._last_session, self._context.epoch, connection, now_ms
                )
                self._sessions[session.number] = session
                self._sessions_by_peer[id(connection.peer)] = session

    def _end_session(self, session: OwnerRelaySession) -> None:
        del self._sessions[session.number]
        del self._sessions_by_peer[id(session.connection.peer)]
        executor_ids = list(session.executor_by_slot.values())
        for executor_id in executor_ids:
            self._unassign(self._links[executor_id])
        if session.ready_ms is None:
            until_ms = self._context.clock.now_ms() + UNANSWERED_PAUSE_MS
            self._paused_until_ms_by_host[session.host_id] = until_ms
        else:
            fields = {
                "relay": session.host_id,
                "executors": len(executor_ids),
                "connected": session.connection.is_open,
            }
            self._context.log("relay_lost", fields)

    def _check_links(self, now_ms: int) -> None:
        """Expires runs whose leases have ended, and replaces slots of changed listings."""
        ready_count = self.ready_count
        for link in list(self._links.values()):
            executor = self._find_executor(link.executor_id)
            if executor is None:
                self.remove(link.executor_id)
                continue
            if not link.is_reached and (executor.runs_by_task or not executor.is_listed):
                self._expire_if_due(link, executor, now_ms)
            session = link.session
            if session is None:
                continue
            if assignment_terms(executor, self._context.lease_limits) != link.assigned:
                self._unassign(link)
                self._assign(link, session, executor, now_ms)
            elif not link.is_reached and ready_count >= 2:
                self._release_unreached(link, session, now_ms)

    def _expire_if_due(self, link: RelayedLink, executor: Executor, now_ms: int) -> None:
        """Ends the runs whose leases have ended; those with a doubtful start end later."""
        if now_ms < self._listed_end_ms(link):
            return
        scheduler = self._context.scheduler
        if now_ms >= self.lease_end_ms(link.executor_id):
            self._log_expiry(link, executor, now_ms)
            scheduler.expire_executor(link.executor_id, "lease expired", now_ms)
        elif not all(map(executor.is_start_doubtful, executor.runs_by_task.values())):
            self._log_expiry(link, executor, now_ms)
            scheduler.expire_listed_runs(link.executor_id, "lease expired", now_ms)
        else:
            return
        self._context.request_plan()

    def _log_expiry(self, link: RelayedLink, executor: Executor, now_ms: int) -> None:
        own_end_ms = link.current_bound_ms(self._context.lease_limits)
        expired = ExpiredLeases(executor, own_end_ms, link.bound_ms)
        log_expiry(expired, self._context.former_leases, now_ms, self._context.log)

    def _release_unreached(
        self, link: RelayedLink, session: OwnerRelaySession, now_ms: int
    ) -> None:
        """Moves an executor away from a relay that doesn't reach it for some time."""
        limit_ms = min(UNREACHED_MOVE_MS * 2**link.unreached_moves, MAX_UNREACHED_MOVE_MS)
        if now_ms - link.assigned_ms < limit_ms:
            return
        link.unreached_moves = min(link.unreached_moves + 1, 10)
        link.avoided_host = session.host_id
        self._unassign(link)

    def _assign_executors(self, now_ms: int) -> None:
        """Assigns executors without a relay, those of draining ones, and a few to better ones."""
        if not self._may_assign(now_ms):
            return
        draining = [
            link
            for session in self._sessions.values()
            if session.is_draining
            for link in map(self._links.__getitem__, session.executor_by_slot.values())
        ]
        unplaced = [self._links[executor_id] for executor_id in self._unplaced] + draining
        is_check_due = now_ms == self._checked_ms
        if not is_check_due and not (unplaced and self._has_placed):
            return
        relays = self._select_relays(now_ms)
        if not relays:
            return
        settled = self._next_settled() if is_check_due else []
        moves = assign(
            map(self._make_entry, unplaced), map(self._make_entry, settled), relays, now_ms
        )
        self._has_placed = bool(moves.session_by_executor)
        for executor_id, number in moves.session_by_executor.items():
            link = self._links[executor_id]
            executor = self._find_executor(executor_id)
            if executor is None:
                continue
            self._unassign(link)
            self._assign(link, self._sessions[number], executor, now_ms)
        if moves.session_by_executor:
            fields = {
                "assigned": len(moves.session_by_executor),
                "rebalanced": moves.moved,
                "unassigned": len(self._unplaced),
                "relays": len(relays),
            }
            self._context.log("relays_assigned", fields)

    def _may_assign(self, now_ms: int) -> bool:
        """Whether the number of ready relays has settled since the start of the ownership."""
        if self._is_settled:
            return True
        if self._first_ready_ms is None:
            return False
        self._is_settled = (
            now_ms - self._last_ready_ms >= SETTLE_MS
            or now_ms - self._first_ready_ms >= MAX_SETTLE_MS
        )
        return self._is_settled

    def _select_relays(self, now_ms: int) -> list[RelayCandidate]:
        candidates = [
            RelayCandidate(
                session.number,
                session.host_id,
                session.zone,
                session.weight,
                session.max_executors,
                session.ready_ms,
                session.is_draining,
                len(session.executor_by_slot),
            )
            for session in self._sessions.values()
            if session.ready_ms is not None
            and session.carries_fences
            and now_ms - session.last_report_ms <= RELAY_SILENCE_MS
        ]
        count_by_zone: dict[str, int] = {}
        for executor_id in self._links:
            executor = self._find_executor(executor_id)
            if executor is not None:
                zone = executor.listing.zone
                count_by_zone[zone] = count_by_zone.get(zone, 0) + 1
        return select_relays(candidates, count_by_zone)

    def _next_settled(self) -> list[RelayedLink]:
        """Returns the next few assigned executors to compare with other relays, in turn."""
        links = list(self._links.values())
        start = self._settled_cursor % max(1, len(links))
        self._settled_cursor = start + SETTLED_PER_CHECK
        window = links[start : start + SETTLED_PER_CHECK]
        return [link for link in window if link.session is not None and link.is_reached]

    def _make_entry(self, link: RelayedLink) -> AssignedExecutor:
        executor = self._find_executor(link.executor_id)
        zone = executor.listing.zone if executor is not None else ""
        number = link.session.number if link.session is not None else None
        return AssignedExecutor(link.executor_id, zone, number, link.avoided_host)

    def _assign(
        self, link: RelayedLink, session: OwnerRelaySession, executor: Executor, now_ms: int
    ) -> None:
        self._last_slot += 1
        link.session = session
        link.slot = self._last_slot
        link.fence = self._context.fences.next()
        link.begin_contact(1)
        link.assigned = assignment_terms(executor, self._context.lease_limits)
        link.assigned_ms = now_ms
        address, incarnation, lease_ms = link.assigned
        session.assign(
            Assignment(link.slot, link.executor_id, address, incarnation, lease_ms, link.fence)
        )
        self._unplaced.pop(link.executor_id, None)

    def _unassign(self, link: RelayedLink) -> None:
        """Ends the current slot; starts without an outcome count as unanswered."""
        session = link.session
        if session is None:
            return
        link.end_contact(self._context.lease_limits, 1)
        link.session = None
        self._unplaced[link.executor_id] = None
        now_ms = self._context.clock.now_ms()
        for run in session.drop(link.slot):
            self._context.scheduler.record_start_outcome(run, StartOutcome.UNKNOWN, now_ms)
        self._context.request_plan()

    def _schedule_flush(self, session: OwnerRelaySession) -> None:
        """Sends queued orders in the next iteration of the event loop, grouped by relay."""
        if not self._sessions_to_flush:
            asyncio.get_running_loop().call_soon(self._flush_queued)
        self._sessions_to_flush[session.number] = session

    def _flush_queued(self) -> None:
        sessions, self._sessions_to_flush = self._sessions_to_flush, {}
        for session in sessions.values():
            if session.number in self._sessions:
                self._flush(session)

    def _flush(self, session: OwnerRelaySession) -> None:
        """Sends what is due; whether this process may send orders is checked for each message."""
        now_ms = self._context.clock.now_ms()
        self.message_count += session.flush(now_ms, self._context.may_order())

    def _find_executor(self, executor_id: str) -> Executor | None:
        return self._context.scheduler.tables.executors_by_id.get(executor_id)
