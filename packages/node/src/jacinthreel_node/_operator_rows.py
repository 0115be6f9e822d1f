"""The operator's rows as this process knows them, and the policy that follows from them.

Rows come from the store's feed, or from the owner while the store turns this process away.  A row
only ever replaces an older version of itself; a whole read replaces all.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from jacinthreel_common import StoredRow
from jacinthreel_daemon.plumbing import EventLog
from jacinthreel_node._ports import PlatformRows, PolicyPut, Row, Unusable, ZoneChanged
from jacinthreel_node._routing import PolicyView


class OperatorRows:
    """Keeps the rows and applies each; `changed` is called after every change."""

    def __init__(
        self,
        rows: PlatformRows,
        policy: PolicyView,
        log: EventLog,
        changed: Callable[[], None],
    ) -> None:
        self._rows = rows
        self._policy = policy
        self._log = log
        self._changed = changed
        self._rows_by_key: dict[str, Row] = {}

    def take_snapshot(self, rows: tuple[Row, ...]) -> None:
        """Takes the table as it was read whole."""
        zones_out: set[str] = set()
        for row in rows:
            match self._rows.operator_event(row):
                case ZoneChanged(zone=zone, is_out=True):
                    zones_out.add(zone)
        self._policy.set_zones_out(frozenset(zones_out))
        self._rows_by_key.clear()
        self.take_rows(rows)

    def take_rows(self, rows: tuple[Row, ...]) -> None:
        """Takes rows that have changed."""
        for row in rows:
            self._rows_by_key[row.key] = row
            self._apply(row)
        self._changed()

    def take_from_peer(self, rows: Iterable[StoredRow]) -> None:
        """Takes rows of another process, where they are newer than those known."""
        table = self._rows.operator_table
        found = [Row(table, row.key, row.value, row.version) for row in rows]
        self.take_rows(tuple(row for row in found if self._is_newer(row)))

    def stored_rows(self) -> list[StoredRow]:
        """All rows, to hand to another process."""
        return [StoredRow(row.key, row.value, row.version) for row in self._rows_by_key.values()]

    def _apply(self, row: Row) -> None:
        match self._rows.operator_event(row):
            case PolicyPut(policy=policy):
                seen = {"version": policy.version, "applied": self._policy.put(policy)}
                self._log.decision("policy_seen", {**seen, "row_version": row.version})
            case ZoneChanged(zone=zone, is_out=is_out):
                self._policy.set_zone(zone, is_out)
                changed = {"zone": zone, "out": is_out}
                self._log.decision("zone_changed", {**changed, "row_version": row.version})
            case Unusable(reason=reason) if reason:
                self._log.warning("operator_row_unusable", {"key": row.key, "reason": reason})

    def _is_newer(self, row: Row) -> bool:
        known = self._rows_by_key.get(row.key)
        return known is None or known.version < row.version
