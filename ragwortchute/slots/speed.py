"""Speed and failures of the targets of a service."""

from collections import abc
import itertools
import statistics

from ragwortchute import clock as clock_
from ragwortchute.slots import entry as entry_
from ragwortchute.targets import failures

SLOW_FACTOR = 2.5
# A slow target gets a call this often even when it should rest, because only
# an answer shows that it is quick again.
PROBE_INTERVAL_S = 0.1
_INTERVAL_S = 0.05
_LATENCY_WINDOW = 512
_HEDGE_REFRESH = 64
_HEDGE_QUANTILE = 0.95
_FIRST_LATENCY_S = 0.02


class Speed:
    """Marks targets that are slow or failing, and averages latencies.

    Args:
        clock: Source of time.
        refresh: Called for a target whose mark changed.

    Attributes:
        bounded: Whether targets are marked at all.
        entries: All targets of the service.
        failing: The failing ones.
        mean_s: Moving average of all latencies.
        median_s: Median of the fast averages of the targets.
        hedge_s: 95th percentile of the last latencies.
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
        self.mean_s = _FIRST_LATENCY_S
        self.median_s = 0.0
        self.hedge_s = _FIRST_LATENCY_S * 5
        self._latencies: list[float] = []
        self._answers = itertools.count(1)

    def apply(self, entries: dict[str, entry_.Entry], *, bounded: bool) -> None:
        """Takes over the targets and the kind of the policy."""
        self.bounded = bounded
        self.entries = entries
        self.failing = {
            name: entry for name, entry in entries.items() if entry.failing
        }

    def due(self, now_s: float) -> bool:
        """Tells whether it is time for `update`."""
        return now_s - self._updated_s >= _INTERVAL_S

    def note_latency(
        self, entry: entry_.Entry, latency_s: float, current: bool
    ) -> None:
        """Learns from a latency.

        Args:
            entry: The target.
            latency_s: Seconds from dispatch to the end.
            current: Whether the request was sent in the current episode.
        """
        if current:
            entry.state.note_latency(latency_s)
            self._judge_latency(entry)
        self.mean_s += 0.02 * (latency_s - self.mean_s)
        number = next(self._answers)
        if len(self._latencies) < _LATENCY_WINDOW:
            self._latencies.append(latency_s)
        else:
            self._latencies[number % _LATENCY_WINDOW] = latency_s
        if number % _HEDGE_REFRESH == 0:
            ordered = sorted(self._latencies)
            self.hedge_s = ordered[int(len(ordered) * _HEDGE_QUANTILE)]

    def _judge_latency(self, entry: entry_.Entry) -> None:
        """Marks a target as slow, or as quick again."""
        median_s = self.median_s
        slow = 0 < SLOW_FACTOR * median_s < entry.state.fast_s
        if slow and not entry.slow:
            now_s = self._clock.monotonic()
            entry.probe_s = now_s + PROBE_INTERVAL_S
        entry.slow = slow and self.bounded

    def judge_failures(self, entry: entry_.Entry, now_s: float) -> None:
        """Marks a target as failing, or as recovered."""
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
            entry.probe_s = now_s + PROBE_INTERVAL_S
            self.failing[entry.candidate.name] = entry
        else:
            self.failing.pop(entry.candidate.name, None)
        self._refresh(entry)

    def update(self, now_s: float) -> None:
        """Compares the targets anew."""
        self._updated_s = now_s
        known = [
            entry.state.fast_s
            for entry in self.entries.values()
            if entry.state.fast_s > 0
        ]
        if known:
            self.median_s = statistics.median(known)
        for entry in self.entries.values():
            before = entry.slow
            self._judge_latency(entry)
            if entry.slow is not before:
                self._refresh(entry)
        for entry in list(self.failing.values()):
            self.judge_failures(entry, now_s)
