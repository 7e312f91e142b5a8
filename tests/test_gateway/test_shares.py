"""Tests of the division of a figure among the hosts."""

import random

import pytest

from ragwortchute.gateway.peers import limit_shares
from ragwortchute.gateway.peers import shares
from ragwortchute.gateway.selection import pacing

NAMES = [f'h{number}' for number in range(117)]


def cold(hosts):
    share = pacing.cold_share(21.5, hosts)
    return share.owners, share.sends_per_window, 21.5


def stated(hosts):
    share = limit_shares.divide(3.0, hosts)
    return share.owners, share.rate_per_s, 3.0


class TestDivision:
    """What all owners have together must not exceed the whole."""

    @pytest.mark.parametrize('divide', [cold, stated])
    @pytest.mark.parametrize('hosts', [1, 4, 8, 117, 784])
    def test_shares_add_up_to_no_more_than_the_whole(self, divide, hosts):
        owners, share, whole = divide(hosts)
        assert owners * share <= whole * 1.0001
        assert owners <= shares.assumed_hosts(hosts)

    @pytest.mark.parametrize('whole', [0.0, 0.9, 1.0, 3.7, 500.0])
    def test_each_owner_gets_at_least_one(self, whole):
        for hosts in (1, 4, 117):
            count = shares.owner_count(whole, hosts)
            assert count <= whole
            assert not count or whole / count >= 1

    def test_host_that_knows_no_other_gets_a_part(self):
        assert shares.owner_count(100.0, 1) == shares.MIN_HOSTS

    def test_few_owners_change_with_the_hosts(self):
        before = shares.owners('t', frozenset(NAMES), 9)
        after = shares.owners('t', frozenset(NAMES[1:]), 9)
        assert len(before - after) <= 1


class TestTokenBucket:
    """Hosts with a share each must keep to the whole in any window."""

    @pytest.mark.parametrize('hosts', [4, 40])
    def test_all_hosts_together_keep_rate_and_burst(self, hosts):
        rate_per_s, burst, window_s = 20.0, hosts * 1.5, 5.0
        rng = random.Random(hosts)
        sent_s = []
        for _ in range(hosts):
            bucket = shares.TokenBucket()
            now_s = rng.random()
            while now_s < 30:
                if not bucket.wait_s(now_s, rate_per_s / hosts, burst / hosts):
                    bucket.spend()
                    sent_s.append(now_s)
                now_s += rng.expovariate(20)
        for start_s in sent_s:
            within = sum(
                start_s <= at_s < start_s + window_s for at_s in sent_s
            )
            assert within <= rate_per_s * window_s + burst
