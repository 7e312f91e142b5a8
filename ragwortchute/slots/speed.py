"""Detection of slow and failing targets of a service."""

from collections import abc
import itertools
import statistics

from ragwortchute import clock as clock_
from ragwortchute.slots import entry as entry_
from ragwortchute.targets import failures

SLOW_FACTOR = 2.5
# A slow or failing target gets a call at this interval, because only an answer
# shows that it has recovered.
PROBE_INTERVAL_S = 0.1
_UPDATE_INTERVAL_S = 0.05
_LATENCY_SAMPLES = 512
_HEDGE_REFRESH_ANSWERS = 64
_HEDGE_QUANTILE = 0.95
_INITIAL_LATENCY_S = 0.02


class OutlierDetector:
    """Marks targets that are slow or failing, and averages latencies.

    Args:
        clock: Source of time.
        refresh: Called with a target whose mark changed.

    Attributes:
        bounded: Whether the balancer limits this host to its shares. If not,
            targets are never marked.
        entries: All targets of the service by name.
        failing: The failing targets by name.
        mean_s: Moving average of the latencies of all targets, in seconds.
        median_s: Median of the fast-moving average latencies of the targets,
            in seconds; 0 before the first answer.
        hedge_delay_s: 95th percentile of the last latencies, in seconds.
    """

    def __init__(
        self,
        clock: clock_.Clock,
        refresh: abc.Callable[[entry_.Entry], None],
    ) -> None:
        self._clock = clock
        self._refresh = refresh
        self.bounded = True
        self.entries: dict[str, entry_.Entry] = {}
        self.failing: dict[str, entry_.Entry] = {}
        self._updated_s = clock.monotonic()
        self.mean_s = _INITIAL_LATENCY_S
        self.median_s = 0.0
        self.hedge_delay_s = _INITIAL_LATENCY_S * 5
        self._latencies: list[float] = []
        self._answers = itertools.count(1)

    def apply(self, entries: dict[str, entry_.Entry], *, bounded: bool) -> None:
        """Applies changed targets or a changed balancer.

        Args:
            entries: All targets of the service by name.
            bounded: See attribute `bounded`.
        """
        self.bounded = bounded
        self.entries = entries
        self.failing = {
            name: entry for name, entry in entries.items() if entry.failing
        }

    def due(self, now_s: float) -> bool:
        """Returns whether `update` is due."""
        return now_s - self._updated_s >= _UPDATE_INTERVAL_S

    def note_latency(
        self, entry: entry_.Entry, latency_s: float, current: bool
    ) -> None:
        """Adds a latency to the averages.

        Args:
            entry: The target.
            latency_s: Time from sending the request to its end, in seconds.
            current: Whether the request was sent in the current episode of the
                target. If not, the latency counts only for the service.
        """
        if current:
            entry.state.note_latency(latency_s)
            self._update_slow_mark(entry)
        self.mean_s += 0.02 * (latency_s - self.mean_s)
        number = next(self._answers)
        if len(self._latencies) < _LATENCY_SAMPLES:
            self._latencies.append(latency_s)
        else:
            self._latencies[number % _LATENCY_SAMPLES] = latency_s
        if number % _HEDGE_REFRESH_ANSWERS == 0:
            ordered = sorted(self._latencies)
            self.hedge_delay_s = ordered[int(len(ordered) * _HEDGE_QUANTILE)]

    def _update_slow_mark(self, entry: entry_.Entry) -> None:
        """Sets or clears the slow mark of a target."""
        median_s = self.median_s
        slow = 0 < SLOW_FACTOR * median_s < entry.state.fast_average_s
        if slow and not entry.slow:
            now_s = self._clock.monotonic()
            entry.next_probe_s = now_s + PROBE_INTERVAL_S
        entry.slow = slow and self.bounded

    def update_failing_mark(self, entry: entry_.Entry, now_s: float) -> None:
        """Sets or clears the failing mark of a target."""
        others = [
            other.state.answers
            for other in self.entries.values()
            if other is not entry and other.open
        ]
        failing = self.bounded and failures.is_failing(
            entry.state.answers, others, failing=entry.failing
        )
        if failing is entry.failing:
            return
        entry.failing = failing
        if failing:
            entry.next_probe_s = now_s + PROBE_INTERVAL_S
            self.failing[entry.candidate.name] = entry
        else:
            self.failing.pop(entry.candidate.name, None)
        self._refresh(entry)

    def update(self, now_s: float) -> None:
        """Recomputes the median latency and the marks of all targets."""
        self._updated_s = now_s
        known = [
            entry.state.fast_average_s
            for entry in self.entries.values()
            if entry.state.fast_average_s > 0
        ]
        if known:
            self.median_s = statistics.median(known)
        for entry in self.entries.values():
            before = entry.slow
            self._update_slow_mark(entry)
            if entry.slow is not before:
                self._refresh(entry)
        for entry in list(self.failing.values()):
            self.update_failing_mark(entry, now_s)
