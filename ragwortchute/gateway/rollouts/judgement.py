"""Judges the canary version by its responses and those of the old version.

The versions are compared by period, route and failure domain. Faults that
affect both, such as slow targets, lost responses or the loss of a failure
domain, then raise what is expected of the canary version, too.

The test is a likelihood ratio: that the canary version fails (or is slow) as
often as the old one, against that it does so more often by a given share of
its responses.
"""

from collections import abc
import math
import operator

import msgspec

from ragwortchute.gateway.rollouts import baseline
from ragwortchute.gateway.rollouts import evidence

# Shares of the responses of a bad version that fail or are slow beyond those of
# the old version. The smallest one bounds what can be detected.
_FAILED_SHARES = (0.04, 0.15, 0.4)
_SLOW_SHARES = (0.15, 0.4)
# Lowest share of failed and slow responses that is expected of any version.
# Lower ones would let two failures outweigh hundreds of responses.
_MIN_FAILED = 0.005
_MIN_SLOW = 0.03
# Log likelihood ratio from which on a version is bad: a good version reaches it
# with a probability of about e^-7 per alternative.
BAD_LOG_RATIO = 7.0
# Of that, this must remain without the worst target: a single broken target
# does not make a version bad.
OTHERS_LOG_RATIO = 1.0
# With so many bad responses the version is bad even if all are of one target:
# that is half of those after which it must get no more requests.
MAX_BAD_OF_ONE = 25
MAX_BAD_OF_DOMAIN = 40
# At the end of the observation, a version is doubtful above this log ratio for
# the smallest alternative, and for a route. With few failures of the old
# version, few of the new one tell much: at 240 responses and 0.005 expected, 3
# failures are doubtful, which a version that fails 0.05 has with a probability
# of 0.999. The second one is added then, and no longer with 0.02 expected.
_DOUBTFUL_LOG_RATIO = -0.5
_DOUBTFUL_RARE_LOG_RATIO = -2.0
_RARE_SHARE = 0.02
_DOUBTFUL_ROUTE_LOG_RATIO = 3.5
# One bad response raises no doubt, and with few responses there is nothing that
# speaks clearly for a version either.
_MIN_DOUBTFUL_HITS = 2
# At or below these, a version is good for all responses and for those after
# half of the time.
GOOD_LOG_RATIO = -4.0
GOOD_LATE_LOG_RATIO = -2.5
MIN_LATE_RESPONSES = 35


class Verdict(msgspec.Struct, frozen=True):
    """What the evidence says about the canary version.

    Attributes:
        bad: What is bad about it, empty if nothing is.
        good: Whether it is clearly not bad.
        doubtful: Whether it is more likely bad than not, though not clearly.
        responses: Responses and failures of the canary version.
        failed: Its failures.
        slow: Its slow responses.
        late_responses: Its responses since half of the time.
        old_responses: Responses and failures of the old version.
        old_failed: Its failures.
        log_ratio: Highest log likelihood ratio of a bad version.
    """

    bad: str = ''
    good: bool = False
    doubtful: bool = False
    responses: int = 0
    failed: int = 0
    slow: int = 0
    late_responses: int = 0
    old_responses: int = 0
    old_failed: int = 0
    log_ratio: float = 0.0


class _Sample(msgspec.Struct, frozen=True):
    """Responses of one canary target in one period on one route.

    Attributes:
        route: Key of the route.
        domain: Key of the failure domain.
        target: Group of the target.
        late: Whether the period lies in the second half of the time.
        total: Number of responses.
        hits: Those that failed or were slow.
        expected: Share that is expected to be.
        ratios: Log likelihood ratio of each alternative.
    """

    route: int
    domain: int
    target: int
    late: bool
    total: int
    hits: int
    expected: float
    ratios: tuple[float, ...]


# Groups of a sample.
_ROUTE = operator.attrgetter('route')
_DOMAIN = operator.attrgetter('domain')
_TARGET = operator.attrgetter('target')


def judge(buckets: abc.Sequence[evidence.Bucket], half_s: float) -> Verdict:
    """Judges the canary version.

    Args:
        buckets: The evidence.
        half_s: Age of the order from which on responses are late ones.
    """
    old = evidence.Counts()
    for bucket in buckets:
        for key, counts in bucket.cells.items():
            if not key.canary:
                old.add(counts)
    failures = _samples(buckets, half_s, _failed, _MIN_FAILED, _FAILED_SHARES)
    slow = _samples(buckets, half_s, _slow, _MIN_SLOW, _SLOW_SHARES)
    bad, ratio = _find_fault(failures, slow)
    smallest = _log_ratio(failures, 0)
    late_failures = [sample for sample in failures if sample.late]
    late_responses = sum(sample.total for sample in late_failures)
    good = (
        not bad
        and smallest <= GOOD_LOG_RATIO
        and _log_ratio(slow, 0) <= GOOD_LATE_LOG_RATIO
        and _log_ratio(late_failures, 1) <= GOOD_LATE_LOG_RATIO
        and late_responses >= MIN_LATE_RESPONSES
    )
    return Verdict(
        bad,
        good,
        bool(bad) or _is_doubtful(failures, slow),
        sum(sample.total for sample in failures),
        sum(sample.hits for sample in failures),
        sum(sample.hits for sample in slow),
        late_responses,
        old.ended,
        old.failed,
        ratio,
    )


def _failed(counts: evidence.Counts) -> tuple[int, int]:
    return counts.ended, counts.failed


def _slow(counts: evidence.Counts) -> tuple[int, int]:
    return counts.timed, counts.slow


