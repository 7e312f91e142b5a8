"""Tests of quotas under load, with simulated hosts and callers.

The whole model is run by `python -m benchmarks.quotas model`.
"""

import pytest

from tests.test_gateway import quota_model
from tests.test_gateway import quota_scenes

BOUNDS = quota_model.BOUNDS


def check(scenario, seed=1):
    outcome = quota_model.Model(scenario, seed).run()
    assert not quota_scenes.broken(scenario, outcome), outcome
    return outcome


def kill_coordinator(run):
    name = next(
        name
        for name, host in run.hosts.items()
        if host._shards[0].accounts is not None
    )
    number = run.names.index(name)
    run.fault('kill', slice(number, number + 1))


class TestSteadyLoad:
    """The bound must hold, and what the quota allows must be admitted."""

    @pytest.mark.parametrize('arrival', quota_scenes.ARRIVALS)
    @pytest.mark.parametrize('load', quota_scenes.LOADS)
    @pytest.mark.parametrize('rate_per_s', quota_scenes.RATES_PER_S)
    def test_eight_hosts(self, rate_per_s, load, arrival):
        check(quota_scenes.steady(8, rate_per_s, load, arrival))

    @pytest.mark.parametrize(
        ('rate_per_s', 'load', 'arrival'),
        [(142.0, 7.5, 0), (10.0, 0.5, 0), (142.0, 0.5, 1)],
    )
    def test_many_hosts(self, rate_per_s, load, arrival):
        check(
            quota_scenes.steady(117, rate_per_s, load, arrival, duration_s=12.0)
        )

    def test_few_bytes_are_sent(self):
        # Heartbeats of 117 hosts take 3.4 of the 4 KB/s of a host; IP and UDP
        # headers of 28 bytes are not part of these.
        outcome = check(quota_scenes.steady(117, 142.0, 0.5, 3, duration_s=8.0))
        assert outcome.bytes_per_s < 600


class TestJump:
    """The bound must hold when an organisation suddenly demands more.

    Each host sees its own part first, and does not know yet that the demand has
    risen everywhere.
    """

    @pytest.mark.parametrize('arrival', quota_scenes.ARRIVALS)
    @pytest.mark.parametrize('rate_per_s', quota_scenes.RATES_PER_S)
    def test_eight_hosts(self, rate_per_s, arrival):
        check(quota_scenes.jump(8, rate_per_s, arrival, loss=0.05, late=0.05))

    @pytest.mark.parametrize('rate_per_s', [10.0, 142.0])
    def test_many_hosts(self, rate_per_s):
        check(
            quota_scenes.jump(
                117, rate_per_s, 0, loss=0.05, late=0.05, duration_s=13.0
            )
        )

    def test_callers_that_move(self):
        outcome = check(
            quota_scenes.steady(8, 142.0, 0.6, 1, moves_s=(4.0, 9.0, 14.0))
        )
        assert outcome.refused <= quota_scenes.MAX_REFUSED


class TestFaults:
    """The bound must hold while hosts can't reach each other or restart."""

    @pytest.mark.parametrize('seed', [1, 2])
    @pytest.mark.parametrize('rate_per_s', quota_scenes.RATES_PER_S)
    def test_eight_hosts(self, rate_per_s, seed):
        for _, scenario in quota_scenes.fault_scenes(8, rate_per_s):
            check(scenario, seed)

    @pytest.mark.parametrize(
        'name',
        [
            'region cut, jump',
            'all restarted, load 7.5',
            quota_scenes.FIFTH_KILLED,
            f'start, load {quota_scenes.USUAL}',
        ],
    )
    def test_many_hosts(self, name):
        check(dict(quota_scenes.fault_scenes(117, 142.0))[name])

    def test_loss_of_the_coordinator_refuses_few(self):
        # Another one must take over about as soon as contact to it ends.
        scenario = dict(quota_scenes.fault_scenes(117, 142.0))[
            quota_scenes.FIFTH_KILLED
        ]
        run = quota_model.Model(scenario, 1)
        run.after(9.0, lambda: kill_coordinator(run))
        assert run.run().refused <= 2 * quota_scenes.MAX_REFUSED

    def test_loss_of_a_fifth_leaves_most_of_the_quota(self):
        scenes = dict(quota_scenes.fault_scenes(8, 142.0))
        outcome = check(scenes['fifth killed, load 7.5'])
        assert outcome.used >= quota_scenes.MIN_USED


class TestChangedLimit:
    """Another limit must hold one window after all hosts have it."""

    @pytest.mark.parametrize('hosts', [8, 117])
    @pytest.mark.parametrize(
        ('before', 'after'), [(142.0, 10.0), (10.0, 142.0)]
    )
    def test_changed_limit_holds(self, before, after, hosts):
        changed_s = 8.0
        scenario = quota_model.Scenario(
            hosts=hosts,
            rate_per_s=before,
            loads=((0.0, 300.0),),
            faults=((changed_s, 'limit', after),),
            duration_s=24.0,
        )
        run = quota_model.Model(scenario, 1)
        run.run()
        # All hosts have it after 3 s; callers come after 4 s.
        start_s = 4.0 + changed_s + 3.0 + BOUNDS.window_s
        late = [at_s for at_s in run.admitted_s if at_s >= start_s]
        most, _ = quota_model.most_in_window(late)
        assert most <= BOUNDS.largest(after, after)
        duration_s = 4.0 + scenario.duration_s - start_s
        assert len(late) >= quota_scenes.MIN_USED * after * duration_s
