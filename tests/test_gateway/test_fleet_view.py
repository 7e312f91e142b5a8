"""Tests of the hosts among which limits of targets are divided."""

import pytest

from ragwortchute.gateway import fleet_view
from ragwortchute.gateway import model
from ragwortchute.gateway import target_statements
from tests.test_gateway import host_network
from tests.test_gateway import rig as rigs
from tests.test_gateway import test_limit_shares

SIDES = [(1, 2, 4, 7, 10), (3, 5, 6, 8, 9, 11, 12)]


def isolated(side, limits):
    """Returns the fleets of hosts that have not heard the others for 120 s."""
    net = host_network.network(3)
    log = rigs.MemoryLog()
    statements = target_statements.TargetStatements(log)
    state = rigs.host_state.HostState(None, rigs.DOMAINS, 'a1', log)
    if limits == 'stated':
        statements.note_limit(test_limit_shares.entry(), 3.0, net.now_s)
    elif limits == 'cold':
        service = model.Service('s', '/', 9, 5.0, 8.0)
        state.cfg = model.Configuration(1, (), {'s': service}, model.Limits())
    net.run(4)
    net.dead = set(net.hosts).difference(side)
    net.run(120)
    return [
        fleet_view.FleetView(net.hosts[port], statements, state).observe(
            net.now_s, discovered=True
        )
        for port in side
    ]


@pytest.mark.parametrize('limits', ['stated', 'cold'])
def test_sides_of_a_long_partition_do_not_use_a_limit_once_each(limits):
    fleets = [fleet for side in SIDES for fleet in isolated(side, limits)]
    for target in 'abcdefghij':
        shares = [fleet.share_of_limit(target, 'a', 3.0) for fleet in fleets]
        assert sum(share.rate_per_s for share in shares if share) <= 3.0001
        assert sum(fleet.sends_per_window(target, 8) for fleet in fleets) <= 8


def test_silent_hosts_are_not_kept_where_there_are_no_limits():
    fleet = isolated(SIDES[0], '')[0]
    assert fleet.members == fleet.names
