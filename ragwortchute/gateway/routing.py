"""Matching of requests to routes by host name and path prefix."""

import random

from ragwortchute.gateway import model


class RouteTable:
    """Index of the routes of a configuration.

    Args:
        routes: All routes of the configuration.
    """

    __slots__ = ('_by_host', '_longest')

    def __init__(self, routes: tuple[model.Route, ...]) -> None:
        self._by_host: dict[str, dict[str, model.Route]] = {}
        # Length of the longest prefix of each host name.
        self._longest: dict[str, int] = {}
        for route in routes:
            prefixes = self._by_host.setdefault(route.host, {})
            prefixes[route.path_prefix] = route
            self._longest[route.host] = max(
                len(route.path_prefix), self._longest.get(route.host, 0)
            )

    def match(self, host: str, path: str) -> model.Route | None:
        """Returns the route with the longest matching prefix.

        A prefix matches whole segments of the path only.

        Args:
            host: Host name, in lower case and without a port.
            path: Path as sent, without the query.

        Returns:
            The route, or None if no prefix matches.
        """
        prefixes = self._by_host.get(host)
        if prefixes is None:
            return None
        # A look-up for each slash of a path would take time that grows with the
        # square of its length, in which no other request is served.
        end = path.rfind('/', 0, self._longest[host])
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind('/', 0, end)
        return None

    def homes(self, host: str) -> tuple[str, ...]:
        """Returns the regions that may serve every route of a host name.

        The result is empty if any of the routes may run in all regions, or if
        the routes have no region in common.
        """
        common: set[str] | None = None
        for route in self._by_host.get(host, {}).values():
            if not route.homes:
                return ()
            homes = set(route.homes)
            common = homes if common is None else common & homes
        return tuple(sorted(common or ()))

    def hosts(self) -> list[str]:
        """Returns all host names, sorted."""
        return sorted(self._by_host)


def pick_service(route: model.Route, rng: random.Random) -> str:
    """Returns one of the services of a route, by weight."""
    if len(route.services) == 1:
        return route.services[0].service
    weights = [entry.weight for entry in route.services]
    return rng.choices(route.services, weights)[0].service
