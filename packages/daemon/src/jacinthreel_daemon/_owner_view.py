"""A router's view of which scheduler owns the region's shard.

A new owner sends an `OwnerNotice` over the streams; polling the epoch row covers missed notices.
Only a higher epoch replaces the current owner, so a late notice from an earlier owner is ignored.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Annotated, Any

import msgspec
from returns.result import Success

from jacinthreel_common import OwnerNotice, Row, convert, epoch_key


@dataclass(frozen=True, slots=True)
class EpochValue:
    """The value of a shard's epoch row: the epoch, and the host, address and port of its owner."""

    epoch: Annotated[int, msgspec.Meta(ge=1)]
    host_id: str
    address: str
    port: int


class OwnerWatch:
    """Tracks the owner of a shard; implements `OwnerView` and `RowFollower`."""

    def __init__(self, shard: str, log: Callable[[str, dict[str, Any]], None]) -> None:
        self._shard = shard
        self._log = log
        self._epoch = 0
        self._address: tuple[str, int] | None = None

    @property
    def epoch(self) -> int:
        """The highest epoch received, or 0 if none has been."""
        return self._epoch

    def owner_address(self) -> tuple[str, int] | None:
        """Returns the address and stream port of the owner, or None if no owner is known."""
        return self._address

    def apply_notice(self, notice: OwnerNotice) -> None:
        """Applies an owner's notice, if it is about this shard."""
        if notice.shard == self._shard:
            self._update_owner(notice.epoch, (notice.address, notice.port), "notice")

    def keys_to_read(self) -> list[str]:
        """Returns the key of the epoch row."""
        return [epoch_key(self._shard)]

    def on_rows_read(self, keys: list[str], rows_by_key: dict[str, Row], sent_ms: int) -> None:
        """Applies the epoch row; an absent or unreadable row changes nothing."""
        row = rows_by_key.get(epoch_key(self._shard))
        if row is None:
            return
        match convert(EpochValue, row.value):
            case Success(EpochValue(epoch=epoch, address=address, port=port)):
                self._update_owner(epoch, (address, port), "store")

    def on_read_failed(self) -> None:
        """Keeps the current owner."""

    def _update_owner(self, epoch: int, address: tuple[str, int], source: str) -> None:
        if epoch <= self._epoch:
            return
        self._epoch = epoch
        self._address = address
        fields = {"shard": self._shard, "epoch": epoch, "address": address[0], "port": address[1]}
        self._log("owner_changed", {**fields, "source": source})
