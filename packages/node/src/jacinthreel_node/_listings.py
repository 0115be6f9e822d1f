"""Passes the registry of executors on to the scheduler and to the links of one ownership.

A row that can't be read gives its executor no new work; a known executor keeps its link.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Final, Protocol

from jacinthreel_daemon.plumbing import Clock
from jacinthreel_node._ports import PlatformRowDecoder, Row, UnusableRow
from jacinthreel_steps import ExecutorListing, Scheduler

MAX_LOGGED_REASON: Final = 200


class LinkedExecutors(Protocol):
    """The links to executors."""

    def add(self, executor_id: str) -> None:
        """Adds an executor; a no-op if it has a link."""


class Listings:
    """The rows of the executors' table during one ownership.

    `is_loaded` tells whether the ownership has loaded its tables; before, listings are not logged.
    """

    def __init__(
        self,
        row_decoder: PlatformRowDecoder,
        scheduler: Scheduler,
        links: LinkedExecutors,
        clock: Clock,
        is_loaded: Callable[[], bool],
        log: Callable[[str, dict[str, Any]], None],
    ) -> None:
        self._row_decoder = row_decoder
        self._scheduler = scheduler
        self._links = links
        self._clock = clock
        self._is_loaded = is_loaded
        self._log = log

    def apply_snapshot(self, rows: tuple[Row, ...]) -> None:
        """Applies all rows of the table; executors without a row are removed."""
        self.apply_changes(rows)
        listed_ids = {row.key for row in rows}
        for executor_id in list(self._scheduler.tables.executors_by_id):
            if executor_id not in listed_ids:
                self._remove(executor_id)

    def apply_changes(self, rows: tuple[Row, ...]) -> None:
        """Applies changed rows; those without a value have been deleted."""
        now_ms = self._clock.now_ms()
        for row in rows:
            if row.value is None:
                self._remove(row.key)
                continue
            match self._decode(row):
                case ExecutorListing() as listing:
                    self._apply(listing, now_ms)
                case UnusableRow(reason=""):
                    self._remove(row.key)
                case UnusableRow(reason=reason):
                    self._suspend(row.key, reason)

    def record_read(self) -> None:
        """Records that all changes of the table up to now have been applied."""
        self._scheduler.record_registry_read(self._clock.now_ms())

    def _decode(self, row: Row) -> ExecutorListing | UnusableRow:
        """Decodes a row; an unexpected error costs only this row, which each next owner reads."""
        try:
            return self._row_decoder.decode_executor_listing(row)
        except Exception as error:
            return UnusableRow(f"unexpected error: {error!r}"[:MAX_LOGGED_REASON])

    def _apply(self, listing: ExecutorListing, now_ms: int) -> None:
        if self._scheduler.apply_listing(listing, now_ms) and self._is_loaded():
            fields = {
                "executor": listing.executor_id,
                "incarnation": listing.incarnation,
                "address": listing.address,
                "executor_zone": listing.zone,
                "rack": listing.rack,
            }
            self._log("executor_listed", fields)
        self._links.add(listing.executor_id)

    def _suspend(self, executor_id: str, reason: str) -> None:
        is_known = self._scheduler.suspend_listing(executor_id)
        fields = {"executor": executor_id, "known": is_known, "reason": reason}
        self._log("executor_row_unreadable", fields)

    def _remove(self, executor_id: str) -> None:
        if self._scheduler.remove_listing(executor_id):
            self._log("executor_unlisted", {"executor": executor_id})
