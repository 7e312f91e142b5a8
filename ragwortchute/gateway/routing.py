"""Selection of the route of a request."""

from ragwortchute.gateway import model


class RouteTable:
    """Routes by host name and path prefix.

    Args:
        routes: Routes of one configuration.
    """

    __slots__ = ('_by_host',)

    def __init__(self, routes: tuple[model.Route, ...]) -> None:
        self._by_host: dict[str, dict[str, model.Route]] = {}
        for route in routes:
            prefixes = self._by_host.setdefault(route.host, {})
            prefixes[route.path_prefix] = route

    def match(self, host: str, path: str) -> model.Route | None:
        """Returns the route with the longest prefix that begins the path.

        Args:
            host: Host name, in lower case and without a port.
            path: Path as sent, without the query.
        """
        prefixes = self._by_host.get(host)
        if prefixes is None:
            return None
        end = path.rfind('/')
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind('/', 0, end)
        return None

    def homes(self, host: str) -> tuple[str, ...]:
        """Returns the regions in which all routes of a host name may run.

        An empty result means that no region serves all of them exclusively.
        """
        common: set[str] | None = None
        for route in self._by_host.get(host, {}).values():
            if not route.homes:
                return ()
            homes = set(route.homes)
            common = homes if common is None else common & homes
        return tuple(sorted(common or ()))

    def hosts(self) -> list[str]:
        """Returns all host names."""
        return sorted(self._by_host)
