"""Claims: rows of the table service that make a non-idempotent request run at most once.

A claim row is keyed by workspace and request id, so that a repeat at any host meets it.

Phases of a claim, as its router sees it:

1. `writing`: the row is inserted on condition that it is absent.  A lost reply is resolved by
   reading the row's write id.  Where the row is still absent, the same conditional write is
   sent again: whichever copy arrives first wins, and any other copy conflicts, so a claim that
   was decided is never decided again.
2. `held`: the row is ours and its version known; only now may the request be sent.
3. `closing`: the row is rewritten on condition of that version, either as `released` (the
   request provably did not run and this router will not send it) or as `finished`, with the
   answer if it is small.  The caller does not wait for this.

A released row is not deleted at once: a delayed copy of the insertion would then find it absent
and claim the id for nobody.  It is taken over on condition of its version.  A claim whose router
died stays `claimed`, and its id is never sent again while the row exists.

Retention: the router that made a claim deletes its row `CLAIM_RETENTION_MS` after the request
ended.  Rows of a router that stopped before that stay.

Invariant: an id is `held` by at most one request at a time, and never again once it was
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
MAX_CLOSE_TRIES: Final = 40
MAX_CLAIM_TRIES: Final = 3
IN_PROGRESS_RETRY_MS: Final = 1_000
STORE_OUT_RETRY_MS: Final = 2_000


class ClaimState(StrEnum):
    """What a claim row says of its request."""

    CLAIMED = "claimed"
    RELEASED = "released"
    FINISHED = "finished"


@dataclass(frozen=True, slots=True)
class ClaimRecord:
    """The value of a claim row.

    `body_hash` identifies the payload.  `answer` is the base64 of a finished request's answer, or
    None where it was too large to keep.
    """

    host_id: str
    body_hash: str
    state: ClaimState
    unix_ms: int
    status: int = 0
    content_type: str = ""
    answer: str | None = None


class ClaimPhase(StrEnum):
    """Where a claim stands on this router."""

    WRITING = "writing"
    HELD = "held"
    CLOSING = "closing"
    DELETING = "deleting"


@dataclass(slots=True)
class ClaimEntry:
    """A claim of this router.

    `write_id` names the write that is outstanding.  `in_doubt` is true once a reply to the
    insertion was lost.  `abandoned` is true once the caller was told that the request did not
    run, so that the claim is released as soon as it is held.
    """

    call_id: int
    key: str
    write_id: str
    record: ClaimRecord
    phase: ClaimPhase = ClaimPhase.WRITING
    version: int = 0
    in_doubt: bool = False
    abandoned: bool = False
    tries: int = 0
    retry_ms: int | None = None


@dataclass(frozen=True, slots=True)
class ClaimGranted:
    """The claim is held: the request may be sent."""

    call_id: int


@dataclass(frozen=True, slots=True)
class ClaimDenied:
    """The request must not be sent; `outcome` is the caller's final answer."""

    call_id: int
    outcome: Outcome


ClaimDecision = ClaimGranted | ClaimDenied


