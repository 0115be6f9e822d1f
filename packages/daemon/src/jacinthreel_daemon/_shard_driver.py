"""Runs a `ShardCore`: events in, and each effect carried out.

Writes go to the table service with the effect's priority.  A batch is dropped, and reported as
not delivered, if its time has passed right before its first byte is written.  Reads are repeated
with backoff until they succeed.  An exception inside the core means that its state can't be
trusted: it is logged, the shard is given up, and whoever owns it next starts from the rows.
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
from jacinthreel_daemon._write_outcomes import reply_versions, write_outcome
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
CALL_LIMIT_S: Final = 30.0
DRAIN_POLL_S: Final = 0.02

Spawn = Callable[[Coroutine[Any, Any, None]], asyncio.Task[None]]


class ShardDriver:
    """Drives the core of one shard.

    `on_step_down` is told why the shard has to be given up, `on_stale_config` that a write found
    a newer configuration.
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
        self._batches_sending = 0

    def feed(self, event: Event) -> None:
        """Passes an event to the core and carries out what it wants done."""
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
        """Passes a caller's event to the core and waits for its `Reply`."""
        call_id = self._next_call_id
        self._next_call_id += 1
        future: asyncio.Future[StreamReply] = asyncio.get_running_loop().create_future()
        self._replies_by_id[call_id] = future
        try:
            self.feed(make_event(call_id))
            async with asyncio.timeout(CALL_LIMIT_S):
                return await future
        except TimeoutError:
            return StreamReply(ResultCode.JOB_OUTCOME_UNKNOWN, "the scheduler gave no answer")
        finally:
            self._replies_by_id.pop(call_id, None)

    async def drain_batches(self, limit_s: float) -> None:
        """Waits until no batch is on its way to a worker."""
        try:
            async with asyncio.timeout(limit_s):
                while self._batches_sending:
                    await asyncio.sleep(DRAIN_POLL_S)
        except TimeoutError:
            self._log.warning("batches_pending", {"count": self._batches_sending})

    async def read_until_done(
        self, query: ReadQuery, wanted: Callable[[], bool]
    ) -> list[Row] | None:
        """Reads rows with retries; None once `wanted` says no."""
        backoff = Backoff(self._rng, READ_RETRY_BASE_MS, READ_RETRY_CAP_MS)
        while wanted():
            match await self._store.read(query):
                case Success(ReadReply(rows=rows)):
                    return rows if wanted() else None
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
                self._batches_sending += 1
                self._spawn(self._send(effect))
            case Reply():
                self._reply(effect)
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
        outcome = write_outcome(result)
        versions = reply_versions(result)
        conflicts: list[str] = []
        if outcome is WriteOutcome.CONFLICT:
            conflicts, versions = sorted(versions), {}
            if CONFIG_KEY in conflicts:
                self._on_stale_config()
        self.feed(WriteDone(effect.write_id, outcome, versions, conflicts))

    async def _read(self, effect: ReadRows) -> None:
        epoch = self.core.epoch
        rows = await self.read_until_done(
            ReadQuery(keys=effect.keys), lambda: self.core.epoch == epoch
        )
        if rows is not None:
            self.feed(RowsRead(effect.read_id, rows))

    async def _send(self, effect: SendBatch) -> None:
        sent_ms = self._clock.now_ms()
        try:
            outcome = await self._workers.send(
                effect.worker_id,
                effect.batch,
                lambda: self._clock.now_ms() < effect.not_after_ms,
            )
        finally:
            self._batches_sending -= 1
        worker_id, batch_id = effect.worker_id, effect.batch_id
        match outcome:
            case Success(CommandReply() as reply):
                self._telemetry.observe_ms("worker_batch_ms", self._clock.now_ms() - sent_ms)
                self.feed(WorkerReplied(worker_id, batch_id, sent_ms, reply))
            case Failure(HttpFailure(sent=sent)):
                self._telemetry.count("worker_batch_failures_total")
                self.feed(WorkerUnreachable(worker_id, batch_id, sent_ms, sent))

    def _reply(self, effect: Reply) -> None:
        future = self._replies_by_id.get(effect.call_id)
        if future is None or future.done():
            return
        body = to_plain(effect.body)
        future.set_result(StreamReply(effect.code, effect.detail, effect.retry_after_ms, body))
