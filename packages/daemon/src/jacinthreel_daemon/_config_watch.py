"""The configuration in force in this process, and how it learns of newer ones.

Versions only go up: whatever arrives, from the store or from a peer, is applied if its version
is higher and dropped otherwise, so that a late or repeated message changes nothing.

Sources: a poll of the store each second; pushes from peers; and, in a process that has none yet,
a pull from each peer as it connects.  The poll doesn't read the whole document: every accepted
change inserts the history row of its version, so the row of the next version is asked for, and
the document is read only once that row is there.
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
    """Follows the configuration; see the ports `ConfigView` and `RowFollower`."""

    def __init__(self, clock: Clock, log: Callable[[str, dict[str, Any]], None]) -> None:
        self._clock = clock
        self._log = log
        self._applied: AppliedConfig | None = None
        self._callbacks: list[Callable[[AppliedConfig], None]] = []
        self._read_document = True

    def current(self) -> AppliedConfig | None:
        """The newest configuration seen, or None."""
        return self._applied

    def subscribe(self, callback: Callable[[AppliedConfig], None]) -> None:
        """Calls back for each newer configuration, and at once if there is one."""
        self._callbacks.append(callback)
        if self._applied is not None:
            callback(self._applied)

    def apply(self, config: Config, row_version: int) -> bool:
        """Applies a configuration if its version is higher; says whether it was."""
        return self._apply(config, row_version, "local")

    def take_push(self, push: ConfigPush, source: str) -> bool:
        """Applies what a peer announced."""
        return self._apply(push.config, push.row_version, source)

    def as_push(self) -> ConfigPush | None:
        """What this process would tell a peer."""
        if self._applied is None:
            return None
        return ConfigPush(self._applied.config, self._applied.row_version)

    def keys_to_read(self) -> list[str]:
        """The document while it may be newer than what is known, else the next history row."""
        if self._applied is None or self._read_document:
            return [CONFIG_KEY]
        return [config_history_key(self._applied.config.version + 1)]

    def on_rows_read(self, keys: list[str], rows_by_key: dict[str, Row], sent_ms: int) -> None:
        """Applies the document, or notes that there is a newer one."""
        if CONFIG_KEY in keys:
            self._read_document = False
            self._take_document(rows_by_key.get(CONFIG_KEY), sent_ms)
        elif keys[0] in rows_by_key:
            self._read_document = True
        elif self._applied is not None and keys[0] == self._next_key():
            self._confirm(sent_ms)

    def on_read_failed(self) -> None:
        """Leaves the configuration in force."""

    @property
    def is_behind(self) -> bool:
        """Whether a newer document is known to exist and has not been read yet."""
        return self._read_document and self._applied is not None

    def _next_key(self) -> str:
        assert self._applied is not None
        return config_history_key(self._applied.config.version + 1)

    def _take_document(self, row: Row | None, sent_ms: int) -> None:
        if row is None:
            return
        match convert(Config, row.value):
            case Failure(Fault(detail=detail)):
                self._log("config_unreadable", {"reason": detail})
            case Success(Config() as config):
                self._apply(config, row.version, "store")
                if self._applied is not None and config.version == self._applied.config.version:
                    self._confirm(sent_ms)

    def _confirm(self, sent_ms: int) -> None:
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
