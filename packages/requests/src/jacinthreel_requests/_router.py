"""The request router: decides for one router process what happens to each request.

`RequestRouter.handle` takes an event and a time and returns effects.  It does no I/O and reads no
clock; the daemon, the tests and the measurements drive the same code.

Life of a request: admitted or refused early; claimed in the table service if it is non-idempotent
and has an id of the caller's; queued by deadline; sent to an executor with room; answered.  An
attempt that provably did not run puts the request back in the queue.  One that may have run is
repeated only for an idempotent request, within the retry budget.

Invariants:

- Each `RequestArrived` gets exactly one `Answer`.  It is given in the same call of `handle` that
  decides it, so what the router gives up on is answered at once.
- `NotRun` is answered only where no attempt may have run: every attempt so far ended as
  `Refused` or `NotSent`, and none is outstanding.
- A non-idempotent request has at most one attempt that may have run, and a claimed one has an
  attempt only while its claim is held.
- An attempt's answer goes to the call that it was made for and to no other, however late.
- No `Dispatch` names an executor that is out of service as far as this router knows.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Collection
from typing import Final

from jacinthreel_common import Config, ResultCode
from jacinthreel_requests._admission import Admission, Load
from jacinthreel_requests._budget import RetryBudget
from jacinthreel_requests._choice import (
    Choice,
    choose,
    find_room,
    in_service,
)
from jacinthreel_requests._claims import ClaimDecision, ClaimDenied, ClaimGranted, ClaimKeeper
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
    CallerGone,
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
from jacinthreel_requests._fleet import (
    FULL_HOLD_MS,
    drop_unlisted,
    hear_peer,
    judge_executor,
    list_hosts,
)
from jacinthreel_requests._health import STALLED, refresh
from jacinthreel_requests._queue import DeadlineQueue
from jacinthreel_requests._tables import (
    AttemptEntry,
    ExecutorEntry,
    ExecutorHealth,
    RequestEntry,
    RequestState,
    Tables,
)

MAX_FAILURES: Final = 3
QUEUE_SCAN: Final = 8
HEALTH_PERIOD_MS: Final = 250
NO_EXECUTOR_GRACE_MS: Final = 1_000
NO_CONFIG_RETRY_MS: Final = 1_000
TICK_MS: Final = 250


class RequestRouter:
    """Decides for one router; `boot_id` differs each time that the process starts."""

    def __init__(self, host_id: str, zone: str, boot_id: str, rng: random.Random) -> None:
        self.tables = Tables()
        self.queue = DeadlineQueue()
        self.claims = ClaimKeeper(host_id, boot_id, rng)
        self.config: Config | None = None
        self.draining = False
        self._host_id = host_id
        self._zone = zone
        self._rng = rng
        self._budget = RetryBudget()
        self._admission = Admission(rng)
        self._deadlines: list[tuple[int, int]] = []
        self._next_attempt = 1
        self._next_health_ms = 0
        self._in_service_ms: int | None = None
        self._effects: list[Effect] = []

    def handle(self, event: Event, now_ms: int) -> list[Effect]:
        """Applies an event and returns what is to be done, in order."""
        self._effects = []
        match event:
            case RequestArrived():
                self._on_arrival(event, now_ms)
            case CallerGone():
                self._on_caller_gone(event, now_ms)
            case AttemptEnded():
                self._on_attempt_ended(event, now_ms)
            case ConfigApplied():
                self.config = event.config
            case HostsListed():
                list_hosts(self.tables, event.hosts)
            case PeerInFlight():
                hear_peer(self.tables, event, now_ms)
            case DrainStarted():
                self.draining = True
            case WriteDone():
                self._on_claim_step(self.claims.on_write_done(event, now_ms), now_ms)
            case RowRead():
                self._on_claim_step(self.claims.on_row_read(event, now_ms), now_ms)
            case Tick():
                self._on_tick(now_ms)
        self._expire(now_ms)
        self._dispatch_queue(now_ms)
        if not len(self.queue):
            self._admission.empty_ms = now_ms
        return self._effects

    def next_due_ms(self, now_ms: int) -> int:
        """When a `Tick` is needed at the latest."""
        due_ms = now_ms + TICK_MS
        if self._deadlines:
            due_ms = min(due_ms, self._deadlines[0][0])
        if len(self.queue):
            due_ms = min(due_ms, now_ms + FULL_HOLD_MS)
        claims_ms = self.claims.next_due_ms()
        if claims_ms is not None:
            due_ms = min(due_ms, claims_ms)
        return max(now_ms + 1, due_ms)

    def in_flight_by_executor(self) -> dict[str, int]:
        """Requests in flight at each executor; executors with none are left out."""
        return {
            executor.executor_id: executor.in_flight
            for executor in self.tables.executors_by_id.values()
            if executor.in_flight
        }

    def waiting(self) -> int:
        """Requests that wait for a slot."""
        return len(self.queue)

    def idle(self) -> bool:
        """Whether no request is open and no claim waits to be closed."""
        return not self.tables.requests_by_call and not self.claims.unsettled()

    # Arrival.

    def _on_arrival(self, event: RequestArrived, now_ms: int) -> None:
        refusal = self._refusal(event, now_ms)
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
            event.claimed,
            now_ms,
            event.deadline_ms,
            event.body_hash,
        )
        self.tables.requests_by_call[entry.call_id] = entry
        heapq.heappush(self._deadlines, (entry.deadline_ms, entry.call_id))
        self._budget.deposit(self.config.settings.retry_budget_ratio)
        if entry.claimed:
            entry.state = RequestState.CLAIMING
            self._effects.extend(self.claims.begin(entry, event.unix_ms))
            return
        self.queue.add(entry)

    def _refusal(self, event: RequestArrived, now_ms: int) -> NotRun | None:
        """Why a request is not taken, or None."""
        if self.draining:
            return NotRun(ResultCode.SHUTTING_DOWN, "this host is stopping", NO_CONFIG_RETRY_MS)
        if self.config is None:
            return NotRun(ResultCode.NO_CONFIG, "no configuration seen yet", NO_CONFIG_RETRY_MS)
        if event.workspace not in self.config.workspaces:
            detail = f"there is no workspace {event.workspace!r}"
            return NotRun(ResultCode.UNKNOWN_WORKSPACE, detail)
        if not self._in_service(now_ms):
            return self._no_executor()
        in_flight = len(self.tables.attempts_by_id)
        load = Load(self._unsent(), self.config.settings.request_queue, in_flight)
        return self._admission.refuse(self.queue, load, event.deadline_ms, now_ms)

    def _on_claim_step(self, step: tuple[ClaimDecision | None, list[Effect]], now_ms: int) -> None:
        decision, effects = step
        self._effects.extend(effects)
        if decision is None:
            return
        entry = self.tables.requests_by_call.get(decision.call_id)
        if entry is None:
            return
        match decision:
            case ClaimGranted():
                entry.state = RequestState.QUEUED
                self.queue.add(entry)
            case ClaimDenied():
                self._answer(entry, decision.outcome, "claim", now_ms)

    def _on_caller_gone(self, event: CallerGone, now_ms: int) -> None:
        entry = self.tables.requests_by_call.get(event.call_id)
        if entry is None or entry.answered:
            return
        entry.answered = True
        if entry.state is not RequestState.IN_FLIGHT:
            self._close(entry, now_ms)

    # Attempts.

    def _dispatch_queue(self, now_ms: int) -> None:
        """Sends queued requests, in order of deadline, while executors have room."""
        while len(self.queue):
            room = find_room(self.tables, self._zones_out(), now_ms)
            if not room:
                return
            for entry in self.queue.first(QUEUE_SCAN):
                choice = choose(self.tables, entry, room, self._zone, self._rng, now_ms)
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
        attempt = AttemptEntry(self._next_attempt, entry.call_id, executor.executor_id, now_ms)
        self._next_attempt += 1
        self.tables.attempts_by_id[attempt.attempt_id] = attempt
        if executor.health is ExecutorHealth.TRIAL:
            executor.trial_attempt = attempt.attempt_id
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
        self._judge(executor, attempt, event, now_ms)
        drop_unlisted(self.tables, executor)
        entry = self.tables.requests_by_call.get(attempt.call_id)
        if entry is None:
            return
        match event.outcome:
            case WholeAnswer():
                self._on_whole_answer(entry, event.outcome, now_ms)
            case _ if attempt.detached:
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

    def _judge(
        self, executor: ExecutorEntry, attempt: AttemptEntry, event: AttemptEnded, now_ms: int
    ) -> None:
        if isinstance(event.outcome, WholeAnswer):
            self._admission.observe(now_ms - attempt.sent_ms, now_ms)
        change = judge_executor(self.tables, executor, attempt, event, self._rng, now_ms)
        if change is not None:
            self._effects.append(health_line(change))

    def _on_whole_answer(self, entry: RequestEntry, answer: WholeAnswer, now_ms: int) -> None:
        if entry in self.queue:
            # A detached attempt was answered before the repetition could be sent.
            self.queue.remove(entry)
        self._effects.extend(self.claims.finish(entry.call_id, answer))
        self._finish(entry, Answered(answer), "answered", now_ms)

    def _retry_stalled(self, executor_id: str) -> None:
        """Sends idempotent requests that hang at a stalled executor elsewhere, within the budget.

        The attempts that hang are detached: of their ends only a whole answer still counts.
        """
        for attempt in self.tables.attempts_by_id.values():
            if attempt.executor_id != executor_id or attempt.detached:
                continue
            entry = self.tables.requests_by_call.get(attempt.call_id)
            if entry is None or entry.answered or not entry.idempotent:
                continue
            if entry.failures + 1 >= MAX_FAILURES or not self._budget.take():
                continue
            attempt.detached = True
            entry.count_failure(executor_id)
            entry.may_have_run = True
            entry.state = RequestState.QUEUED
            self.queue.add(entry)

    def _on_not_run(self, entry: RequestEntry, failed: bool, now_ms: int) -> None:
        """Puts a request whose attempt provably did not run back in the queue."""
        entry.state = RequestState.QUEUED
        if entry.answered:
            self._close(entry, now_ms)
            return
        if failed and not self._may_retry(entry):
            self._give_up(entry, self._no_executor(), now_ms)
            return
        self.queue.add(entry)

    def _on_lost(self, entry: RequestEntry, outcome: Lost, now_ms: int) -> None:
        entry.state = RequestState.QUEUED
        if entry.answered:
            self._close(entry, now_ms)
            return
        if entry.idempotent and now_ms < entry.deadline_ms and self._may_retry(entry):
            self.queue.add(entry)
            return
        self._answer(entry, Unknown(ResultCode.OUTCOME_UNKNOWN, outcome.detail), "lost", now_ms)

    def _may_retry(self, entry: RequestEntry) -> bool:
        return entry.failures < MAX_FAILURES and self._budget.take()

    # Ends.

    def _expire(self, now_ms: int) -> None:
        """Answers every request whose deadline has passed."""
        while self._deadlines and self._deadlines[0][0] <= now_ms:
            _, call_id = heapq.heappop(self._deadlines)
            entry = self.tables.requests_by_call.get(call_id)
            if entry is None or entry.answered:
                continue
            if entry.state is RequestState.IN_FLIGHT:
                unknown = Unknown(ResultCode.OUTCOME_UNKNOWN, "no answer before the deadline")
                self._finish(entry, unknown, "deadline", now_ms)
                continue
            in_flight = len(self.tables.attempts_by_id)
            wait_ms = self._admission.wait_ms(self._unsent(), in_flight, now_ms)
            retry_ms = self._admission.retry_after_ms(wait_ms)
            detail = "the deadline passed before the request could be sent"
            refusal = NotRun(ResultCode.DEADLINE_UNREACHABLE, detail, retry_ms)
            self._give_up(entry, refusal, now_ms)

    def _give_up(self, entry: RequestEntry, refusal: NotRun, now_ms: int) -> None:
        """Answers a request that is not in flight and will not be sent again."""
        outcome: Outcome = refusal
        if entry.may_have_run:
            detail = f"an attempt was lost; then: {refusal.detail}"
            outcome = Unknown(ResultCode.OUTCOME_UNKNOWN, detail, refusal.retry_after_ms)
        self._answer(entry, outcome, "gave up", now_ms)

    def _answer(self, entry: RequestEntry, outcome: Outcome, reason: str, now_ms: int) -> None:
        """Gives a request that is not in flight its final answer and forgets it."""
        self._finish(entry, outcome, reason, now_ms)
        if entry.call_id in self.tables.requests_by_call:
            self._close(entry, now_ms)

    def _finish(self, entry: RequestEntry, outcome: Outcome, reason: str, now_ms: int) -> None:
        """Gives the caller its final answer, unless it has one."""
        if not entry.answered:
            entry.answered = True
            self._effects.append(Answer(entry.call_id, outcome))
            queued = len(self.queue)
            line = answer_line(entry, outcome, reason, self.config, queued, now_ms)
            self._effects.append(line)
        if isinstance(outcome, Answered):
            del self.tables.requests_by_call[entry.call_id]

    def _close(self, entry: RequestEntry, now_ms: int) -> None:
        """Forgets a request that is not in flight and has its answer."""
        del self.tables.requests_by_call[entry.call_id]
        if entry in self.queue:
            self.queue.remove(entry)
        if entry.may_have_run:
            self.claims.leave_in_doubt(entry.call_id, now_ms)
        else:
            self._effects.extend(self.claims.abandon(entry.call_id))

    # Executors.

    def _on_tick(self, now_ms: int) -> None:
        self._effects.extend(self.claims.due(now_ms))
        if now_ms < self._next_health_ms:
            return
        self._next_health_ms = now_ms + HEALTH_PERIOD_MS
        self.tables.count_peers(now_ms)
        for change in refresh(self.tables, self._rng, now_ms):
            self._effects.append(health_line(change))
            if change.reason == STALLED:
                self._retry_stalled(change.executor_id)
        if self._in_service(now_ms):
            self._in_service_ms = now_ms
        elif now_ms - (self._in_service_ms or 0) > NO_EXECUTOR_GRACE_MS:
            for entry in self.queue.first(len(self.queue)):
                self._give_up(entry, self._no_executor(), now_ms)

    def _zones_out(self) -> Collection[str]:
        return self.config.zones_out if self.config else ()

    def _in_service(self, now_ms: int) -> list[ExecutorEntry]:
        return in_service(self.tables, self._zones_out(), now_ms)

    def _no_executor(self) -> NotRun:
        retry_ms = self._admission.retry_after_ms(0)
        return NotRun(ResultCode.NO_EXECUTOR, "no executor takes work", retry_ms)

    def _unsent(self) -> int:
        """Requests that have not been sent: queued or being claimed."""
        return len(self.queue) + self.claims.undecided()
