"""Tests of the metrics of an entry host."""

from ragwortchute.operators import metrics
from tests import test_docs

# Reasons given by the listener for operators, or by the HTTP server before the
# application for callers sees the request.
_UNCOUNTED_REASONS = {
    'conflict',
    'head-too-large',
    'no-domain',
    'no-part',
    'store',
    'syntax',
    'unauthorized',
}


class TestReasons:
    """A reason missing in `REASONS` would be counted as `other`."""

    def test_set_has_exactly_the_reasons_sent_to_callers(self):
        reasons = test_docs.reasons_in_code() - _UNCOUNTED_REASONS
        assert reasons == metrics.REASONS
