"""Tells which hosts share the limits on requests to targets."""

from ragwortchute.gateway import host_state
from ragwortchute.gateway.peers import membership as membership_
from ragwortchute.gateway.selection import pacing
from ragwortchute.gateway.selection import target_statements


class FleetView:
    """Collects from the membership what the division of limits needs.

    Hosts that are silent keep their shares: behind a partition they may still
    send to the same targets. Where no limit holds over all hosts, they are not
    kept.

    Args:
        membership: Hosts of the deployment.
        statements: What targets have said to all hosts.
        state: Configuration in force.
    """

    __slots__ = ('_membership', '_state', '_statements')

    def __init__(
        self,
        membership: membership_.Membership,
        statements: target_statements.TargetStatements,
        state: host_state.HostState,
    ) -> None:
        self._membership = membership
        self._statements = statements
        self._state = state

    def observe(self, now_s: float, *, discovered: bool) -> pacing.Fleet:
        """Returns the hosts among which limits are divided now.

        Args:
            now_s: Loop time in seconds.
            discovered: Whether this host has had time to learn of the others.
        """
        membership = self._membership
        peers = membership.peers
        # Not reset: hosts that start are told of silent ones only while it is
        # set, and limits come and go.
        peers.keeps_silent = peers.keeps_silent or self._has_limits()
        return pacing.make_fleet(
            membership.me.name,
            membership.possible_senders(now_s),
            discovered,
            membership.regions(),
            (peer.entry.name for peer in peers.silent_members(now_s)),
            membership.alive_names(now_s) if peers.keeps_silent else None,
        )

    def _has_limits(self) -> bool:
        """Returns whether a limit holds over all hosts."""
        if self._statements.has_limits:
            return True
        cfg = self._state.cfg
        return cfg is not None and any(
            service.warmup_per_s > 0 for service in cfg.services.values()
        )
