"""Bodies and headers of the operators' HTTP API, shared by the router and the command line."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Annotated, Final

import msgspec

from jacinthreel_common._codes import ResultCode
from jacinthreel_common._config import (
    Config,
    GuaranteedShape,
    PresetName,
    PresetSettings,
    ZoneOutage,
)
from jacinthreel_common._jobs import JobRecord
from jacinthreel_common._platform import HostState
from jacinthreel_common._streams import ShardStatusReply

CHANGE_ID_HEADER: Final = "X-Change-Id"
AUTHOR_HEADER: Final = "X-Author"
EXPECTED_VERSION_HEADER: Final = "If-Match"


@dataclass(frozen=True, slots=True)
class WorkspaceBody:
    """The body of `PUT /v1/workspaces/NAME`."""

    guarantee: list[GuaranteedShape] = field(default_factory=list)
    weight: Annotated[int, msgspec.Meta(ge=1, le=100)] = 1


@dataclass(frozen=True, slots=True)
class ZoneOutBody:
    """The body of `POST /v1/zones/ZONE/out`."""

    reason: Annotated[str, msgspec.Meta(max_length=500)] = ""
    drain_ms: Annotated[int, msgspec.Meta(ge=0, le=86_400_000)] = 60_000


@dataclass(frozen=True, slots=True)
class ChangeAnswer:
    """The answer to an accepted change; `changed` is false if the configuration already had it.

    `unheld` lists the guaranteed cells that do not fit on the hosts of the zones in service; it is
    empty if all fit.
    """

    version: int
    change_id: str
    changed: bool
    unheld: str = ""


@dataclass(frozen=True, slots=True)
class ErrorBody:
    """The body of every error response."""

    code: ResultCode
    name: str
    detail: str
    retry_after_ms: int | None = None


@dataclass(frozen=True, slots=True)
class HistoryLine:
    """An entry of the configuration history: one version, without the settings themselves."""

    version: int
    preset: PresetName
    summary: str
    author: str
    change_id: str
    changed_unix_ms: int


@dataclass(frozen=True, slots=True)
class HistoryList:
    """The configuration history, newest version first."""

    history: list[HistoryLine]


@dataclass(frozen=True, slots=True)
class PresetList:
    """All presets and the name of the active one."""

    active: PresetName
    version: int
    presets: dict[PresetName, PresetSettings]


@dataclass(frozen=True, slots=True)
class JobList:
    """Jobs and their source: `owner` is the owner's current state, `table` the stored rows."""

    source: str
    jobs: list[JobRecord]


@dataclass(frozen=True, slots=True)
class ProcessLine:
    """The status of a process.

    `code` is OK if the process replied; otherwise the fields that come from its reply have their
    default values.
    """

    host_id: str
    role: str
    zone: str
    host_state: HostState
    code: ResultCode
    config_version: int = 0
    epoch: int = 0
    draining: bool = False


@dataclass(frozen=True, slots=True)
class ZoneLine:
    """The status of an availability zone; `outage` is None while the zone is in service.

    `free_accelerators` is None if no owner of the shard replied.
    """

    zone: str
    workers: int
    accelerators: int
    executors: int
    free_accelerators: int | None
    outage: ZoneOutage | None


@dataclass(frozen=True, slots=True)
class ZoneList:
    """The availability zones of a region at one version of the configuration."""

    version: int
    zones: list[ZoneLine]


@dataclass(frozen=True, slots=True)
class SystemStatus:
    """The body of the answer to `GET /v1/status`.

    `config` is None if the answering router has no configuration yet, `shard` if no owner replied.
    `unheld` lists the guaranteed cells that do not fit on the hosts of the zones in service.
    """

    region: str
    answered_by: str
    config: Config | None
    shard: ShardStatusReply | None
    processes: list[ProcessLine] = field(default_factory=list)
    zones: list[ZoneLine] = field(default_factory=list)
    unheld: str = ""
