"""Tests of the detection of failing targets."""

import pytest

from ragwortchute.targets import failures


def answers(failed, healthy=0):
    """Returns `healthy` successful answers followed by `failed` 5xx."""
    recent = failures.RecentAnswers()
    for _ in range(healthy):
        recent.note(False)
    for _ in range(failed):
        recent.note(True)
    return recent


HEALTHY = [answers(0, 99) for _ in range(3)]


class TestIsFailing:
    """A target compared with the others of its service."""

    def test_one_among_healthy_ones(self):
        """Guards against a failing target that is not detected."""
        assert failures.is_failing(answers(16), HEALTHY, failing=False)

    @pytest.mark.parametrize('failed', [1, failures.MIN_ANSWERS - 1])
    def test_few_answers(self, failed):
        """Guards against marking a target by chance after a few answers."""
        assert not failures.is_failing(answers(failed), HEALTHY, failing=False)

    def test_others_with_few_answers_are_no_measure(self):
        """Guards against a comparison with targets with too few answers."""
        others = [answers(0, 2), answers(0, 15)]
        assert not failures.is_failing(answers(32), others, failing=False)

    def test_all_fail(self):
        """Guards against marking all targets of a service that fails."""
        others = [answers(32), answers(30), answers(25, 7)]
        assert not failures.is_failing(answers(32), others, failing=False)

    def test_single_target(self):
        """Guards against marking the only target of a service."""
        assert not failures.is_failing(answers(32), [], failing=False)

    def test_equal_rate_of_failures(self):
        """Guards against marking a target with a common ratio of 5xx."""
        others = [answers(6, 26) for _ in range(3)]
        assert not failures.is_failing(answers(9, 23), others, failing=False)

    def test_recovers_below_a_lower_bound(self):
        """Guards against a mark that changes back and forth."""
        recent = answers(32)
        steps = 0
        while failures.is_failing(recent, HEALTHY, failing=True):
            recent.note(False)
            steps += 1
        assert recent.failure_ratio() < failures.RECOVERED_MARGIN
        assert steps < failures.WINDOW_ANSWERS

    def test_cleared_answers_are_no_failure(self):
        """Guards against judging a new process by answers of the old one."""
        recent = answers(32)
        recent.clear()
        assert not failures.is_failing(recent, HEALTHY, failing=True)
