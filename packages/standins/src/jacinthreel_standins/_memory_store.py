"""The table service as an object in the same process, with scripted outcomes for tests."""

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
    """What becomes of a transaction: a lost request is not applied, one with a lost reply is.

    A `late` one is answered as unknown and applied after the next transaction.
    """

    ANSWERED = "answered"
    REFUSED = "refused"
    LOST_REQUEST = "lost_request"
    LOST_REPLY = "lost_reply"
    LATE = "late"


@dataclass(slots=True)
class MemoryStore:
    """A table store whose next transactions end as `outcomes` says, the others as `answered`.

    `reads_answered` says of the next reads whether they are answered; the others are.
    `ignore_conditions` makes every transaction unconditional, to show what conditions are for.
    """

    table: TableModel = field(default_factory=TableModel)
    outcomes: deque[StoreOutcome] = field(default_factory=deque)
    reads_answered: deque[bool] = field(default_factory=deque)
    down: bool = False
    ignore_conditions: bool = False
    _late: list[Transaction] = field(default_factory=list)

    async def transact(
        self, transaction: Transaction, priority: int
    ) -> Result[TransactionReply, Fault]:
        """Applies a transaction as the next outcome says."""
        await asyncio.sleep(0)
        if self.down:
            return Failure(Fault(ResultCode.STORE_UNAVAILABLE, "the store is down"))
        late, self._late = self._late, []
        outcome = self.outcomes.popleft() if self.outcomes else StoreOutcome.ANSWERED
        result = self._apply(transaction, outcome)
        for delayed in late:
            self._commit(delayed)
        await asyncio.sleep(0)
        return result

    async def read(self, query: ReadQuery) -> Result[ReadReply, Fault]:
        """Reads rows."""
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
                return Failure(Fault(ResultCode.STORE_UNAVAILABLE, "refused"))
            case StoreOutcome.LOST_REPLY:
                self._commit(transaction)
            case StoreOutcome.LATE:
                self._late.append(transaction)
            case StoreOutcome.LOST_REQUEST:
                pass
        return Failure(Fault(ResultCode.STORE_OUTCOME_UNKNOWN, "no answer"))

    def _commit(self, transaction: Transaction) -> TransactionReply:
        if self.ignore_conditions:
            transaction = Transaction(transaction.write_id, [], transaction.writes)
        return self.table.transact(transaction)
