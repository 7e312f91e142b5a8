"""Division of the limit that a target names among the hosts.

Load: a target in need takes a few requests per second from all hosts together,
and with hundreds of hosts an equal share would be a hundredth of a request per
second. The limit is therefore divided among a fixed number of owner hosts, so
few that all of them may send at the same moment. This takes no messages and
also holds while hosts can't reach each other.
"""

import msgspec

# What a target bears beyond its limit: in any window of this length, the limit
# times the overage, and the slack.
WINDOW_S = 4.0
OVERAGE = 1.5
SLACK_REQUESTS = 5
# Share of that excess that is used for bursts. The rest covers hosts that
# disagree on the owners, and requests that arrive closer together than they
# were sent.
USABLE_FRACTION = 0.75
# Lower bound on the number of hosts: a host that knows only itself may not have
# learnt of the others yet.
MIN_HOSTS = 4
# A target that takes fewer requests still gets one now and then, whose answer
# shows when it takes more again.
MIN_LIMIT_PER_S = 0.1


class Share(msgspec.Struct, frozen=True):
    """Share of a limit that each of its owners has.

    Attributes:
        owners: Number of hosts that may send to the target.
        rate_per_s: Requests per second that each of them may send.
        burst: Requests that each may send at once after a pause.
    """

    owners: int
    rate_per_s: float
    burst: float


def divide(limit_per_s: float, hosts: int) -> Share:
    """Divides a limit among the hosts.

    Args:
        limit_per_s: Requests per second that the target takes from all hosts.
        hosts: Number of hosts that may be alive.
    """
    limit_per_s = max(MIN_LIMIT_PER_S, limit_per_s)
    excess = (OVERAGE - 1) * limit_per_s * WINDOW_S + SLACK_REQUESTS
    usable = excess * USABLE_FRACTION
    owners = min(max(MIN_HOSTS, hosts), int(usable))
    return Share(owners, limit_per_s / owners, usable / owners)


class SharePacer:
    """Token bucket of one host for the requests to a limited target."""

    __slots__ = ('_tokens', '_updated_s')

    def __init__(self) -> None:
        self._tokens = 1.0
        self._updated_s = float('-inf')

    def wait_s(self, now_s: float, share: Share) -> float:
        """Returns the time until a request may be sent, in seconds.

        Args:
            now_s: Loop time in seconds.
            share: Share of the limit that this host has.
        """
        self._refill(now_s, share)
        return max(0.0, (1.0 - self._tokens) / share.rate_per_s)

    def spend(self) -> None:
        """Counts a request that is sent."""
        self._tokens -= 1.0

    def _refill(self, now_s: float, share: Share) -> None:
        # A host that has just learnt of the limit has been sending without it.
        elapsed_s = max(0.0, now_s - self._updated_s)
        if self._updated_s == float('-inf'):
            elapsed_s = 0.0
        self._updated_s = now_s
        self._tokens = min(
            share.burst, self._tokens + elapsed_s * share.rate_per_s
        )
