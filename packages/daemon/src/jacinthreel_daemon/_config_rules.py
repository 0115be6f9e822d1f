"""Rules of configuration changes, without I/O.

A change concerns one item: a workspace, a zone, the active preset or the settings of a preset.
`apply_change` validates it against the current configuration and the host list, and builds the
next version.  `get_changed_item` returns that item, which is how conflicting changes are detected.

Invariants: each accepted configuration passes `check_config`; version numbers increase by 1; a
change that has no effect creates no version.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any, Final

from returns.result import Failure, Result, Success

from jacinthreel_common import (
    Config,
    Fault,
    Host,
    HostKind,
    PresetName,
    PresetSettings,
    ResultCode,
    Workspace,
    ZoneOutage,
    default_presets,
)
from jacinthreel_jobs import check_guarantees

MAX_WORKSPACES: Final = 1_000
MAX_REASON_CHARS: Final = 500


@dataclass(frozen=True, slots=True)
class Initialize:
    """Creates the initial configuration of a new installation."""


@dataclass(frozen=True, slots=True)
class SetWorkspace:
    """Creates or replaces a workspace."""

    workspace: Workspace


@dataclass(frozen=True, slots=True)
class DeleteWorkspace:
    """Removes a workspace; the caller has checked that all its jobs have ended."""

    name: str


@dataclass(frozen=True, slots=True)
class TakeZoneOut:
    """Takes an availability zone out of service."""

    zone: str
    reason: str
    drain_ms: int


@dataclass(frozen=True, slots=True)
class BringZoneIn:
    """Puts an availability zone back into service."""

    zone: str


@dataclass(frozen=True, slots=True)
class ActivatePreset:
    """Makes another preset the active one."""

    name: PresetName


@dataclass(frozen=True, slots=True)
class SetPreset:
    """Replaces the settings of a preset."""

    name: PresetName
    settings: PresetSettings


Change = (
    Initialize
    | SetWorkspace
    | DeleteWorkspace
    | TakeZoneOut
    | BringZoneIn
    | ActivatePreset
    | SetPreset
)


@dataclass(frozen=True, slots=True)
class ChangeRequest:
    """A change and its author.

    `expected_version` is the configuration version that the change is based on.  With None the
    change applies to any version, unless the same item is changed concurrently.
    """

    change: Change
    change_id: str
    author: str = ""
    expected_version: int | None = None


def empty_config() -> Config:
    """Returns version 0, the configuration before any change has been accepted."""
    return Config(version=0, preset=PresetName.ORDINARY, presets=default_presets())


def apply_change(
    config: Config, request: ChangeRequest, hosts: Iterable[Host], unix_ms: int
) -> Result[Config, Fault]:
    """Builds the next version, or returns `config` itself if the change has no effect.

    Errors: UNKNOWN_ZONE, UNKNOWN_WORKSPACE, GUARANTEES_DO_NOT_FIT, BAD_CONFIG.
    """
    host_list = list(hosts)
    edited = _apply_edit(config, request.change, host_list, unix_ms)
    if isinstance(edited, Failure):
        return edited
    changed = edited.unwrap()
    if changed == config and config.version > 0:
        return Success(config)
    next_config = dataclasses.replace(
        changed,
        version=config.version + 1,
        change_id=request.change_id,
        author=request.author,
        summary=summarize(request.change),
        changed_unix_ms=unix_ms,
    )
    if next_config.workspaces == config.workspaces:
        return check_config(next_config)
    guarantee_check = check_guarantees(next_config.workspaces.values(), host_list)
    if isinstance(guarantee_check, Failure):
        return guarantee_check
    return check_config(next_config)


def check_config(config: Config) -> Result[Config, Fault]:
    """Checks the constraints across fields of a configuration.  Errors: BAD_CONFIG."""
    for preset in PresetName:
        if preset not in config.presets:
            return _bad_config(f"presets.{preset} is missing")
    for name, workspace in config.workspaces.items():
        if workspace.name != name:
            return _bad_config(f"workspaces.{name}.name is {workspace.name!r}")
        cells = [shape.cell for shape in workspace.guarantee]
        if len(cells) != len(set(cells)):
            return _bad_config(f"workspaces.{name}.guarantee names a cell level twice")
    if len(config.workspaces) > MAX_WORKSPACES:
        return _bad_config(f"workspaces: more than {MAX_WORKSPACES}")
    for zone, outage in config.zones_out.items():
        if outage.zone != zone:
            return _bad_config(f"zones_out.{zone}.zone is {outage.zone!r}")
        if len(outage.reason) > MAX_REASON_CHARS:
            return _bad_config(f"zones_out.{zone}.reason is over {MAX_REASON_CHARS} characters")
    return Success(config)


def describe_unmet_guarantees(config: Config, hosts: Iterable[Host]) -> str:
    """Describes the guaranteed cells that do not fit in the zones in service; empty if all fit."""
    in_service = [host for host in hosts if host.zone not in config.zones_out]
    guarantee_check = check_guarantees(config.workspaces.values(), in_service)
    return guarantee_check.failure().detail if isinstance(guarantee_check, Failure) else ""


def get_changed_item(config: Config, change: Change) -> Any:
    """Returns the item of a configuration that a change concerns.

    >>> config = empty_config()
    >>> get_changed_item(config, ActivatePreset(PresetName.PEAK)).value
    'ordinary'
    """
    match change:
        case Initialize():
            return config.version > 0
        case SetWorkspace(workspace):
            return config.workspaces.get(workspace.name)
        case DeleteWorkspace(name):
            return config.workspaces.get(name)
        case TakeZoneOut(zone) | BringZoneIn(zone):
            return config.zones_out.get(zone)
        case ActivatePreset():
            return config.preset
        case SetPreset(name):
            return config.presets[name]


def summarize(change: Change) -> str:
    """Returns a short description of the change for the history.

    >>> summarize(TakeZoneOut("kumamoto", "power", 1000))
    'zone kumamoto out: power'
    """
    match change:
        case Initialize():
            return "initial configuration"
        case SetWorkspace(workspace):
            return f"workspace {workspace.name} set"
        case DeleteWorkspace(name):
            return f"workspace {name} deleted"
        case TakeZoneOut(zone, reason):
            return f"zone {zone} out: {reason}"
        case BringZoneIn(zone):
            return f"zone {zone} in"
        case ActivatePreset(preset):
            return f"preset {preset} activated"
        case SetPreset(preset):
            return f"preset {preset} changed"


def _apply_edit(
    config: Config, change: Change, hosts: list[Host], unix_ms: int
) -> Result[Config, Fault]:
    """Returns the configuration with the changed item, without a new version number."""
    match change:
        case Initialize():
            return Success(config)
        case SetWorkspace(workspace):
            workspaces = {**config.workspaces, workspace.name: workspace}
            return Success(dataclasses.replace(config, workspaces=workspaces))
        case DeleteWorkspace(name):
            if name not in config.workspaces:
                return _unknown_fault(ResultCode.UNKNOWN_WORKSPACE, "workspace", name)
            workspaces = {key: value for key, value in config.workspaces.items() if key != name}
            return Success(dataclasses.replace(config, workspaces=workspaces))
        case TakeZoneOut():
            return _take_zone_out(config, change, hosts, unix_ms)
        case BringZoneIn(zone):
            if zone not in config.zones_out and zone not in zones_of(hosts):
                return _unknown_fault(ResultCode.UNKNOWN_ZONE, "zone", zone)
            zones_out = {key: value for key, value in config.zones_out.items() if key != zone}
            return Success(dataclasses.replace(config, zones_out=zones_out))
        case ActivatePreset(preset):
            return Success(dataclasses.replace(config, preset=preset))
        case SetPreset(preset, settings):
            presets = {**config.presets, preset: settings}
            return Success(dataclasses.replace(config, presets=presets))


def _take_zone_out(
    config: Config, change: TakeZoneOut, hosts: list[Host], unix_ms: int
) -> Result[Config, Fault]:
    if change.zone not in zones_of(hosts):
        return _unknown_fault(ResultCode.UNKNOWN_ZONE, "zone", change.zone)
    previous = config.zones_out.get(change.zone)
    since_unix_ms = previous.since_unix_ms if previous else unix_ms
    outage = ZoneOutage(change.zone, change.reason, since_unix_ms, change.drain_ms)
    zones_out = {**config.zones_out, change.zone: outage}
    return Success(dataclasses.replace(config, zones_out=zones_out))


def zones_of(hosts: Iterable[Host]) -> set[str]:
    """Returns the availability zones that have workers or executors."""
    return {host.zone for host in hosts if host.kind is not HostKind.ENTRY}


def _unknown_fault(code: ResultCode, item_type: str, name: str) -> Failure[Fault]:
    return Failure(Fault(code, f"no {item_type} {name!r}"))


def _bad_config(detail: str) -> Failure[Fault]:
    return Failure(Fault(ResultCode.BAD_CONFIG, detail))
