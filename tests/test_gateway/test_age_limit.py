"""Tests of the decision when a host reads the store itself."""

import pytest

from ragwortchute.gateway.store import age_limit


class TestAgeLimit:
    """An old replica must be checked in time, and not too often."""

    def test_check_is_due_at_the_longest_age(self):
        limit = age_limit.AgeLimit(lambda: 1.6)
        assert limit.due_in_s(100.0, 101.0) == pytest.approx(0.6)

    def test_failed_checks_are_repeated_ever_later(self):
        limit = age_limit.AgeLimit(lambda: 1.6)
        now_s, waits_s = 110.0, []
        for _ in range(6):
            limit.note_check(100.0, now_s)
            waits_s.append(limit.due_in_s(100.0, now_s))
            now_s += waits_s[-1]
        assert waits_s == pytest.approx([0.4, 0.8, 1.6, 3.2, 6.4, 8.0])

    def test_confirmation_ends_the_wait(self):
        limit = age_limit.AgeLimit(lambda: 1.6)
        for now_s in (110.0, 111.0, 113.0):
            limit.note_check(100.0, now_s)
        limit.note_check(120.0, 122.0)
        assert limit.due_in_s(120.0, 122.0) == pytest.approx(0.4)
