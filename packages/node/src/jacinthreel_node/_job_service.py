"""Serves callers' requests to submit, cancel and look up jobs.

A job is accepted by inserting an intake row, which the owner reads from the table.  An insert whose
outcome is unknown is retried until it is known or time runs out; the row's key makes the insert
idempotent.  Jobs that would be done too late are refused before the insert (`_admission_control`).
A cancellation of an unknown job is stored, too, so that an insert that is still under way fails
(`_intake`).  If the store doesn't serve this host, the insert is sent to the owner.  If the store
is slow, the owner is told of the job before the insert, so that it can place the job meanwhile.
Once an insert may have taken effect, the result is never that the job has not run.  Job states are
queried from the owner, or read from the store if the owner is unreachable.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Final

from returns.result import Failure, Result, Success

from jacinthreel_common import (
    MAX_ROW_BYTES,
    Fault,
    IntakeInsert,
    IntakeInserted,
    IntakeNotice,
    JobAnnouncement,
    JobStateAnswer,
    JobStateQuery,
    ResultCode,
    StoredRow,
    StreamReply,
    convert,
)
from jacinthreel_daemon.plumbing import Clock, MetricsRegistry, StreamHub
from jacinthreel_node._admission_control import AdmissionControl
from jacinthreel_node._cancel_limit import CancelLimit
from jacinthreel_node._intake import (
    CANCELLED_RETRY_AFTER_MS,
    CancelStored,
    insert_cancellation,
    insert_intake_row,
    insert_known_cancellation,
)
from jacinthreel_node._owner_view import OwnerView
from jacinthreel_node._ports import (
    KeyedStore,
    Snapshot,
)
from jacinthreel_node._records import (
    CANCEL_PREFIX,
    INTAKE_TABLE,
    JOB_PREFIX,
    PROGRESS_TABLE,
    CancelRow,
    encode_record,
)
from jacinthreel_node._routing import RoutedCall
from jacinthreel_node._store_health import StoreAvailability
from jacinthreel_node._unknown_inserts import UnknownInserts
from jacinthreel_steps import (
    JobRecord,
    JobSpec,
    JobState,
    decode_progress_state,
    find_step_beyond_quota,
)

COMMIT_TIMEOUT_MS: Final = 900
READ_TIMEOUT_MS: Final = 900
OWNER_TIMEOUT_MS: Final = 600
RETRY_PAUSE_MS: Final = 100
ANSWER_MARGIN_MS: Final = 150  # Reserved before a caller's deadline to return the response.
MIN_INSERT_MS: Final = 40  # With less time left, the outcome of an insert is rarely known.
MAX_RETRY_MS: Final = 1_000  # Limits how long a caller waits while the store doesn't answer.
STORE_RETRY_AFTER_MS: Final = 1_000
QUOTA_RETRY_AFTER_MS: Final = 60_000  # Only a change of the configuration can help.
WAITING_MAX_AGE_MS: Final = 1_900  # Limit for the heartbeat that holds the count.
JOB_ID_DIGITS: Final = 16
HEX_DIGITS: Final = frozenset("0123456789abcdefABCDEF")


@dataclass(frozen=True, slots=True)
class SubmitResult:
    """The job is stored; `is_new` is false if it was already stored before the call."""

    is_new: bool


def check_job_id(job_id: str) -> Result[str, Fault]:
    """Returns the job id if its format is valid.  Errors: BAD_JOB_ID.

    >>> check_job_id("5c0e7a21d94b36f8").unwrap()
    '5c0e7a21d94b36f8'
    >>> check_job_id("5c0e").failure().code.name
    'BAD_JOB_ID'
    """
    if len(job_id) != JOB_ID_DIGITS or not HEX_DIGITS.issuperset(job_id):
        return Failure(Fault(ResultCode.BAD_JOB_ID, "a job id has 16 hexadecimal digits"))
    return Success(job_id)


class JobService:
    """Serves the calls of callers, independent of the transport."""

    def __init__(
        self,
        store: KeyedStore,
        hub: StreamHub,
        owner_view: OwnerView,
        owned_job_state: Callable[[str], JobState | None],
        is_owner: Callable[[], bool],
        owned_waiting_jobs: Callable[[], dict[str, int]],
        apply_owned_row: Callable[[StoredRow], None],
        announce_owned_job: Callable[[JobAnnouncement], None],
        store_availability: StoreAvailability,
        clock: Clock,
        metrics: MetricsRegistry,
        log: Callable[[str, dict[str, Any]], None],
    ) -> None:
        self._apply_owned_row = apply_owned_row
        self._announce_owned_job = announce_owned_job
        self._store_availability = store_availability
        self._store = store
        self._hub = hub
        self._owner_view = owner_view
        self._owned_job_state = owned_job_state
        self._is_owner = is_owner
        self._owned_waiting_jobs = owned_waiting_jobs
        self._clock = clock
        self._metrics = metrics
        self._log = log
        self._cancel_limit = CancelLimit()
        self._unknown_inserts = UnknownInserts()
        self._admission = AdmissionControl(store, store_availability, owner_view, metrics)

    async def submit(
        self, call: RoutedCall, job_id: str, spec: JobSpec, deadline_ms: int
    ) -> Result[SubmitResult, Fault]:
        """Accepts a job; a repeated call with the same id has no further effect.

        `deadline_ms` is how long the caller waits.  Errors: STORE_UNAVAILABLE (the job never
        runs), JOB_OUTCOME_UNKNOWN, BODY_TOO_LARGE, JOB_EXCEEDS_QUOTA and JOB_TOO_LATE (the job
        never runs).
        """
        started_ms = self._clock.now_ms()
        may_be_stored = self._unknown_inserts.contains(job_id, started_ms)
        excess = None
        if not may_be_stored:
            excess = await self._find_quota_fault(call, job_id, spec, deadline_ms)
        if excess is not None:
            self._metrics.count("jobs_beyond_quota_total")
            refusal_fields = {"job_id": job_id, "workspace": call.workspace}
            code_and_reason = {"code": excess.code.value, "reason": excess.detail}
            self._log("job_not_accepted", {**refusal_fields, **code_and_reason})
            return Failure(excess)
        remaining_ms = max(0, deadline_ms - (self._clock.now_ms() - started_ms))
        refused = None
        if not may_be_stored:
            refused = await self._admission.check(call, job_id, spec, remaining_ms)
        if refused is not None:
            fault, inputs = refused
            fields = self._submission_fields(call, job_id, deadline_ms, started_ms)
            reason = {"code": fault.code.value, "reason": fault.detail}
            self._log("job_not_accepted", {**fields, **reason, **inputs})
            return Failure(fault)
        record = JobRecord(
            job_id,
            call.route.queue,
            call.workspace,
            spec,
            self._clock.unix_ms(),
            call.policy_version,
        )
        value = encode_record(record)
        if len(value) > MAX_ROW_BYTES:
            return Failure(self._refuse_large_job(job_id, len(value)))
        key = JOB_PREFIX + job_id
        outcome = await self._insert(key, value, started_ms, deadline_ms, may_be_stored)
        self._metrics.observe_ms("submit_ms", self._clock.now_ms() - started_ms)
        fields = self._submission_fields(call, job_id, deadline_ms, started_ms)
        match outcome:
            case Success(IntakeInserted(is_new=is_new)):
                self._log("job_accepted", {**fields, "new": is_new})
                return Success(SubmitResult(is_new))
            case Failure(Fault() as fault):
                if fault.code is ResultCode.JOB_OUTCOME_UNKNOWN:
                    self._unknown_inserts.add(job_id, self._clock.now_ms())
                self._log(
                    "job_not_accepted",
                    {**fields, "code": fault.code.value, "reason": fault.detail},
                )
                return Failure(fault)
            case _:
                raise AssertionError("a Result is Success or Failure")

    def _refuse_large_job(self, job_id: str, size: int) -> Fault:
        """Logs and returns the fault of a job that no row of the store can hold."""
        detail = f"the job needs {size} bytes, at most {MAX_ROW_BYTES} can be stored"
        fault = Fault(ResultCode.BODY_TOO_LARGE, detail)
        self._log(
            "job_not_accepted", {"job_id": job_id, "code": fault.code.value, "reason": detail}
        )
        return fault

    async def _find_quota_fault(
        self, call: RoutedCall, job_id: str, spec: JobSpec, deadline_ms: int
    ) -> Fault | None:
        """Returns the fault of a new job that its workspace's quota can never admit, or None.

        A job that is stored already, or may be, is not refused: it may run.
        """
        step_index = find_step_beyond_quota(spec, call.quota) if call.quota is not None else None
        if step_index is None:
            return None
        timeout_s = (deadline_ms - _answer_margin_ms(deadline_ms)) / 1000 / 2
        try:
            state = await asyncio.wait_for(self.state(job_id), timeout_s)
        except TimeoutError:
            return None
        match state:
            case Failure(Fault(code=ResultCode.JOB_NOT_FOUND)):
                detail = f"step {step_index} is larger than the quota of the workspace"
                return Fault(ResultCode.JOB_EXCEEDS_QUOTA, detail, QUOTA_RETRY_AFTER_MS)
        return None

    def _submission_fields(
        self, call: RoutedCall, job_id: str, deadline_ms: int, started_ms: int
    ) -> dict[str, Any]:
        return {
            "job_id": job_id,
            "queue": call.route.queue.name,
            "workspace": call.workspace,
            "deadline_ms": deadline_ms,
            "took_ms": self._clock.now_ms() - started_ms,
        }

    async def cancel(self, call: RoutedCall, job_id: str, deadline_ms: int) -> Result[None, Fault]:
        """Cancels a job; one that is still being accepted is not accepted any more.

        Errors: JOB_NOT_FOUND (the job doesn't exist, and a submission from before the call never
        runs), TOO_MANY_CANCELS, STORE_UNAVAILABLE, JOB_OUTCOME_UNKNOWN.
        """
        started_ms = self._clock.now_ms()
        is_known = True
        match await self.state(job_id):
            case Failure(Fault(code=ResultCode.JOB_NOT_FOUND)):
                is_known = False
                delay_ms = self._cancel_limit.admit(call.workspace, started_ms)
                if delay_ms:
                    detail = "too many cancellations of unknown jobs"
                    return Failure(Fault(ResultCode.TOO_MANY_CANCELS, detail, delay_ms))
            case Failure(fault):
                return Failure(fault)
            case Success(JobState() as state) if state.is_final:
                return Success(None)
        value = encode_record(CancelRow(call.workspace, call.route.queue.name, is_known))
        key = CANCEL_PREFIX + job_id
        outcome = await self._insert(key, value, started_ms, deadline_ms, is_job_known=is_known)
        fields = {"job_id": job_id, "took_ms": self._clock.now_ms() - started_ms}
        match outcome:
            case Success(IntakeInserted(has_job=has_job)):
                self._log("cancel_accepted", {**fields, "has_job": has_job})
                if not has_job:
                    return Failure(Fault(ResultCode.JOB_NOT_FOUND, "no such job"))
                return Success(None)
            case Failure(Fault() as fault):
                reason = {"code": fault.code.value, "reason": fault.detail}
                self._log("cancel_not_accepted", {**fields, **reason})
                return Failure(fault)
            case _:
                raise AssertionError("a Result is Success or Failure")

    async def state(self, job_id: str) -> Result[JobState, Fault]:
        """Returns the state of a job.  Errors: JOB_NOT_FOUND, STORE_UNAVAILABLE."""
        state = await self._state_from_owner(job_id)
        if state is not None:
            return Success(state)
        return await self._state_from_store(job_id)

    def waiting_count(self, queue: str) -> Result[int, Fault]:
        """Returns the number of jobs of a queue that have not started.  Errors: NO_OWNER."""
        if self._is_owner():
            return Success(self._owned_waiting_jobs().get(queue, 0))
        count = self._owner_view.waiting_job_count(queue, WAITING_MAX_AGE_MS)
        if count is None:
            detail = "no recent heartbeat of the owner of the jobs"
            return Failure(Fault(ResultCode.NO_OWNER, detail, STORE_RETRY_AFTER_MS))
        return Success(count)

    async def _insert(
        self,
        key: str,
        value: bytes,
        started_ms: int,
        deadline_ms: int,
        may_be_stored: bool = False,
        is_job_known: bool = True,
    ) -> Result[IntakeInserted, Fault]:
        """Inserts an intake row with retries until the deadline.

        `may_be_stored` is set if an earlier call may have stored the job, `is_job_known` if a
        cancellation is of a job that was found.
        """
        answer_by_ms = started_ms + deadline_ms - _answer_margin_ms(deadline_ms)
        is_retry = False
        is_announced = self._announce_if_slow(key, value)
        while True:
            fault = Fault(ResultCode.STORE_UNAVAILABLE, "the store does not answer")
            remaining_ms = answer_by_ms - self._clock.now_ms()
            if remaining_ms >= MIN_INSERT_MS and await self._store_availability.is_answering(
                key, remaining_ms
            ):
                is_announced = is_announced or self._announce_if_slow(key, value)
                match await self._insert_directly(key, value, answer_by_ms, is_retry, is_job_known):
                    case Success(IntakeInserted() as inserted):
                        return Success(inserted)
                    case Failure(Fault(code=ResultCode.JOB_CANCELLED) as cancelled):
                        return Failure(cancelled)
                    case Failure(Fault() as fault):
                        is_retry = is_retry or fault.code is ResultCode.STORE_OUTCOME_UNKNOWN
            match await self._insert_via_owner(key, value, answer_by_ms):
                case Success(IntakeInserted() as inserted):
                    return Success(inserted)
                case Failure(Fault(code=ResultCode.JOB_CANCELLED) as cancelled):
                    return Failure(cancelled)
                case Failure(Fault(code=ResultCode.STORE_OUTCOME_UNKNOWN)):
                    is_retry = True
            if answer_by_ms - self._clock.now_ms() < MIN_INSERT_MS:
                detail = "too little time is left before the deadline"
                fault = Fault(ResultCode.STORE_UNAVAILABLE, detail)
                return Failure(_final_fault(fault, may_be_stored or is_retry))
            if self._is_retry_exhausted(key, started_ms, answer_by_ms):
                return Failure(_final_fault(fault, may_be_stored or is_retry))
            await asyncio.sleep(RETRY_PAUSE_MS / 1000)

    def _announce_if_slow(self, key: str, value: bytes) -> bool:
        """Announces a job to the owner if its insert will take long; returns whether it did.

        The owner then places the job while the insert is under way.
        """
        availability = self._store_availability
        if not key.startswith(JOB_PREFIX) or not availability.is_slow or availability.is_lost(key):
            return False
        announcement = JobAnnouncement(key.removeprefix(JOB_PREFIX), value)
        owner = self._owner_view.row
        if self._is_owner():
            self._announce_owned_job(announcement)
        elif owner is not None:
            self._hub.notify(owner.address, owner.port, announcement)
        return True

    async def _insert_directly(
        self, key: str, value: bytes, answer_by_ms: int, is_retry: bool, is_job_known: bool
    ) -> Result[IntakeInserted, Fault]:
        """Inserts a row with one attempt from this host.

        Errors: STORE_UNAVAILABLE, STORE_OUTCOME_UNKNOWN, JOB_CANCELLED.
        """
        timeout_ms = min(COMMIT_TIMEOUT_MS, answer_by_ms - self._clock.now_ms())
        if timeout_ms < MIN_INSERT_MS:
            return Failure(Fault(ResultCode.STORE_UNAVAILABLE, "too little time is left"))
        if key.startswith(CANCEL_PREFIX):
            return await self._cancel_directly(key, value, timeout_ms, is_job_known)
        match await insert_intake_row(self._store, key, value, timeout_ms, is_retry):
            case Success(None):
                return Success(IntakeInserted(False))
            case Success(int() as version):
                self._notify_owner(StoredRow(key, value, version))
                return Success(IntakeInserted(True))
            case Failure(Fault() as fault):
                return Failure(fault)
            case _:
                raise AssertionError("a Result is Success or Failure")

    async def _cancel_directly(
        self, key: str, value: bytes, timeout_ms: int, is_job_known: bool
    ) -> Result[IntakeInserted, Fault]:
        insert = insert_known_cancellation if is_job_known else insert_cancellation
        match await insert(self._store, key, value, timeout_ms):
            case Success(CancelStored(has_job=has_job, row=row)):
                if row is not None:
                    self._notify_owner(StoredRow(key, row.value, row.version))
                return Success(IntakeInserted(row is not None, has_job))
            case Failure(Fault() as fault):
                return Failure(fault)
            case _:
                raise AssertionError("a Result is Success or Failure")

    def _notify_owner(self, row: StoredRow) -> None:
        """Sends a new row to the owner ahead of the store's change feed, which also delivers it."""
        owner = self._owner_view.row
        if self._is_owner():
            self._apply_owned_row(row)
        elif owner is not None:
            self._hub.notify(owner.address, owner.port, IntakeNotice(row))

    async def _insert_via_owner(
        self, key: str, value: bytes, answer_by_ms: int
    ) -> Result[IntakeInserted, Fault]:
        """Sends a row to the owner, which inserts it.

        A row that an earlier attempt with an unknown outcome has inserted counts as not new.
        Errors: PEER_UNREACHABLE, STORE_OUTCOME_UNKNOWN, JOB_CANCELLED.
        """
        owner = self._owner_view.row
        if owner is None or self._is_owner():
            return Failure(Fault(ResultCode.PEER_UNREACHABLE, "no other node is the owner"))
        timeout_ms = min(OWNER_TIMEOUT_MS, answer_by_ms - self._clock.now_ms())
        if timeout_ms < MIN_INSERT_MS:
            return Failure(Fault(ResultCode.PEER_UNREACHABLE, "too little time is left"))
        call = IntakeInsert(key, value, timeout_ms)
        match await self._hub.call(owner.address, owner.port, call, timeout_ms):
            case Success(StreamReply(code=ResultCode.OK, body=body)):
                inserted = convert(IntakeInserted, body).value_or(None)
                if inserted is not None:
                    return Success(inserted)
            case Success(StreamReply(code=ResultCode.JOB_CANCELLED, detail=detail)):
                return Failure(Fault(ResultCode.JOB_CANCELLED, detail, CANCELLED_RETRY_AFTER_MS))
            case Success(StreamReply(code=ResultCode.STORE_UNAVAILABLE | ResultCode.NOT_OWNER)):
                return Failure(
                    Fault(ResultCode.PEER_UNREACHABLE, "the owner did not insert the row")
                )
            case Failure(Fault(code=ResultCode.PEER_UNREACHABLE) as fault):
                return Failure(fault)
        return Failure(Fault(ResultCode.STORE_OUTCOME_UNKNOWN, "no valid response from the owner"))

    def _is_retry_exhausted(self, key: str, started_ms: int, answer_by_ms: int) -> bool:
        """Whether another attempt would fail or exceed the retry time or the caller's deadline."""
        if self._store_availability.is_lost(key):
            return True
        end_ms = min(started_ms + MAX_RETRY_MS, answer_by_ms)
        return self._clock.now_ms() + RETRY_PAUSE_MS >= end_ms

    async def _state_from_owner(self, job_id: str) -> JobState | None:
        if self._is_owner():
            return self._owned_job_state(job_id)
        row = self._owner_view.row
        if row is None:
            return None
        outcome = await self._hub.call(
            row.address, row.port, JobStateQuery(job_id), OWNER_TIMEOUT_MS
        )
        reply = outcome.value_or(None)
        if reply is None or reply.code is not ResultCode.OK:
            return None
        match convert(JobStateAnswer, reply.body):
            case Success(JobStateAnswer(state=state)) if state:
                return JobState(state)
        return None

    async def _state_from_store(self, job_id: str) -> Result[JobState, Fault]:
        reads = await asyncio.gather(
            self._store.read(PROGRESS_TABLE, READ_TIMEOUT_MS, job_id),
            self._store.read(INTAKE_TABLE, READ_TIMEOUT_MS, JOB_PREFIX + job_id),
            self._store.read(INTAKE_TABLE, READ_TIMEOUT_MS, CANCEL_PREFIX + job_id),
        )
        snapshots: list[Snapshot] = []
        for read in reads:
            match read:
                case Success(Snapshot() as snapshot):
                    snapshots.append(snapshot)
                case Failure(Fault() as fault):
                    return Failure(
                        Fault(ResultCode.STORE_UNAVAILABLE, fault.detail, STORE_RETRY_AFTER_MS)
                    )
        progress, job, cancel = snapshots
        if not job.rows:
            return Failure(Fault(ResultCode.JOB_NOT_FOUND, "no such job"))
        state = JobState.QUEUED
        for row in progress.rows:
            state = decode_progress_state(row.value or b"") or state
        if cancel.rows and not state.is_final:
            state = JobState.CANCELLED
        return Success(state)


def _answer_margin_ms(deadline_ms: int) -> int:
    """Returns the time reserved to return the response; at most a quarter of the deadline."""
    return min(ANSWER_MARGIN_MS, deadline_ms // 4)


def _final_fault(fault: Fault, may_be_stored: bool) -> Fault:
    """Returns the fault for the caller; JOB_OUTCOME_UNKNOWN if an insert may have taken effect."""
    code = ResultCode.JOB_OUTCOME_UNKNOWN if may_be_stored else ResultCode.STORE_UNAVAILABLE
    return Fault(code, fault.detail, STORE_RETRY_AFTER_MS)
