"""How long the requests of a route work at a target of usual speed."""

import msgspec

from ragwortchute.gateway import model

# Share of the latency objective that a request is assumed to work before any
# was seen. A long guess would refuse the requests of a new route for good.
INITIAL_WORK_OBJECTIVES = 0.1
MIN_WORK_S = 0.001
_SMOOTHING = 0.05


class _Work(msgspec.Struct):
    """Mean duration of the work of a route, and how many were measured."""

    mean_s: float
    seen: int


class WorkTimes:
    """Durations by route."""

    __slots__ = ('_routes',)

    def __init__(self) -> None:
        self._routes: dict[str, _Work] = {}

    def expected_s(self, route: model.Route) -> float:
        """Returns the expected duration of a request's work."""
        work = self._routes.get(route.name)
        if work is None:
            return route.objective_s * INITIAL_WORK_OBJECTIVES
        return work.mean_s

    def learn(self, route: model.Route, work_s: float) -> None:
        """Takes over a measured duration; the latest ones count most."""
        work = self._routes.get(route.name)
        if work is None:
            work = self._routes[route.name] = _Work(0.0, 0)
        work.seen += 1
        weight = max(_SMOOTHING, 1 / work.seen)
        work.mean_s += (max(MIN_WORK_S, work_s) - work.mean_s) * weight
