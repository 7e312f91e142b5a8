"""Derives from the limit of an organisation how its quota is kept.

In any window, the quota is the rate times the window and the burst. The bound
exceeds it by a factor and a slack. This excess has three uses: requests that
are admitted before the hosts know of each other's, requests that are sent later
than they are admitted, and bursts of organisations whose own is small.
"""

from collections import abc

import msgspec
import xxhash

from ragwortchute.gateway import model

# Credit beyond the burst, which is at least this many seconds of the rate.
# Requests that arrive at random exceed their rate for a while.
EXTRA_BURST = 14.0
MIN_BURST_S = 0.25
# What the bound allows at once and is not given as credit: requests, and
# seconds of the rate. It covers requests that the coordinator has not heard of.
RESERVE_REQUESTS = 5.0
RESERVE_S = 0.85
# The reserve is at most this share of what the bound allows at once.
MAX_RESERVE_FRACTION = 0.7
# Level of the credit towards which it is steered while more is demanded than
# the quota allows: at most this share of the largest, and seconds of the rate.
# With more, an organisation with a low rate would be refused after each start.
TARGET_FRACTION = 0.2
TARGET_S = 1.0
# Part of its share that a host uses without contact, and the tokens that all
# hosts together start with, as a share of what the bound allows at once.
ALONE_RATE_FRACTION = 0.5
ALONE_START_FRACTION = 0.2
# Factor on these tokens after the start of a host: others have not admitted
# anything yet if all have started, and otherwise keep the rest.
FRESH_FACTOR = 2.0
# What all hosts together may admit before they know how many they are, as a
# share of what the bound allows at once. A host admits everything for as long
# as the largest load, as a multiple of the rate, needs for that.
START_FRACTION = 0.6
MAX_LOAD = 7.5


class Bounds(msgspec.Struct, frozen=True):
    """Bound on the requests of an organisation over all hosts.

    Attributes:
        window_s: Length of the sliding window in seconds.
        overage: Share by which the quota may be exceeded.
        slack: Requests by which it may be exceeded beyond that.
    """

    window_s: float = 5.0
    overage: float = 0.1
    slack: float = 20.0

    def largest(self, rate_per_s: float, burst: float) -> float:
        """Returns how many requests a window may contain."""
        quota = rate_per_s * self.window_s + burst
        return quota * (1 + self.overage) + self.slack


def make_bounds(bounds: abc.Mapping[str, float]) -> Bounds:
    """Returns the bound that the settings of a deployment name."""
    default = Bounds()
    return Bounds(
        bounds.get('quota_window_s', default.window_s),
        bounds.get('quota_overage', default.overage),
        bounds.get('quota_slack', default.slack),
    )


class Limit(msgspec.Struct, frozen=True):
    """How the quota of an organisation is kept.

    Attributes:
        name: Name of the organisation.
        key: Hash of the name.
        rate_per_s: Requests per second over all hosts.
        burst: Requests that all hosts serve at once beyond that.
        depth: Largest credit.
        target: Credit that is kept while more is demanded than allowed.
        alone_tokens: Tokens of all hosts together at the start of a host.
        start_s: Time in seconds for which a host admits everything after its
            start.
    """

    name: str
    key: int
    rate_per_s: float
    burst: float
    depth: float
    target: float
    alone_tokens: float
    start_s: float


def key_of(name: str) -> int:
    """Returns the hash by which messages name an organisation."""
    return xxhash.xxh64_intdigest(name.encode())


def make_limit(organisation: model.Organisation, bounds: Bounds) -> Limit:
    """Returns how the quota of an organisation is kept.

    Args:
        organisation: The organisation; its rate is above 0.
        bounds: Bound on its requests.
    """
    rate_per_s = organisation.rate_per_s
    excess = (
        bounds.largest(rate_per_s, organisation.burst)
        - rate_per_s * bounds.window_s
    )
    burst = max(organisation.burst, MIN_BURST_S * rate_per_s) + EXTRA_BURST
    reserve = min(
        RESERVE_REQUESTS + RESERVE_S * rate_per_s,
        excess * MAX_RESERVE_FRACTION,
    )
    depth = min(burst, excess - reserve)
    return Limit(
        organisation.name,
        key_of(organisation.name),
        rate_per_s,
        organisation.burst,
        depth,
        min(depth * TARGET_FRACTION, rate_per_s * TARGET_S),
        excess * ALONE_START_FRACTION,
        excess * START_FRACTION / (MAX_LOAD * rate_per_s),
    )
