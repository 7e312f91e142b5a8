"""Finds the route of a call."""

import re
from urllib import parse

import msgspec

from ragwortchute import documents

# Segments that a target may resolve to another path than the one matched.
_AMBIGUOUS = re.compile(r'//|\\|/\.{1,2}(?:[/;]|\Z)')


class Match(msgspec.Struct, frozen=True):
    """What the document says of a call.

    Attributes:
        route: The route that matched.
        homes: Regions that may serve and store the call; empty means any.
        deadline_ms: Deadline of calls that bring none, and upper bound.
    """

    route: documents.Route
    homes: tuple[str, ...]
    deadline_ms: int

    def bounded_deadline_ms(self, remaining_ms: int | None) -> int:
        """Returns the deadline of a call that brings `remaining_ms`."""
        if remaining_ms is None:
            return self.deadline_ms
        return min(remaining_ms, self.deadline_ms)


class Matcher:
    """Prepared routes of one document.

    A look-up costs one dictionary access per distinct prefix length of the
    method, whatever the number of routes.

    Args:
        document: The document whose routes are prepared.
    """

    __slots__ = ('_any_method', '_by_method', 'document')

    def __init__(self, document: documents.ServiceDocument) -> None:
        self.document = document
        methods = {m for route in document.routes for m in route.methods}
        self._any_method = _Table(document.routes, '')
        self._by_method = {m: _Table(document.routes, m) for m in methods}

    def match(self, method: str, path: str, tenant: str = '') -> Match | None:
        """Returns the first route that matches, or None.

        A path that the target may resolve to another one (dot segments,
        empty segments, percent-encoding that is nested or changes the route)
        matches nothing: it could reach a resource outside its home regions.

        Args:
            method: HTTP method in capital letters.
            path: Path with a leading slash; a query is ignored.
            tenant: Tenant, or an empty string.
        """
        table = self._by_method.get(method, self._any_method)
        if '?' in path:
            path = path[: path.index('?')]
        entry = table.find(path)
        if entry is None:
            return None
        if '%' in path:
            decoded = _decode(path)
            if decoded is None or table.find(decoded) is not entry:
                return None
            path = decoded
        if ('/.' in path or '//' in path or '\\' in path) and (
            _AMBIGUOUS.search(path)
        ):
            return None
        return entry.by_tenant.get(tenant, entry.match)


def match(
    document: documents.ServiceDocument,
    method: str,
    path: str,
    tenant: str = '',
) -> Match | None:
    """Returns the route, homes and deadline of a call, or None.

    See `Matcher.match`. The prepared routes of the last used document of
    each service are kept.
    """
    matcher = _prepared.get(document.service)
    if matcher is None or matcher.document is not document:
        matcher = Matcher(document)
        _prepared[document.service] = matcher
    return matcher.match(method, path, tenant)


def _decode(path: str) -> str | None:
    """Returns a path without percent-encoding, or None if it is nested.

    A target that decodes twice would resolve `%252e` to a dot.
    """
    decoded = parse.unquote(path)
    if '%' in decoded and parse.unquote(decoded) != decoded:
        return None
    return decoded


class _Entry:
    """A route with its possible results, built once."""

    __slots__ = ('by_tenant', 'match', 'rank')

    def __init__(self, rank: int, route: documents.Route) -> None:
        self.rank = rank
        self.match = Match(route, route.homes, route.deadline_ms)
        self.by_tenant = {
            tenant: Match(route, homes, route.deadline_ms)
            for tenant, homes in route.tenant_homes.items()
        }


class _Table:
    """Routes of one method by length of their prefix."""

    __slots__ = ('_levels',)

    def __init__(
        self, routes: tuple[documents.Route, ...], method: str
    ) -> None:
        levels: dict[int, dict[str, _Entry]] = {}
        for rank, route in enumerate(routes):
            if route.methods and method not in route.methods:
                continue
            level = levels.setdefault(len(route.path_prefix), {})
            level.setdefault(route.path_prefix, _Entry(rank, route))
        self._levels = tuple(levels.items())

    def find(self, path: str) -> _Entry | None:
        best = None
        for length, level in self._levels:
            entry = level.get(path[:length])
            if entry is not None and (best is None or entry.rank < best.rank):
                best = entry
        return best


_prepared: dict[str, Matcher] = {}
