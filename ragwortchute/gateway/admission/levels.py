"""Ranks of priorities among the requests of a service.

Load: requests of several priorities that use the same targets. Numbers of
priorities mean nothing by themselves: room is kept on a target only if more
urgent requests may come to it, and a service whose requests are all equally
urgent has one rank.
"""

from ragwortchute.gateway import model


class Levels:
    """Priorities in use, by service; a new configuration replaces them."""

    __slots__ = ('_by_service', '_cfg')

    def __init__(self) -> None:
        self._cfg: model.Configuration | None = None
        self._by_service: dict[str, list[int]] = {}

    def update(self, cfg: model.Configuration | None) -> None:
        """Reads the priorities of a configuration unless it is the same."""
        if cfg is self._cfg or cfg is None:
            return
        self._cfg = cfg
        organisations = (cfg.organisations or {}).values()
        common = {
            item.priority for item in organisations if item.priority is not None
        }
        found: dict[str, set[int]] = {}
        for route in cfg.routes:
            for entry in route.services:
                priorities = found.setdefault(entry.service, set(common))
                priorities.add(route.priority)
        self._by_service = {
            service: sorted(priorities) for service, priorities in found.items()
        }

    def rank(self, service: str, priority: int) -> int:
        """Returns how many priorities of a service are more urgent.

        Args:
            service: Name of the service.
            priority: Priority of the request; 0 is the most urgent.
        """
        priorities = self._by_service.get(service, ())
        return sum(item < priority for item in priorities)

    def count(self, service: str) -> int:
        """Returns the number of priorities of a service, at least 1."""
        return max(1, len(self._by_service.get(service, ())))
