"""The state machine of one request router process.

`RequestRouter.handle` takes an event and the current time and returns effects.  It does no I/O and
reads no clock, so the daemon, the tests and the benchmarks all drive the same code.

Lifecycle of a request: it is admitted or refused on arrival; if it is non-idempotent and the
caller supplied its id, the id is claimed in the table service; it is queued by deadline, sent to
an executor with free capacity, and answered.  If an attempt provably did not run, the request
returns to the queue.  If an attempt may have run, the request is retried only if it is idempotent
and the retry budget allows it.

Invariants:

- Each `RequestArrived` gets exactly one `Answer`, unless the caller disconnects first.  It is
  returned by the same call of `handle` that decides the outcome, so an aborted request is answered
  without delay.
- The outcome is `NotRun` only if no attempt may have run: every attempt so far ended as `Refused`
  or `NotSent`, and none is in flight.
- A non-idempotent request has at most one attempt that may have run.  A request that requires a
  claim has an attempt only while its claim is held.
- The answer of an attempt, however late, is delivered only to the call that the attempt was made
  for.
- A `Dispatch` never names an executor that is out of service in this router's state.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Collection
from typing import Final

from jacinthreel_common import Config, ResultCode
from jacinthreel_requests._admission import Admission, RouterLoad
from jacinthreel_requests._claims import ClaimDecision, ClaimDenied, ClaimGranted, ClaimTracker
from jacinthreel_requests._decision_lines import (
    answer_line,
    health_line,
    refusal_line,
    route_line,
)
from jacinthreel_requests._effects import (
    Answer,
    Answered,
    Dispatch,
    Effect,
    NotRun,
    Outcome,
    Unknown,
)
from jacinthreel_requests._events import (
    AttemptEnded,
    CallerDisconnected,
    ConfigApplied,
    DrainStarted,
    Event,
    HostsListed,
    Lost,
    NotSent,
    PeerInFlight,
    Refused,
    RequestArrived,
    RowRead,
    Tick,
    WholeAnswer,
    WriteDone,
)
from jacinthreel_requests._executor_choice import (
    Choice,
    choose_executor,
    find_available_executors,
    find_executors_in_service,
)
from jacinthreel_requests._executor_updates import (
    FULL_EXECUTOR_BACKOFF_MS,
    apply_host_list,
    record_attempt_result,
    record_peer_notice,
    remove_unlisted,
)
from jacinthreel_requests._health import STALLED_REASON, update_health
from jacinthreel_requests._queue import DeadlineQueue
from jacinthreel_requests._retry_budget import RetryBudget
from jacinthreel_requests._tables import (
    AttemptEntry,
    ExecutorEntry,
    ExecutorHealth,
    RequestEntry,
    RequestState,
    Tables,
)

MAX_FAILED_ATTEMPTS: Final = 3
QUEUE_SCAN_LIMIT: Final = 8  # Requests tried in turn, as some may not use an executor on trial.
HEALTH_PERIOD_MS: Final = 250
NO_EXECUTOR_GRACE_MS: Final = 1_000
NOT_READY_RETRY_MS: Final = 1_000
TICK_MS: Final = 250


class RequestRouter:
    """Routes the requests of one router process; `boot_id` is unique to each process start."""

    def __init__(self, host_id: str, zone: str, boot_id: str, rng: random.Random) -> None:
        self.tables = Tables()
        self.queue = DeadlineQueue()
        self.claims = ClaimTracker(host_id, boot_id, rng)
        self.config: Config | None = None
        self.draining = False
        self._host_id = host_id
        self._zone = zone
        self._rng = rng
        self._retry_budget = RetryBudget()
        self._admission = Admission(rng)
        self._deadlines: list[tuple[int, int]] = []
        self._next_attempt_id = 1
        self._next_health_ms = 0
        self._last_in_service_ms: int | None = None
        self._effects: list[Effect] = []

    def handle(self, event: Event, now_ms: int) -> list[Effect]:
        """Applies an event and returns the effects to carry out, in order."""
        self._effects = []
        match event:
            case RequestArrived():
                self._on_arrival(event, now_ms)
            case CallerDisconnected():
                self._on_caller_disconnected(event, now_ms)
            case AttemptEnded():
                self._on_attempt_ended(event, now_ms)
            case ConfigApplied():
                self.config = event.config
            case HostsListed():
                apply_host_list(self.tables, event.hosts)
            case PeerInFlight():
                record_peer_notice(self.tables, event, now_ms)
            case DrainStarted():
                self.draining = True
            case WriteDone():
                self._apply_claim_result(self.claims.on_write_done(event, now_ms), now_ms)
            case RowRead():
                self._apply_claim_result(self.claims.on_row_read(event, now_ms), now_ms)
            case Tick():
                self._on_tick(now_ms)
        self._expire_deadlines(now_ms)
        self._dispatch_queue(now_ms)
        if not len(self.queue):
            self._admission.last_empty_ms = now_ms
        return self._effects

    def next_due_ms(self, now_ms: int) -> int:
        """Returns the latest time at which the next `Tick` must be delivered."""
        due_ms = now_ms + TICK_MS
        if self._deadlines:
            due_ms = min(due_ms, self._deadlines[0][0])
        if len(self.queue):
            due_ms = min(due_ms, now_ms + FULL_EXECUTOR_BACKOFF_MS)
        claims_due_ms = self.claims.next_due_ms()
        if claims_due_ms is not None:
            due_ms = min(due_ms, claims_due_ms)
        return max(now_ms + 1, due_ms)

    def in_flight_by_executor(self) -> dict[str, int]:
        """Returns the number of requests in flight by executor; omits executors with none."""
        return {
            executor.executor_id: executor.in_flight
            for executor in self.tables.executors_by_id.values()
            if executor.in_flight
        }

    def count_queued(self) -> int:
        """Returns the number of queued requests."""
        return len(self.queue)

    def is_idle(self) -> bool:
        """Returns whether no admitted request is left and no claim write is outstanding."""
        return not self.tables.requests_by_call_id and not self.claims.count_outstanding_writes()

    # New requests.

    def _on_arrival(self, event: RequestArrived, now_ms: int) -> None:
        refusal = self._find_refusal(event, now_ms)
        if refusal is not None:
            queued = len(self.queue)
            line = refusal_line(event, refusal.code, refusal.detail, self.config, queued)
            self._effects.append(line)
            self._effects.append(Answer(event.call_id, refusal))
            return
        assert self.config is not None
        entry = RequestEntry(
            event.call_id,
            event.workspace,
            event.request_id,
            event.idempotent,
            event.requires_claim,
            now_ms,
            event.deadline_ms,
            event.body_hash,
        )
        self.tables.requests_by_call_id[entry.call_id] = entry
        heapq.heappush(self._deadlines, (entry.deadline_ms, entry.call_id))
        self._retry_budget.deposit(self.config.settings.retry_budget_ratio)
        if entry.requires_claim:
            entry.state = RequestState.CLAIMING
            self._effects.extend(self.claims.begin(entry, event.unix_ms))
            return
        self.queue.add(entry)

    def _find_refusal(self, event: RequestArrived, now_ms: int) -> NotRun | None:
        """Returns the refusal of a new request, or None if it is admitted."""
        if self.draining:
            return NotRun(ResultCode.SHUTTING_DOWN, "this host is stopping", NOT_READY_RETRY_MS)
        if self.config is None:
            return NotRun(
                ResultCode.NO_CONFIG, "this host has no configuration yet", NOT_READY_RETRY_MS
            )
        if event.workspace not in self.config.workspaces:
            detail = f"there is no workspace {event.workspace!r}"
            return NotRun(ResultCode.UNKNOWN_WORKSPACE, detail)
        if not self._find_executors_in_service(now_ms):
            return self._no_executor_refusal()
        in_flight = len(self.tables.attempts_by_id)
        load = RouterLoad(self._count_unsent(), self.config.settings.request_queue, in_flight)
        return self._admission.check(self.queue, load, event.deadline_ms, now_ms)

    def _apply_claim_result(
        self, result: tuple[ClaimDecision | None, list[Effect]], now_ms: int
    ) -> None:
        decision, effects = result
        self._effects.extend(effects)
        if decision is None:
            return
        entry = self.tables.requests_by_call_id.get(decision.call_id)
        if entry is None:
            return
        match decision:
            case ClaimGranted():
                entry.state = RequestState.QUEUED
                self.queue.add(entry)
            case ClaimDenied():
                self._answer_and_remove(entry, decision.outcome, "claim denied", now_ms)

    def _on_caller_disconnected(self, event: CallerDisconnected, now_ms: int) -> None:
        entry = self.tables.requests_by_call_id.get(event.call_id)
        if entry is None or entry.answered:
            return
        entry.answered = True
        if entry.state is not RequestState.IN_FLIGHT:
            self._remove_request(entry, now_ms)

    # Attempts.

    def _dispatch_queue(self, now_ms: int) -> None:
        """Dispatches queued requests in order of deadline while executors have capacity."""
        while len(self.queue):
            available = find_available_executors(self.tables, self._zones_out(), now_ms)
            if not available:
                return
            for entry in self.queue.peek_first(QUEUE_SCAN_LIMIT):
                choice = choose_executor(
                    self.tables, entry, available, self._zone, self._rng, now_ms
                )
                if choice is not None:
                    self._dispatch(entry, choice, now_ms)
                    break
            else:
                return

    def _dispatch(self, entry: RequestEntry, choice: Choice, now_ms: int) -> None:
        executor = choice.executor
        self.queue.remove(entry)
        entry.state = RequestState.IN_FLIGHT
        entry.attempts += 1
        executor.in_flight += 1
        attempt = AttemptEntry(self._next_attempt_id, entry.call_id, executor.executor_id, now_ms)
        self._next_attempt_id += 1
        self.tables.attempts_by_id[attempt.attempt_id] = attempt
        if executor.health is ExecutorHealth.TRIAL:
            executor.trial_attempt_id = attempt.attempt_id
        self._effects.append(
            Dispatch(
                attempt.attempt_id,
                entry.call_id,
                executor.executor_id,
                executor.address,
                executor.port,
                entry.workspace,
                entry.request_id,
                entry.deadline_ms - now_ms,
            )
        )
        line = route_line(entry, choice, self.config, len(self.queue), now_ms)
        self._effects.append(line)

    def _on_attempt_ended(self, event: AttemptEnded, now_ms: int) -> None:
        attempt = self.tables.attempts_by_id.pop(event.attempt_id, None)
        if attempt is None:
            return
        executor = self.tables.executors_by_id[attempt.executor_id]
        executor.in_flight -= 1
        self._record_attempt_result(executor, attempt, event, now_ms)
        remove_unlisted(self.tables, executor)
        entry = self.tables.requests_by_call_id.get(attempt.call_id)
        if entry is None:
            return
        match event.outcome:
            case WholeAnswer():
                self._on_complete_answer(entry, event.outcome, now_ms)
            case _ if attempt.superseded:
                return
            case Refused():
                self._on_not_run(entry, False, now_ms)
            case NotSent():
                entry.count_failure(executor.executor_id)
                self._on_not_run(entry, True, now_ms)
            case Lost():
                entry.count_failure(executor.executor_id)
                entry.may_have_run = True
                self._on_lost(entry, event.outcome, now_ms)

    def _record_attempt_result(
        self, executor: ExecutorEntry, attempt: AttemptEntry, event: AttemptEnded, now_ms: int
    ) -> None:
        if isinstance(event.outcome, WholeAnswer):
            self._admission.record_completion(now_ms - attempt.sent_ms, now_ms)
        change = record_attempt_result(self.tables, executor, attempt, event, self._rng, now_ms)
        if change is not None:
            self._effects.append(health_line(change))

    def _on_complete_answer(self, entry: RequestEntry, answer: WholeAnswer, now_ms: int) -> None:
        if entry in self.queue:
            # A superseded attempt was answered before the retry was dispatched.
            self.queue.remove(entry)
        self._effects.extend(self.claims.record_answer(entry.call_id, answer))
        self._send_answer(entry, Answered(answer), "answered", now_ms)

    def _retry_requests_of_stalled(self, executor_id: str) -> None:
        """Requeues idempotent requests in flight at a stalled executor, within the retry budget.

        Marks their current attempts as superseded: a complete answer of such an attempt is still
        used, any other result is ignored.
        """
        for attempt in self.tables.attempts_by_id.values():
            if attempt.executor_id != executor_id or attempt.superseded:
                continue
            entry = self.tables.requests_by_call_id.get(attempt.call_id)
            if entry is None or entry.answered or not entry.idempotent:
                continue
            if entry.failures + 1 >= MAX_FAILED_ATTEMPTS or not self._retry_budget.try_withdraw():
                continue
            attempt.superseded = True
            entry.count_failure(executor_id)
            entry.may_have_run = True
            entry.state = RequestState.QUEUED
            self.queue.add(entry)

    def _on_not_run(self, entry: RequestEntry, failed: bool, now_ms: int) -> None:
        """Requeues a request whose attempt provably did not run.

        If the attempt failed and no retry is left, aborts the request instead.
        """
        entry.state = RequestState.QUEUED
        if entry.answered:
            self._remove_request(entry, now_ms)
            return
        if failed and not self._try_withdraw_retry(entry):
            self._abort(entry, self._no_executor_refusal(), now_ms)
            return
        self.queue.add(entry)

    def _on_lost(self, entry: RequestEntry, outcome: Lost, now_ms: int) -> None:
        entry.state = RequestState.QUEUED
        if entry.answered:
            self._remove_request(entry, now_ms)
            return
        if entry.idempotent and now_ms < entry.deadline_ms and self._try_withdraw_retry(entry):
            self.queue.add(entry)
            return
        self._answer_and_remove(
            entry, Unknown(ResultCode.OUTCOME_UNKNOWN, outcome.detail), "attempt lost", now_ms
        )

    def _try_withdraw_retry(self, entry: RequestEntry) -> bool:
        return entry.failures < MAX_FAILED_ATTEMPTS and self._retry_budget.try_withdraw()

    # Final answers.

    def _expire_deadlines(self, now_ms: int) -> None:
        """Answers all requests whose deadline has passed."""
        while self._deadlines and self._deadlines[0][0] <= now_ms:
            _, call_id = heapq.heappop(self._deadlines)
            entry = self.tables.requests_by_call_id.get(call_id)
            if entry is None or entry.answered:
                continue
            if entry.state is RequestState.IN_FLIGHT:
                unknown = Unknown(ResultCode.OUTCOME_UNKNOWN, "no answer before the deadline")
                self._send_answer(entry, unknown, "deadline passed", now_ms)
                continue
            in_flight = len(self.tables.attempts_by_id)
            wait_ms = self._admission.estimate_wait_ms(self._count_unsent(), in_flight, now_ms)
            retry_ms = self._admission.retry_after_ms(wait_ms)
            detail = "the deadline passed before the request could be sent"
            refusal = NotRun(ResultCode.DEADLINE_UNREACHABLE, detail, retry_ms)
            self._abort(entry, refusal, now_ms)

    def _abort(self, entry: RequestEntry, refusal: NotRun, now_ms: int) -> None:
        """Answers and removes a request that is not in flight and will not be sent again."""
        outcome: Outcome = refusal
        if entry.may_have_run:
            detail = (
                f"an earlier attempt may have run; no further attempt was made: {refusal.detail}"
            )
            outcome = Unknown(ResultCode.OUTCOME_UNKNOWN, detail, refusal.retry_after_ms)
        self._answer_and_remove(entry, outcome, "aborted", now_ms)

    def _answer_and_remove(
        self, entry: RequestEntry, outcome: Outcome, reason: str, now_ms: int
    ) -> None:
        """Sends the final answer of a request that is not in flight and removes the request."""
        self._send_answer(entry, outcome, reason, now_ms)
        if entry.call_id in self.tables.requests_by_call_id:
            self._remove_request(entry, now_ms)

    def _send_answer(self, entry: RequestEntry, outcome: Outcome, reason: str, now_ms: int) -> None:
        """Sends the final answer unless the request is already marked as answered.

        Removes the request if the outcome is `Answered`; otherwise the caller of this method does.
        """
        if not entry.answered:
            entry.answered = True
            self._effects.append(Answer(entry.call_id, outcome))
            queued = len(self.queue)
            line = answer_line(entry, outcome, reason, self.config, queued, now_ms)
            self._effects.append(line)
        if isinstance(outcome, Answered):
            del self.tables.requests_by_call_id[entry.call_id]

    def _remove_request(self, entry: RequestEntry, now_ms: int) -> None:
        """Removes an answered request that is not in flight, and ends its claim if it has one."""
        del self.tables.requests_by_call_id[entry.call_id]
        if entry in self.queue:
            self.queue.remove(entry)
        if entry.may_have_run:
            self.claims.leave_in_doubt(entry.call_id, now_ms)
        else:
            self._effects.extend(self.claims.abandon(entry.call_id))

    # Executors.

    def _on_tick(self, now_ms: int) -> None:
        self._effects.extend(self.claims.collect_due_writes(now_ms))
        if now_ms < self._next_health_ms:
            return
        self._next_health_ms = now_ms + HEALTH_PERIOD_MS
        self.tables.update_peers_in_flight(now_ms)
        for change in update_health(self.tables, self._rng, now_ms):
            self._effects.append(health_line(change))
            if change.reason == STALLED_REASON:
                self._retry_requests_of_stalled(change.executor_id)
        if self._find_executors_in_service(now_ms):
            self._last_in_service_ms = now_ms
        elif now_ms - (self._last_in_service_ms or 0) > NO_EXECUTOR_GRACE_MS:
            for entry in self.queue.peek_first(len(self.queue)):
                self._abort(entry, self._no_executor_refusal(), now_ms)

    def _zones_out(self) -> Collection[str]:
        return self.config.zones_out if self.config else ()

    def _find_executors_in_service(self, now_ms: int) -> list[ExecutorEntry]:
        return find_executors_in_service(self.tables, self._zones_out(), now_ms)

    def _no_executor_refusal(self) -> NotRun:
        retry_ms = self._admission.retry_after_ms(0)
        return NotRun(ResultCode.NO_EXECUTOR, "no executor is available", retry_ms)

    def _count_unsent(self) -> int:
        """Returns the number of requests that are queued or waiting for their claim."""
        return len(self.queue) + self.claims.count_undecided()
