"""Bodies of the operators' HTTP interface, shared by the router and the command line."""

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
    """The answer to an accepted change; `changed` is false if it was in force before.

    `unheld` names the guaranteed cells that have no room while zones are out of service.
    """

    version: int
    change_id: str
    changed: bool
    unheld: str = ""


@dataclass(frozen=True, slots=True)
class ErrorBody:
    """The body of every error."""

    code: ResultCode
    name: str
    detail: str
    retry_after_ms: int | None = None


@dataclass(frozen=True, slots=True)
class HistoryLine:
    """One version of the configuration."""

    version: int
    preset: PresetName
    summary: str
    author: str
    change_id: str
    changed_unix_ms: int


@dataclass(frozen=True, slots=True)
class HistoryList:
    """Versions of the configuration, newest first."""

    history: list[HistoryLine]


@dataclass(frozen=True, slots=True)
class PresetList:
    """All presets and the one in force."""

    active: PresetName
    version: int
    presets: dict[PresetName, PresetSettings]


@dataclass(frozen=True, slots=True)
class JobList:
    """Jobs and where they were read: `owner` is the newest view, `table` the stored rows."""

    source: str
    jobs: list[JobRecord]


@dataclass(frozen=True, slots=True)
class ProcessLine:
    """A process; `code` is OK where it answered, else the other fields of its reply are empty."""

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
    """An availability zone; `outage` is None while it is in service.

    `free_accelerators` is None where no owner of the shard answered.
    """

    zone: str
    workers: int
    accelerators: int
    executors: int
    free_accelerators: int | None
    outage: ZoneOutage | None


@dataclass(frozen=True, slots=True)
class ZoneList:
    """The availability zones of a region at a version of the configuration."""

    version: int
    zones: list[ZoneLine]


@dataclass(frozen=True, slots=True)
class SystemStatus:
    """All that `GET /v1/status` answers.

    `config` is None where the answering router has seen none, `shard` where no owner answered.
    `unheld` names the guaranteed cells that have no room while zones are out of service.
    """

    region: str
    answered_by: str
    config: Config | None
    shard: ShardStatusReply | None
    processes: list[ProcessLine] = field(default_factory=list)
    zones: list[ZoneLine] = field(default_factory=list)
    unheld: str = ""
