"""Slopes of the configuration: its size, and the cost of checking and applying a change."""

from __future__ import annotations

import time
from typing import Final

from jacinthreel_bench._slope_fit import Point, Quantity, SlopeRow, fit_slope
from jacinthreel_common import (
    CellLevel,
    Config,
    ConfigPush,
    GuaranteedShape,
    Host,
    HostKind,
    PresetName,
    Workspace,
    pack,
    unpack,
)
from jacinthreel_jobs import check_guarantees

WORKSPACE_COUNTS: Final = (11, 28, 55, 82, 110)
WORKER_COUNTS: Final = (260, 650, 1_300, 1_950, 2_600)
TARGET_WORKSPACES: Final = 110
TARGET_WORKERS: Final = 2_600
CHANGES_PER_DAY: Final = 2_900
SECONDS_PER_DAY: Final = 86_400
REPEATS: Final = 3


def make_workspaces(count: int) -> list[Workspace]:
    """Workspaces with three guaranteed shapes each, which fit the target's workers together."""
    guarantee = [
        GuaranteedShape(CellLevel.PAIR, 6),
        GuaranteedShape(CellLevel.ACCELERATOR, 4),
    ]
    return [Workspace(f"team-{number:03d}", list(guarantee), 1) for number in range(count)]


def make_workers(count: int) -> list[Host]:
    """Workers of two accelerators in racks of 16, spread over seven regions and 16 zones."""
    return [
        Host(
            f"w{number:04d}",
            HostKind.WORKER,
            "127.0.0.1",
            1,
            f"zone{number // 16 % 16}",
            f"region{number // 16 % 16 % 7}",
            rack=f"rack{number // 16}",
            cores=128,
            memory_gb=512,
            accelerators=2,
        )
        for number in range(count)
    ]


def measure_config() -> list[SlopeRow]:
    """Size of the document, time to apply one push, and time to check guarantees."""
    sizes: list[Point] = []
    applying: list[Point] = []
    for count in WORKSPACE_COUNTS:
        workspaces = {workspace.name: workspace for workspace in make_workspaces(count)}
        push = ConfigPush(Config(1, PresetName.ORDINARY, workspaces=workspaces), 1)
        for _ in range(REPEATS):
            started_s = time.process_time()
            packed = pack(push)
            unpack(ConfigPush, packed).unwrap()
            applying.append(Point(count, (time.process_time() - started_s) * 1000))
            sizes.append(Point(count, len(packed) / 1000))
    pushed_per_s = CHANGES_PER_DAY / SECONDS_PER_DAY
    pushes = [Point(point.x, point.y * pushed_per_s) for point in sizes]
    size = "workspaces"
    return [
        fit_slope(
            Quantity("configuration", "document", "kB", size, TARGET_WORKSPACES, 4_000), sizes
        ),
        fit_slope(
            Quantity("configuration", "pack and read a push", "ms", size, TARGET_WORKSPACES, 1_000),
            applying,
        ),
        fit_slope(
            Quantity("configuration", "pushes to a process", "kB/s", size, TARGET_WORKSPACES, 6),
            pushes,
        ),
        _measure_check(),
    ]


def _measure_check() -> SlopeRow:
    points: list[Point] = []
    workspaces = make_workspaces(TARGET_WORKSPACES)
    for count in WORKER_COUNTS:
        workers = make_workers(count)
        for _ in range(REPEATS):
            started_s = time.process_time()
            check_guarantees(workspaces, workers)
            points.append(Point(count, (time.process_time() - started_s) * 1000))
    quantity = Quantity("router", "check all guarantees", "ms", "workers", TARGET_WORKERS, 1_000)
    return fit_slope(quantity, points)
