"""Tests of the settings table."""

import pytest

from ragwortchute import config
from ragwortchute import errors

REQUIRED = {
    'RAGWORTCHUTE_HOST': 'h1',
    'RAGWORTCHUTE_REGION': 'luzon',
    'RAGWORTCHUTE_FAILURE_DOMAIN': 'luzon-makati',
    'RAGWORTCHUTE_DEPLOYMENT_KEY': 'k' * 16,
    'RAGWORTCHUTE_OPERATOR_TOKEN': 't' * 16,
}


class TestSettings:
    """A wrong setting must stop the daemon with a message that helps."""

    def test_flag_goes_before_environment(self):
        environ = {**REQUIRED, 'RAGWORTCHUTE_LEASE_S': '4'}
        cfg = config.from_environment({'lease_s': 2.5}, environ)
        assert cfg.lease_s == 2.5

    def test_environment_goes_before_default(self):
        environ = {**REQUIRED, 'RAGWORTCHUTE_LEASE_S': '4'}
        assert config.from_environment({}, environ).lease_s == 4.0

    @pytest.mark.parametrize(
        ('variable', 'value', 'part'),
        [
            ('RAGWORTCHUTE_LEASE_S', 'nan', 'above 0'),
            ('RAGWORTCHUTE_LEASE_S', 'x', 'lease_s'),
            ('RAGWORTCHUTE_PEER_ADDRESS', 'localhost:1', 'peer_address'),
            ('RAGWORTCHUTE_PEER_ADDRESS', '127.0.0.1:99999', 'peer_address'),
            ('RAGWORTCHUTE_SEED_HOSTS', 'h2', 'name=IP:port'),
            ('RAGWORTCHUTE_ACCESS_LOG', 'maybe', 'access_log'),
            ('RAGWORTCHUTE_LEASES', '1', "did you mean 'lease_s'"),
        ],
    )
    def test_wrong_value_is_named(self, variable, value, part):
        with pytest.raises(errors.SettingError) as info:
            config.from_environment({}, {**REQUIRED, variable: value})
        assert part in str(info.value)

    def test_missing_setting_names_flag_and_variable(self):
        with pytest.raises(errors.SettingError) as info:
            config.from_environment({}, {})
        assert '--host' in str(info.value)
        assert 'RAGWORTCHUTE_HOST' in str(info.value)

    def test_secrets_stay_out_of_messages_and_dumps(self):
        environ = {**REQUIRED, 'RAGWORTCHUTE_DEPLOYMENT_KEY': 'short'}
        with pytest.raises(errors.SettingError) as info:
            config.from_environment({}, environ)
        assert 'short' not in str(info.value).split(':')[0]
        dump = config.from_environment({}, REQUIRED).dump()
        assert 'deployment_key' not in dump
        assert 'operator_token' not in dump
