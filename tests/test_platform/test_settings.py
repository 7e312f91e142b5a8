"""Tests of the settings of the platform adapter."""

import pytest

from ragwortchute import errors
from ragwortchute.platform import settings

SETTINGS = """node=front-a-1
role=entry
ip=10.1.0.35
zone=a-1
region=a
zones.a-1=a
zones.b-1=b
listen.front=10.1.0.35:8144
listen.readiness=10.1.0.35:8140
listen.directory=10.1.0.35:8143
port_range=7660,7675
limits.cpu_share=0.86
limits.cores=2
bounds=contact_s=4,grace_s=6,retry_slack=58,drain_whole=true
provider.address=10.200.1.7:8142
unknown.field=x
"""


class TestSettings:
    """An invalid setting must be reported by name instead of guessed."""

    def test_settings_are_parsed(self):
        node = settings.parse(SETTINGS, 5)
        me = node.gateway.me
        assert (me.name, me.incarnation) == ('front-a-1', 5)
        assert (me.failure_domain, me.region) == ('a-1', 'a')
        assert me.caller_address == '10.1.0.35:8144'
        assert me.peer_port == 7660
        assert me.weight == pytest.approx(1.72)
        assert node.gateway.limits.retry_slack == 58
        assert node.gateway.dead_s == pytest.approx(6.4)
        assert (node.store_ip, node.store_port) == ('10.200.1.7', 8142)

    def test_memory_is_parsed(self):
        node = settings.parse(SETTINGS + 'limits.memory_mb=300\n', 5)
        assert node.gateway.memory_bytes == 300e6
        assert settings.parse(SETTINGS, 5).gateway.memory_bytes > 0

    def test_admission_is_off_unless_it_is_named(self):
        assert not settings.parse(SETTINGS, 5).gateway.admits_by_urgency
        node = settings.parse(SETTINGS + 'admission=urgency\n', 5)
        assert node.gateway.admits_by_urgency

    def test_crossings_are_weighed_only_if_it_is_on(self):
        lines = 'crossing_worth_ms=5\nregion_crossing_worth_ms=250\n'
        assert settings.parse(SETTINGS + lines, 5).gateway.crossing is None
        lines += 'crossing=on\n'
        worth = settings.parse(SETTINGS + lines, 5).gateway.crossing
        assert worth.domain_s == pytest.approx(0.005)
        assert worth.region_s == pytest.approx(0.25)
        node = settings.parse(SETTINGS + 'crossing=on\n', 5)
        assert node.gateway.crossing is not None
        node = settings.parse(SETTINGS + lines + 'crossing=off\n', 5)
        assert node.gateway.crossing is None

    def test_one_failure_domain_has_no_crossings(self):
        text = SETTINGS.replace('zones.b-1=b', '') + 'crossing=on\n'
        assert 'zones.b' not in text
        assert settings.parse(text, 5).gateway.crossing is None

    @pytest.mark.parametrize(
        ('line', 'message'),
        [
            ('node=', 'node is missing'),
            ('zone=c', "zone='c' is not among a-1, b-1"),
            ('listen.front=10.1.0.35:0', 'needs a port from 1 to 65535'),
            ('listen.front=10.1.0.35:x', 'needs a port from 1 to 65535'),
            ('provider.address=', 'provider.address is missing'),
            ('provider.address=:8142', 'provider.address needs an IPv4'),
            ('listen.front=host:8144', 'listen.front needs an IPv4 address'),
            ('ip=10.1.0', "ip needs an IPv4 address, not '10.1.0'"),
            ('limits.cores=two', "limits.cores='two' is not a number"),
            ('crossing=no', "crossing='no' is not among off, on"),
            ('crossing_worth_ms=-1', 'crossing_worth_ms needs 0 or more'),
            ('crossing_worth_ms=nan', 'crossing_worth_ms needs 0 or more'),
            (
                'region_crossing_worth_ms=inf',
                'region_crossing_worth_ms needs 0 or more',
            ),
        ],
    )
    def test_error_names_the_invalid_setting(self, line, message):
        with pytest.raises(errors.SettingError, match=message):
            settings.parse(SETTINGS + line, 5)

    def test_error_names_the_missing_file(self, monkeypatch):
        monkeypatch.setenv(settings.FILE_VARIABLE, '/nowhere')
        with pytest.raises(errors.SettingError, match='nowhere'):
            settings.load(1)
