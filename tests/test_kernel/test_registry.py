"""Tests of registries."""

import pytest

from ragwortchute import errors
from ragwortchute import registry


class TestRegistry:
    """An error about a name must list the registered names."""

    def test_unknown_name_suggests_the_nearest(self):
        reg = registry.Registry('balancer')
        reg.register('least_inflight')(object())
        with pytest.raises(errors.RegistryError, match='did you mean'):
            reg.get('least_infligth')

    def test_second_registration_of_a_name_is_refused(self):
        reg = registry.Registry('balancer')
        reg.register('random')(object())
        with pytest.raises(errors.RegistryError, match='registered twice'):
            reg.register('random')(object())
