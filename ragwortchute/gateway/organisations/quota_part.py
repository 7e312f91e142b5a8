"""Connects the quotas of organisations to the parts of a host."""

from collections import abc
import random

from ragwortchute.gateway import eventlog
from ragwortchute.gateway import host_state
from ragwortchute.gateway import model
from ragwortchute.gateway.organisations import quota_limits
from ragwortchute.gateway.organisations import quota_messages
from ragwortchute.gateway.organisations import quota_roles
from ragwortchute.gateway.organisations import quotas
from ragwortchute.gateway.peers import membership as membership_

# Name in `Settings.contracts` with which quotas are enforced.
CONTRACT = 'quota'
# Stands for a configuration without organisations.
_NO_ORGANISATIONS: dict[str, model.Organisation] = {}


def create(
    contracts: frozenset[str],
    bounds: abc.Mapping[str, float],
    membership: membership_.Membership,
    state: host_state.HostState,
    is_settled: abc.Callable[[], bool],
    log: eventlog.EventLog,
    rng: random.Random,
) -> quotas.HostQuotas | None:
    """Returns the quotas of a host, None if none are enforced.

    Args:
        contracts: Names of the optional parts that the deployment uses.
        bounds: Bounds of the deployment by name.
        membership: Hosts of the deployment, with which messages are exchanged.
        state: Configuration in force.
        is_settled: Returns whether this host has had time to learn of the
            others.
        log: Event log.
        rng: Source of randomness.
    """
    if CONTRACT not in contracts:
        return None

    def organisations() -> abc.Mapping[str, model.Organisation] | None:
        if state.cfg is None:
            return None
        return state.cfg.organisations or _NO_ORGANISATIONS

    membership.peers.keeps_silent = True
    quotas_ = quotas.HostQuotas(
        membership.me,
        quota_limits.make_bounds(bounds),
        membership.parts.send,
        lambda now_s: known_hosts(membership, is_settled(), now_s),
        organisations,
        log,
        rng,
    )
    membership.parts.register(quota_messages.PART, quotas_.handle, early=True)
    return quotas_


def known_hosts(
    membership: membership_.Membership, settled: bool, now_s: float
) -> quota_roles.Hosts:
    """Returns the hosts that a host knows.

    Args:
        membership: Hosts of the deployment.
        settled: Whether this host has had time to learn of the others.
        now_s: Loop time in seconds.
    """
    own = membership.me
    by_region: dict[str, list[str]] = {own.region: [own.name]}
    for peer in membership.peers.alive(now_s):
        names = by_region.setdefault(peer.entry.region, [])
        names.append(peer.entry.name)
    near = by_region.pop(own.region)
    seen = {own.failure_domain}
    seen.update(
        peer.entry.failure_domain
        for peer in membership.peers.all()
        if peer.count >= 0
    )
    unseen: dict[str, list[str]] = {}
    for name in membership.listed:
        peer = membership.peers.get(name)
        if peer is not None and peer.entry.failure_domain not in seen:
            unseen.setdefault(peer.entry.failure_domain, []).append(name)
    return quota_roles.Hosts(
        frozenset(membership.members(now_s)),
        tuple(near),
        tuple(tuple(names) for names in by_region.values()),
        settled,
        membership.listed,
        tuple(frozenset(names) for names in unseen.values()),
        len(seen),
    )
