"""Caches the operator's rows and applies them to the policy of this process.

Rows come from the store's change feed, or from the owner while the store doesn't serve this
process.  Rows from the owner are applied only if newer than the cached ones; a full read of the
table replaces all cached rows.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from jacinthreel_common import StoredRow
from jacinthreel_daemon.plumbing import EventLog
from jacinthreel_node._ports import PlatformRowDecoder, PolicyPut, Row, UnusableRow, ZoneChanged
from jacinthreel_node._routing import PolicyView


class OperatorRows:
    """Caches the rows and applies each; `on_changed` is called after every update."""

    def __init__(
        self,
        row_decoder: PlatformRowDecoder,
        policy: PolicyView,
        log: EventLog,
        on_changed: Callable[[], None],
    ) -> None:
        self._row_decoder = row_decoder
        self._policy = policy
        self._log = log
        self._on_changed = on_changed
        self._rows_by_key: dict[str, Row] = {}

    def apply_snapshot(self, rows: tuple[Row, ...]) -> None:
        """Applies a full read of the table."""
        zones_out: set[str] = set()
        for row in rows:
            match self._row_decoder.decode_operator_row(row):
                case ZoneChanged(zone=zone, is_out=True):
                    zones_out.add(zone)
        self._policy.set_zones_out(frozenset(zones_out))
        self._rows_by_key.clear()
        self.apply_rows(rows)

    def apply_rows(self, rows: tuple[Row, ...]) -> None:
        """Applies changed rows."""
        for row in rows:
            self._rows_by_key[row.key] = row
            self._apply(row)
        self._on_changed()

    def apply_peer_rows(self, rows: Iterable[StoredRow]) -> None:
        """Applies rows fetched from another process if they are newer than the cached ones."""
        table = self._row_decoder.operator_table
        peer_rows = [Row(table, row.key, row.value, row.version) for row in rows]
        self.apply_rows(tuple(row for row in peer_rows if self._is_newer(row)))

    def stored_rows(self) -> list[StoredRow]:
        """Returns all cached rows, to send to another process."""
        return [StoredRow(row.key, row.value, row.version) for row in self._rows_by_key.values()]

    def _apply(self, row: Row) -> None:
        match self._row_decoder.decode_operator_row(row):
            case PolicyPut(policy=policy, ignored_values=ignored_values):
                policy_fields = {
                    "version": policy.version,
                    "applied": self._policy.apply_if_newer(policy),
                }
                self._log.info("policy_seen", {**policy_fields, "row_version": row.version})
                for reason in ignored_values:
                    value_fields = {"version": policy.version, "reason": reason}
                    self._log.warning("policy_value_ignored", value_fields)
            case ZoneChanged(zone=zone, is_out=is_out):
                self._policy.set_zone_out(zone, is_out)
                zone_fields = {"zone": zone, "out": is_out}
                self._log.info("zone_changed", {**zone_fields, "row_version": row.version})
            case UnusableRow(reason=reason) if reason:
                self._log.warning("operator_row_unusable", {"key": row.key, "reason": reason})

    def _is_newer(self, row: Row) -> bool:
        cached = self._rows_by_key.get(row.key)
        return cached is None or cached.version < row.version
