"""Runs a rehearsal of the deployment's shape of work on real node processes, and prints its waits.

`rehearsal.py SEED NODES EXECUTORS [--fault cut --fault kill] [--load X] [--code FOLDER]`; takes 50
to 100 s.  Keeps the logs.  Exits with an error if an invariant did not hold.
"""

from __future__ import annotations

import asyncio
import logging
import sys
import tempfile
from pathlib import Path
from typing import Literal

import cyclopts

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "tests" / "soak"))

from rehearsal_judge import READINGS, Calm, HeldWait  # noqa: E402
from rehearsal_run import Faults, RehearsalResult, RehearsalRun  # noqa: E402
from soak_run import SoakSize  # noqa: E402

PRINTED_WAITS = 8
USE_PERIOD_MS = 6_000

app = cyclopts.App(name="rehearsal", help=__doc__)


@app.default
def rehearse(
    seed: int,
    nodes: int,
    executors: int,
    *,
    fault: list[Literal["cut", "kill"]] | None = None,
    load: float = 1.0,
    code: Path | None = None,
) -> int:
    """Runs one rehearsal.

    Args:
        seed: All random choices derive from it.
        nodes: Number of node processes.
        executors: Number of stand-in executors; widths of jobs shrink with it.
        fault: Cuts a third of the executors off for 8 s, or kills the owner.
        load: Multiplies the rates of the traffic.
        code: Folder of another checkout, whose packages the nodes run.
    """
    logging.getLogger("tornado.access").setLevel(logging.CRITICAL)
    folder = Path(tempfile.mkdtemp(prefix=f"rehearsal-{seed}-"))
    faults = Faults.NONE
    for name in fault or []:
        faults |= Faults[name.upper()]
    run = RehearsalRun(
        seed, folder, SoakSize(nodes, executors), faults=faults, load=load, code=code
    )
    result = asyncio.run(run.rehearse())
    _print_result(result)
    print(f"logs in {folder}")
    return 1 if result.violations else 0


def _print_result(result: RehearsalResult) -> None:
    _print_use(result)
    print(f"accepted {len(result.first_runs)} of {result.submitted_jobs} submitted jobs")
    print("longest waits from acceptance to the first run:")
    for first_run in result.first_runs[:PRINTED_WAITS]:
        print(f"  {first_run}")
    _print_waits_by_width(result)
    print("waits of 3 s and more with room twice over, less than half in use:")
    for reading in READINGS:
        waits = result.waits_by_reading[reading]
        print(f"  {reading}: {_describe_waits(waits, result.finish_ms)}")
    print(f"observations with a delayed process: {result.delayed_observations}")
    print(f"log lines: {result.log_counts}, slowest steps (ms): {result.slowest_step_ms}")
    print(f"planning passes: {result.plan_times}")
    print(f"violations: {len(result.violations)}")
    for violation in result.violations:
        print(f"  {violation}")


def _print_use(result: RehearsalResult) -> None:
    """Prints the mean use of each resource in periods."""
    end_ms = result.used[-1].at_ms
    for first_ms in range(0, end_ms, USE_PERIOD_MS):
        period = [
            used.share_by_resource
            for used in result.used
            if first_ms <= used.at_ms < first_ms + USE_PERIOD_MS
        ]
        if not period:
            continue
        means = {name: sum(shares[name] for shares in period) / len(period) for name in period[0]}
        text = " ".join(f"{name} {share:.2f}" for name, share in sorted(means.items()))
        print(f"  {first_ms // 1000:3d} s used: {text}")


def _print_waits_by_width(result: RehearsalResult) -> None:
    """Prints the longest wait of each queue by width, in powers of two."""
    longest_by_width: dict[tuple[str, int], int] = {}
    for first_run in result.first_runs:
        width = 1 << (first_run.tasks.bit_length() - 1)
        longest_by_width.setdefault((first_run.queue, width), first_run.wait_ms)
    for (queue, width), wait_ms in sorted(longest_by_width.items()):
        print(f"  {queue}, {width} to {2 * width - 1} tasks: longest {wait_ms / 1000:.1f} s")


def _describe_waits(waits: list[HeldWait], finish_ms: int) -> str:
    if not waits:
        return "none"
    longest_ms = max(wait.duration_ms for wait in waits)
    counts = [f"{_count(waits, calm)} {calm.name.lower()}" for calm in reversed(Calm)]
    at_finish = sum(wait.until_ms >= finish_ms for wait in waits)
    text = ", ".join(counts)
    return f"{len(waits)} ({text}), {at_finish} at the finish, longest {longest_ms / 1000:.1f} s"


def _count(waits: list[HeldWait], calm: Calm) -> int:
    return sum(wait.calm is calm for wait in waits)


if __name__ == "__main__":
    sys.exit(app(result_action="return_value"))
