"""Random order in which the targets of a selection are probed."""

from collections import abc
import random

from ragwortchute.gateway.selection import send_limits
from ragwortchute.gateway.selection import targets as targets_

# Added to the random key (0 to 1) of targets of other domains of the region.
OTHER_DOMAIN_KEY = 0.3
# Added to the key of a target that names a limit, times the used part of this
# host's share: the rest is kept for requests that find no other target. With 1,
# a target without any left comes after all others of the failure domain.
USED_LIMIT_KEY = 1.0


def other_domain_key(target: targets_.Target) -> float:
    """Returns what is added to the key of a target for its domain."""
    if target.same_region and not target.same_domain:
        return OTHER_DOMAIN_KEY
    return 0.0


def keyed(
    targets: list[targets_.Target],
    limits: send_limits.SendLimits,
    rng: random.Random,
    now_s: float,
    domain_key: abc.Callable[[targets_.Target], float],
) -> list[tuple[float, targets_.Target]]:
    """Returns targets with their keys, in ascending order.

    Keys are random, with penalties for targets that are unlikely to give a good
    result. Targets that leave are left out, and so are cold and limited targets
    that have used up the share of this host.

    Args:
        targets: The targets.
        limits: Limits on the requests that this host sends.
        rng: Source of randomness.
        now_s: Loop time in seconds.
        domain_key: Returns what is added to the key of a target for its domain.
    """
    result = []
    has_limits = limits.has_stated_limits
    for target in targets:
        if not limits.may_send(target, now_s):
            continue
        key = rng.random() + domain_key(target)
        if has_limits:
            key += USED_LIMIT_KEY * limits.used_fraction(target, now_s)
        if target.is_ejected(now_s):
            key += 1000.0
        if target.is_cold(now_s):
            key += 3.0
        key += 4.0 * target.failure_rate(now_s)
        if not target.pool.has_idle:
            key += 0.5
        reading = target.reading
        if reading is not None and now_s - reading.taken_s < 0.1:
            occupied = target.occupied(reading)
            if occupied >= max(1, reading.slots) or reading.slowness > 2:
                key += 2.0
        result.append((key, target))
    result.sort(key=lambda item: item[0])
    return result
