"""Changes the shared configuration by compare-and-set against the previous version.

Steps of a change:

1. Read the configuration row and the newest history rows.  If the history contains the change id,
   an earlier attempt was accepted, and the change is reported as accepted.
2. Build and validate the next version (`_config_rules`).
3. Write the configuration row and the history row of the new version in one transaction, on
   condition that the configuration row is unchanged since the read and that the history row
   does not exist.
4. If the transaction conflicts, another change was accepted first.  A change with an expected
   version then fails with CONFIG_CONFLICT, and so does any change if the other one modified the
   same item.  Otherwise it restarts at step 1, for at most `MAX_ATTEMPTS` attempts.
5. If the reply is lost, the same conditional write is sent again.  If it commits, the change is
   accepted.  If it conflicts, the change id in the history row of that version identifies the
   change that created it.  Version numbers are never reused, so a copy of the write that is still
   in flight cannot take effect after the conflict.

Invariants: versions form a single chain.  The history contains the document of each accepted
version until `HISTORY_KEPT_VERSIONS` newer ones exist, and a row for it until
`HISTORY_MARKED_VERSIONS` newer ones exist.  An accepted change is never rolled back.
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
    get_changed_item,
)
from jacinthreel_daemon._context import RouterContext

MAX_ATTEMPTS: Final = 8
WRITE_OUTCOME_TIMEOUT_MS: Final = 10_000
RESEND_PAUSE_MS: Final = 100
RESEND_PAUSE_LIMIT_MS: Final = 1_000
RETRY_AFTER_MS: Final = 2_000
HISTORY_KEPT_VERSIONS: Final = 3_000
HISTORY_MARKED_VERSIONS: Final = 100_000
"""History rows beyond `HISTORY_KEPT_VERSIONS` are replaced by markers, which are deleted only after
this many versions: a process with a stale configuration detects that a newer one exists by reading
the history row of the version that follows its own."""
HISTORY_LOOKBACK_VERSIONS: Final = 16
CHANGE_PRIORITY: Final = 0
"""Operators' changes get tokens of the rate limit before all other writes of a router."""

Sleep = Callable[[float], Awaitable[None]]


@dataclass(frozen=True, slots=True)
class ChangeAccepted:
    """The configuration after a change; `changed` is false if the change had no effect."""

    version: int
    change_id: str
    changed: bool
    config: Config


@dataclass(frozen=True, slots=True)
class _StoredConfig:
    config: Config
    row_version: int


@dataclass(frozen=True, slots=True)
class _VersionConflict:
    """Another change was accepted first, under the version number that this one tried to write."""


