"""Commands that show or change the configuration: init, workspace, zone, preset."""

from __future__ import annotations

import time
from typing import Annotated, Final
from urllib.parse import quote

import cyclopts
from returns.result import Failure

from jacinthreel_cli._exit import CommandError, ExitStatus, fault_error, usage_error
from jacinthreel_cli._session import ChangeOptions, Common, Progress, Session
from jacinthreel_cli._views import (
    render_change,
    render_history,
    render_preset,
    render_presets,
    render_workspaces,
    render_zone_list,
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
preset_app = cyclopts.App(name="preset", help="Presets; exactly one is active.")


def init(*, common: Common | None = None, options: ChangeOptions | None = None) -> None:
    """Creates the first configuration; does nothing if there is one."""
    _submit_change(Session(common), "POST", "/v1/config", None, options)


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
        Name of the workspace.
    guarantee
        Guaranteed cells, CELL=COUNT; repeatable.  Cells: accelerator, pair, quad, worker, rack.
    weight
        Weight in the division of capacity beyond guarantees, from 1 to 100.
    common
        Router addresses and output format.
    options
        Idempotency key and expected version of the change, and whether to wait for it.
    """
    body = WorkspaceBody([_parse_shape(text) for text in guarantee or []], weight)
    _submit_change(Session(common), "PUT", f"/v1/workspaces/{quote(name, safe='')}", body, options)


@workspace_app.command(name="list")
def list_workspaces(*, common: Common | None = None) -> None:
    """Lists the workspaces."""
    session = Session(common)
    config = session.get(Config, "/v1/config")
    if session.as_json:
        session.show(config.workspaces, str)
        return
    session.show(config, render_workspaces)


@workspace_app.command(name="delete")
def delete_workspace(
    name: str, *, common: Common | None = None, options: ChangeOptions | None = None
) -> None:
    """Deletes a workspace; it must have no jobs left."""
    _submit_change(
        Session(common), "DELETE", f"/v1/workspaces/{quote(name, safe='')}", None, options
    )


@zone_app.command(name="list")
def list_zones(*, common: Common | None = None) -> None:
    """Lists the availability zones."""
    session = Session(common)
    session.show(session.get(ZoneList, "/v1/zones"), render_zone_list)


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
        Name of the availability zone.
    reason
        Reason, shown to other operators.
    drain_s
        Time that running tasks have to reach a checkpoint before they are stopped, in seconds.
    common
        Router addresses and output format.
    options
        Idempotency key and expected version of the change, and whether to wait for it.
    """
    body = ZoneOutBody(reason, int(drain_s * 1000))
    _submit_change(Session(common), "POST", f"/v1/zones/{quote(zone, safe='')}/out", body, options)


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
        Name of the availability zone.
    common
        Router addresses and output format.
    options
        Idempotency key and expected version of the change, and whether to wait for it.
    """
    _submit_change(Session(common), "POST", f"/v1/zones/{quote(zone, safe='')}/in", None, options)


@preset_app.command(name="list")
def list_presets(*, common: Common | None = None) -> None:
    """Lists the presets and marks the active one."""
    session = Session(common)
    session.show(session.get(PresetList, "/v1/presets"), render_presets)


@preset_app.command(name="show")
def show_preset(name: PresetName, *, common: Common | None = None) -> None:
    """Shows the settings of a preset."""
    session = Session(common)
    session.show(session.get(PresetSettings, f"/v1/presets/{name.value}"), render_preset)


@preset_app.command(name="set")
def set_preset(
    name: PresetName,
    settings: list[str],
    *,
    common: Common | None = None,
    options: ChangeOptions | None = None,
) -> None:
    """Changes some settings of a preset; the others keep their values.

    Parameters
    ----------
    name
        Name of the preset.
    settings
        Settings to change, KEY=VALUE, with the value in JSON.
    common
        Router addresses and output format.
    options
        Idempotency key and expected version of the change, and whether to wait for it.
    """
    session = Session(common)
    presets = session.get(PresetList, "/v1/presets")
    body = _replace_settings(presets.presets[name], settings)
    chosen = options or ChangeOptions()
    if chosen.expect is None:
        chosen.expect = presets.version
    _submit_change(session, "PUT", f"/v1/presets/{name.value}", body, chosen)


@preset_app.command(name="activate")
def activate_preset(
    name: PresetName,
    *,
    common: Common | None = None,
    options: ChangeOptions | None = None,
) -> None:
    """Makes a preset the active one.

    Parameters
    ----------
    name
        Name of the preset.
    common
        Router addresses and output format.
    options
        Idempotency key and expected version of the change, and whether to wait for it.
    """
    _submit_change(Session(common), "POST", f"/v1/presets/{name.value}/activate", None, options)


@preset_app.command(name="history")
def show_history(*, limit: int = 20, common: Common | None = None) -> None:
    """Lists the latest versions of the configuration."""
    session = Session(common)
    session.show(session.get(HistoryList, f"/v1/config/history?limit={limit}"), render_history)


def _submit_change(
    session: Session, method: str, path: str, body: object, options: ChangeOptions | None
) -> None:
    """Sends a change, waits until it is applied if --wait is set, and prints the answer."""
    answer = session.change(method, path, body, options)
    if options is not None and options.wait:
        _wait_until_applied(session, answer.version, options.timeout_s)
    session.show(answer, render_change)


def _wait_until_applied(session: Session, version: int, timeout_s: float) -> None:
    """Waits until the processes of all live hosts have applied a version.

    Raises `CommandError` after the timeout.
    """
    deadline_s = time.monotonic() + timeout_s
    with Progress() as progress:
        while True:
            outdated = find_outdated_processes(session.get(SystemStatus, "/v1/status"), version)
            if not outdated:
                return
            progress.update(f"version {version} not yet applied by {', '.join(outdated)}")
            if time.monotonic() >= deadline_s:
                break
            time.sleep(WAIT_POLL_S)
    detail = f"accepted as version {version}, but not confirmed by {', '.join(outdated)}"
    raise CommandError(ExitStatus.UNKNOWN, Fault(ResultCode.PEER_TIMEOUT, detail))


def find_outdated_processes(status: SystemStatus, version: int) -> list[str]:
    """Returns the processes, HOST/ROLE, that have not confirmed a version.

    A process of a leaving host that cannot be reached is left out.
    """
    outdated: list[str] = []
    for line in status.processes:
        if line.host_state is HostState.LEAVING and line.code is not ResultCode.OK:
            continue
        if line.config_version < version:
            outdated.append(f"{line.host_id}/{line.role}")
    return outdated


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


def _replace_settings(settings: PresetSettings, texts: list[str]) -> PresetSettings:
    """Returns the settings with some replaced by KEY=VALUE texts; values are JSON."""
    plain = to_plain(settings)
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
        raise fault_error(changed.failure())
    return changed.unwrap()
