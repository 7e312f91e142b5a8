"""Tests of differences between documents."""

import msgspec

from ragwortchute import documents
from ragwortchute.documents import diffing
from tests.test_documents import samples


class TestDiff:
    """Each change must be reported with the entry that it concerns."""

    def test_entries_are_compared_by_name(self):
        old = samples.service()
        extra = documents.Target('d9', '10.9.0.1:80', 'x', 'y', 1)
        changed = msgspec.structs.replace(old.targets[1], slots=8)
        new = msgspec.structs.replace(old, targets=(extra, changed))
        lines = diffing.render(diffing.diff(old, new)).splitlines()
        assert lines[0].startswith('- targets[d0]: ')
        assert lines[1] == '~ targets[d1].slots: 4 -> 8'
        assert lines[2].startswith('+ targets[d9]: ')

    def test_order_of_routes_is_a_change(self):
        a, b = documents.Route('a'), documents.Route('b')
        changes = diffing.diff(samples.service(a, b), samples.service(b, a))
        assert [c.path for c in changes] == ['routes (order)']

    def test_change_id_and_author_are_ignored(self):
        old = samples.service(change_id='1', author='x')
        assert not diffing.diff(old, samples.service())

    def test_change_from_zero_is_not_an_addition(self):
        old = documents.Route('a', retries=0)
        new = documents.Route('a', retries=1)
        changes = diffing.diff(samples.service(old), samples.service(new))
        assert str(changes[0]) == '~ routes[a].retries: 0 -> 1'
