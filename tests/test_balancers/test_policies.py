"""Tests of the registered balancers."""

import collections
import random

import pytest

from ragwortchute import balancers
from ragwortchute.slots import service as service_

POLICIES = service_.balancers.REGISTRY.names()


def candidates(in_flight, share=4):
    return [
        balancers.Candidate(f't{i}', 'luzon-0', 4, share, busy, 20.0)
        for i, busy in enumerate(in_flight)
    ]


def count(policy, items, rounds=400):
    balancer = balancers.REGISTRY.get(policy)(random.Random(3))
    return collections.Counter(
        balancer.choose(items).name for _ in range(rounds)
    )


class TestPolicies:
    """Choices of each balancer."""

    def test_all_are_registered(self):
        """Guards against names used in documents that are not registered."""
        assert POLICIES == [
            'least_inflight',
            'random',
            'round_robin',
            'slot_shares',
            'two_choices',
        ]

    @pytest.mark.parametrize('policy', POLICIES)
    def test_no_candidate(self, policy):
        """Guards against an error if there are no candidates.

        The call must wait then.
        """
        balancer = balancers.REGISTRY.get(policy)(random.Random(3))
        assert balancer.choose([]) is None

    @pytest.mark.parametrize('policy', POLICIES)
    def test_equal_targets_are_all_used(self, policy):
        """Guards against equal targets of which some never get calls."""
        counts = count(policy, candidates([0] * 20))
        assert len(counts) == 20
        assert max(counts.values()) < 60

    def test_load_decides(self):
        """Guards against balancers that ignore requests in flight."""
        items = candidates([3, 0, 3, 1])
        assert set(count('least_inflight', items)) == {'t1'}
        assert set(count('slot_shares', items)) == {'t1'}
        assert count('two_choices', items)['t1'] > 150

    def test_full_shares_wait(self):
        """Guards against a bounded balancer that exceeds its shares."""
        balancer = balancers.REGISTRY.get('slot_shares')(random.Random(3))
        assert balancer.choose(candidates([2, 2], share=2)) is None
