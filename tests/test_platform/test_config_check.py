"""Tests of the check of a configuration: its rules, keys and differences."""

import json
import time
import traceback

import msgspec
import pytest

from benchmarks.soak import configurations
from ragwortchute import errors
from ragwortchute import registry
from ragwortchute.platform import feeds
from ragwortchute.platform.config_check import checking
from ragwortchute.platform.config_check import reading
from ragwortchute.platform.config_check import rendering
from ragwortchute.platform.config_check import rules
from tests.test_gateway import organisation_scenes as scenes
from tests.test_platform import test_adapter

KEY = scenes.KEY
SOUND = scenes.CONFIG
ROUTE = SOUND['routes'][0]
SERVICE = SOUND['services'][0]


def with_route(**fields):
    """Returns the sound configuration with a changed first route."""
    routes = [{**ROUTE, **fields}, *SOUND['routes'][1:]]
    return {**SOUND, 'routes': routes}


def with_split(*weights):
    """Returns the sound configuration with weights for the first route."""
    parts = [{'service': 's', 'weight': weight} for weight in weights]
    return with_route(service=None, traffic_split=parts)


def with_tenant(**fields):
    """Returns the sound configuration with another organisation."""
    tenant = {'name': 't', 'api_keys': ['key-of-t'], **fields}
    return {**SOUND, 'tenants': [*scenes.TENANTS, tenant]}


def with_limits(**fields):
    """Returns the sound configuration with limits."""
    return {**SOUND, 'limits': fields}


def with_service(**fields):
    """Returns the sound configuration with a changed service."""
    return {**SOUND, 'services': [{**SERVICE, **fields}]}


# Rule, configuration, and the paths of its findings.
FAULTS = [
    (
        'missing-field',
        {**SOUND, 'services': [{'name': 's'}]},
        ['services[0].health_path'],
    ),
    ('wrong-type', with_route(timeout_s='2'), ['routes[0].timeout_s']),
    ('wrong-type', with_tenant(api_keys='key-of-t'), ['tenants[2].api_keys']),
    ('unknown-field', with_route(allowed_region=['a']), ['routes[0]']),
    ('unmatchable-host', with_route(hostname='b:80'), ['routes[0].hostname']),
    ('unmatchable-host', with_route(hostname=''), ['routes[0].hostname']),
    ('unmatchable-prefix', with_route(path_prefix='/a'), ['routes[0].']),
    ('unmatchable-prefix', with_route(path_prefix='a/'), ['routes[0].']),
    ('unmatchable-prefix', with_route(path_prefix='/a b/'), ['routes[0].']),
    ('unmatchable-prefix', with_route(path_prefix='/a?/'), ['routes[0].']),
    (
        'shadowed-prefix',
        with_route(path_prefix='/up/', hostname='X.EXAMPLE'),
        ['routes[0].path_prefix'],
    ),
    (
        'host-without-routes',
        with_route(hostname='y', path_prefix='/y'),
        ['routes[0].hostname'],
    ),
    ('duplicate-route-name', with_route(name='p'), ['routes[1].name']),
    ('unknown-route-type', with_route(route_type='x'), ['routes[0].']),
    ('unknown-service', with_route(service='x'), ['routes[0].service']),
    ('route-without-service', with_route(service=None), ['routes[0]']),
    (
        'ignored-service',
        with_route(traffic_split=[{'service': 's', 'weight': 1}]),
        ['routes[0].service'],
    ),
    ('weight-zero', with_split(1, 0), ['routes[0].traffic_split[1].weight']),
    ('no-weight', with_split(0, 0), ['routes[0].traffic_split']),
    ('negative-weight', with_split(2, -1), ['routes[0].traffic_split[1].']),
    ('timeout-too-short', with_route(timeout_s=0.004), ['routes[0].timeout']),
    ('objective-not-positive', with_route(target_latency_s=0), ['routes[0].']),
    ('timeout-below-objective', with_route(timeout_s=0.4), ['routes[0].']),
    ('attempts-below-one', with_route(attempts=0), ['routes[0].attempts']),
    ('attempts-beyond-deadline', with_route(attempts=14), ['routes[0].']),
    ('attempts-beyond-deadline', with_route(timeout_s=0.3), ['routes[0].']),
    (
        'duplicate-service',
        {**SOUND, 'services': [SERVICE, SERVICE]},
        ['services[0].name'],
    ),
    ('warmup-without-rate', with_service(warmup_s=3), ['services[0].warmup']),
    (
        'limit-not-positive',
        with_limits(max_header_bytes=0, max_body_bytes=-1),
        ['limits.max_header_bytes', 'limits.max_body_bytes'],
    ),
    ('body-limit-memory', with_limits(max_body_bytes=80_000_000), ['limits.']),
    ('no-organisations', {**SOUND, 'tenants': []}, ['tenants']),
    ('duplicate-organisation', with_tenant(name='acme'), ['tenants[0].name']),
    ('unusable-name', with_tenant(name=' t'), ['tenants[2].name']),
    ('key-in-name', with_tenant(name=f'x-{KEY}'), ['tenants[2].name']),
    (
        'organisation-without-keys',
        with_tenant(api_keys=['']),
        ['tenants[2].api_keys'],
    ),
    ('unusable-key', with_tenant(api_keys=['a b', ' c']), ['tenants[2].api']),
    ('unusable-key', with_tenant(api_keys=['c', 'a\r\nb']), ['tenants[2].a']),
    ('shared-key', with_tenant(api_keys=['x', KEY]), ['tenants[2].api_keys']),
    (
        'no-common-region',
        with_tenant(allowed_regions=['b', 'c']),
        ['tenants[2].allowed_regions'],
    ),
    (
        'routes-without-common-region',
        {
            **with_tenant(allowed_regions=['b']),
            'routes': [{**ROUTE, 'allowed_regions': []}, SOUND['routes'][2]],
        },
        ['tenants[2].allowed_regions'],
    ),
    ('negative-quota', with_tenant(burst=-1), ['tenants[2].burst']),
    ('burst-without-rate', with_tenant(burst=1), ['tenants[2].burst']),
    (
        'quota-below-burst',
        with_tenant(rate_per_s=1, burst=5.1),
        ['tenants[2].rate_per_s'],
    ),
]


