"""The configuration applied in this process, and how it is updated.

A configuration, from the store or from a peer, is applied only if its version is higher than the
applied one, so that delayed and duplicate messages have no effect.

Sources: a poll of the store every second; pushes from peers; and, while no configuration has been
applied, a pull from each peer that connects.  The poll does not read the whole document: each
accepted change inserts a history row for its version, so the poll reads the history row of
the next version, and the document only once that row exists.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from returns.result import Failure, Success

from jacinthreel_common import (
    CONFIG_KEY,
    Config,
    ConfigPush,
    Fault,
    Row,
    config_history_key,
    convert,
)
from jacinthreel_daemon._ports import AppliedConfig, Clock


class ConfigWatch:
    """Holds the applied configuration; implements the ports `ConfigView` and `RowFollower`."""

    def __init__(self, clock: Clock, log: Callable[[str, dict[str, Any]], None]) -> None:
        self._clock = clock
        self._log = log
        self._applied: AppliedConfig | None = None
        self._callbacks: list[Callable[[AppliedConfig], None]] = []
        self._needs_document = True

    def current(self) -> AppliedConfig | None:
        """Returns the applied configuration, or None if there is none yet."""
        return self._applied

    def subscribe(self, callback: Callable[[AppliedConfig], None]) -> None:
        """Calls `callback` with each applied configuration, immediately if one is applied."""
        self._callbacks.append(callback)
        if self._applied is not None:
            callback(self._applied)

    def apply(self, config: Config, row_version: int) -> bool:
        """Applies a configuration if its version is higher; returns whether it did."""
        return self._apply(config, row_version, "local")

    def apply_push(self, push: ConfigPush, source: str) -> bool:
        """Applies a configuration pushed by a peer, as `apply` does."""
        return self._apply(push.config, push.row_version, source)

    def build_push(self) -> ConfigPush | None:
        """Returns the push message for a peer, or None if no configuration is applied."""
        if self._applied is None:
            return None
        return ConfigPush(self._applied.config, self._applied.row_version)

    def keys_to_read(self) -> list[str]:
        """Returns the key of the document if it may be newer, else of the next history row."""
        if self._applied is None or self._needs_document:
            return [CONFIG_KEY]
        return [config_history_key(self._applied.config.version + 1)]

    def on_rows_read(self, keys: list[str], rows_by_key: dict[str, Row], sent_ms: int) -> None:
        """Applies the document, or records that a newer one exists."""
        if CONFIG_KEY in keys:
            self._needs_document = False
            self._apply_document(rows_by_key.get(CONFIG_KEY), sent_ms)
        elif keys[0] in rows_by_key:
            self._needs_document = True
        elif self._applied is not None and keys[0] == self._next_key():
            self._record_confirmation(sent_ms)

    def on_read_failed(self) -> None:
        """Does nothing: the applied configuration remains."""

    @property
    def is_behind(self) -> bool:
        """Whether a newer document exists that has not been read yet."""
        return self._needs_document and self._applied is not None

    def _next_key(self) -> str:
        assert self._applied is not None
        return config_history_key(self._applied.config.version + 1)

    def _apply_document(self, row: Row | None, sent_ms: int) -> None:
        if row is None:
            return
        match convert(Config, row.value):
            case Failure(Fault(detail=detail)):
                self._log("config_unreadable", {"reason": detail})
            case Success(Config() as config):
                self._apply(config, row.version, "store")
                if self._applied is not None and config.version == self._applied.config.version:
                    self._record_confirmation(sent_ms)

    def _record_confirmation(self, sent_ms: int) -> None:
        """Records that the applied configuration was the newest in the store at `sent_ms`."""
        assert self._applied is not None
        config, row_version = self._applied.config, self._applied.row_version
        self._applied = AppliedConfig(config, row_version, sent_ms)

    def _apply(self, config: Config, row_version: int, source: str) -> bool:
        if self._applied is not None and config.version <= self._applied.config.version:
            return False
        self._applied = AppliedConfig(config, row_version, self._clock.now_ms())
        fields = {
            "config_version": config.version,
            "preset": config.preset.value,
            "zones_out": sorted(config.zones_out),
            "source": source,
        }
        self._log("config_applied", fields)
        for callback in self._callbacks:
            callback(self._applied)
        return True
