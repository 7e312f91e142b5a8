"""Tests of the benchmark of policies."""

from benchmarks import policy


class TestOrder:
    """Load of other processes must not hit the same variant each time."""

    def test_each_variant_is_first_once(self):
        rounds = range(len(policy.VARIANTS))
        orders = [policy.order_of_round(number) for number in rounds]
        assert {order[0] for order in orders} == set(policy.VARIANTS)
        assert all(set(order) == set(policy.VARIANTS) for order in orders)
