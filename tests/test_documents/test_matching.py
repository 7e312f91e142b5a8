"""Tests of route matching."""

import pytest

from ragwortchute import documents
from ragwortchute.documents import matching
from tests.test_documents import samples

ROUTES = (
    documents.Route('pay', methods=('POST',), path_prefix='/pay'),
    documents.Route(
        'secret',
        path_prefix='/secret',
        homes=('luzon',),
        tenant_homes={'acme': ('visayas',)},
        deadline_ms=100,
    ),
    documents.Route('secret-late', path_prefix='/secret/late'),
    documents.Route('rest', methods=('GET', 'POST')),
)
DOCUMENT = samples.service(*ROUTES)


class TestMatch:
    """A wrong route would give a call wrong home regions or deadlines."""

    @pytest.mark.parametrize(
        ('method', 'path', 'name'),
        [
            ('POST', '/pay/1', 'pay'),
            ('GET', '/pay/1', 'rest'),
            ('GET', '/secret/late', 'secret'),
            ('DELETE', '/secret?x=%2F..', 'secret'),
            ('GET', '/x?y=/../secret', 'rest'),
            ('GET', '/.well-known/a%20b', 'rest'),
        ],
    )
    def test_first_matching_route_applies(self, method, path, name):
        assert matching.match(DOCUMENT, method, path).route.name == name

    def test_call_without_matching_route(self):
        assert matching.match(DOCUMENT, 'DELETE', '/x') is None

    def test_homes_of_organisation_replace_those_of_route(self):
        found = matching.match(DOCUMENT, 'GET', '/secret', 'acme')
        assert found.homes == ('visayas',)
        assert matching.match(DOCUMENT, 'GET', '/secret', 'x').homes == (
            'luzon',
        )

    def test_deadline_of_route_is_the_upper_bound(self):
        found = matching.match(DOCUMENT, 'GET', '/secret')
        assert [found.bounded_deadline_ms(ms) for ms in (None, 50, 500)] == [
            100,
            50,
            100,
        ]

    def test_new_version_of_document_replaces_the_cached_routes(self):
        changed = samples.service(documents.Route('only'))
        assert matching.match(DOCUMENT, 'GET', '/pay').route.name == 'rest'
        assert matching.match(changed, 'GET', '/pay').route.name == 'only'

    @pytest.mark.parametrize(
        'path',
        [
            '/x/../secret',
            '/x/..;/secret',
            '/x/%2e%2e/secret',
            '/x/%252e%252e/secret',
            '//secret',
            '/.//secret',
            '/%73ecret',
            '/x\\..\\secret',
            '/x/..',
        ],
    )
    def test_path_that_a_target_may_resolve_otherwise(self, path):
        """The call could reach a resource outside of its home regions."""
        assert matching.match(DOCUMENT, 'GET', path) is None
