"""Options and helpers shared by all commands: router calls, output format, waiting."""

from __future__ import annotations

import getpass
import sys
import uuid
from collections.abc import Callable
from dataclasses import dataclass
from typing import Annotated, Any, Self, TypeVar

import cyclopts
from returns.result import Failure
from rich.console import Console, RenderableType

from jacinthreel_cli._exit import fault_error
from jacinthreel_cli._routers import ApiCall, Routers, parse_routers
from jacinthreel_common import (
    AUTHOR_HEADER,
    CHANGE_ID_HEADER,
    EXPECTED_VERSION_HEADER,
    ChangeAnswer,
    Fault,
    ResultCode,
    decode_json,
    encode_json,
)

T = TypeVar("T")


@cyclopts.Parameter(name="*")
@dataclass(slots=True)
class Common:
    """Options that every command accepts."""

    router: Annotated[list[str] | None, cyclopts.Parameter(negative="")] = None
    """Router address, IP:PORT; repeatable.  Default: the JACINTHREEL_ROUTERS variable."""

    json: bool | None = None
    """Print JSON.  Default: tables if the output is a terminal, otherwise JSON."""


@cyclopts.Parameter(name="*")
@dataclass(slots=True)
class ChangeOptions:
    """Options that commands that change the configuration accept."""

    expect: int | None = None
    """Make the change only if the configuration has this version."""

    change_id: str = ""
    """Idempotency key; after an unknown outcome, retry with the same id.  Default: a new id."""

    wait: bool = False
    """Wait until every process has applied the change."""

    timeout_s: float = 30.0
    """Timeout of --wait, in seconds."""


class Progress:
    """Shows the state of a wait on stderr: a spinner on a terminal, else one line per change."""

    def __init__(self) -> None:
        self._console = Console(stderr=True, highlight=False, soft_wrap=True)
        self._status = self._console.status("")
        self._last_text = ""

    def __enter__(self) -> Self:
        if self._console.is_terminal:
            self._status.start()
        return self

    def __exit__(self, *error: object) -> None:
        self._status.stop()

    def update(self, text: str) -> None:
        """Shows a new state; does nothing if it equals the last one."""
        if text == self._last_text:
            return
        self._last_text = text
        if self._console.is_terminal:
            self._status.update(text)
            return
        self._console.print(text, markup=False)


class Session:
    """The context of one command: its routers and its output format."""

    def __init__(self, common: Common | None) -> None:
        options = common or Common()
        self.as_json = not sys.stdout.isatty() if options.json is None else options.json
        self.console = Console(soft_wrap=True, highlight=False)
        self._routers = Routers(parse_routers(options.router or []))

    def fetch(self, kind: type[T], call: ApiCall) -> T:
        """Calls the routers and decodes the answer as `kind`; raises `CommandError`."""
        decoded = decode_json(kind, self._routers.call(call).body)
        if isinstance(decoded, Failure):
            detail = f"cannot decode the router's answer: {decoded.failure().detail}"
            raise fault_error(Fault(ResultCode.INTERNAL, detail))
        return decoded.unwrap()

    def fetch_raw(self, call: ApiCall) -> bytes:
        """Calls the routers and returns the body of the answer; raises `CommandError`."""
        return self._routers.call(call).body

    def get(self, kind: type[T], path: str) -> T:
        """Gets a path and decodes the answer as `kind`; raises `CommandError`."""
        return self.fetch(kind, ApiCall("GET", path))

    def change(
        self, method: str, path: str, body: object, options: ChangeOptions | None
    ) -> ChangeAnswer:
        """Changes the configuration; the change id makes the call idempotent."""
        chosen = options or ChangeOptions()
        headers = {
            CHANGE_ID_HEADER: chosen.change_id or uuid.uuid4().hex,
            AUTHOR_HEADER: getpass.getuser(),
        }
        if chosen.expect is not None:
            headers[EXPECTED_VERSION_HEADER] = str(chosen.expect)
        encoded = None if body is None else encode_json(body)
        return self.fetch(ChangeAnswer, ApiCall(method, path, encoded, headers))

    def print_notice(self, text: str) -> None:
        """Prints a line to stderr, so that stdout holds only the result."""
        sys.stderr.write(text + "\n")

    def show(self, record: Any, render: Callable[[Any], RenderableType]) -> None:
        """Prints a record as JSON if `as_json` is set, else as rendered by `render`."""
        if self.as_json:
            sys.stdout.write(encode_json(record).decode() + "\n")
            return
        self.console.print(render(record))
