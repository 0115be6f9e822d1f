"""Claims of request ids: table rows that make a non-idempotent request run at most once.

A claim row is keyed by workspace and request id, so that a request repeated at any host finds it.

Phases of a claim on its router:

1. `writing`: the row is inserted with a conditional write that requires it to be absent.  If the
   reply is lost, the row is read: its write id shows whether the insertion took effect.  If the
   row is still absent, the same conditional write is sent again.  The first copy to arrive takes
   effect and all others conflict, so a claim is decided only once.
2. `held`: this router owns the row and has its version; only now may the request be sent.
3. `closing`: the row is overwritten on condition of that version, either as `released` (the
   request provably did not run and this router will not send it) or as `finished`, with the
   answer if it is small.  The caller does not wait for this write.
4. `deleting`: after the retention time the row is deleted on condition of its version.

A released row is not deleted immediately: a delayed copy of the insertion would then find the row
absent and claim the id although no request needs it.  Instead, the next request with this id takes
the row over on condition of its version.  If a router dies, its claim rows remain `claimed`, and
their request ids are not sent again while the rows exist.

Retention: the router that made a claim deletes the row `CLAIM_RETENTION_MS` after the request
ended.  Rows of a router that stops earlier are not deleted.

Invariant: an id is `held` by at most one request at a time, and never again after it was
`finished`.
"""

from __future__ import annotations

import base64
import random
from collections import deque
from dataclasses import dataclass
from enum import StrEnum
from typing import Any, Final

from returns.result import Success

from jacinthreel_common import ResultCode, Row, WriteOutcome, convert, request_key, to_plain
from jacinthreel_requests._effects import (
    Answered,
    Effect,
    NotRun,
    Outcome,
    ReadRow,
    Unknown,
    WritePriority,
    WriteRow,
)
from jacinthreel_requests._events import RowRead, WholeAnswer, WriteDone
from jacinthreel_requests._tables import RequestEntry

MAX_RECORDED_BODY_BYTES: Final = 16 * 1024
CLAIM_RETENTION_MS: Final = 2 * 3_600 * 1_000
CLOSE_RETRY_MS: Final = 500
CLOSE_RETRY_MAX_MS: Final = 30_000
MAX_CLOSE_ATTEMPTS: Final = 40
MAX_CLAIM_ATTEMPTS: Final = 3
IN_PROGRESS_RETRY_MS: Final = 1_000
STORE_UNAVAILABLE_RETRY_MS: Final = 2_000


class ClaimState(StrEnum):
    """State of a request id in its claim row."""

    CLAIMED = "claimed"
    RELEASED = "released"
    FINISHED = "finished"


@dataclass(frozen=True, slots=True)
class ClaimRecord:
    """The value of a claim row.

    `body_hash` identifies the payload.  `answer` is the answer of a finished request in base64, or
    None if it was larger than `MAX_RECORDED_BODY_BYTES`.
    """

    host_id: str
    body_hash: str
    state: ClaimState
    unix_ms: int
    status: int = 0
    content_type: str = ""
    answer: str | None = None


class ClaimPhase(StrEnum):
    """Phase of a claim on the router that made it."""

    WRITING = "writing"
    HELD = "held"
    CLOSING = "closing"
    DELETING = "deleting"


@dataclass(slots=True)
class ClaimEntry:
    """A claim made by this router.

    `write_id` identifies the current write, and `attempts` counts how often it was issued.
    `version` is the row version that it requires.  `in_doubt` is true once a reply to the
    insertion was lost.  `abandoned` is true once the request has ended without running on this
    router, so that the claim must be released as soon as it is held.
    """

    call_id: int
    key: str
    write_id: str
    record: ClaimRecord
    phase: ClaimPhase = ClaimPhase.WRITING
    version: int = 0
    in_doubt: bool = False
    abandoned: bool = False
    attempts: int = 0
    retry_ms: int | None = None


@dataclass(frozen=True, slots=True)
class ClaimGranted:
    """The claim is held, so the request may be sent."""

    call_id: int


