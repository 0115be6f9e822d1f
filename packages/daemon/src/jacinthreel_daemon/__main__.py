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
    """Checks a settings file without starting a process."""
    _load(file)
    print(f"{file}: ok")
    return 0


@app.command
def router(file: str) -> int:
    """Runs a router, which serves callers and operators."""
    from jacinthreel_daemon._router import RouterProcess

    settings = _load(file)
    return asyncio.run(_run(RouterProcess, settings))


@app.command
def scheduler(file: str) -> int:
    """Runs a scheduler, a candidate for ownership of the region's shard."""
    from jacinthreel_daemon._scheduler import SchedulerProcess

    settings = _load(file)
    return asyncio.run(_run(SchedulerProcess, settings))


async def _run(create_process: Callable[[Settings], DaemonProcess], settings: Settings) -> int:
    return await create_process(settings).run()


def _load(file: str) -> Settings:
    """Returns the settings; if they are invalid, prints one line and exits with status 2."""
    loaded = load_settings(file)
    if not is_successful(loaded):
        print(loaded.failure().line(), file=sys.stderr)
        sys.exit(SETTINGS_EXIT_STATUS)
    return loaded.unwrap()


def main() -> None:
    """Runs the `jacinthreeld` command line."""
    result = app()
    sys.exit(result if isinstance(result, int) else 0)


if __name__ == "__main__":
    main()