class Checker:
    """Checks configurations that it writes to files.

    Attributes:
        output: All results as JSON and as text.
    """

    def __init__(self, folder):
        self.folder = folder
        self.output = ''

    def write(self, name, cfg):
        path = self.folder / name
        text = cfg if isinstance(cfg, bytes) else json.dumps(cfg).encode()
        path.write_bytes(text)
        return path

    def check(self, cfg, old=None, **options):
        path = self.write('new.json', cfg)
        if old is not None:
            old = self.write('old.json', old)
        report = checking.check(path, old, **options)
        self.output += msgspec.json.encode(report).decode()
        self.output += '\n'.join(rendering.render(report))
        return report

    def paths(self, cfg, rule, **options):
        report = self.check(cfg, **options)
        return [item.path for item in report.findings if item.rule == rule]


@pytest.fixture
def checker(tmp_path):
    return Checker(tmp_path)


class TestRules:
    """Each fault must be found at its path, and nothing in a sound file."""

    @pytest.mark.parametrize(
        ('rule', 'cfg', 'paths'), FAULTS, ids=[item[0] for item in FAULTS]
    )
    def test_fault_is_found_once_at_its_path(self, checker, rule, cfg, paths):
        found = checker.paths(cfg, rule)
        assert len(found) == len(paths), found
        for path, start in zip(found, paths, strict=True):
            assert path.startswith(start)
        assert not scenes.KEYS.search(checker.output)

    def test_each_rule_has_a_fault(self, checker):
        checker.check(SOUND)
        assert set(rules.REGISTRY.names()) <= {item[0] for item in FAULTS}
        assert isinstance(rules.REGISTRY, registry.Registry)

    @pytest.mark.parametrize(
        'cfg',
        [
            SOUND,
            test_adapter.CONFIG,
            {
                **SOUND,
                'routes': [
                    configurations.route_spec('a', True, 1.0, 's'),
                    configurations.route_spec('b', False, 1.0, 's'),
                ],
            },
            with_tenant(rate_per_s=142.0, burst=40.0),
            with_split(0.5),
        ],
    )
    def test_sound_configuration_has_no_findings(self, checker, cfg):
        assert checker.check(cfg).findings == ()

    def test_memory_decides_about_the_body_limit(self, checker):
        cfg = with_limits(max_body_bytes=80_000_000)
        rule = 'body-limit-memory'
        assert checker.paths(cfg, rule, memory_bytes=512e6) == []

    def test_names_of_both_organisations_with_a_key(self, checker):
        report = checker.check(with_tenant(api_keys=[KEY]))
        (finding,) = report.findings
        assert "'t' and 'acme'" in finding.message

    def test_allowed_number_of_attempts_fits(self, checker):
        # 13 attempts of 0.15 s end within 2 s.
        cfg = with_route(attempts=13)
        assert checker.check(cfg).findings == ()
        cfg = with_route(attempts=14, route_type='non_idempotent')
        assert checker.check(cfg).findings == ()


