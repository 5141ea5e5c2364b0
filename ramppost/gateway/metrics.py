"""Counters and latency histograms, exported in the Prometheus text format.

Counting only adds numbers, so its cost per request is negligible.  `aioprometheus` is imported when
the metrics are first requested, because importing it takes longer than the rest of the startup.
"""

from __future__ import annotations

import bisect
from typing import Final

BUCKETS_S: Final = (0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 6.0, 12.0, 25.0)
"""Upper bounds, from a plain request's usual duration to the longest objective's deadline."""

Labels = tuple[tuple[str, str], ...]


class Histogram:
    """A histogram of durations in seconds."""

    def __init__(self) -> None:
        self.counts = [0] * (len(BUCKETS_S) + 1)
        self.total_s = 0.0

    def observe(self, seconds: float) -> None:
        """Add a duration."""
        self.counts[bisect.bisect_left(BUCKETS_S, seconds)] += 1
        self.total_s += seconds


class Metrics:
    """All metrics, by name and labels."""

    def __init__(self) -> None:
        self.counters: dict[tuple[str, Labels], float] = {}
        self.gauges: dict[str, float] = {}
        self.histograms: dict[tuple[str, Labels], Histogram] = {}

    def count(self, name: str, by: float = 1, **labels: str) -> None:
        """Increase a counter."""
        key = (name, tuple(sorted(labels.items())))
        self.counters[key] = self.counters.get(key, 0) + by

    def observe(self, name: str, seconds: float, **labels: str) -> None:
        """Add a duration to a histogram."""
        key = (name, tuple(sorted(labels.items())))
        self.histograms.setdefault(key, Histogram()).observe(seconds)

    def text(self) -> bytes:
        """All metrics in the Prometheus text format."""
        from aioprometheus.collectors import Counter, Gauge, Registry
        from aioprometheus.renderer import render

        registry = Registry()
        families: dict[str, Counter | Gauge] = {}

        def family(kind: type[Counter] | type[Gauge], name: str) -> Counter | Gauge:
            if name not in families:
                # Without an explicit registry it would be added to the global one permanently.
                families[name] = kind(name, name.replace("_", " "), registry=registry)
            return families[name]

        for (name, labels), value in self.counters.items():
            family(Counter, name).set(dict(labels), value)
        for name, value in self.gauges.items():
            family(Gauge, name).set({}, value)
        for (name, labels), histogram in self.histograms.items():
            self._add_histogram(family, Counter, name, dict(labels), histogram)
        text, _ = render(registry, [])
        return bytes(text)

    def _add_histogram(  # type: ignore[no-untyped-def]
        self, family, counter, name: str, labels: dict[str, str], histogram: Histogram
    ) -> None:
        """Export a histogram as cumulative counters, because its values are already counted."""
        cumulative = 0
        bounds = [str(bound) for bound in BUCKETS_S] + ["+Inf"]
        for bound, count in zip(bounds, histogram.counts, strict=True):
            cumulative += count
            family(counter, f"{name}_bucket").set({**labels, "le": bound}, cumulative)
        family(counter, f"{name}_count").set(labels, cumulative)
        family(counter, f"{name}_sum").set(labels, histogram.total_s)
