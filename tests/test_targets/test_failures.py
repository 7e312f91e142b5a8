"""Tests of the comparison of 5xx answers."""

import pytest

from ragwortchute.targets import failures


def answers(failed, healthy=0):
    """Returns a target with failed answers after healthy ones."""
    recent = failures.RecentAnswers()
    for _ in range(healthy):
        recent.note(False)
    for _ in range(failed):
        recent.note(True)
    return recent


HEALTHY = [answers(0, 99) for _ in range(3)]


class TestIsFailing:
    """One target against the others of its service."""

    def test_one_among_healthy_ones(self):
        """Guards against a failing target that passes for a quick one."""
        assert failures.is_failing(answers(16), HEALTHY, failing=False)

    @pytest.mark.parametrize('failed', [1, failures.MIN_ANSWERS - 1])
    def test_few_answers(self, failed):
        """Guards against a verdict by chance."""
        assert not failures.is_failing(answers(failed), HEALTHY, failing=False)

    def test_others_with_few_answers_are_no_measure(self):
        """Guards against a comparison with targets that hardly answered."""
        others = [answers(0, 2), answers(0, 15)]
        assert not failures.is_failing(answers(32), others, failing=False)

    def test_all_fail(self):
        """Guards against a service without targets because all fail."""
        others = [answers(32), answers(30), answers(25, 7)]
        assert not failures.is_failing(answers(32), others, failing=False)

    def test_single_target(self):
        """Guards against a service that loses its only target."""
        assert not failures.is_failing(answers(32), [], failing=False)

    def test_equal_rate_of_failures(self):
        """Guards against a mark for what all targets answer now and then."""
        others = [answers(6, 26) for _ in range(3)]
        assert not failures.is_failing(answers(9, 23), others, failing=False)

    def test_recovers_below_a_lower_bound(self):
        """Guards against a target that turns from one state to the other."""
        recent = answers(32)
        steps = 0
        while failures.is_failing(recent, HEALTHY, failing=True):
            recent.note(False)
            steps += 1
        assert recent.share() < failures.RECOVERED_MARGIN
        assert steps < failures.WINDOW

    def test_cleared_answers_are_no_failure(self):
        """Guards against a new process judged by the old one."""
        recent = answers(32)
        recent.clear()
        assert not failures.is_failing(recent, HEALTHY, failing=True)
