"""The command line of `jacinthreeld`."""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Callable
from typing import TYPE_CHECKING

import cyclopts
from returns.pipeline import is_successful

from jacinthreel_daemon._settings import SETTINGS_EXIT_STATUS, Settings, load_settings

if TYPE_CHECKING:
    from jacinthreel_daemon._process import DaemonProcess

app = cyclopts.App(name="jacinthreeld", help="Processes of the jacinthreel scheduler.")


@app.command
def check_config(file: str) -> int:
    """Checks a settings file and starts nothing."""
    _load(file)
    print(f"{file}: ok")
    return 0


@app.command
def router(file: str) -> int:
    """Serves callers and operators."""
    from jacinthreel_daemon._router import RouterProcess

    settings = _load(file)
    return asyncio.run(_run(RouterProcess, settings))


@app.command
def scheduler(file: str) -> int:
    """Stands for election as the owner of the region's shard."""
    from jacinthreel_daemon._scheduler import SchedulerProcess

    settings = _load(file)
    return asyncio.run(_run(SchedulerProcess, settings))


async def _run(make: Callable[[Settings], DaemonProcess], settings: Settings) -> int:
    return await make(settings).run()


def _load(file: str) -> Settings:
    """The settings, or the end of the process with status 2 and one line."""
    loaded = load_settings(file)
    if not is_successful(loaded):
        print(loaded.failure().line(), file=sys.stderr)
        sys.exit(SETTINGS_EXIT_STATUS)
    return loaded.unwrap()


def main() -> None:
    """Entry point of the binary."""
    result = app()
    sys.exit(result if isinstance(result, int) else 0)


if __name__ == "__main__":
    main()
