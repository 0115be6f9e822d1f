"""Clock, lease and acknowledgement rules of the exchange with one executor.

Used where the owner exchanges messages with an executor itself, and by relays.  The rules and their
reasons are in docs/design/executor-lives.md.

Clocks: a lease ends at a time on the executor's clock, which may run slow by up to
`CLOCK_SLOWNESS`.  Each response gives a lower bound for the executor's clock, and lease end times
are computed from this bound.  All runs on an unreachable executor have ended once its clock must
have passed the latest lease end that was sent to it.  For this bound to stay fixed, the requests
that follow one without an answer, a report request or a start, don't renew leases until the next
response.  Leases vary in length (`choose_lease`), so the first
renewal doesn't cover what an earlier owner has granted; that is bounded separately, by the longest
lease after the first response.

Acknowledgements: a restarted executor numbers the ends of its runs from 1 again.  If it carried out
an acknowledgement meant for the earlier process, it could discard ends that the owner has not read.
It has none before its first run, and refuses the calls of earlier contacts after the first one of
its own.  So an acknowledgement and a start are never on their way at the same time, nothing is
acknowledged while another process may have answered a start, and after an unanswered one nothing
before the next contact.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Final

from jacinthreel_node._ports import ReportResponse
from jacinthreel_steps import RunId, StartOutcome

CLOCK_SLOWNESS: Final = 0.02
LEASE_MARGIN_MS: Final = 200


def max_lease_validity_ms(lease_ms: int) -> int:
    """Returns the longest time, on the local clock, for which a lease granted now may be valid.

    `lease_ms` is the duration of the lease on the executor's clock, which may run slow.
    """
    return int(lease_ms / (1 - CLOCK_SLOWNESS)) + LEASE_MARGIN_MS


@dataclass(slots=True)
class ExecutorClock:
    """A reading of an executor's clock, the local time of the reading, and the latest lease end.

    `lease_until_ms` is the latest lease end that was sent, on the executor's clock.
    """

    executor_time_ms: int = 0
    local_time_ms: int | None = None
    lease_until_ms: int = 0

    def record_reading(self, executor_time_ms: int, local_time_ms: int) -> None:
        """Records the clock reading of a response that arrived at `local_time_ms`."""
        self.executor_time_ms = executor_time_ms
        self.local_time_ms = local_time_ms

    def earliest_time_ms(self, now_ms: int) -> int | None:
        """Returns a lower bound for the executor's clock now, or None before the first reading."""
        if self.local_time_ms is None:
            return None
        return self.executor_time_ms + int((now_ms - self.local_time_ms) * (1 - CLOCK_SLOWNESS))

    def lease_end_ms(self, default_ms: int) -> int:
        """Returns the local time by which the latest lease has certainly ended.

        It is that of the process whose clock was read; `default_ms` before the first reading.
        """
        if self.local_time_ms is None:
            return default_ms
        remaining_ms = max(0, self.lease_until_ms - self.executor_time_ms)
        return self.local_time_ms + int(remaining_ms / (1 - CLOCK_SLOWNESS)) + LEASE_MARGIN_MS