class ClaimKeeper:
    """The claims of one router; `host_id` and `boot_id` make its write ids unique."""

    def __init__(self, host_id: str, boot_id: str, rng: random.Random) -> None:
        self._host_id = host_id
        self._boot_id = boot_id
        self._rng = rng
        self._next_write = 1
        self.claims_by_write: dict[str, ClaimEntry] = {}
        self.claims_by_call: dict[int, ClaimEntry] = {}
        self._closed: deque[tuple[int, str, int]] = deque()

    def begin(self, entry: RequestEntry, unix_ms: int) -> list[Effect]:
        """Starts to claim a request's id."""
        record = ClaimRecord(self._host_id, entry.body_hash, ClaimState.CLAIMED, unix_ms)
        key = request_key(entry.workspace, entry.request_id)
        claim = ClaimEntry(entry.call_id, key, "", record)
        self.claims_by_call[entry.call_id] = claim
        return [self._new_write(claim, record)]

    def abandon(self, call_id: int) -> list[Effect]:
        """Gives a claim up: its request did not run and will not be sent by this router."""
        claim = self.claims_by_call.get(call_id)
        if claim is None:
            return []
        claim.abandoned = True
        if claim.phase is not ClaimPhase.HELD:
            return []
        return [self._close(claim, ClaimState.RELEASED, None)]

    def finish(self, call_id: int, answer: WholeAnswer) -> list[Effect]:
        """Records the answer to a request whose claim is held."""
        claim = self.claims_by_call.get(call_id)
        if claim is None or claim.phase is not ClaimPhase.HELD:
            return []
        return [self._close(claim, ClaimState.FINISHED, answer)]

    def leave_in_doubt(self, call_id: int, now_ms: int) -> None:
        """Keeps the row as it is: the request may have run and its answer never came."""
        claim = self.claims_by_call.get(call_id)
        if claim is None or claim.phase is not ClaimPhase.HELD:
            return
        self._closed.append((now_ms + CLAIM_RETENTION_MS, claim.key, claim.version))
        self._forget(claim)

    def on_write_done(
        self, event: WriteDone, now_ms: int
    ) -> tuple[ClaimDecision | None, list[Effect]]:
        """Takes the end of a write."""
        claim = self.claims_by_write.get(event.write_id)
        if claim is None:
            return None, []
        if claim.phase is not ClaimPhase.WRITING:
            self._on_close_done(claim, event, now_ms)
            return None, []
        match event.outcome:
            case WriteOutcome.COMMITTED:
                return self._hold(claim, event.version)
            case WriteOutcome.CONFLICT:
                return None, [ReadRow(claim.write_id, claim.key)]
            case WriteOutcome.UNKNOWN:
                claim.in_doubt = True
                return None, [ReadRow(claim.write_id, claim.key)]
            case WriteOutcome.FAILED:
                return self._deny_store_out(claim, now_ms), []

    def on_row_read(self, event: RowRead, now_ms: int) -> tuple[ClaimDecision | None, list[Effect]]:
        """Takes the row that an undecided claim asked for."""
        claim = self.claims_by_write.get(event.write_id)
        if claim is None or claim.phase is not ClaimPhase.WRITING:
            return None, []
        if event.store_out:
            return self._deny_store_out(claim, now_ms), []
        row = event.row
        if row is not None and row.write_id == claim.write_id:
            return self._hold(claim, row.version)
        if (row.version if row is not None else 0) == claim.version:
            return self._send_again(claim, now_ms)
        if claim.abandoned:
            # The row has moved on, so no copy of our write can take effect any more.
            self._forget(claim)
            return None, []
        return self._meet_other(claim, row)

    def due(self, now_ms: int) -> list[Effect]:
        """Repeats writes that are due and deletes rows whose retention is over."""
        effects: list[Effect] = []
        for claim in list(self.claims_by_write.values()):
            if claim.retry_ms is None or claim.retry_ms > now_ms:
                continue
            claim.retry_ms = None
            effects.append(self._same_write(claim))
        while self._closed and self._closed[0][0] <= now_ms:
            _, key, version = self._closed.popleft()
            effects.append(self._delete(key, version))
        return effects

    def next_due_ms(self) -> int | None:
        """When `due` has something to do next."""
        times = [c.retry_ms for c in self.claims_by_write.values() if c.retry_ms is not None]
        if self._closed:
            times.append(self._closed[0][0])
        return min(times, default=None)

    def undecided(self) -> int:
        """How many requests wait for their claim."""
        return sum(
            claim.phase is ClaimPhase.WRITING and not claim.abandoned
            for claim in self.claims_by_write.values()
        )

    def unsettled(self) -> int:
        """How many claims have a write outstanding."""
        return len(self.claims_by_write)

    def _new_write(self, claim: ClaimEntry, record: ClaimRecord | None) -> WriteRow:
        self.claims_by_write.pop(claim.write_id, None)
        claim.write_id = f"{self._host_id}.{self._boot_id}.{self._next_write}"
        self._next_write += 1
        if record is not None:
            claim.record = record
        claim.tries = 0
        self.claims_by_write[claim.write_id] = claim
        return self._same_write(claim)

    def _same_write(self, claim: ClaimEntry) -> WriteRow:
        claim.tries += 1
        value: Any = None if claim.phase is ClaimPhase.DELETING else to_plain(claim.record)
        writing = claim.phase is ClaimPhase.WRITING
        priority = WritePriority.CLAIM if writing else WritePriority.BOOKKEEPING
        return WriteRow(claim.write_id, claim.key, claim.version, value, priority)

    def _send_again(
        self, claim: ClaimEntry, now_ms: int
    ) -> tuple[ClaimDecision | None, list[Effect]]:
        """Repeats a write that is undecided because nothing has changed its row since."""
        if claim.abandoned:
            self._schedule_retry(claim, now_ms)
            return None, []
        if claim.tries >= MAX_CLAIM_TRIES:
            return self._deny_store_out(claim, now_ms), []
        return None, [self._same_write(claim)]

    def _hold(self, claim: ClaimEntry, version: int) -> tuple[ClaimDecision | None, list[Effect]]:
        claim.phase = ClaimPhase.HELD
        claim.version = version
        del self.claims_by_write[claim.write_id]
        if claim.abandoned:
            return None, [self._close(claim, ClaimState.RELEASED, None)]
        return ClaimGranted(claim.call_id), []

    def _meet_other(
        self, claim: ClaimEntry, row: Row | None
    ) -> tuple[ClaimDecision | None, list[Effect]]:
        """Decides against a row that another claim wrote."""
        if row is None:
            # The row that was to be taken over was deleted: insert anew.
            claim.version = 0
            return None, [self._new_write(claim, None)]
        converted = convert(ClaimRecord, row.value)
        if not isinstance(converted, Success):
            return self._deny(claim, _in_progress("the claim row can't be read")), []
        other: ClaimRecord = converted.unwrap()
        if other.body_hash != claim.record.body_hash:
            detail = "the id was used with another body"
            return self._deny(claim, NotRun(ResultCode.REQUEST_ID_CONFLICT, detail)), []
        match other.state:
            case ClaimState.CLAIMED:
                return self._deny(claim, _in_progress("the id is claimed")), []
            case ClaimState.FINISHED:
                return self._deny(claim, _replay(other)), []
            case ClaimState.RELEASED:
                claim.version = row.version
                return None, [self._new_write(claim, None)]

    def _deny(self, claim: ClaimEntry, outcome: Outcome) -> ClaimDecision | None:
        """Ends a claim that certainly has not taken effect and never will."""
        abandoned = claim.abandoned
        self._forget(claim)
        return None if abandoned else ClaimDenied(claim.call_id, outcome)

    def _deny_store_out(self, claim: ClaimEntry, now_ms: int) -> ClaimDecision | None:
        """Tells the caller at once; a claim in doubt is resolved and released afterwards."""
        outcome = NotRun(
            ResultCode.REQUEST_STORE_OUT, "the table service is out", STORE_OUT_RETRY_MS
        )
        if not claim.in_doubt:
            return self._deny(claim, outcome)
        told = claim.abandoned
        claim.abandoned = True
        self._schedule_retry(claim, now_ms)
        return None if told else ClaimDenied(claim.call_id, outcome)

    def _close(self, claim: ClaimEntry, state: ClaimState, answer: WholeAnswer | None) -> WriteRow:
        claim.phase = ClaimPhase.CLOSING
        before = claim.record
        body = None
        if answer is not None and len(answer.body) <= MAX_RECORDED_BODY_BYTES:
            body = base64.b64encode(answer.body).decode()
        record = ClaimRecord(
            before.host_id,
            before.body_hash,
            state,
            before.unix_ms,
            status=answer.status if answer else 0,
            content_type=answer.content_type if answer else "",
            answer=body,
        )
        return self._new_write(claim, record)

    def _on_close_done(self, claim: ClaimEntry, event: WriteDone, now_ms: int) -> None:
        match event.outcome:
            case WriteOutcome.COMMITTED:
                if claim.phase is ClaimPhase.CLOSING:
                    due_ms = now_ms + CLAIM_RETENTION_MS
                    self._closed.append((due_ms, claim.key, event.version))
                self._forget(claim)
            case WriteOutcome.CONFLICT:
                # An earlier copy took effect, or another router took a released row over.
                self._forget(claim)
            case WriteOutcome.FAILED | WriteOutcome.UNKNOWN:
                self._schedule_retry(claim, now_ms)

    def _schedule_retry(self, claim: ClaimEntry, now_ms: int) -> None:
        if claim.tries >= MAX_CLOSE_TRIES:
            self._forget(claim)
            return
        delay_ms = min(CLOSE_RETRY_MAX_MS, CLOSE_RETRY_MS * 2 ** min(claim.tries - 1, 10))
        claim.retry_ms = now_ms + int(delay_ms * self._rng.uniform(0.5, 1.5))

    def _delete(self, key: str, version: int) -> WriteRow:
        record = ClaimRecord(self._host_id, "", ClaimState.RELEASED, 0)
        claim = ClaimEntry(0, key, "", record, ClaimPhase.DELETING, version)
        return self._new_write(claim, None)

    def _forget(self, claim: ClaimEntry) -> None:
        self.claims_by_write.pop(claim.write_id, None)
        if self.claims_by_call.get(claim.call_id) is claim:
            del self.claims_by_call[claim.call_id]


def _in_progress(detail: str) -> Outcome:
    return Unknown(ResultCode.REQUEST_IN_PROGRESS, detail, IN_PROGRESS_RETRY_MS)


def _replay(record: ClaimRecord) -> Outcome:
    """The recorded answer, or REQUEST_IN_PROGRESS where it was not kept."""
    if record.answer is None:
        return _in_progress("the request finished; its answer was too large to keep")
    body = base64.b64decode(record.answer)
    return Answered(WholeAnswer(record.status, record.content_type, body), replayed=True)
