"""Selection of a host in another region to relay a request to.

Requests of routes whose home regions are elsewhere are relayed to a host
there. That host probes its targets over short paths and selects by fresher
readings; only the request and its answer cross the link between the regions.
"""

import random

from ragwortchute.gateway import membership
from ragwortchute.gateway import model


class Relays:
    """Selects hosts that requests can be relayed to.

    Args:
        hosts: Hosts of the deployment.
        rng: Source of randomness.
    """

    def __init__(
        self, hosts: membership.Membership, rng: random.Random
    ) -> None:
        self._hosts = hosts
        self._rng = rng

    def choose(
        self, homes: tuple[str, ...], now_s: float
    ) -> model.HostEntry | None:
        """Returns a random host, by weight, of one of the regions.

        Args:
            homes: Regions that may serve the request.
            now_s: Loop time in seconds.

        Returns:
            A host, or None if none is alive in these regions.
        """
        hosts = [
            host
            for host in self._hosts.available_hosts(now_s)
            if host.region in homes
        ]
        if not hosts:
            return None
        weights = [host.weight for host in hosts]
        return self._rng.choices(hosts, weights)[0]
