"""Tests of reading the settings."""

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
    """A wrong setting must fail with a message that names the fault."""

    def test_flag_overrides_environment(self):
        environ = {**REQUIRED, 'RAGWORTCHUTE_LEASE_S': '4'}
        cfg = config.from_environment({'lease_s': 2.5}, environ)
        assert cfg.lease_s == 2.5

    def test_environment_overrides_default(self):
        environ = {**REQUIRED, 'RAGWORTCHUTE_LEASE_S': '4'}
        assert config.from_environment({}, environ).lease_s == 4.0

    @pytest.mark.parametrize(
        ('variable', 'value', 'expected'),
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
    def test_error_names_setting_and_fault(self, variable, value, expected):
        with pytest.raises(errors.SettingError) as caught:
            config.from_environment({}, {**REQUIRED, variable: value})
        assert expected in str(caught.value)

    def test_missing_setting_names_flag_and_variable(self):
        with pytest.raises(errors.SettingError) as caught:
            config.from_environment({}, {})
        assert '--host' in str(caught.value)
        assert 'RAGWORTCHUTE_HOST' in str(caught.value)

    def test_secrets_are_left_out_of_messages_and_dumps(self):
        environ = {**REQUIRED, 'RAGWORTCHUTE_DEPLOYMENT_KEY': 'k3y-42'}
        with pytest.raises(errors.SettingError) as caught:
            config.from_environment({}, environ)
        assert 'k3y-42' not in str(caught.value)
        dump = config.from_environment({}, REQUIRED).dump()
        assert 'deployment_key' not in dump
        assert 'operator_token' not in dump
