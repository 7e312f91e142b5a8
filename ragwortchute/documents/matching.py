"""Finds the route of a call in a service document."""

import re
from urllib import parse

import msgspec

from ragwortchute import documents

# Segments that may make a target resolve a path to another path.
_AMBIGUOUS = re.compile(r'//|\\|/\.{1,2}(?:[/;]|\Z)')


class Match(msgspec.Struct, frozen=True):
    """Settings of a call according to the service document.

    Attributes:
        route: The route that matched.
        homes: Regions that may serve and store the call; empty means any.
        deadline_ms: Default and upper bound of the deadline of the call.
    """

    route: documents.Route
    homes: tuple[str, ...]
    deadline_ms: int

    def bounded_deadline_ms(self, remaining_ms: int | None) -> int:
        """Returns the deadline of a call in milliseconds.

        Args:
            remaining_ms: Deadline that the caller set; None if it set none.
        """
        if remaining_ms is None:
            return self.deadline_ms
        return min(remaining_ms, self.deadline_ms)


class Matcher:
    """Index of the routes of a document.

    A look-up takes one dictionary access per distinct prefix length among the
    routes of the method, regardless of the number of routes.

    Args:
        document: The document whose routes are indexed.

    Attributes:
        document: The document.
    """

    __slots__ = ('_default_table', '_tables_by_method', 'document')

    def __init__(self, document: documents.ServiceDocument) -> None:
        self.document = document
        methods = {m for route in document.routes for m in route.methods}
        self._default_table = _PrefixTable(document.routes, '')
        self._tables_by_method = {
            m: _PrefixTable(document.routes, m) for m in methods
        }

    def match(
        self, method: str, path: str, organisation: str = ''
    ) -> Match | None:
        """Returns the first route that matches a call, or None.

        A path that a target may resolve to another path matches no route,
        because it could reach a resource outside of its home regions. Such a
        path has dot segments, empty segments, or percent-encoding that is
        nested or changes the route.

        Args:
            method: HTTP method in capital letters.
            path: Path with a leading slash; a query is ignored.
            organisation: Name of the organisation, or an empty string.
        """
        table = self._tables_by_method.get(method, self._default_table)
        if '?' in path:
            path = path[: path.index('?')]
        entry = table.find(path)
        if entry is None:
            return None
        if '%' in path:
            decoded = _decode_path(path)
            if decoded is None or table.find(decoded) is not entry:
                return None
            path = decoded
        if ('/.' in path or '//' in path or '\\' in path) and (
            _AMBIGUOUS.search(path)
        ):
            return None
        return entry.by_organisation.get(organisation, entry.match)


def match(
    document: documents.ServiceDocument,
    method: str,
    path: str,
    organisation: str = '',
) -> Match | None:
    """Returns the route, home regions and deadline of a call, or None.

    See `Matcher.match`. The index of the last used document of each service
    is cached.

    Args:
        document: Service document.
        method: HTTP method in capital letters.
        path: Path with a leading slash; a query is ignored.
        organisation: Name of the organisation, or an empty string.
    """
    matcher = _matchers.get(document.service)
    if matcher is None or matcher.document is not document:
        matcher = Matcher(document)
        _matchers[document.service] = matcher
    return matcher.match(method, path, organisation)


def _decode_path(path: str) -> str | None:
    """Decodes the percent-encoding of a path; returns None if it is nested.

    A target that decodes a path twice would resolve `%252e` to a dot.
    """
    decoded = parse.unquote(path)
    if '%' in decoded and parse.unquote(decoded) != decoded:
        return None
    return decoded


class _PreparedRoute:
    """A route and the results of matching it, which are built once.

    Attributes:
        position: Position of the route in the document.
        match: Result for organisations that have no home regions of their own.
        by_organisation: Results for organisations that have some.
    """

    __slots__ = ('by_organisation', 'match', 'position')

    def __init__(self, position: int, route: documents.Route) -> None:
        self.position = position
        self.match = Match(route, route.homes, route.deadline_ms)
        self.by_organisation = {
            organisation: Match(route, homes, route.deadline_ms)
            for organisation, homes in route.tenant_homes.items()
        }


class _PrefixTable:
    """Routes that accept a method, by length of the prefix and by prefix."""

    __slots__ = ('_by_length',)

    def __init__(
        self, routes: tuple[documents.Route, ...], method: str
    ) -> None:
        by_length: dict[int, dict[str, _PreparedRoute]] = {}
        for position, route in enumerate(routes):
            if route.methods and method not in route.methods:
                continue
            by_prefix = by_length.setdefault(len(route.path_prefix), {})
            by_prefix.setdefault(
                route.path_prefix, _PreparedRoute(position, route)
            )
        self._by_length = tuple(by_length.items())

    def find(self, path: str) -> _PreparedRoute | None:
        best = None
        for length, by_prefix in self._by_length:
            entry = by_prefix.get(path[:length])
            if entry is not None and (
                best is None or entry.position < best.position
            ):
                best = entry
        return best


_matchers: dict[str, Matcher] = {}
