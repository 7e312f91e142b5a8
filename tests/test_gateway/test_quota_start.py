"""Tests of quotas while the hosts of a deployment start.

Hosts know each other by the real membership, which takes seconds.
"""

import pytest

from tests.test_gateway import quota_scenes
from tests.test_gateway import quota_start

# Time in which the share of refused requests is stated.
STATED_S = 15.0


def start(seed=1, **fields):
    values = {'hosts': 117, 'load': 7.5, 'duration_s': 7.0, **fields}
    return quota_start.Network(quota_start.Start(**values), seed).run()


class TestBound:
    """Hosts that know few others must not each give out the whole rate."""

    @pytest.mark.parametrize('late', [0.0, 0.5])
    @pytest.mark.parametrize('rate_per_s', [10.0, 142.0])
    def test_many_hosts(self, rate_per_s, late):
        assert start(rate_per_s=rate_per_s, late=late).worst() <= 1

    @pytest.mark.parametrize(
        'fields',
        [
            {'over_s': 1.5},
            {'loss': 0.05},
            {'dead': (3, 9)},
            {'cut_s': 4.0},
            {'killed': ((1.5, 1.0),), 'restart_s': 0.3},
            {'killed': ((1.0, 0.2),), 'restart_s': 2.0},
        ],
        ids=['slow', 'loss', 'listed-dead', 'cut', 'all-again', 'fifth-again'],
    )
    @pytest.mark.parametrize('hosts', [8, 117])
    def test_faults(self, hosts, fields):
        assert start(hosts=hosts, rate_per_s=142.0, **fields).worst() <= 1


class TestRefusals:
    """Callers below the quota must be served from the start."""

    @pytest.mark.parametrize('hosts', [8, 117])
    def test_few_are_refused(self, hosts):
        seeds = range(1, 5)
        refused = sum(
            len(
                start(
                    seed,
                    hosts=hosts,
                    rate_per_s=142.0,
                    load=quota_scenes.USUAL,
                    configured_s=0.5,
                    duration_s=4.0,
                ).refused
            )
            for seed in seeds
        )
        stated = len(seeds) * STATED_S * 142.0 * quota_scenes.USUAL
        assert refused <= quota_scenes.MAX_REFUSED * stated

    def test_all_hosts_have_contact_soon(self):
        # It took 2.2 to 3.6 s before.
        net = start(rate_per_s=10.0, load=0.6, duration_s=2.5)
        times_s = sorted(host.contact_s or 9 for host in net.hosts.values())
        assert times_s[len(times_s) // 2] <= 0.8
        assert times_s[-1] <= 2.0
