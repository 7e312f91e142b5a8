"""Property tests of loading and matching."""

import json

import hypothesis
from hypothesis import strategies
import msgspec
from returns import result

from ragwortchute import documents
from ragwortchute.documents import encoding
from ragwortchute.documents import loading
from ragwortchute.documents import matching
from ragwortchute.documents import parsing
from tests.test_documents import samples

SETTINGS = hypothesis.settings(
    max_examples=200, derandomize=True, deadline=None
)
PLAIN = msgspec.to_builtins(samples.service())
LEAVES = strategies.sampled_from(
    [None, True, -1, 2**70, 1.5, '', 'x', [], {}, [[]], {'': {}}, ['GET', 5]]
)
SEGMENTS = strategies.lists(
    strategies.sampled_from(['a', 'b', 'ab', '.', '..', '%61', '', 'c?d']),
    max_size=4,
).map(lambda parts: '/' + '/'.join(parts))


@SETTINGS
@hypothesis.given(strategies.data())
def test_loading_a_corrupted_document_raises_no_exception(data):
    """An exception in a check would end a host's distribution task."""
    raw = json.loads(json.dumps(PLAIN))
    item = raw
    while True:
        keys = list(item) if isinstance(item, dict) else range(len(item))
        key = data.draw(strategies.sampled_from(list(keys)))
        inner = item[key]
        if not isinstance(inner, dict | list) or not inner:
            break
        if data.draw(strategies.booleans()):
            break
        item = inner
    item[key] = data.draw(LEAVES)
    loaded = loading.load(json.dumps(raw), balancer_names=samples.BALANCERS)
    if isinstance(loaded, result.Success):
        document = loaded.unwrap()
        again = loading.load(
            encoding.encode(document),
            name=document.service,
            balancer_names=samples.BALANCERS,
        )
        assert again.unwrap() == document
    else:
        assert all(problem.path for problem in loaded.failure())


@SETTINGS
@hypothesis.given(
    strategies.text(max_size=40), strategies.sampled_from(parsing.Format)
)
def test_loading_arbitrary_text_raises_no_exception(text, fmt):
    """Operators may pass any file."""
    assert isinstance(loading.load(text, fmt=fmt), result.Failure)


@SETTINGS
@hypothesis.given(
    strategies.lists(SEGMENTS, min_size=1, max_size=6),
    strategies.sampled_from(['GET', 'POST', 'PUT']),
    SEGMENTS,
)
def test_match_returns_the_first_route_with_a_matching_prefix(
    prefixes, method, path
):
    """The index of prefixes must not change which route applies."""
    routes = tuple(
        documents.Route(
            f'r{i}', methods=('GET', 'POST')[: i % 3], path_prefix=prefix
        )
        for i, prefix in enumerate(prefixes)
    )
    found = matching.match(samples.service(*routes), method, path)
    plain = path.partition('?')[0]
    expected = next(
        (
            route
            for route in routes
            if method in (route.methods or (method,))
            and plain.startswith(route.path_prefix)
        ),
        None,
    )
    if found is not None:
        assert found.route is expected
        assert not {'.', '..'} & set(plain.split('/'))
    elif expected is not None:
        ambiguous = {'.', '..', '%61'} & set(plain.split('/'))
        assert ambiguous or '//' in plain
