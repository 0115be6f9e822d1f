"""Runs the fault soak by hand: `soak.py FIRST COUNT [NODES EXECUTORS JOBS]`.

Prints a line for each seed and keeps the logs of those that broke a promise.
"""

from __future__ import annotations

import asyncio
import shutil
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "tests" / "soak"))

from soak_run import SoakRun, SoakSize  # noqa: E402


def main(arguments: list[str]) -> int:
    """Runs seeds one after the other; returns how many broke a promise."""
    first, count = int(arguments[0]), int(arguments[1])
    size = SoakSize(*(int(text) for text in arguments[2:5]))
    broken = 0
    for seed in range(first, first + count):
        folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        started_s = time.monotonic()
        faults = asyncio.run(SoakRun(seed, folder, size).execute())
        took_s = time.monotonic() - started_s
        print(f"seed {seed}: {faults or 'ok'} ({took_s:.0f} s)", flush=True)
        if faults:
            broken += 1
            print(f"  logs in {folder}", flush=True)
        else:
            shutil.rmtree(folder)
    return broken


if __name__ == "__main__":
    sys.exit(1 if main(sys.argv[1:]) else 0)
