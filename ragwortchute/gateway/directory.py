"""Selection of the host addresses that callers connect to."""

import random

from ragwortchute.gateway import model

# Callers use at most this many addresses of a response.
MAX_ADDRESSES = 64
# If the caller's failure domain has fewer hosts, all hosts of the region are
# returned, so that callers keep an address when a host is lost.
MIN_HOSTS = 2


def choose_hosts(
    hosts: list[model.HostEntry],
    region: str,
    failure_domain: str,
    homes: tuple[str, ...],
    rng: random.Random,
) -> list[model.HostEntry]:
    """Returns the hosts that a caller should use.

    Args:
        hosts: Hosts that accept new callers.
        region: Region of the caller.
        failure_domain: Failure domain of the caller.
        homes: Regions that may serve all of the caller's requests; empty if
            the requests are not restricted to certain regions.
        rng: Random number generator.
    """
    if homes and region not in homes:
        home_hosts = [host for host in hosts if host.region in homes]
        if home_hosts:
            return _sample(home_hosts, rng)
    local_hosts = [
        host for host in hosts if host.failure_domain == failure_domain
    ]
    if len(local_hosts) >= MIN_HOSTS:
        return _sample(local_hosts, rng)
    same_region = [host for host in hosts if host.region == region]
    return _sample(same_region or hosts, rng)


def _sample(
    hosts: list[model.HostEntry], rng: random.Random
) -> list[model.HostEntry]:
    if len(hosts) <= MAX_ADDRESSES:
        return hosts
    return rng.sample(hosts, MAX_ADDRESSES)
