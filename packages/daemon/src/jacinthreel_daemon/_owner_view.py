"""Who owns the region's shard, as far as a router knows.

Owners announce themselves over the streams; the poll of the epoch row repairs what was missed.
The higher epoch wins, so that a late notice of an earlier owner changes nothing.
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
    """The value of a shard's epoch row: the epoch, and where its owner is reached."""

    epoch: Annotated[int, msgspec.Meta(ge=1)]
    host_id: str
    address: str
    port: int


class OwnerWatch:
    """Follows the owner; see the ports `OwnerView` and `RowFollower`."""

    def __init__(self, shard: str, log: Callable[[str, dict[str, Any]], None]) -> None:
        self._shard = shard
        self._log = log
        self._epoch = 0
        self._address: tuple[str, int] | None = None

    @property
    def epoch(self) -> int:
        """The newest epoch seen; 0 where none was."""
        return self._epoch

    def owner_address(self) -> tuple[str, int] | None:
        """Address and stream port of the owner's scheduler, or None."""
        return self._address

    def take_notice(self, notice: OwnerNotice) -> None:
        """Takes an announcement."""
        if notice.shard == self._shard:
            self._take(notice.epoch, (notice.address, notice.port), "notice")

    def wanted_keys(self) -> list[str]:
        """The epoch row."""
        return [epoch_key(self._shard)]

    def rows_read(self, keys: list[str], rows_by_key: dict[str, Row], sent_ms: int) -> None:
        """Takes the epoch row."""
        row = rows_by_key.get(epoch_key(self._shard))
        if row is None:
            return
        match convert(EpochValue, row.value):
            case Success(EpochValue(epoch=epoch, address=address, port=port)):
                self._take(epoch, (address, port), "store")

    def read_failed(self) -> None:
        """Leaves the owner as it was."""

    def _take(self, epoch: int, address: tuple[str, int], source: str) -> None:
        if epoch <= self._epoch:
            return
        self._epoch = epoch
        self._address = address
        fields = {"shard": self._shard, "epoch": epoch, "address": address[0], "port": address[1]}
        self._log("owner_changed", {**fields, "source": source})
