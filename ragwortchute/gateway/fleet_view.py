"""Tells which hosts share the limits on requests to targets."""

from ragwortchute.gateway import membership as membership_
from ragwortchute.gateway import pacing


class FleetView:
    """Collects from the membership what the division of limits needs.

    Args:
        membership: Hosts of the deployment.
    """

    __slots__ = ('_membership',)

    def __init__(self, membership: membership_.Membership) -> None:
        self._membership = membership

    def observe(self, now_s: float, *, discovered: bool) -> pacing.Fleet:
        """Returns the hosts among which limits are divided now.

        Args:
            now_s: Loop time in seconds.
            discovered: Whether this host has had time to learn of the others.
        """
        return pacing.make_fleet(
            self._membership.me.name,
            self._membership.possible_senders(now_s),
            discovered,
            self._membership.regions(),
        )
