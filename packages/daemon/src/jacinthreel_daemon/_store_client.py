"""The client of the platform's table service.

A transaction is sent once.  A failure says exactly what is known: STORE_UNAVAILABLE where
nothing was sent or the store said that it did nothing, STORE_BUDGET_SPENT where this process has
spent its rows, STORE_OUTCOME_UNKNOWN where the request went out and no whole reply came back.
Rows are paid from the budget before, so that all processes together stay within what the
platform serves.
"""

from __future__ import annotations

import asyncio
import random
from typing import Final, TypeVar

from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from jacinthreel_common import (
    Fault,
    ReadQuery,
    ReadReply,
    ResultCode,
    Transaction,
    TransactionReply,
    decode_json,
    encode_json,
)
from jacinthreel_daemon._budget import Admission, CircuitBreaker, RowBudget
from jacinthreel_daemon._http_pool import HttpFailure, HttpPool, HttpReply
from jacinthreel_daemon._ports import Clock, Telemetry

CONNECT_TIMEOUT_MS: Final = 1_000
STORE_TIMEOUT_MS: Final = 6_000  # The store can take seconds for a call without being out.
BUDGET_RETRY_AFTER_MS: Final = 1_000
READ_PRIORITY: Final = 1

T = TypeVar("T")


class StoreClient:
    """Sends transactions and reads; see the port `TableStore`."""

    def __init__(
        self,
        pool: HttpPool,
        clock: Clock,
        writes: RowBudget,
        reads: RowBudget,
        telemetry: Telemetry,
        rng: random.Random,
    ) -> None:
        self._pool = pool
        self._writes = writes
        self._reads = reads
        self._telemetry = telemetry
        self._circuit = CircuitBreaker(clock, rng)

    @property
    def is_out(self) -> bool:
        """Whether the store is regarded as out."""
        return self._circuit.is_open

    async def transact(
        self, transaction: Transaction, priority: int
    ) -> Result[TransactionReply, Fault]:
        """Sends a transaction once.

        Errors: STORE_UNAVAILABLE (certainly not applied), STORE_BUDGET_SPENT (not sent),
        STORE_OUTCOME_UNKNOWN.
        """
        rows = max(1, len(transaction.writes))
        admission = self._circuit.admit()
        if admission is Admission.REFUSED:
            return Failure(self._out("the store is out"))
        try:
            if not await self._writes.acquire(rows, priority):
                return Failure(self._spent())
            self._telemetry.count("store_rows_written_total", rows)
            body = encode_json(transaction)
            return await self._post("/v1/transact", body, TransactionReply, True)
        finally:
            self._circuit.finish_operation(admission)

    async def read(self, query: ReadQuery) -> Result[ReadReply, Fault]:
        """Reads rows.  Errors: STORE_UNAVAILABLE, STORE_BUDGET_SPENT."""
        rows = max(1, len(query.keys) + len(query.prefixes))
        admission = self._circuit.admit()
        if admission is Admission.REFUSED:
            return Failure(self._out("the store is out"))
        try:
            if not await self._reads.acquire(rows, READ_PRIORITY):
                return Failure(self._spent())
            reply = await self._post("/v1/read", encode_json(query), ReadReply, False)
            found = len(reply.unwrap().rows) if is_successful(reply) else 0
            self._reads.charge(max(0, found - rows))
            self._telemetry.count("store_rows_read_total", max(rows, found))
            return reply
        finally:
            self._circuit.finish_operation(admission)

    async def _post(
        self, path: str, body: bytes, kind: type[T], is_write: bool
    ) -> Result[T, Fault]:
        started_s = asyncio.get_running_loop().time()
        outcome = await self._pool.post(path, body, STORE_TIMEOUT_MS)
        operation = "write" if is_write else "read"
        elapsed_ms = (asyncio.get_running_loop().time() - started_s) * 1000
        self._telemetry.observe_ms(f'store_latency_ms{{operation="{operation}"}}', elapsed_ms)
        match outcome:
            case Success(HttpReply(status=200 | 409) as reply):
                self._circuit.record_success()
                return self._decode(kind, reply.body, is_write)
            case Success(HttpReply(status=status)):
                # An error status doesn't say whether the write took effect, unless it is a
                # refusal: 4xx means that the request was not accepted, 503 that the service
                # turned it away.
                refused = 400 <= status < 500 or status == 503
                if status < 500:
                    self._circuit.record_success()  # The service answers; it is not out.
                else:
                    self._note_failure(operation)
                return Failure(self._lost(is_write and not refused, f"status {status}"))
            case Failure(HttpFailure() as failure):
                self._note_failure(operation)
                return Failure(self._lost(is_write and failure.sent, failure.detail))
            case _:
                raise AssertionError("a Result is Success or Failure")

    def _decode(self, kind: type[T], body: bytes, is_write: bool) -> Result[T, Fault]:
        decoded = decode_json(kind, body)
        match decoded:
            case Failure(Fault(detail=detail)):
                return Failure(self._lost(is_write, f"bad reply: {detail}"))
        return decoded

    def _note_failure(self, operation: str) -> None:
        self._circuit.record_failure()
        self._telemetry.count(f'store_failures_total{{operation="{operation}"}}')

    def _lost(self, unknown: bool, detail: str) -> Fault:
        if unknown:
            return Fault(ResultCode.STORE_OUTCOME_UNKNOWN, detail)
        return self._out(detail)

    def _out(self, detail: str) -> Fault:
        return Fault(ResultCode.STORE_UNAVAILABLE, detail, self._circuit.retry_after_ms())

    def _spent(self) -> Fault:
        detail = "this host's share of table operations is spent"
        return Fault(ResultCode.STORE_BUDGET_SPENT, detail, BUDGET_RETRY_AFTER_MS)
