"""Plots of measured rows, written to `build/*.png`."""

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


def plot_jobs(rows: list[Row], build: Path) -> None:
    """One picture for each key of the job side."""
    chosen = [row for row in rows if row["kind"] == "jobs"]
    for key in JOB_KEYS:
        _plot_key(chosen, key, build / f"jobs_{key}.png")


def plot_requests(rows: list[Row], build: Path) -> None:
    """One picture for each key of the request side."""
    chosen = [row for row in rows if row["kind"] == "requests"]
    for key in REQUEST_KEYS:
        _plot_key(chosen, key, build / f"requests_{key}.png")


def _plot_key(rows: list[Row], key: str, path: Path) -> None:
    """Means over seeds as bars, with the least and greatest as error bars."""
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
        places = np.arange(len(cases)) + number * width
        axes.bar(places, means, width, yerr=np.array(errors).T, label=policy)
    axes.set_xticks(np.arange(len(cases)) + 0.4 - width / 2)
    axes.set_xticklabels([f"{deployment}\n{load}" for deployment, load in cases], fontsize=8)
    axes.set_title(key)
    axes.legend(fontsize=8)
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)
