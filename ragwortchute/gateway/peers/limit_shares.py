"""Division of the limit that a target names among the hosts.

Load: a target in need takes a few requests per second from all hosts together,
and with hundreds of hosts an equal share would be a hundredth of a request per
second. The limit is therefore divided among a fixed number of owner hosts, so
few that all of them may send at the same moment. This takes no messages and
also holds while hosts can't reach each other.
"""

import msgspec

from ragwortchute.gateway.peers import shares

# What a target bears beyond its limit: in any window of this length, the limit
# times the overage, and the slack.
WINDOW_S = 4.0
OVERAGE = 1.5
SLACK_REQUESTS = 5
# Share of that excess that is used for bursts. The rest covers hosts that
# disagree on the owners, and requests that arrive closer together than they
# were sent.
USABLE_FRACTION = 0.75
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


# Share of the one host that sends to a target while no owner of its limit is
# heard. The answer states the limit again. Otherwise hosts would forget it
# after 30 s and send without a limit.
INQUIRY = Share(1, MIN_LIMIT_PER_S, 1.0)
# It sends only if it hears more than this share of all hosts. Then at most
# two parts of a partition do so, with two requests in 10 s, which the reserve
# beyond `USABLE_FRACTION` covers.
INQUIRY_FRACTION = 1 / 3


def divide(limit_per_s: float, hosts: int) -> Share:
    """Divides a limit among the hosts.

    Args:
        limit_per_s: Requests per second that the target takes from all hosts.
        hosts: Number of hosts that may be alive.
    """
    limit_per_s = max(MIN_LIMIT_PER_S, limit_per_s)
    excess = (OVERAGE - 1) * limit_per_s * WINDOW_S + SLACK_REQUESTS
    usable = excess * USABLE_FRACTION
    owners = shares.owner_count(usable, hosts)
    return Share(owners, limit_per_s / owners, usable / owners)
