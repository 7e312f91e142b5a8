"""Metrics in the Prometheus text format, read when they are scraped.

The parts count in plain attributes; the values are copied when they are
scraped. Updating a collector costs several microseconds, too much for the
path of a call.
"""

from collections import abc
import resource
import time

import aioprometheus
from aioprometheus import collectors

_PAGE_BYTES = resource.getpagesize()
_STATM = '/proc/self/statm'

# Returns values by label value; an empty label value means no label.
Source = abc.Callable[[], abc.Mapping[str, float]]


class Metrics:
    """A set of metrics that are read when they are scraped."""

    def __init__(self) -> None:
        self._registry = aioprometheus.Registry()
        self._sources: list[tuple[collectors.Collector, str, Source]] = []

    def add_counter(
        self, name: str, help_text: str, source: Source, label: str = ''
    ) -> None:
        """Adds a total; its name ends in `_total` and carries the unit."""
        self._add(
            aioprometheus.Counter(name, help_text, registry=self._registry),
            label,
            source,
        )

    def add_gauge(
        self, name: str, help_text: str, source: Source, label: str = ''
    ) -> None:
        """Adds a value that goes up and down; its name carries the unit."""
        self._add(
            aioprometheus.Gauge(name, help_text, registry=self._registry),
            label,
            source,
        )

    def render(self, accept: abc.Sequence[str]) -> tuple[bytes, dict[str, str]]:
        """Returns the metrics and the headers of the answer."""
        for collector, label, source in self._sources:
            # Drops the series of labels that are gone, such as old targets.
            collector.values.clear()
            for value, number in source().items():
                collector.set({label: value} if label else {}, number)
        return aioprometheus.render(self._registry, accept)

    def _add(
        self, collector: collectors.Collector, label: str, source: Source
    ) -> None:
        self._sources.append((collector, label, source))


def add_process(metrics: Metrics) -> None:
    """Adds CPU time and memory of this process."""
    metrics.add_counter(
        'ragwortchute_process_cpu_seconds_total',
        'CPU time of the process in seconds.',
        lambda: {'': time.process_time()},
    )
    metrics.add_gauge(
        'ragwortchute_process_resident_bytes',
        'Resident memory of the process in bytes.',
        lambda: {'': resident_bytes()},
    )


def resident_bytes() -> int:
    """Returns the resident memory of this process."""
    with open(_STATM, encoding='ascii') as file:
        return int(file.read().split()[1]) * _PAGE_BYTES
