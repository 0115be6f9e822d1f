"""The `request` commands, which call executors, and the `codes` commands."""

from __future__ import annotations

import sys
from pathlib import Path
from urllib.parse import quote

import cyclopts

from jacinthreel_cli._exit import usage_error
from jacinthreel_cli._routers import ApiCall
from jacinthreel_cli._session import Common, Session
from jacinthreel_cli._views import render_table
from jacinthreel_common import DEADLINE_HEADER, REQUEST_ID_HEADER, RESULT_TABLE, ResultCode

IDEMPOTENT_HEADER = "X-Idempotent"
ANSWER_MARGIN_S = 5.0

request_app = cyclopts.App(name="request", help="Requests to executors.")
codes_app = cyclopts.App(name="codes", help="Result codes.")


@request_app.command
def send(
    workspace: str,
    payload: str = "",
    *,
    file: Path | None = None,
    deadline_ms: int = 30_000,
    idempotent: bool = False,
    request_id: str = "",
    common: Common | None = None,
) -> None:
    """Sends a request and prints the body of the answer unchanged.

    Parameters
    ----------
    workspace
        The workspace that the request belongs to.
    payload
        Body of the request.
    file
        Read the body from this file instead.
    deadline_ms
        Time limit for the answer, in milliseconds.
    idempotent
        Whether the request may be executed more than once.
    request_id
        Id of a request that is not idempotent; sending it again does not execute it twice.
    common
        Router addresses and output format.
    """
    session = Session(common)
    headers = {DEADLINE_HEADER: str(deadline_ms), IDEMPOTENT_HEADER: str(idempotent).lower()}
    if request_id:
        headers[REQUEST_ID_HEADER] = request_id
    call = ApiCall(
        "POST",
        f"/v1/requests/{quote(workspace, safe='')}",
        _read_payload(payload, file),
        headers,
        repeatable=idempotent or bool(request_id),
        timeout_s=deadline_ms / 1000 + ANSWER_MARGIN_S,
    )
    sys.stdout.buffer.write(session.fetch_raw(call))
    sys.stdout.buffer.flush()


@codes_app.command
def explain(code: str) -> None:
    """Explains a result code, given by number or name."""
    result_code = _find_code(code)
    entry = RESULT_TABLE[result_code]
    lines = [f"{int(result_code)} {result_code.name} (HTTP {entry.http_status})", entry.meaning]
    sys.stdout.write("\n".join([*lines, f"What to do: {entry.advice}"]) + "\n")


@codes_app.command(name="list")
def list_codes() -> None:
    """Lists all result codes."""
    from rich.console import Console

    rows = [[int(code), code.name, entry.meaning] for code, entry in RESULT_TABLE.items()]
    Console().print(render_table("result codes", ["code", "name", "meaning"], rows))


def _read_payload(payload: str, file: Path | None) -> bytes:
    if file is None:
        return payload.encode()
    try:
        return file.read_bytes()
    except OSError as error:
        detail = f"{file}: {error.strerror or 'cannot read the file'}"
        raise usage_error(ResultCode.BAD_SETTINGS, detail) from None


def _find_code(text: str) -> ResultCode:
    for code in ResultCode:
        if text == str(int(code)) or text.upper() == code.name:
            return code
    raise usage_error(ResultCode.NO_SUCH_RESOURCE, f"no result code {text!r}")
