"""Tests of decisions under load, without a network.

The bounds are the acceptance criteria of docs/design/hard-load.md. Runs are
shared by the tests that check them.
"""

import functools

import msgspec
import pytest

from tests.test_gateway import load_model

SEED = 1
HOSTS = (1, 8, 100)
OVERLOADS = (1.2, 1.7, 2.6)
# Shares of each kind in its objective and served at 0.7 of the capacity, by
# number of hosts, on the decisions before admission control (7ac4dfc).
BEFORE = {
    1: {
        'lookup': (0.906, 1.0),
        'read': (0.930, 0.990),
        'command': (0.950, 0.990),
        'upload': (0.997, 1.0),
    },
    8: {
        'lookup': (0.900, 1.0),
        'read': (0.927, 0.988),
        'command': (0.945, 0.987),
        'upload': (0.995, 0.997),
    },
    100: {
        'lookup': (0.909, 1.0),
        'read': (0.929, 0.991),
        'command': (0.948, 0.994),
        'upload': (0.984, 0.995),
    },
}
# Two requests of the smallest kind: the arrivals are the same, but the draws of
# targets that follow them are not.
TOLERANCE = 0.006
# Standard error of the 0.9 quantile of the latency of the rarest kind.
LATENCY_TOLERANCE = 0.08
MIN_URGENT_IN_OBJECTIVE = 0.95
MIN_USEFUL_WORK = 0.9
MIN_LEFT_AT_REFUSAL = 0.8
MIN_SHARE_OF_ALL = 0.25

OVERLOADED = [
    pytest.param(
        load_model.Scenario(load, hosts=hosts), id=f'{load}-{hosts}-hosts'
    )
    for load in OVERLOADS
    for hosts in HOSTS
] + [
    pytest.param(load_model.Scenario(1.7, **{name: value}), id=name)
    for name, value in (
        ('surge', 'upload'),
        ('organisations', 5),
        ('slow_targets', 3),
        ('impatient', True),
    )
]


@functools.cache
def run(scenario):
    return load_model.simulate(scenario, SEED)


class TestModerateLoad:
    """Admission control must take nothing while there is room for all."""

    @pytest.mark.parametrize('hosts', HOSTS)
    def test_nothing_is_worse_than_before(self, hosts):
        end = run(load_model.Scenario(0.7, hosts=hosts, seconds=20))
        for name, (in_objective, served) in BEFORE[hosts].items():
            figures = end.kind(name)
            assert figures.in_objective >= in_objective - TOLERANCE, name
            assert figures.served >= served - TOLERANCE, name

    @pytest.mark.parametrize('hosts', HOSTS)
    def test_nothing_changes_while_all_end_in_their_objectives(self, hosts):
        # Slots that were occupied for a moment changed the choice of targets.
        ends = [
            run(
                load_model.Scenario(
                    0.4, hosts=hosts, seconds=20, admission=admission
                )
            )
            for admission in (True, False)
        ]
        elapsed_s = [[item.elapsed_s for item in end.outcomes] for end in ends]
        assert elapsed_s[0] == elapsed_s[1]

    @pytest.mark.parametrize('hosts', HOSTS)
    @pytest.mark.parametrize('load', [0.7, 0.9])
    def test_nothing_is_worse_than_without_admission(self, load, hosts):
        scenario = load_model.Scenario(load, hosts=hosts, seconds=20)
        end = run(scenario)
        without = run(msgspec.structs.replace(scenario, admission=False))
        for kind in load_model.KINDS:
            name = kind.name
            figures, least = end.kind(name), without.kind(name)
            assert figures.in_objective >= least.in_objective - TOLERANCE, name
            assert figures.served >= least.served - TOLERANCE, name
            for share in (0.5, 0.9):
                most_s = without.latency_s(name, share)
                most_s *= 1 + LATENCY_TOLERANCE
                assert end.latency_s(name, share) <= most_s, name


@pytest.mark.parametrize('scenario', OVERLOADED)
class TestOverload:
    """A service with too much load must do what is most urgent, and do much."""

    def test_urgent_kind_stays_in_its_objective(self, scenario):
        end = run(scenario)
        assert end.kind('lookup').in_objective >= MIN_URGENT_IN_OBJECTIVE

    def test_useful_work(self, scenario):
        assert run(scenario).useful_work >= MIN_USEFUL_WORK

    def test_refused_callers_have_time_left(self, scenario):
        assert run(scenario).all().left_at_refusal >= MIN_LEFT_AT_REFUSAL

    def test_no_kind_starves(self, scenario):
        end = run(scenario)
        least = MIN_SHARE_OF_ALL * end.all().served
        for kind in load_model.KINDS:
            assert end.kind(kind.name).served >= least, kind.name

    def test_no_organisation_starves(self, scenario):
        end = run(scenario)
        least = MIN_SHARE_OF_ALL * end.all().served
        for number in range(scenario.organisations):
            assert end.organisation(f'o{number}').served >= least, number

    def test_urgent_kinds_are_served_best(self, scenario):
        end = run(scenario)
        served = [end.kind(name).served for name in ('lookup', 'read')]
        assert served[0] >= served[1]
        assert served[0] >= end.kind('upload').served


class TestOrganisations:
    """A large organisation must not crowd out small ones."""

    def test_small_ones_are_served_before_the_large_one(self):
        end = run(load_model.Scenario(1.7, organisations=5))
        large = end.organisation('o0').served
        for number in range(1, 5):
            assert end.organisation(f'o{number}').served >= large
