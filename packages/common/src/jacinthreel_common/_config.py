"""The shared configuration: one versioned document with the preset in force inside it.

The document lives in one row of the table service and changes only by compare-and-set from the
version before, so versions form a chain without branches.  A process applies a version only if
it is higher than the one it has.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum
from typing import Annotated

import msgspec

PositiveInt = Annotated[int, msgspec.Meta(ge=1)]
NonNegativeInt = Annotated[int, msgspec.Meta(ge=0)]
Ratio = Annotated[float, msgspec.Meta(ge=0.0, le=1.0)]
Name = Annotated[str, msgspec.Meta(pattern=r"^[a-z0-9][a-z0-9._-]{0,62}$")]


class PresetName(StrEnum):
    """The presets; exactly one is in force."""

    ORDINARY = "ordinary"
    PEAK = "peak"
    MAINTENANCE = "maintenance"


class CellLevel(StrEnum):
    """The sizes of cell in which accelerators are guaranteed, smallest first.

    An accelerator, a pair, a quad and a worker are 1, 2, 4 and 8 adjacent accelerators of one
    worker; a rack is `RACK_WORKERS` whole workers in one rack.
    """

    ACCELERATOR = "accelerator"
    PAIR = "pair"
    QUAD = "quad"
    WORKER = "worker"
    RACK = "rack"


RACK_WORKERS = 8
CELL_ACCELERATORS: dict[CellLevel, int] = {
    CellLevel.ACCELERATOR: 1,
    CellLevel.PAIR: 2,
    CellLevel.QUAD: 4,
    CellLevel.WORKER: 8,
    CellLevel.RACK: 8 * RACK_WORKERS,
}


@dataclass(frozen=True, slots=True)
class GuaranteedShape:
    """`count` cells of one level that a workspace can always reclaim."""

    cell: CellLevel
    count: Annotated[int, msgspec.Meta(ge=1, le=10_000)]


@dataclass(frozen=True, slots=True)
class Workspace:
    """A tenant: its guarantee and its weight when capacity beyond guarantees is shared."""

    name: Name
    guarantee: list[GuaranteedShape] = field(default_factory=list)
    weight: Annotated[int, msgspec.Meta(ge=1, le=100)] = 1


@dataclass(frozen=True, slots=True)
class ZoneOutage:
    """An availability zone that operators took out of service.

    `drain_ms` is how long running tasks there may go on to reach a checkpoint.
    """

    zone: Name
    reason: str
    since_unix_ms: int
    drain_ms: Annotated[int, msgspec.Meta(ge=0, le=86_400_000)] = 60_000


@dataclass(frozen=True, slots=True)
class PresetSettings:
    """What a preset decides.

    Units: `_ms` milliseconds, `_ratio` a share of 1.  `borrowing` lets jobs use cells that
    another workspace holds as a guarantee.  `checkpoint_grace_ms` bounds how long a borrower may
    take to reach a checkpoint after the holder asks.  `backfill_depth` is how many queued jobs
    are looked at behind a blocked one.  `request_queue` is per router.
    """

    borrowing: bool = True
    checkpoint_grace_ms: Annotated[int, msgspec.Meta(ge=0, le=600_000)] = 30_000
    backfill_depth: Annotated[int, msgspec.Meta(ge=0, le=10_000)] = 200
    max_queued_jobs: Annotated[int, msgspec.Meta(ge=1, le=1_000_000)] = 20_000
    request_queue: Annotated[int, msgspec.Meta(ge=1, le=100_000)] = 400
    retry_budget_ratio: Ratio = 0.1
    migrate_for_large_gangs: bool = True


def default_presets() -> dict[PresetName, PresetSettings]:
    """The presets that a new installation starts with."""
    return {
        PresetName.ORDINARY: PresetSettings(),
        PresetName.PEAK: PresetSettings(
            checkpoint_grace_ms=10_000, backfill_depth=500, request_queue=800
        ),
        PresetName.MAINTENANCE: PresetSettings(
            borrowing=True, checkpoint_grace_ms=60_000, migrate_for_large_gangs=False
        ),
    }


@dataclass(frozen=True, slots=True)
class Config:
    """The whole configuration at one version.

    `change_id` is the id of the change that made this version; `author` and `summary` are for
    people.  Version 0 means that nothing has been accepted yet.
    """

    version: NonNegativeInt
    preset: PresetName
    presets: dict[PresetName, PresetSettings] = field(default_factory=default_presets)
    workspaces: dict[str, Workspace] = field(default_factory=dict)
    zones_out: dict[str, ZoneOutage] = field(default_factory=dict)
    change_id: str = ""
    author: str = ""
    summary: str = ""
    changed_unix_ms: int = 0

    @property
    def settings(self) -> PresetSettings:
        """The settings of the preset in force."""
        return self.presets[self.preset]