@dataclass(slots=True)
class Contact:
    """What is known from, and was sent in, one contact with one process of an executor.

    It begins with a response and is replaced by one of another process, or by the first one after
    a call without an answer.  `fence` is None until it is granted: until then no lease, start or
    acknowledgement may be sent.  `follows_other_process` is set if the last response before it was
    of another process, and `is_confirmed` once a request with its fence was answered.
    `listed_incarnation` is that of the registry entry when the last answered report was requested.
    `acknowledged_upto` is the highest end that was acknowledged with an answer.
    `has_unanswered_start` is set once a start got no answer, and `lease_sent_ms` is the latest
    time, on the local clock, at which a call with a lease was sent.
    """

    incarnation: int
    follows_other_process: bool
    fence: int | None = None
    is_confirmed: bool = False
    listed_incarnation: int | None = None
    acknowledged_upto: int = 0
    has_unanswered_start: bool = False
    lease_sent_ms: int | None = None
    clock: ExecutorClock = field(default_factory=ExecutorClock)
    _unlisted_starts: dict[RunId, int] = field(default_factory=dict)
    _lowest_end: int | None = None
    _highest_end: int = 0

    def record_response(self, response: ReportResponse, sent_ms: int, now_ms: int) -> bool:
        """Records a response to a request sent at `sent_ms`; returns whether it lists new ends."""
        self.clock.record_reading(response.clock_ms, now_ms)
        for run in response.running:
            self._unlisted_starts.pop(run.run_id, None)
        for end in response.ended:
            self._unlisted_starts.pop(end.run_id, None)
        # What was answered before the request was sent was answered by the same process.
        for run_id, known_ms in list(self._unlisted_starts.items()):
            if known_ms < sent_ms:
                del self._unlisted_starts[run_id]
        numbers = [end.sequence for end in response.ended]
        self._lowest_end = min(numbers, default=None)
        has_new_ends = max(numbers, default=0) > self._highest_end
        self._highest_end = max(numbers, default=self._highest_end)
        return has_new_ends

    @property
    def has_unlisted_start(self) -> bool:
        """Whether another process may have started a run, as no response has shown otherwise."""
        return bool(self._unlisted_starts)

    @property
    def lists_ends(self) -> bool:
        """Whether the last response lists ends."""
        return self._lowest_end is not None

    def due_acknowledgement(self, stored_upto: int) -> int:
        """Returns the highest end that the executor may discard, if all up to `stored_upto` are.

        The result is 0 if it lists none of them, or may not be told in this contact any more.
        """
        if self.fence is None or self.has_unanswered_start:
            return 0
        if self._lowest_end is None or self._lowest_end > stored_upto:
            return 0
        return min(stored_upto, self._highest_end)

    def extend_lease(self, lease_ms: int, now_ms: int) -> int | None:
        """Returns the lease end to request, on the executor's clock; None before the grant.

        The caller must send it: it counts as granted from here on.  After an unanswered start it is
        the latest one that was sent, so that repeated starts don't prolong the wait for its end.
        """
        clock_ms = self.clock.earliest_time_ms(now_ms)
        if clock_ms is None or self.fence is None:
            return None
        self.lease_sent_ms = now_ms
        if self.has_unanswered_start:
            return self.clock.lease_until_ms
        until_ms = clock_ms + lease_ms
        self.clock.lease_until_ms = max(self.clock.lease_until_ms, until_ms)
        return until_ms

    def record_start(self, run_id: RunId, now_ms: int) -> None:
        """Records that a start with a lease is sent, or was answered."""
        self._unlisted_starts[run_id] = self.lease_sent_ms = now_ms

    def record_refused_start(self, run_id: RunId) -> None:
        """Records that a start was refused: no process has started the run."""
        self._unlisted_starts.pop(run_id, None)