class ConfigChanger:
    """Applies operators' changes to the stored configuration; `sleep` takes seconds."""

    def __init__(self, context: RouterContext, sleep: Sleep = asyncio.sleep) -> None:
        self._context = context
        self._sleep = sleep

    async def change(self, request: ChangeRequest) -> Result[ChangeAccepted, Fault]:
        """Makes a change; after any error but CONFIG_OUTCOME_UNKNOWN the change was not made.

        Errors: CONFIG_CONFLICT, the errors of `apply_change`, STORE_UNAVAILABLE (not accepted),
        STORE_BUDGET_SPENT (not accepted), CONFIG_OUTCOME_UNKNOWN.
        """
        result = await self._retry_until_settled(request)
        fields = {"change_id": request.change_id, "change": type(request.change).__name__}
        if isinstance(result, Failure):
            fault = result.failure()
            fields |= {"code": fault.code.name, "reason": fault.detail}
            self._context.log_event("config_change_not_accepted", fields)
            return result
        accepted = result.unwrap()
        fields |= {"config_version": str(accepted.version), "reason": accepted.config.summary}
        self._context.log_event("config_change_accepted", fields)
        return result

    async def _retry_until_settled(self, request: ChangeRequest) -> Result[ChangeAccepted, Fault]:
        """Attempts the change until it is accepted or fails, at most `MAX_ATTEMPTS` times."""
        first_config: Config | None = None
        for _ in range(MAX_ATTEMPTS):
            loaded = await self._load()
            if isinstance(loaded, Failure):
                return loaded
            stored = loaded.unwrap()
            accepted_version = await self._find_accepted(stored.config.version, request.change_id)
            if isinstance(accepted_version, Failure):
                return accepted_version
            if accepted_version.unwrap():
                self._publish(stored)
                return Success(
                    _build_accepted(request, accepted_version.unwrap(), stored.config, changed=True)
                )
            conflict = _find_conflict(request, first_config or stored.config, stored.config)
            if conflict is not None:
                return Failure(conflict)
            first_config = first_config or stored.config
            result = await self._attempt(request, stored)
            if isinstance(result, _VersionConflict):
                continue
            return result
        detail = f"conflicted with other changes in {MAX_ATTEMPTS} consecutive attempts"
        return Failure(Fault(ResultCode.CONFIG_CONFLICT, detail, RETRY_AFTER_MS))

    async def _attempt(
        self, request: ChangeRequest, stored: _StoredConfig
    ) -> Result[ChangeAccepted, Fault] | _VersionConflict:
        """Builds the next version from the stored one, writes it and publishes it."""
        hosts = self._context.hosts.by_id().values()
        if not hosts:
            detail = "the host list has not been read yet"
            return Failure(Fault(ResultCode.STORE_UNAVAILABLE, detail, RETRY_AFTER_MS))
        applied = apply_change(stored.config, request, hosts, self._context.clock.unix_ms())
        if isinstance(applied, Failure):
            return applied
        next_config = applied.unwrap()
        if next_config is stored.config:
            self._publish(stored)
            return Success(
                _build_accepted(request, next_config.version, next_config, changed=False)
            )
        written = await self._write(stored, next_config)
        if isinstance(written, Failure | _VersionConflict):
            return written
        self._publish(_StoredConfig(next_config, written.unwrap()))
        return Success(_build_accepted(request, next_config.version, next_config, changed=True))

    async def _write(
        self, stored: _StoredConfig, next_config: Config
    ) -> Result[int, Fault] | _VersionConflict:
        """Writes a version and returns the new row version.

        Resends the write while its outcome is unknown, for up to `WRITE_OUTCOME_TIMEOUT_MS`.
        """
        transaction = make_transaction(next_config, stored.row_version)
        pause_ms = RESEND_PAUSE_MS
        outcome_unknown = False
        deadline_ms = self._context.clock.now_ms() + WRITE_OUTCOME_TIMEOUT_MS
        while self._context.clock.now_ms() < deadline_ms:
            sent = await self._context.store.transact(transaction, CHANGE_PRIORITY)
            if isinstance(sent, Success):
                reply = sent.unwrap()
                if reply.committed:
                    return Success(reply.versions[CONFIG_KEY])
                if not outcome_unknown:
                    return _VersionConflict()
                resolved = await self._resolve_unknown_outcome(next_config)
                if resolved is not None:
                    return resolved
            elif sent.failure().code is ResultCode.STORE_OUTCOME_UNKNOWN:
                outcome_unknown = True
            elif not outcome_unknown:
                return Failure(_not_accepted_fault(sent.failure()))
            await self._sleep(pause_ms / 1000)
            pause_ms = min(2 * pause_ms, RESEND_PAUSE_LIMIT_MS)
        detail = f"the table service did not confirm the write; change id {next_config.change_id}"
        return Failure(Fault(ResultCode.CONFIG_OUTCOME_UNKNOWN, detail, RETRY_AFTER_MS))

    async def _resolve_unknown_outcome(
        self, next_config: Config
    ) -> Result[int, Fault] | _VersionConflict | None:
        """Determines after a conflict whether an earlier copy of the write took effect.

        Returns the row version if it did, and None if the rows cannot be read now.
        """
        key = config_history_key(next_config.version)
        read = await self._context.store.read(ReadQuery(keys=[CONFIG_KEY, key]))
        if isinstance(read, Failure):
            return None
        rows_by_key = {row.key: row for row in read.unwrap().rows}
        if key not in rows_by_key:
            return _VersionConflict()
        history = convert(Config, rows_by_key[key].value)
        if isinstance(history, Failure):
            return history
        if history.unwrap().change_id != next_config.change_id:
            return _VersionConflict()
        return Success(rows_by_key[CONFIG_KEY].version)

    async def _load(self) -> Result[_StoredConfig, Fault]:
        read = await self._context.store.read(ReadQuery(keys=[CONFIG_KEY]))
        if isinstance(read, Failure):
            return Failure(_not_accepted_fault(read.failure()))
        rows = read.unwrap().rows
        if not rows:
            return Success(_StoredConfig(empty_config(), 0))
        return _parse_row(rows[0])

    async def _find_accepted(self, version: int, change_id: str) -> Result[int, Fault]:
        """Returns the version that an earlier attempt of this change created, or 0."""
        oldest = max(1, version - HISTORY_LOOKBACK_VERSIONS + 1)
        keys = [config_history_key(number) for number in range(oldest, version + 1)]
        if not keys:
            return Success(0)
        read = await self._context.store.read(ReadQuery(keys=keys))
        if isinstance(read, Failure):
            return Failure(_not_accepted_fault(read.failure()))
        for row in read.unwrap().rows:
            if row.value.get("change_id") == change_id:
                return Success(int(row.value["version"]))
        return Success(0)

    def _publish(self, stored: _StoredConfig) -> None:
        """Applies a version in this process and pushes it to every connected peer."""
        self._context.config.apply(stored.config, stored.row_version)
        self._context.streams.notify_all(ConfigPush(stored.config, stored.row_version))


