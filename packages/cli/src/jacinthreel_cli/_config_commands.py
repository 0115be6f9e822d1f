"""Commands that show and change the configuration: init, workspace, zone, preset."""

from __future__ import annotations

import time
from typing import Annotated, Final
from urllib.parse import quote

import cyclopts
from returns.result import Failure

from jacinthreel_cli._exit import CommandError, ExitStatus, refusal, usage_error
from jacinthreel_cli._session import ChangeOptions, Common, Progress, Session
from jacinthreel_cli._views import (
    draw_change,
    draw_history,
    draw_preset,
    draw_presets,
    draw_workspaces,
    draw_zone_list,
)
from jacinthreel_common import (
    CellLevel,
    Config,
    Fault,
    GuaranteedShape,
    HistoryList,
    HostState,
    PresetList,
    PresetName,
    PresetSettings,
    ResultCode,
    SystemStatus,
    WorkspaceBody,
    ZoneList,
    ZoneOutBody,
    convert,
    decode_json,
    to_plain,
)

WAIT_POLL_S: Final = 0.3

workspace_app = cyclopts.App(name="workspace", help="Workspaces and their guarantees.")
zone_app = cyclopts.App(name="zone", help="Availability zones.")
preset_app = cyclopts.App(name="preset", help="Presets; exactly one is in force.")


def init(*, common: Common | None = None, options: ChangeOptions | None = None) -> None:
    """Accepts the first configuration; changes nothing where there is one."""
    _change(Session(common), "POST", "/v1/config", None, options)


@workspace_app.command(name="set")
def set_workspace(
    name: str,
    *,
    guarantee: Annotated[list[str] | None, cyclopts.Parameter(negative="")] = None,
    weight: int = 1,
    common: Common | None = None,
    options: ChangeOptions | None = None,
) -> None:
    """Creates or replaces a workspace.

    Parameters
    ----------
    name
        The workspace.
    guarantee
        A guaranteed shape, CELL=COUNT; repeatable.  Cells: accelerator, pair, quad, worker, rack.
    weight
        Its share of what is left beyond guarantees, from 1 to 100.
    common
        Which routers to call and how to print.
    options
        How the change is identified, and whether to wait for it.
    """
    body = WorkspaceBody([_parse_shape(text) for text in guarantee or []], weight)
    _change(Session(common), "PUT", f"/v1/workspaces/{quote(name, safe='')}", body, options)


@workspace_app.command(name="list")
def list_workspaces(*, common: Common | None = None) -> None:
    """Lists the workspaces."""
    session = Session(common)
    config = session.get(Config, "/v1/config")
    if session.as_json:
        session.show(config.workspaces, str)
        return
    session.show(config, draw_workspaces)


@workspace_app.command(name="delete")
def delete_workspace(
    name: str, *, common: Common | None = None, options: ChangeOptions | None = None
) -> None:
    """Deletes a workspace that has no jobs left."""
    _change(Session(common), "DELETE", f"/v1/workspaces/{quote(name, safe='')}", None, options)


@zone_app.command(name="list")
def list_zones(*, common: Common | None = None) -> None:
    """Lists the availability zones."""
    session = Session(common)
    session.show(session.get(ZoneList, "/v1/zones"), draw_zone_list)


@zone_app.command(name="out")
def take_zone_out(
    zone: str,
    *,
    reason: str,
    drain_s: float = 60.0,
    common: Common | None = None,
    options: ChangeOptions | None = None,
) -> None:
    """Takes an availability zone out of service.

    Parameters
    ----------
    zone
        The availability zone.
    reason
        Why, for the other operators.
    drain_s
        How long its running tasks may go on to reach a checkpoint, in seconds.
    common
        Which routers to call and how to print.
    options
        How the change is identified, and whether to wait for it.
    """
    body = ZoneOutBody(reason, int(drain_s * 1000))
    _change(Session(common), "POST", f"/v1/zones/{quote(zone, safe='')}/out", body, options)


@zone_app.command(name="in")
def bring_zone_in(
    zone: str,
    *,
    common: Common | None = None,
    options: ChangeOptions | None = None,
) -> None:
    """Returns an availability zone to service.

    Parameters
    ----------
    zone
        The availability zone.
    common
        Which routers to call and how to print.
    options
        How the change is identified, and whether to wait for it.
    """
    _change(Session(common), "POST", f"/v1/zones/{quote(zone, safe='')}/in", None, options)


@preset_app.command(name="list")
def list_presets(*, common: Common | None = None) -> None:
    """Lists the presets and marks the one in force."""
    session = Session(common)
    session.show(session.get(PresetList, "/v1/presets"), draw_presets)