def _samples(
    buckets: abc.Sequence[evidence.Bucket],
    half_s: float,
    read: baseline.Read,
    minimum: float,
    shares: tuple[float, ...],
) -> list[_Sample]:
    """Returns the samples of all periods, with what is expected of each.

    Args:
        buckets: The evidence.
        half_s: Age of the order from which on responses are late ones.
        read: Returns the number of responses and hits of a counter.
        minimum: Lowest share of hits that is expected.
        shares: Shares of additional hits, one for each alternative.
    """
    known = baseline.Baseline(buckets, read, minimum)
    samples = []
    for index, bucket in enumerate(buckets):
        late = bucket.start_s >= half_s
        for key, counts in bucket.cells.items():
            if not key.canary:
                continue
            total, hits = read(counts)
            if not total:
                continue
            expected = known.expected(index, key)
            ratios = tuple(
                [_ratio(total, hits, expected, share) for share in shares]
            )
            samples.append(
                _Sample(
                    key.route,
                    key.domain,
                    key.target,
                    late,
                    total,
                    hits,
                    expected,
                    ratios,
                )
            )
    return samples


def _ratio(total: int, hits: int, expected: float, share: float) -> float:
    """Returns the log likelihood ratio for a share of additional hits."""
    worse = expected + share * (1 - expected)
    ratio = (total - hits) * math.log((1 - worse) / (1 - expected))
    if hits:
        ratio += hits * math.log(worse / expected)
    return ratio


def _log_ratio(samples: abc.Iterable[_Sample], alternative: int) -> float:
    """Returns the log likelihood ratio of an alternative, by its index."""
    return sum([sample.ratios[alternative] for sample in samples])


def _highest(samples: list[_Sample]) -> float:
    """Returns the highest log likelihood ratio of all alternatives."""
    if not samples:
        return 0.0
    columns = zip(*[sample.ratios for sample in samples], strict=True)
    return max(map(sum, columns))


def _grouped(
    samples: list[_Sample], group_of: abc.Callable[[_Sample], int]
) -> dict[int, list[_Sample]]:
    """Returns samples by their groups."""
    groups: dict[int, list[_Sample]] = {}
    for sample in samples:
        groups.setdefault(group_of(sample), []).append(sample)
    return groups


def _find_fault(
    failures: list[_Sample], slow: list[_Sample]
) -> tuple[str, float]:
    """Returns what is bad, if anything, and the highest log ratio."""
    highest = float('-inf')
    for name, samples in (('failures', failures), ('slow', slow)):
        routes = _grouped(samples, _ROUTE)
        views = {'': samples}
        for route in routes if len(routes) > 1 else ():
            views[f'-on-route-{route}'] = routes[route]
        views['-late'] = [sample for sample in samples if sample.late]
        for view, selected in views.items():
            threshold = BAD_LOG_RATIO + (math.log(len(views)) if view else 0)
            ratio = _highest(selected)
            highest = max(highest, ratio)
            if (
                ratio >= threshold
                and _holds_without_worst_target(selected, samples)
                and _holds_without_worst_domain(selected)
            ):
                return name + view, ratio
    return '', highest


def _holds_without_worst_target(
    samples: list[_Sample],
    all_samples: list[_Sample],
) -> bool:
    """Returns whether more than one target is bad, or there is only one."""
    if len({sample.target for sample in all_samples}) < 2:
        return True
    if sum(sample.hits for sample in samples) >= MAX_BAD_OF_ONE:
        return True
    others = _without_worst(samples, _TARGET)
    return bool(others) and _highest(others) >= OTHERS_LOG_RATIO


def _holds_without_worst_domain(samples: list[_Sample]) -> bool:
    """Returns whether more than one failure domain is bad, if there are more.

    When a failure domain is lost after the move, no old target tells so.
    """
    domains = {sample.domain for sample in samples}
    hits = sum(sample.hits for sample in samples)
    if len(domains) < 2 or hits >= MAX_BAD_OF_DOMAIN:
        return True
    others = _without_worst(samples, _DOMAIN)
    return _highest(others) >= OTHERS_LOG_RATIO


def _without_worst(
    samples: list[_Sample], group_of: abc.Callable[[_Sample], int]
) -> list[_Sample]:
    """Returns the samples of all groups but the worst one.

    Args:
        samples: The samples, at least one.
        group_of: Returns the group of a sample.
    """
    groups = _grouped(samples, group_of)
    worst = max(groups, key=lambda group: _highest(groups[group]))
    return [sample for sample in samples if group_of(sample) != worst]


def _is_doubtful(failures: list[_Sample], slow: list[_Sample]) -> bool:
    """Returns whether the evidence points to a bad version at all.

    That is decided by the smallest alternative, in total and by route, and by
    the next one for late responses, which are few.
    """
    for samples in (failures, slow):
        if sum(sample.hits for sample in samples) < _MIN_DOUBTFUL_HITS:
            continue
        late = [sample for sample in samples if sample.late]
        late_hits = sum(sample.hits for sample in late)
        if late_hits >= _MIN_DOUBTFUL_HITS and _log_ratio(late, 1) > 0:
            return True
        for on_route in _grouped(samples, _ROUTE).values():
            if _log_ratio(on_route, 0) > _DOUBTFUL_ROUTE_LOG_RATIO:
                return True
        if _log_ratio(samples, 0) > _doubtful_log_ratio(samples):
            return True
    return False


def _doubtful_log_ratio(samples: list[_Sample]) -> float:
    """Returns the log ratio above which a version is doubtful."""
    total = sum(sample.total for sample in samples)
    hits = sum(sample.total * sample.expected for sample in samples)
    rare = max(0.0, 1 - hits / max(1, total) / _RARE_SHARE)
    return _DOUBTFUL_LOG_RATIO + rare * _DOUBTFUL_RARE_LOG_RATIO
