"""Tests of the metrics."""

from ragwortchute.operators import metrics
from tests import test_docs

# Given by the listener for operators and below the application for callers.
_NOT_COUNTED = {
    'conflict',
    'head-too-large',
    'no-domain',
    'no-part',
    'store',
    'syntax',
    'unauthorized',
}


class TestReasons:
    """A reason missing in the table would be hidden in `other`."""

    def test_table_has_exactly_the_reasons_that_callers_get(self):
        reasons = test_docs.reasons_in_code() - _NOT_COUNTED
        assert reasons == metrics.REASONS
