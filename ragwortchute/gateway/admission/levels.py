"""Ranks of urgency among the requests of a service.

Load: requests of several priorities that use the same targets. Numbers of
priorities mean nothing by themselves: room is kept on a target only if more
urgent requests may come to it, and a service whose requests are all equally
urgent has one rank. Of requests with the same priority, those with a far longer
latency objective are less urgent: they can wait for room and still be in time.
"""

from collections import abc

from ragwortchute.gateway import model

# A request whose latency objective is this many times the shortest one of its
# service can wait for several of the others.
PATIENT_OBJECTIVES = 4.0

# Priority of a request, and whether it can wait.
_Urgency = tuple[int, bool]


class Levels:
    """Ranks of urgency in use, by service."""

    __slots__ = ('_by_service', '_cfg', '_shortest_s')

    def __init__(self) -> None:
        self._cfg: model.Configuration | None = None
        self._by_service: dict[str, list[_Urgency]] = {}
        # Shortest latency objective by service, in seconds.
        self._shortest_s: dict[str, float] = {}

    def update(self, cfg: model.Configuration | None) -> None:
        """Reads the routes of a configuration unless it is the same."""
        if cfg is self._cfg or cfg is None:
            return
        self._cfg = cfg
        routes_by_service: dict[str, list[model.Route]] = {}
        for route in cfg.routes:
            for entry in route.services:
                routes_by_service.setdefault(entry.service, []).append(route)
        self._shortest_s = {
            service: min(route.objective_s for route in routes)
            for service, routes in routes_by_service.items()
        }
        given = _organisation_priorities(cfg)
        self._by_service = {
            service: sorted(
                {
                    (priority, self._is_patient(service, route.objective_s))
                    for route in routes
                    for priority in _priorities(route, given)
                }
            )
            for service, routes in routes_by_service.items()
        }

    def rank(self, service: str, priority: int, objective_s: float) -> int:
        """Returns how many ranks of a service are more urgent.

        Args:
            service: Name of the service.
            priority: Priority of the request; 0 is the most urgent.
            objective_s: Its latency objective in seconds.
        """
        own = priority, self._is_patient(service, objective_s)
        return sum(item < own for item in self._by_service.get(service, ()))

    def count(self, service: str) -> int:
        """Returns the number of ranks of a service, at least 1."""
        return max(1, len(self._by_service.get(service, ())))

    def _is_patient(self, service: str, objective_s: float) -> bool:
        shortest_s = self._shortest_s.get(service, objective_s)
        return objective_s >= PATIENT_OBJECTIVES * shortest_s


def _organisation_priorities(
    cfg: model.Configuration,
) -> frozenset[int | None] | None:
    """Returns the priorities of organisations, None if there are none.

    One without a priority of its own leaves that of the route.
    """
    if cfg.organisations is None:
        return None
    return frozenset(item.priority for item in cfg.organisations.values())


def _priorities(
    route: model.Route, given: frozenset[int | None] | None
) -> abc.Iterable[int]:
    """Returns the priorities that requests of a route may have."""
    if given is None or route.public:
        return (route.priority,)
    return {route.priority if item is None else item for item in given}
