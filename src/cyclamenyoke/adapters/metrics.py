"""Counters and latency histograms, in the Prometheus text format."""

from collections import defaultdict
from collections.abc import Iterator

from hdrh.histogram import HdrHistogram

LOWEST = 10
"""Shortest latency that a histogram tells apart, in microseconds."""

HIGHEST = 600_000_000
"""Longest latency of a histogram, in microseconds."""

SIGNIFICANT_DIGITS = 2
"""Digits of each value that a histogram keeps."""

QUANTILES = (50.0, 95.0, 99.0)
"""Percentiles in the report."""

MICROSECONDS = 1e6
"""Microseconds in one second."""

Labels = tuple[tuple[str, str], ...]


class Metrics:
    """The metrics of one process."""

    def __init__(self) -> None:
        self._counters: defaultdict[tuple[str, Labels], float] = defaultdict(float)
        self._gauges: dict[tuple[str, Labels], float] = {}
        self._histograms: dict[tuple[str, Labels], HdrHistogram] = {}

    def count(self, name: str, amount: float = 1, **labels: str) -> None:
        """Add to a counter."""
        self._counters[name, _labels(labels)] += amount

    def gauge(self, name: str, value: float, **labels: str) -> None:
        """Set a value that may rise and fall."""
        self._gauges[name, _labels(labels)] = value

    def observe(self, name: str, seconds: float, **labels: str) -> None:
        """Add a latency to a histogram."""
        key = name, _labels(labels)
        histogram = self._histograms.get(key)
        if histogram is None:
            histogram = HdrHistogram(LOWEST, HIGHEST, SIGNIFICANT_DIGITS)
            self._histograms[key] = histogram
        value = int(seconds * MICROSECONDS)
        histogram.record_value(min(max(value, LOWEST), HIGHEST))

    def counter(self, name: str, **labels: str) -> float:
        """Return a counter's value."""
        return self._counters.get((name, _labels(labels)), 0.0)

    def render(self) -> str:
        """Return all metrics in the Prometheus text format."""
        return "".join(f"{line}\n" for line in self._lines())

    def _lines(self) -> Iterator[str]:
        for (name, labels), value in sorted(self._counters.items()):
            yield f"cyclamenyoke_{name}_total{_braces(labels)} {value:g}"
        for (name, labels), value in sorted(self._gauges.items()):
            yield f"cyclamenyoke_{name}{_braces(labels)} {value:g}"
        for (name, labels), histogram in sorted(
            self._histograms.items(), key=lambda item: item[0]
        ):
            for quantile in QUANTILES:
                value = histogram.get_value_at_percentile(quantile) / MICROSECONDS
                braces = _braces((*labels, ("quantile", f"{quantile / 100:g}")))
                yield f"cyclamenyoke_{name}_seconds{braces} {value:g}"
            count = histogram.get_total_count()
            yield f"cyclamenyoke_{name}_seconds_count{_braces(labels)} {count}"


def _labels(labels: dict[str, str]) -> Labels:
    return tuple(sorted(labels.items()))


def _braces(labels: Labels) -> str:
    if not labels:
        return ""
    inner = ",".join(f'{name}="{value}"' for name, value in labels)
    return "{" + inner + "}"