class ExecutorExchange:
    """The exchange with one executor, over all its contacts.

    `fence` is the one of its requests: that of the contact, and until that is granted the one of
    the contact before, or the given one.  `incarnation` is that of the last response, None before.
    `is_acknowledging` is set while an acknowledgement is on its way, or is due and waits for the
    starts that are.
    """

    def __init__(self, fence: int, incarnation: int | None = None) -> None:
        self.fence = fence
        self.contact: Contact | None = None
        self.incarnation = incarnation
        self.is_unreachable = False
        self.is_acknowledging = False
        self._starts_on_way = 0
        self._earlier_end_ms: int | None = None
        self._lease_sent_ms: int | None = None
        self._last_response_ms = 0

    def record_response(self, response: ReportResponse, sent_ms: int, now_ms: int) -> bool | None:
        """Records a response to a request sent at `sent_ms`; returns whether it brings news.

        Returns None, and does nothing, if it may be of an earlier process: it is of another one
        than the last response, and was requested before that had arrived.  Begins a contact if
        there is none with this process, or if a start got no answer in the current one.
        """
        incarnation = response.incarnation
        is_other = self.incarnation not in (None, incarnation)
        if is_other and sent_ms < self._last_response_ms:
            return None
        contact = self.contact
        begins = contact is None or is_other or contact.has_unanswered_start
        if contact is None or begins:
            self.end_contact()
            contact = self.contact = Contact(incarnation, is_other)
        self.incarnation = incarnation
        self._last_response_ms = now_ms
        self.is_unreachable = False
        return contact.record_response(response, sent_ms, now_ms) or begins

    def grant(self, fence: int) -> None:
        """Allows leases, starts and acknowledgements in the current contact."""
        assert self.contact is not None
        self.fence = self.contact.fence = fence

    def end_contact(self) -> None:
        """Ends the contact; the bound of its leases is kept."""
        contact, self.contact = self.contact, None
        if contact is None:
            return
        self._earlier_end_ms = max(self._earlier_end_ms or 0, contact.clock.lease_end_ms(0))
        if contact.lease_sent_ms is not None:
            self._lease_sent_ms = max(self._lease_sent_ms or 0, contact.lease_sent_ms)

    def record_failure(self) -> bool:
        """Records a report request without a usable response; returns whether it is the first."""
        is_first = not self.is_unreachable
        self.is_unreachable = True
        self.end_contact()
        return is_first

    def record_lease_unanswered(self, now_ms: int) -> None:
        """Records that a report request with a lease was given up without an answer.

        Until now another process may have carried it out, for runs that it had started meanwhile.
        """
        self._lease_sent_ms = max(self._lease_sent_ms or 0, now_ms)

    @property
    def may_start(self) -> bool:
        """Whether a start may be sent now."""
        is_granted = self.contact is not None and self.contact.fence is not None
        return is_granted and not self.is_acknowledging

    @property
    def has_starts_on_way(self) -> bool:
        """Whether starts are on their way, in this contact or in an earlier one."""
        return self._starts_on_way > 0

    @property
    def may_acknowledge(self) -> bool:
        """Whether another process can have no ends that an acknowledgement would discard."""
        contact = self.contact
        if contact is None or contact.fence is None or contact.has_unanswered_start:
            return False
        return not self.has_starts_on_way and not contact.has_unlisted_start

    def record_start_sent(self, run_id: RunId, now_ms: int) -> Contact:
        """Records that a start is sent; returns its contact, for `record_start_result`."""
        assert self.contact is not None
        self._starts_on_way += 1
        self.contact.record_start(run_id, now_ms)
        return self.contact

    def record_start_result(
        self, contact: Contact, run_id: RunId, outcome: StartOutcome, now_ms: int
    ) -> None:
        """Records that a start was answered, or given up: no answer comes any more.

        Without an answer no lease is extended and nothing acknowledged before the next contact.
        """
        self._starts_on_way -= 1
        match outcome:
            case StartOutcome.STARTED:
                contact.record_start(run_id, now_ms)
            case StartOutcome.UNKNOWN:
                contact.record_start(run_id, now_ms)
                contact.has_unanswered_start = True
            case _:
                contact.record_refused_start(run_id)
        if contact is not self.contact and contact.lease_sent_ms is not None:
            self._lease_sent_ms = max(self._lease_sent_ms or 0, contact.lease_sent_ms)

    def lease_end_ms(self, default_ms: int) -> int:
        """Returns the local time by which the leases of all contacts have certainly ended.

        That holds for the processes that they were meant for; `default_ms` before any contact.
        """
        if self.contact is None:
            return default_ms if self._earlier_end_ms is None else self._earlier_end_ms
        return max(self._earlier_end_ms or 0, self.contact.clock.lease_end_ms(default_ms))

    @property
    def lease_sent_ms(self) -> int | None:
        """The latest local time at which a call with a lease was sent, None before the first.

        It is that of the answer, or of the time-out, of a start and of an unanswered request.
        """
        current_ms = self.contact.lease_sent_ms if self.contact is not None else None
        times = [time_ms for time_ms in (self._lease_sent_ms, current_ms) if time_ms is not None]
        return max(times, default=None)

    def response_age_ms(self, now_ms: int) -> int:
        """Returns the time since the last response."""
        return now_ms - self._last_response_ms
