"""Expected processing time of requests, learnt by route."""

import msgspec

from ragwortchute.gateway import model

# Processing time that is assumed for a route without measurements, as a share
# of its latency objective. With a long guess, every request of a new route
# would be refused, and no measurement would ever correct the guess.
INITIAL_WORK_OBJECTIVES = 0.1
MIN_WORK_S = 0.001
_SMOOTHING = 0.05


class _Mean(msgspec.Struct):
    """Mean processing time of a route and the number of measurements."""

    mean_s: float
    count: int


class WorkTimes:
    """Mean processing times at slowness 1, by route."""

    __slots__ = ('_routes',)

    def __init__(self) -> None:
        self._routes: dict[str, _Mean] = {}

    def expected_s(self, route: model.Route) -> float:
        """Returns the expected processing time of a request, in seconds."""
        work = self._routes.get(route.name)
        if work is None:
            return route.objective_s * INITIAL_WORK_OBJECTIVES
        return work.mean_s

    def record(self, route: model.Route, work_s: float) -> None:
        """Adds a measured processing time to the mean of a route.

        The mean is exact for the first measurements and exponentially
        smoothed after that.

        Args:
            route: The route.
            work_s: Processing time at slowness 1, in seconds.
        """
        work = self._routes.get(route.name)
        if work is None:
            work = self._routes[route.name] = _Mean(0.0, 0)
        work.count += 1
        weight = max(_SMOOTHING, 1 / work.count)
        work.mean_s += (max(MIN_WORK_S, work_s) - work.mean_s) * weight