@preset_app.command(name="show")
def show_preset(name: PresetName, *, common: Common | None = None) -> None:
    """Shows the settings of a preset."""
    session = Session(common)
    session.show(session.get(PresetSettings, f"/v1/presets/{name.value}"), draw_preset)


@preset_app.command(name="set")
def set_preset(
    name: PresetName,
    settings: list[str],
    *,
    common: Common | None = None,
    options: ChangeOptions | None = None,
) -> None:
    """Changes settings of a preset and keeps the others.

    Parameters
    ----------
    name
        The preset.
    settings
        The settings to change, KEY=VALUE.
    common
        Which routers to call and how to print.
    options
        How the change is identified, and whether to wait for it.
    """
    session = Session(common)
    presets = session.get(PresetList, "/v1/presets")
    body = _change_settings(presets.presets[name], settings)
    chosen = options or ChangeOptions()
    if chosen.expect is None:
        chosen.expect = presets.version
    _change(session, "PUT", f"/v1/presets/{name.value}", body, chosen)


@preset_app.command(name="activate")
def activate_preset(
    name: PresetName,
    *,
    common: Common | None = None,
    options: ChangeOptions | None = None,
) -> None:
    """Puts a preset in force in place of the one that is.

    Parameters
    ----------
    name
        The preset.
    common
        Which routers to call and how to print.
    options
        How the change is identified, and whether to wait for it.
    """
    _change(Session(common), "POST", f"/v1/presets/{name.value}/activate", None, options)


@preset_app.command(name="history")
def show_history(*, limit: int = 20, common: Common | None = None) -> None:
    """Lists the newest versions of the configuration."""
    session = Session(common)
    session.show(session.get(HistoryList, f"/v1/config/history?limit={limit}"), draw_history)


def _change(
    session: Session, method: str, path: str, body: object, options: ChangeOptions | None
) -> None:
    """Makes a change, waits until it is in force everywhere if asked to, and shows the answer."""
    answer = session.change(method, path, body, options)
    if options is not None and options.wait:
        _wait_in_force(session, answer.version, options.timeout_s)
    session.show(answer, draw_change)


def _wait_in_force(session: Session, version: int, timeout_s: float) -> None:
    """Waits until every process of every live host has applied a version."""
    deadline_s = time.monotonic() + timeout_s
    with Progress() as progress:
        while True:
            behind = find_behind(session.get(SystemStatus, "/v1/status"), version)
            if not behind:
                return
            progress.update(f"version {version} not yet in force at {', '.join(behind)}")
            if time.monotonic() >= deadline_s:
                break
            time.sleep(WAIT_POLL_S)
    detail = f"accepted as version {version}, but not confirmed by {', '.join(behind)}"
    raise CommandError(ExitStatus.UNKNOWN, Fault(ResultCode.PEER_TIMEOUT, detail))


def find_behind(status: SystemStatus, version: int) -> list[str]:
    """The processes of live hosts that have not confirmed a version."""
    behind: list[str] = []
    for line in status.processes:
        if line.host_state is HostState.LEAVING and line.code is not ResultCode.OK:
            continue
        if line.config_version < version:
            behind.append(f"{line.host_id}/{line.role}")
    return behind


def _parse_shape(text: str) -> GuaranteedShape:
    cell, _, count = text.partition("=")
    if cell not in set(CellLevel) or not count.isdigit():
        cells = ", ".join(CellLevel)
        detail = f"guarantee {text!r} is not CELL=COUNT with a cell of {cells}"
        raise usage_error(ResultCode.WRONG_TYPE, detail)
    shape = convert(GuaranteedShape, {"cell": cell, "count": int(count)})
    if isinstance(shape, Failure):
        raise usage_error(shape.failure().code, shape.failure().detail)
    return shape.unwrap()


def _change_settings(before: PresetSettings, texts: list[str]) -> PresetSettings:
    """Settings with some keys replaced; values are JSON, as in `true` or `0.5`."""
    plain = to_plain(before)
    for text in texts:
        key, separator, value = text.partition("=")
        if not separator or key not in plain:
            raise usage_error(ResultCode.UNKNOWN_FIELD, f"{text!r}: keys are {', '.join(plain)}")
        parsed = decode_json(object, value.encode())
        if isinstance(parsed, Failure):
            raise usage_error(parsed.failure().code, f"{text!r}: {parsed.failure().detail}")
        plain[key] = parsed.unwrap()
    changed = convert(PresetSettings, plain)
    if isinstance(changed, Failure):
        raise refusal(changed.failure())
    return changed.unwrap()
