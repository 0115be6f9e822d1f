"""Client of the platform's table service.

A transaction is sent once, without retries.  The code of a failure states whether it may have been
applied: STORE_UNAVAILABLE if nothing was sent or the store reported that it did nothing,
STORE_BUDGET_SPENT if this process's row budget is exhausted, and STORE_OUTCOME_UNKNOWN if the
request was sent and no complete, readable reply was received.  Rows are taken from the budget
before a call, so that all processes together stay within the platform's limits; rows that a read
returns beyond these are charged afterwards.
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
STORE_TIMEOUT_MS: Final = 6_000  # A call can take several seconds although the store is up.
BUDGET_RETRY_AFTER_MS: Final = 1_000
READ_PRIORITY: Final = 1

T = TypeVar("T")


class StoreClient:
    """Sends transactions and reads; implements `TableStore`."""

    def __init__(
        self,
        pool: HttpPool,
        clock: Clock,
        write_budget: RowBudget,
        read_budget: RowBudget,
        telemetry: Telemetry,
        rng: random.Random,
    ) -> None:
        self._pool = pool
        self._write_budget = write_budget
        self._read_budget = read_budget
        self._telemetry = telemetry
        self._circuit = CircuitBreaker(clock, rng)

    @property
    def is_unavailable(self) -> bool:
        """Whether recent calls failed and the circuit breaker is open."""
        return self._circuit.is_open

    async def transact(
        self, transaction: Transaction, priority: int
    ) -> Result[TransactionReply, Fault]:
        """Sends a transaction once, without retries.

        Errors: STORE_UNAVAILABLE (not applied), STORE_BUDGET_SPENT (not sent),
        STORE_OUTCOME_UNKNOWN (may have been applied).
        """
        rows = max(1, len(transaction.writes))
        admission = self._circuit.admit(priority)
        if admission is Admission.REFUSED:
            return Failure(self._unavailable_fault("the table service is unavailable"))
        try:
            if not await self._write_budget.acquire(rows, priority):
                return Failure(self._budget_spent_fault())
            self._telemetry.count("store_rows_written_total", rows)
            body = encode_json(transaction)
            return await self._post("/v1/transact", body, TransactionReply, True)
        finally:
            self._circuit.finish_operation(admission)

    async def read(self, query: ReadQuery) -> Result[ReadReply, Fault]:
        """Reads rows.  Errors: STORE_UNAVAILABLE, STORE_BUDGET_SPENT."""
        rows = max(1, len(query.keys) + len(query.prefixes))
        admission = self._circuit.admit(READ_PRIORITY)
        if admission is Admission.REFUSED:
            return Failure(self._unavailable_fault("the table service is unavailable"))
        try:
            if not await self._read_budget.acquire(rows, READ_PRIORITY):
                return Failure(self._budget_spent_fault())
            reply = await self._post("/v1/read", encode_json(query), ReadReply, False)
            rows_found = len(reply.unwrap().rows) if is_successful(reply) else 0
            self._read_budget.charge(max(0, rows_found - rows))
            self._telemetry.count("store_rows_read_total", max(rows, rows_found))
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
                # An error status leaves unknown whether the write was applied, except for
                # rejections: 4xx means that the request was not accepted, 503 that the service
                # rejected it.
                refused = 400 <= status < 500 or status == 503
                if status < 500:
                    self._circuit.record_success()  # The service responds, so this is no outage.
                else:
                    self._record_failure(operation)
                return Failure(self._call_fault(is_write and not refused, f"status {status}"))
            case Failure(HttpFailure() as failure):
                self._record_failure(operation)
                return Failure(self._call_fault(is_write and failure.sent, failure.detail))
            case _:
                raise AssertionError("a Result is Success or Failure")

    def _decode(self, kind: type[T], body: bytes, is_write: bool) -> Result[T, Fault]:
        decoded = decode_json(kind, body)
        match decoded:
            case Failure(Fault(detail=detail)):
                return Failure(self._call_fault(is_write, f"bad reply: {detail}"))
        return decoded

    def _record_failure(self, operation: str) -> None:
        self._circuit.record_failure()
        self._telemetry.count(f'store_failures_total{{operation="{operation}"}}')

    def _call_fault(self, may_have_applied: bool, detail: str) -> Fault:
        if may_have_applied:
            return Fault(ResultCode.STORE_OUTCOME_UNKNOWN, detail)
        return self._unavailable_fault(detail)

    def _unavailable_fault(self, detail: str) -> Fault:
        return Fault(ResultCode.STORE_UNAVAILABLE, detail, self._circuit.retry_after_ms())

    def _budget_spent_fault(self) -> Fault:
        detail = "the row budget of this process for the table service is exhausted"
        return Fault(ResultCode.STORE_BUDGET_SPENT, detail, BUDGET_RETRY_AFTER_MS)
