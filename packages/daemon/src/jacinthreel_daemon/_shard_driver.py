"""Runs a `ShardCore`: passes it events and performs its effects.

Writes go to the table service with the effect's priority.  A batch is dropped, and reported as
not delivered, if its deadline has passed immediately before its first byte is written.  Reads are
retried with backoff until they succeed.  After an exception inside the core its state is
unreliable: the exception is logged, this process gives up the shard, and the next owner rebuilds
the state from the stored rows.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Coroutine
from typing import Any, Final, assert_never

from returns.result import Failure, Success

from jacinthreel_common import (
    CONFIG_KEY,
    CommandReply,
    Fault,
    ReadQuery,
    ReadReply,
    ResultCode,
    Row,
    StreamReply,
    Transaction,
    WriteOutcome,
    to_plain,
)
from jacinthreel_daemon._backoff import Backoff
from jacinthreel_daemon._http_pool import HttpFailure
from jacinthreel_daemon._logs import EventLog
from jacinthreel_daemon._ports import Clock, TableStore, Telemetry
from jacinthreel_daemon._worker_client import WorkerClients
from jacinthreel_daemon._write_outcomes import classify_write_result, extract_row_versions
from jacinthreel_jobs import (
    Effect,
    Event,
    JobCancelled,
    JobSubmitted,
    LogDecision,
    ReadRows,
    Reply,
    RowsRead,
    SendBatch,
    ShardCore,
    StepDown,
    WorkerReplied,
    WorkerUnreachable,
    Write,
    WriteDone,
)

READ_RETRY_BASE_MS: Final = 200
READ_RETRY_CAP_MS: Final = 2_000
CALL_TIMEOUT_S: Final = 30.0
DRAIN_POLL_S: Final = 0.02

Spawn = Callable[[Coroutine[Any, Any, None]], asyncio.Task[None]]


class ShardDriver:
    """Drives the core of one shard.

    `on_step_down` is called with the reason when this process must give up the shard.
    `on_stale_config` is called when a write conflict shows that a newer configuration exists.
    """

    def __init__(
        self,
        core: ShardCore,
        store: TableStore,
        workers: WorkerClients,
        clock: Clock,
        telemetry: Telemetry,
        log: EventLog,
        rng: random.Random,
        spawn: Spawn,
        on_step_down: Callable[[str], None],
        on_stale_config: Callable[[], None],
    ) -> None:
        self.core = core
        self._store = store
        self._workers = workers
        self._clock = clock
        self._telemetry = telemetry
        self._log = log
        self._rng = rng
        self._spawn = spawn
        self._on_step_down = on_step_down
        self._on_stale_config = on_stale_config
        self._next_call_id = 1
        self._replies_by_id: dict[int, asyncio.Future[StreamReply]] = {}
        self._batches_in_flight = 0

    def feed(self, event: Event) -> None:
        """Passes an event to the core and performs the resulting effects."""
        try:
            effects = self.core.handle(event, self._clock.now_ms())
        except Exception as error:
            self._telemetry.count("core_errors_total")
            self._log.error("core_failed", error)
            self._on_step_down("internal error")
            return
        for effect in effects:
            self._perform(effect)

    async def submit(self, make_event: Callable[[int], JobSubmitted | JobCancelled]) -> StreamReply:
        """Passes a caller's event to the core and waits for its `Reply`.

        Returns JOB_OUTCOME_UNKNOWN after `CALL_TIMEOUT_S`.
        """
        call_id = self._next_call_id
        self._next_call_id += 1
        future: asyncio.Future[StreamReply] = asyncio.get_running_loop().create_future()
        self._replies_by_id[call_id] = future
        try:
            self.feed(make_event(call_id))
            async with asyncio.timeout(CALL_TIMEOUT_S):
                return await future
        except TimeoutError:
            return StreamReply(
                ResultCode.JOB_OUTCOME_UNKNOWN, "the scheduler did not answer in time"
            )
        finally:
            self._replies_by_id.pop(call_id, None)

    async def drain_batches(self, timeout_s: float) -> None:
        """Waits up to `timeout_s` until no batch is in flight to a worker."""
        try:
            async with asyncio.timeout(timeout_s):
                while self._batches_in_flight:
                    await asyncio.sleep(DRAIN_POLL_S)
        except TimeoutError:
            self._log.warning("batches_pending", {"count": self._batches_in_flight})

    async def read_with_retries(
        self, query: ReadQuery, is_needed: Callable[[], bool]
    ) -> list[Row] | None:
        """Reads rows, retrying until success; returns None once `is_needed()` is false."""
        backoff = Backoff(self._rng, READ_RETRY_BASE_MS, READ_RETRY_CAP_MS)
        while is_needed():
            match await self._store.read(query):
                case Success(ReadReply(rows=rows)):
                    return rows if is_needed() else None
                case Failure(Fault()):
                    await asyncio.sleep(backoff.next_ms() / 1000)
        return None

    def _perform(self, effect: Effect) -> None:
        match effect:
            case Write():
                self._spawn(self._write(effect))
            case ReadRows():
                self._spawn(self._read(effect))
            case SendBatch():
                self._batches_in_flight += 1
                self._spawn(self._send_batch(effect))
            case Reply():
                self._resolve_reply(effect)
            case LogDecision(event=event, fields=fields):
                self._telemetry.count(f'decisions_total{{event="{event}"}}')
                self._log.info(event, fields)
            case StepDown(reason=reason):
                self._on_step_down(reason)
            case _:
                assert_never(effect)

    async def _write(self, effect: Write) -> None:
        transaction = Transaction(effect.write_id, effect.conditions, effect.writes)
        result = await self._store.transact(transaction, int(effect.priority))
        outcome = classify_write_result(result)
        versions = extract_row_versions(result)
        conflicts: list[str] = []
        if outcome is WriteOutcome.CONFLICT:
            conflicts, versions = sorted(versions), {}
            if CONFIG_KEY in conflicts:
                self._on_stale_config()
        self.feed(WriteDone(effect.write_id, outcome, versions, conflicts))

    async def _read(self, effect: ReadRows) -> None:
        epoch = self.core.epoch
        rows = await self.read_with_retries(
            ReadQuery(keys=effect.keys), lambda: self.core.epoch == epoch
        )
        if rows is not None:
            self.feed(RowsRead(effect.read_id, rows))

    async def _send_batch(self, effect: SendBatch) -> None:
        sent_ms = self._clock.now_ms()
        try:
            outcome = await self._workers.send(
                effect.worker_id,
                effect.batch,
                lambda: self._clock.now_ms() < effect.not_after_ms,
            )
        finally:
            self._batches_in_flight -= 1
        worker_id, batch_id = effect.worker_id, effect.batch_id
        match outcome:
            case Success(CommandReply() as reply):
                self._telemetry.observe_ms("worker_batch_ms", self._clock.now_ms() - sent_ms)
                self.feed(WorkerReplied(worker_id, batch_id, sent_ms, reply))
            case Failure(HttpFailure(sent=sent)):
                self._telemetry.count("worker_batch_failures_total")
                self.feed(WorkerUnreachable(worker_id, batch_id, sent_ms, sent))

    def _resolve_reply(self, effect: Reply) -> None:
        future = self._replies_by_id.get(effect.call_id)
        if future is None or future.done():
            return
        body = to_plain(effect.body)
        future.set_result(StreamReply(effect.code, effect.detail, effect.retry_after_ms, body))
