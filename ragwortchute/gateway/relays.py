"""Passing a request on to a host of another region.

Load: routes whose home is another region. A host there asks its targets over
short paths and chooses by fresher readings; only the request and its answer
cross the link between the regions.
"""

import random

from ragwortchute.gateway import membership
from ragwortchute.gateway import model


class Relays:
    """Hosts to which requests can be passed on.

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
        """Returns a host of one of the regions, None if none is alive.

        Args:
            homes: Regions that may serve the request.
            now_s: Loop time.
        """
        hosts = [
            host for host in self._hosts.alive(now_s) if host.region in homes
        ]
        if not hosts:
            return None
        weights = [host.weight for host in hosts]
        return self._rng.choices(hosts, weights)[0]
