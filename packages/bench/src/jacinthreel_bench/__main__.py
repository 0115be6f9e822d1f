"""Command line of the benchmarks: `python -m jacinthreel_bench measure`."""

from __future__ import annotations

from pathlib import Path
from typing import Final

from cyclopts import App

BUILD: Final = Path("build")

app = App(name="jacinthreel_bench", help="Measurements and capacity experiments.")


@app.command
def measure(seeds: str = "1 2 3", parts: str = "jobs requests") -> None:
    """Measures job scheduling and request routing against baselines; writes build/measure.json.

    Parameters
    ----------
    seeds
        Random seeds, separated by spaces.
    parts
        What to measure, separated by spaces: jobs, requests or both.
    """
    from jacinthreel_bench._measure import run_measurements

    run_measurements([int(seed) for seed in seeds.split()], BUILD, tuple(parts.split()))


if __name__ == "__main__":
    app()
