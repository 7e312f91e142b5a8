"""Division of a figure among the hosts, for all limits that hold over them.

Cold targets, limits that targets state, retry budgets and quotas of
organisations all hold for all hosts together. What they have in common is
here: which hosts own a share, how many there are, and the token bucket in
which a host keeps its share. It takes no messages and also holds while hosts
can't reach each other.
"""

import functools

import xxhash

# Lower bound on the assumed number of hosts: a host that knows only itself may
# not have learnt of the others yet.
MIN_HOSTS = 4


def assumed_hosts(hosts: int) -> int:
    """Returns the number of hosts among which a figure is divided.

    Args:
        hosts: Number of hosts that may be alive.
    """
    return max(MIN_HOSTS, hosts)


def owner_count(whole: float, hosts: int) -> int:
    """Returns among how many owners a figure is divided.

    Each of them gets at least one.

    Args:
        whole: The figure, such as a number of requests.
        hosts: Number of hosts that may be alive.
    """
    return min(assumed_hosts(hosts), int(whole))


@functools.lru_cache(maxsize=4096)
def owners(key: str, hosts: frozenset[str], count: int) -> frozenset[str]:
    """Returns the owners of a key, chosen by rendezvous hashing.

    Hosts with the same list of hosts compute the same owners.

    Args:
        key: Name of what is divided.
        hosts: Names of the hosts that may be alive.
        count: Number of owners.
    """
    return frozenset(sorted(hosts, key=lambda host: weight(key, host))[:count])


def weight(key: str, host: str) -> int:
    """Returns the rendezvous weight of a host; the lowest ones own the key.

    Args:
        key: Name of what is divided.
        host: Name of the host.
    """
    return xxhash.xxh64_intdigest(f'{key}/{host}'.encode())


class TokenBucket:
    """Token bucket in which a host keeps its share of a rate.

    Args:
        tokens: Requests that may be sent at the start.
    """

    __slots__ = ('_tokens', '_updated_s')

    def __init__(self, tokens: float = 1.0) -> None:
        self._tokens = tokens
        self._updated_s: float | None = None

    def wait_s(self, now_s: float, rate_per_s: float, burst: float) -> float:
        """Returns the time until a request may be sent, in seconds.

        Args:
            now_s: Loop time in seconds.
            rate_per_s: Requests per second of the share.
            burst: Requests that may be sent at once after a pause.
        """
        # No credit for the time before the first call: a host that has just
        # learnt of a limit has been sending without it.
        if self._updated_s is not None:
            elapsed_s = max(0.0, now_s - self._updated_s)
            self._tokens = min(burst, self._tokens + elapsed_s * rate_per_s)
        self._updated_s = now_s
        return max(0.0, (1.0 - self._tokens) / rate_per_s)

    def spend(self) -> None:
        """Counts a request that is sent."""
        self._tokens -= 1.0
