"""Tests of loading and checking documents."""

import pytest
from returns import result

from ragwortchute.documents import checks
from ragwortchute.documents import encoding
from ragwortchute.documents import loading
from ragwortchute.documents import parsing
from tests.test_documents import samples

YAML = parsing.Format.YAML


def load(text, fmt=YAML, deployment=None, **kwargs):
    return loading.load(
        text,
        fmt=fmt,
        deployment=deployment,
        balancer_names=samples.BALANCERS,
        **kwargs,
    )


def problems(old, new, deployment=None, text=samples.SERVICE_YAML):
    """Returns the problems of a sample after one replacement in its text."""
    assert old in text
    loaded = load(text.replace(old, new, 1), deployment=deployment)
    return [str(problem) for problem in loaded.failure()]


def deployment():
    return load(samples.DEPLOYMENT_YAML).unwrap()


class TestLoad:
    """A valid document must be loaded without loss from each format."""

    def test_yaml_and_its_canonical_json_are_equal(self):
        document = load(samples.SERVICE_YAML, deployment=deployment()).unwrap()
        buf = encoding.encode(document)
        again = load(buf, parsing.Format.JSON, name='dispatch').unwrap()
        assert again == document
        assert encoding.encode(again) == buf

    def test_duplicate_key_in_otherwise_canonical_json(self):
        """The fast path for canonical JSON must not accept other texts."""
        document = load(samples.SERVICE_YAML).unwrap()
        buf = encoding.encode(document)
        duplicate = buf.replace(b'"max_queue":', b'"max_queue":1,"max_queue":')
        loaded = load(duplicate, parsing.Format.JSON, name='dispatch')
        assert 'given twice' in str(loaded.failure()[0])

    def test_all_problems_are_reported_at_once(self):
        text = samples.SERVICE_YAML.replace('slots: 4', 'slot: 4')
        assert len(load(text).failure()) == 4

    def test_name_of_another_document_is_rejected(self):
        loaded = load(samples.SERVICE_YAML, name='billing')
        assert isinstance(loaded, result.Failure)


class TestProblems:
    """Each problem must be reported with its path.

    For an unknown name, the report must suggest the closest known one.
    """

    @pytest.mark.parametrize(
        ('old', 'new', 'path', 'message'),
        [
            ('homes:', 'hoems:', 'routes[0].hoems', "did you mean 'homes'"),
            ('name: d2, ', '', 'targets[1].name', 'required'),
            ('slots: 4', 'slots: four', 'targets[0].slots', '`int`'),
            ('slots: 4', 'slots: yes', 'targets[0].slots', '`int`'),
            ('slots: 4', 'slots: 0', 'targets[0].slots', 'between 1 and'),
            ('name: d2', 'name: d1', 'targets[1].name', 'targets[0]'),
            ('name: rest', 'name: rides', 'routes[1].name', 'routes[0]'),
            ('10.1.0.1', '10.0.0.1', 'targets[1].address', 'targets[0]'),
            ('10.1.0.1:80', 'db:80', 'targets[1].address', 'IP:port'),
            ('10.1.0.1:80', '10.1.0.1:0', 'targets[1].address', '65535'),
            ('10.1.0.1:80', '::1:80', 'targets[1].address', 'brackets'),
            ('cebu', 'cebo', 'targets[1].failure_domain', "'visayas-cebu'"),
            ('region: luzon', 'region: visayas', 'targets[0].region', 'luzon'),
            ('[luzon]', '[luzn]', 'routes[0].homes[0]', "did you mean 'luzon'"),
            ('[visayas]', '[]', 'routes[0].tenant_homes.acme', 'at least one'),
            ('[POST]', '[post]', 'routes[0].methods[0]', 'capital'),
            ('/rides', '/a/../b', 'routes[0].path_prefix', 'dot segments'),
            ('/rides', '/a%2fb', 'routes[0].path_prefix', 'percent'),
            ('500', '.inf', 'routes[0].deadline_ms', '`int`'),
            ('service: dispatch', 'service: _x', 'service', 'must be letters'),
            (
                'service: dispatch',
                'service: x\ncold_start: {rate_per_s: .nan}',
                'cold_start.rate_per_s',
                'nan is not between',
            ),
            (
                'service: dispatch',
                'service: x\nbalancer: slotshares',
                'balancer',
                "did you mean 'slot_shares'",
            ),
        ],
    )
    def test_service(self, old, new, path, message):
        found = problems(old, new, deployment())
        assert any(p.startswith(f'{path}: ') and message in p for p in found)

    def test_home_region_without_target(self):
        text = samples.SERVICE_YAML.replace('visayas-cebu', 'luzon-pasig')
        text = text.replace('region: visayas', 'region: luzon')
        found = [str(p) for p in load(text, deployment=deployment()).failure()]
        assert any(
            p.startswith('routes[0].tenant_homes.acme[0]') and 'no target' in p
            for p in found
        )

    def test_failure_domain_in_two_regions_without_deployment(self):
        assert problems('visayas-cebu', 'luzon-makati')

    @pytest.mark.parametrize(
        ('old', 'new', 'path'),
        [
            ('store_region: luzon', 'store_region: luzn', 'store_region'),
            (
                'luzon-pasig: {',
                'luzon-pasig: {state: ou, ',
                'failure_domains.luzon-pasig.state',
            ),
        ],
    )
    def test_deployment(self, old, new, path):
        found = problems(old, new, text=samples.DEPLOYMENT_YAML)
        assert found[0].startswith(path)
        assert 'did you mean' in found[0]


class TestParsing:
    """Text that usual parsers drop or expand must be rejected.

    Otherwise the document in force would differ from the text.
    """

    @pytest.mark.parametrize(
        ('text', 'fmt'),
        [
            ('{a: 1, a: 2}', YAML),
            ('a: &x [1]\nb: *x', YAML),
            ('a: [', YAML),
            ('? [1, 2]\n: 3', YAML),
            ('[' * 5000, YAML),
            ('{"a": 1, "a": 2}', parsing.Format.JSON),
            ('{"a": NaN}', parsing.Format.JSON),
            ('[' * 100_000, parsing.Format.JSON),
            (b'\xff\xfe\xfa', YAML),
            ('', YAML),
            (b' ' * 1_000_001, parsing.Format.JSON),
        ],
    )
    def test_ambiguous_or_malformed_text_is_rejected(self, text, fmt):
        assert isinstance(load(text, fmt), result.Failure)


def test_unregistered_balancer_is_rejected_by_default():
    """The default must be the registry, not a list that can be outdated."""
    document = samples.service(balancer='no_such')
    assert any(p.path == 'balancer' for p in checks.check_service(document))
