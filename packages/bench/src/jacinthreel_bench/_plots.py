"""Plots measured rows and writes the plots to `build/*.png`."""

from __future__ import annotations

from pathlib import Path
from typing import Any, Final

import matplotlib
import numpy as np

matplotlib.use("Agg")

from matplotlib import pyplot  # noqa: E402

Row = dict[str, Any]

JOB_KEYS: Final = (
    "mean_jct_s",
    "large_gang_mean_wait_s",
    "fragmentation",
    "zone_change_work_ratio",
)
REQUEST_KEYS: Final = ("goodput_ratio", "p99_ms")


def plot_jobs(rows: list[Row], output_dir: Path) -> None:
    """Writes one plot for each of the job scheduling metrics in `JOB_KEYS`."""
    chosen = [row for row in rows if row["kind"] == "jobs"]
    for key in JOB_KEYS:
        _plot_key(chosen, key, output_dir / f"jobs_{key}.png")


def plot_requests(rows: list[Row], output_dir: Path) -> None:
    """Writes one plot for each of the request routing metrics in `REQUEST_KEYS`."""
    chosen = [row for row in rows if row["kind"] == "requests"]
    for key in REQUEST_KEYS:
        _plot_key(chosen, key, output_dir / f"requests_{key}.png")


def _plot_key(rows: list[Row], key: str, path: Path) -> None:
    """Plots means over the seeds as bars, with minimum and maximum as error bars."""
    cases = list(dict.fromkeys((row["deployment"], row["load"]) for row in rows))
    policies = list(dict.fromkeys(row["policy"] for row in rows))
    figure, axes = pyplot.subplots(figsize=(9, 4))
    width = 0.8 / len(policies)
    for number, policy in enumerate(policies):
        means: list[float] = []
        errors: list[tuple[float, float]] = []
        for case in cases:
            values = [
                row[key]
                for row in rows
                if (row["deployment"], row["load"]) == case and row["policy"] == policy
            ]
            mean = float(np.mean(values))
            means.append(mean)
            errors.append((mean - min(values), max(values) - mean))
        positions = np.arange(len(cases)) + number * width
        axes.bar(positions, means, width, yerr=np.array(errors).T, label=policy)
    axes.set_xticks(np.arange(len(cases)) + 0.4 - width / 2)
    axes.set_xticklabels([f"{deployment}\n{load}" for deployment, load in cases], fontsize=8)
    axes.set_title(key)
    axes.legend(fontsize=8)
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)
