"""Changes of the shared configuration: compare-and-set from the version before.

Phases of a change:

1. Read the configuration row and the newest history rows.  A change whose id is in the history
   was accepted before and is answered as such.
2. Make and check the next version (`_config_rules`).
3. Write the configuration row and its history row in one transaction that requires the
   configuration row to be as read and the history row to be absent.
4. A conflict means that another change was accepted first.  A change with an expected version
   ends with CONFIG_CONFLICT; another starts again at 1, unless its own item was touched.
5. A lost reply: the same conditional write is sent again.  If it commits, the change is accepted.
   If it conflicts, the history row of that version tells by its change id which change made it.
   Versions are never used twice, so a copy of the write that is still under way can't take
   effect after the conflict.

Invariants: versions form one chain without branches; each accepted version is in the history,
until `HISTORY_KEPT_VERSIONS` newer ones exist, and its row exists until `HISTORY_MARKED_VERSIONS`
newer ones do; an accepted change is never taken back.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Final

from returns.result import Failure, Result, Success

from jacinthreel_common import (
    CONFIG_KEY,
    Condition,
    Config,
    ConfigPush,
    Fault,
    ReadQuery,
    ResultCode,
    Row,
    RowWrite,
    Transaction,
    config_history_key,
    convert,
    to_plain,
)
from jacinthreel_daemon._config_rules import (
    ChangeRequest,
    apply_change,
    empty_config,
    read_item,
)
from jacinthreel_daemon._context import RouterContext

MAX_ROUNDS: Final = 8
RESOLVE_LIMIT_MS: Final = 10_000
RESEND_PAUSE_MS: Final = 100
RESEND_PAUSE_LIMIT_MS: Final = 1_000
RETRY_AFTER_MS: Final = 2_000
HISTORY_KEPT_VERSIONS: Final = 3_000
HISTORY_MARKED_VERSIONS: Final = 100_000
"""Older history rows are cut down to markers for this long, because a process that is behind asks
for the row of the version after its own and must find that there is one."""
HISTORY_LOOKBACK: Final = 16
CHANGE_PRIORITY: Final = 0
"""Operators' changes spend the budget of table operations before all other writes."""

Sleep = Callable[[float], Awaitable[None]]


@dataclass(frozen=True, slots=True)
class ChangeAccepted:
    """The configuration in force after a change; `changed` is false if it was so before."""

    version: int
    change_id: str
    changed: bool
    config: Config


@dataclass(frozen=True, slots=True)
class _StoredConfig:
    config: Config
    row_version: int


@dataclass(frozen=True, slots=True)
class _LostRace:
    """Another change took the version that this one wanted."""