@dataclass(frozen=True, slots=True)
class ClaimDenied:
    """The claim failed, so the request must not be sent; `outcome` is its final outcome."""

    call_id: int
    outcome: Outcome


ClaimDecision = ClaimGranted | ClaimDenied


class ClaimTracker:
    """The claims of one router; `host_id` and `boot_id` make their write ids unique."""

    def __init__(self, host_id: str, boot_id: str, rng: random.Random) -> None:
        self._host_id = host_id
        self._boot_id = boot_id
        self._rng = rng
        self._next_write_number = 1
        self.claims_by_write_id: dict[str, ClaimEntry] = {}
        self.claims_by_call_id: dict[int, ClaimEntry] = {}
        self._retained_rows: deque[tuple[int, str, int]] = deque()

    def begin(self, entry: RequestEntry, unix_ms: int) -> list[Effect]:
        """Starts to claim a request's id."""
        record = ClaimRecord(self._host_id, entry.body_hash, ClaimState.CLAIMED, unix_ms)
        key = request_key(entry.workspace, entry.request_id)
        claim = ClaimEntry(entry.call_id, key, "", record)
        self.claims_by_call_id[entry.call_id] = claim
        return [self._start_write(claim, record)]

    def abandon(self, call_id: int) -> list[Effect]:
        """Releases the claim of a request that did not run and will not be sent by this router.

        If the claim is not decided yet, it is released once it is held.
        """
        claim = self.claims_by_call_id.get(call_id)
        if claim is None:
            return []
        claim.abandoned = True
        if claim.phase is not ClaimPhase.HELD:
            return []
        return [self._start_closing(claim, ClaimState.RELEASED, None)]

    def record_answer(self, call_id: int, answer: WholeAnswer) -> list[Effect]:
        """Records the answer of a request in its claim row, if the claim is held."""
        claim = self.claims_by_call_id.get(call_id)
        if claim is None or claim.phase is not ClaimPhase.HELD:
            return []
        return [self._start_closing(claim, ClaimState.FINISHED, answer)]

    def leave_in_doubt(self, call_id: int, now_ms: int) -> None:
        """Leaves the row `claimed`, because the request may have run but no answer was received."""
        claim = self.claims_by_call_id.get(call_id)
        if claim is None or claim.phase is not ClaimPhase.HELD:
            return
        self._retained_rows.append((now_ms + CLAIM_RETENTION_MS, claim.key, claim.version))
        self._remove_claim(claim)

    def on_write_done(
        self, event: WriteDone, now_ms: int
    ) -> tuple[ClaimDecision | None, list[Effect]]:
        """Handles the result of a write."""
        claim = self.claims_by_write_id.get(event.write_id)
        if claim is None:
            return None, []
        if claim.phase is not ClaimPhase.WRITING:
            self._on_closing_write_done(claim, event, now_ms)
            return None, []
        match event.outcome:
            case WriteOutcome.COMMITTED:
                return self._mark_held(claim, event.version)
            case WriteOutcome.CONFLICT:
                return None, [ReadRow(claim.write_id, claim.key)]
            case WriteOutcome.UNKNOWN:
                claim.in_doubt = True
                return None, [ReadRow(claim.write_id, claim.key)]
            case WriteOutcome.FAILED:
                return self._deny_store_unavailable(claim, now_ms), []

    def on_row_read(self, event: RowRead, now_ms: int) -> tuple[ClaimDecision | None, list[Effect]]:
        """Handles the row that was read to resolve an undecided claim."""
        claim = self.claims_by_write_id.get(event.write_id)
        if claim is None or claim.phase is not ClaimPhase.WRITING:
            return None, []
        if event.store_unavailable:
            return self._deny_store_unavailable(claim, now_ms), []
        row = event.row
        if row is not None and row.write_id == claim.write_id:
            return self._mark_held(claim, row.version)
        if (row.version if row is not None else 0) == claim.version:
            return self._retry_undecided_write(claim, now_ms)
        if claim.abandoned:
            # The row has another version now, so no copy of this write can take effect any more.
            self._remove_claim(claim)
            return None, []
        return self._resolve_conflict(claim, row)

    def collect_due_writes(self, now_ms: int) -> list[Effect]:
        """Returns due retries, and deletions of rows whose retention has expired."""
        effects: list[Effect] = []
        for claim in list(self.claims_by_write_id.values()):
            if claim.retry_ms is None or claim.retry_ms > now_ms:
                continue
            claim.retry_ms = None
            effects.append(self._issue_write(claim))
        while self._retained_rows and self._retained_rows[0][0] <= now_ms:
            _, key, version = self._retained_rows.popleft()
            effects.append(self._start_deletion(key, version))
        return effects

    def next_due_ms(self) -> int | None:
        """Returns when `collect_due_writes` must be called next, or None."""
        due_times_ms = [
            c.retry_ms for c in self.claims_by_write_id.values() if c.retry_ms is not None
        ]
        if self._retained_rows:
            due_times_ms.append(self._retained_rows[0][0])
        return min(due_times_ms, default=None)

    def count_undecided(self) -> int:
        """Returns the number of requests that wait for their claim."""
        return sum(
            claim.phase is ClaimPhase.WRITING and not claim.abandoned
            for claim in self.claims_by_write_id.values()
        )

    def count_outstanding_writes(self) -> int:
        """Returns the number of claims with an outstanding write."""
        return len(self.claims_by_write_id)

    def _start_write(self, claim: ClaimEntry, record: ClaimRecord | None) -> WriteRow:
        self.claims_by_write_id.pop(claim.write_id, None)
        claim.write_id = f"{self._host_id}.{self._boot_id}.{self._next_write_number}"
        self._next_write_number += 1
        if record is not None:
            claim.record = record
        claim.attempts = 0
        self.claims_by_write_id[claim.write_id] = claim
        return self._issue_write(claim)

    def _issue_write(self, claim: ClaimEntry) -> WriteRow:
        claim.attempts += 1
        value: Any = None if claim.phase is ClaimPhase.DELETING else to_plain(claim.record)
        is_writing = claim.phase is ClaimPhase.WRITING
        priority = WritePriority.CLAIM if is_writing else WritePriority.BOOKKEEPING
        return WriteRow(claim.write_id, claim.key, claim.version, value, priority)

    def _retry_undecided_write(
        self, claim: ClaimEntry, now_ms: int
    ) -> tuple[ClaimDecision | None, list[Effect]]:
        """Repeats an undecided claim write whose row still has the required version."""
        if claim.abandoned:
            self._schedule_retry(claim, now_ms)
            return None, []
        if claim.attempts >= MAX_CLAIM_ATTEMPTS:
            return self._deny_store_unavailable(claim, now_ms), []
        return None, [self._issue_write(claim)]

    def _mark_held(
        self, claim: ClaimEntry, version: int
    ) -> tuple[ClaimDecision | None, list[Effect]]:
        claim.phase = ClaimPhase.HELD
        claim.version = version
        del self.claims_by_write_id[claim.write_id]
        if claim.abandoned:
            return None, [self._start_closing(claim, ClaimState.RELEASED, None)]
        return ClaimGranted(claim.call_id), []

    def _resolve_conflict(
        self, claim: ClaimEntry, row: Row | None
    ) -> tuple[ClaimDecision | None, list[Effect]]:
        """Decides a claim whose row was written, or deleted, by another claim."""
        if row is None:
            # The released row to take over was deleted; insert a new row.
            claim.version = 0
            return None, [self._start_write(claim, None)]
        converted = convert(ClaimRecord, row.value)
        if not isinstance(converted, Success):
            return self._deny(claim, _in_progress("the claim row is malformed")), []
        existing: ClaimRecord = converted.unwrap()
        if existing.body_hash != claim.record.body_hash:
            detail = "the request id was used with another body"
            return self._deny(claim, NotRun(ResultCode.REQUEST_ID_CONFLICT, detail)), []
        match existing.state:
            case ClaimState.CLAIMED:
                return self._deny(claim, _in_progress("the request id is already claimed")), []
            case ClaimState.FINISHED:
                return self._deny(claim, _replay_answer(existing)), []
            case ClaimState.RELEASED:
                claim.version = row.version
                return None, [self._start_write(claim, None)]

    def _deny(self, claim: ClaimEntry, outcome: Outcome) -> ClaimDecision | None:
        """Removes a claim whose write has not taken effect and never will."""
        abandoned = claim.abandoned
        self._remove_claim(claim)
        return None if abandoned else ClaimDenied(claim.call_id, outcome)

    def _deny_store_unavailable(self, claim: ClaimEntry, now_ms: int) -> ClaimDecision | None:
        """Denies a claim because the table service is unavailable.

        If the claim is in doubt, it is kept as abandoned and is resolved and released later.
        """
        outcome = NotRun(
            ResultCode.REQUEST_STORE_OUT,
            "the table service is unavailable",
            STORE_UNAVAILABLE_RETRY_MS,
        )
        if not claim.in_doubt:
            return self._deny(claim, outcome)
        was_abandoned = claim.abandoned
        claim.abandoned = True
        self._schedule_retry(claim, now_ms)
        return None if was_abandoned else ClaimDenied(claim.call_id, outcome)

    def _start_closing(
        self, claim: ClaimEntry, state: ClaimState, answer: WholeAnswer | None
    ) -> WriteRow:
        claim.phase = ClaimPhase.CLOSING
        claimed_record = claim.record
        body = None
        if answer is not None and len(answer.body) <= MAX_RECORDED_BODY_BYTES:
            body = base64.b64encode(answer.body).decode()
        record = ClaimRecord(
            claimed_record.host_id,
            claimed_record.body_hash,
            state,
            claimed_record.unix_ms,
            status=answer.status if answer else 0,
            content_type=answer.content_type if answer else "",
            answer=body,
        )
        return self._start_write(claim, record)

    def _on_closing_write_done(self, claim: ClaimEntry, event: WriteDone, now_ms: int) -> None:
        match event.outcome:
            case WriteOutcome.COMMITTED:
                if claim.phase is ClaimPhase.CLOSING:
                    due_ms = now_ms + CLAIM_RETENTION_MS
                    self._retained_rows.append((due_ms, claim.key, event.version))
                self._remove_claim(claim)
            case WriteOutcome.CONFLICT:
                # An earlier copy took effect, or another router took over a released row.
                self._remove_claim(claim)
            case WriteOutcome.FAILED | WriteOutcome.UNKNOWN:
                self._schedule_retry(claim, now_ms)

    def _schedule_retry(self, claim: ClaimEntry, now_ms: int) -> None:
        """Schedules a retry with exponential backoff and jitter.

        After `MAX_CLOSE_ATTEMPTS` the claim is dropped and its row, if any, is left as it is.
        """
        if claim.attempts >= MAX_CLOSE_ATTEMPTS:
            self._remove_claim(claim)
            return
        delay_ms = min(CLOSE_RETRY_MAX_MS, CLOSE_RETRY_MS * 2 ** min(claim.attempts - 1, 10))
        claim.retry_ms = now_ms + int(delay_ms * self._rng.uniform(0.5, 1.5))

    def _start_deletion(self, key: str, version: int) -> WriteRow:
        record = ClaimRecord(self._host_id, "", ClaimState.RELEASED, 0)
        claim = ClaimEntry(0, key, "", record, ClaimPhase.DELETING, version)
        return self._start_write(claim, None)

    def _remove_claim(self, claim: ClaimEntry) -> None:
        self.claims_by_write_id.pop(claim.write_id, None)
        if self.claims_by_call_id.get(claim.call_id) is claim:
            del self.claims_by_call_id[claim.call_id]


def _in_progress(detail: str) -> Outcome:
    return Unknown(ResultCode.REQUEST_IN_PROGRESS, detail, IN_PROGRESS_RETRY_MS)


def _replay_answer(record: ClaimRecord) -> Outcome:
    """Returns the recorded answer, or REQUEST_IN_PROGRESS if it was too large to be recorded."""
    if record.answer is None:
        return _in_progress("the request finished, but its answer was too large to be recorded")
    body = base64.b64decode(record.answer)
    return Answered(WholeAnswer(record.status, record.content_type, body), replayed=True)
