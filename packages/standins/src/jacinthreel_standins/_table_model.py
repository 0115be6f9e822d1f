"""A model of the table service without I/O: versioned rows and conditional transactions.

Versions come from one counter for the whole table, so that a row that is deleted and inserted again
never gets a version that it had before.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from jacinthreel_common import (
    ReadQuery,
    ReadReply,
    Row,
    Transaction,
    TransactionReply,
)


@dataclass(slots=True)
class _StoredRow:
    version: int
    write_id: str
    value: Any


class TableModel:
    """An in-memory table that counts the rows read and written.

    >>> from jacinthreel_common import Condition, RowWrite
    >>> table = TableModel()
    >>> insert = Transaction("w1", [Condition("a", 0)], [RowWrite("a", 1)])
    >>> table.transact(insert).committed, table.transact(insert).committed
    (True, False)
    """

    def __init__(self) -> None:
        self.rows_by_key: dict[str, _StoredRow] = {}
        self.rows_written = 0
        self.rows_read = 0
        self._next_version = 1

    def transact(self, transaction: Transaction) -> TransactionReply:
        """Applies all writes if every condition holds, otherwise none."""
        conflicts: dict[str, int] = {}
        for condition in transaction.conditions:
            row = self.rows_by_key.get(condition.key)
            version = row.version if row else 0
            if version != condition.version:
                conflicts[condition.key] = version
        if conflicts:
            return TransactionReply(committed=False, versions=conflicts)
        versions: dict[str, int] = {}
        for write in transaction.writes:
            versions[write.key] = self._next_version
            if write.value is None:
                self.rows_by_key.pop(write.key, None)
                versions[write.key] = 0
            else:
                row = _StoredRow(self._next_version, transaction.write_id, write.value)
                self.rows_by_key[write.key] = row
            self._next_version += 1
            self.rows_written += 1
        return TransactionReply(committed=True, versions=versions)

    def read(self, query: ReadQuery) -> ReadReply:
        """Returns the rows selected by exact key or by prefix, sorted by key."""
        keys = {key for key in query.keys if key in self.rows_by_key}
        for prefix in query.prefixes:
            keys.update(key for key in self.rows_by_key if key.startswith(prefix))
        self.rows_read += max(1, len(keys))
        rows: list[Row] = []
        for key in sorted(keys):
            row = self.rows_by_key[key]
            rows.append(Row(key, row.version, row.write_id, row.value))
        return ReadReply(rows)
