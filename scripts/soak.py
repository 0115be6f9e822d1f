"""Runs the fault soak manually: `soak.py [restarts] FIRST COUNT [NODES EXECUTORS JOBS]`.

With `restarts`, executors also restart under their ids in series and carry out calls late.

FIRST is the first seed, COUNT the number of seeds.  Prints one line for each seed and keeps the
logs of the seeds for which a check failed.  Also prints the jobs that could run and had no run for
some seconds beside faults, which is no failure.
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

from restart_run import RestartRun  # noqa: E402
from soak_run import SoakRun, SoakSize  # noqa: E402


def main(arguments: list[str]) -> int:
    """Runs the seeds sequentially; returns the number of seeds for which a check failed."""
    run_type: type[SoakRun] = SoakRun
    if arguments[0] == "restarts":
        run_type, arguments = RestartRun, arguments[1:]
    first, count = int(arguments[0]), int(arguments[1])
    size = SoakSize(*(int(text) for text in arguments[2:5]))
    failed_count = 0
    for seed in range(first, first + count):
        folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        started_s = time.monotonic()
        run = run_type(seed, folder, size)
        violations = asyncio.run(run.execute())
        took_s = time.monotonic() - started_s
        print(f"seed {seed}: {violations or 'ok'} ({took_s:.0f} s)", flush=True)
        belief = run.observer.belief
        print(f"  use compared {belief.compared_samples} times in calm periods", flush=True)
        for wait in run.observer.check.long_waits:
            print(f"  {run.observer.describe(wait)}", flush=True)
        if violations:
            failed_count += 1
            print(f"  logs in {folder}", flush=True)
        else:
            shutil.rmtree(folder)
    return failed_count


if __name__ == "__main__":
    sys.exit(1 if main(sys.argv[1:]) else 0)
