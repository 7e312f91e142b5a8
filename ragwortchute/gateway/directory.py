"""Addresses that callers are told to connect to."""

import random

from ragwortchute.gateway import model

# Callers take at most this many addresses of an answer.
MAX_ADDRESSES = 64
# Fewer hosts than this in the caller's failure domain are complemented by
# others of the region, so that the loss of one does not leave callers alone.
MIN_HOSTS = 2


def choose(
    hosts: list[model.HostEntry],
    region: str,
    failure_domain: str,
    homes: tuple[str, ...],
    rng: random.Random,
) -> list[model.HostEntry]:
    """Returns the hosts that a caller should use.

    Args:
        hosts: Hosts that take new callers.
        region: Region of the caller.
        failure_domain: Failure domain of the caller.
        homes: Regions that may serve all of the caller's requests; empty if
            they may be served anywhere.
        rng: Source of randomness.
    """
    if homes and region not in homes:
        at_home = [host for host in hosts if host.region in homes]
        if at_home:
            return _some(at_home, rng)
    near = [host for host in hosts if host.failure_domain == failure_domain]
    if len(near) >= MIN_HOSTS:
        return _some(near, rng)
    same_region = [host for host in hosts if host.region == region]
    return _some(same_region or hosts, rng)


def _some(
    hosts: list[model.HostEntry], rng: random.Random
) -> list[model.HostEntry]:
    if len(hosts) <= MAX_ADDRESSES:
        return hosts
    return rng.sample(hosts, MAX_ADDRESSES)
