"""Applies the reports of relays to the scheduler, and sends what answers them.

A report may be late: what belongs to an earlier slot or contact has no effect.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping

from jacinthreel_node._executor_exchange import max_lease_validity_ms
from jacinthreel_node._executor_link import LinkContext
from jacinthreel_node._relays._messages import (
    Acknowledgement,
    ReportBody,
    SlotLoss,
    SlotReport,
    decode_end,
    decode_running,
    run_id_of,
)
from jacinthreel_node._relays._relay_session import OwnerRelaySession
from jacinthreel_node._relays._relayed_link import RelayedLink, assignment_terms
from jacinthreel_steps import Executor, ExecutorReport, Run, RunState, StartOutcome


class RelayReports:
    """The exchange with the executors in `links_by_executor`, as relays report it.

    `schedule_flush` is called with a session that has something to send.
    """

    def __init__(
        self,
        context: LinkContext,
        links_by_executor: Mapping[str, RelayedLink],
        schedule_flush: Callable[[OwnerRelaySession], None],
    ) -> None:
        self._context = context
        self._links = links_by_executor
        self._schedule_flush = schedule_flush
        self._unacknowledged: dict[str, None] = {}

    def forget(self, executor_id: str) -> None:
        """Forgets the ends of a removed executor that are not acknowledged."""
        self._unacknowledged.pop(executor_id, None)

    def apply(self, session: OwnerRelaySession, body: ReportBody) -> None:
        """Applies a report of a relay in the current session."""
        now_ms = self._context.clock.now_ms()
        for loss in body.losses:
            self._apply_loss(session, loss, now_ms)
        self._apply_outcomes(session, body, now_ms)
        for report in body.reports:
            self._apply_report(session, report, now_ms)
        self._apply_ages(session, body, now_ms)
        for entry in body.fenced:
            link = self._find_link(session, entry.slot)
            if link is not None and link.fence == entry.fence:
                self._context.on_fenced(link.executor_id)
                return
        if body.losses or body.start_results or body.confirmed_stops or body.reports:
            self._context.request_plan()

    def acknowledge_stored(self) -> None:
        """Queues acknowledgements of ends that have been stored."""
        for executor_id in list(self._unacknowledged):
            self._acknowledge(self._links[executor_id])

    def _apply_outcomes(self, session: OwnerRelaySession, body: ReportBody, now_ms: int) -> None:
        scheduler = self._context.scheduler
        for result in body.start_results:
            start = session.starts_by_order.pop(result.order, None)
            if start is not None:
                scheduler.record_start_outcome(start[1], result.outcome, now_ms)
        for order in body.confirmed_stops:
            stop = session.stops_by_order.pop(order, None)
            if stop is not None:
                scheduler.record_stop_confirmation(stop[1], now_ms)

    def _apply_report(self, session: OwnerRelaySession, report: SlotReport, now_ms: int) -> None:
        link = self._find_link(session, report.slot)
        if link is None or report.contact < link.contact:
            return
        if report.contact > link.contact:
            link.end_contact(self._context.lease_limits, report.contact)
        self._allow_for_restart(link, report.incarnation, now_ms)
        running = tuple(decode_running(entry) for entry in report.running)
        ended = tuple(decode_end(entry) for entry in report.ended)
        self._context.scheduler.apply_report(
            link.executor_id,
            ExecutorReport(
                report.incarnation,
                report.sent_ms,
                running,
                ended,
                report.age_ms,
                report.may_omit_ends,
                frozenset(run_id_of(name).task for name in report.unclear_tasks),
            ),
            now_ms,
        )
        if report.ended:
            # The relay may have lost the acknowledgement with the contact that it came in.
            lowest = min(end.sequence for end in report.ended)
            link.acknowledged = min(link.acknowledged, lowest - 1)
            self._acknowledge(link)
        executor = self._find_executor(link.executor_id)
        if executor is None or executor.life.incarnation != report.incarnation:
            return  # The report was taken for one of an earlier life; the relay repeats it.
        if not link.is_reached:
            self._begin_contact(link, session)

    def _begin_contact(self, link: RelayedLink, session: OwnerRelaySession) -> None:
        link.is_reached = True
        self._context.former_leases.record_answer(link.executor_id, self._context.clock.now_ms())
        link.unreached_moves = 0
        link.granted_contact = link.contact
        link.fence = self._context.fences.next()
        # They were checked for the contact before, which may have been with another process.
        link.held_starts.extend(session.take_unsent_starts(link.slot))
        session.grant(link.slot, link.contact, link.fence)
        if link.is_lost_logged:
            link.is_lost_logged = False
            self._context.log("executor_regained", {"executor": link.executor_id})
        held, link.held_starts = link.held_starts, []
        for run in held:
            self.send_start(link, session, run)
        self._schedule_flush(session)

    def _apply_loss(self, session: OwnerRelaySession, loss: SlotLoss, now_ms: int) -> None:
        """Ends a contact: the relay renews no lease of it, and starts nothing, from now on."""
        link = self._find_link(session, loss.slot)
        if link is None or loss.contact < link.contact:
            return
        link.assigned_ms = now_ms if link.is_reached else link.assigned_ms
        link.end_lost_contact(self._context.lease_limits, loss, now_ms)
        if not link.is_lost_logged:
            link.is_lost_logged = True
            self._context.scheduler.record_unreachable(link.executor_id, now_ms)
            fields = {
                "executor": link.executor_id,
                "reason": loss.detail,
                "relay": session.host_id,
            }
            self._context.log("executor_lost", fields)
        executor = self._find_executor(link.executor_id)
        if loss.is_replaced and executor and self._has_assigned_terms(link, executor):
            self._context.scheduler.expire_executor(link.executor_id, "executor replaced", now_ms)

    def _apply_ages(self, session: OwnerRelaySession, body: ReportBody, now_ms: int) -> None:
        """Records the time of the last response of each executor that the relay reaches."""
        stale_age_by_slot = {entry.slot: entry.age_ms for entry in body.stale}
        for slot, executor_id in session.executor_by_slot.items():
            if not self._links[executor_id].is_reached:
                continue
            executor = self._find_executor(executor_id)
            if executor is not None and executor.life.has_reported:
                age_ms = stale_age_by_slot.get(slot, body.age_ms)
                executor.last_report_ms = max(executor.last_report_ms, now_ms - age_ms)

    def send_start(self, link: RelayedLink, session: OwnerRelaySession, run: Run) -> None:
        job = self._context.scheduler.tables.jobs_by_id.get(run.run_id.task.job_id)
        executor = self._find_executor(link.executor_id)
        if job is None or executor is None or run.state is not RunState.STARTING:
            return
        refusal = self._refusal_of_start(executor, run)
        if refusal is not None:
            now_ms = self._context.clock.now_ms()
            self._context.scheduler.record_start_outcome(run, refusal, now_ms)
            return
        run.is_start_sent = True
        session.start(link.slot, run, job.record.spec.payload)

    def _refusal_of_start(self, executor: Executor, run: Run) -> StartOutcome | None:
        """Returns the outcome of a start that must not be sent, None if it may be."""
        if not self._context.may_grant_long():
            return StartOutcome.REFUSED_OTHER  # Another process would grant it the longest lease.
        if executor.is_entry_current and executor.life.incarnation == run.incarnation:
            return None
        return StartOutcome.REFUSED_INCARNATION

    def _allow_for_restart(self, link: RelayedLink, incarnation: int, now_ms: int) -> None:
        """Allows for leases that the relay requested by the clock of an earlier incarnation.

        The restarted executor's clock has begun anew, so that they last for the longest at most.
        """
        executor = self._find_executor(link.executor_id)
        if executor is None or executor.last_incarnation in (None, incarnation):
            return
        longest_ms = max_lease_validity_ms(self._context.lease_limits.longest_ms)
        link.bound_ms = max(link.bound_ms, now_ms + longest_ms)
        link.is_after_restart = True

    def _find_link(self, session: OwnerRelaySession, slot: int) -> RelayedLink | None:
        executor_id = session.executor_by_slot.get(slot)
        return self._links[executor_id] if executor_id is not None else None

    def _acknowledge(self, link: RelayedLink) -> None:
        executor = self._find_executor(link.executor_id)
        if executor is None or link.session is None:
            self._unacknowledged.pop(link.executor_id, None)
            return
        stored_upto = self._context.scheduler.acknowledged_upto(link.executor_id)
        if stored_upto > link.acknowledged:
            link.acknowledged = stored_upto
            incarnation = executor.life.incarnation
            link.session.acknowledge(Acknowledgement(link.slot, incarnation, stored_upto))
            self._schedule_flush(link.session)
        if executor.life.pending_ends:
            self._unacknowledged[link.executor_id] = None
        else:
            self._unacknowledged.pop(link.executor_id, None)

    def _has_assigned_terms(self, link: RelayedLink, executor: Executor) -> bool:
        return assignment_terms(executor, self._context.lease_limits) == link.assigned

    def _find_executor(self, executor_id: str) -> Executor | None:
        return self._context.scheduler.tables.executors_by_id.get(executor_id)