class TestDecoding:
    """All errors must be reported, and only if a host rejects the file."""

    def test_all_errors_are_reported(self, checker):
        cfg = {
            'config_version': '1',
            'routes': [{**ROUTE, 'attempts': 1.5}, {'name': 5}],
            'limits': {'idle_timeout_s': None},
        }
        found = [item.path for item in checker.check(cfg).findings]
        assert found[:3] == [
            'config_version',
            'routes[0].attempts',
            'routes[1].name',
        ]
        assert found[-2:] == ['services', 'limits.idle_timeout_s']
        assert len(found) == 11

    @pytest.mark.parametrize('field', ['priority', 'attempts', 'name'])
    @pytest.mark.parametrize(
        'value',
        [b'1.0', b'1e2', b'null', b'"x"', b'true', b'9' * 5000, rb'"\ud800"'],
    )
    def test_errors_are_those_of_the_gateway(self, field, value):
        cfg = with_route(**{field: '@'})
        data = json.dumps(cfg).encode().replace(b'"@"', value)
        try:
            feeds.decode_configuration(data)
        except errors.DecodeFailed:
            rejected = True
        else:
            rejected = False
        source = reading.parse(data)
        assert bool(source.findings) == rejected == (source.cfg is None)

    def test_field_that_is_given_twice(self, checker):
        data = json.dumps(SOUND).encode()
        twice = data.replace(b'"attempts"', b'"timeout_s": 3, "attempts"', 1)
        path = 'routes[0].timeout_s'
        assert checker.paths(twice, 'duplicate-field') == [path]
        # The last value is valid, and the decoder rejects the first.
        wrong = data.replace(b'"timeout_s"', b'"timeout_s": "", "timeout_s"', 1)
        assert checker.paths(wrong, 'wrong-type') == ['routes[0]']

    @pytest.mark.parametrize(
        ('data', 'message'),
        [
            (b' \n', 'is empty'),
            (b'[]', 'is no JSON object'),
            (b'{"a": 1,\n "b": x}', 'Expecting value, line 2 column 7'),
            (
                b'{"tenants": [{"api_keys": ["key-of-a',
                'Unterminated string .* line 1 column 28',
            ),
            (
                b'{"tenants": "key-of-a\xff"}',
                'not valid UTF-8: line 1 column 22',
            ),
            (b'[' * 100_000, 'nested too deeply'),
            (b'{"x": NaN}', 'NaN is no number'),
            (b'\xff\xfe{\x00', 'not valid UTF-8'),
            (b'{"metadata": {}, "spec": {}}', 'only its `spec`'),
        ],
    )
    def test_text_that_is_no_configuration(self, checker, data, message):
        with pytest.raises(errors.SettingError, match=message) as caught:
            checker.check(data)
        text = ''.join(traceback.format_exception(caught.value))
        assert not scenes.KEYS.search(text)


class TestKeys:
    """No key may be shown, wherever it stands in a faulty file."""

    @pytest.mark.parametrize(
        'tenant',
        [
            {'name': KEY, 'api_keys': KEY},
            {'name': KEY, 'api_keys': [KEY]},
            {'name': KEY.upper(), 'api_keys': [KEY], 'burst': -1},
            {'name': 'a', 'api_keys': [KEY, 5]},
            {'name': 'a', 'api_keys': [KEY], 'burst': KEY},
            {'name': 'a', 'api_keys': {KEY: 1}},
            {'name': 'a', 'api_keys': [[[[KEY]]]]},
            {'name': 'a', 'api_keys': None, KEY: 1},
            {'name': 'a', KEY: [KEY]},
            {'name': KEY, 'api_key': KEY},
            {'name': f'{KEY}', 'apiKeys': [KEY], 'rate_per_s': -1},
            {'name': f'a\n{KEY}', 'api_keys': [KEY, KEY]},
            {'name': 'x' * 78 + KEY, 'api_keys': [KEY]},
            {'name': 'a', 'api_keys': [KEY], 'allowed_regions': [KEY]},
            {'name': 'a', 'api_keys': [' ' + KEY, KEY + '\n']},
            KEY,
            [KEY],
            {KEY: KEY},
        ],
    )
    def test_findings_and_differences_have_no_key(self, checker, tenant):
        faulty = {**SOUND, 'tenants': [*scenes.TENANTS, tenant]}
        routed = {**faulty, 'routes': [
            *SOUND['routes'],
            {**ROUTE, 'name': KEY, 'hostname': f'{KEY}.X', 'service': KEY,
             'route_type': KEY, 'path_prefix': f'/{KEY}', KEY: KEY},
            {**ROUTE, 'path_prefix': '/k/', 'traffic_split': [
                {'service': KEY, 'weight': 0}, {'service': 's', 'weight': 1}
            ]},
        ]}  # fmt: skip
        for cfg in (faulty, routed):
            checker.check(cfg)
            checker.check(cfg, SOUND)
            try:
                checker.check(SOUND, cfg)
            except errors.SettingError as exc:
                checker.output += str(exc)
        assert not scenes.KEYS.search(checker.output)

    def test_tenants_in_another_form(self, checker):
        for tenants in ({KEY: [KEY]}, KEY, [[KEY]], {'a': {'api_keys': KEY}}):
            checker.check({**SOUND, 'tenants': tenants, KEY: KEY})
        assert not scenes.KEYS.search(checker.output)

    def test_keys_nested_deeply(self, checker):
        nested = b'[' * 300 + b'"key-of-a"' + b']' * 300
        data = json.dumps(with_tenant(api_keys='@')).encode()
        checker.check(data.replace(b'"@"', nested))
        assert 'wrong-type' in checker.output
        assert not scenes.KEYS.search(checker.output)

    def test_representation_of_a_source_has_no_key(self):
        source = reading.parse(json.dumps(SOUND).encode())
        assert source.keys
        assert not scenes.KEYS.search(repr(source))


