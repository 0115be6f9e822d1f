"""An in-process table service with scripted outcomes, for tests."""

from __future__ import annotations

import asyncio
from collections import deque
from dataclasses import dataclass, field
from enum import StrEnum

from returns.result import Failure, Result, Success

from jacinthreel_common import (
    Fault,
    ReadQuery,
    ReadReply,
    ResultCode,
    Transaction,
    TransactionReply,
)
from jacinthreel_standins._table_model import TableModel


class StoreOutcome(StrEnum):
    """The scripted outcome of a transaction.

    `answered`: applied and answered.  `refused`: not applied, and answered with an error.
    `lost_request`: not applied, outcome unknown to the caller.  `lost_reply`: applied, outcome
    unknown to the caller.  `late`: outcome unknown to the caller, and applied after the next
    transaction.
    """

    ANSWERED = "answered"
    REFUSED = "refused"
    LOST_REQUEST = "lost_request"
    LOST_REPLY = "lost_reply"
    LATE = "late"


@dataclass(slots=True)
class MemoryStore:
    """A table store with scripted outcomes.

    `outcomes` are the outcomes of the next transactions; later ones are `answered`.
    `reads_answered` holds for each of the next reads whether it succeeds; later ones do.
    `down` makes all operations fail.  `ignore_conditions` makes every transaction unconditional, so
    that tests can show which failures the conditions prevent.
    """

    table: TableModel = field(default_factory=TableModel)
    outcomes: deque[StoreOutcome] = field(default_factory=deque)
    reads_answered: deque[bool] = field(default_factory=deque)
    down: bool = False
    ignore_conditions: bool = False
    _delayed_transactions: list[Transaction] = field(default_factory=list)

    async def transact(
        self, transaction: Transaction, priority: int
    ) -> Result[TransactionReply, Fault]:
        """Handles a transaction according to the next scripted outcome."""
        await asyncio.sleep(0)
        if self.down:
            return Failure(Fault(ResultCode.STORE_UNAVAILABLE, "the store is down"))
        delayed_transactions, self._delayed_transactions = self._delayed_transactions, []
        outcome = self.outcomes.popleft() if self.outcomes else StoreOutcome.ANSWERED
        result = self._apply(transaction, outcome)
        for delayed in delayed_transactions:
            self._commit(delayed)
        await asyncio.sleep(0)
        return result

    async def read(self, query: ReadQuery) -> Result[ReadReply, Fault]:
        """Reads rows, unless the store is down or the next scripted read fails."""
        await asyncio.sleep(0)
        answered = self.reads_answered.popleft() if self.reads_answered else True
        if self.down or not answered:
            return Failure(Fault(ResultCode.STORE_UNAVAILABLE, "the store is down"))
        return Success(self.table.read(query))

    def _apply(
        self, transaction: Transaction, outcome: StoreOutcome
    ) -> Result[TransactionReply, Fault]:
        match outcome:
            case StoreOutcome.ANSWERED:
                return Success(self._commit(transaction))
            case StoreOutcome.REFUSED:
                return Failure(Fault(ResultCode.STORE_UNAVAILABLE, "the store refused the write"))
            case StoreOutcome.LOST_REPLY:
                self._commit(transaction)
            case StoreOutcome.LATE:
                self._delayed_transactions.append(transaction)
            case StoreOutcome.LOST_REQUEST:
                pass
        return Failure(Fault(ResultCode.STORE_OUTCOME_UNKNOWN, "the store did not reply"))

    def _commit(self, transaction: Transaction) -> TransactionReply:
        if self.ignore_conditions:
            transaction = Transaction(transaction.write_id, [], transaction.writes)
        return self.table.transact(transaction)
