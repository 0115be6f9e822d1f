"""Records at which executors an owner may grant leases, before it grants any there.

A next owner that can't reach an executor has to wait for leases that this owner may have granted
there, so a wait would grow with each change of owner.  The record shows it where there can be none.
It is one row, written under the condition that the owner row is unchanged: what a next owner reads
after its takeover is final, and this owner can't grant beyond it any more.

Without a row of its epoch an owner may grant leases anywhere, so that it needs no write to renew
them after its takeover.  `narrow` stores those with leases of this owner; from then on each further
executor is stored before the first lease there.

Invariant: every executor with a lease of this owner is in the stored row of its epoch, if there is
one, whichever of the writes on their way takes effect.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Set
from typing import Any, Final

from returns.result import Failure, Success

from jacinthreel_common import Fault
from jacinthreel_node._ports import Committed, Conflict, KeyedStore, Row, RowCondition, RowWrite
from jacinthreel_node._records import (
    GRANTS_KEY,
    OWNER_KEY,
    OWNER_TABLE,
    GrantsRow,
    decode_grants,
    encode_record,
)

COMMIT_TIMEOUT_MS: Final = 1_500  # As for a takeover.
RETRY_PAUSE_MS: Final = 200


class ExecutorGrants:
    """The executors at which one owner may grant leases.

    `on_lost` is called with a reason if a conflict shows that another process has written the row.
    """

    def __init__(
        self,
        store: KeyedStore,
        epoch: int,
        owner_version: int,
        on_lost: Callable[[str], None],
        log: Callable[[str, dict[str, Any]], None],
    ) -> None:
        self._store = store
        self._epoch = epoch
        self._owner_version = owner_version
        self._on_lost = on_lost
        self._log = log
        self._granted_ids: set[str] = set()
        self._allowed_ids: Set[str] | None = None  # None for all.
        self._wanted_ids: set[str] = set()
        self._keeps_all = False
        self._row_version = 0
        self._write_count = 0
        self._write_lock = asyncio.Lock()
        self._is_wanted = asyncio.Event()

    def may_grant(self, executor_id: str) -> bool:
        """Whether a lease may be granted; the caller grants it.  If not, it may soon."""
        if self._allowed_ids is not None and executor_id not in self._allowed_ids:
            self._wanted_ids.add(executor_id)
            self._is_wanted.set()
            return False
        self._granted_ids.add(executor_id)
        return True

    def has_granted(self, executor_id: str) -> bool:
        """Whether this owner may have granted a lease itself, not through relays."""
        return executor_id in self._granted_ids

    def record_stored(self, row: Row | None) -> None:
        """Records the row that later writes replace, read after the takeover; None if absent."""
        self._row_version = row.version if row is not None else 0

    async def narrow(self) -> None:
        """Allows only executors with leases of this owner, unless relays may grant others.

        Call it after `record_stored`.
        """
        async with self._write_lock:
            if not self._keeps_all:
                self._allowed_ids = frozenset(self._granted_ids)
                await self._write(self._allowed_ids)

    async def keep_all(self) -> None:
        """Allows all executors for good, because relays grant leases without asking."""
        async with self._write_lock:
            self._keeps_all = True
            if self._allowed_ids is not None and await self._write(None):
                self._allowed_ids = None

    async def run(self) -> None:
        """Stores executors that answer after `narrow`, until cancelled."""
        while True:
            await self._is_wanted.wait()
            self._is_wanted.clear()
            async with self._write_lock:
                if self._allowed_ids is None:
                    continue
                wider_ids = self._allowed_ids | self._wanted_ids
                if wider_ids != self._allowed_ids and await self._write(wider_ids):
                    self._allowed_ids = wider_ids

    async def _write(self, executor_ids: Set[str] | None) -> bool:
        """Writes the row until the outcome is known; returns false if the ownership is lost.

        The attempts are identical, and their conditions hold at most once.
        """
        self._write_count += 1
        ids = sorted(executor_ids) if executor_ids is not None else None
        row = GrantsRow(self._epoch, self._write_count, ids)
        conditions = [
            RowCondition(OWNER_TABLE, OWNER_KEY, self._owner_version),
            RowCondition(OWNER_TABLE, GRANTS_KEY, self._row_version),
        ]
        writes = [RowWrite(OWNER_TABLE, GRANTS_KEY, encode_record(row))]
        while True:
            match await self._store.commit(conditions, writes, COMMIT_TIMEOUT_MS):
                case Success(Committed(version=version)):
                    self._row_version = version
                    return True
                case Success(Conflict(rows=rows)):
                    return self._resolve_conflict(rows, row)
                case Failure(Fault() as fault):
                    fields = {"reason": fault.detail, "code": fault.code.value}
                    self._log("grants_not_stored", fields)
            await asyncio.sleep(RETRY_PAUSE_MS / 1000)

    def _resolve_conflict(self, current_rows: tuple[Row, ...], written: GrantsRow) -> bool:
        """Returns whether an earlier attempt took effect; otherwise the ownership is lost."""
        for row in current_rows:
            if row.key == OWNER_KEY and row.version != self._owner_version:
                self._on_lost("the owner row has changed")
                return False
        for row in current_rows:
            if row.key != GRANTS_KEY or row.value is None:
                continue
            if decode_grants(row.value) == written:
                self._row_version = row.version
                return True
        self._on_lost("another process has changed the row of grants")
        return False