def make_transaction(next_config: Config, row_version: int) -> Transaction:
    """Returns the conditional write of one version and its history row.

    The same transaction replaces one old history row by a marker and deletes one old marker.
    """
    key = config_history_key(next_config.version)
    value = to_plain(next_config)
    writes = [RowWrite(CONFIG_KEY, value), RowWrite(key, value)]
    trimmed_version = next_config.version - HISTORY_KEPT_VERSIONS
    if trimmed_version > 0:
        writes.append(RowWrite(config_history_key(trimmed_version), {"version": trimmed_version}))
    deleted_version = next_config.version - HISTORY_MARKED_VERSIONS
    if deleted_version > 0:
        writes.append(RowWrite(config_history_key(deleted_version), None))
    conditions = [Condition(CONFIG_KEY, row_version), Condition(key, 0)]
    return Transaction(f"config-{next_config.version}-{next_config.change_id}", conditions, writes)


def _parse_row(row: Row) -> Result[_StoredConfig, Fault]:
    config = convert(Config, row.value)
    if isinstance(config, Failure):
        return Failure(
            Fault(
                ResultCode.BAD_CONFIG, f"stored configuration is invalid: {config.failure().detail}"
            )
        )
    return Success(_StoredConfig(config.unwrap(), row.version))


def _find_conflict(request: ChangeRequest, first_config: Config, current: Config) -> Fault | None:
    """Returns the fault if the change may not be made on `current`, else None.

    `first_config` is the configuration that the first attempt read: the change conflicts if its
    item has been modified since.
    """
    expected = request.expected_version
    if expected is not None and expected != current.version:
        return _conflict_fault(current, f"expected version {expected}")
    if get_changed_item(first_config, request.change) != get_changed_item(current, request.change):
        return _conflict_fault(current, "another change modified the same item first")
    return None


def _conflict_fault(current: Config, reason: str) -> Fault:
    winner = f"version {current.version} by {current.author or 'unknown'}: {current.summary}"
    return Fault(ResultCode.CONFIG_CONFLICT, f"{reason}; lost to {winner}")


def _not_accepted_fault(fault: Fault) -> Fault:
    retry_after_ms = fault.retry_after_ms or RETRY_AFTER_MS
    return Fault(fault.code, f"not accepted: {fault.detail}", retry_after_ms)


def _build_accepted(
    request: ChangeRequest, version: int, config: Config, *, changed: bool
) -> ChangeAccepted:
    return ChangeAccepted(version, request.change_id, changed, config)
