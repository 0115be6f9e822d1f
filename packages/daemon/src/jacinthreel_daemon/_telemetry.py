"""Counters, gauges and latency histograms, served in the Prometheus text format.

A metric's name may include labels, `name{key="value"}`.  Latencies are recorded in microseconds in
`hdrh` histograms and served as quantiles in milliseconds.
"""

from __future__ import annotations

from typing import Final

from hdrh.histogram import HdrHistogram

LOWEST_LATENCY_US: Final = 1
HIGHEST_LATENCY_US: Final = 3_600_000_000
SIGNIFICANT_DIGITS: Final = 2
QUANTILES: Final = (0.5, 0.9, 0.99, 0.999)


class MetricsRegistry:
    """The metrics of one process.

    >>> metrics = MetricsRegistry()
    >>> metrics.count('requests_total{code="0"}'); metrics.gauge("queue", 3)
    >>> print(metrics.render(), end="")
    # TYPE requests_total counter
    requests_total{code="0"} 1
    # TYPE queue gauge
    queue 3
    """

    def __init__(self) -> None:
        self._counts: dict[str, int] = {}
        self._gauges: dict[str, float] = {}
        self._histograms: dict[str, HdrHistogram] = {}
        self._sums_ms: dict[str, float] = {}

    def count(self, name: str, amount: int = 1) -> None:
        """Increments a counter."""
        self._counts[name] = self._counts.get(name, 0) + amount

    def observe_ms(self, name: str, value_ms: float) -> None:
        """Adds a latency to a histogram, limited to the histogram's range."""
        histogram = self._histograms.get(name)
        if histogram is None:
            histogram = HdrHistogram(LOWEST_LATENCY_US, HIGHEST_LATENCY_US, SIGNIFICANT_DIGITS)
            self._histograms[name] = histogram
        histogram.record_value(
            min(HIGHEST_LATENCY_US, max(LOWEST_LATENCY_US, int(value_ms * 1000)))
        )
        self._sums_ms[name] = self._sums_ms.get(name, 0.0) + value_ms

    def gauge(self, name: str, value: float) -> None:
        """Sets a gauge."""
        self._gauges[name] = value

    def render(self) -> str:
        """Returns all metrics in the Prometheus text format."""
        lines: list[str] = []
        _render_values(lines, "counter", self._counts)
        _render_values(lines, "gauge", self._gauges)
        declared_base = ""
        for name in sorted(self._histograms, key=_split_labels):
            base, labels = _split_labels(name)
            if base != declared_base:
                lines.append(f"# TYPE {base} summary")
                declared_base = base
            self._render_summary(lines, name, base, labels)
        return "".join(f"{line}\n" for line in lines)

    def _render_summary(self, lines: list[str], name: str, base: str, labels: str) -> None:
        histogram = self._histograms[name]
        for quantile in QUANTILES:
            value_ms = histogram.get_value_at_percentile(quantile * 100) / 1000
            separator = "," if labels else ""
            lines.append(f'{base}{{{labels}{separator}quantile="{quantile}"}} {value_ms:g}')
        suffix = f"{{{labels}}}" if labels else ""
        lines.append(f"{base}_sum{suffix} {self._sums_ms[name]:.3f}")
        lines.append(f"{base}_count{suffix} {histogram.get_total_count()}")


def _render_values(lines: list[str], kind: str, values: dict[str, int] | dict[str, float]) -> None:
    declared_base = ""
    for name in sorted(values, key=_split_labels):
        base, _ = _split_labels(name)
        value = values[name]
        if base != declared_base:
            lines.append(f"# TYPE {base} {kind}")
            declared_base = base
        lines.append(f"{name} {value:g}" if isinstance(value, float) else f"{name} {value}")


def _split_labels(name: str) -> tuple[str, str]:
    base, _, labels = name.partition("{")
    return base, labels.rstrip("}")
