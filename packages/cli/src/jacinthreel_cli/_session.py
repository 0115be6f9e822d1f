"""What every command shares: the routers, the format of the output and the operator's name."""

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

from jacinthreel_cli._exit import refusal
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
    """Options of every command."""

    router: Annotated[list[str] | None, cyclopts.Parameter(negative="")] = None
    """Router address, IP:PORT; repeatable.  Default: JACINTHREEL_ROUTERS."""

    json: bool | None = None
    """Print JSON.  Default: tables on a terminal, JSON elsewhere."""


@cyclopts.Parameter(name="*")
@dataclass(slots=True)
class ChangeOptions:
    """Options of commands that change the configuration."""

    expect: int | None = None
    """Make the change only on this version of the configuration."""

    change_id: str = ""
    """Identifies the change; repeat an unknown outcome with the same id."""

    wait: bool = False
    """Wait until the change is in force in every process."""

    timeout_s: float = 30.0
    """How long to wait, in seconds."""


class Progress:
    """Tells how far a wait has come, on stderr: a spinner on a terminal, else a line a change."""

    def __init__(self) -> None:
        self._console = Console(stderr=True, highlight=False, soft_wrap=True)
        self._status = self._console.status("")
        self._last = ""

    def __enter__(self) -> Self:
        if self._console.is_terminal:
            self._status.start()
        return self

    def __exit__(self, *error: object) -> None:
        self._status.stop()

    def update(self, text: str) -> None:
        """Shows the newest state."""
        if text == self._last:
            return
        self._last = text
        if self._console.is_terminal:
            self._status.update(text)
            return
        self._console.print(text, markup=False)


class Session:
    """One run of a command."""

    def __init__(self, common: Common | None) -> None:
        options = common or Common()
        self.as_json = not sys.stdout.isatty() if options.json is None else options.json
        self.console = Console(soft_wrap=True, highlight=False)
        self._routers = Routers(parse_routers(options.router or []))

    def fetch(self, kind: type[T], call: ApiCall) -> T:
        """Calls a router and reads the answer."""
        decoded = decode_json(kind, self._routers.call(call).body)
        if isinstance(decoded, Failure):
            detail = f"the router's answer can't be read: {decoded.failure().detail}"
            raise refusal(Fault(ResultCode.INTERNAL, detail))
        return decoded.unwrap()

    def fetch_raw(self, call: ApiCall) -> bytes:
        """Calls a router and returns the answer's body."""
        return self._routers.call(call).body

    def get(self, kind: type[T], path: str) -> T:
        """Reads something."""
        return self.fetch(kind, ApiCall("GET", path))

    def change(
        self, method: str, path: str, body: object, options: ChangeOptions | None
    ) -> ChangeAnswer:
        """Changes the configuration; the change id makes it safe to repeat."""
        chosen = options or ChangeOptions()
        headers = {
            CHANGE_ID_HEADER: chosen.change_id or uuid.uuid4().hex,
            AUTHOR_HEADER: getpass.getuser(),
        }
        if chosen.expect is not None:
            headers[EXPECTED_VERSION_HEADER] = str(chosen.expect)
        encoded = None if body is None else encode_json(body)
        return self.fetch(ChangeAnswer, ApiCall(method, path, encoded, headers))

    def note(self, text: str) -> None:
        """Prints a line for people on stderr."""
        sys.stderr.write(text + "\n")

    def show(self, record: Any, render: Callable[[Any], RenderableType]) -> None:
        """Prints a record as JSON or as `render` draws it."""
        if self.as_json:
            sys.stdout.write(encode_json(record).decode() + "\n")
            return
        self.console.print(render(record))