class TestDifferences:
    """An operator must see each change, and keys only as counts."""

    def test_changes_are_listed_by_field(self, checker):
        part = {'service': 's', 'weight': 3}
        new = {
            **with_limits(max_body_bytes=5),
            'routes': [
                {**ROUTE, 'timeout_s': 3, 'traffic_split': [part]},
                {**ROUTE, 'name': 'new', 'path_prefix': '/n/'},
            ],
            'services': [*SOUND['services'], {'name': 'x', 'health_path': ''}],
            'tenants': [
                {'name': 'acme', 'api_keys': [KEY, 'key-of-acme-new', 'k2']},
                {**scenes.TENANTS[1], 'rate_per_s': 7},
            ],
        }
        text = '\n'.join(rendering.render(checker.check(new, SOUND)))
        assert text.partition('\n')[0].startswith('warning')
        assert text.partition('in force:\n')[2].splitlines()[:-1] == [
            '  ~ limits.max_body_bytes: 67108864 -> 5',
            '  routes:',
            '    + new: hostname x.example, path_prefix /n/, service s',
            '    - p: hostname x.example, path_prefix /public/, service s',
            '    - u: hostname x.example, path_prefix /up/, service s',
            '    ~ r:',
            '        timeout_s: 2 -> 3',
            '        traffic_split[s].weight: none -> 3',
            '  services:',
            '    + x: ',
            '  tenants:',
            '    ~ acme:',
            '        api_keys: 2 added, 1 removed',
            '    ~ globex:',
            '        rate_per_s: 0 -> 7',
        ]
        assert not scenes.KEYS.search(checker.output)

    def test_defaults_and_the_order_of_keys_are_no_change(self, checker):
        first, second = scenes.TENANTS
        same = {**first, 'api_keys': first['api_keys'][::-1], 'burst': 0}
        new = {**SOUND, 'tenants': [second, same], 'limits': {}}
        lines = rendering.render(checker.check(new, SOUND))
        assert next(lines) == 'no differences from the version in force'

    def test_list_of_organisations_that_is_added(self, checker):
        old = {k: v for k, v in SOUND.items() if k != 'tenants'}
        differences = checker.check({**SOUND, 'tenants': []}, old).differences
        (change,) = differences.fields
        assert (change.field, change.old, change.new) == (
            'tenants',
            'absent',
            'present',
        )

    def test_rejected_file_is_not_compared(self, checker):
        report = checker.check({**SOUND, 'routes': 5}, SOUND)
        assert report.differences is None
        assert 'not compared' in checker.output
        with pytest.raises(errors.SettingError, match='rejected by hosts'):
            checker.check(SOUND, {**SOUND, 'routes': 5})


class TestSize:
    """The largest configuration must be checked within a few seconds."""

    def test_design_size(self, checker):
        new, old = (
            {
                **SOUND,
                'routes': [
                    {**ROUTE, 'name': f'r{i}', 'path_prefix': f'/{i // 2}/'}
                    for i in range(2000)
                ],
                'tenants': [
                    {
                        'name': f't{i}',
                        'api_keys': [f'key-of-{i // 2}-{j}' for j in keys],
                        'allowed_regions': [f'{i % 500}'],
                    }
                    for i in range(10_000)
                ],
            }
            for keys in ((1, 2), (2, 3))
        )
        started_s = time.process_time()
        report = checker.check(new, old)
        assert time.process_time() - started_s < 10
        assert len(report.findings) == 1000 + 5000 + 10_000
        assert len(report.differences.tenants.changed) == 10_000
        assert not scenes.KEYS.search(checker.output)
