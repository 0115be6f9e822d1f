"""Measures how the size of the configuration and the cost of applying a change grow."""

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
    """Returns workspaces whose guarantees fit together on `TARGET_WORKERS` workers."""
    guarantee = [
        GuaranteedShape(CellLevel.PAIR, 6),
        GuaranteedShape(CellLevel.ACCELERATOR, 4),
    ]
    return [Workspace(f"team-{number:03d}", list(guarantee), 1) for number in range(count)]


def make_workers(count: int) -> list[Host]:
    """Returns workers of two accelerators in racks of 16, over 16 zones of seven regions."""
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
    """Measures the size of the document, the time to apply a push, and the check of guarantees.

    Times are processor times.
    """
    size_points: list[Point] = []
    apply_points: list[Point] = []
    for count in WORKSPACE_COUNTS:
        workspaces = {workspace.name: workspace for workspace in make_workspaces(count)}
        push = ConfigPush(Config(1, PresetName.ORDINARY, workspaces=workspaces), 1)
        for _ in range(REPEATS):
            started_s = time.process_time()
            packed = pack(push)
            unpack(ConfigPush, packed).unwrap()
            apply_points.append(Point(count, (time.process_time() - started_s) * 1000))
            size_points.append(Point(count, len(packed) / 1000))
    pushed_per_s = CHANGES_PER_DAY / SECONDS_PER_DAY
    push_rate_points = [Point(point.x, point.y * pushed_per_s) for point in size_points]
    size_name = "workspaces"
    return [
        fit_slope(
            Quantity("configuration", "document", "kB", size_name, TARGET_WORKSPACES, 4_000),
            size_points,
        ),
        fit_slope(
            Quantity(
                "configuration", "pack and read a push", "ms", size_name, TARGET_WORKSPACES, 1_000
            ),
            apply_points,
        ),
        fit_slope(
            Quantity(
                "configuration", "pushes to a process", "kB/s", size_name, TARGET_WORKSPACES, 6
            ),
            push_rate_points,
        ),
        _measure_guarantee_check(),
    ]


def _measure_guarantee_check() -> SlopeRow:
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
