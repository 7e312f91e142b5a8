"""Tests of decisions under load, without a network."""

import pytest

from tests.test_gateway import load_model


class TestModerateLoad:
    """Requests must not be refused while there is room for all of them."""

    @pytest.mark.parametrize('hosts', [1, 8, 100])
    def test_all_are_served(self, hosts):
        end = load_model.simulate(load_model.Scenario(0.7, hosts=hosts))
        assert end.all().served > 0.98
