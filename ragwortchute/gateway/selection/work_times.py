"""Expected processing time of requests, learnt by route."""

import math

import msgspec

from ragwortchute.gateway import model

# Processing time at slowness 1 that is assumed for a route not measured yet,
# as a share of its latency objective: at the usual slowness, about half of it.
# With a lower guess (0.1), hosts that had all just started filled the queues of
# targets: p50 was 1,227 ms for two seconds.
INITIAL_WORK_OBJECTIVES = 0.3
# It is not more than this share of the timeout. With a long guess, every
# request of a new route would be refused, and nothing would ever correct it.
MAX_INITIAL_TIMEOUTS = 0.1
# One in about ten requests takes longer than the mean plus this many
# deviations.
LONG_DEVIATIONS = 1.3
MIN_WORK_S = 0.001
_SMOOTHING = 0.05


class _Work(msgspec.Struct):
    """Processing time of a route.

    Attributes:
        mean_s: Mean in seconds.
        variance_s2: Mean square of the deviation from it.
        count: Number of measurements.
    """

    mean_s: float = 0.0
    variance_s2: float = 0.0
    count: int = 0


class WorkTimes:
    """Processing times at slowness 1, by route."""

    __slots__ = ('_routes',)

    def __init__(self) -> None:
        self._routes: dict[str, _Work] = {}

    def is_known(self, route: model.Route) -> bool:
        """Returns whether requests of a route have been measured."""
        return route.name in self._routes

    def expected_s(self, route: model.Route) -> float:
        """Returns the expected processing time of a request, in seconds."""
        work = self._routes.get(route.name)
        if work is None:
            return min(
                route.objective_s * INITIAL_WORK_OBJECTIVES,
                route.timeout_s * MAX_INITIAL_TIMEOUTS,
            )
        return work.mean_s

    def long_s(self, route: model.Route) -> float:
        """Returns what nine in ten requests don't exceed, in seconds.

        Load: routes whose requests differ much in their work. By the mean, a
        request is sent to a queue from which it would return too late.
        """
        work = self._routes.get(route.name)
        if work is None:
            return self.expected_s(route)
        return work.mean_s + LONG_DEVIATIONS * math.sqrt(work.variance_s2)

    def record(self, route: model.Route, work_s: float) -> None:
        """Adds a measured processing time of a route.

        Mean and variance are exact for the first measurements and exponentially
        smoothed after that.

        Args:
            route: The route.
            work_s: Processing time at slowness 1, in seconds.
        """
        work = self._routes.get(route.name)
        if work is None:
            work = self._routes[route.name] = _Work()
        work.count += 1
        weight = max(_SMOOTHING, 1 / work.count)
        difference_s = max(MIN_WORK_S, work_s) - work.mean_s
        work.mean_s += difference_s * weight
        work.variance_s2 = (1 - weight) * (
            work.variance_s2 + weight * difference_s**2
        )
