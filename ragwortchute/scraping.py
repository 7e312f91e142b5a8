"""Metrics in the Prometheus text format, collected when they are scraped.

Components count in plain attributes, which are copied to collectors on a
scrape. Updating a collector takes several microseconds, too long to do while a
call is served.
"""

from collections import abc
import resource
import time

import aioprometheus
from aioprometheus import collectors

_PAGE_BYTES = resource.getpagesize()
_STATM = '/proc/self/statm'

# Returns metric values by label value, or the value of a metric without labels.
Source = abc.Callable[[], abc.Mapping[str, float] | float]


class Metrics:
    """Set of metrics whose values are read on each scrape."""

    def __init__(self) -> None:
        self._registry = aioprometheus.Registry()
        self._sources: list[tuple[collectors.Collector, str, Source]] = []

    def add_counter(
        self, name: str, help_text: str, source: Source, label: str = ''
    ) -> None:
        """Adds a counter; its name includes the unit and ends in `_total`.

        Args:
            name: Name of the metric.
            help_text: Help text of the metric.
            source: Returns the values by label value, or the only one.
            label: Name of the label, or an empty string.
        """
        self._add(
            aioprometheus.Counter(name, help_text, registry=self._registry),
            label,
            source,
        )

    def add_gauge(
        self, name: str, help_text: str, source: Source, label: str = ''
    ) -> None:
        """Adds a gauge; its name includes the unit.

        Args:
            name: Name of the metric.
            help_text: Help text of the metric.
            source: Returns the values by label value, or the only one.
            label: Name of the label, or an empty string.
        """
        self._add(
            aioprometheus.Gauge(name, help_text, registry=self._registry),
            label,
            source,
        )

    def render(self, accept: abc.Sequence[str]) -> tuple[bytes, dict[str, str]]:
        """Returns the body and headers of the answer to a scrape.

        Args:
            accept: Values of the `Accept` header.
        """
        for collector, label, source in self._sources:
            # Removes series whose label value is gone, such as old targets.
            collector.values.clear()
            values = source()
            if not isinstance(values, abc.Mapping):
                values = {'': values}
            for label_value, value in values.items():
                collector.set({label: label_value} if label else {}, value)
        return aioprometheus.render(self._registry, accept)

    def _add(
        self, collector: collectors.Collector, label: str, source: Source
    ) -> None:
        self._sources.append((collector, label, source))


def add_process(metrics: Metrics) -> None:
    """Adds the CPU time and resident memory of this process."""
    metrics.add_counter(
        'ragwortchute_process_cpu_seconds_total',
        'CPU time of the process in seconds.',
        time.process_time,
    )
    metrics.add_gauge(
        'ragwortchute_process_resident_bytes',
        'Resident memory of the process in bytes.',
        resident_bytes,
    )


def resident_bytes() -> int:
    """Returns the resident memory of this process in bytes."""
    with open(_STATM, encoding='ascii') as file:
        return int(file.read().split()[1]) * _PAGE_BYTES
