"""What callers are told, with the store well, lost, or silent about what it did."""

from __future__ import annotations

import asyncio
from typing import Any, cast

from node_fakes import HandClock, MemoryStore
from returns.result import Failure, Result, Success

from jacinthreel_common import Fault, IntakeInserted, ResultCode, StreamReply, to_plain
from jacinthreel_daemon.plumbing import MetricsRegistry, StreamHub
from jacinthreel_node import Route, RoutedCall, SubmitResult
from jacinthreel_node._job_service import MIN_INSERT_MS, JobService
from jacinthreel_node._owner_view import OwnerView
from jacinthreel_node._records import OwnerRow
from jacinthreel_steps import JobSpec, JobState, QueueTerms, Resources, StepSpec

JOB_ID = "5c0e7a21d94b36f8"
SPEC = JobSpec("x", (StepSpec(1, Resources(1, 1, 1)),))
CALL = RoutedCall(Route("h", "/q/", QueueTerms("q", "s", 1, 3, 3.0, 1_000)), JOB_ID, "w")


class ToldHub:
    """Peers that answer as they are told; counts the calls."""

    def __init__(self, reply: Result[StreamReply, Fault]) -> None:
        self.reply = reply
        self.calls: list[object] = []
        self.notices: list[object] = []

    async def call(
        self, address: str, port: int, message: object, timeout_ms: int
    ) -> Result[StreamReply, Fault]:
        self.calls.append(message)
        return self.reply

    def notify(self, address: str, port: int, message: object) -> bool:
        self.notices.append(message)
        return True


UNREACHABLE: Result[StreamReply, Fault] = Failure(Fault(ResultCode.PEER_UNREACHABLE, "cut"))


class Desk:
    """A job service with a store in memory."""

    def __init__(self, reply: Result[StreamReply, Fault] = UNREACHABLE) -> None:
        self.clock = HandClock()
        self.store = MemoryStore()
        self.hub = ToldHub(reply)
        self.owner = OwnerView(self.clock)
        self.owner.apply_row(OwnerRow(1, "other", "10.0.0.2", 7000, "n"), 1)
        self.is_store_lost = False
        self.answers_now = True
        self.own_rows: list[Any] = []
        self.is_owner = False
        self.service = JobService(
            self.store,
            cast(StreamHub, self.hub),
            self.owner,
            lambda job_id: None,
            lambda: self.is_owner,
            dict,
            self.own_rows.append,
            self,
            self.clock,
            MetricsRegistry(),
            lambda event, fields: None,
        )

    def is_lost(self, key: str) -> bool:
        return self.is_store_lost

    async def is_answering(self, key: str) -> bool:
        return self.answers_now and not self.is_store_lost

    def submit(self, deadline_ms: int = 3_000) -> Result[SubmitResult, Fault]:
        return asyncio.run(self.service.submit(CALL, JOB_ID, SPEC, deadline_ms))

    def state(self) -> Result[JobState, Fault]:
        return asyncio.run(self.service.state(JOB_ID))


def test_job_is_accepted_once_and_the_owner_is_told() -> None:
    desk = Desk()
    assert desk.submit() == Success(SubmitResult(True))
    assert desk.submit() == Success(SubmitResult(False))
    assert len(desk.hub.notices) == 1


def test_owner_takes_in_what_it_accepts_itself() -> None:
    desk = Desk()
    desk.is_owner = True
    desk.submit()
    assert len(desk.own_rows) == 1


def test_lost_store_is_a_refusal_at_once_that_sends_nothing() -> None:
    desk = Desk()
    desk.is_store_lost = True
    fault = desk.submit().failure()
    assert fault.code is ResultCode.STORE_UNAVAILABLE
    assert fault.retry_after_ms is not None
    assert desk.store.commits == 0


def test_silent_store_is_a_refusal_that_has_sent_nothing() -> None:
    desk = Desk()
    desk.answers_now = False

    async def submit() -> Result[SubmitResult, Fault]:
        task = asyncio.create_task(desk.service.submit(CALL, JOB_ID, SPEC, 3_000))
        await asyncio.sleep(0.01)
        desk.is_store_lost = True
        return await task

    fault = asyncio.run(submit()).failure()
    assert fault.code is ResultCode.STORE_UNAVAILABLE
    assert desk.store.commits == 0


def test_caller_with_too_little_time_left_is_refused_and_nothing_is_sent() -> None:
    desk = Desk()
    fault = desk.submit(deadline_ms=MIN_INSERT_MS).failure()
    assert fault.code is ResultCode.STORE_UNAVAILABLE
    assert fault.retry_after_ms is not None
    assert desk.store.commits == 0
    assert desk.hub.calls == []


def test_short_deadline_leaves_the_store_most_of_the_time() -> None:
    desk = Desk()
    assert desk.submit(deadline_ms=200) == Success(SubmitResult(True))
    assert desk.store.timeouts_ms == [150]


def test_owner_inserts_for_a_node_that_the_store_turns_away() -> None:
    inserted = to_plain(IntakeInserted(True))
    desk = Desk(Success(StreamReply(ResultCode.OK, body=inserted)))
    desk.is_store_lost = True
    assert desk.submit() == Success(SubmitResult(True))


def test_owner_without_the_store_leaves_the_refusal_true() -> None:
    desk = Desk(Success(StreamReply(ResultCode.STORE_UNAVAILABLE)))
    desk.is_store_lost = True
    assert desk.submit().failure().code is ResultCode.STORE_UNAVAILABLE


def test_after_an_insert_without_an_answer_nobody_is_told_not_run() -> None:
    desk = Desk()
    desk.store.faults = [ResultCode.STORE_OUTCOME_UNKNOWN] + [ResultCode.STORE_UNAVAILABLE] * 50
    desk.is_store_lost = False
    desk.clock.time_ms += 0

    async def submit() -> Result[SubmitResult, Fault]:
        task = asyncio.create_task(desk.service.submit(CALL, JOB_ID, SPEC, 3_000))
        await asyncio.sleep(0.01)
        desk.is_store_lost = True
        return await task

    fault = asyncio.run(submit()).failure()
    assert fault.code is ResultCode.JOB_OUTCOME_UNKNOWN
    assert fault.retry_after_ms is not None


def test_insert_that_took_effect_unseen_is_found_on_the_second_try() -> None:
    desk = Desk()
    desk.store.faults = [ResultCode.STORE_OUTCOME_UNKNOWN]
    desk.store.applied_without_answer = True
    assert desk.submit() == Success(SubmitResult(False))


def test_state_is_read_from_the_store_without_the_owner() -> None:
    desk = Desk()
    assert desk.state().failure().code is ResultCode.JOB_NOT_FOUND
    desk.submit()
    assert desk.state() == Success(JobState.QUEUED)
    desk.store.read_faults = [ResultCode.STORE_UNAVAILABLE]
    assert desk.state().failure().code is ResultCode.STORE_UNAVAILABLE


def test_cancelled_job_is_shown_as_cancelled_before_the_owner_knows() -> None:
    desk = Desk()
    desk.submit()
    assert asyncio.run(desk.service.cancel(JOB_ID, 3_000)) == Success(None)
    assert desk.state() == Success(JobState.CANCELLED)