class ConfigChanger:
    """Carries operators' changes out; `sleep` waits for seconds."""

    def __init__(self, context: RouterContext, sleep: Sleep = asyncio.sleep) -> None:
        self._context = context
        self._sleep = sleep

    async def change(self, request: ChangeRequest) -> Result[ChangeAccepted, Fault]:
        """Makes a change, or says definitely that it was not made.

        Errors: CONFIG_CONFLICT, the errors of `apply_change`, STORE_UNAVAILABLE (not accepted),
        STORE_BUDGET_SPENT (not accepted), CONFIG_OUTCOME_UNKNOWN.
        """
        result = await self._try_rounds(request)
        fields = {"change_id": request.change_id, "change": type(request.change).__name__}
        if isinstance(result, Failure):
            fault = result.failure()
            fields |= {"code": fault.code.name, "reason": fault.detail}
            self._context.log_decision("config_change_not_accepted", fields)
            return result
        accepted = result.unwrap()
        fields |= {"config_version": str(accepted.version), "reason": accepted.config.summary}
        self._context.log_decision("config_change_accepted", fields)
        return result

    async def _try_rounds(self, request: ChangeRequest) -> Result[ChangeAccepted, Fault]:
        first: Config | None = None
        for _ in range(MAX_ROUNDS):
            loaded = await self._load()
            if isinstance(loaded, Failure):
                return loaded
            stored = loaded.unwrap()
            version = await self._find_accepted(stored.config.version, request.change_id)
            if isinstance(version, Failure):
                return version
            if version.unwrap():
                self._announce(stored)
                return Success(_accepted(request, version.unwrap(), stored.config, changed=True))
            conflict = _find_conflict(request, first or stored.config, stored.config)
            if conflict is not None:
                return Failure(conflict)
            first = first or stored.config
            result = await self._try_once(request, stored)
            if isinstance(result, _LostRace):
                continue
            return result
        detail = f"lost {MAX_ROUNDS} races in a row"
        return Failure(Fault(ResultCode.CONFIG_CONFLICT, detail, RETRY_AFTER_MS))

    async def _try_once(
        self, request: ChangeRequest, stored: _StoredConfig
    ) -> Result[ChangeAccepted, Fault] | _LostRace:
        hosts = self._context.hosts.by_id().values()
        if not hosts:
            detail = "the host list has not been read yet"
            return Failure(Fault(ResultCode.STORE_UNAVAILABLE, detail, RETRY_AFTER_MS))
        made = apply_change(stored.config, request, hosts, self._context.clock.unix_ms())
        if isinstance(made, Failure):
            return made
        following = made.unwrap()
        if following is stored.config:
            self._announce(stored)
            return Success(_accepted(request, following.version, following, changed=False))
        written = await self._write(stored, following)
        if isinstance(written, Failure | _LostRace):
            return written
        self._announce(_StoredConfig(following, written.unwrap()))
        return Success(_accepted(request, following.version, following, changed=True))

    async def _write(
        self, stored: _StoredConfig, following: Config
    ) -> Result[int, Fault] | _LostRace:
        """Writes a version until its outcome is definite; returns the new row version."""
        transaction = make_transaction(following, stored.row_version)
        pause_ms = RESEND_PAUSE_MS
        doubtful = False
        give_up_ms = self._context.clock.now_ms() + RESOLVE_LIMIT_MS
        while self._context.clock.now_ms() < give_up_ms:
            sent = await self._context.store.transact(transaction, CHANGE_PRIORITY)
            if isinstance(sent, Success):
                reply = sent.unwrap()
                if reply.committed:
                    return Success(reply.versions[CONFIG_KEY])
                if not doubtful:
                    return _LostRace()
                resolved = await self._resolve(following)
                if resolved is not None:
                    return resolved
            elif sent.failure().code is ResultCode.STORE_OUTCOME_UNKNOWN:
                doubtful = True
            elif not doubtful:
                return Failure(_not_accepted(sent.failure()))
            await self._sleep(pause_ms / 1000)
            pause_ms = min(2 * pause_ms, RESEND_PAUSE_LIMIT_MS)
        detail = f"no answer from the table service; change id {following.change_id}"
        return Failure(Fault(ResultCode.CONFIG_OUTCOME_UNKNOWN, detail, RETRY_AFTER_MS))

    async def _resolve(self, following: Config) -> Result[int, Fault] | _LostRace | None:
        """After a conflict of a doubtful write: whose version is it?  None: can't be read now."""
        key = config_history_key(following.version)
        read = await self._context.store.read(ReadQuery(keys=[CONFIG_KEY, key]))
        if isinstance(read, Failure):
            return None
        rows_by_key = {row.key: row for row in read.unwrap().rows}
        if key not in rows_by_key:
            return _LostRace()
        history = convert(Config, rows_by_key[key].value)
        if isinstance(history, Failure):
            return history
        if history.unwrap().change_id != following.change_id:
            return _LostRace()
        return Success(rows_by_key[CONFIG_KEY].version)

    async def _load(self) -> Result[_StoredConfig, Fault]:
        read = await self._context.store.read(ReadQuery(keys=[CONFIG_KEY]))
        if isinstance(read, Failure):
            return Failure(_not_accepted(read.failure()))
        rows = read.unwrap().rows
        if not rows:
            return Success(_StoredConfig(empty_config(), 0))
        return _parse_row(rows[0])

    async def _find_accepted(self, version: int, change_id: str) -> Result[int, Fault]:
        """The version that an earlier try of this change made, or 0."""
        oldest = max(1, version - HISTORY_LOOKBACK + 1)
        keys = [config_history_key(number) for number in range(oldest, version + 1)]
        if not keys:
            return Success(0)
        read = await self._context.store.read(ReadQuery(keys=keys))
        if isinstance(read, Failure):
            return Failure(_not_accepted(read.failure()))
        for row in read.unwrap().rows:
            if row.value.get("change_id") == change_id:
                return Success(int(row.value["version"]))
        return Success(0)

    def _announce(self, stored: _StoredConfig) -> None:
        """Applies a version here and tells every connected process."""
        self._context.config.apply(stored.config, stored.row_version)
        self._context.streams.notify_all(ConfigPush(stored.config, stored.row_version))


def make_transaction(following: Config, row_version: int) -> Transaction:
    """The conditional write of one version and its history row."""
    key = config_history_key(following.version)
    value = to_plain(following)
    writes = [RowWrite(CONFIG_KEY, value), RowWrite(key, value)]
    cut = following.version - HISTORY_KEPT_VERSIONS
    if cut > 0:
        writes.append(RowWrite(config_history_key(cut), {"version": cut}))
    expired = following.version - HISTORY_MARKED_VERSIONS
    if expired > 0:
        writes.append(RowWrite(config_history_key(expired), None))
    conditions = [Condition(CONFIG_KEY, row_version), Condition(key, 0)]
    return Transaction(f"config-{following.version}-{following.change_id}", conditions, writes)


def _parse_row(row: Row) -> Result[_StoredConfig, Fault]:
    config = convert(Config, row.value)
    if isinstance(config, Failure):
        return Failure(Fault(ResultCode.BAD_CONFIG, f"stored row: {config.failure().detail}"))
    return Success(_StoredConfig(config.unwrap(), row.version))


def _find_conflict(request: ChangeRequest, first: Config, current: Config) -> Fault | None:
    """Why a change may not be made on `current`, having first been tried on `first`."""
    expected = request.expected_version
    if expected is not None and expected != current.version:
        return _conflict(current, f"expected version {expected}")
    if read_item(first, request.change) != read_item(current, request.change):
        return _conflict(current, "another change to the same item came first")
    return None


def _conflict(current: Config, reason: str) -> Fault:
    winner = f"version {current.version} by {current.author or 'unknown'}: {current.summary}"
    return Fault(ResultCode.CONFIG_CONFLICT, f"{reason}; lost to {winner}")


def _not_accepted(fault: Fault) -> Fault:
    retry_after_ms = fault.retry_after_ms or RETRY_AFTER_MS
    return Fault(fault.code, f"not accepted: {fault.detail}", retry_after_ms)


def _accepted(
    request: ChangeRequest, version: int, config: Config, *, changed: bool
) -> ChangeAccepted:
    return ChangeAccepted(version, request.change_id, changed, config)
