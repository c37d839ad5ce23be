"""Counters and latency histograms, in the Prometheus text format."""

from collections import defaultdict
from collections.abc import Iterator

from hdrh.histogram import HdrHistogram

MIN_LATENCY_US = 10
"""Lower bound of a histogram in microseconds; smaller values are raised to it."""

MAX_LATENCY_US = 600_000_000
"""Upper bound of a histogram in microseconds; larger values are reduced to it."""

SIGNIFICANT_DIGITS = 2
"""Significant digits of each value in a histogram."""

PERCENTILES = (50.0, 95.0, 99.0)
"""Percentiles that are rendered for each histogram."""

MICROSECONDS_PER_SECOND = 1e6

Labels = tuple[tuple[str, str], ...]


class Metrics:
    """The metrics of one process."""

    def __init__(self) -> None:
        self._counters: defaultdict[tuple[str, Labels], float] = defaultdict(float)
        self._gauges: dict[tuple[str, Labels], float] = {}
        self._histograms: dict[tuple[str, Labels], HdrHistogram] = {}

    def count(self, name: str, amount: float = 1, **labels: str) -> None:
        """Increase a counter."""
        self._counters[name, _label_key(labels)] += amount

    def gauge(self, name: str, value: float, **labels: str) -> None:
        """Set the value of a gauge."""
        self._gauges[name, _label_key(labels)] = value

    def observe(self, name: str, seconds: float, **labels: str) -> None:
        """Record a latency in a histogram."""
        key = name, _label_key(labels)
        histogram = self._histograms.get(key)
        if histogram is None:
            histogram = HdrHistogram(MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
            self._histograms[key] = histogram
        value = int(seconds * MICROSECONDS_PER_SECOND)
        histogram.record_value(min(max(value, MIN_LATENCY_US), MAX_LATENCY_US))

    def counter(self, name: str, **labels: str) -> float:
        """Return the value of a counter; 0 if it was never increased."""
        return self._counters.get((name, _label_key(labels)), 0.0)

    def render(self) -> str:
        """Return all metrics in the Prometheus text format."""
        return "".join(f"{line}\n" for line in self._lines())

    def _lines(self) -> Iterator[str]:
        for (name, labels), value in sorted(self._counters.items()):
            yield f"cyclamenyoke_{name}_total{_format_labels(labels)} {value:g}"
        for (name, labels), value in sorted(self._gauges.items()):
            yield f"cyclamenyoke_{name}{_format_labels(labels)} {value:g}"
        for (name, labels), histogram in sorted(
            self._histograms.items(), key=lambda item: item[0]
        ):
            for percentile in PERCENTILES:
                value = (
                    histogram.get_value_at_percentile(percentile)
                    / MICROSECONDS_PER_SECOND
                )
                label_text = _format_labels(
                    (*labels, ("quantile", f"{percentile / 100:g}"))
                )
                yield f"cyclamenyoke_{name}_seconds{label_text} {value:g}"
            count = histogram.get_total_count()
            yield f"cyclamenyoke_{name}_seconds_count{_format_labels(labels)} {count}"


def _label_key(labels: dict[str, str]) -> Labels:
    return tuple(sorted(labels.items()))


def _format_labels(labels: Labels) -> str:
    if not labels:
        return ""
    inner = ",".join(f'{name}="{value}"' for name, value in labels)
    return "{" + inner + "}"
