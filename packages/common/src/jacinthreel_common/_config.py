"""The shared configuration: one versioned document, which includes the active preset.

The document is stored in one row of the table service and changes only by compare-and-set on the
previous version, so the versions form a linear history.  A process applies a version only if it is
higher than the version that it currently uses.
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
    """The names of the presets; exactly one preset is active."""

    ORDINARY = "ordinary"
    PEAK = "peak"
    MAINTENANCE = "maintenance"


class CellLevel(StrEnum):
    """The cell sizes in which accelerators are guaranteed, smallest first.

    The levels accelerator, pair, quad and worker are 1, 2, 4 and 8 adjacent accelerators of one
    worker; the level rack is `RACK_WORKERS` whole workers in one rack.
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
    """A guarantee of `count` cells of one level, which the workspace can reclaim at any time."""

    cell: CellLevel
    count: Annotated[int, msgspec.Meta(ge=1, le=10_000)]


@dataclass(frozen=True, slots=True)
class Workspace:
    """A tenant: its guarantee, and its weight for sharing capacity beyond the guarantees."""

    name: Name
    guarantee: list[GuaranteedShape] = field(default_factory=list)
    weight: Annotated[int, msgspec.Meta(ge=1, le=100)] = 1


@dataclass(frozen=True, slots=True)
class ZoneOutage:
    """An availability zone that operators have taken out of service.

    `drain_ms` is how long tasks that run in the zone may continue in order to reach a checkpoint.
    """

    zone: Name
    reason: str
    since_unix_ms: int
    drain_ms: Annotated[int, msgspec.Meta(ge=0, le=86_400_000)] = 60_000


@dataclass(frozen=True, slots=True)
class PresetSettings:
    """The settings of a preset.

    Units: `_ms` is milliseconds, `_ratio` is a fraction of 1.  `borrowing` allows jobs to use cells
    that are guaranteed to another workspace.  `checkpoint_grace_ms` is the maximum time that a
    borrower has to reach a checkpoint after the workspace with the guarantee reclaims the cells.
    `backfill_depth` is the maximum number of queued jobs considered behind a blocked job.
    `request_queue` is the queue length limit of each router.  `retry_budget_ratio` limits the
    retries of a router to this fraction of its requests.  `migrate_for_large_gangs` allows the
    planner to move smaller borrowing gangs so that a larger gang fits.
    """

    borrowing: bool = True
    checkpoint_grace_ms: Annotated[int, msgspec.Meta(ge=0, le=600_000)] = 30_000
    backfill_depth: Annotated[int, msgspec.Meta(ge=0, le=10_000)] = 200
    max_queued_jobs: Annotated[int, msgspec.Meta(ge=1, le=1_000_000)] = 20_000
    request_queue: Annotated[int, msgspec.Meta(ge=1, le=100_000)] = 400
    retry_budget_ratio: Ratio = 0.1
    migrate_for_large_gangs: bool = True


def default_presets() -> dict[PresetName, PresetSettings]:
    """Returns the presets of a new installation."""
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

    `change_id` is the id of the change that created this version; `author` and `summary` are
    informational.  Version 0 means that no change has been accepted yet.
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
        """The settings of the active preset."""
        return self.presets[self.preset]
