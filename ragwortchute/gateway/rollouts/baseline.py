"""What is expected of any version, by the responses of the old one.

The expectation for a period, route and failure domain is the highest of three
estimates: of the period, of the route and of the failure domain around that
time. A fault that affects only one of these then counts for both versions.
"""

from collections import abc

from ragwortchute.gateway.rollouts import evidence

# Periods before and after one that tell about its routes and failure domains.
_WINDOW = 2
# Estimates from few responses are drawn to more general ones, which weigh as
# this many responses. Without that, the estimate of one period would often be
# near 0, and a single failure of the canary version would weigh much.
_PERIOD_WEIGHT = 150.0
_ROUTE_WEIGHT = 40.0
_DOMAIN_WEIGHT = 60.0
_ALL_WEIGHT = 40.0
# A failure domain that is lost fails all that runs there in one period. It is
# judged by that period alone if that shows at least so many hits, and this
# share of them. With 0.05 of 17 responses lost by chance, that has a
# probability of 0.001.
_MIN_SUDDEN_HITS = 4
_MIN_SUDDEN_SHARE = 0.25
_SUDDEN_WEIGHT = 10.0
_MAX_SHARE = 0.95
# After the move there are hardly any responses of the old version to compare
# with. Then this share is expected at least, as faults that affect both
# versions can't be told from those of the new one.
_MIN_WITHOUT_OLD = 0.1
# Responses of the old version, per response of the canary version, that are
# enough to compare with.
_MIN_OLD_RATIO = 0.25

# Returns the number of responses and of those that failed or were slow.
Read = abc.Callable[[evidence.Counts], tuple[int, int]]
# Number of responses and hits.
_Tally = tuple[int, int]


class Baseline:
    """Share of responses that are expected to fail or to be slow.

    Args:
        buckets: The evidence.
        read: Returns the number of responses and hits of a counter.
        minimum: Lowest share that is expected of any version.
    """

    __slots__ = (
        '_all',
        '_domains',
        '_known',
        '_minimum',
        '_periods',
        '_recent',
        '_routes',
        '_unreferenced',
    )

    def __init__(
        self,
        buckets: abc.Sequence[evidence.Bucket],
        read: Read,
        minimum: float,
    ) -> None:
        self._minimum = minimum
        self._all: _Tally = (0, 0)
        self._periods: list[_Tally] = []
        self._routes: list[dict[int, _Tally]] = []
        self._domains: list[dict[int, _Tally]] = []
        self._unreferenced: list[bool] = []
        # Results by period, and by period, route and failure domain.
        self._recent: dict[int, float] = {}
        self._known: dict[tuple[int, int, int], float] = {}
        for bucket in buckets:
            self._add(bucket.cells, read)

    def expected(self, period: int, key: evidence.CellKey) -> float:
        """Returns the expected share of hits.

        Args:
            period: Index of the period.
            key: Counter of the canary version.
        """
        # Counters of a route and of a failure domain have some in common.
        cell = (period, key.route, key.domain)
        known = self._known.get(cell)
        if known is None:
            known = self._known[cell] = self._expected(*cell)
        return known

    def _expected(self, period: int, route_key: int, domain_key: int) -> float:
        around = range(
            max(0, period - _WINDOW),
            min(len(self._periods), period + _WINDOW + 1),
        )
        recent = self._recent.get(period)
        if recent is None:
            overall = _share(self._all, self._minimum, _ALL_WEIGHT)
            total = _sum(self._periods[index] for index in around)
            recent = _share(total, overall, _ALL_WEIGHT)
            self._recent[period] = recent
        route = _sum(
            self._routes[index].get(route_key, (0, 0)) for index in around
        )
        domain = _sum(
            self._domains[index].get(domain_key, (0, 0)) for index in around
        )
        sudden = self._domains[period].get(domain_key, (0, 0))
        minimum = self._minimum
        if sudden[1] >= max(_MIN_SUDDEN_HITS, sudden[0] * _MIN_SUDDEN_SHARE):
            minimum = _share(sudden, recent, _SUDDEN_WEIGHT)
        if self._unreferenced[period]:
            minimum = max(minimum, _MIN_WITHOUT_OLD)
        highest = max(
            minimum,
            _share(self._periods[period], recent, _PERIOD_WEIGHT),
            _share(route, recent, _ROUTE_WEIGHT),
            _share(domain, recent, _DOMAIN_WEIGHT),
        )
        return min(_MAX_SHARE, highest)

    def _add(self, cells: evidence.Cells, read: Read) -> None:
        """Adds a period."""
        routes: dict[int, _Tally] = {}
        domains: dict[int, _Tally] = {}
        period: _Tally = (0, 0)
        canary_total = 0
        for key, counts in cells.items():
            tally = read(counts)
            if key.canary:
                canary_total += tally[0]
                continue
            period = _sum((period, tally))
            routes[key.route] = _sum((routes.get(key.route, (0, 0)), tally))
            domains[key.domain] = _sum((domains.get(key.domain, (0, 0)), tally))
        self._all = _sum((self._all, period))
        self._periods.append(period)
        self._routes.append(routes)
        self._domains.append(domains)
        self._unreferenced.append(period[0] < canary_total * _MIN_OLD_RATIO)


def _sum(tallies: abc.Iterable[_Tally]) -> _Tally:
    total = hits = 0
    for tally in tallies:
        total += tally[0]
        hits += tally[1]
    return total, hits


def _share(tally: _Tally, prior: float, weight: float) -> float:
    """Returns a share of hits, drawn to a prior if there are few responses."""
    return (tally[1] + prior * weight) / (tally[0] + weight)
